Feature: Drains
  Guards against new work on a drained host or upstream, against a drain that is reported as
  complete while work is in flight, and against a drain that leaves too few slots.

  Scenario Outline: States of a planned stop
    Given a drain state with a grace period of 1 s
    When the events "<events>" happen
    Then the state is <state> and new work is <work>

    Examples:
      | events                            | state   | work    |
      | 0 empty                           | serving | taken   |
      | 0 leave                           | leaving | taken   |
      | 0 leave, 0.5 empty                | leaving | taken   |
      | 0 leave, 1 empty                  | drained | refused |
      | 0 leave, 1 empty, 2 leave         | drained | refused |
      | 0 leave, 5 leave, 5.1 empty       | drained | refused |
      | 0 leave, 0.5 return               | serving | taken   |
      | 0 leave, 1 empty, 2 return        | serving | taken   |

  Scenario Outline: A preview counts the slots whose owners still serve
    Given a small configuration to drain with <hosts> hosts per zone
    When the drain of <kind> <name> is previewed
    Then <count> records change and catalogue keeps <north> slots in north and <south> in south

    Examples:
      | hosts | kind     | name              | count | north | south |
      | 1     | upstream | catalogue-north-a | 1     | 3     | 6     |
      | 1     | host     | host-0            | 1     | 3     | 6     |
      | 2     | host     | host-0            | 1     | 4     | 6     |
      | 2     | host     | host-1            | 1     | 5     | 6     |
      | 1     | zone     | north-a           | 3     | 2     | 6     |
      | 2     | zone     | north-a           | 4     | 3     | 6     |
      | 1     | region   | north             | 6     | 0     | 6     |

  Scenario Outline: A preview reports load that exceeds the remaining capacity
    Given a small configuration to drain with 1 hosts per zone
    And <load> requests of catalogue in flight in each region, reported <age> ms ago
    When the drain of region north is previewed
    Then the preview has the fault "<fault>" and ages of <age> ms

    Examples:
      | load | age  | fault                                                               |
      | 1    | 300  | none                                                                |
      | 2    | 400  | about 40 requests/s leave their region and the others take 20/s     |
      | 4    | 9000 | catalogue has 8 requests for 6 slots                                |

  Scenario: Undoing a drain restores the same configuration
    Given a small configuration to drain with 2 hosts per zone
    When the drain of region north is previewed
    Then undoing it restores the same configuration

  Scenario: Draining an unknown target is rejected
    Given a small configuration to drain with 1 hosts per zone
    Then draining zone host-0 is rejected with "zone 'host-0' is not configured"
