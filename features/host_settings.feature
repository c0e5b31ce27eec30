Feature: Settings of the host program
  Guards against a host that starts with settings that it misread, or ends on them with a traceback.

  Scenario: Settings are read and a missing one is named
    Given the platform's settings file
    Then the settings name the zone, the store and the bounds
    And without each required line the error names its field

  Scenario Outline: A malformed figure in the settings is named
    Given the platform's settings file
    Then with <field> set to <value> the error names the field

    Examples:
      | field                         | value |
      | network.internalPorts         | many  |
      | self.limits.memoryMb          | much  |
      | terms.bounds.retryBudgetRatio | some  |
      | terms.bounds.retryBudgetExtra | nan   |
      | terms.bounds.maxShift         | -1    |

  Scenario: Settings can be checked without starting the host
    Given the platform's settings file
    Then checking it ends with code 0 and names the host
    And checking it without its zone ends with code 2 and names the field
