Feature: Tickets
  Guards against a deposit that runs twice, or that runs after it was reported as not run.

  Scenario: A ticket survives its text form
    Given a minted ticket
    Then it verifies to the same ticket

  Scenario Outline: Text that the system did not sign is refused
    Given a minted ticket
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

  Scenario: A ticket that was reported as expired stays so when the wall clock is set back
    Given a home and an arbiter
    When the home is paused for 61 s
    And request "a" opens the ticket
    And the wall clock is set back by 30 s
    And request "b" opens the ticket
    Then requests "ab" got the verdict NOT_RUN

  Scenario: A full table refuses for good and drops nothing
    Given a home that holds at most 2 tickets
    When 3 tickets are opened, the last with a life of 20 minutes
    Then only the last is refused, as NOT_RUN
    And it is still refused after 17 minutes, when a later ticket is accepted

  Scenario: Kept answers stay within their bytes
    Given a home that keeps at most 1000 bytes
    When 5 tickets run with answers of 400 bytes
    Then the newest 2 answers are kept and the others are reported as RAN

  Scenario: Random events keep a ticket at most once and its verdicts true
    Then 300 random sequences of ticket events keep the promises
