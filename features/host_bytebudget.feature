Feature: Room for bytes of clients
  Guards against room that is made at the cost of clients that keep up, and against a count that
  drifts until nothing is accepted any more.

  Scenario: The slow holder of the address that holds the most is ended first
    Given a budget of 1000000 bytes
    And a holder "a" of address "10.0.0.1" with 300000 bytes of which 0 have moved
    And a holder "b" of address "10.0.0.2" with 400000 bytes of which 0 have moved
    And a holder "c" of address "10.0.0.1" with 200000 bytes of which 0 have moved
    When 2 s have passed for them and 150000 bytes are taken
    Then the bytes have been taken
    And these were ended: a

  Scenario: A holder that keeps up is never ended
    Given a budget of 1000000 bytes
    And a holder "a" of address "10.0.0.1" with 900000 bytes of which 200000 have moved
    And a holder "b" of address "10.0.0.2" with 50000 bytes of which 0 have moved
    When 2 s have passed for them and 500000 bytes are taken
    Then the bytes have not been taken
    And these were ended: b

  Scenario: A holder of few bytes, or one that has just begun, is not ended
    Given a budget of 1000000 bytes
    And a holder "a" of address "10.0.0.1" with 10000 bytes of which 0 have moved
    When 60 s have passed for them and 1000000 bytes are taken
    Then the bytes have not been taken
    And these were ended: none
    Given a holder "b" of address "10.0.0.1" with 900000 bytes of which 0 have moved
    When 0.5 s have passed for them and 500000 bytes are taken
    Then the bytes have not been taken
    And these were ended: none

  # Handles crowds of clients each of which holds too little to be ended.
  Scenario: Slow holders of few bytes are ended while they hold much together
    Given a budget of 100000 bytes
    And 7 holders of "10.0.0.1" with 10000 bytes of which 0 have moved
    When 2 s have passed for them and 40000 bytes are taken
    Then the bytes have been taken
    And 2 of them were ended

  Scenario: The refusal of a holder that is ended asks for no room of others
    Given a budget of 100000 bytes
    And 2000 holders of "10.0.0.1" with 100 bytes of which 0 have moved whose end asks for 1 byte
    When 2 s have passed for them and 90000 bytes are taken
    Then the bytes have been taken

  Scenario: Holders leave a quarter of the room to what has none
    Given a budget of 100000 bytes
    And 7 holders of "10.0.0.1" with 10000 bytes of which 0 have moved
    When 0.5 s have passed for them and 10000 bytes are taken for another holder
    Then the bytes have not been taken
    When 0.0 s have passed for them and 30000 bytes are taken
    Then the bytes have been taken

  Scenario: A holder that is alone may use all of the room
    Given a budget of 100000 bytes
    When 0.5 s have passed for them and 100000 bytes are taken for another holder
    Then the bytes have been taken

  Scenario: Any order of taking, holding, detaching, releasing and ending leaves an exact count
    Then 200 random runs of 60 steps count exactly what is held
