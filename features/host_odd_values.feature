Feature: Odd values in the store's objects and in what peers send
  Guards against a value that is accepted, and that later raises an exception in each request, or in
  what passes it on to other hosts.

  Scenario Outline: One odd value rejected the whole configuration, or no follower got it
    Given the operators' configuration where <field> is <value>
    Then only <part> is lost, which is reported, and followers get the rest

    Examples:
      | field                 | value                  | part               |
      | service coldRateS     | Infinity               | the service        |
      | service coldRateS     | NaN                    | the service        |
      | service coldRateS     | "1e999"                | the service        |
      | service coldRateS     | -1                     | the service        |
      | service cold          | 3                      | the service        |
      | service maxConnections | "many"                | the service        |
      | service name          | "\ud800"               | the service's name |
      | route name            | "\ud800"               | the route          |
      | route host            | "\ud800"               | the route's path   |
      | route pathPrefix      | "/\ud800/"             | the route's path   |
      | route timeout         | null                   | the route          |
      | route targetLatency   | "5m"                   | the route          |
      | route service         | 7                      | the route          |
      | route allowedRegions  | ["north", 5]           | the route          |
      | route allowedRegions  | ["\ud800"]             | the route          |
      | route allowedRegions  | "north"                | the route          |
      | route trafficSplit    | [{"service": "catalogue", "weight": NaN}] | the route |
      | route trafficSplit    | [{"service": "catalogue", "weight": Infinity}] | the route |
      | route priority        | -9999999999999999999   | the priority       |
      | route maxAttempts     | "two"                  | the repeats        |
      | route kind            | "stream"               | the repetition     |
      | route kind            | ["idempotent"]         | the repetition     |
      | route sticky          | "yes"                  | the affinity       |
      | route public          | 1                      | the access         |
      | limits idleTimeout    | -1                     | the idle time      |
      | limits maxBodyBytes   | null                   | the body size      |

  Scenario Outline: A configuration without a version or tables replaced the one in force
    Given the operators' configuration where <field> is <value>
    Then it is rejected as malformed

    Examples:
      | field         | value                |
      | configVersion | -9999999999999999999 |
      | routes        | []                   |
      | services      | null                 |

  Scenario Outline: An odd account took the configuration along, or opened it to others
    Given the operators' configuration with two accounts where <field> is <value>
    Then the first account is known by <keys>, and <count> problems are reported

    Examples:
      | field          | value              | keys    | count |
      | apiKeys        | ["key-1"]          | key-1   | 0     |
      | ratePerS       | null               | key-1   | 0     |
      | apiKeys        | null               | no key  | 1     |
      | apiKeys        | ["key-1", 5]       | no key  | 1     |
      | apiKeys        | ["key-1", "key-2"] | key-1   | 2     |
      | ratePerS       | -3                 | no key  | 1     |
      | burst          | "much"             | no key  | 1     |
      | priority       | "high"             | no key  | 1     |
      | allowedRegions | "north"            | no key  | 1     |

  Scenario Outline: A key stood in the report on accounts that can't be read
    Given the operators' configuration whose accounts are <accounts>
    Then a problem is reported, no account is known, and no report holds "secret-key"

    Examples:
      | accounts                                      |
      | [{"name": "first", "apiKeys": ["secret-key"]}] |
      | "secret-key"                                  |
      | {"first": ["secret-key"]}                     |
      | {"first": {"apiKeys": "secret-key"}}          |

  Scenario: A configuration that is accepted can be passed on and used
    Then 400 configurations with random values are rejected, or pass the codec and serve requests

  Scenario Outline: A peer's update with an odd value made all requests fail
    Given a source's update whose upstream has <field> of <value>
    Then the update is rejected as malformed

    Examples:
      | field  | value               |
      | slots  | 0                   |
      | slots  | -4                  |
      | slots  | 9223372036854775807 |
      | cold_s | nan                 |
      | cold_s | inf                 |

  Scenario Outline: A peer's datagram with an odd value ended the gossip of the hosts that got it
    Given a datagram with <part> of <value>
    Then the datagram is rejected as malformed

    Examples:
      | part                   | value                                                     |
      | a heartbeat            | 4294967296                                                |
      | an incarnation         | 18446744073709551615                                      |
      | a crash's age          | 18446744073709551615                                      |
      | a restart's age        | 18446744073709551615                                      |

  Scenario: A peer that names the largest incarnation of this host ended its gossip
    Given a table of peers
    When a peer sends the incarnation 18446744073709551615 of this host
    Then the own record can still be sent
