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

  Scenario: Crashes of processes that the store has not named yet count each
    Given a table of suspected requests
    When upstream "a" crashes at 1.0 s while it runs the request
    And it is back at 2.0 s and crashes at 3.0 s under the same name
    Then the request is not blocked at 3.5 s
    When it is back at 4.0 s and crashes at 5.0 s under the same name
    Then the request is blocked at 5.5 s, also at a peer that has got the reports

  Scenario: A crash under a name that a peer has used for an earlier one counts
    Given a table of suspected requests
    When upstream "a" crashes at 1.0 s while it runs the request
    And it is back at 2.0 s and crashes at 3.0 s under the same name
    And a peer reports the crash at 3.1 s under the name of incarnation 3000
    And it is back at 4.0 s and crashes at 5.0 s under the name of incarnation 3000
    Then the request is blocked at 5.5 s, also at a peer that has got the reports

  Scenario: A crash counts though the report of the one before comes later
    Given a table of suspected requests
    When a peer that knows the crash of "a" at 1.0 s has not told of it
    And it is back at 2.0 s and crashes at 3.0 s under the same name
    And the peer gets the reports and tells of the crash at 1.0 s under the same name at 3.3 s
    And it is back at 4.0 s and crashes at 5.0 s under the same name
    Then the request is blocked at 5.5 s, also at a peer that has got the reports

  Scenario Outline: One crash that is reported under different names counts once
    Given a table of suspected requests
    When upstream "b" crashes at 1.0 s while it runs the request
    And the connection to "a", open since 2.5 s, breaks at <broken> s as "a" crashes
    And a peer reports the crash at <reported> s under the name of incarnation 3000
    And another peer reports the crash at <reported> s under the name of incarnation 4000
    Then the request is not blocked at 5.5 s

    Examples:
      | broken | reported |
      | 3.0    | 3.0      |
      | 3.0    | 3.6      |
      | 3.6    | 3.0      |
      | 4.5    | 3.0      |

  Scenario: A crash counts if the upstream is found down under a new name
    Given a table of suspected requests
    When the request breaks at incarnation 1 of "a", which is found down as incarnation 2
    Then the request is suspected

  Scenario: A request that broke at another address is not suspected
    Given a table of suspected requests
    When the request breaks at incarnation 1 of "a", which is found down at another address
    Then the request is not suspected

  Scenario: A request that broke twice before its upstream was found down once counts once
    Given a table of suspected requests
    When upstream "b" crashes at 1.0 s while it runs the request
    And the request's connections to "a" break at 2.0 s and 2.9 s and it is found down at 3.0 s
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

  Scenario: A request that crashes one upstream again and again before the store names it is blocked
    Given a host whose 1 upstreams crash when they run a request
    When the client sends the same request 5 times, and the upstream is back after each crash
    Then 3 requests have run, and the host logs that the request is blocked

  Scenario: A crash on a kept connection is found without another request
    Given a host with a kept connection to its only upstream
    When the upstream crashes as it runs an order on that connection
    Then the order is suspected within 1.5 s

  Scenario: A request that is blocked while its connection opens is not sent
    Given a host whose 2 upstreams are sound
    When a request is blocked while the host opens a connection for it
    Then its client gets 503, and no upstream has run it
