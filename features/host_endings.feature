Feature: The end of a client's connection
  Guards against LOST: answers that are cut off or requests that were read and get no answer, since
  their connection was taken for an idle one, closed with unread bytes, or closed without a notice.

  Scenario Outline: A connection that ends with an unanswered request is logged with its cause
    Given a client server that answers with as many bytes as its target says, after 1.0 s
    When a client sends a request and <what> before the answer
    Then the server logs that a connection ended by <cause> with 1 unanswered request
    And the line says that the client ended it, with <half-closed> time after the end of its stream
    And the line names the request

    Examples:
      | what                  | cause       | half-closed |
      | closes its connection | client_left | a           |
      | resets its connection | reset       | no          |

  Scenario: A refusal that its client doesn't get is logged with its age
    Given a client server that answers with as many bytes as its target says, after 1.0 s
    When a client sends a request for 10 bytes
    And it sends bytes that are no request and resets its connection
    Then the server logs that a connection ended by reset with 2 unanswered requests
    And the line says that they are younger than 1.0 s

  # Guards against a log that takes the host's own lack of memory for a reset by the client.
  Scenario: A connection that ends as the host lacks memory is logged as ended by the host
    Given a client server that answers with as many bytes as its target says, after 1.0 s
    When a client sends a request for 10 bytes
    And the host has no memory to read what follows
    Then the server logs that a connection ended by error with 1 unanswered request
    And the line says that the host ended it, with no time after the end of its stream

  Scenario: A connection that the process ends with an unanswered request is logged as ended by the host
    Given a client server that answers with as many bytes as its target says, after 1.0 s
    When a client sends a request for 10 bytes
    And the process ends
    Then the server logs that a connection ended by stop_deadline with 1 unanswered request
    And the line says that the host ended it, with no time after the end of its stream
    And the line names the request

  # Guards against a stop that takes a connection on which the last answer is still under way for an
  # idle one: 32,768 of 100,163 bytes arrived.
  Scenario: A client that sends on gets the whole of its last answer from a server that stops
    Given a client server that answers with as many bytes as its target says, after 0.3 s
    When a slow client sends a request for 100000 bytes
    And the server begins to stop and closes idle connections each 0.05 s
    And the client sends another request 0.05 s after the answer has begun
    Then after 0.5 s the client reads an answer of 100000 bytes that says that it is the last one
    And its connection has ended by last_answer within 3.0 s

  Scenario: A client that sends on gets the whole of its last answer though the process ends
    Given a client server that answers with as many bytes as its target says, after 0.3 s
    When a slow client sends a request for 100000 bytes
    And the server begins to stop
    And the process ends when another request has arrived, 0.05 s after the answer has begun
    Then after 0.5 s the client reads an answer of 100000 bytes that says that it is the last one

  # Guards against a silence that counts from the beginning of the answer: the server closed the
  # connection as soon as it had sent the last bytes, and a request behind reset it.
  Scenario: A client that received its last answer slowly and sends on reads the end of it
    Given a client server that answers with as many bytes as its target says, after 0.3 s
    When a slow client sends a request for 30000 bytes
    And the server begins to stop
    And the client reads 28000 bytes slowly, pauses for 0.6 s and sends another request
    Then it reads the rest of an answer of 30000 bytes that says that it is the last one

  # Guards against a stop that closes an idle connection for reading too: the request that crosses the
  # close reset the connection, and the client lost the answer before it.
  Scenario: A client that reads late and sends on as the server stops reads the answer before
    Given a client server that answers with as many bytes as its target says, after 0.0 s
    When a client has received an answer of 1000 bytes and has not read it
    And the server begins to stop and closes idle connections each 0.05 s
    And the client sends another request 0.4 s later
    Then it reads an answer of 1000 bytes and the end

  # Guards against idle time-outs that close with unread bytes.
  Scenario: A slow client that sends on gets its whole answer though the idle time-out is over
    Given a client server that answers with as many bytes as its target says, after 0.0 s
    And clients may be idle for 0.3 s
    When a slow client sends a request for 100000 bytes
    And the client sends another request 1.3 s after the answer has begun
    Then after 0.2 s the client reads an answer of 100000 bytes

  # Guards against idle time-outs that count from the request instead of from its answer.
  Scenario: The idle time-out of a connection begins with its last answer
    Given a client server that answers with as many bytes as its target says, after 0.3 s
    And clients may be idle for 0.4 s
    When a client sends a request for 10 bytes and reads the answer
    And 0.25 s later it sends another one
    Then the client reads an answer of 10 bytes

  # Guards against a stop that closes a connection on which a request has arrived.
  Scenario: A request that has arrived and was not read yet keeps its connection from being closed
    Given a client server that answers with as many bytes as its target says, after 0.0 s
    When a client sends a request for 10 bytes and reads the answer
    And it sends another one and the server closes idle connections before it has read it
    Then the client reads an answer of 10 bytes

  Scenario: A request that waits for a turn to be parsed keeps its connection from being closed
    Given a client server that answers with as many bytes as its target says, after 0.0 s
    When a client sends a request with a body in chunks of one byte and reads the answer
    And the turn to parse is taken for 1.0 s
    And it sends another one and the server closes idle connections 0.3 s later
    Then the client reads an answer of 10 bytes

  # Guards against a stop that writes the last answers one after the other: a client that does not
  # read kept all others from theirs for up to 10 s.
  Scenario: A client that does not read keeps no other from its answer at the end of a stop
    Given a client server that answers with as many bytes as its target says, after 0.0 s
    When 5 slow clients send a request that takes 5 s and behind it one for 5000000 bytes
    And another client sends a request that takes 5 s
    And the server ends what runs with 504
    Then ending what runs took less than 0.1 s
    And the client reads 504 and that it is the last answer within 0.5 s

  Scenario: A request whose last byte arrives after what ran was ended gets an answer
    Given a client server that answers with as many bytes as its target says, after 0.0 s
    When a client sends all but the last byte of a request
    And the server begins to stop
    And the server ends what runs with 504
    And the client sends the last byte
    Then the client reads 200 and that it is the last answer within 0.5 s

  # Guards against an answer that was formatted before the stop and after which the connection closes
  # without a notice, so that the client loses the request that it sends next.
  Scenario: The last answer of a connection says so though it was ready before the stop
    Given a client server that answers with as many bytes as its target says, after 0.0 s
    When a client sends a request that takes 0.3 s and behind it one that takes 0 s
    And the server begins to stop
    Then the client reads 2 answers, of which only the last one says that it is the last

  # Guards against a stop that resets connections in the queue of its listening socket.
  Scenario: A connection that waits to be accepted when a server stops listening is served
    Given a client server that answers with as many bytes as its target says, after 0.0 s
    When a client connects and sends a request, and the server stops listening before it accepts
    Then the server has 1 connection
    And the client reads 200 and that it is the last answer within 0.5 s

  # Guards against a host that stands still for seconds, and is killed, as a crowd connects to it.
  Scenario: Many connections that wait are accepted in parts, between which others are served
    Given a client server that answers with as many bytes as its target says, after 0.0 s
    When 300 clients connect and send requests
    And the server accepts the first of them
    Then between 1 and 256 of them are accepted
    And each of these clients reads 200 within 0.5 s

  Scenario: Many connections that wait as a server stops listening are accepted in parts, and no others
    Given a client server that answers with as many bytes as its target says, after 0.0 s
    When 300 clients connect and send requests
    And the server stops listening
    Then between 1 and 256 of them are accepted
    And a client that connects meanwhile is not connected within 0.3 s
    And each of these clients reads 200 and that it is the last answer within 0.5 s
    And the server has had 300 connections and has ended listening

  # Guards against an end of listening that resets what waits once accepting fails.
  Scenario: Connections that wait as a server without descriptors stops listening are reset
    Given a client server that answers with as many bytes as its target says, after 0.0 s
    When 3 clients connect and send requests, and the server stops listening without descriptors
    And 0.3 s later there are descriptors again
    Then each of these clients reads 200 and that it is the last answer within 0.5 s

  Scenario: Connections that wait as a server without descriptors ends are reset
    Given a client server that answers with as many bytes as its target says, after 0.0 s
    When a client sends a request for 10 bytes and reads the answer
    And 3 clients connect and send requests, and the server stops listening without descriptors
    And the process ends while it has as many descriptors as connections
    Then each of these clients reads 503 and that it is the last answer within 0.5 s

  # Guards against clients that wait while the host has descriptors for what nobody uses.
  Scenario: Idle connections to upstreams left a host no descriptor for a client
    Given a client server that answers with as many bytes as its target says, after 0.0 s
    When 3 clients connect and send requests, and all descriptors but 3 unused ones are taken
    Then each of these clients reads an answer within 0.5 s

  # Guards against a stop that accepts a connection and closes it before its first request arrives.
  Scenario: A connection that is opened during a stop is served
    Given a client server that answers with as many bytes as its target says, after 0.0 s
    When the server begins to stop and closes idle connections each 0.05 s
    And a client connects and sends its first request 0.12 s later
    Then the client reads 200 and that it is the last answer within 0.5 s

  # Guards against time-outs that are found before the bytes that arrived in time.
  Scenario: A request that arrives before the idle time-out is served though the process was paused
    Given a client server that answers with as many bytes as its target says, after 0.0 s
    And clients may be idle for 1.5 s
    When a client sends a request for 10 bytes and reads the answer
    And 1.35 s later the process is paused for 0.3 s as another request arrives
    Then the client reads an answer of 10 bytes

  # Guards against bytes behind the last request of a connection that cut the last answer.
  Scenario Outline: What a client sends behind its last request cuts its last answer
    Given a client server that answers with as many bytes as its target says, after 0.3 s
    When a slow client sends a request for 100000 bytes
    And the server begins to stop
    And the client sends <what> behind it, 0.4 s after the answer has begun
    Then after 0.5 s the client reads an answer of 100000 bytes that says that it is the last one

    Examples:
      | what                      |
      | bytes that are no request |
      | a head that asks to go on |

  Scenario: A body behind the last request of a connection stays counted
    Given a client server that answers with as many bytes as its target says, after 0.3 s
    When a client sends a request for 10 bytes
    And the server begins to stop
    And the client sends two requests with bodies behind it, 0.0 s after the answer has begun
    Then no bytes of bodies are counted once the connection has ended

  # Guards against a 400 that follows the last answer, which then doesn't say that it is the last.
  Scenario Outline: What follows the last request of a connection gets no answer
    Given a client server that answers with as many bytes as its target says, after 0.0 s
    When a client sends a request that asks to close, and <what> behind it
    Then the client reads 1 answer, which says that it is the last one, and the end

    Examples:
      | what                      |
      | another request           |
      | bytes that are no request |

  # Guards against a bound on the time after the last answer that cuts it.
  Scenario: A client that receives its last answer slowly and sends on gets all of it
    Given a client server that answers with as many bytes as its target says, after 0.3 s
    And it reads on for at most 0.5 s after the last answer
    When a slow client sends a request for 100000 bytes
    And the server begins to stop
    And the client reads 4000 bytes each 0.05 s and sends on
    Then it has read an answer of 100000 bytes

  # Guards against bodies that are counted for ever, for which a host refuses others with 503.
  Scenario: The bodies of requests that are not taken are not counted for ever
    Given a client server that answers with as many bytes as its target says, after 0.0 s
    When another client sends a request that takes 0.3 s
    And the server begins to stop
    And after the answer the client sends 3 requests with bodies
    Then the server holds no bytes of bodies once the connection has ended

  # Guards against an answer of the host in place of one that has arrived.
  Scenario Outline: An answer that has arrived as a delayed stop ends what runs is delivered
    Given a client server whose handler waits for an upstream
    When a client sends a request for <size> bytes
    And the upstream answers while the process is paused for 0.3 s, and what runs is ended with 504
    Then the client reads an answer of <size> bytes

    Examples:
      | size   |
      | 10     |
      | 100000 |

  # Guards against a time for such answers that passes while the process waits for a processor.
  Scenario: An answer that has arrived is delivered though the time for it is over at once
    Given a client server whose handler waits for an upstream
    And the server has 0 s for answers that have arrived
    When a client sends a request for 10 bytes
    And the upstream answers while the process is paused for 0.3 s, and what runs is ended with 504
    Then the client reads an answer of 10 bytes

  # Guards against a stop that is late and ends connections before the answers that it has given are
  # written.
  Scenario: A request that a stop answers gets that answer though the process ends at once
    Given a client server that answers with as many bytes as its target says, after 5.0 s
    When a client sends a request for 10 bytes
    And the server ends what runs with 504, and then its connections
    Then the client reads 504 and that it is the last answer within 0.5 s

  # Guards against an upload that ends without an answer, with its last bytes unread.
  Scenario Outline: A request that is read in part as a stop ends is refused
    Given a client server that answers with as many bytes as its target says, after 5.0 s
    When a client has sent <what> and no more
    And the server begins to stop
    And the server ends what runs with 504, and then its connections
    Then the client gets <statuses>, the last of which says so
    And the server holds no bytes of bodies once the connection has ended

    Examples:
      | what                                               | statuses |
      | a part of a head                                   | 503      |
      | a request without the rest of its body             | 503      |
      | a request for 10 bytes and a part of one behind it | 504      |

  # Guards against a kernel that gives up a client sooner than the server does.
  Scenario: A client that pauses while it receives an answer gets all of it
    Given a client server that answers with as many bytes as its target says, after 0.0 s
    When a slow client sends a request for 5000000 bytes
    Then after 5.0 s the client reads an answer of 5000000 bytes

  # Guards against a kernel that counts the time since a client's first pause and not the last one.
  Scenario: A client that pauses again and again while it receives an answer gets all of it
    Given a client server that answers with as many bytes as its target says, after 0.0 s
    When a slow client sends a request for 5000000 bytes
    Then with a pause of 0.6 s after each 200000 bytes the client reads an answer of 5000000 bytes

  # Guards against a wait for room that ends though the client receives: the kernel takes more only
  # once a third of its buffer is free.
  Scenario: A client that receives a large answer slowly gets all of it
    Given a client server that answers with as many bytes as its target says, after 0.0 s
    And a client may accept nothing of an answer for 0.5 s
    When a slow client sends a request for 4000000 bytes
    Then with a pause of 0.1 s after each 60000 bytes the client reads an answer of 4000000 bytes

  # Guards against a log that takes the host's own time-out for the client's end.
  Scenario: A client that accepts nothing of its answer is logged as ended by the host
    Given a client server that answers with as many bytes as its target says, after 0.0 s
    And a client may accept nothing of an answer for 0.5 s
    When a slow client sends a request for 5000000 bytes
    Then the server logs that a connection ended by write_timeout with 1 unanswered request
    And the line says that the host ended it, with no time after the end of its stream

  # Guards against clients that are gone and hold their connection since the kernel took the answer.
  Scenario: A client that reads nothing of its answer loses its connection
    Given a client server that answers with as many bytes as its target says, after 0.0 s
    And clients may be idle for 1.5 s
    When a slow client sends a request for 1000000 bytes
    Then within 10 s the server has closed its connection

  # Guards against a stop of a host that is late, which closed connections whose requests waited unread.
  Scenario: A request that waits unread at the end of a stop is refused and not cut off
    Given a client server that answers with as many bytes as its target says, after 0.0 s
    When a client sends a request for 10 bytes and reads the answer
    And another request of it waits unread as the server refuses such requests and ends
    Then the client reads 503 and that it is the last answer within 0.5 s
    And the server has handled 1 request and refused 1 unread

  Scenario: Requests that are under way are served as others are refused unread
    Given a client server that answers with as many bytes as its target says, after 0.3 s
    When a client sends a request that takes 0.2 s and behind it one that takes 0.3 s
    And the server begins to stop
    And the server refuses requests that wait unread
    Then the client reads 2 answers, of which only the last one says that it is the last
    And the server has handled 2 requests and refused 0 unread

  Scenario: Connections without a request are not refused anything
    Given a client server that answers with as many bytes as its target says, after 0.0 s
    When a client sends a request for 10 bytes and reads the answer
    And the server refuses requests that wait unread
    And 0.1 s later it sends another one
    Then the client reads an answer of 10 bytes
    And the server has handled 2 requests and refused 0 unread

  # Guards against a refusal that discards a request which it then can't answer.
  Scenario: A request that can't be refused, as its client doesn't receive, is read later
    Given a client server that answers with as many bytes as its target says, after 0.0 s
    When a client sends a request for 10 bytes and reads the answer
    And another request of it waits unread as the server can't send a refusal
    Then the client reads an answer of 10 bytes
    And the server has handled 2 requests and refused 0 unread

  # Guards against a refused connection that lasts until the idle time-out, as no reader looks at it.
  Scenario: A connection ends soon after its request was refused unread, though its client stays
    Given a client server that answers with as many bytes as its target says, after 0.0 s
    And clients may be idle for 30 s
    When a client sends a request for 10 bytes and reads the answer
    And 1.2 s later another request of it waits unread as the server refuses such requests
    And the server begins to stop and closes idle connections each 0.05 s
    Then its connection has ended by last_answer within 2.0 s

  # Guards against LOST: a client that had ended its sending side after its last request got nothing of
  # its answer, or a part of it.
  Scenario Outline: A client that ends its sending side gets answers that are ready soon
    Given a client server that answers with as many bytes as its target says, after <work> s
    When a client sends a request for <size> bytes and ends its sending side <delay> s later
    Then the client reads an answer of <size> bytes
    And its connection has ended by client_left within 1.0 s
    And the server holds no bytes of answers

    Examples:
      | work | size    | delay |
      | 0.1  | 10      | 0.0   |
      | 0.1  | 100000  | 0.0   |
      | 0.0  | 6000000 | 0.3   |

  # Guards against GONE: upstreams work on for a client that has closed its connection.
  Scenario: The requests of a client that has closed its connection are cancelled within 0.4 s
    Given a client server that answers with as many bytes as its target says, after 5.0 s
    When a client sends a request and closes its connection before the answer
    Then the request is cancelled within 0.4 s

  # Guards against uploads that wait in vain for the answer to their head and end with 408.
  Scenario: An upload that asks to go on behind another request is told so after its answer
    Given a client server that answers with as many bytes as its target says, after 0.0 s
    And clients may be idle for 0.4 s
    When a client sends a request that takes 0.6 s and behind it the head of an upload that asks to go on
    Then the client reads an answer of 10 bytes and behind it that it is to go on
    When the client sends the body
    Then the client reads an answer of 10 bytes

  # Guards against a close with unread bytes, which resets the connection and drops the refusal.
  Scenario: A client that goes on with its upload as the process ends reads that it is refused
    Given a client server that answers with as many bytes as its target says, after 0.0 s
    When a client sends a part of an upload each 0.002 s
    And the server begins to stop
    And the process ends
    Then the client reads 503 and that it is the last answer within 0.5 s
    And the server has handled 0 requests and refused 0 unread

  # Guards against LOST: what the kernel had not taken of an answer ended with the process.
  Scenario: A client that reads its last answer slowly gets all of it though the process ends
    Given a client server that answers with as many bytes as its target says, after 0.0 s
    When a client with a slow network sends a request for 200000 bytes
    And the server begins to stop
    And the server ends what runs with 504
    And the process ends 0.1 s later
    Then after 0.5 s the client reads an answer of 200000 bytes

  # Guards against a delayed stop that takes a client for silent whose bytes wait unread: what it
  # sends next resets the connection, and the client can lose its last answer.
  Scenario: A client that sends on after its last answer isn't silent though the process was paused
    Given a client server that answers with as many bytes as its target says, after 0.0 s
    When the server begins to stop
    And a client sends a request for 10 bytes and reads the answer
    And the process is paused for 1.2 s as another request arrives, and idle connections are closed
    Then 0.2 s later the connection is still open
