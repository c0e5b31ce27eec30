Feature: Remote procedure calls between processes
  Guards against an answer that is delivered to another call, an unauthenticated client that is
  served, and a call that is reported as not executed although it may have been.

  Background:
    Given a server with the shared key

  Scenario: Answers out of order are delivered to their own calls
    When calls that take 30, 10 and 20 ms are made concurrently
    Then each call returns its own value

  Scenario: An answer that arrives after its call timed out is dropped
    When a call that takes 50 ms times out after 10 ms
    Then the call may have been executed
    And the next call on the connection returns its own value

  Scenario: A timed-out call is cancelled at the server
    When a call that takes 50 ms times out after 10 ms
    Then the handler is notified of the cancellation

  Scenario: Calls of a lost connection are cancelled at the server
    When the client closes its connection during a call
    Then the call may have been executed
    And the handler is notified of the cancellation

  Scenario: A call whose server closes the connection may have been executed
    When the server closes during a call
    Then the call may have been executed

  Scenario: A call to a port where nothing listens is not executed
    When a call is made to a port where nothing listens
    Then the call was not executed

  Scenario: A process with a wrong shared key is not served
    When a call is made with a wrong shared key
    Then the call was not executed
    And the server has executed nothing

  Scenario: A process with a different protocol version is not served
    When a client with a different protocol version connects
    Then the server closes the connection without an answer

  Scenario: Bytes that are not a frame close the connection
    When a connected client sends bytes that are not a frame
    Then the server closes the connection without an answer
    And the server has executed nothing

  Scenario: An answer that is longer than a frame is replaced by an error
    When a call is made whose answer is longer than a frame
    Then the call fails with "answer_too_long"
    And the next call on the connection returns its own value

  Scenario: A call to an unknown method fails
    When a call is made to an unknown method
    Then the call fails with "unknown_method"

  Scenario: The text of an exception in a handler does not reach the caller
    When a call is made whose handler raises an exception
    Then the call fails with "internal_error"
    And the error does not contain the exception's text
