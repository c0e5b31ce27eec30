Feature: Odd values in the store's objects and in what peers send
  Guards against a value that is accepted, and that later raises an exception in each request, or in
  what passes it on to other hosts.

  Scenario Outline: A configuration with an odd value made requests fail, or no follower got it
    Given the operators' configuration where <field> is <value>
    Then it is rejected as malformed

    Examples:
      | field                 | value                  |
      | service coldRateS     | Infinity               |
      | service coldRateS     | NaN                    |
      | service coldRateS     | "1e999"                |
      | service coldRateS     | -1                     |
      | service name          | "\ud800"               |
      | route name            | "\ud800"               |
      | route host            | "\ud800"               |
      | route pathPrefix      | "/\ud800/"             |
      | route priority        | -9999999999999999999   |
      | route allowedRegions  | ["north", 5]           |
      | route allowedRegions  | ["\ud800"]             |
      | route trafficSplit    | [{"service": "catalogue", "weight": NaN}] |
      | route trafficSplit    | [{"service": "catalogue", "weight": Infinity}] |
      | configVersion         | -9999999999999999999   |

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
