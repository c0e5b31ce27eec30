Feature: A host whose file descriptors are used up
  Guards against clients that take all descriptors of a host, so that it refuses all requests since
  it can't connect to its upstreams, and lets further clients wait without an answer.

  Scenario: Clients that only connect left a host no descriptors for its upstreams
    Given a store with a configuration and 2 upstreams
    And a host program with 60 descriptors that uses the store
    Then it is ready within 5 s and lookup lists it
    When 50 clients connect
    Then the first 21 clients send a request each and get 200
    And the last 29 clients send a request each and get 503 with a Retry-After within 1 s each
