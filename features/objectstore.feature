Feature: Client of the object API
  Guards against a write that is taken for undone although it took effect, and against calls that
  are not counted.

  Scenario: A conditional update finds another version
    Given an object store with object "a" of version 1
    When "a" is put with expected version 0
    Then the call fails with ConflictError and NOT_RUN
    And "a" still has version 1

  Scenario: A lost reply is not taken for an undone write
    Given an object store with object "a" of version 1
    When the reply is lost and "a" is put with expected version 1
    Then the call fails with StoreError and MAY_HAVE_RUN
    And "a" still has version 2

  Scenario: A write that could not be sent was not run
    Given an object store that refuses connections
    When "a" is put with expected version 1
    Then the call fails with StoreError and NOT_RUN

  Scenario: A value that is too long is not sent
    Given an object store with object "a" of version 1
    When a value of 1000001 bytes is put
    Then the call fails with StoreError and NOT_RUN
    And the platform counted no put

  Scenario: Each call is counted once, a waiting watch too
    Given an object store with object "a" of version 1
    When "a" is read, listed, watched and put
    Then store and platform counted 1 get, 1 list, 1 watch and 1 put

  Scenario: A watch names what was written after its version
    Given an object store with object "a" of version 1
    When objects "b" and "c" are written
    Then a watch of "a" and "b" after version 1 names "b" with version 2

  Scenario: The list of instances lags
    Given an object store with object "a" of version 1
    When the list's lag is 60 s and a host is set to leaving
    Then the list of instances does not exist yet
