Feature: Leases with fencing
  Guards against two holders that act at the same time, as after a pause or a lost reply, and
  against a holder that continues after its lease has lapsed.

  Scenario: A second host waits for the full duration on its own clock
    Given "a" holds a lease of 10 s
    Then "b" is told that "a" holds it
    When 9 s pass
    Then "b" is told that "a" holds it
    When 2 s pass
    Then "b" acquires it with epoch 2

  Scenario: A renewal restarts the wait of other hosts
    Given "a" holds a lease of 10 s
    Then "b" is told that "a" holds it
    When 6 s pass
    And "a" renews
    And 6 s pass
    Then "b" is told that "a" holds it
    And "a" may act with epoch 1

  Scenario: A lapsed lease stops the next operation and cannot be renewed
    Given "a" holds a lease of 10 s
    When 10 s pass
    Then the next operation of "a" fails with LeaseLapsedError
    And a renewal by "a" fails with LeaseLapsedError

  Scenario: A holder that was paused between check and operation is fenced
    Given "a" holds a lease of 10 s
    And "a" has checked its lease for an operation
    Then "b" is told that "a" holds it
    When 11 s pass
    Then "b" acquires it with epoch 2
    And "b" changes the resource
    And the late operation of "a" fails with StaleEpochError

  Scenario: An acquisition whose reply was lost is confirmed by reading it back
    Given the next reply is lost
    When "a" acquires a lease of 10 s
    Then "a" may act with epoch 1

  Scenario: A renewal whose reply was lost is valid
    Given "a" holds a lease of 10 s
    When 6 s pass
    And the next reply is lost
    And "a" renews
    And 6 s pass
    Then "a" may act with epoch 1

  Scenario: A renewal that took effect after the read back does not lose the lease
    Given "a" holds a lease of 10 s
    When a renewal of "a" takes effect without its knowledge
    And "a" renews
    Then "a" may act with epoch 1

  Scenario: During an outage the lease lapses on time and no host acquires it
    Given "a" holds a lease of 10 s
    When the platform has an outage
    Then a renewal by "a" may have run
    And "a" may act with epoch 1
    When 10 s pass
    Then the next operation of "a" fails with LeaseLapsedError
    And an acquisition by "b" fails with StoreError

  Scenario: A released lease can be acquired at once
    Given "a" holds a lease of 10 s
    When "a" releases it
    Then "b" acquires it with epoch 2

  Scenario: At no time may two holders act, whatever fails in whatever order
    Then in 300 random histories at most one holder may act at a time and epochs rise
