Feature: Choice of the hosts that lookups name in a large region
  Guards against lookups that send the load of a region to too few hosts or to a lost zone, that name
  different hosts on different hosts, or that move many clients at once.

  Scenario: Few large hosts carry a region, and none of them more than half of its capacity
    Given a region of 48 hosts in 3 zones, 4 of each zone are 5 times as large as the others
    And a load of 2.0 cores and 0.1 of all links
    When the named hosts are chosen at 0 s
    Then 6 to 12 hosts are named, all of them large, and at least 2 of each zone
    And a named host uses at most half of its capacity, also after the loss of the largest zone

  Scenario: A load that doubles gets more hosts at once and keeps them for 10 s after it falls
    Given a region of 48 hosts in 3 zones, 12 of each zone are 2 times as large as the others
    And a load of 3.0 cores and 0.1 of all links
    When the named hosts are chosen at 0 s
    And the load becomes 6.0 cores and the named hosts are chosen at 1 s
    Then hosts were added and none was removed
    And a named host uses at most half of its capacity, also after the loss of the largest zone
    When the load becomes 3.0 cores and the named hosts are chosen at 2 s
    Then no host was removed until 11.9 s, and from then on one in 2 s until those of 0 s are named

  Scenario Outline: Hosts that no longer serve are replaced at once
    Given a region of 72 hosts in 3 zones, 6 of each zone are 5 times as large as the others
    And a load of 2.0 cores and 0.1 of all links
    When the named hosts are chosen at 0 s
    And <lost> is lost and the named hosts are chosen at 1 s
    Then at least 2 of each zone that is left are named, and none that is lost
    And a named host uses at most half of its capacity, also after the loss of the largest zone

    Examples:
      | lost               |
      | the first host     |
      | the largest zone   |

  Scenario: Lookups agree on the same knowledge, and nearly so if it differs by one host
    Given a region of 48 hosts in 3 zones, 6 of each zone are 5 times as large as the others
    And a load of 3.0 cores and 0.1 of all links
    Then 20 orders of the same hosts give the same named hosts
    And without any single host at most 3 other hosts are named

  Scenario Outline: Requests that wait for memory or for descriptors get more hosts
    Given a region of 48 hosts in 3 zones, 16 of each zone are 1 times as large as the others
    When each host reports that <share> of its <resource> is in use
    Then <least> to <most> hosts are named

    Examples:
      | share | resource         | least | most |
      | 0.01  | memory_share     | 6     | 6    |
      | 0.2   | memory_share     | 26    | 48   |
      | 0.2   | descriptor_share | 26    | 48   |

  Scenario Outline: Regions whose load or capacity is unknown
    Given <count> hosts in 3 zones of which nothing is known but <known>
    Then <least> to <most> hosts are named, at least 2 of each zone

    Examples:
      | count | known    | least | most |
      | 36    | nothing  | 36    | 36   |
      | 37    | nothing  | 19    | 19   |
      | 48    | nothing  | 24    | 24   |
      | 48    | load     | 6     | 24   |
      | 48    | capacity | 24    | 24   |

  Scenario: A load that no number of hosts carries gets the number that carries most
    Given a region of 48 hosts in 3 zones, 6 of each zone are 5 times as large as the others
    And a load of 30.0 cores and 0.1 of all links
    When the named hosts are chosen at 0 s
    Then 18 to 18 hosts are named

  Scenario: A lookup leaves out a named host as soon as it stops serving
    Given a lookup of a host that knows 48 serving hosts of "north" and 3 of "south"
    When its named hosts are chosen and the first named one of "north" stops serving
    Then clients of "north" get the other named hosts, and those of zone "north-1" get theirs first
    And clients of "south" get 3 hosts, and clients of "west" the named hosts of both regions
    When all named hosts of "north" stop serving
    Then clients of "north" get its other hosts, and the change of the named hosts is logged

  Scenario: The load that a host measures follows a load that doubles
    Given a host of 0.5 cores and a link of 1000000 bytes a second
    When it serves 100 requests of 1200 bytes a second with 0.1 cores for 10 s, then 200 with 0.2
    Then after 2 s it reports more than 170 requests a second, 0.27 of its cores and 0.3 of its link

  Scenario: Heartbeats are in order where their low bits, which a datagram carries, start over
    Then heartbeat 65540 is 5 newer than 65535, which is not newer

  Scenario: Control traffic of a large region is no load of requests
    Guards against regions that name all their hosts, as each spends more on the others than on requests.
    Given a host of 0.3 cores and a link of 1000000 bytes a second
    When it serves 8 requests of 1200 bytes a second with 0.06 cores for 10 s, then 8 with 0.06
    Then it reports at most 0.06 of its cores
