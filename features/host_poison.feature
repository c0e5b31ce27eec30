Feature: Requests that crash upstreams are recognised and blocked
  Guards against a request that crashes one upstream after the other as its client retries it, and
  against blocking other requests that were in progress as upstreams crashed.

  Scenario: A request is blocked after three separate crashes, two of them reported by peers
    Given a table of suspected requests
    When upstream "a" crashes at 1.0 s while it runs the request
    And a peer reports that upstream "b" crashed at 2.0 s while it ran the request
    Then the request is not blocked at 2.5 s
    When a peer reports that upstream "c" crashed at 3.0 s while it ran the request
    Then the request is blocked at 3.5 s
    And the request is not blocked at 130.0 s
    And the crashes to send to peers at 3.5 s name upstreams "a", "b" and "c"

  Scenario: A crash that several hosts report counts once
    Given a table of suspected requests
    When upstream "a" crashes at 1.0 s while it runs the request
    And a peer reports that upstream "a" crashed at 2.0 s while it ran the request
    And a peer reports that upstream "a" crashed at 3.0 s while it ran the request
    Then the request is not blocked at 3.5 s

  Scenario: A power cut that takes down many upstreams blocks nothing
    Given a table of suspected requests
    When 8 upstreams crash within 0.3 s from 1.0 s on, all running the request
    Then the request is not blocked at 2.0 s

  Scenario: A request that is answered between crashes is not blocked
    Given a table of suspected requests
    When upstream "a" crashes at 1.0 s while it runs the request
    And upstream "b" crashes at 2.0 s while it runs the request
    And the request is answered at 2.5 s
    And upstream "c" crashes at 3.0 s while it runs the request
    Then the request is not blocked at 3.5 s

  Scenario: A request is not suspected if its upstream is found down much later
    Given a table of suspected requests
    When the request's connection to upstream "a" breaks at 1.0 s and it is found down at 4.0 s
    Then the request is not suspected

  Scenario: A request that crashes upstreams is blocked after the third one
    Given a host whose 5 upstreams crash when they run a request
    When the client sends the same non-idempotent request 6 times, 0.5 s apart
    Then 3 upstreams have run it, and the last 3 answers are 503
    And the host logs that the request is blocked
