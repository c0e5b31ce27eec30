Feature: Hosts pass on what the store has told them
  Guards against a host that the store turns away and that stays behind, against older news that
  undo newer ones, and against a store that each host of a large deployment watches.

  Scenario: Two hosts of different zones are the sources of a region
    Given 3 serving hosts in each of the zones north-a, north-b and south-a
    Then all hosts of region north agree on 2 sources in zones north-a and north-b
    When one of them loses the store
    Then another host of its zone takes its place
    When all hosts of region north lose the store
    Then the sources of region north are in south-a

  Scenario: A follower learns changes, removals, evacuations and the configuration
    Given a source with configuration 3, upstreams "a" and "b" at revision 20
    And a follower that knows nothing
    When the follower is updated
    Then it believes in upstreams "a" and "b", configuration 3 and revision 20
    When "a" drains, "b" is gone, "c" joins and zone north-a is evacuated at revision 25
    And the follower is updated
    Then the update held 2 upstreams
    And it believes in upstreams "a" and "c", configuration 3 and revision 25
    And "a" drains and zone north-a is evacuated there

  Scenario: An older source does not undo what a newer one has told
    Given a source with configuration 3, upstreams "a" and "b" at revision 20
    And a follower that knows nothing
    And an older source with upstream "a" at revision 15
    When the follower is updated
    And the follower is updated by the older source
    Then it believes in upstreams "a" and "b", configuration 3 and revision 20

  Scenario: A follower that is too far behind gets everything
    Given a source with configuration 3, upstreams "a" and "b" at revision 20
    And a follower that knows nothing
    When the follower is updated
    And 1500 upstreams come and go at the source, then "c" joins at revision 30
    And the follower is updated
    Then the update held 3 upstreams
    And it believes in upstreams "a", "b" and "c", configuration 3 and revision 30

  Scenario: A lapsed upstream is gone after its grace although the store is lost again
    Given a belief with upstream "a"
    When the store is lost and regained at 10.0 s
    And the entry of "a" is removed at 10.1 s
    And the store is lost and regained at 11.9 s
    Then "a" is still believed in at 11.9 s and not at 12.1 s

  Scenario: Updates survive their encoding, and damaged ones are rejected or harmless
    Given a source with configuration 3, upstreams "a" and "b" at revision 20
    Then an update is decoded to the same
    And 400 random or damaged updates and requests are rejected or harmless

  Scenario: A host whose store is away is kept current by its source
    Given a source with configuration 3, upstreams "a" and "b" at revision 20
    And a host without a store that follows it on a loopback address
    Then that host believes in "a" and "b" within 2 s and is covered
    When "a" drains, "b" is gone, "c" joins and zone north-a is evacuated at revision 25
    Then that host believes in "a" and "c" within 1 s
    When the source stops answering
    Then that host is no longer covered within 2 s

  Scenario: A follower that has fallen silent is dropped
    Given a source with configuration 3, upstreams "a" and "b" at revision 20
    When a follower connects to it and says nothing
    Then the source closes the stream within 3.5 s

  Scenario: A follower relies no longer on a source that has lost the store
    Given a source with configuration 3, upstreams "a" and "b" at revision 20
    And a host without a store that follows it on a loopback address
    Then that host believes in "a" and "b" within 2 s and is covered
    When the source loses the store
    Then that host is no longer covered within 0.2 s
