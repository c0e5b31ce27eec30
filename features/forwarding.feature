Feature: Forwarding decisions
  Guards against work that is sent twice although it may have run, against a NOT_RUN that is not
  certain, and against requests that go on for ever.

  Scenario: Non-idempotent work under random failures
    Given random outcomes for requests with a ticket
    Then each request is sent only to its home and never after it may have arrived there
    And NOT_RUN is reported only if the home or the arbiter said so
    And each request ends soon after its deadline

  Scenario: Idempotent work under random failures
    Given random outcomes for requests without a ticket
    Then no dispatcher gets a request twice and retries leave the zone that failed
    And NOT_RUN is reported only if no try was lost
    And each request ends soon after its deadline

  Scenario: Retries under random load stay within a tenth of the requests
    Given random sequences of requests and retries
    Then each retry leaves the retries of its window at most a tenth of the window's requests

  Scenario: A service without recent requests has no retries
    Given a retry budget that counted 100 requests 11 seconds ago
    Then it permits no retry

  Scenario Outline: The nearest zone comes first, and free slots order only the other regions
    Given free slots of <free> at host-0, host-1, host-2 and host-3
    Then an entry host of north-a ranks the dispatchers <order>

    Examples:
      | free       | order                          |
      | 1, 5, 5, 5 | host-0, host-1, host-2, host-3 |
      | 0, 5, 5, 5 | host-0, host-1, host-2, host-3 |
      | 0, 0, 5, 5 | host-0, host-1, host-2, host-3 |
      | 0, 0, 0, 5 | host-0, host-1, host-3, host-2 |

  Scenario: A dispatcher that could not be reached comes last
    Given free slots of 5, 5, 5, 5 at host-0, host-1, host-2 and host-3
    And host-0 could not be reached lately
    Then an entry host of north-a ranks the dispatchers host-1, host-2, host-3, host-0
