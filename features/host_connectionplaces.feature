Feature: Places for connections of clients
  Guards against crowds that open connections and carry nothing, behind which ordinary clients wait,
  and against the end of connections that hosts owe an answer.

  Scenario: Those that have waited longest for their clients are ended, at whichever door
    Given 3 places for connections
    And connections that have waited for their clients
      | connection | door    | seconds |
      | a          | clients | 3.0     |
      | b          | clients | 0.0     |
      | c          | metrics | 9.0     |
      | d          | metrics | 2.5     |
    Then there are more connections than places
    When places are made
    Then the connections c were ended
    And there are no more connections than places

  Scenario: Those whose clients are slow are ended together, before the silent ones
    Given 4 places for connections
    And connections that have waited for their clients
      | connection | door    | seconds | client |
      | a          | clients | 9.0     | silent |
      | b          | clients | 1.0     | slow   |
      | c          | clients | 1.1     | slow   |
      | d          | metrics | 1.2     | slow   |
      | e          | clients | 0.0     | slow   |
    When places are made
    Then the connections b, c, d were ended

  Scenario: A request of a connection beyond the places takes the place of one that was ended
    Given 1 places for connections
    And connections that have waited for their clients
      | connection | door    | seconds |
      | a          | clients | 3.0     |
      | b          | clients | 0.0     |
      | c          | clients | 0.0     |
    Then 1 request may take a place
    And the connections a were ended

  Scenario: No connection is ended that may wait on
    Given 1 places for connections
    And connections that have waited for their clients
      | connection | door    | seconds |
      | a          | clients | 0.0     |
      | b          | clients | 0.0     |
    Then no places can be made

  Scenario: A host has places as its memory and its descriptors permit
    Then hosts have these places
      | memory_mb | descriptors | places |
      | 152       | 2870        | 927    |
      | 300       | 4100        | 1831   |
      | 552       | 1032        | 750    |
