Feature: A host asks whether its watches of the store have missed changes
  Guards against a watch whose answer never comes (DRAIN, CONFIG, HOME): during a silence of any
  length and phase, on a slow store, and while peers keep the belief current.

  Scenario Outline: A silence of any length and phase is over for the host within `contact`
    Given a host in a deployment with `contact` <contact> s, `drain` <drain> s and `configApply` <apply> s
    Then after 400 silences of 0.02 to 8 s it has asked again within `contact`
    And in each silence longer than that it has lost the store within `drain`

    Examples:
      | contact | drain | apply |
      | 3.0     | 2.5   | 2.5   |
      | 5.0     | 4.0   | 4.0   |
      | 2.0     | 2.0   | 2.0   |

  Scenario Outline: A store that answers late is not lost
    Given a host in a deployment with `contact` 3 s, `drain` 2.5 s and `configApply` 2.5 s
    When each ask is answered after <latency> s for 60 s
    Then it has never lost the store and has asked at most <asks> times

    Examples:
      | latency | asks |
      | 0.005   | 61   |
      | 0.2     | 61   |
      | 0.4     | 122  |

  Scenario: Changed bounds change the pause between asks
    Given a host in a deployment with `contact` 3 s, `drain` 2.5 s and `configApply` 2.5 s
    When its bounds change to a `drain` of 1 s
    And each ask is answered after 0.1 s for 60 s
    Then it has never lost the store and has asked at most 151 times
    And it has asked at least 100 times

  Scenario: A store that refuses a host is lost at once
    Given a host in a deployment with `contact` 3 s, `drain` 2.5 s and `configApply` 2.5 s
    When each ask is refused
    Then it has lost the store within 0.6 s of its first ask

  Scenario: A host whose peers keep it current does not ask, but asks at once when they cease to
    Given a host in a deployment with `contact` 3 s, `drain` 2.5 s and `configApply` 2.5 s
    When peers keep it current for 60 s
    Then it has asked 0 times
    When peers no longer keep it current
    Then it asks within 0.2 s

  Scenario: A host that reads everything anew does not count as current for long
    Given a host in a deployment with `contact` 3 s, `drain` 2.5 s and `configApply` 2.5 s
    When its asks are answered, but its reads of all objects are not
    Then it has lost the store within 1 s of its first ask
