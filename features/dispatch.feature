Feature: The dispatch daemon
  Guards against a request that runs twice, is cut off by a planned stop, or ends without a clear
  verdict when its caller, its upstream or the arbiter of its ticket is lost.

  Background:
    Given the dispatchers host-0 and host-1 with stand-in upstreams

  Scenario: A borrowed slot is used beside the owned ones
    When host-0 gets 3 requests of 0.2 s at once
    Then all were answered and the upstream ran 3 of them at the same time

  Scenario: A deposit that is sent 5 times with the same ticket runs once
    When host-0 gets a deposit 5 times at once with the same ticket
    Then the upstreams ran the deposit once
    And every sender got the same answer

  Scenario Outline: A deposit without a valid ticket is not run
    When host-0 gets a deposit with <ticket>
    Then the deposit ended as NOT_RUN because of <reason>
    And the upstreams ran the deposit 0 times

    Examples:
      | ticket                       | reason          |
      | no ticket                    | ticket_required |
      | a forged ticket              | ticket_invalid  |
      | a ticket of another service  | ticket_invalid  |
      | an expired ticket            | ticket_expired  |

  Scenario: A deposit whose arbiter has stopped is not run
    Given host-1 has stopped
    When host-0 gets a deposit with a good ticket
    Then the deposit ended as NOT_RUN because of claim_timeout
    And the upstreams ran the deposit 0 times

  Scenario: A ticket that was revoked at its arbiter does not run at its home
    When the arbiter gets the revocation of a ticket
    And host-0 gets a deposit with this ticket
    Then the deposit ended as NOT_RUN because of claim_revoked
    And the upstreams ran the deposit 0 times

  Scenario: The arbiter returns the outcome of a run in place of the home
    When host-0 gets a deposit with a good ticket
    And the arbiter gets the revocation of this ticket
    Then the arbiter returns the deposit's answer

  Scenario: An idempotent request whose upstream dies in the middle of its answer gets a verdict
    When host-0 gets a request that truncates its answer
    Then the request ended as MAY_HAVE_RUN without an answer

  Scenario: A caller that disconnects frees its slot
    When a caller disconnects while its request hangs
    And host-0 gets 3 requests of 0.2 s at once
    Then all were answered and the upstream ran 3 of them at the same time

  Scenario: A planned stop completes the work in flight and refuses new work
    When host-0 gets 2 requests of 1.5 s and is told to leave
    Then new requests are refused as NOT_RUN because of leaving
    And all were answered before host-0 had left

  Scenario: A host can borrow for itself only
    When host-7 asks host-1 for a loan in the name of host-0
    Then the loan is refused
