Feature: Forwarding decisions
  Guards against requests that are sent again although they may have run, against NOT_RUN verdicts
  that are not certain, and against requests that never end.

  Scenario: Non-idempotent work under random failures
    Given random outcomes for requests with a ticket
    Then each request is sent only to its home and not again after it may have arrived there
    And NOT_RUN is reported only if the home or the arbiter confirmed it
    And each request ends soon after its deadline

  Scenario: Idempotent work under random failures
    Given random outcomes for requests without a ticket
    Then no dispatcher gets a request twice and retries go to another zone than the failed attempts
    And NOT_RUN is reported only if each attempt that was sent was answered with NOT_RUN
    And each request ends soon after its deadline

  Scenario: Retries under random load are limited to a tenth of the requests
    Given random sequences of requests and retries
    Then after each retry the window has at most a tenth as many retries as requests

  Scenario: A service without recent requests has no retry budget
    Given a retry budget that counted 100 requests 11 seconds ago
    Then the budget permits no retry

  Scenario Outline: The nearest zone comes first, and only other regions are ordered by free slots
    Given free slots of <free> at host-0, host-1, host-2 and host-3
    Then an entry host of north-a ranks the dispatchers <order>

    Examples:
      | free       | order                          |
      | 1, 5, 5, 5 | host-0, host-1, host-2, host-3 |
      | 0, 5, 5, 5 | host-0, host-1, host-2, host-3 |
      | 0, 0, 5, 5 | host-0, host-1, host-2, host-3 |
      | 0, 0, 0, 5 | host-0, host-1, host-3, host-2 |

  Scenario: A recently unreachable dispatcher comes last
    Given free slots of 5, 5, 5, 5 at host-0, host-1, host-2 and host-3
    And host-0 was unreachable recently
    Then an entry host of north-a ranks the dispatchers host-1, host-2, host-3, host-0
