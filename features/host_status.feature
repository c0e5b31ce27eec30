Feature: Answers whose status is invalid are no answers
  Guards against a request that waits for its deadline since an answer with status 000 or 099 was
  taken for an interim one, and against statuses such as 600 that reach a client.

  Scenario Outline: An invalid status makes the outcome unknown at once
    Given an upstream whose answer has the status <status> and <rest>
    When a request with 1.2 s left is sent to it
    Then its outcome is a malformed answer within 1.0 s

    Examples:
      | status | rest                        |
      | 000    | a body                      |
      | 099    | a body                      |
      | 101    | a body                      |
      | 600    | a body                      |
      | 999    | a body                      |
      | 000    | a body and a valid answer   |
      | 099    | a body and a valid answer   |
      | 101    | a body and a valid answer   |
      | 600    | a body and a valid answer   |
      | 999    | a body and a valid answer   |
      | 600    | a head that does not end    |
      | 101    | the own answer at once      |
      | 600    | an earlier answer before it |
      | 000    | an earlier answer before it |

  Scenario Outline: Interim answers are skipped
    Given an upstream whose answer has the status <status> and the own answer at once
    When a request with 1.2 s left is sent to it
    Then it is answered with "whole body"

    Examples:
      | status |
      | 100    |
      | 102    |
      | 103    |
      | 199    |

  Scenario Outline: A request that got an invalid status is repeated only if it is idempotent
    Given a host whose 2 upstreams answer with the status <status>, a body and a valid answer
    When a client sends a <kind> request to the host
    Then the client gets 502 and nothing of the upstreams' answers within 1.5 s
    And the upstreams have received the request <sends> times
    And each connection on which it was sent has been closed
    And the upstreams that received it have failures

    Examples:
      | status | kind           | sends |
      | 000    | non-idempotent | 1     |
      | 099    | non-idempotent | 1     |
      | 101    | non-idempotent | 1     |
      | 600    | non-idempotent | 1     |
      | 999    | non-idempotent | 1     |
      | 000    | idempotent     | 2     |
      | 600    | idempotent     | 2     |

  Scenario Outline: An answer of the store with an invalid status is malformed
    Given a store that answers with the status <status>, a body and a valid answer
    When a host lists the upstreams
    Then the call fails within 1.0 s
    And its outcome at the store is unknown

    Examples:
      | status |
      | 000    |
      | 099    |
      | 101    |
      | 600    |
      | 999    |

  Scenario Outline: Interim answers of the store are skipped
    Given a store that sends the status <status> before its answer
    When a host lists the upstreams
    Then it has listed 0 upstreams

    Examples:
      | status |
      | 100    |
      | 102    |
      | 103    |
