Feature: Examples of the library
  Guards against examples that no longer run or no longer show what their text says.

  Scenario: A ticket runs once and its copy gets the same answer
    When the example run_once is run
    Then it prints "copy: order accepted"
    And it prints "claim after revocation: revoked"

  Scenario: A lent slot is never usable by both sides
    When the example lend_slot is run
    Then it prints "12.1 s: borrower may start work: False, lender may use it: False"
    And it prints "16.9 s: borrower may start work: False, lender may use it: True"
