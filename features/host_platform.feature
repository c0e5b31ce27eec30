Feature: The adapter to the users' platform
  Guards against platform names outside the adapter, foreign objects that change what is used, and
  a host program that does not start, stop or explain itself.

  Scenario: The platform's names stand in its folder only
    Then no source outside platform/ and the stand-ins contains a name of the platform

  Scenario Outline: A foreign or unreadable entry names no upstream
    Given an upstream's entry where <field> is <value>
    Then it is rejected

    Examples:
      | field         | value      |
      | service       | missing    |
      | service       | 5          |
      | address       | "nowhere"  |
      | address       | null       |
      | zone          | "atlantis" |
      | slots         | "4"        |
      | slots         | 0          |
      | slots         | true       |
      | state         | "resting"  |
      | state         | null       |
      | coldRemaining | "soon"     |
      | coldRemaining | 5          |
      | born          | "today"    |
      | born          | 1.5        |

  Scenario: Random objects never stop the decoding
    Then 300 random specs are decoded or rejected as upstreams, hosts and configurations

  Scenario: The operators' configuration is decoded whole
    Then its routes, services and limits have the project's types

  Scenario: The store's changes reach a host's belief
    Given a store with a configuration and 60 upstreams
    And the host program on it
    Then it is ready within 10 s and the look-up names it
    And it has logged 60 upstreams
    When an upstream drains, another leaves and a zone is evacuated
    Then it logs all three within 2 s
    When the store forgets its history and an upstream drains
    Then it logs that within 3 s
    When the store fails for 1 s and configuration 9 is written
    Then it logs configuration 9 within 3 s

  Scenario: A connection to the store that has gone silent is given up within 3 s
    Given a store with a configuration and 2 upstreams
    Then a connection to it is probed so that 3 s of silence end it

  Scenario: The program serves, explains and stops
    Given a store with a configuration and 2 upstreams
    And the host program on it
    Then it is ready within 10 s and the look-up names it
    And a request through it is answered with 200
    And its metrics count the request
    When the host program is told to reload and to stop during a request
    Then that request is answered with 200 and the program ends with code 0
    And its log tells of the start, the request with its sends, the reload and the stop

  Scenario: Changed settings are taken over without a restart, bad ones are not
    Given a store with a configuration and 2 upstreams
    And the host program on it
    Then it is ready within 10 s and the look-up names it
    When the settings change the retry budget without a signal
    Then it logs within 3 s that it took over the bounds
    When the settings lose their zone
    Then it logs within 3 s that it rejected them, naming the field
    And a request through it is answered with 200
    When the settings name another store
    Then it logs within 3 s that this needs a restart

  Scenario: A host whose watches wait in silence knows soon that the store is lost
    Given a store with a configuration and 2 upstreams
    And the host program on it
    Then it is ready within 10 s and the look-up names it
    When the store turns silent
    Then it logs within 2 s that the store does not answer
    When the store answers again
    Then it logs within 2 s that the store answers
