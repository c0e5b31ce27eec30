Feature: Requests that crash upstreams are recognised and blocked
  Guards against a request that takes down one upstream after the other, and against blocking
  innocent requests that were in progress as upstreams died.

  Scenario: A request is blocked after three crashes in turn, two of them seen by peers
    Given a table of suspected requests
    When upstream "a" dies at 1.0 s while it runs the request
    And a peer reports that upstream "b" died at 2.0 s while it ran the request
    Then the request is not blocked at 2.5 s
    When a peer reports that upstream "c" died at 3.0 s while it ran the request
    Then the request is blocked at 3.5 s
    And the request is not blocked at 130.0 s
    And the news at 3.5 s name upstreams "a", "b" and "c"

  Scenario: A crash that several hosts report counts once
    Given a table of suspected requests
    When upstream "a" dies at 1.0 s while it runs the request
    And a peer reports that upstream "a" died at 2.0 s while it ran the request
    And a peer reports that upstream "a" died at 3.0 s while it ran the request
    Then the request is not blocked at 3.5 s

  Scenario: A power cut that takes many upstreams blocks nothing
    Given a table of suspected requests
    When 8 upstreams die within 0.3 s from 1.0 s on, all running the request
    Then the request is not blocked at 2.0 s

  Scenario: A request that is answered meanwhile is not blocked
    Given a table of suspected requests
    When upstream "a" dies at 1.0 s while it runs the request
    And upstream "b" dies at 2.0 s while it runs the request
    And the request is answered at 2.5 s
    And upstream "c" dies at 3.0 s while it runs the request
    Then the request is not blocked at 3.5 s

  Scenario: An upstream that is found down much later says nothing about the request
    Given a table of suspected requests
    When the request breaks at upstream "a" at 1.0 s and it is found down at 4.0 s
    Then the request is not suspected

  Scenario: A request that crashes upstreams stops at the third one
    Given a host whose 5 upstreams crash when they run a request
    When the client sends the same non-idempotent request 6 times, 0.5 s apart
    Then 3 upstreams have run it, and the last 3 answers are 503
    And the host logs that the request is blocked
