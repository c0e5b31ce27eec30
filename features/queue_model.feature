Feature: Queueing model of the measurements
  Guards against wrong measurements caused by a fault of the model: jobs that are lost, run twice or
  preferred to others, or a percentile that picks the wrong rank.

  Scenario Outline: Percentiles are of the nearest rank
    Given the values 1 to <count>
    Then the <percent> percentile is <value>

    Examples:
      | count | percent | value |
      | 1     | 50      | 1     |
      | 4     | 50      | 2     |
      | 100   | 99      | 99    |
      | 1000  | 99.9    | 999   |
      | 101   | 99      | 100   |

  Scenario: No values have no percentile
    Given the values 1 to 0
    Then the 50 percentile raises an error

  Scenario: An upstream never runs more jobs than its slots
    Given an upstream with 2 slots
    When 3 jobs of 1.0 s arrive at once
    Then they end at 1.0, 1.0, 2.0 s

  Scenario: A change of speed changes what is left of running jobs
    Given an upstream with 1 slots
    When 1 jobs of 1.0 s arrive at once
    And the speed becomes 0.1 at 0.5 s
    Then they end at 5.5 s

  Scenario: A cancelled job frees its slot and does not end
    Given an upstream with 1 slots
    When 2 jobs of 1.0 s arrive at once
    And the first job is cancelled at 0.5 s
    Then they end at 1.5 s

  Scenario: The perfect queue meets Erlang's formula
    Given 20000 jobs at 80% load on 4 upstreams with 1 slots
    When they run in one perfect queue
    Then their mean wait is within 15% of 0.0373 s
    And each job ran once
