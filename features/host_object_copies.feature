Feature: Copies of popular objects
  Guards against a popular object that fills one upstream while others are idle, and against copies
  that cost cold runs and places in caches without a gain.

  Scenario: An object becomes popular, moves to another one, and goes
    Given a host that sees 20 upstreams, on which cold runs take 4 times as long
    When an object gets 60 requests a second for 4 s
    Then it has 3 to 10 copies
    And at no time had it more than half as many again, plus 1, as 0.25 s before
    When another object gets 60 requests a second for 16 s
    Then that one has 3 to 10 copies, and the first one 1
    When none of them gets requests for 31 s
    Then neither takes memory any more

  Scenario: An object with low demand keeps one copy
    Given a host that sees 20 upstreams, on which cold runs take 4 times as long
    When an object gets 4 requests a second for 10 s
    Then it has 1 to 1 copies

  Scenario: A single request at one host among hundreds doesn't count as hundreds
    Given a host that sees 20 upstreams, on which cold runs take 4 times as long
    And it is one of 300 hosts that carry the region
    When an object gets 1 requests a second for 1 s
    Then it has 1 to 1 copies

  Scenario: Hosts that carry a region together find the demand of all
    Given a host that sees 20 upstreams, on which cold runs take 4 times as long
    And it is one of 10 hosts that carry the region
    When an object gets 6 requests a second for 10 s
    Then it has 3 to 10 copies

  Scenario: Hosts whose estimates differ share the first copies
    Given two hosts that see 20 upstreams, and whose object has 3 and 6 copies
    Then the upstreams that the first one uses are the first 3 of those that the second one uses

  Scenario Outline: No copies without a gain, or where they have no place
    Given a host that sees <upstreams> upstreams, on which cold runs take <factor> times as long
    And its clients ask for <objects> other objects
    When an object gets 60 requests a second for 4 s
    Then it has 1 to 1 copies

    Examples: runs within noise, one upstream, full caches
      | upstreams | factor | objects |
      | 20        | 1.2    | 10      |
      | 1         | 4      | 10      |
      | 20        | 4      | 700     |

  Scenario: A route that isn't sticky has no copies
    Given a host that sees 20 upstreams, on which cold runs take 4 times as long
    When an object of a route that isn't sticky gets 60 requests a second for 4 s
    Then no demand was counted

  Scenario: No copy that carries far more than the others gets a request
    Given a host that sees 20 upstreams, on which cold runs take 4 times as long
    When an object gets 60 requests a second for 4 s
    And loads of its copies vary at random
    Then no request goes to a copy with more than 1.5 times their mean load

  Scenario: An unfit copy gets no requests while another is fit
    Given a host that sees 20 upstreams, on which cold runs take 4 times as long
    When an object gets 60 requests a second for 4 s
    And its first copy fails
    Then 50 requests for it avoid that copy and use at least 2 others

  Scenario Outline: What an upstream remembers is discarded when another process may answer
    Given a host that has sent an object to upstream "a"
    When "a" <change>
    Then the object is not taken for known there

    Examples:
      | change                       |
      | restarts                     |
      | becomes cold                 |
      | moves to another address     |

  Scenario: The number of objects that an upstream remembers is learned from service times
    Given upstreams that remember 12 objects of each host
    When 4000 runs of 40 objects have been timed
    Then 8 to 16 objects are taken for remembered

  Scenario: Nothing is learned about memory from runs within noise
    Given upstreams that remember 12 objects of each host, to no gain
    When 4000 runs of 40 objects have been timed
    Then 48 to 48 objects are taken for remembered

  Scenario: The demand of many objects takes bounded memory
    Given a host that sees 20 upstreams, on which cold runs take 4 times as long
    When 20000 objects get a request each within a second
    Then the demand of 4096 objects is kept, with those of the last ones

  Scenario: Metrics are bounded however many services there are
    Given what 100 services remember has been learned
    Then at most 22 gauges tell of copies and remembered objects
