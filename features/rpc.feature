Feature: Calls between own processes
  Guards against an answer that reaches another call, a stranger that is served, and a call that is
  reported as not executed although it may have been.

  Background:
    Given a server with the shared key

  Scenario: Answers that come out of order reach their own calls
    When calls that take 30, 10 and 20 ms are made at once
    Then each call returns its own value

  Scenario: An answer that comes after its call timed out is dropped
    When a call that takes 50 ms times out after 10 ms
    Then the call may have been executed
    And the next call on the connection returns its own value

  Scenario: A timed-out call is cancelled at the server
    When a call that takes 50 ms times out after 10 ms
    Then the handler learns of the cancellation

  Scenario: Calls of a lost connection are cancelled at the server
    When the client closes its connection during a call
    Then the call may have been executed
    And the handler learns of the cancellation

  Scenario: A server that ends during a call
    When the server closes during a call
    Then the call may have been executed

  Scenario: Nothing listens at the address
    When a call is made to a port where nothing listens
    Then the call was not executed

  Scenario: A process with another key is not served
    When a call is made with another key
    Then the call was not executed
    And the server has executed nothing

  Scenario: A process with another protocol version is not served
    When a client with another protocol version connects
    Then the server closes the connection without an answer

  Scenario: Bytes that are no frame close the connection
    When a connected client sends bytes that are no frame
    Then the server closes the connection without an answer
    And the server has executed nothing

  Scenario: An answer that is longer than a frame gives an error
    When a call is made whose answer is longer than a frame
    Then the call fails with "answer_too_long"
    And the next call on the connection returns its own value

  Scenario: An unknown method gives an error
    When a call is made to an unknown method
    Then the call fails with "unknown_method"

  Scenario: An exception in a handler does not reach the caller as text
    When a call is made whose handler raises an exception
    Then the call fails with "internal_error"
    And the error does not contain the exception's text
