Feature: Leases with fencing
  Guards against two holders that act at the same time, and against a holder that goes on acting
  after its lease has lapsed.

  Scenario: A second host waits for the whole duration by its own clock
    Given "a" holds a lease of 10 s
    Then "b" is told that "a" holds it
    When 9 s pass
    Then "b" is told that "a" holds it
    When 2 s pass
    Then "b" acquires it with epoch 2

  Scenario: A renewal starts the wait of others anew
    Given "a" holds a lease of 10 s
    Then "b" is told that "a" holds it
    When 6 s pass
    And "a" renews
    And 6 s pass
    Then "b" is told that "a" holds it
    And "a" may act with epoch 1

  Scenario: A lapsed lease stops the next act and cannot be renewed
    Given "a" holds a lease of 10 s
    When 10 s pass
    Then the next act of "a" fails with LeaseLapsedError
    And a renewal by "a" fails with LeaseLapsedError

  Scenario: A holder that was paused between check and act is fenced
    Given "a" holds a lease of 10 s
    And "a" has checked its lease for an act
    Then "b" is told that "a" holds it
    When 11 s pass
    Then "b" acquires it with epoch 2
    And "b" acts on the resource
    And the late act of "a" fails with StaleEpochError

  Scenario: An acquisition whose reply was lost is read back
    Given the next reply is lost
    When "a" acquires a lease of 10 s
    Then "a" may act with epoch 1

  Scenario: A renewal whose reply was lost counts
    Given "a" holds a lease of 10 s
    When 6 s pass
    And the next reply is lost
    And "a" renews
    And 6 s pass
    Then "a" may act with epoch 1

  Scenario: A renewal that took effect after it was read back does not cost the lease
    Given "a" holds a lease of 10 s
    When a renewal of "a" takes effect unseen
    And "a" renews
    Then "a" may act with epoch 1

  Scenario: In an outage the lease ends in time and nobody acquires it
    Given "a" holds a lease of 10 s
    When the platform has an outage
    Then a renewal by "a" may have run
    And "a" may act with epoch 1
    When 10 s pass
    Then the next act of "a" fails with LeaseLapsedError
    And an acquisition by "b" fails with StoreError

  Scenario: A released lease can be acquired at once
    Given "a" holds a lease of 10 s
    When "a" releases it
    Then "b" acquires it with epoch 2

  Scenario: At no time two holders may act, whatever fails in whatever order
    Then in 300 random histories at most one holder may act at a time and epochs rise
