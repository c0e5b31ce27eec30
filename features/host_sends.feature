Feature: Sends end by their deadline, and answers that come early are seen
  Guards against a send whose time-out holds for each step and not for the whole, and against an
  answer that comes while a body is sent and isn't seen.

  Scenario Outline: A request times out whatever its upstream reads of it
    Given an upstream that reads <read> bytes each <pause> s
    When an order with a body of <size> bytes and 0.5 s left is sent to that upstream
    Then the order has timed out after 0.5 s
    And the upstream sees the end of the connection within 0.5 s and has not got the whole order

    Examples:
      | read  | pause | size     |
      | 16    | 0.01  | 300000   |
      | 512   | 0.02  | 300000   |
      | 4096  | 0.1   | 300000   |
      | 65536 | 0.05  | 20000000 |

  Scenario: A request that its upstream reads slowly arrives whole if there is time
    Given an upstream that reads 8192 bytes each 0.005 s
    When an order with a body of 400000 bytes and 5 s left is sent to that upstream
    Then the order is answered with 200, and the connection is kept
    And the upstream has got each byte of the order

  Scenario Outline: An answer that comes before a body was sent ends the send
    Given an upstream that answers the head with <answer> and <ending>
    When an order with a body of <size> bytes and 3 s left is sent to that upstream
    Then the order <outcome> within 0.5 s, and the connection is not kept

    Examples: Without having run the order
      | answer                     | ending                | size     | outcome     |
      | a refusal                  | closes                | 20000000 | has not run |
      | a refusal                  | holds the connection  | 20000000 | has not run |
      | a refusal                  | reads on              | 20000000 | has not run |
      | a refusal                  | closes                | 16000    | has not run |
      | a refusal                  | closes                | 300000   | has not run |
      | a refusal after another    | holds the connection  | 20000000 | has not run |
      | an interim, then a refusal | holds the connection  | 20000000 | has not run |

    Examples: With another answer
      | answer                   | ending                | size     | outcome                |
      | a failure                | closes                | 20000000 | is answered with 500   |
      | a failure                | holds the connection  | 20000000 | is answered with 500   |
      | a success                | closes                | 20000000 | is answered with 200   |
      | a success                | holds the connection  | 20000000 | is answered with 200   |

    Examples: With none that is complete
      | answer                   | ending                | size     | outcome                |
      | a cut refusal            | closes                | 20000000 | may have run, broken   |
      | a success without length | resets the connection | 20000000 | may have run, broken   |
      | nothing that counts      | resets the connection | 20000000 | may have run, broken   |
      | no answer                | holds the connection  | 20000000 | may have run, unbroken |

  Scenario Outline: What is no final answer to the order does not end the send
    Given an upstream that answers the head with <answer> and reads on
    When an order with a body of 400000 bytes and 5 s left is sent to that upstream
    Then the order is answered with 200
    And the upstream has got each byte of the order

    Examples:
      | answer              |
      | an interim answer   |
      | an earlier refusal  |

  Scenario: A send ends when its request is cancelled
    Given an upstream that reads 512 bytes each 0.02 s
    When an order of which 300000 bytes are to be sent is cancelled after 0.2 s
    Then the send has ended 0.3 s after it began

  Scenario Outline: A deadline holds for a whole message of other connections
    Given a peer that reads 64 bytes each 0.05 s
    When <sender> sends it 300000 bytes with 0.5 s left
    Then the sender has given up after 0.5 s

    Examples:
      | sender                 |
      | a bounded send         |
      | a client of the store  |
      | a source of belief     |
      | a follower of belief   |

  Scenario: An upload at an upstream that reads slowly ends at the time-out of its route
    Given a host with an upstream that reads 2000 bytes each 0.1 s on a link with a small window
    When a client sends it an order of 900000 bytes on a route with a time-out of 1.0 s
    Then the client gets 504 between 0.9 and 1.4 s after it
    And nothing of the order is held: no request, no connection, no body

  Scenario: An order that its upstream refused before it was read is sent to another one
    Given a host with an upstream that refuses long orders before they are read, and a sound one
    When a client sends it 6 orders of 900000 bytes
    Then all are answered with 200, each has run once, and nothing is suspected of a crash
