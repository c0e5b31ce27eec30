Feature: Acceptance of configuration generations
  Guards against a configuration that is incomplete, damaged or older coming into force.

  Scenario: A generation from the store is held until it has been passed on
    Given generation 1 is in force
    When the store offers generation 2
    Then the offer is HELD and generation 1 is in force
    When the held generation is put in force
    Then generation 2 is in force

  Scenario: A generation from a peer is in force at once
    Given generation 1 is in force
    When a peer offers generation 2
    Then the offer is IN_FORCE and generation 2 is in force

  Scenario Outline: What is not higher, complete and valid changes nothing
    Given generation 2 is in force
    When a peer offers generation <generation> <how>
    Then the offer is <outcome> and generation 2 is in force

    Examples:
      | generation | how                               | outcome    |
      | 1          | unchanged                         | OLD        |
      | 2          | unchanged                         | OLD        |
      | 3          | without its shards                | INCOMPLETE |
      | 3          | with a damaged shard              | INVALID    |
      | 3          | with a host in an unknown zone    | INVALID    |
      | 3          | under the mark of generation 4    | OLD        |

  Scenario: A refused generation is not fetched again, a complete one is
    Given generation 2 is in force
    When a peer offers generation 3 with a damaged shard
    Then generation 3 is not wanted
    And generation 4 is wanted

  Scenario: A held generation that a higher one replaced does not come into force
    Given generation 1 is in force
    When the store offers generation 2
    And a peer offers generation 3
    And the held generation is put in force
    Then generation 3 is in force

  Scenario: Of two heads of one generation the store's later one wins in any order
    Then both orders of two heads of generation 2 end with the one of the higher store version

  Scenario: A head sent as a difference is the same head
    Given generation 1 is in force
    When the head of generation 2 is sent as a difference with a changed, a new and a removed shard
    Then the receiver has the same head, and without the base it has none

  Scenario: Random offers never lower the generation in force
    Then in 200 random sequences of offers the mark in force only rises
