Feature: Tickets
  Guards against a deposit that runs twice, or that runs after it was reported as not run, when
  requests, claims and outcomes are repeated, late or lost and clocks are set back.

  Scenario: A signed ticket is read back from its text unchanged
    Given a signed ticket
    Then verifying its text returns the same ticket

  Scenario Outline: Text that the system did not sign is refused
    Given a signed ticket
    When its text is <damage>
    Then it is refused because of its <part>

    Examples:
      | damage    | part      |
      | empty     | text      |
      | overlong  | text      |
      | no base64 | text      |
      | altered   | signature |
      | foreign   | signature |

  Scenario: A ticket runs once and all its requests get the same answer
    Given a home and an arbiter
    When request "a" opens the ticket
    And request "b" opens the ticket
    And the arbiter answers the claim
    And the run is answered with "paid"
    And request "c" opens the ticket
    Then the ticket ran 1 times
    And requests "abc" got the answer "paid"
    And the arbiter answers a revocation with RAN

  Scenario: A revoked ticket never runs
    Given a home and an arbiter
    When the ticket is revoked
    And request "a" opens the ticket
    And the arbiter answers the claim
    Then the ticket ran 0 times
    And requests "a" got the verdict NOT_RUN

  Scenario: A claim that was granted too late does not run
    Given a home and an arbiter
    When request "a" opens the ticket
    And the claim times out
    And the arbiter answers the claim
    And request "b" opens the ticket
    Then the ticket ran 0 times
    And requests "ab" got the verdict NOT_RUN

  Scenario: A paused home does not run a ticket that expired meanwhile
    Given a home and an arbiter
    When request "a" opens the ticket
    And the arbiter grants the claim, but the home is paused for 70 s
    Then the ticket ran 0 times
    And requests "a" got the verdict NOT_RUN

  Scenario Outline: A ticket without a record
    Given a home and an arbiter
    When the home is paused for <seconds> s
    And request "a" opens the ticket
    Then the ticket ran 0 times
    And requests "a" got the verdict <verdict>

    Examples:
      | seconds | verdict      |
      | 61      | NOT_RUN      |
      | 959     | NOT_RUN      |
      | 961     | MAY_HAVE_RUN |

  Scenario: A ticket that was reported as expired stays expired when the wall clock is set back
    Given a home and an arbiter
    When the home is paused for 61 s
    And request "a" opens the ticket
    And the wall clock is set back by 30 s
    And request "b" opens the ticket
    Then requests "ab" got the verdict NOT_RUN

  Scenario: A refusal by a full table is final, and no record is dropped
    Given a home that holds at most 2 tickets
    When 3 tickets are opened, the last with a lifetime of 20 minutes
    Then only the last is refused, as NOT_RUN
    And it is still refused after 17 minutes, when a ticket with a later expiry is accepted

  Scenario: Kept answers stay within the byte limit
    Given a home that keeps at most 1000 bytes of answers
    When 5 tickets run with answers of 400 bytes
    Then the newest 2 answers are kept and the others are reported as RAN

  Scenario: Under random events a ticket runs at most once and its verdicts are true
    Then 300 random sequences of ticket events run it at most once with true verdicts
