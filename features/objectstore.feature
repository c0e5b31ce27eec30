Feature: Client of the object API
  Guards against a write that is reported as not made although it took effect, after a lost reply,
  and against calls that are not counted.

  Scenario: A conditional update of another version fails
    Given an object store with object "a" of version 1
    When "a" is put with expected version 0
    Then the call fails with ConflictError and NOT_RUN
    And "a" still has version 1

  Scenario: A lost reply does not report the write as not made
    Given an object store with object "a" of version 1
    When the reply is lost and "a" is put with expected version 1
    Then the call fails with StoreError and MAY_HAVE_RUN
    And "a" still has version 2

  Scenario: A write without a connection reports that it was not made
    Given an object store that refuses connections
    When "a" is put with expected version 1
    Then the call fails with StoreError and NOT_RUN

  Scenario: A value that is too long is not sent
    Given an object store with object "a" of version 1
    When a value of 1000001 bytes is put
    Then the call fails with StoreError and NOT_RUN
    And the platform counted no put

  Scenario: Each call is counted once, including a watch that waits
    Given an object store with object "a" of version 1
    When "a" is read, listed, watched and put
    Then store and platform counted 1 get, 1 list, 1 watch and 1 put

  Scenario: A watch returns the objects written after its version
    Given an object store with object "a" of version 1
    When objects "b" and "c" are written
    Then a watch of "a" and "b" after version 1 returns "b" with version 2

  Scenario: The list of instances lags
    Given an object store with object "a" of version 1
    When the list of instances lags by 60 s and a host is set to leaving
    Then the list of instances does not exist yet
