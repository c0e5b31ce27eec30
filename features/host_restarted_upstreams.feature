Feature: Limits on upstreams that start again under their ids
  Guards against a count that starts anew with the name of an upstream: hosts reach its process
  before the store names it, and learn the name late, in another order, or from others.

  Scenario Outline: A cold upstream gets a host's part once, however the host learns its name
    Given a host that found upstream "a" unreachable at 9.0 s
    When <first> at 10.0 s and the host sends what it may
    And <second> at 10.3 s and the host sends what it may
    Then the host has sent 17 requests by 10.4 s and sends 17 more at 11.3 s

    Examples:
      | first                                    | second                                   |
      | the upstream accepts connections         | the entry of incarnation 2 comes         |
      | the entry of incarnation 2 comes         | the upstream accepts connections         |
      | the entry of incarnation 2 comes         | the entry of incarnation 1 comes         |
      | the entry of incarnation 2 comes         | the entry of incarnation 3 comes         |
      | the entry of incarnation 2 comes         | the entry goes and incarnation 2 comes   |
      | the upstream accepts connections         | the entry goes and incarnation 2 comes   |
      | the entry goes and incarnation 2 comes   | the entry goes and incarnation 3 comes   |
      | the entry of incarnation 2 comes         | incarnation 2 comes at another address   |
