Feature: Requests on their way through a host
  Guards against answers that are not whole or not the client's own, work that runs twice, refusals
  that are not true, and connections that end without an answer.

  Background:
    Given a host with upstreams "a" and "b"

  Scenario: A request reaches an upstream unchanged and its answer returns
    When the client sends "POST /order/1?x=%20y" with the body "one deposit"
    Then the answer is 200 with a signature
    And one upstream got "POST /order/1?x=%20y" with the body "one deposit"
    And it was told the deadline and its own id

  Scenario: A chunked body arrives whole
    When the client sends the body "one deposit" in chunks
    Then the answer is 200 with a signature
    And one upstream got "POST /order/1" with the body "one deposit"

  Scenario: Pipelined requests run side by side and are answered in their order
    Given the upstreams take 0.3 s
    When the client sends 4 requests at once
    Then all 4 answers arrive in order within 0.9 s

  Scenario Outline: An upstream's fault never reaches the client as a success
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
      | unframed_reset  | non-idempotent | 502    | 1    |
      | no_http         | non-idempotent | 502    | 1    |
      | unsigned        | non-idempotent | 502    | 1    |
      | shed            | non-idempotent | 503    | 0    |
      | foreign         | non-idempotent | 503    | 0    |
      | error           | non-idempotent | 500    | 1    |
      | error           | idempotent     | 500    | 2    |
      | unframed        | non-idempotent | 200    | 1    |

  Scenario: Shed work goes to another upstream
    Given upstream "a" has the fault shed
    When the client sends 12 requests in turn
    Then all of them are answered with 200

  Scenario Outline: An extra answer or extra bytes reach no client
    Given both upstreams have the fault <fault>
    When the client sends 6 requests in turn
    Then all of them are answered with 200 and their own bodies

    Examples:
      | fault       |
      | late_extra  |
      | extra_bytes |

  Scenario: Work is cancelled when its client has gone
    Given the upstreams take 1.0 s
    When the client sends an idempotent request and leaves after 0.1 s
    Then 0.5 s later no upstream works on it

  Scenario: A request is answered at its time-out
    Given the upstreams take 5.0 s
    When the client sends an idempotent request
    Then the answer is 504 within 1.0 to 1.25 s

  Scenario: Without a configuration the host rejects requests as not run
    Given the host has no configuration
    When the client sends an idempotent request
    Then the answer is 503 with a time to return

  Scenario: A path without a route is not found
    When the client sends "GET /other/1" without a body
    Then the answer is 404

  Scenario Outline: Malformed input gets a clear error and the connection closes
    When the client sends the raw bytes <bytes>
    Then the answer is <status> and the connection closes
    And the upstreams ran nothing

    Examples:
      | bytes               | status |
      | two lengths         | 400    |
      | length and chunks   | 400    |
      | folded header       | 400    |
      | bare line feeds     | 400    |
      | space before colon  | 400    |
      | no host             | 400    |
      | long head           | 431    |
      | announced long body | 413    |
      | long chunked body   | 413    |
      | slow head           | 408    |

  Scenario: Bodies beyond the host's buffers are rejected as not run
    Given the host may hold 5000 bytes of bodies
    And the upstreams take 0.5 s
    When 3 clients send bodies of 2000 bytes at once
    Then 2 are answered with 200 and 1 with 503
    And no bytes of bodies are held

  Scenario: A stop answers what was read and closes the connection after it
    Given the upstreams take 0.4 s
    When the client sends an idempotent request and the host is told to stop meanwhile
    Then the answer is 200 and the connection closes

  Scenario: An unreachable upstream costs no request and comes back as cold
    Given upstream "a" refuses connections
    When the client sends 12 requests in turn
    Then all of them are answered with 200
    When upstream "a" accepts connections again
    Then it is used as a cold one

  Scenario: A client that leaves says nothing about its upstream
    Given the upstreams take 1.0 s
    When the client sends an idempotent request and leaves after 0.1 s
    Then 0.5 s later no upstream works on it
    And no upstream counts as failing

  Scenario: An upstream that lets a request time out in silence is probed
    Given the upstreams take 5.0 s
    When the client sends an idempotent request
    Then the answer is 504 within 1.0 to 1.25 s
    And its upstream is asked for another connection within 0.5 s

  Scenario: A head that never ends is rejected before the time for heads is over
    When the client sends 200000 bytes of a header that does not end
    Then the answer is 431 and the connection closes

  Scenario: An upstream's failure is delivered if the repeat is broken as well
    Given one upstream fails and the other one resets
    When the client sends an idempotent request
    Then the answer is 500 with a signature
    Given the upstreams change their faults
    When the client sends an idempotent request
    Then the answer is 500 with a signature

  Scenario: Nothing is sent to an unreachable upstream until a probe succeeds
    Given upstream "a" refuses connections
    When the client sends 12 requests in turn
    And the pause before the next probe of "a" is over
    Then nothing is placed on "a"
