Feature: Decisions of the host program
  Guards against belief that goes back, work for upstreams that must not get it, and placement
  that wastes slots when there is more work than slots.

  Scenario: The longest prefix selects the route
    Given routes with the prefixes "/", "/a/" and "/a/b/"
    Then the path "/a/b/c" is routed by "/a/b/"
    And the path "/a/x" is routed by "/a/"
    And the path "/ab" is routed by "/"
    And a path of another site has no route

  Scenario: A split keeps its weights in any run of requests
    Given a route that is split 90 to 10
    Then any 50 requests in a row give the smaller part 4 to 6

  Scenario: Belief never returns to an older configuration
    Given a belief with configuration 7
    When configuration 5 is offered
    Then configuration 7 is in force

  Scenario: An upstream whose entry vanishes is gone at once
    Given a belief with upstream "a"
    When the entry of "a" is removed at 10.0 s
    Then "a" is not believed in

  Scenario: Entries that lapsed during an outage are kept for 2 s
    Given a belief with upstream "a"
    When the store is lost and regained at 10.0 s
    And the entry of "a" is removed at 10.1 s
    Then "a" is still believed in at 11.9 s and not at 12.1 s

  Scenario: An entry that returns within the grace stays
    Given a belief with upstream "a"
    When the store is lost and regained at 10.0 s
    And the entry of "a" is removed at 10.1 s
    And the entry of "a" returns
    Then "a" is still believed in at 13.0 s

  Scenario: Hosts together keep to the rate of a cold upstream
    Given 3 hosts that see a cold upstream
    Then together they send it at most 21 requests in any second

  Scenario: Work from other regions avoids cold upstreams
    Given a host of another region that sees a cold upstream
    Then it places nothing there

  Scenario: An upstream that leaves, or whose zone is evacuated, gets nothing
    Given a draining, an evacuated and a serving upstream
    Then 50 requests all go to the serving one

  Scenario: Work on one object goes to one upstream on all hosts
    Given 3 hosts that see 6 upstreams
    Then each of 40 objects is placed on the same upstream by all of them

  Scenario: A full preferred upstream keeps its object
    Given a host that sees 6 upstreams
    When the preferred upstream of an object reports 2 running and waiting
    Then 30 requests for the object use at most 1 upstreams

  Scenario Outline: An unfit preferred upstream hands its object to one other, not to all
    Given a host that sees 6 upstreams
    When the preferred upstream of an object <fault>
    Then 4 requests for the object use at most 1 upstreams, and not the preferred one

    Examples:
      | fault                       |
      | fails 5 times               |
      | takes 6 times as long twice |

  Scenario: Hosts together keep to the connections of an upstream
    Given a host among 100 that sees 1 upstreams with 330 connections
    Then it has at most 3 requests there at the same time

  Scenario: Work that can't be served in time is rejected at once
    Given a host that sees 2 upstreams
    When all upstreams report 12 running and waiting
    Then a request is rejected with a time to return above 0 s

  Scenario: Less urgent work leaves the last slots to more urgent work
    Given a host that sees 1 upstreams
    When all upstreams report 9 running and waiting
    Then the most urgent route is placed and the third one is rejected

  Scenario: An upstream that has fallen silent is avoided
    Given a host that sees 2 upstreams
    When the preferred upstream of an object has answered nothing for 2.0 s
    Then a request for the object goes to the other one

  Scenario Outline: At high load objects that are kept together are served in time
    Then in the load "<load>" keeping objects to 1 upstreams serves more in time than to 2

    Examples:
      | load  |
      | burst |
      | grown |

  Scenario: At the start a region with few upstreams sends its share away at once
    Then in the first 4 s of the load "grown" more is served in time than if the share grows

  Scenario: A restarted host begins with the share of its peers
    Given a host of a region with few upstreams whose peers serve 0.3 of the objects elsewhere
    Then its first share is 0.3

  Scenario: A region with few upstreams gains from the slots of others
    Then in the load "scale" moving objects to other regions serves more in time than not

  Scenario Outline: Moves between regions keep to the cap of 0.15 in 2 s
    Then in the load "<load>" no region's share moves by more than 0.15

    Examples:
      | load  |
      | calm  |
      | scale |
      | burst |

  Scenario: Retries of all hosts together keep to the budget
    Then 5 hosts with 40 requests each retry at most 98 times in 10 s
