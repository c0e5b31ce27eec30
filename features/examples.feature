Feature: Examples of the library
  Guards against examples that fail or print something else than their text promises, after a
  change of the library.

  Scenario: A request with a ticket runs once, and its copy gets the same answer
    When the example run_once is run
    Then it prints "copy: order accepted"
    And it prints "claim after revocation: revoked"

  Scenario: A lent slot is never available to the borrower and the lender at the same time
    When the example lend_slot is run
    Then it prints "12.1 s: borrower may start work: False, lender may use it: False"
    And it prints "16.9 s: borrower may start work: False, lender may use it: True"
