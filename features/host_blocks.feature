Feature: Blocks of requests that crash upstreams are known to all hosts
  Guards against knowledge that a limit needs and a process lacks that has just started, and against
  a wrong block that spreads or never ends.

  Scenario Outline: Hosts that start again know what is blocked
    Given hosts "a, b, c" that send each other heartbeats over loopback
    When host "a" notices that a request has crashed three upstreams
    Then hosts "a, b, c" block the request within 2 s
    When the hosts run on for 3.5 s
    And hosts "<again>" start again one after the other, <how>
    Then hosts "a, b, c" block the request within 3 s

    Examples:
      | again   | how                                    |
      | b       | with all datagrams                     |
      | a, b, c | with all datagrams                     |
      | a, b, c | and lose the first two that they send  |
      | c       | after 4 s without any datagram         |

  Scenario: A host that starts again knows the crashes of requests that are not blocked yet
    Given hosts "a, b" that send each other heartbeats over loopback
    When host "a" notices that a request has crashed two upstreams
    And the hosts run on for 3.5 s
    And hosts "b" start again one after the other, with all datagrams
    And the hosts run on for 1.5 s
    And host "b" notices that the request has crashed a third upstream
    Then hosts "a, b" block the request within 2 s

  Scenario: A host that starts again is told at once what is blocked
    Given hosts "a, b" that send each other heartbeats over loopback
    When host "b" starts again and waits for 0.3 s
    Then it has been told what is blocked

  Scenario Outline: A host counts as ready once a serving peer has told it what is blocked
    Given a host that starts with seeds "<seeds>"
    When it gets answers of "<answers>" within 0.2 s
    Then it <state> at 0.3 s and is ready at 1.0 s, and at <asking> s it asks for all blocks

    Examples:
      | seeds | answers            | state        | asking |
      |       |                    | is ready     | none   |
      | x, y  | x serving          | is ready     | none   |
      | x, y  | z serving          | is ready     | none   |
      | x, y  | x starting         | is not ready | 3.9    |
      | x, y  | x unknown          | is not ready | 3.9    |
      | x, y  |                    | is not ready | 3.9    |
      | x, y  | x starting, y starting | is ready | none   |

  Scenario: A host program serves only when its peers have told it what is blocked
    Given a host program with a seed that has all that the store tells
    Then it is not ready, and is ready once the seed has told what is blocked

  Scenario Outline: A block that is told in any order counts once
    Given the hosts "a, b, c", which share blocks
    When the request crashes upstreams "u1, u2, u3" at host "a" from 10 s on
    And the hosts tell each other "<told>" from 13 s on, each message <late> s late
    Then the request is blocked for the 1st time at hosts "a, b, c" from 11 s to <end> s

    Examples:
      | told                         | late | end |
      | a-b, a-c                     | 0    | 131 |
      | a-b, b-c, c-a, b-a           | 0    | 131 |
      | a-b, a-b, b-a, a-b, c-b, b-c | 0    | 131 |
      | a-b, b-c, c-a                | 2    | 131 |

  Scenario: A crash after a block has ended blocks the request at once and for longer
    Given the hosts "a, b, c", which share blocks
    When the request crashes upstreams "u1, u2, u3" at host "a" from 10 s on
    And the hosts tell each other "a-b, a-c" from 13 s on, each message 0 s late
    And the request crashes upstreams "u4" at host "b" from 140 s on
    And the hosts tell each other "b-a, b-c" from 141 s on, each message 0 s late
    Then the request is blocked for the 2nd time at hosts "a, b, c" from 142 s to 600 s

  Scenario: A host that did not know of a block does not shorten the next one
    Given the hosts "a, b", which share blocks
    When the request crashes upstreams "u1, u2, u3" at host "a" from 10 s on
    And the request crashes upstreams "u4, u5, u6" at host "b" from 140 s on
    And the hosts tell each other "a-b, b-a" from 143 s on, each message 0 s late
    Then the request is blocked for the 2nd time at hosts "a, b" from 144 s to 600 s

  Scenario: A block that an answer has ended does not end a later one of another host
    Given the hosts "a, b", which share blocks
    When the request crashes upstreams "u1, u2, u3" at host "a" from 10 s on
    And the request is answered at host "a" at 14 s
    And the request crashes upstreams "u4, u5, u6" at host "b" from 55 s on
    And the hosts tell each other "a-b, b-a" from 58 s on, each message 0 s late
    Then the request is blocked for the 2nd time at hosts "a, b" from 59 s to 530 s

  Scenario Outline: An answer ends a block on all hosts
    Given the hosts "a, b, c", which share blocks
    When the request crashes upstreams "u1, u2, u3" at host "a" from 10 s on
    And the hosts tell each other "<before>" from 13 s on, each message 0 s late
    And the request is answered at host "b" at <answered> s
    And the hosts tell each other "<after>" from 15 s on, each message 0 s late
    Then the request is blocked at hosts "<blocked>" at 20 s

    Examples:
      | before   | answered | after              | blocked |
      | a-b, a-c | 14       |                    | a, c    |
      | a-b, a-c | 14       | b-a, a-c           |         |
      | a-b, a-c | 14       | c-b                | a       |
      |          | 9        | a-b, b-a, a-c, b-c |         |
      |          | 14       | a-c, c-b, b-a, a-c |         |

  Scenario: A late report of a crash does not block a request again that was answered
    Given the hosts "a, b", which share blocks
    When the request crashes upstreams "u1, u2, u3" at host "a" from 10 s on
    And the hosts tell each other "a-b" from 13 s on, each message 0 s late
    And the request is answered at host "b" at 60 s
    And the hosts tell each other "b-a" from 61 s on, each message 0 s late
    And host "a" gets reports at 100 s of crashes of "u7, u8, u9" from 55 s on
    Then the request is blocked at hosts "" at 101 s

  Scenario: Crashes later than an answer block a request again
    Given the hosts "a, b", which share blocks
    When the request crashes upstreams "u1, u2, u3" at host "a" from 10 s on
    And the request is answered at host "a" at 14 s
    And the request crashes upstreams "u4, u5" at host "a" from 50 s on
    Then the request is blocked at hosts "" at 53 s
    When the request crashes upstreams "u6" at host "a" from 55 s on
    And the hosts tell each other "a-b" from 57 s on, each message 0 s late
    Then the request is blocked for the 2nd time at hosts "a, b" from 58 s to 500 s

  Scenario: Copies of a request on trial are let through one at a time, and by one host after another
    Given the hosts "a, b, c, d", which share blocks
    When the request crashes upstreams "u1, u2, u3" at host "a" from 10 s on
    And the hosts tell each other "a-b, a-c, a-d" from 13 s on, each message 0 s late
    Then each host admits no copy before 131 s and one at a time from then on
    And the hosts begin the trial 0.5 s or more apart within 30 s

  Scenario: A copy on trial is not sent to a second upstream
    Given the hosts "a, b", which share blocks
    When the request crashes upstreams "u1, u2, u3" at host "a" from 10 s on
    And the hosts tell each other "a-b" from 13 s on, each message 0 s late
    Then the request is suspected at host "b" at 170 s

  Scenario: Many other requests push out neither a block nor the crashes of a suspected request
    Given the hosts "a, b", which share blocks
    When the request crashes upstreams "u1, u2, u3" at host "a" from 10 s on
    And the request crashes upstreams "u4" at host "a" from 131 s on
    And another request crashes upstreams "u1, u2" at host "a" from 140 s on
    And 5000 other requests crash upstream "u9" at host "a" at 150 s
    And 300 other requests crash 3 upstreams each at host "a" from 160 s on
    Then host "a" knows at most 256 blocks, and tells a new host of both in a datagram of 12000 bytes
    And a digest for a host that knows others takes at most 1000 bytes

  Scenario: Hosts of the version before get and send datagrams that both understand
    Given the hosts "a, b", which share blocks
    When the request crashes upstreams "u1, u2, u3" at host "a" from 10 s on
    Then what "a" sends to a host that has not asked has the fields of the version before
    And a datagram of the version before is understood, and one with further fields as well
