Feature: Upstreams, clients and peers that misbehave on their connections
  Guards against bytes without end that stall the whole host or fill its memory, refusals of other
  requests that make a request look as not run, and truncated answers that look complete.

  Scenario Outline: An answer that never ends is given up at the deadline and stalls nothing
    Given an upstream that sends <bytes> without end
    When a request with 0.6 s left is sent to it
    Then its outcome is unknown within 0.7 s
    And other green threads never waited for 0.1 s
    When a request with 0.6 s left is sent to another such upstream and its memory is measured
    Then less than 12 MB were in use

    Examples:
      | bytes             |
      | a header line     |
      | headers           |
      | a reason phrase   |
      | interim responses |
      | foreign answers   |
      | a body            |
      | a chunked body    |
      | a chunk extension |
      | trailers          |
      | line breaks       |

  Scenario Outline: An answer that arrives a byte at a time is given up at the deadline
    Given an upstream that sends a byte of <bytes> each 0.05 s
    When a request with 0.4 s left is sent to it
    Then its outcome is unknown within 0.5 s

    Examples:
      | bytes          |
      | a header line  |
      | a chunked body |

  Scenario Outline: A refusal of unknown origin does not prove that the request did not run
    Given an upstream that answers with <answer>
    When a request with 0.4 s left is sent to it
    Then its outcome is unknown within 0.5 s

    Examples:
      | answer                            |
      | an earlier refusal                |
      | an earlier refusal twice          |
      | a refusal without an id           |
      | a misdirection without an id      |
      | a refusal with two ids            |
      | a switch of protocols             |

  Scenario: The answer that follows an earlier refusal is delivered
    Given an upstream that answers with an earlier refusal and the own answer
    When a request with 0.4 s left is sent to it
    Then it is answered with "whole body"
    And the connection is not used again

  Scenario: A refusal that arrives after its connection was taken from the pool proves nothing
    Given an upstream that refused a request and repeats the refusal when the next one arrives
    Then the next request on the connection is answered with "whole body"

  Scenario Outline: An answer that is cut off anywhere is never delivered
    Given an answer with <framing>
    Then after each of its bytes an end by <end> gives no answer but for the whole one

    Examples:
      | framing  | end   |
      | a length | close |
      | a length | reset |
      | chunks   | close |
      | chunks   | reset |

  Scenario: An answer without a length that is cut off in its head or reset is never delivered
    Given an answer with neither length nor chunks
    Then after each byte of its head an end by close gives no answer
    And after each of its bytes an end by reset gives no answer

  Scenario: Answers of all connections together keep to the bound of their buffers
    Given buffers of answers that hold 1000 bytes of which 900 are held
    And an upstream whose answer has a body of 200 bytes
    When a request with 0.4 s left is sent to it
    Then its outcome is unknown within 0.5 s
    And 900 bytes are held

  Scenario: Any bytes in any portions give one outcome in time and within the bounds
    Then 300 random sequences of portions give an outcome within 0.3 s

  Scenario: A client that goes on sending after its last answer is cut off in time
    Given a host with upstreams "a" and "b"
    When a client goes on sending line breaks after a malformed request
    Then its connection ends within 7.0 s
    And other green threads never waited for 0.1 s

  Scenario Outline: A client that sends framing without end is rejected
    Given a host with upstreams "a" and "b"
    When a client sends <bytes> without end
    Then it gets the status <status> within 2.0 s
    And other green threads never waited for 0.1 s

    Examples:
      | bytes             | status |
      | a chunk extension | 413    |
      | line breaks       | 400    |

  Scenario: A peer that sends its request a byte at a time is disconnected
    Given a source of belief
    When a follower sends a byte of its request each 0.5 s
    Then the source ends the stream within 4.0 s

  # Guards against a host that parses what it has read of each connection in turn: 100 bodies in chunks
  # of one byte kept the requests of all other clients waiting for 1.4 s.
  Scenario Outline: Bytes without end on 100 connections leave other requests their time
    Given a host with upstreams "a" and "b"
    When 100 <senders> send <bytes> without end
    And 50 requests of other clients are sent one after the other
    Then each of them is answered with 200 within 0.4 s with a processor
    And each of them is answered with 200 within 0.25 s

    Examples:
      | senders   | bytes             |
      | upstreams | a chunked body    |
      | upstreams | headers           |
      | upstreams | interim responses |
      | upstreams | foreign answers   |
      | upstreams | a body            |
      | clients   | a chunked body    |
      | clients   | trailers          |

  Scenario: A body in chunks of one byte is delivered whole
    Given an upstream whose answer has 20000 chunks of one byte
    When a request with 2.0 s left is sent to it
    Then it is answered with 20000 bytes

  # Guards against LOST: six bodies of 8 MB in chunks of 8 bytes took a host above 300 MB, since each
  # piece was an object of its own and only its bytes were counted.
  Scenario: A client's body in small chunks takes little more memory than its bytes
    Given a host with upstreams "a" and "b"
    When a client sends 0.9 MB in chunks of 8 bytes and its memory is measured
    Then the request is answered with 200
    And less than 6 MB were in use meanwhile

  Scenario: A kept connection of ordinary requests never waits for a turn to parse
    Given a host with upstreams "a" and "b"
    When the turn to parse is taken
    And 300 requests of one client are sent on a kept connection
    Then each of them is answered with 200 within 0.25 s
