Feature: Agents and the platform store
  Guards against a configuration that is lost, reverted or different between hosts after failures of
  the store or the network, and against work for hosts that are leaving or down.

  Scenario: A write whose reply was lost does not leave hosts with different generations
    Given 8 agents with generation 1
    When generation 2 is written and the reply is lost
    Then the writer is told MAY_HAVE_RUN
    And all agents have generation 2 after 3 rounds

  Scenario: A watch that reports no change does not hide a new generation
    Given 8 agents with generation 1
    When watches are stale
    And generation 2 is written
    Then all agents have generation 2 after 3 rounds

  Scenario: An outage changes nothing, and a generation written before it is adopted after it
    Given 8 agents with generation 1
    When generation 2 is written
    And the store has an outage
    And 5 rounds pass
    Then all agents have generation 1 after 0 rounds
    When the store's outage ends
    Then all agents have generation 2 after 3 rounds

  Scenario: The status during an outage includes the configuration, which the store cannot provide
    Given 8 agents with generation 1
    When the store has an outage
    Then the status of each agent names the shards of generation 1

  Scenario: Hosts that cannot reach the store get a generation from peers
    Given 8 agents with generation 1
    When all agents but host-0 are cut off from the store
    And generation 2 is written
    Then all agents have generation 2 after 3 rounds

  Scenario: One of two concurrent writers gets a conflict, and its generation is never in force
    Given 8 agents with generation 1
    When two operators write generation 2 from the same version
    Then the second writer gets a conflict
    And all agents have the first writer's generation 2 after 3 rounds

  Scenario: A head that the store has replaced is replaced on every host
    Given 8 agents with generation 1
    When generation 2 is written by "lost"
    And 2 rounds pass
    And generation 2 is written by "kept"
    Then all agents have generation 2 by "kept" after 4 rounds

  Scenario: After a partition during a change all hosts have the higher generation
    Given 8 agents with generation 1
    When the network is partitioned and only the first half reaches the store
    And generation 2 is written
    And 5 rounds pass
    Then the first half has generation 2 and the second half generation 1
    When the network partition is healed
    Then all agents have generation 2 after 8 rounds
    And no agent ever reverted to a lower generation

  Scenario: A host that starts during an outage gets the generation of its peers
    Given 8 agents with generation 3
    When the store has an outage
    And host-5 is restarted
    Then host-5 has generation 3 at once

  Scenario: A host that starts while its peers lag behind gets the store's generation
    Given 8 agents with generation 1
    When all agents but host-5 are cut off from the store
    And host-5 is stopped
    And generation 2 is written
    And host-5 is restarted
    Then host-5 has generation 2 at once

  Scenario Outline: An invalid configuration changes nothing
    Given 8 agents with generation 1
    When a head of generation 2 names <fault>
    And 5 rounds pass
    Then all agents have generation 1 after 0 rounds
    And a host makes fewer than 2 store calls a second
    When generation 3 is written
    Then all agents have generation 3 after 3 rounds

    Examples:
      | fault               |
      | a missing shard     |
      | a shard that is not INI |
      | an unknown zone     |

  Scenario: Without changes a host makes fewer than 2 store calls a second
    Given 8 agents with generation 1
    When 10 rounds pass
    Then a host makes fewer than 2 store calls a second

  Scenario: A generation is held by a peer before it is in force
    Given 8 agents with generation 1
    When host-0 reads generation 2 and is stopped as soon as it is in force
    And the store has an outage
    Then all agents have generation 2 after 4 rounds

  Scenario: All peers show a leaving host as leaving before its next heartbeat
    Given 8 agents with generation 1
    When host-3 publishes that it is leaving
    Then all other agents show host-3 as leaving and alive

  Scenario: The platform's list of leaving hosts reaches hosts cut off from the store
    Given 8 agents with generation 1
    When all agents but host-0 are cut off from the store
    And the platform lists host-6 as leaving
    And 5 rounds pass
    Then all other agents show host-6 as leaving and alive

  Scenario: A host that stopped without notice is down and its restart is detected
    Given 8 agents with generation 1
    When host-3 is stopped
    And 5 rounds pass
    Then all other agents show host-3 as down
    When host-3 is restarted
    And 3 rounds pass
    Then all other agents show host-3 as serving and alive

  Scenario: A suspect reported by one daemon is immediately known to all agents
    Given 8 agents with generation 1
    When a daemon of host-2 reports a suspect with 2 deaths
    Then the view of each agent holds the suspect

  Scenario: One exchange updates both agents with the newer entries of the other
    Given 2 agent states that hold different updates of host-2 and host-3
    When they exchange once
    Then both show host-2 and host-3 as leaving

  Scenario: Loads reach the viewers of other hosts with their age
    Given 8 agents with generation 1
    And a viewer of host-1
    When a daemon of host-6 reports 7 free slots and 2 rounds pass
    Then the viewer shows 7 free slots of host-6 with an age below 3 s

  Scenario: A daemon's viewer follows peers and configuration through a restart of its agent
    Given 8 agents with generation 1
    And a viewer of host-1
    When generation 2 is written
    And 3 rounds pass
    And host-4 is stopped
    And 5 rounds pass
    Then the viewer has generation 2 and shows host-4 as down
    When host-1 is restarted
    And generation 3 is written
    And 3 rounds pass
    Then the viewer has generation 3 and shows 7 live hosts

  Scenario: A connection on which a call was not answered is closed and not used again
    Given 8 agents with generation 1
    When no call is answered for 1 rounds
    Then each agent has closed connections
    When 2 rounds pass
    Then all other agents show host-3 as serving and alive

  Scenario: A viewer does not mistake the answer of a restarted agent for an unchanged view
    Given a viewer whose agent restarts during its second poll and reports the same version
    When it polls 3 times
    Then it shows the peers of the restarted agent

  Scenario: Without answers the last view remains available and becomes stale
    Given a viewer whose agent restarts during its second poll and reports the same version
    When it polls 1 times
    And its agent stops answering for 3 s
    Then it shows the peers of the first agent and is stale
