Feature: Hosts learn of removed upstreams while the store refuses some of them, in virtual time
  Guards against DRAIN: a host that the store has refused learns of a removal late, takes it for an
  entry that has expired during an outage of the store, and keeps the upstream beyond `drain`.

  Scenario: A host that the store refused kept a removed upstream beyond `drain`
    When 3 runs with removals while the store refuses some hosts are played from seed 46
    Then no host knew a removed upstream for longer than `drain`
