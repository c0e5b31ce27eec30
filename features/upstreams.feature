Feature: Requests to upstreams
  Guards against verdicts that claim more than is known, incomplete answers, and answers of one
  request that reach another over a reused connection.

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

  Scenario: A 503 without the Not-Run header is an answer and does not prove that nothing ran
    When a request asks the upstream to bare-503
    Then the answer has status 503

  Scenario: An upstream that refuses connections has not run the request
    When the upstream is down and gets a request
    Then the send ends as NOT_RUN because of connect_failed

  Scenario: A request that is no longer permitted is not sent
    When a request is no longer permitted when its first byte is to be sent
    Then the send ends as NOT_RUN because of not_allowed
    And the upstream has run it 0 times

  Scenario: The upstream does not run a request whose deadline has passed
    When a request whose deadline has passed reaches the upstream
    Then the send ends as NOT_RUN because of not_run_by_upstream
    And the upstream has run it 0 times

  Scenario: A cancelled request has ended at the upstream when the send ends
    When a request that hangs is cancelled
    Then the send ends as MAY_HAVE_RUN because of cancelled
    And the upstream has no request in progress

  Scenario: An upstream that is leaving announces it with each answer
    When the upstream is leaving and gets a request
    Then the send ends as NOT_RUN because of not_run_by_upstream
    And the outcome marks the upstream as leaving

  Scenario: Answers over reused connections belong to their requests
    When 60 requests are sent 3 at a time and every fifth is cancelled
    Then each answer names its own request
    And at most 3 idle connections are kept

  Scenario Outline: A request that is not valid HTTP never reaches the upstream
    When a request with the path <path> is sent
    Then the send ends as NOT_RUN because of invalid_request

    Examples:
      | path            |
      | /a\r\nX-Head: b |
      | /a b            |
