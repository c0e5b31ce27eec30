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

  Scenario: A fault of the host while it reads a request is blamed on the client
    Given reading the request "r1" raises an exception
    When the client sends 2 requests at once until the connection ends
    Then the client has got 200 and then 503
    And the log has one exception of "client.parse" with its traceback

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
