Feature: The adapter to the users' platform
  Guards against platform names outside the adapter, against malformed or foreign objects in the
  store that change which upstreams are used, and against a host that does not start, stop or log.

  Scenario: The platform's names occur in its folder only
    Then no source outside platform/ and the stand-ins contains a name of the platform

  Scenario Outline: A malformed or foreign entry is not used as an upstream
    Given an upstream's entry where <field> is <value>
    Then it is rejected

    Examples:
      | field         | value      |
      | address       | "1.2.3.4:99999" |
      | address       | "1.2.3.4:0" |
      | address       | "1.2.3.400:80" |
      | address       | "worker.example:80" |
      | slots         | 1000000000000000000000000000000 |
      | born          | 1000000000000000000000000000000 |
      | born          | -1 |
      | service       | "\ud800" |
      | service       | missing    |
      | service       | 5          |
      | address       | "nowhere"  |
      | address       | null       |
      | zone          | "atlantis" |
      | slots         | "4"        |
      | slots         | 0          |
      | slots         | true       |
      | state         | "resting"  |
      | state         | null       |
      | coldRemaining | "soon"     |
      | coldRemaining | 5          |
      | born          | "today"    |
      | born          | 1.5        |

  Scenario: Random objects never crash the decoders
    Then 300 random specs are decoded or rejected as upstreams, hosts and configurations

  Scenario: The operators' configuration is decoded completely
    Then its routes, services and limits are decoded into records

  Scenario: Changes in the store reach a host's belief
    Given a store with a configuration and 60 upstreams
    And a host program that uses the store
    Then it is ready within 10 s and lookup lists it
    And it has logged 60 upstreams
    When an upstream drains, another leaves and a zone is evacuated
    Then it logs all three within 2 s
    When the store discards its history and an upstream drains
    Then it logs the draining upstream within 3 s
    When the store fails for 1 s and configuration 9 is written
    Then it logs configuration 9 within 3 s

  Scenario: A request that arrives too late in a stop to be answered is refused and not run
    Given a store with a configuration and 2 upstreams
    And a host program that uses the store
    Then it is ready within 10 s and lookup lists it
    When its upstreams take 0.9 s, and it is signaled to stop during a slow upload
    And the upload completes 1.8 s later, with 0.6 s left of the grace period
    Then the client gets 503 and no upstream has run the request

  Scenario: A request that is still running at the end of a stop gets an answer
    Given a store with a configuration and 2 upstreams
    And its routes permit 2 s
    And a host program that uses the store, with a grace period of 1 s
    Then it is ready within 10 s and lookup lists it
    When its upstreams take 1.5 s, and it is signaled to stop during a request
    Then the client gets 504 before the program ends

  # Guards against uploads that end with their connection and without a promise that they did not run.
  Scenario: An upload that is still under way at the end of a stop is refused and not cut off
    Given a store with a configuration and 2 upstreams
    And a host program that uses the store, with a grace period of 1 s
    Then it is ready within 10 s and lookup lists it
    When its upstreams take 0.1 s, and it is signaled to stop during a slow upload
    Then the client gets 503 before the program ends
    And its upstreams have run no request

  # Guards against LOST: with a grace period of less than 4.5 s a host cut requests before its last
  # sixth.
  Scenario: A request that ends before the last sixth of a short grace period gets its answer
    Given a store with a configuration and 2 upstreams
    And its routes permit 2 s
    And a host program that uses the store, with a grace period of 2 s
    Then it is ready within 10 s and lookup lists it
    When its upstreams take 1.5 s, and it is signaled to stop during a request
    Then the client gets 200 before the program ends

  Scenario Outline: One odd entry among the upstreams neither ends a host nor stops it from following
    Given a store with a configuration and 2 upstreams
    And a host program that uses the store
    Then it is ready within 10 s and lookup lists it
    When another writer adds an upstream's entry with <value>
    Then 6 requests through the host are answered with 200
    When upstream "u002" drains
    Then the host logs that "u002" drains within 3 s
    When the store discards its history and an upstream drains
    Then it logs the draining upstream within 3 s
    And 6 requests through the host are answered with 200
    And the host has ended no green thread by an error

    Examples:
      | value                        |
      | a deeply nested field        |
      | a number of 5000 digits      |
      | a start time of 30 digits    |
      | a port out of range          |
      | a line break in its name     |
      | a lone surrogate as service  |
      | a service that is no UTF-8   |
      | a raw control character      |

  Scenario: A dead connection to the store is closed within 3 s
    Given a store with a configuration and 2 upstreams
    Then TCP keepalive is set to close a dead connection to it within 3 s

  Scenario: The program serves requests, logs and stops gracefully
    Given a store with a configuration and 2 upstreams
    And a host program that uses the store
    Then it is ready within 10 s and lookup lists it
    And a request through it is answered with 200
    And its metrics count the request
    When the host program is signaled to reload and to stop during a request
    Then that request is answered with 200 and the program ends with code 0
    And its log has the start, the request with its sends, the reload and the stop

  Scenario: Changed settings are applied without a restart, invalid ones are not
    Given a store with a configuration and 2 upstreams
    And a host program that uses the store
    Then it is ready within 10 s and lookup lists it
    When the retry budget in the settings changes without a signal
    Then it logs within 3 s that it applied the bounds
    When a second key is added to the file of keys
    Then it logs within 3 s that it applied the keys
    When the zone is missing from the settings
    Then it logs within 3 s that it rejected them, naming the field
    And a request through it is answered with 200
    When the settings name another store
    Then it logs within 3 s that this needs a restart

  # Guards against DENIED: hosts never read the configuration again and answered 404 for its new routes.
  Scenario: The configuration is read again although two reads after a loss of history fail
    Given a store with a configuration and 2 upstreams
    And a host program that uses the store
    Then it is ready within 10 s and lookup lists it
    When its watches wait
    And the store refuses the next 2 lists of config
    And configuration 9 is written and the store discards its history
    Then it logs configuration 9 within 5 s

  # Guards against DRAIN: hosts never read the upstreams again and sent requests to those that had left.
  Scenario: The upstreams are read again although two reads after a loss of history fail
    Given a store with a configuration and 2 upstreams
    And a host program that uses the store
    Then it is ready within 10 s and lookup lists it
    When its watches wait
    And the store refuses the next 2 lists of servers
    And upstream "u001" drains and the store discards its history
    Then the host logs that "u001" drains within 5 s

  Scenario: A host whose watches get no answer soon detects that the store is lost
    Given a store with a configuration and 2 upstreams
    And a host program that uses the store
    Then it is ready within 10 s and lookup lists it
    When the store stops answering
    Then it logs within 2 s that the store does not answer
    When the store answers again
    Then it logs within 2 s that the store answers

  Scenario: Changes of the first seconds after a silence of the store arrive in time
    Given a store with a configuration and 2 upstreams
    And a host program that uses the store
    Then it is ready within 10 s and lookup lists it
    When the store is silent for 3.0 s, and configuration 9 is written 0.5 s after its return
    Then it logs configuration 9 within 2 s

  # Guards against DRAIN and CONFIG after a short silence: a watch that the store had received was
  # never answered, and a host learned of changes only when its time-out ended.
  Scenario Outline: A short silence of the store, as watches are renewed, delays no later change
    Given a store with a configuration and 2 upstreams
    And a host program that uses the store
    Then it is ready within 10 s and lookup lists it
    When its watches wait
    And <phase> s have passed
    And configuration 9 is written, and <delay> s later the store is silent for <silence> s
    And 4 s have passed
    And configuration 11 is written
    Then it logs configuration 11 within 2.5 s
    When upstream "u001" drains
    Then the host logs that "u001" drains within 2.5 s

    Examples:
      | phase | delay | silence |
      | 0.30  | 0.45  | 0.3     |
      | 0.40  | 0.45  | 0.5     |
      | 0.25  | 0.30  | 0.9     |
      | 0.70  | 0.45  | 0.4     |
      | 0.10  | 0.45  | 1.4     |

  # Guards against the same on single connections, which stay open and tell nothing any more.
  Scenario: Connections on which watches wait go silent for good
    Given a store with a configuration and 2 upstreams
    And a host program that uses the store
    Then it is ready within 10 s and lookup lists it
    When its watches wait
    And the connections of its waiting watches go silent
    And upstream "u001" drains
    Then the host logs that "u001" drains within 2.5 s
    When configuration 9 is written
    Then it logs configuration 9 within 2.5 s

  # Guards against DRAIN: each cut-off watch counted as an outage of the store, so hosts kept removed
  # upstreams, and told their followers that they had lost the store.
  Scenario: A store that cuts off waiting watches again and again delays no removal
    Given a store with a configuration and 3 upstreams
    And a host program that uses the store
    Then it is ready within 10 s and lookup lists it
    When its watches wait
    And the store cuts off its waiting watches each 0.7 s
    And 5 s have passed
    And the entry of "u002" is deleted
    Then the host logs that "u002" is gone within 1.5 s
    And it has never logged that it lost the store
