Feature: Decisions of a dispatcher
  Guards against limits that are exceeded while processes die, are paused or are disconnected, and
  against requests that are lost, repeated or reported with a wrong verdict.

  Scenario: After a restart, work of the earlier process still counts against the slots
    Given dispatchers of the north region that have served for 10 s
    When host-0 gets 4 deposits of 3 s
    And the dispatchers run on for 0.1 s
    And host-0 is killed and started again
    And host-0 gets 10 requests every 0.1 s for 6 s
    Then no upstream ran more requests than its slots
    And host-0 started nothing between 0.1 s and 4.5 s after its start

  Scenario: Both sides of a partition use their own slots only
    Given dispatchers of the north region that have served for 10 s
    When host-0 and host-1 are cut off from each other
    And host-0 and host-1 get 10 requests every 0.1 s for 12 s
    Then no upstream ran more requests than its slots
    And host-1 ran requests at catalogue-north-a
    And host-0 started nothing on a borrowed slot after 2 s

  Scenario: A dispatcher that was paused past its loan starts no work on the borrowed slot
    Given dispatchers of the north region that have served for 10 s
    When host-0 gets 3 requests of 3 s
    And host-0 is paused before its requests are written
    And the dispatchers run on for 9 s
    And host-0 resumes
    Then no upstream has run a request
    And each request has ended once

  Scenario: Moved slots stay with the former owner until it accepts the generation that moved them
    Given dispatchers of the north region that have served for 10 s
    When host-0 is cut off
    And generation 2 gives the upstreams of host-0 to host-1
    And host-0 and host-1 get 10 requests every 0.1 s for 12 s
    Then no upstream ran more requests than its slots
    And host-0 ran requests at catalogue-north-a
    When the network is restored and host-0 accepts generation 2
    And host-0 and host-1 get 10 requests every 0.1 s for 8 s
    Then no upstream ran more requests than its slots
    And host-1 ran requests at catalogue-north-a

  Scenario: A host that skips the generation that moved its slots does not use them twice
    Given dispatchers of the north region that have served for 10 s
    When host-0 is cut off
    And generation 2 gives the upstreams of host-0 to host-1
    And the dispatchers run on for 2 s
    And host-0 skips to a generation 3 that gives them back, which host-1 does not get
    And host-0 and host-1 get 10 requests every 0.1 s for 12 s
    Then no upstream ran more requests than its slots

  Scenario: A host that skips a generation still waits for the host that it gave the slots to
    Given dispatchers of the north region that have served for 10 s
    When host-0 is cut off
    And generation 2 gives the upstreams of host-0 to host-1
    And the dispatchers run on for 2 s
    And host-0 skips to a generation 3 that gives them back, which host-1 does not get
    And host-1 skips to a generation 4 that takes them again
    And host-0 and host-1 get 10 requests every 0.1 s for 12 s
    Then no upstream ran more requests than its slots

  Scenario: The shift cap holds for requests whose home region is unknown or changes
    Given dispatchers of the north region that have served for 10 s
    When host-0 gets 100 requests in 2 s whose home is south, unknown and south in turns
    Then host-0 admitted at most 10 foreign requests in any second
    And the excess was reported as not run with the limit shift_cap_per_s

  Scenario: Work of another region that waited for slots starts no faster than the shift cap
    Given dispatchers of the north region that have served for 10 s
    When host-0 gets 10 requests of south a second while all slots are busy for 2 s
    Then host-0 admitted at most 10 foreign requests in any second

  Scenario: A restarted dispatcher counts its share of the shift cap as used
    Given dispatchers of the north region that have served for 10 s
    When host-0 is killed and started again
    And the dispatchers run on for 6 s
    And host-0 gets 30 requests of south at once
    Then host-0 admitted at most 10 foreign requests in any second

  Scenario: A poison request that is sent 100 times at once takes down at most 2 upstreams
    Given a dispatcher with 5 upstreams of its own
    When host-0 gets a poison request 100 times at once
    And the dispatchers run on for 5 s
    Then at most 2 upstreams died
    And each request has ended once

  Scenario: A poison request that is sent repeatedly takes down at most 2 upstreams
    Given a dispatcher with 5 upstreams of its own
    When host-0 gets a poison request 100 times, each after the end of the previous one
    Then at most 2 upstreams died
    And the last request was reported as not run because of blocked_request

  Scenario: Other requests of an upstream that died run again alone and are cleared
    Given a dispatcher with 5 upstreams of its own
    When host-0 gets 200 requests in 2 s
    And host-0 gets 15 requests of 0.2 s, one of them a poison request
    And the dispatchers run on for 6 s
    Then at most 2 upstreams died
    And all requests but the poison request were answered

  Scenario: Non-idempotent work on an upstream that died may have run and is not repeated
    Given a dispatcher with 5 upstreams of its own
    When host-0 gets a deposit that takes its upstream down
    And the dispatchers run on for 2 s
    Then the deposit was reported as may have run and ran once

  Scenario: A late answer goes to no other request, and the slot stays occupied until it arrives
    Given a dispatcher with 1 upstream of its own that ignores cancellation
    When host-0 gets 3 requests of 1 s with a deadline of 0.5 s
    And the dispatchers run on for 0.7 s
    And host-0 gets 3 requests
    And the dispatchers run on for 2 s
    Then no upstream ran more requests than its slots
    And the first 3 requests were reported as may have run
    And each answer belongs to its request

  Scenario: Work that an upstream refused runs at another upstream
    Given a dispatcher with 2 upstreams of its own
    When a send of a deposit fails as not run
    Then the deposit is sent to the other upstream

  Scenario: Work that may have run is not sent again
    Given a dispatcher with 2 upstreams of its own
    When a send of a deposit fails as may have run
    Then the deposit is reported as may have run

  Scenario Outline: An upstream gets no new work after any sign that it is leaving
    Given a dispatcher with 2 upstreams of its own
    When <sign> says that the first upstream is leaving
    And host-0 gets 200 requests in 2 s
    Then the first upstream got no request after the sign

    Examples:
      | sign              |
      | the host list     |
      | the configuration |
      | an answer         |
      | a refusal         |

  Scenario: Work that cannot start in time is refused when it arrives
    Given a dispatcher with 1 upstream of its own
    When host-0 gets 300 requests in 0.1 s with a deadline of 1 s
    Then requests were refused with the limit queue when they arrived
    When the dispatchers run on for 3 s
    Then at least 45 requests were answered
    And at most 3 requests passed their deadline

  Scenario: A request beyond the region's limit is refused before it is sent to an upstream
    Given a dispatcher with 5 upstreams of its own and a region limit of 6
    When host-0 gets 100 requests in 0.01 s
    Then at most 6 requests ran at the same time
    And requests were refused with the limit max_in_flight when they arrived

  Scenario: Long work leaves slots to short work
    Given a dispatcher with 5 upstreams of its own
    When host-0 has learned that the route /report/all takes 2 s
    And host-0 gets 20 requests of 2 s to the route /report/all
    And host-0 gets 200 requests in 2 s
    Then at most 6 requests of the route /report/all ran at the same time
    And the other requests took at most 0.2 s

  Scenario: Work on a slowed upstream is hedged within the budget, and the slower send is cancelled
    Given a dispatcher with 5 upstreams of its own
    When host-0 gets 200 requests in 2 s
    And the first upstream becomes 20 times slower
    And host-0 gets 400 requests in 4 s
    Then hedges were sent, at most 30
    And the slowed upstream ran at most 40 more requests
    And each answer belongs to its request

  Scenario: A request on a healthy upstream is not hedged, however long it takes
    Given a dispatcher with 5 upstreams of its own
    When host-0 gets 200 requests in 2 s
    And host-0 gets 1 requests of 2 s
    And the dispatchers run on for 3 s
    Then no hedges were sent

  Scenario: An upstream that was down warms up from half its slots
    Given a dispatcher with 1 upstream of its own
    When the first upstream was down and a probe finds it healthy
    And host-0 gets 10 requests of 1 s
    Then the first upstream runs 2 requests
    When the dispatchers run on for 6 s
    And host-0 gets 10 requests of 1 s
    Then the first upstream runs 3 requests

  Scenario Outline: Limits and verdicts hold during random faults
    Given dispatchers of the north region with two hosts in each zone
    When 40 random faults, changes and requests happen with seed <seed>
    Then no invariant was broken

    Examples:
      | seed |
      | 73   |
      | 183  |
      | 238  |
      | 272  |
      | 297  |
