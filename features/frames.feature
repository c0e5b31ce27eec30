Feature: Authenticated frames
  Guards against bytes of a stranger, of another message or of a part of a message being taken
  for a message.

  Scenario: A frame arrives unchanged
    Given a frame writer and reader with the same key
    When the value {"id": 1, "body": [1, null, "text"]} is sent
    Then the reader returns the same value

  Scenario Outline: A damaged stream is refused
    Given a frame writer and reader with the same key
    When two frames are sent and the stream is <damage>
    Then the reader refuses with <error>

    Examples:
      | damage     | error          |
      | forged     | FrameError     |
      | reordered  | FrameError     |
      | replayed   | FrameError     |
      | truncated  | StreamEndError |
      | oversized  | FrameError     |

  Scenario: Frames of one direction are not accepted in the other
    Given a frame writer with the key of the other direction
    When the value {"id": 1} is sent
    Then the reader refuses with FrameError
