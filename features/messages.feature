Feature: Typed messages
  Guards against a malformed message being taken for a valid one, and against a field that is lost
  on the way between two processes.

  Scenario Outline: A message survives its conversion
    When a <message> is encoded, sent as msgpack and decoded
    Then the decoded message equals the original

    Examples:
      | message        |
      | DispatchCall   |
      | DispatchResult |
      | ViewResult     |
      | PeerEntry      |

  Scenario: Random bytes in place of fields are refused
    When fields of a DispatchCall are replaced by random values
    Then each damaged message is refused with FrameError or decodes to valid types
