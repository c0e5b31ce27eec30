Feature: Publishing a configuration
  Guards against an operator's change that is lost, put in force twice, written over another
  operator's change, or reported as not made although it was.

  Scenario: Shards are stored before the head that names them
    Given a store with a published configuration
    When a drain is published
    Then the store holds the drain as generation 2
    And the last write is the head and only changed shards were written

  Scenario Outline: A write with faults ends with a truthful report
    Given a store with a published configuration
    When a drain is published with the faults "<faults>" of the head's writes
    Then the outcome is <outcome>

    Examples:
      | faults                                  | outcome                    |
      | lost                                    | published                  |
      | dropped, ok                             | published                  |
      | late, ok                                | published                  |
      | down, ok                                | published                  |
      | down, down, down, down, down            | PublishError NOT_RUN       |
      | dropped, down, down, down, down         | PublishError MAY_HAVE_RUN  |
      | rival                                   | ConflictError NOT_RUN      |
      | dropped, rival                          | ConflictError MAY_HAVE_RUN |

  Scenario: Any sequence of faults gives a truthful report and at most one head
    Then 200 random sequences of faults give truthful reports

  Scenario Outline: Damage in the store is found
    Given a store with a published configuration
    When a shard in the store is <damage>
    Then reading it fails with "<reason>"

    Examples:
      | damage  | reason                         |
      | removed | shard is missing               |
      | changed | text does not match the digest |

  Scenario: A damaged shard is written over
    Given a store with a published configuration
    When a shard in the store is changed
    And the configuration is published again in place of the damaged one
    Then the store holds the same content as generation 2
