Feature: Reads from sockets
  Guards against bytes that have arrived and are taken for missing, because the process got no
  processor time until the deadline of the read.

  Scenario: Bytes that arrived before the deadline of a delayed read are lost
    Given a green thread that waits 0.1 s for bytes
    When the bytes arrive at once and the process gets no processor time for 0.3 s
    Then it has read the bytes

  Scenario: A read without bytes ends at its deadline
    Given a green thread that waits 0.1 s for bytes
    When the process gets no processor time for 0.3 s
    Then its read has timed out

  Scenario Outline: An answer that arrived before the deadline of its request is lost by a delay
    Given an upstream that answers with <size> bytes after 0.1 s
    When a request with 0.2 s left is sent to it and the process gets no processor time for 0.4 s
    Then the client gets <size> bytes

    Examples:
      | size  |
      | 10    |
      | 30000 |

  Scenario: A connection to an upstream that was opened in time is lost by a delay
    Given an upstream that accepts a connection 1 s after it was asked to
    When a host connects with a time-out of 1.2 s and gets no processor time from 0.5 to 1.4 s
    Then the host is connected

  # The kernel reports so that the other side has acknowledged nothing for the user time-out.
  Scenario: A connection that the kernel has given up counts as silent until the deadline
    Given a socket whose reads fail with ETIMEDOUT
    When it is read with 5 s left
    Then the read has failed with an error of the connection

  Scenario: A connection whose process waits for a processor while it parses needs no turn
    Given a connection whose bytes take 0.01 s to parse, all of it without the processor
    When it parses them 20 times while the turn to parse is taken
    Then all of them are parsed

  # Guards against a check of an idle connection that is woken by another green thread's socket.
  Scenario Outline: The check of an idle connection to the store is woken for another socket
    Given an idle connection to the store that <state>
    When it is checked while a wait for a socket ends with an event of another one
    Then the connection counts as <result>

    Examples:
      | state                 | result |
      | is open               | open   |
      | the store has closed  | closed |
      | has unexpected bytes  | closed |
