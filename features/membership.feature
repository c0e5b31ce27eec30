Feature: Membership
  Guards against hosts that are taken for alive after they ended, or for down while they live, and
  against messages and tables that grow with the fleet.

  Scenario: A host is down after 3 s without a higher heartbeat and back with the next one
    Given a table that has heard of host-1 with heartbeat 5
    When 2.9 s pass
    Then host-1 is alive
    When heartbeat 5 of host-1 is heard again
    And 0.2 s pass
    Then host-1 is down
    When heartbeat 6 of host-1 is heard again
    Then host-1 is alive

  Scenario: An old entry does not bring back a former state
    Given a table that has heard of host-1 with heartbeat 5
    When host-1 is heard with heartbeat 7 and state leaving
    And host-1 is heard with heartbeat 6 and state serving
    Then host-1 is leaving

  Scenario: A pause of this process does not make its peers down
    Given a table that has heard of host-1 with heartbeat 5
    When 20 s pass while the process is paused
    Then host-1 is alive
    When 3.2 s pass
    Then host-1 is down

  Scenario: A restarted agent whose clock is behind outbids its former incarnation
    Given a table that has heard of host-1 with heartbeat 5
    When the table hears of its own host from another incarnation with heartbeat 900
    Then its own next heartbeat is 902

  Scenario: A beat of another incarnation does not refresh an entry
    Given a table that has heard of host-1 with heartbeat 5
    When a beat with number 6 for another entry of host-1 is merged
    And 3.2 s pass
    Then host-1 is down

  Scenario: Hosts that the configuration does not name are forgotten and not taken up
    Given a table that has heard of host-99 with heartbeat 5
    When the configuration is taken over
    And heartbeat 8 of host-99 is heard again
    Then host-99 is not in the table

  Scenario: Without a configuration the table is bounded
    When 5000 unknown hosts are heard of
    Then the table holds at most 4096 hosts

  Scenario: Tables that merge each other's deltas in any order agree
    Then 40 random sequences of entries end in the same table in any order

  Scenario: Hosts with different names exchange whole entries
    Given a table that has heard of host-1 with heartbeat 5
    When it exchanges with a table of another configuration
    Then both know host-1 and host-2

  Scenario: Each near peer is asked within a few rounds, and one that is down as well
    When peers are chosen 6 times among 7 hosts of which host-3 is down
    Then each other host was chosen at least once

  Scenario: A living peer that has not been heard for 2 s is asked next
    Then in 20 random orders the one of 7 hosts that was last heard 2 s ago is asked next

  Scenario: A fleet of 70 hosts agrees on who is alive, in near zones and in far ones
    Given a fleet of 70 hosts that ran for 8 s
    Then no host is judged wrongly
    And each host holds the entries of its region and no others
    When 3 hosts end and 16 s pass
    Then no host is judged wrongly
    And no living host was ever taken for down
    When the 3 hosts are heard again and 12 s pass
    Then no host is judged wrongly

  Scenario: Messages between hosts of a fleet of 2,000 stay short
    Given two tables of a fleet of 2000 hosts that know all summaries
    Then a question has at most 1000 bytes and an answer without news at most 200 bytes
    And an answer with news of 10 hosts and 20 zones has at most 2000 bytes
    And each table holds at most 100 hosts one by one
