Feature: Metrics of a host
  Guards against values that operators read wrongly.

  # Guards against a generation that was shown with six digits only.
  Scenario Outline: A gauge is shown as it was set
    When a gauge is set to <value>
    Then the metrics show "<text>" for it

    Examples:
      | value    | text     |
      | 12345678 | 12345678 |
      | 0.25     | 0.25     |
      | inf      | +Inf     |
