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

  Scenario Outline: An upstream that starts during traffic is cold whatever its entry says
    Given a host that knows upstream "a"
    When the entry of incarnation <incarnation> of upstream "<name>" comes without a cold time
    Then upstream "<name>" is <state> for 3 s

    Examples:
      | name | incarnation | state |
      | a    | 2           | cold  |
      | b    | 1           | cold  |
      | a    | 1           | warm  |

  Scenario: An entry that alternates between two names leaves a cold upstream cold
    Given a host that knows upstream "a"
    When the entries of incarnations 2, 1, 2 and 1 of "a" come 0.1 s apart
    Then upstream "a" is cold for 3 s

  Scenario Outline: What an upstream asked for holds for the process that asked
    Given a host that found upstream "a" unreachable at 9.0 s and reachable at <back> s
    When an answer at <at> s <demand>
    And the entry of incarnation 2 comes at <named> s
    Then what it asked for <fate>, and 10 s later it gets requests

    Examples:
      | back | at    | named | demand               | fate  |
      | 10.0 | 10.2  | 10.5  | states a rate limit  | holds |
      | 10.0 | 10.2  | 10.5  | asks for a pause     | holds |
      | 10.0 | 10.2  | 10.5  | says that it leaves  | holds |
      | 10.0 | 8.0   | 10.5  | states a rate limit  | ends  |
      | 10.0 | 8.0   | 10.5  | asks for a pause     | ends  |
      | 10.0 | 8.0   | 10.5  | says that it leaves  | ends  |
      | 10.0 | 100.0 | 102.0 | asks for a pause     | ends  |
      | 10.0 | 100.0 | 102.0 | says that it leaves  | ends  |

  Scenario Outline: What an upstream asked for after a suspected restart holds unless it ran on
    Given a host that knows upstream "a"
    When it got an answer at 9.9 s on a connection opened at 9.5 s
    And a restart shows at 10.0 s, as <sign>
    And an answer at 10.2 s asks for a pause
    And the host <event>
    And the entry of incarnation 2 comes at 10.5 s
    Then what it asked for <fate>, and 10 s later it gets requests

    Examples:
      | sign                           | event                                            | fate  |
      | the upstream ends a connection | gets no other answer                             | holds |
      | a peer reports a restart       | gets no other answer                             | holds |
      | the upstream ends a connection | gets an answer on the connection opened at 9.5 s | ends  |

  Scenario: A name that comes back does not shorten the time for which an upstream is suspected
    Given a host that knows upstream "a"
    When the entry of incarnation 2 comes at 6.0 s
    And a restart shows at 10.0 s, as the upstream ends a connection
    And the entry of incarnation 1 comes at 10.2 s
    Then upstream "a" is cold for 3 s

  Scenario Outline: A new name does not shorten the time for which an upstream may be cold
    Given a host that knows upstream "a"
    When a restart shows at 10.0 s, as <sign>
    And the entry of incarnation 2 comes at 10.2 s and says that it is cold for 0.5 s
    Then upstream "a" is cold for 3 s

    Examples:
      | sign                             |
      | the upstream accepts connections |
      | the upstream ends a connection   |
      | a peer reports a restart         |

  Scenario: An incarnation that is named at two addresses in turn is found again
    Given a host that knows upstream "a"
    When its entry goes and comes back at ports 2, 1, 2, 1, 2 and 1 in turn
    Then the host knows upstream "a" at port 1

  Scenario: An answer that was sent before a freeze proves nothing about later connections
    Given a host that knows upstream "a"
    When it reads at 20.0 s the answer to a request sent at 8.0 s on a connection opened at 7.0 s
    And the host was frozen until 20.0 s
    Then it asks on a connection opened at 19.9 s whether upstream "a" is cold

  Scenario: An answer that comes after the entry counts for the process that gave it
    Given a host that found upstream "a" unreachable at 9.0 s and reachable at 10.0 s
    When the entry of incarnation 2 comes at 10.5 s
    Then a connection opened at 10.1 s leads to incarnation 2
    And a connection opened at 8.9 s leads to incarnation 1

  Scenario: Requests in flight count for an upstream's connections when its entry comes
    Given a host that knows upstream "a"
    When 330 requests are in flight as the entry of incarnation 2 of "a" comes
    Then the host has no connection left for "a" until one ends

  Scenario Outline: A restart that a peer knows under another name is noticed
    Given a host that knows incarnation <known> of upstream "a"
    When a peer reports a restart of incarnation <reported> of upstream "a"
    Then upstream "a" is cold for 3 s

    Examples:
      | known | reported |
      | 1     | 2        |
      | 2     | 1        |

  Scenario: A host tells its peers that an upstream has returned
    Given a host whose only upstream "a" is unreachable
    When the upstream accepts connections again
    Then the host reports a restart of "a" to its peers

  Scenario: A report of a restart is believed by a host that has answers of the new process only
    Given a host that knows upstream "a"
    When it got an answer at 9.95 s on a connection opened at 9.9 s
    And a peer reports a restart of incarnation 1 of upstream "a"
    Then upstream "a" is cold for 3 s

  Scenario Outline: A host that has just started does not flood an upstream whose entry is outdated
    Given a running upstream that <condition>
    When a host starts and 30 requests arrive at once
    Then the upstream runs <runs> of them after <checks> health checks
    And <arrivals> messages have arrived there

    Examples:
      | condition                          | runs | checks | arrivals |
      | is cold                            | 16   | 1      | 17       |
      | is warm                            | 30   | 1      | 31       |
      | doesn't answer health checks       | 16   | 0      | 17       |
      | is another one at the same address | 0    | 1      | 1        |

  Scenario Outline: A host that finds an upstream cold tells hosts that can't have noticed
    Given a running upstream that is cold
    And its service's upstreams are cold for <total> s
    When a host starts and 1 requests arrive at once
    Then another host that <knows> suspects the upstream <suspects>

    Examples:
      | total | knows                                        | suspects |
      | 60    | had an answer 1 s before                     | at once  |
      | 70    | had an answer 11 s before                    | at once  |
      | 70    | has got answers of one process for 20 s      | never    |

  Scenario: A host that started longer ago than upstreams are cold asks none
    Given a running upstream that is warm
    When a host that started 3.1 s ago gets 30 requests at once
    Then the upstream runs 30 of them after 0 health checks

  Scenario Outline: A host that was frozen asks an upstream unless a kept connection leads to it
    Given a running upstream that is warm
    When a host that started 3.1 s ago gets 1 requests at once
    And the upstream <event> while the host is frozen
    And 5 further requests arrive one by one
    Then the upstream has run <runs> requests after <checks> health checks

    Examples:
      | event         | runs | checks |
      | runs on       | 6    | 0      |
      | starts again  | 5    | 1      |

  Scenario Outline: A return soon after a crash is news beside the report of the crash
    Given a report at 10.0 s that "a" ended a connection and had answered at 9.9 s
    When another host reports at <at> s that "a" is back and refused a connection at <refused> s
    Then that is <news>

    Examples:
      | at   | refused | news     |
      | 10.3 | 10.2    | news     |
      | 10.3 | 9.8     | no news  |
      | 10.6 | 9.8     | news     |

  Scenario: A host notices that it was frozen and asks its upstreams
    Given a host program that knows upstream "a" and has run for 10 s
    When it runs on after 3 s without processor time
    Then it asks whether upstream "a" is cold
