Feature: Entry host over HTTP
  Guards against requests that run twice, end without a verdict, get a partial answer or the answer
  of another request, or keep running after their client has disconnected.

  Scenario: Idempotent work goes to the nearest dispatcher and its answer is returned unchanged
    Given an entry daemon with four dispatchers
    When a client sends POST /v1/catalogue/items/7?size=2 with body abc
    Then the entry answers 200 with verdict RAN and body /items/7?size=2|abc
    And only host-0 got the request, as POST with the client's headers and home region north
    And the answer has the upstream's headers without those of its connection

  Scenario Outline: Non-idempotent work without a valid ticket does not run and gets a new ticket
    Given an entry daemon with four dispatchers
    When a client sends a deposit with <ticket>
    Then the entry answers <status> with verdict NOT_RUN and reason <reason>
    And no dispatcher got the request
    And the deposit runs once with the new ticket of the answer

    Examples:
      | ticket                      | status | reason         |
      | no ticket                   | 428    | ticket_missing |
      | only an Idempotency-Key     | 428    | ticket_missing |
      | a forged ticket             | 403    | ticket_invalid |
      | a ticket of another service | 403    | ticket_invalid |
      | a ticket of no format       | 403    | ticket_invalid |

  Scenario: The ticket's home refuses an expired ticket
    Given an entry daemon with four dispatchers
    And the dispatcher of host-0 refuses with ticket_expired and NOT_RUN
    When a client sends a deposit with an expired ticket
    Then the entry answers 503 with verdict NOT_RUN and reason ticket_expired
    And host-0 got 1 request and host-1 got 0
    And the answer contains a new ticket

  Scenario Outline: The arbiter determines the outcome if the home does not answer
    Given an entry daemon with four dispatchers
    And the dispatcher of host-0 <failure>
    And the arbiter on host-1 reports <claim>
    When a client sends a deposit with a valid ticket and a timeout of 800 ms
    Then the entry answers <status> with verdict <verdict> and reason <reason>
    And no other dispatcher ran the deposit

    Examples:
      | failure                     | claim               | status | verdict      | reason              |
      | is dead                     | revoked             | 503    | NOT_RUN      | ticket_revoked      |
      | dies when it gets a request | revoked             | 503    | NOT_RUN      | ticket_revoked      |
      | dies when it gets a request | ran with answer     | 200    | RAN          | none                |
      | dies when it gets a request | ran without answer  | 502    | RAN          | answer_not_kept     |
      | dies when it gets a request | claimed             | 504    | MAY_HAVE_RUN | home_lost           |
      | dies when it gets a request | claimed, then ran   | 200    | RAN          | none                |
      | dies when it gets a request | unknown             | 504    | MAY_HAVE_RUN | arbiter_restarted   |
      | dies when it gets a request | nothing, it is dead | 504    | MAY_HAVE_RUN | arbiter_unreachable |
      | never answers               | ran with answer     | 200    | RAN          | none                |
      | is another incarnation      | revoked             | 503    | NOT_RUN      | ticket_revoked      |
      | is another incarnation      | ran with answer     | 200    | RAN          | none                |
      | fails inside                | claimed             | 504    | MAY_HAVE_RUN | home_lost           |

  Scenario: Without an arbiter the outcome is uncertain if the home fails
    Given an entry daemon with four dispatchers
    And the dispatcher of host-0 dies when it gets a request
    When a client sends a deposit with a ticket without arbiter
    Then the entry answers 504 with verdict MAY_HAVE_RUN and reason home_lost

  Scenario: The entry host does not retry elsewhere after the home answers NOT_RUN
    Given an entry daemon with four dispatchers
    And the dispatcher of host-0 refuses with queue_full and NOT_RUN
    When a client sends a deposit with a valid ticket
    Then the entry answers 503 with verdict NOT_RUN and reason queue_full
    And host-0 got 1 request and host-1 got 0
    And the answer contains a new ticket

  Scenario Outline: Requests with an incomplete or too long body never run
    Given an entry daemon with four dispatchers
    When a client sends a <body> body
    Then the entry answers <status> with verdict NOT_RUN and reason <reason>
    And no dispatcher got the request

    Examples:
      | body                  | status | reason         |
      | truncated             | 400    | truncated_body |
      | truncated chunked     | 400    | truncated_body |
      | malformed chunked     | 400    | truncated_body |
      | announced 1 MiB + 1   | 413    | body_too_long  |
      | chunked 1 MiB + 1     | 413    | body_too_long  |

  Scenario: A body of 1 MiB is transferred completely in both directions
    Given an entry daemon with four dispatchers
    When a client sends a body of 1 MiB to the catalogue
    Then the entry answers 200 with the same body

  Scenario Outline: Invalid requests are refused with a specific reason
    Given an entry daemon with four dispatchers
    When a client sends GET <path> with timeout header <timeout>
    Then the entry answers <status> with verdict NOT_RUN and reason <reason>

    Examples:
      | path               | timeout | status | reason          |
      | /                  | none    | 404    | unknown_path    |
      | /v2/catalogue/x    | none    | 404    | unknown_path    |
      | /v1/unknown/x      | none    | 404    | unknown_service |
      | /v1/catalogue/x    | 0       | 400    | bad_timeout     |
      | /v1/catalogue/x    | -5      | 400    | bad_timeout     |
      | /v1/catalogue/x    | soon    | 400    | bad_timeout     |
      | /v1/catalogue/%FF? | 1e9     | 400    | bad_timeout     |

  Scenario: No work before a configuration is in force
    Given an entry daemon without a configuration
    When a client sends GET /v1/catalogue/x with timeout header none
    Then the entry answers 503 with verdict NOT_RUN and reason no_configuration

  Scenario: No work while no dispatcher is alive
    Given an entry daemon with four dispatchers
    And the entry daemon sees all dispatchers as dead
    When a client sends GET /v1/catalogue/x with timeout header none
    Then the entry answers 503 with verdict NOT_RUN and reason no_dispatcher

  Scenario Outline: The client's timeout is limited to the service's maximum
    Given an entry daemon with four dispatchers
    When a client sends GET /v1/catalogue/x with timeout header <timeout>
    Then the dispatcher's deadline was between <low> and <high> ms

    Examples:
      | timeout   | low  | high |
      | 1000      | 700  | 1000 |
      | 999999999 | 3500 | 4000 |
      | none      | 3500 | 4000 |

  Scenario Outline: Idempotent work is retried in another zone after any failure
    Given an entry daemon with four dispatchers
    And the entry daemon has served 40 requests
    And the dispatcher of host-0 <failure>
    When a client sends GET /v1/catalogue/x with timeout header none
    Then the entry answers 200 with verdict RAN and body /x|

    Examples:
      | failure                                        |
      | is dead                                        |
      | dies when it gets a request                    |
      | fails inside                                   |
      | refuses with queue_full and NOT_RUN            |
      | refuses with connection_lost and MAY_HAVE_RUN  |

  Scenario: A call to a dispatcher that hangs is abandoned long before the deadline
    Given an entry daemon with four dispatchers
    And the entry daemon has served 40 requests
    And the dispatcher of host-0 hangs
    When a client sends GET /v1/catalogue/x with timeout header none
    Then the entry answers 200 with verdict RAN and body /x|

  Scenario: A call to a dispatcher that runs a long request is not abandoned
    Given an entry daemon with four dispatchers
    And the entry daemon has served 40 requests
    And the dispatcher of host-0 answers after 2.5 s
    When a client sends GET /v1/catalogue/x with timeout header none
    Then the entry answers 200 with verdict RAN and body /x|
    And host-0 got 41 requests and host-1 got 0

  Scenario Outline: Refusals that every dispatcher would repeat are not retried
    Given an entry daemon with four dispatchers
    And the entry daemon has served 40 requests
    And the dispatcher of host-0 refuses with <reason> and <verdict>
    When a client sends GET /v1/catalogue/x with timeout header none
    Then the entry answers <status> with verdict <verdict> and reason <reason>
    And host-0 got 41 requests and host-1 got 0

    Examples:
      | reason          | verdict | status |
      | blocked_request | NOT_RUN | 422    |
      | answer_too_long | RAN     | 502    |

  Scenario: Work that exceeds the shift cap is sent to its client's home region
    Given an entry daemon with four dispatchers
    And the entry daemon has served 40 requests
    And all dispatchers of north refuse with the limit shift_cap_per_s
    When a client of south sends a GET to the catalogue
    Then the entry answers 200 with verdict RAN and body /x|
    And host-1 got 0 requests and host-3 got 0
    When a client of south sends a deposit with a valid ticket
    Then the entry answers 503 with the limit shift_cap_per_s
    And the home of the new ticket is in south

  Scenario: Retries stay within their budget
    Given an entry daemon with four dispatchers
    And the dispatcher of host-0 refuses with queue_full and NOT_RUN
    When a client sends 40 requests to the catalogue
    Then 2 of them ran and the others were refused by the limit retry_budget

  Scenario: A late answer does not reach the next request
    Given an entry daemon with four dispatchers
    And the dispatcher of host-0 answers after 0.4 s
    When a client sends GET /v1/catalogue/first with timeout header 200
    Then the entry answers 504 with verdict MAY_HAVE_RUN and reason no_answer
    When a client sends GET /v1/catalogue/second with timeout header none
    Then the entry answers 200 with verdict RAN and body /second|

  Scenario: Answers that arrive out of order reach the right clients
    Given an entry daemon with four dispatchers
    And the dispatchers answer in random order
    When 60 clients send different requests at once
    Then each of them got the answer to its own request

  Scenario: The call to the dispatcher is cancelled when the client disconnects
    Given an entry daemon with four dispatchers
    And the dispatcher of host-0 never answers
    When a client closes its connection before the answer
    Then the call at host-0 is cancelled and nothing is in flight

  Scenario: A planned stop finishes requests in flight and refuses new requests
    Given an entry daemon with four dispatchers
    And the dispatcher of host-0 answers after 1.5 s
    When the entry daemon leaves while a request is in flight
    Then the request in flight was answered completely
    And a new request was refused as leaving before the daemon stopped

  Scenario: A client that does not finish sending its body does not delay a planned stop
    Given an entry daemon with four dispatchers
    When the entry daemon leaves while a body is incomplete
    Then the entry daemon stopped and no dispatcher got the request

  Scenario: A request that exceeds a link's byte budget is not sent to another region
    Given an entry daemon with four dispatchers and a link of 10000 bytes per second
    And the dispatchers of north are dead
    When a client sends POST /v1/catalogue/x with body of 2000 bytes
    Then the entry answers 503 with the limit link:north>south
