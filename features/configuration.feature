Feature: Configuration as text and as shards
  Guards against a configuration that is altered by conversion or transfer, against invalid ones
  that reach the hosts, and against small changes for which hosts fetch all shards again.

  Scenario Outline: A configuration is unchanged by conversion to text and to shards
    Given a configuration with <blocks> client blocks and <hosts> hosts per zone
    Then text and shards convert back to the same configuration
    And no shard is longer than 256 KiB

    Examples:
      | blocks | hosts |
      | 0      | 1     |
      | 9000   | 2     |
      | 30     | 250   |

  Scenario Outline: A change of one record changes one shard
    Given a configuration with 9000 client blocks and <hosts> hosts per zone
    When <change>
    Then exactly one shard is new

    Examples:
      | hosts | change                     |
      | 1     | a block goes to a zone     |
      | 1     | a block is added           |
      | 1     | a block is removed         |
      | 250   | an upstream is leaving     |

  Scenario Outline: Damaged, missing or oversized shards are refused
    Given a configuration with 30 client blocks and 1 hosts per zone
    When a shard is <damage>
    Then joining fails with the reason "<reason>"

    Examples:
      | damage  | reason                         |
      | missing | shard is missing               |
      | changed | text does not match the digest |
      | long    | shard is too long              |

  Scenario: A head is unchanged by conversion to text
    Given a configuration with 9000 client blocks and 1 hosts per zone
    Then the text of its head parses to the same head

  Scenario Outline: An invalid head is refused
    Given the head text "<text>"
    Then the head is refused with "<problem>"

    Examples:
      | text                                             | problem                            |
      | [head];generation = 3;[shards];core = 1          | [head] write_id: is missing        |
      | [head];generation = 3;write_id = a               | [shards] core: is missing          |
      | [head];generation = x;write_id = a;[shards];core = 1 | [head] generation: must be a whole |
      | nothing                                          | [text] : File contains no section  |

  Scenario Outline: Invalid text is refused with the section and key at fault
    Given the text of a small configuration
    When "<old>" is replaced by "<new>"
    Then the text is refused with "<problem>"

    Examples:
      | old                      | new                      | problem                                                              |
      | slots = 3                | slots = three            | [upstream catalogue-north-a] slots: must be a whole number, is 'three' |
      | kind = idempotent        | kind = unsafe            | [service catalogue] kind: must be one of idempotent, non-idempotent, is 'unsafe' |
      | mean_ms = 50             |                          | [service catalogue] mean_ms: is missing                              |
      | mean_ms = 50             | mean = 50                | [service catalogue] mean: unknown key                                |
      | [host host-1]            | [host host-0]            | [host host-0] : is twice, again in line                              |
      | [host host-1]            | [server host-1]          | [server host-1] : unknown kind of section                            |
      | 10.1.0.0/16 = south-a    | 10.1.0.0/16 south-a      | [blocks] 10.1.0.0/16 south-a: must be a line prefix = zone           |
      | name = test              |                          | [deployment] name: is missing                                        |

  Scenario Outline: An inconsistent configuration is refused
    Given the text of a small configuration
    When "<old>" is replaced by "<new>"
    Then the check reports "<problem>"

    Examples:
      | old                   | new                      | problem                                                        |
      | home = host-0         | home = host-1            | [upstream catalogue-north-a] home: host-1 is not in zone north-a |
      | home = host-0         | home = host-9            | [upstream catalogue-north-a] home: host-9 is not configured    |
      | standby = host-1      | standby = host-2         | [upstream catalogue-north-a] standby: host-2 is no other host of the region |
      | standby = host-1      | standby = host-0         | [upstream catalogue-north-a] standby: host-0 is the home as well |
      | standby = host-1      | standby =                | [upstream catalogue-north-a] standby: is missing               |
      | max_connections = 330 | max_connections = 2      | [upstream catalogue-north-a] max_connections: must be 3 or more, is 2 |
      | delay_ms = 55.0       | delay_ms = nan           | [link north south] delay_ms: must be 0 to 60000, is nan        |
      | address = 127.0.1.2   | address = 127.0.1.1      | [host host-1] lookup_port: 127.0.1.1:7001 is already lookup_port of [host host-0] |
      | address = 127.0.1.2   | address = here           | [host host-1] address: 'here' is no IP address                 |
      | region = south        | region = west            | [zone south-a] region: west is not configured                  |
      | 10.1.0.0/16           | 10.0.0.0/16              | [blocks] 10.0.0.0/16: is there twice                           |
      | 10.1.0.0/16           | 10.1.0.0/8               | [blocks] 10.1.0.0/8: '10.1.0.0/8' has bits set after the prefix length |
      | 10.1.0.0/16 = south-a | 10.1.0.0/16 = south-c    | [blocks] 10.1.0.0/16: zone south-c is not configured           |

  Scenario: Overlapping blocks of different length are allowed
    Given the text of a small configuration
    When "10.1.0.0/16" is replaced by "10.0.1.0/24"
    Then the check reports nothing

  Scenario: The standby of a zone with two hosts is in that zone
    Given a configuration with 30 client blocks and 2 hosts per zone
    When the standby of an upstream is a host of another zone of the region
    Then the check reports "standby: host-2 is no other host of zone north-a"

  Scenario Outline: Invalid planned shifts are refused
    Given a small configuration with shifts north to <target> of <percents> percent
    Then the check reports "<problem>"

    Examples:
      | target | percents | problem                                                    |
      | south  | 60 50    | [shift s-1] percent: shifts of north sum to 110 percent    |
      | south  | 0        | [shift s-0] percent: must be 1 to 100, is 0                |
      | north  | 10       | [shift s-0] target: must be another region                 |
      | east   | 10       | [shift s-0] target: east is not configured                 |

  Scenario Outline: A reader of successive generations needs only the new shards
    Given a configuration with 9000 client blocks and <hosts> hosts per zone
    When a reader has read it
    And <change>
    Then the reader needs one new text to get the same configuration as a full join

    Examples:
      | hosts | change                 |
      | 1     | a block goes to a zone |
      | 1     | a block is added       |
      | 250   | an upstream is leaving |

  Scenario Outline: A reader finds the problems that the full check finds
    Given a configuration with 30 client blocks and 1 hosts per zone
    When a reader has read it
    And its shards are changed: <change>
    Then the reader and the full check refuse them

    Examples:
      | change                                        |
      | blocks "= north-a" becomes "= west"           |
      | blocks "0.0/24" becomes "0.1/24"              |
      | blocks a line stands twice                    |
      | core "home = host-0" becomes "home = host-1"  |
      | core "[deployment]" becomes "[region middle]" |

  Scenario: A reader that discards blocks still checks them
    Given a configuration with 9000 client blocks and 1 hosts per zone
    Then a reader without blocks drops them, but refuses an unknown zone in them

  Scenario: Shards whose ranges overlap are refused
    Given a configuration with 30 client blocks and 1 hosts per zone
    When a second shard repeats one of its blocks
    Then the reader refuses it with "overlaps the shard before it"
