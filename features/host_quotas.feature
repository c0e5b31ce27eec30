Feature: Limits that all hosts share
  Guards against cold upstreams that crash because each of many hosts sends them a little, and
  against limits that hosts exceed together while they know different hosts.

  Scenario: Hosts that know each other use a limit completely and never more
    Then for 300 random limits of 1 to 1000 hosts the parts sum to the limit

  Scenario: Hosts that also know dead, new and forgotten hosts never exceed a limit together
    Then for 300 random sets of hosts with different views the parts sum to at most the limit

  Scenario: The check finds the rule that gives each host at least one
    When each host gets an equal part of at least one
    Then the check of the parts fails

  Scenario Outline: Most of a limit is used while a third of the known hosts are dead
    Then <hosts> hosts of which a third are dead use half of the limits of 60 or more

    Examples:
      | hosts |
      | 3     |
      | 26    |
      | 300   |

  Scenario Outline: A cold upstream gets at most its permitted rate while hosts join and die
    Given <hosts> hosts of which some die, restart and join within 20 s
    When they send as much as they may to a cold upstream
    Then it gets at most 13 requests in any second, and 5 or more in most of them

    Examples:
      | hosts |
      | 3     |
      | 26    |
      | 100   |

  Scenario: A host that was frozen uses no part of a limit until it knows the others again
    Given a host that is settled at 10.0 s
    When it is frozen until 30.0 s
    Then it is not settled at 33.9 s, and at 35.0 s only if the store has listed the hosts

  Scenario: A host beyond the number of an upstream's connections opens none
    Then 1000 hosts open at most 330 connections to an upstream, and 330 of them may
