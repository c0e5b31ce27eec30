Feature: Answers of the store are bounded in time and size
  Guards against a store whose answers never end: a host that kept reading them ran out of memory or
  processor time, and the requests of its clients ended with it.

  Scenario Outline: An answer of the store that never ends is given up in time and stalls nothing
    Given a store that sends <bytes> without end
    When a host lists the configuration
    Then the call fails within 2.5 s
    And the call used less than 40 MB
    And other green threads never waited for 0.1 s

    Examples:
      | bytes             |
      | a header line     |
      | headers           |
      | a reason phrase   |
      | interim responses |
      | a body            |
      | a chunked body    |
      | a chunk extension |
      | trailers          |

  Scenario: An answer of the store that arrives a byte at a time is given up in time
    Given a store that sends a byte of its answer each 0.05 s
    When a host lists the configuration
    Then the call fails within 2.5 s

  Scenario: A large answer of the store is read whole
    Given a store with 3000 upstreams in one answer
    When a host lists the upstreams
    Then it has listed 3000 upstreams

  # Guards against a watch that ended for good: a revision that is no number met one in a comparison.
  Scenario Outline: An answer with an odd revision is malformed
    Given a store that answers with the revision <revision>
    When a host lists the upstreams
    Then the call fails within 1.0 s

    Examples:
      | revision |
      | null     |
      | "7"      |
      | 1.5      |
      | -1       |
      | 1e30     |
      | [1]      |
