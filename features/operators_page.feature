Feature: Operators' page
  Guards against commands, questions, settings, log prefixes and metrics that are missing from the
  page or described wrongly, because the code changed and the page was not written again.

  Scenario: Generated tables are present
    Then writing the tables of docs/operators.md again changes nothing

  Scenario: Every setting is on the page
    Then the page names section, key and default of every setting of the schema

  Scenario: Log prefixes and metrics are on the page
    Then the page names every log prefix and every metric of the package
