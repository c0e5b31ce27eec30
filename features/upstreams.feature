Feature: Requests to upstreams
  Guards against a verdict that says more than is known, an answer that is not whole, and an
  answer of one request that reaches another over a connection that is used again.

  Background:
    Given a stand-in upstream

  Scenario Outline: The verdict says whether the request may have run
    When a request asks the upstream to <action>
    Then the send ends as <verdict> because of <reason>
    And the upstream has run it <runs> times

    Examples:
      | action      | verdict      | reason              | runs |
      | shed        | NOT_RUN      | not_run_by_upstream | 0    |
      | truncate    | MAY_HAVE_RUN | connection_died     | 1    |
      | crash       | MAY_HAVE_RUN | connection_died     | 1    |
      | long-answer | RAN          | answer_too_long     | 1    |
      | hang        | MAY_HAVE_RUN | timeout             | 1    |

  Scenario: A bare 503 is an answer, not a proof that nothing ran
    When a request asks the upstream to bare-503
    Then the answer has status 503

  Scenario: An upstream that refuses connections has not run the request
    When the upstream is down and gets a request
    Then the send ends as NOT_RUN because of connect_failed

  Scenario: A request that may not be sent any more is not sent
    When a request loses its permission before its first byte
    Then the send ends as NOT_RUN because of not_allowed
    And the upstream has run it 0 times

  Scenario: A request whose deadline has passed at the upstream is not run
    When a request with a passed deadline reaches the upstream
    Then the send ends as NOT_RUN because of not_run_by_upstream
    And the upstream has run it 0 times

  Scenario: A cancelled request ends at the upstream before its slot is free
    When a request that hangs is cancelled
    Then the send ends as MAY_HAVE_RUN because of cancelled
    And the upstream runs nothing

  Scenario: An upstream that is leaving says so with each answer
    When the upstream is leaving and gets a request
    Then the send ends as NOT_RUN because of not_run_by_upstream
    And the send tells of the upstream that leaves

  Scenario: Answers over connections that are used again belong to their requests
    When 60 requests are sent 3 at a time and every fifth is cancelled
    Then each answer names its own request
    And at most 3 connections are kept

  Scenario Outline: A request that cannot be written as HTTP never reaches the upstream
    When a request with the path <path> is sent
    Then the send ends as NOT_RUN because of invalid_request

    Examples:
      | path            |
      | /a\r\nX-Head: b |
      | /a b            |
