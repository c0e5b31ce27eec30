Feature: Acceptance of configuration generations
  Guards against putting an incomplete, damaged or older configuration in force, as may happen when
  shards are missing or messages arrive out of order.

  Scenario: A generation from the store is held until it has been replicated to a peer
    Given generation 1 is in force
    When the store offers generation 2
    Then the offer is HELD and generation 1 is in force
    When the held generation is put in force
    Then generation 2 is in force

  Scenario: A generation from a peer is in force at once
    Given generation 1 is in force
    When a peer offers generation 2
    Then the offer is IN_FORCE and generation 2 is in force

  Scenario Outline: An offer that is not higher, complete and valid changes nothing
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

  Scenario: A rejected generation is not wanted again, and a later one is
    Given generation 2 is in force
    When a peer offers generation 3 with a damaged shard
    Then generation 3 is not wanted
    And generation 4 is wanted

  Scenario: A held generation that was replaced by a higher one is not put in force
    Given generation 1 is in force
    When the store offers generation 2
    And a peer offers generation 3
    And the held generation is put in force
    Then generation 3 is in force

  Scenario: Of two heads of one generation the one with the higher store version wins in any order
    Then both orders of two heads of generation 2 end with the one of the higher store version

  Scenario: A head sent as a delta is restored to the same head
    Given generation 1 is in force
    When the head of generation 2 is sent as a delta with a changed, a new and a removed shard
    Then the receiver restores the same head, and without the base it restores none

  Scenario: Random offers never lower the generation in force
    Then in 200 random sequences of offers the mark in force only rises
