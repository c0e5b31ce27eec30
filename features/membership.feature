Feature: Membership
  Guards against stopped hosts shown as alive and live hosts shown as down, after lost messages,
  pauses or restarts, and against messages and tables that grow with the size of the fleet.

  Scenario: A host is down after 3 s without a higher heartbeat and back with the next one
    Given a table that has an entry of host-1 with heartbeat 5
    When 2.9 s pass
    Then host-1 is alive
    When heartbeat 5 of host-1 is received
    And 0.2 s pass
    Then host-1 is down
    When heartbeat 6 of host-1 is received
    Then host-1 is alive

  Scenario: An older entry does not restore a former state
    Given a table that has an entry of host-1 with heartbeat 5
    When host-1 is reported with heartbeat 7 and state leaving
    And host-1 is reported with heartbeat 6 and state serving
    Then host-1 is leaving

  Scenario: A pause of this process does not mark its peers as down
    Given a table that has an entry of host-1 with heartbeat 5
    When 20 s pass while the process is paused
    Then host-1 is alive
    When 3.2 s pass
    Then host-1 is down

  Scenario: A restarted agent whose clock is behind exceeds the heartbeat of its former incarnation
    Given a table that has an entry of host-1 with heartbeat 5
    When an entry of another incarnation of its own host is received with heartbeat 900
    Then its own next heartbeat is 902

  Scenario: A heartbeat of another incarnation does not refresh an entry
    Given a table that has an entry of host-1 with heartbeat 5
    When a heartbeat with number 6 for another entry of host-1 is merged
    And 3.2 s pass
    Then host-1 is down

  Scenario: Hosts that the configuration does not name are removed and not added again
    Given a table that has an entry of host-99 with heartbeat 5
    When the configuration is applied
    And heartbeat 8 of host-99 is received
    Then host-99 is not in the table

  Scenario: Without a configuration the size of the table is limited
    When 5000 unknown hosts are reported
    Then the table holds at most 4096 hosts

  Scenario: Tables that merge each other's deltas in any order agree
    Then 40 random sequences of entries end in the same table in any order

  Scenario: Agents with different configurations exchange full entries
    Given a table that has an entry of host-1 with heartbeat 5
    When it exchanges with a table of another configuration
    Then both know host-1 and host-2

  Scenario: Each near peer is chosen within a few rounds, including one that is down
    When peers are chosen 6 times among 7 hosts of which host-3 is down
    Then each other host was chosen at least once

  Scenario: A live peer that has been silent for 2 s is chosen next
    Then in 20 random orders the one of 7 hosts that has been silent for 2 s is chosen next

  Scenario: A fleet of 70 hosts agrees on which hosts are alive, in near and far zones
    Given a fleet of 70 hosts that ran for 8 s
    Then all tables show the right hosts as alive
    And each host holds the entries of its region and no others
    When 3 hosts are disconnected and 16 s pass
    Then all tables show the right hosts as alive
    And no live host was ever marked as down
    When the 3 hosts are connected again and 12 s pass
    Then all tables show the right hosts as alive

  Scenario: Messages between hosts of a fleet of 2,000 stay short
    Given two tables of a fleet of 2000 hosts that hold all zone summaries
    Then a digest has at most 1000 bytes and an answer without changes at most 200 bytes
    And an answer with changes of 10 hosts and 20 zones has at most 2000 bytes
    And each table holds at most 100 individual hosts
