Feature: Forwarding of requests by a host
  Guards against answers that are truncated or belong to another request, requests that run twice,
  503 answers to requests that may have run, and connections that close without an answer.

  Background:
    Given a host with upstreams "a" and "b"

  Scenario: A request reaches an upstream unchanged and the client gets the answer
    When the client sends "POST /order/1?x=%20y" with the body "one deposit"
    Then the answer is 200 with a signature
    And one upstream got "POST /order/1?x=%20y" with the body "one deposit"
    And the upstream got the deadline and its own id

  Scenario: A chunked body arrives complete
    When the client sends the body "one deposit" in chunks
    Then the answer is 200 with a signature
    And one upstream got "POST /order/1" with the body "one deposit"

  Scenario: Pipelined requests run concurrently and are answered in order
    Given the upstreams take 0.3 s
    When the client sends 4 requests at once
    Then all 4 answers arrive in order within 0.9 s

  Scenario Outline: A faulty answer of an upstream never reaches the client as a success
    Given both upstreams have the fault <fault>
    When the client sends a <kind> request
    Then the answer is <status>
    And the upstreams ran it <runs> times

    Examples:
      | fault           | kind           | status | runs |
      | reset_after_run | non-idempotent | 502    | 1    |
      | reset_after_run | idempotent     | 502    | 2    |
      | truncated       | non-idempotent | 502    | 1    |
      | truncated       | idempotent     | 502    | 2    |
      | truncated_head  | non-idempotent | 502    | 1    |
      | endless_head    | non-idempotent | 502    | 1    |
      | endless_body    | non-idempotent | 504    | 1    |
      | unframed_reset  | non-idempotent | 502    | 1    |
      | no_http         | non-idempotent | 502    | 1    |
      | unsigned        | non-idempotent | 502    | 1    |
      | shed            | non-idempotent | 503    | 0    |
      | foreign         | non-idempotent | 503    | 0    |
      | error           | non-idempotent | 500    | 1    |
      | error           | idempotent     | 500    | 2    |
      | unframed        | non-idempotent | 200    | 1    |

  Scenario: A request that an upstream sheds goes to another upstream
    Given upstream "a" has the fault shed
    When the client sends 12 requests in turn
    Then all of them are answered with 200

  Scenario Outline: An extra answer or extra bytes of an upstream reach no client
    Given both upstreams have the fault <fault>
    When the client sends 6 requests in turn
    Then all of them are answered with 200 and their own bodies

    Examples:
      | fault        |
      | late_extra   |
      | late_refusal |
      | extra_bytes  |

  Scenario: A request is cancelled when its client disconnects
    Given the upstreams take 1.0 s
    When the client sends an idempotent request and disconnects after 0.1 s
    Then 0.5 s later no upstream runs it

  Scenario: A request is answered at its time-out
    Given the upstreams take 5.0 s
    When the client sends an idempotent request
    Then the answer is 504 within 1.0 to 1.25 s

  Scenario: A host without a configuration rejects requests as not run
    Given the host has no configuration
    When the client sends an idempotent request
    Then the answer is 503 with a retry delay
    And the log names the site "shop.example" and the path "/read/1" of the refusal "no_configuration"

  Scenario: A path without a route is answered with 404
    When the client sends "GET /other/1" without a body
    Then the answer is 404
    And the log names the path "/other/1", the routes and the age of the configuration

  # Guards against proper requests denied for good (DENIED): clients don't retry a 404, and a host that
  # is behind can't know that a route does not exist.
  Scenario: A host whose configuration may be outdated does not deny unknown paths
    Given the host's configuration was last confirmed 3 s ago
    When the client sends "GET /other/1" without a body
    Then the answer is 503 with a retry delay
    When the client sends an idempotent request
    Then the answer is 200

  # Guards against DENIED: the site was compared with the white space, and no route matched.
  Scenario: White space after the value of a header is not part of it
    When the client sends a request with white space after the values of its headers
    Then the answer is 200

  Scenario Outline: Malformed input gets a clear error and the connection closes
    When the client sends the raw bytes <bytes>
    Then the answer is <status> and the connection closes
    And the upstreams ran nothing
    And the log names the target "<target>" and the reason "<reason>"

    Examples:
      | bytes               | status | target   | reason                        |
      | two lengths         | 400    | /order/1 | Content-Length                |
      | length and chunks   | 400    | /order/1 | Content-Length                |
      | folded header       | 400    | /read/1  | header                        |
      | bare line feeds     | 400    | /read/1  | CR                            |
      | space before colon  | 400    | /read/1  | header                        |
      | no host             | 400    | /read/1  | no site                       |
      | long head           | 431    | /read/1  | head of more than 2000 bytes  |
      | announced long body | 413    | /order/1 | body of more than 10000 bytes |
      | long chunked body   | 413    | /order/1 | body of more than 10000 bytes |
      | slow head           | 408    | /read/1  | head too slow                 |

  # A trailer that is taken for a field of the head would replace the site after the route was found.
  Scenario: Trailers are dropped, whatever they name
    When the client sends an order in chunks with the trailer "Host: other.example"
    Then all of them are answered with 200
    And one upstream has run it and got neither the trailer nor "other.example"

  # Names of objects are kept in tables by host and upstream.
  Scenario: A long name of an object is kept as a digest, the same for the same name
    Then names of objects of 64 bytes are kept, and those of 7000 bytes as 64 each

  Scenario: Requests whose bodies exceed the host's buffers are rejected as not run
    Given the host may buffer 5000 bytes of bodies
    And the upstreams take 0.5 s
    When 3 clients send bodies of 2000 bytes at once
    Then 2 are answered with 200 and 1 with 503
    And no bytes of bodies are buffered

  Scenario: A stopping host answers requests that it has read and then closes the connection
    Given the upstreams take 0.4 s
    When the client sends an idempotent request and the host is stopped before the answer
    Then the answer is 200 and the connection closes

  Scenario: No request fails because of an unreachable upstream, which is cold once reachable again
    Given upstream "a" refuses connections
    When the client sends 12 requests in turn
    Then all of them are answered with 200
    When upstream "a" accepts connections again
    Then that upstream is reachable and cold

  Scenario: A client that disconnects does not count against its upstream
    Given the upstreams take 1.0 s
    When the client sends an idempotent request and disconnects after 0.1 s
    Then 0.5 s later no upstream runs it
    And no upstream counts as failing

  Scenario: An upstream that lets a request time out without any answer is probed
    Given the upstreams take 5.0 s
    When the client sends an idempotent request
    Then the answer is 504 within 1.0 to 1.25 s
    And its upstream gets another connection within 0.5 s

  Scenario: An endless request head is rejected before the head time-out
    When the client sends 200000 bytes of a header that does not end
    Then the answer is 431 and the connection closes

  Scenario: The failure answer of an upstream is delivered if the retry is broken as well
    Given one upstream answers 500 and the other one resets
    When the client sends an idempotent request
    Then the answer is 500 with a signature
    Given the upstreams swap their faults
    When the client sends an idempotent request
    Then the answer is 500 with a signature

  Scenario: Nothing is sent to an unreachable upstream until a probe succeeds
    Given upstream "a" refuses connections
    When the client sends 12 requests in turn
    And the delay before the next probe of "a" is over
    Then nothing is placed on "a"
