Feature: Experiments that compare placement policies
  Guards against comparisons that don't play the policy that they name, or that leave its constants
  behind for what runs next.

  Scenario: A policy is in force during its runs only
    Given the load "calm" for 2 s
    When it is played with a policy that accepts no wait, and then with the current one
    Then the first results differ from the second, which are those of the model alone

  Scenario: A policy that fails leaves nothing behind
    Given the load "calm" for 2 s
    When a policy whose second constant doesn't exist is played
    Then it fails, and its first constant is as before

  Scenario: The table and the chart show each load and policy
    Given the load "calm" for 2 s
    Then the table has the shares of 2 policies over 3 seeds, which sum to 1
    And the chart of them is drawn twice with the same bytes and names both policies
