Feature: Hosts replicate the store's state to each other
  Guards against a host with outdated state because the store refuses it, against an older update
  that undoes a newer one, and against a store that each host of a large deployment watches.

  Scenario: Two hosts of different zones are the sources of a region
    Given 3 serving hosts in each of the zones north-a, north-b and south-a
    Then all hosts of region north agree on 2 sources in zones north-a and north-b
    When one of them loses its connection to the store
    Then another host of its zone replaces it as a source
    When all hosts of region north lose their connection to the store
    Then the sources of region north are in south-a

  Scenario: A follower learns changes, removals, evacuations and the configuration
    Given a source with configuration 3, upstreams "a" and "b" at revision 20
    And a follower without any state
    When the follower is updated
    Then it knows upstreams "a" and "b", configuration 3 and revision 20
    When "a" drains, "b" is removed, "c" is added and zone north-a is evacuated at revision 25
    And the follower is updated
    Then the update held 2 upstreams
    And it knows upstreams "a" and "c", configuration 3 and revision 25
    And the follower knows that "a" drains and zone north-a is evacuated

  Scenario: An update from an older source does not undo a newer one
    Given a source with configuration 3, upstreams "a" and "b" at revision 20
    And a follower without any state
    And an older source with upstream "a" at revision 15
    When the follower is updated
    And the follower is updated by the older source
    Then it knows upstreams "a" and "b", configuration 3 and revision 20

  Scenario: A follower that is too far behind gets all upstreams
    Given a source with configuration 3, upstreams "a" and "b" at revision 20
    And a follower without any state
    When the follower is updated
    And 1500 upstreams are added and removed at the source, then "c" is added at revision 30
    And the follower is updated
    Then the update held 3 upstreams
    And it knows upstreams "a", "b" and "c", configuration 3 and revision 30

  Scenario: A lapsed upstream is forgotten after its grace period even if the store is lost again
    Given a belief with upstream "a"
    When the store is lost and regained at 10.0 s
    And the entry of "a" is removed at 10.1 s
    And the store is lost and regained at 11.9 s
    Then "a" is still known at 11.9 s and not at 12.1 s

  # Guards against DRAIN: a source that kept a lapsed upstream handed it to followers as a live one, and
  # hosts passed upstreams round that had long left.
  Scenario: A lapsed upstream does not return to a follower that has forgotten it
    Given a source with configuration 3, upstreams "a" and "b" at revision 20
    And a follower without any state
    When the follower is updated
    And the store is lost and regained at the source at 99.0 s
    And "b" is removed at the source at 100.0 s and revision 25
    And the follower learns elsewhere that "b" is gone at revision 25
    And the follower connects anew and is updated
    Then it knows upstreams "a", configuration 3 and revision 25

  Scenario: A follower forgets a lapsed upstream when its source would have done so
    Given a source with configuration 3, upstreams "a" and "b" at revision 20
    And a follower without any state
    When the follower is updated
    And the store is lost and regained at the source at 99.0 s
    And "b" is removed at the source at 100.0 s and revision 25
    And the follower is updated
    Then the follower still knows "b" after 0.9 s and no longer after 1.1 s

  Scenario: A new follower gets a lapsed upstream for as long as its source keeps it
    Given a source with configuration 3, upstreams "a" and "b" at revision 20
    And a follower without any state
    When the store is lost and regained at the source at 99.0 s
    And "b" is removed at the source at 100.0 s and revision 25
    And the follower is updated
    Then the follower still knows "b" after 0.9 s and no longer after 1.1 s

  Scenario: A lapsed upstream that registers again stays at the followers
    Given a source with configuration 3, upstreams "a" and "b" at revision 20
    And a follower without any state
    When the follower is updated
    And the store is lost and regained at the source at 99.0 s
    And "b" is removed at the source at 100.0 s and revision 25
    And the follower is updated
    And "b" registers again at the source at revision 26
    And the follower is updated
    Then the follower still knows "b" after 5 s

  # Guards against DRAIN: a host that the store alone refused learned of a removal late, took it for an
  # entry that had expired in an outage, and kept the upstream beyond `drain`.
  Scenario Outline: A host that regains the store keeps a removed upstream if the store may have been away
    Given a source with configuration 3, upstreams "a" and "b" at revision 20
    And a follower without any state
    When until 100 s the follower gets updates <delay> s after their request from a <kind> source, which the store answers each second except from <first> s to <second> s
    And the store is lost and regained at the follower at 100.0 s
    And the follower reads from the store at 100.1 s that "b" is removed
    Then the follower has <outcome> "b"

    Examples:
      | kind  | delay | first | second | outcome   |
      | sound | 0.1   | 100   | 100    | forgotten |
      | sound | 0.1   | 96    | 97     | forgotten |
      | sound | 0.1   | 92    | 96     | forgotten |
      | sound | 0.1   | 95    | 98     | kept      |
      | sound | 0.1   | 96    | 99     | kept      |
      | sound | 0.1   | 97    | 100    | kept      |
      | sound | 0.7   | 100   | 100    | forgotten |
      | sound | 1.5   | 97    | 99     | kept      |
      | lost  | 0.1   | 100   | 100    | kept      |

  Scenario: A host that has no answers of others to go by keeps a removed upstream
    Given a source with configuration 3, upstreams "a" and "b" at revision 20
    And a follower without any state
    When until 100 s the follower gets updates 0.1 s after their request from a sound source, which the store answers each second except from 100 s to 100 s
    And the follower starts anew with its upstreams
    And the store is lost and regained at the follower at 100.0 s
    And the follower reads from the store at 100.1 s that "b" is removed
    Then the follower has kept "b"

  Scenario: Decoding restores an encoded update, and damaged updates are rejected or harmless
    Given a source with configuration 3, upstreams "a" and "b" at revision 20
    Then an encoded update is decoded to the same update
    And 400 random or damaged updates and requests are rejected or harmless

  Scenario: An update of many upstreams is compressed, and decompressing it is bounded
    Given a source with 500 upstreams
    Then an encoded update is decoded to the same update
    And it takes less than half of the bytes that it takes without compression
    And updates that decompress to 5 MB or are cut off are rejected

  Scenario: A host that cannot reach the store is kept up to date by its source
    Given a source with configuration 3, upstreams "a" and "b" at revision 20
    And a host without the store that follows the source over loopback
    Then that host knows "a" and "b" within 2 s and has a live source
    When "a" drains, "b" is removed, "c" is added and zone north-a is evacuated at revision 25
    Then that host knows "a" and "c" within 1 s
    When the source stops answering
    Then that host no longer has a live source within 2 s

  # Guards against DENIED: an update that was encoded once went out again and again with its age.
  Scenario: A follower's configuration is no younger than its source's while nothing changes
    Given a source with configuration 3, upstreams "a" and "b" at revision 20
    And a host without the store that follows the source over loopback
    Then that host knows "a" and "b" within 2 s and has a live source
    When the source's configuration was confirmed 1 s ago and is not confirmed for 2 s
    Then that host's configuration was confirmed 2.9 to 3.9 s ago

  # Guards against DENIED: a host that had read nothing yet took a peer's old configuration for current.
  Scenario: A host without a configuration has nothing to confirm
    Given a source with configuration 3, upstreams "a" and "b" at revision 20
    And a follower without any state
    When the store holds nothing that the follower lacks at 100 s
    And the source's configuration was confirmed at 40 s and the follower is updated at 100 s
    Then the follower's configuration is 60 s old at 100 s

  Scenario: A follower that has stopped sending is disconnected
    Given a source with configuration 3, upstreams "a" and "b" at revision 20
    When a follower connects to it and sends nothing
    Then the source closes the stream within 3.5 s

  Scenario: A follower no longer relies on a source that has lost the store
    Given a source with configuration 3, upstreams "a" and "b" at revision 20
    And a host without the store that follows the source over loopback
    Then that host knows "a" and "b" within 2 s and has a live source
    When the source loses its connection to the store
    Then that host no longer has a live source within 0.2 s

  # Guards against DRAIN: a source had read a drain within a list of an older revision, so the event of
  # that drain changed nothing there, and its follower, which had left the list out, never learned of it.
  Scenario: A follower that has left an older update out asks for what it held once more
    Given a follower that knows "a" and "b" at revision 45 from elsewhere
    And a source that has read "a" as draining in a list of revision 40
    When the follower is updated on its stream
    Then the follower knows "a" and "b" as ready
    When the source reaches revision 50 without a change
    And the follower is updated on its stream, until it asks for nothing again
    Then the follower knows that "a" drains at revision 50
