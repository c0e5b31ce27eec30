Feature: Invariants under faults
  Guards against a change that breaks an invariant of the design only when processes die, messages
  get lost or hosts change roles. "make faults" runs the whole matrix.

  Scenario Outline: Orders satisfy the invariants under a fault
    Then the scenario "run_orders" holds under the fault "<fault>"

    Examples:
      | fault        |
      | none         |
      | other again  |
      | both sides   |
      | home+ claim  |
      | home+ send   |
      | home- answer |
      | send+other   |

  Scenario Outline: The configuration satisfies its invariants under a fault
    Then the scenario "run_configuration" holds under the fault "<fault>"

    Examples:
      | fault           |
      | store down      |
      | reply lost      |
      | two operators   |
      | operators+reply |

  Scenario: A home that reports each lost run as not run is found
    When a home reports each lost run as not run
    Then the scenario "run_orders" does not hold under the fault "upstream dies"

  Scenario: Random runs violate no invariant
    Then 6 random runs from seed 1 violate no invariant
