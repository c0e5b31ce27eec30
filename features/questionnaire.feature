Feature: Questionnaire
  Guards against answers that are parsed wrongly, and against generated configurations that assign
  wrong home or standby hosts or differ in size from what the operator answered.

  Scenario Outline: The example answers generate the committed configurations
    Given the example answers of <deployment>
    When the configuration is generated
    Then it equals the committed configuration of <deployment>
    And it has 7 hosts, 38 upstreams and <slots> slots of <service> in six zones
    And zone <zone> has two hosts that split its upstreams and are standby of each other

    Examples:
      | deployment | slots | service   | zone      |
      | cedarwake  | 70    | catalogue | cn-a      |
      | riunita    | 84    | catalogo  | catania-a |

  Scenario: Any valid answers generate a valid configuration
    Then 100 random answers give valid configurations with evenly spread upstreams

  Scenario Outline: Invalid answers are reported with section, key and reason
    Given the example answers text of cedarwake
    When the answer "<old>" becomes "<new>"
    Then the answers are refused with "<problem>"

    Examples:
      | old                        | new                      | problem                                                           |
      | store_region = coast-north | store_region = coast     | [deployment] store_region: coast is none of the regions           |
      | name = cedarwake           |                          | [deployment] name: is missing                                     |
      | zones = im-a, im-b         | zones = im-a, cn-a       | [region island-mid] zones: cn-a is a zone of coast-north as well  |
      | zones = im-a, im-b         | zones = im-a, im-a       | [region island-mid] zones: names one twice                        |
      | entry_hosts = 2            | entry_hosts = 0          | [zone cn-a] entry_hosts: must be at least 1, is 0                 |
      | blocks = 10.2.0.0/17       | blocks = 10.1.0.0/17     | [zone im-a] blocks: 10.1.0.0/17 is a block of cn-a as well        |
      | blocks = 10.2.0.0/17       | blocks = 10.2.0.0/8      | [zone im-a] blocks: '10.2.0.0/8' has bits set after the prefix length |
      | kind = idempotent          | kind = safe              | [service catalogue] kind: must be idempotent or non-idempotent, is 'safe' |
      | workers = 14               | workers = many           | [service catalogue] workers: must be a whole number, is 'many'    |
      | connections = 330          | connections = 4          | [service catalogue] connections: 4 connections are too few for 5 slots |
      | max_deadline_ms = 4000     | max_deadline_ms = 40     | [service catalogue] max_deadline_ms: must be at least mean_ms, 50 |
      | upstream_port = 8001       | upstream_port = 65530    | [addresses] upstream_port: 38 ports do not fit from 65530 on      |
      | entry_hosts = 127.0.1.1    | entry_hosts = 255.255.255.254 | [addresses] entry_hosts: 7 addresses do not fit from 255.255.255.254 on |
      | gbit_per_s = 4             | gbit_per_s = inf         | [links] gbit_per_s: must be 0 or more, is inf                     |
      | [service yard]             | [service yards]          | [service yards] kind: nothing asks for it                         |

  Scenario: A question is repeated until its answer is valid
    Given the example answers of riunita
    When each question is answered wrongly first and then from the example
    Then the collected answers equal the example

  Scenario: The example settings match the example configuration
    Given the example answers of cedarwake
    When the configuration is generated
    Then the example settings name one of its hosts with its address and ports
