Feature: Limits and pauses that upstreams ask for in their answers
  Guards against an upstream in need that gets more requests than it takes, from hosts that each
  respect its limit or that do not know of each other.

  Scenario Outline: Hosts respect the rate limit that an upstream states, all together
    Given <hosts> hosts that send all they may to an upstream with a limit of <rate> a second
    When some of the hosts restart and others join within 40 s
    Then the upstream gets at most <most> requests in any 4 s from hosts that know the limit
    And it gets at least half of its limit over the whole time

    Examples:
      | hosts | rate | most |
      | 1     | 4.8  | 33   |
      | 7     | 4.8  | 33   |
      | 7     | 18.2 | 114  |
      | 26    | 0.5  | 8    |
      | 300   | 2.0  | 17   |

  Scenario: Hosts send at the full rate again once an upstream states no limit any more
    Given 7 hosts that send all they may to an upstream with a limit of 4.8 a second
    When the upstream states no limit from 20 s on
    Then each host may send without a limit at 25 s

  Scenario: A request beyond the rate limit of all upstreams is rejected with the time to return
    Given a host with an upstream that states a limit of 1 a second
    When the host gets 8 requests in turn
    Then 4 of them are served, and the others get 503 with a Retry-After of at most 1.4 s

  Scenario: An upstream whose answer says that it leaves gets nothing more, not even after its entry is back
    Given a host with upstreams "a" and "b"
    And each answer of upstream "a" has the header "Server-Leaving: 1"
    When the client sends 12 requests for different objects
    Then upstream "a" has got 1 request, and all 12 are answered with 200
    When the entry of upstream "a" vanishes and comes back
    And the client sends 12 requests for different objects
    Then upstream "a" has got 1 request, and all 12 are answered with 200

  Scenario: An upstream that sheds with a Retry-After gets nothing until that time has passed
    Given a host with upstreams "a" and "b"
    And upstream "a" has the fault shed
    And each answer of upstream "a" has the header "Retry-After: 0.6"
    When the client sends 12 requests for different objects
    Then upstream "a" has got 1 request, and all 12 are answered with 200
    When the clients wait for 0.7 s
    And the client sends 12 requests for different objects
    Then upstream "a" has got 2 request, and all 12 are answered with 200

  Scenario Outline: What an upstream asked for holds after its entry was away for a moment
    Given a host that knows an upstream which <state>
    When the entry of the upstream vanishes at 10.0 s and comes back at 10.5 s
    Then the host sends nothing to the upstream at 10.6 s

    Examples:
      | state                        |
      | asked for a pause of 5 s     |
      | has got all that its limit permits |
      | has got all that it tolerates while it is cold |

  Scenario: An upstream that was unreachable is tried again, as a cold one, after its entry was away
    Given a host that knows an upstream which was unreachable
    When the entry of the upstream vanishes at 10.0 s and comes back at 10.5 s
    Then the host takes the upstream for reachable and cold at 10.6 s
