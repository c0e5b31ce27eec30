Feature: Accounts of clients on a host
  Guards against requests that run without a key that is in force, keys that reach an upstream or a
  log, accounts that a client names itself, and credit that is lost or spent twice.

  Scenario Outline: Each form of the header has one meaning
    Guards against a key that two programs read differently, and against an exception.
    Then the Authorization fields "<fields>" hold <found>

    Examples:
      | fields                         | found         |
      | Bearer k-acme                  | the key       |
      | bEARER   k-acme                | the key       |
      |                                | missing_key   |
      | Bearer k-acme / Bearer k-acme  | repeated_key  |
      | Basic k-acme                   | other_scheme  |
      | Bearer                         | malformed_key |
      | Bearer k-acme, Bearer k-acme   | malformed_key |
      | Bearer\tk-acme                 | malformed_key |
      | Bearer k\x00acme               | malformed_key |
      | Bearer \xff\xfe                | another key   |

  Scenario Outline: A request is denied for good only if no host may know its key
    Guards against 401 for a key that is in force, and a public request that loses its account.
    Given accounts of which <problem> can't be read
    Then a request to a <route> route with <key> on <host> host is <identity>

    Examples:
      | problem | route   | key       | host        | identity           |
      | none    | private | k-acme    | a current   | acme               |
      | none    | private | k-other   | a current   | unknown_key        |
      | none    | private | k-other   | an outdated | outdated_keys      |
      | none    | private | no key    | an outdated | outdated_keys      |
      | one     | private | k-other   | a current   | unreadable_account |
      | one     | private | no key    | a current   | missing_key        |
      | none    | private | k-shared  | a current   | unknown_key        |
      | none    | public  | k-acme    | a current   | acme               |
      | none    | public  | k-other   | a current   | anonymous          |
      | none    | public  | no key    | an outdated | anonymous          |
      | none    | public  | k-other   | an outdated | outdated_keys      |

  Scenario: The priority of an account comes before that of a route
    Guards against an urgent route that lets a less urgent account go first.
    Given accounts of the priorities 1 and 3, and routes of the priorities 0 and 2
    Then the ranks of all pairs rise with the account first, and requests of no account come last
    And each rank may wait less than the one before it
    And without accounts the ranks 0 to 3 may wait 1.0, 0.7, 0.5 and 0.5 of the limit

  Scenario Outline: A route and an account both restrict the regions
    Guards against a request that runs in a region that its account may not use.
    Then a route for "<route>" and an account for "<account>" permit "<regions>"

    Examples:
      | route       | account     | regions     |
      |             |             | all         |
      | north,south |             | north,south |
      |             | south       | south       |
      | north,south | south,west  | south       |
      | north       | south       | none        |

  Scenario Outline: Placement, retries and spill keep to the permitted regions
    Guards against a request that leaves them as its region has no upstream, or none is left.
    Then a host in "north" places a request for "<regions>", of which <tried> was tried, in <result>

    Examples:
      | regions     | tried   | result                 |
      | north,south | nothing | north                  |
      | south       | nothing | south                  |
      | north       | north   | no_upstream            |
      | west        | nothing | no_upstream_in_regions |

  Scenario: The upstream learns the account from the host alone
    Guards against a client that passes for another account, and a key that leaves the host.
    Given a host with upstreams "a" and "b"
    And the host knows the account "acme"
    When a client with the key "k-acme" sends a request that names another account in many ways
    Then the answer is 200
    And the upstream got the account "acme" once and no key
    And neither the log nor the metrics hold the key

  Scenario: Without accounts the headers of a client pass as they are
    Given a host with upstreams "a" and "b"
    When a client with the key "k-acme" sends a request that names another account in many ways
    Then the answer is 200
    And the upstream got the key and what the client said of its account

  Scenario: A request without a valid key is refused and runs nowhere
    Given a host with upstreams "a" and "b"
    And the host knows the account "acme"
    When a client with the key "k-other" sends a request
    Then the answer is 401 with a challenge
    And the upstreams ran nothing
    And neither the log nor the metrics hold the key

  Scenario Outline: A key that is removed ends its use for requests under way
    Guards against sends and retries with a key that was revoked.
    Given a host with upstreams "a" and "b"
    And the host knows the account "acme"
    And both upstreams have the fault <fault>
    And the key of "acme" is removed as soon as an upstream has got the request
    When a client with the key "k-acme" sends a request
    Then the answer is <status>
    And the upstreams got 1 request

    Examples:
      | fault           | status |
      | shed            | 401    |
      | error           | 500    |
      | reset_after_run | 502    |

  Scenario: A key that is removed while its request waits for credit is used no more
    Given a host with upstreams "a" and "b"
    And credit for 1 requests of "acme", granted after 0.2 s
    And the key of "acme" is removed after 0.1 s
    When a client with the key "k-acme" sends a request
    Then the answer is 401
    And 1 permit was granted and 1 given back

  Scenario: A key that is removed while its host connects to an upstream is used no more
    Given a host with upstreams "a" and "b"
    And the host knows the account "acme"
    And connecting takes 0.2 s
    And the key of "acme" is removed after 0.1 s
    When a client with the key "k-acme" sends a request
    Then the answer is 401
    And the upstreams ran nothing

  Scenario: A request without a permitted region is refused at once with the reason
    Given a host with upstreams "a" and "b"
    And an account "acme" for the region "south" and a route for "north"
    When a client with the key "k-acme" sends a request
    Then the answer is 503 with a retry delay
    And the log names the reason "no_common_region"

  Scenario Outline: Each send that may have run uses one permit, and no other does
    Guards against an account that is served beyond its quota, or loses credit without a send.
    Given a host with upstreams "a" and "b"
    And credit for <credit> requests of "acme", granted after 0 s
    And both upstreams have the fault <fault>
    When a client with the key "k-acme" sends a request
    Then the answer is <status>
    And <granted> permits were granted and <returned> given back

    Examples:
      | credit | fault           | status | granted | returned |
      | 3      | none            | 200    | 1       | 0        |
      | 3      | shed            | 503    | 1       | 1        |
      | 3      | error           | 500    | 2       | 0        |
      | 1      | error           | 500    | 1       | 0        |
      | 1      | reset_after_run | 502    | 1       | 0        |
      | 0      | none            | 429    | 0       | 0        |

  Scenario: A permit comes back from a request on which the host fails
    Given a host with upstreams "a" and "b"
    And credit for 1 requests of "acme", granted after 0 s
    And the forwarder fails while it chooses an upstream
    When a client with the key "k-acme" sends a request
    Then the answer is 503
    And 1 permit was granted and 1 given back

  Scenario: A permit comes back from a client that leaves while it waits for credit
    Given a host with upstreams "a" and "b"
    And credit for 1 requests of "acme", granted after 0.3 s
    When a client with the key "k-acme" sends a request and resets its connection
    Then 1 permit was granted and 1 given back
    And the upstreams ran nothing

  Scenario: A permit that has expired before the send is replaced
    Guards against a send that no holder of credit counts any more.
    Given a host with upstreams "a" and "b"
    And 2 permits of "acme" that last 0.1 s
    And connecting takes 0.2 s
    When a client with the key "k-acme" sends a request
    Then the answer is 200
    And 2 permits were granted and 1 given back

  Scenario: The metrics name the busiest accounts only
    Guards against labels without a bound, and a count that grows with each account ever seen.
    Given requests of 20001 accounts, of the last ones the most
    Then 10001 accounts are counted, and 20 shown, "t19340" among them

  Scenario: An account that gets 429 is seen in the metrics
    Given a host with upstreams "a" and "b"
    And credit for 0 requests of "acme", granted after 0 s
    When a client with the key "k-acme" sends a request
    Then the answer is 429 with a retry delay
    And the metrics show 1 requests of the account "acme" and 1 refused
