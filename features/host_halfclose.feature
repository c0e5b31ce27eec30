Feature: Clients that end their sending side and read on
  Guards against LOST: the host took the end of a client's stream for the end of the client, aborted
  its requests at their upstreams and closed the connection. And against GONE: upstreams that work on
  for a client that has closed its connection.

  Scenario: A client that ends its sending side gets all of its answers
    Given a client server that answers with as many bytes as its target says, after 0.0 s
    When a client sends requests that take 0.1, 1.0 and 0.1 s and ends its sending side
    Then the client reads 3 answers, of which only the last one says that it is the last
    And its connection has ended by client_left within 1.0 s
    And the server holds no bytes of answers
    And the server counts a half-closed connection as answered

  Scenario: A client that has asked for the last answer and ends its sending side gets it
    Given a client server that answers with as many bytes as its target says, after 0.5 s
    When a client sends a request that asks to close and ends its sending side
    Then the client reads 1 answer, which says that it is the last one, and the end

  Scenario: A client that ends its sending side as the server stops gets its answer
    Given a client server that answers with as many bytes as its target says, after 0.6 s
    When a client sends a request for 10 bytes and ends its sending side 0.0 s later
    And the server begins to stop and closes idle connections each 0.05 s
    Then the client reads 1 answer, which says that it is the last one, and the end

  Scenario: A client that reads a large answer slowly after the end of its sending side gets the next one
    Given a client server that answers with as many bytes as its target says, after 0.0 s
    When a slow client sends requests for 3000000 bytes and behind it for 20 bytes that takes 1.0 s
    And it ends its sending side and reads 200000 bytes each 0.05 s
    Then it has read answers of 3000000 and 20 bytes

  # Guards against LOST: a client that pauses for longer than 0.25 s and has no room for more was taken
  # for one that can't be reached, and its other requests were dropped.
  Scenario: A client that pauses while it reads a large answer after the end of its sending side gets the next one
    Given a client server that answers with as many bytes as its target says, after 0.0 s
    When a slow client sends requests for 3000000 bytes and behind it for 20 bytes that takes 1.0 s
    And it ends its sending side and reads 1000000 bytes each 0.6 s
    Then it has read answers of 3000000 and 20 bytes

  # Guards against LOST: a client of HTTP/1.0 can't be sent interim responses, so it was not probed, and
  # what took longer than 0.15 s was dropped.
  Scenario: A client of HTTP/1.0 that ends its sending side gets all of its answers
    Given a client server that answers with as many bytes as its target says, after 0.0 s
    When a client of HTTP/1.0 sends requests that take 0.1, 1.0 and 0.1 s and ends its sending side
    Then the client reads 3 answers, of which only the last one says that it is the last
    And its connection has ended by client_left within 1.0 s
    And the server holds no bytes of answers
    And the server counts a half-closed connection as answered

  Scenario: A client that can't be reached any more gets what is ready soon after the end of its sending side
    Given a client server that answers with as many bytes as its target says, after 0.0 s
    And a kernel that gets no acknowledgement of what it sends after 0.3 s
    When a client sends requests that take 0.1, 1.0 and 0.1 s and ends its sending side
    Then the client reads an answer of 10 bytes
    And the connection ends within the next answer
    And the server logs that a connection ended by half_closed with 2 unanswered requests
    And the line says that the host ended it, with a time after the end of its stream
    And the server holds no bytes of answers
    And the server counts a half-closed connection as dropped

  # Guards against LOST: dropping nothing failed, which closed the connection in the middle of an answer.
  Scenario: A client that seems out of reach gets the rest of an answer that is ready
    Given a client server that answers with as many bytes as its target says, after 0.0 s
    And a kernel that gets no acknowledgement of what it sends after 0.0 s
    When a client sends a request for 3000000 bytes, ends its sending side and pauses for 1.0 s
    Then the client reads an answer of 3000000 bytes
    And the server logs no failure

  Scenario: A client that closes its connection after the end of its sending side is noticed
    Given a client server that answers with as many bytes as its target says, after 5.0 s
    When a client sends a request for 10 bytes and ends its sending side 0.0 s later
    And 0.3 s later it closes its connection
    Then the request is cancelled within 0.4 s
    And the server counts a half-closed connection as left

  # Guards against a client that has left and is counted as one that was answered.
  Scenario: A client that has reset its connection unnoticed is counted as left
    Given a client server that answers with as many bytes as its target says, after 5.0 s
    And a kernel that tells of no reset
    When a client sends a request for 10 bytes and ends its sending side 0.0 s later
    And 0.05 s later it resets its connection
    Then the request is cancelled within 0.4 s
    And the server counts a half-closed connection as left

  # Guards against interim responses, which a client may not accept, or accept too few of.
  Scenario: A client that is probed reads nothing but its answer
    Given a client server that answers with as many bytes as its target says, after 4.4 s
    When a client sends a request for 10 bytes and ends its sending side 0.0 s later
    Then 5 bytes of the answer have arrived after 4.2 s
    And all that the client reads is an answer of 10 bytes

  Scenario: A client that is probed reads its pipelined answers one after the other
    Given a client server that answers with as many bytes as its target says, after 0.0 s
    When a client sends requests that take 0.7, 1.4 and 0.3 s and ends its sending side
    Then the client reads 3 answers, of which only the last one says that it is the last

  # Replays what a host sees of clients that are probed, and when it decides what.
  Scenario Outline: What a half-closed client does decides about its requests
    Given a half-closed client
    When it <does>
    Then it is probed at <probes> s and <fate>

    Examples:
      | does                                                  | probes                             | fate                   |
      | acknowledges at once                                  | 0.15, 0.5, 1.0, 2.0, 4.0, 6.0, 8.0 | is kept for 9.9 s      |
      | resets 0.01 s after it is probed                      | 0.15                               | is left at 0.16 s      |
      | acknowledges nothing                                  | 0.15                               | is dropped at 0.45 s   |
      | acknowledges 0.2 s after it is probed                 | 0.15, 0.5, 1.0, 2.0, 4.0, 6.0, 8.0 | is kept for 9.9 s      |
      | acknowledges 0.28 s after it is probed                | 0.15, 0.5, 1.0, 2.0, 4.0, 6.0, 8.0 | is kept for 9.9 s      |
      | acknowledges 0.4 s after it is probed, as always      | 0.15, 0.55, 1.05, 2.05, 4.05, 6.05, 8.05 | is kept for 9.9 s |
      | acknowledges 0.9 s after it is probed, as always      | 0.15, 1.05, 1.95, 2.95, 4.95, 6.95, 8.95 | is kept for 9.9 s |
      | acknowledges nothing, and took 0.4 s before           | 0.15                               | is dropped at 1.25 s   |
      | acknowledges nothing, and took 5.0 s before           | 0.15                               | is dropped at 2.45 s   |
      | receives 100 bytes each 0.2 s of 2000 bytes           | 4.0, 4.35, 4.85, 5.85, 7.85, 9.85  | is kept for 9.9 s      |
      | receives nothing of 2000 bytes                        | no                                 | is dropped at 0.3 s    |
      | has no room for 2000 bytes                            | no                                 | is kept for 9.9 s      |
      | is always sent more before it acknowledges, 200 bytes each 0.03 s | no                     | is kept for 9.9 s      |

  # Guards against LOST: a client with a round trip of over 0.3 s was taken for one that can't be reached.
  Scenario: A client with a long round trip that ends its sending side gets all of its answers
    Given a client server that answers with as many bytes as its target says, after 0.0 s
    And a kernel that gets each acknowledgement after 0.4 s
    When a client sends requests that take 0.1, 1.0 and 0.1 s and ends its sending side
    Then the client reads 3 answers, of which only the last one says that it is the last
    And the server counts a half-closed connection as answered

  Scenario: The kernel tells the round trip of a connection
    Given a client server that answers with as many bytes as its target says, after 0.5 s
    When a client sends a request for 10 bytes and ends its sending side 0.0 s later
    Then its round trip is found to take between 0.000001 and 0.01 s

  Scenario: There is a byte of the answer for each probe
    Then a client that acknowledges is probed once for each byte of the beginning of an answer

  # Guards against a look that is late and takes what has just been sent for unacknowledged since the
  # look before.
  Scenario: A late host does not take an answer that it has just sent for one that its client can't get
    Given a half-closed client
    When a host that is 0.3 s late looks as an answer has just been sent
    Then it goes on waiting
