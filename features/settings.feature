Feature: Settings of a host
  Guards against a program that starts with an invalid or missing setting, or that silently ignores
  a setting with a misspelled name.

  Scenario: A file with the required settings
    Given a settings file
      """
      [host]
      name = host-0
      zone = north-a
      address = 127.0.1.1
      [security]
      shared_key = 00112233445566778899aabbccddeeff
      [peers]
      agents = 127.0.1.2:7004, 127.0.1.3:7004
      """
    When the settings are loaded
    Then there are no problems
    And the agent port is 7004 and there are 2 peers

  Scenario Outline: An invalid setting is reported with its section and key
    Given a settings file
      """
      [host]
      name = host-0
      zone = north-a
      address = 127.0.1.1
      [security]
      shared_key = 00112233445566778899aabbccddeeff
      """
    When the settings are loaded with "<override>"
    Then the only problem is at "<section>" "<key>"

    Examples:
      | override                 | section  | key             |
      | ports.entry=70000        | ports    | entry           |
      | ports.entry=abc          | ports    | entry           |
      | host.address=localhost   | host     | address         |
      | host.name=               | host     | name            |
      | security.shared_key=00   | security | shared_key      |
      | security.shared_key=zz   | security | shared_key      |
      | platform.address=1.2.3.4 | platform | address         |
      | ports.entri=7002         | ports    | entri           |
      | logs.level=LOUD          | logs     | level           |
      | nonsense                 | override | nonsense        |

  Scenario: A missing file is reported
    When settings are loaded from a missing file
    Then the only problem names the file
