Feature: Ranking of entry hosts
  Guards against clients being sent to hosts that cannot serve them, to the wrong region, or back
  and forth between regions.

  Scenario: The longest matching block determines the zone
    Given random nested client blocks of both address families
    Then the block table finds the same zones as a search of all blocks

  Scenario Outline: Addresses at the edges of blocks
    Given a routing table with the blocks 10.0.0.0/8, 10.1.0.0/16, 10.1.2.3 and 2001:db8::/32
    Then the block of <client> belongs to <zone>

    Examples:
      | client             | zone    |
      | 9.255.255.255      | none    |
      | 10.0.0.0           | north-a |
      | 10.1.0.0           | north-b |
      | 10.1.255.255       | north-b |
      | 10.1.2.3           | south-a |
      | 10.1.2.4           | north-b |
      | 10.2.0.0           | north-a |
      | 11.0.0.0           | none    |
      | ::ffff:10.1.2.3    | south-a |
      | 2001:db8::1        | south-b |
      | 2001:db9::         | none    |

  Scenario: The error for a malformed block names the block
    When a routing table is built with the block 10.0.0.0/33
    Then the routing error names 10.0.0.0/33

  Scenario: The nearest zone comes first, then its sibling, then other regions
    Given a routing table with all hosts alive
    Then client 10.0.0.1 is ranked to host-0, host-1, host-2, host-3

  Scenario: A client of an unknown block stays in the region of the host that answers the lookup
    Given a routing table with all hosts alive
    Then client 192.0.2.1 with a lookup to zone south-b is ranked first to host-3
    And its cause is unknown_block

  Scenario Outline: Hosts that cannot serve come last or not at all
    Given a routing table with host-0 <state>
    Then client 10.0.0.1 is ranked to <hosts>

    Examples:
      | state                       | hosts                          |
      | dead                        | host-1, host-2, host-3, host-0 |
      | leaving                     | host-1, host-2, host-3         |
      | behind for 1 s              | host-0, host-1, host-2, host-3 |
      | behind for 11 s             | host-1, host-2, host-3, host-0 |

  Scenario: No host is named while all are leaving
    Given a routing table with all hosts leaving
    Then client 10.0.0.1 is ranked to no host

  Scenario: A ticket names a live home and an arbiter in another zone of the region
    Given a routing table with all hosts alive
    Then a ticket for client 10.0.0.1 has home host-0 and arbiter host-1

  Scenario: A ticket of an isolated zone has no arbiter
    Given a routing table with host-1 dead
    Then a ticket for client 10.0.0.1 has home host-0 and arbiter None

  Scenario: A ticket does not name a dead home
    Given a routing table with host-0 dead
    Then a ticket for client 10.0.0.1 has home host-1 and arbiter None

  Scenario: A planned shift moves its percentage of the networks and does not split a network
    Given a routing table with a shift of 30 percent from north to south
    Then between 27 and 33 percent of 2000 networks go to south
    And all clients of one network go to the same region each time

  Scenario: A planned shift stays under the cap of its target
    Given a routing table with a shift of 100 percent from north to south
    When 100 clients of north look up within one second
    Then 5 of them go to south and the others stay

  Scenario: The clients of a lost region go to another region
    Given a routing table with all hosts of north dead
    Then client 10.0.0.1 is ranked first to a host of south
    And its cause is region_lost

  Scenario: An overloaded region spills without oscillation
    Given north receives 130 percent of its capacity and south 30 percent
    When clients with cached lookups follow the shares for 300 seconds
    Then the share of north settles between 0.2 and 0.5 and changes direction at most twice

  Scenario: The spill share returns to zero after the overload ends
    Given north receives 130 percent of its capacity and south 30 percent
    When clients with cached lookups follow the shares for 120 seconds
    And the demand of north falls to 40 percent
    And clients with cached lookups follow the shares for 200 seconds
    Then the share of north settles between 0 and 0.001 and changes direction at most twice

  Scenario: Outdated load reports do not change the spill share
    Given load reports of north that are 11 seconds old and show 200 percent
    When the view is updated for 60 seconds
    Then the share of north is 0

  Scenario Outline: Spill does not overload its target
    Given north receives 130 percent of its capacity and south <south> percent
    When clients with cached lookups follow the shares for 200 seconds
    Then the share of north settles between 0 and <share> and changes direction at most twice

    Examples:
      | south | share |
      | 130   | 0.001 |
      | 90    | 0.001 |
      | 80    | 0.12  |
