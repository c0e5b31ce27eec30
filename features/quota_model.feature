Feature: Quotas of many accounts over all hosts in virtual time
  Guards against accounts that get more than their limit while hosts fail, and against refusals below
  the limit, on fleets that no test with real processes reaches.

  Scenario Outline: No window exceeds its bound, and little is refused below the quota
    Given 7 hosts with 8 accounts
    When the quota scenario "<scenario>" is played
    Then no account exceeds its bound
    And at most <calm> of 100 requests below the quota are refused in calm
    And at most <change> of 100 soon after a change

    Examples:
      | scenario   | calm | change |
      | moves      | 1    | 5      |
      | lowered    | 1    | 5      |

  Scenario Outline: No window exceeds its bound while many hosts fail
    Given 7 hosts with 8 accounts
    When the quota scenario "<scenario>" is played
    Then no account exceeds its bound

    Examples:
      | scenario     |
      | restarts     |
      | freezes      |
      | partition    |
      | added        |
      | restart_all  |
      | views        |
      | slow_network |

  Scenario: A partition that lasts longer than dead hosts are known
    Guards against both sides of a partition that forget each other and deal all units.
    Given 3 hosts with 4 accounts
    When the quota scenario "long_partition" is played
    Then no account exceeds its bound

  Scenario: A fixed division without loans is found
    Given 7 hosts with 8 accounts and the planted fault "fixed_division"
    When the quota scenario "moves" is played
    Then more than 5 of 100 requests below the quota are refused

  Scenario: A restart that forgets what was spent and lent is found
    Given 7 hosts with 8 accounts and the planted fault "forgotten_loans"
    When the quota scenario "restarts" is played
    Then an account exceeds its bound
