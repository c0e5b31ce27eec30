Feature: Decisions of the host program
  Guards against a host that returns to an older configuration, sends requests to upstreams that
  must not get any, or wastes slots when there are more requests than slots.

  Scenario Outline: A path with many slashes takes no longer to route than its length explains
    Given a route whose prefix has <slashes> slashes
    Then a path of 15900 slashes is routed within 10 ms, and one of 64000 within 40 ms

    Examples:
      | slashes |
      | 1       |
      | 200     |
      | 60000   |

  Scenario: The longest prefix selects the route
    Given routes with the prefixes "/", "/a/" and "/a/b/"
    Then the path "/a/b/c" is routed by "/a/b/"
    And the path "/a/x" is routed by "/a/"
    And the path "/ab" is routed by "/"
    And a path of another site matches no route

  Scenario: A traffic split keeps its weights over any 50 consecutive requests
    Given a route that is split 90 to 10
    Then any 50 consecutive requests give the smaller part 4 to 6

  Scenario: A host never returns to an older configuration
    Given a belief with configuration 7
    When configuration 5 arrives
    Then configuration 7 is in force

  Scenario: An upstream is forgotten at once when its entry is removed
    Given a belief with upstream "a"
    When the entry of "a" is removed at 10.0 s
    Then "a" is not known

  Scenario: Entries that expired during a store outage are kept for 2 s
    Given a belief with upstream "a"
    When the store is lost and regained at 10.0 s
    And the entry of "a" is removed at 10.1 s
    Then "a" is still known at 11.9 s and not at 12.1 s

  Scenario: An entry that is added again within the grace period stays
    Given a belief with upstream "a"
    When the store is lost and regained at 10.0 s
    And the entry of "a" is removed at 10.1 s
    And the entry of "a" is added again
    Then "a" is still known at 13.0 s

  Scenario: All hosts together respect the permitted rate of a cold upstream
    Given 3 hosts that see a cold upstream
    Then together they send it at most 21 requests in any second

  Scenario: Requests from other regions avoid cold upstreams
    Given a host of another region that sees a cold upstream
    Then it places no request on that upstream

  Scenario: An upstream that is draining, or whose zone is evacuated, gets no requests
    Given a draining, an evacuated and a serving upstream
    Then 50 requests all go to the serving one

  Scenario: All hosts send requests for one object to the same upstream
    Given 3 hosts that see 6 upstreams
    Then each of 40 objects is placed on the same upstream by all of them

  Scenario: A full preferred upstream keeps its object while most slots are in use
    Given a host that sees 6 upstreams
    When all upstreams report 3 running and waiting
    And the preferred upstream of an object reports 2 running and waiting
    Then 30 requests for the object use at most 1 upstreams

  Scenario: A full preferred upstream shares its object with two others while most slots are free
    Given a host that sees 6 upstreams
    When the preferred upstream of an object reports 2 running and waiting
    Then 30 requests for the object use at most 3 upstreams

  Scenario Outline: The object of an unfit preferred upstream goes to one other upstream, not to all
    Given a host that sees 6 upstreams
    When the preferred upstream of an object <fault>
    Then 4 requests for the object use at most 1 upstreams, and not the preferred one

    Examples:
      | fault                       |
      | fails 5 times               |
      | takes 6 times as long twice |

  Scenario: All hosts together respect the connection limit of an upstream
    Given a host among 100 that sees 1 upstreams with 330 connections
    Then it has at most 3 requests in flight at the upstream

  Scenario: A request that can't be served in time is rejected at once
    Given a host that sees 2 upstreams
    When all upstreams report 12 running and waiting
    Then a request is rejected with a retry delay above 0 s

  Scenario: An upstream that sheds requests because it is full gets none for a while
    Given a host that sees 1 upstreams
    When the preferred upstream of an object sheds a request and reports 16 running and waiting
    Then a request is rejected with a retry delay above 0 s

  Scenario: An upstream that sheds requests at random is not taken for a full one
    Given a host that sees 6 upstreams
    When 40 requests a second arrive for 8 s and each upstream sheds 55 of 100 with slots to spare
    Then no request is rejected before it was offered to an upstream

  Scenario: Less urgent requests leave the last slots to more urgent ones
    Given a host that sees 1 upstreams
    When all upstreams report 9 running and waiting
    Then a request of priority rank 0 is placed and one of rank 2 is rejected

  Scenario: An upstream that has stopped answering is avoided
    Given a host that sees 2 upstreams
    When the preferred upstream of an object has answered nothing for 2.0 s
    Then a request for the object goes to the other one

  Scenario: A request whose preferred upstream is full goes to the next one while most slots are free
    Given a host that sees 6 upstreams
    When the preferred upstream of an object reports 12 running and waiting
    Then 4 requests for the object use at most 2 upstreams, and not the preferred one
    When all upstreams report 3 running and waiting
    And the preferred upstream of an object reports 12 running and waiting
    Then a request for the object is rejected

  Scenario: More requests for a very popular object are in time if the next upstream helps out
    Then in the load "popular" more is served in time and less rejected than without spare upstreams

  Scenario Outline: At high load more requests are in time if an object stays on one upstream
    Then in the load "<load>" 1 upstreams per object serve more in time than 2

    Examples:
      | load  |
      | burst |
      | grown |

  Scenario: A region with few upstreams moves its share of objects to others from the start
    Then in the first 4 s of the load "grown" more is served in time than if the share grows from 0

  Scenario: A restarted host starts with the mean spill share of its peers
    Given a host of a region with few upstreams whose peers serve 0.3 of the objects elsewhere
    Then its initial spill share is 0.3

  Scenario: A region with few upstreams serves more in time with the slots of other regions
    Then in the load "scale" moving objects to other regions serves more in time than not

  Scenario Outline: Shifts between regions stay within the bound of 0.15 in 2 s
    Then in the load "<load>" no region's share moves by more than 0.15

    Examples:
      | load  |
      | calm  |
      | scale |
      | burst |

  Scenario: Retries of all hosts together stay within the budget
    Then 5 hosts with 40 requests each retry at most 98 times in 10 s
