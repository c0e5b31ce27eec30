Feature: Settings of the host program
  Guards against a host that starts with wrong values, or crashes with a traceback, after a field of
  its settings file is missing or malformed.

  Scenario: Settings are read and an error names a missing field
    Given the platform's settings file
    Then the settings name the zone, the store and the bounds
    And without each required field the error names its field

  Scenario Outline: An error names a malformed number in the settings
    Given the platform's settings file
    Then with <field> set to <value> the error names the field

    Examples:
      | field                         | value |
      | network.internalPorts         | many  |
      | self.limits.memoryMb          | much  |
      | terms.bounds.retryBudgetRatio | some  |
      | terms.bounds.retryBudgetExtra | nan   |
      | terms.bounds.maxShift         | -1    |
      | network.internalPorts         | ²     |
      | network.internalPorts         | 0     |
      | network.internalPorts         | 65535 |
      | self.limits.memoryMb          | 1e308 |

  Scenario: Settings can be checked without starting the host
    Given the platform's settings file
    Then checking it exits with code 0 and names the host
    And checking it without its zone exits with code 2 and names the field

  Scenario: A host that is told to reload while it still starts goes on starting
    Given the platform's settings file
    Then a reload signal during its imports doesn't end it

  Scenario: Settings and keys can be checked together
    Given the platform's settings file
    Then checking it with the example keys exits with code 0 and names the key that seals
    And checking it with a missing file of keys exits with code 2 and names that file
