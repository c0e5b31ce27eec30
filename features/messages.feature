Feature: Typed messages
  Guards against a malformed message that is accepted as valid, and against a field that is lost
  or changed when a message is encoded and decoded.

  Scenario Outline: A decoded message equals the encoded one
    When a <message> is encoded, sent as msgpack and decoded
    Then the decoded message equals the original

    Examples:
      | message        |
      | DispatchCall   |
      | DispatchResult |
      | ViewResult     |
      | PeerEntry      |

  Scenario: Random values in place of fields are rejected
    When fields of a DispatchCall are replaced by random values
    Then each damaged message is rejected with FrameError or decodes to valid types
