Feature: Exceptions in a host
  Guards against requests of kept connections that end without an answer, without a line in the log,
  because the host has failed on one of them.

  Background:
    Given a host with upstreams "a" and "b"

  Scenario Outline: A fault of a handler leaves its request and those behind it without an answer
    Given the handler <fault> the request "r1"
    When the client sends 4 requests at once
    Then all 4 requests are answered, and "r1" with 502
    And nothing of the requests is left in the host
    And the log has one exception of "<task>" with its traceback

    Examples:
      | fault                      | task          |
      | raises an exception for    | client.handle |
      | returns a broken answer to | client.format |

  Scenario Outline: An exception while a request was read ended its connection, or was a 400
    Given reading the request "r2" raises an exception <where>
    When the client sends 4 requests at once until the connection ends
    Then the answers have the status 200, 200 and 503
    And nothing of the requests is left in the host
    And the log has one exception of "client.read" with its traceback

    Examples:
      | where             |
      | in the parser     |
      | beside the parser |

  Scenario: An upstream's connection that can't be shut down kept others from being cancelled
    Given the upstreams take 1.0 s
    And their connections can't be shut down
    When the client sends 3 requests at once and disconnects
    Then nothing of the requests is left in the host
    And its connection is closed

  Scenario: A log that can't be written held back its later lines
    Given a log whose output has no room for its first 3 lines
    When 2 more lines are written
    Then the log has 2 lines and one that counts the 3 lost ones

  Scenario: A fault while answers are sent leaves the connection open without answers
    Given sending the answer to the request "r1" raises an exception
    When the client sends 4 requests at once until the connection ends
    Then the connection has ended, and the answer to "r1" did not arrive
    And nothing of the requests is left in the host
    And the log has one exception of "client.answer" with its traceback

  Scenario: The end of a green thread leaves its connection open without an answer
    Given the green thread of the request "r1" is ended
    When the client sends 4 requests at once until the connection ends
    Then the connection has ended, and the answer to "r1" did not arrive
    And nothing of the requests is left in the host

  Scenario Outline: A fault of the forwarder leaves a request without an answer
    Given the forwarder fails <when>
    When the client sends a <kind> request
    Then the answer is <status>
    And the upstreams ran it <runs> times
    And nothing of the requests is left in the host
    And the log has an exception of "<task>" with its traceback

    Examples:
      | when                            | kind           | status | runs | task             |
      | before it has chosen a route    | non-idempotent | 503    | 0    | request          |
      | while it chooses an upstream    | non-idempotent | 503    | 0    | request          |
      | while it connects               | non-idempotent | 503    | 0    | request          |
      | while it reads the answer       | non-idempotent | 502    | 1    | request.exchange |
      | while it reads the answer       | idempotent     | 502    | 2    | request.exchange |
      | while it learns from the answer | non-idempotent | 200    | 1    | request.learn    |
      | after it has got the answer     | non-idempotent | 200    | 1    | request          |
      | while it logs the end           | non-idempotent | 502    | 1    | client.handle    |

  Scenario: The connection of a request on which the host failed serves another request
    Given the forwarder fails while it reads the answer
    When the client sends a non-idempotent request
    Then the answer is 502
    And no connection to an upstream is kept

  Scenario Outline: An odd number in the answer of an upstream left requests without an answer
    Given the answers of the upstreams state <header> as <value>
    When the client sends 12 requests in turn
    Then all of them are answered with 200
    And nothing of the requests is left in the host

    Examples:
      | header                    | value                    |
      | X-Skylarksill-Server-Load | 1,0,4,9 of 400 digits    |
      | X-Skylarksill-Server-Load | 1,0,9 of 400 digits      |
      | X-Skylarksill-Server-Load | 9 of 400 digits,0,4,100  |
      | X-Skylarksill-Server-Load | 1,9 of 400 digits,4,100  |
      | X-Skylarksill-Server-Load | 1,0,4,9 of 5000 digits   |
      | X-Skylarksill-Server-Load | 1,0,0,100                |
      | X-Skylarksill-Server-Load | -1,0,4,-100              |
      | X-Skylarksill-Server-Load | ,,,                      |
      | Server-Limit              | 1e308                    |
      | Server-Limit              | 9 of 400 digits          |
      | Server-Limit              | nan                      |
      | Keep-Alive                | timeout=9 of 5000 digits |
      | Retry-After               | 9 of 400 digits          |

  Scenario Outline: A request with an odd deadline was refused as malformed
    When the client sends a request with a deadline of <value> ms
    Then the answer is <status>

    Examples:
      | value            | status |
      | 9 of 400 digits  | 200    |
      | 9 of 1500 digits | 200    |
      | 000000000001000  | 200    |
      | -1               | 200    |
      | x                | 200    |

  Scenario Outline: A host without file descriptors took its upstreams for unreachable
    Given connections fail with <error>
    When the client sends an idempotent request
    Then the answer is 503
    When connections succeed again
    And the client sends an idempotent request
    Then the answer is 200 with a signature
    And no upstream is unreachable or cold

    Examples:
      | error         |
      | EMFILE        |
      | ENOBUFS       |
      | EADDRNOTAVAIL |

  # Guards against connections that nobody uses while requests are refused for lack of descriptors.
  Scenario: Idle connections left a host no descriptor for a connection to another upstream
    Given the host has an idle connection, and others fail with EMFILE until it is closed
    When the host connects to an upstream
    Then it has a connection and no idle one

  Scenario Outline: Random answers, requests and changes leave no request without an answer
    Given a host whose upstreams, configuration and peers change at random with seed <seed>
    When 10 clients send requests 30 times each
    Then each request got a final answer, at least 500 of them
    And nothing of the requests is left in the host

    Examples:
      | seed |
      | 1    |
      | 2    |
