Feature: Membership of many hosts in virtual time
  Guards against lookups that name dead hosts for long or leave out live ones, on fleets that no test with
  real processes reaches: datagrams that are lost or pass one way only, hosts that die, freeze or
  restart all at once.

  Scenario Outline: Hosts notice a change in time and take no live host for a dead one
    Given 30 hosts in 3 regions of which 3 of 100 datagrams are lost
    When the scenario "<scenario>" is played
    Then all lists are right within <seconds> s
    And no live host was taken for a dead one

    Examples:
      | scenario    | seconds |
      | calm        | 0       |
      | deaths      | 7       |
      | freezes     | 7       |
      | one_way     | 7       |
      | restart_all | 15      |

  Scenario: Hosts that hear nothing take the others for dead
    Given 30 hosts in 3 regions of which 100 of 100 datagrams are lost
    When the scenario "calm" is played
    Then live hosts were taken for dead ones

  Scenario: All of 100 hosts that restart at once list each other
    Given 100 hosts in 3 regions of which 3 of 100 datagrams are lost
    When the scenario "restart_all" is played
    Then all lists are right within 15 s
    And no live host was taken for a dead one
