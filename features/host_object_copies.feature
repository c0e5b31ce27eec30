Feature: Copies of popular objects
  Guards against a popular object that fills one upstream while others are idle, and against copies
  that cost cold runs and places in caches without a gain.

  Scenario: An object becomes popular, moves to another one, and goes
    Given a host that sees 20 upstreams, on which cold runs take 4 times as long
    When "a" gets 240 requests a second for 4 s
    Then "a" has 3 to 10 copies, and never got more than 1.5 times as many, plus 1, in 0.25 s
    When "b" gets 60 requests a second for 24 s, and "a" one a second
    Then "b" has 3 to 10 copies
    And "a" has 1 to 1 copies
    When nothing is asked for in 31 s
    Then the demand of 1 objects is kept after a request for "c"

  Scenario Outline: An object keeps one copy without enough demand, a gain, or a place for more
    Given a host that sees <upstreams> upstreams, on which cold runs take <factor> times as long
    And it is one of <hosts> hosts that carry the region, and <objects> other objects are in use
    When "a" gets <rate> requests a second for <seconds> s
    Then "a" has <low> to <high> copies

    Examples: low demand, one request at one of 300 hosts, noise, one upstream, caches full, copies
      | upstreams | factor | hosts | objects | rate | seconds | low | high |
      | 20        | 4      | 1     | 0       | 4    | 10      | 1   | 1    |
      | 20        | 4      | 300   | 0       | 1    | 1       | 1   | 1    |
      | 20        | 1.2    | 1     | 10      | 60   | 4       | 1   | 1    |
      | 1         | 4      | 1     | 10      | 60   | 4       | 1   | 1    |
      | 20        | 4      | 1     | 700     | 60   | 4       | 1   | 1    |
      | 20        | 4      | 10    | 0       | 6    | 10      | 3   | 10   |

  Scenario: A route that isn't sticky has no copies
    Given a host that sees 20 upstreams, on which cold runs take 4 times as long
    And its route isn't sticky
    When "a" gets 60 requests a second for 4 s
    Then the demand of 0 objects is kept after a request for "a"

  Scenario: Hosts whose estimates differ share the first copies
    Given a host that sees 20 upstreams, on which cold runs take 4 times as long
    Then 3 copies are the first 3 upstreams of the ranking, and 6 copies the first 6

  Scenario: No copy that carries far more than the others gets a request
    Given a host that sees 20 upstreams, on which cold runs take 4 times as long
    Then of 6 copies with random loads none with more than 1.5 times their mean load is chosen

  Scenario: An unfit copy gets no requests while another is fit
    Given a host that sees 20 upstreams, on which cold runs take 4 times as long
    When "a" gets 60 requests a second for 4 s
    Then 50 requests for "a" avoid its first copy if that fails, and use at least 2 others

  Scenario Outline: What an upstream remembers is discarded when another process may answer
    Then an object is not taken for known after the entry of its upstream changes in <field>

    Examples:
      | field       |
      | incarnation |
      | cold_s      |
      | address     |

  Scenario Outline: The number of objects that an upstream remembers is learned from service times
    Given a host that sees 1 upstreams, on which cold runs take <factor> times as long
    When 4000 runs of 40 objects are timed, of which the upstream remembers 12
    Then <low> to <high> objects are taken for remembered

    Examples: learned, and not learned from noise
      | factor | low | high |
      | 4      | 8   | 16   |
      | 1.2    | 48  | 48   |

  Scenario: Memory and metrics are bounded
    Given a host that sees 20 upstreams, on which cold runs take 4 times as long
    When 20000 objects and 100 services are in use within a second
    Then the demand of 4096 objects is kept after a request for "a"
    And 22 gauges tell of copies and remembered objects
