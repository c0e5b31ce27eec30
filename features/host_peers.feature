Feature: Peers, lookups and logs of the host program
  Guards against lookup answers that list dead hosts, after heartbeats are lost or arrive late, and
  against a log that grows without bound when its reader blocks.

  Scenario: A dead peer is no longer listed after 3 s
    Given a peer table that received a heartbeat of "b" at 1.0 s
    Then "b" is serving at 3.9 s and not at 4.1 s

  Scenario: A repeated heartbeat does not revive a dead peer
    Given a peer table that received a heartbeat of "b" at 1.0 s
    When the same heartbeat of "b" arrives again at 3.5 s
    Then "b" is serving at 3.9 s and not at 4.1 s

  Scenario: A heartbeat that travelled for long keeps a dead peer listed no longer
    Given a peer table that received a heartbeat of "b" at 1.0 s
    When heartbeat 6 of "b" arrives at 3.5 s, 2.0 s after it was sent
    Then "b" is serving at 4.4 s and not at 4.6 s

  Scenario: A restarted peer replaces its previous incarnation
    Given a peer table that received a heartbeat of "b" at 1.0 s
    When incarnation 2 of "b" sends its first heartbeat at 2.0 s
    Then "b" has incarnation 2

  Scenario: A host that restarts after its clock went back is accepted again
    Given a peer table that received a heartbeat of incarnation 9000 of "b" at 1.0 s
    When "b" restarts as incarnation 5000 and receives a digest with its previous one
    And the heartbeat of "b" arrives at 2.0 s
    Then "b" has incarnation 9001

  Scenario: A host whose clock went back is accepted once its previous incarnation is dead
    Given a peer table that received a heartbeat of incarnation 9000 of "b" at 1.0 s
    When incarnation 5000 of "b" sends its first heartbeat at 1.5 s
    Then "b" has incarnation 9000
    When incarnation 5000 of "b" sends its first heartbeat at 4.5 s
    Then "b" has incarnation 5000 at 5.0 s

  Scenario: A host that has restarted asks for the records of hosts that it doesn't know
    Given 30 hosts of which one, h0, has restarted
    When h0 gets the heartbeats of another host at 1.5 s
    Then it asks for 23 records and then knows at least 29 other hosts
    And the same heartbeats soon after make it ask for 0 records

  Scenario: A record that another host could not send is asked for again only after a while
    Given 90 hosts of which one, h0, has restarted
    When h0 gets the heartbeats of another host at 1.5 s
    Then it asks for 40 records and then knows at least 46 other hosts
    And the same heartbeats soon after make it ask for 40 records

  Scenario: A host that has not been heard of for long is asked itself before it counts as dead
    Given a peer table that received a heartbeat of "b" at 1.0 s
    When it has heard nothing of "b" until 2.0 s
    Then it asks no host for its own record
    When it has heard nothing of "b" until 3.0 s
    Then it asks "b" for its own record
    And the answer of "b" keeps it listed at 4.5 s

  Scenario: Digests are decoded as encoded and other datagrams are rejected
    Then a digest of 3 hosts is the same after encoding and decoding
    And 300 random or damaged datagrams are rejected or harmless

  Scenario Outline: Heartbeats reach all hosts and cost little
    Given <count> hosts in 3 regions that know each other from the store
    When they exchange heartbeats for 20 s and 1 of 20 datagrams is lost
    Then from 8 s on no host counts a live one as dead
    And a host sends at most <bytes> bytes a second, <far> of them to other regions
    And all hosts know the load of the others of their region within 6 s of a change
    When a host of each region stops, and the others go on for 10 s
    Then no host names a stopped one later than 6 s after its stop

    Examples:
      | count | bytes | far   |
      | 7     | 9000  | 3000  |
      | 24    | 9000  | 3000  |
      | 100   | 9000  | 3000  |
      | 300   | 9000  | 3000  |

  Scenario: Lookup lists the serving hosts of the client's region, those of its zone first
    Given serving hosts in zones north-a, north-b and south-a
    Then a client in north-b gets the hosts of north-b and north-a

  Scenario: A log whose output blocks drops lines and logs how many
    Given an event log whose output accepts no bytes
    When 10000 lines are logged within 1 s
    Then less than 2 MB are buffered and the next line reports how many were dropped
