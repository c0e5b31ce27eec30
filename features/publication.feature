Feature: Publishing a configuration
  Guards against a change that is lost, applied twice, overwrites another operator's change, or
  is reported as not made although it was, when replies are lost or two operators write at once.

  Scenario: Shards are written before the head that names them
    Given a store with a published configuration
    When a drain is published
    Then the store holds the drain as generation 2
    And the last write is the head and only changed shards were written

  Scenario Outline: The reported outcome of a faulty write is correct
    Given a store with a published configuration
    When a drain is published while writes of the head meet the faults "<faults>"
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

  Scenario: Any sequence of faults gives a correct report and at most one head
    Then 200 random sequences of faults give correct reports

  Scenario Outline: Damaged shards in the store are detected
    Given a store with a published configuration
    When a shard in the store is <damage>
    Then reading it fails with "<reason>"

    Examples:
      | damage  | reason                         |
      | removed | shard is missing               |
      | changed | text does not match the digest |

  Scenario: Publishing again replaces a damaged shard
    Given a store with a published configuration
    When a shard in the store is changed
    And the configuration is published again over the damaged one
    Then the store holds the same content as generation 2
