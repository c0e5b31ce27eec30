Feature: Authenticated frames
  Guards against forged, replayed, reordered or truncated bytes being accepted as a message, which
  happens if the key, the sequence number or the length of a frame is not checked.

  Scenario: A frame arrives unchanged
    Given a frame writer and reader with the same key
    When the value {"id": 1, "body": [1, null, "text"]} is sent
    Then the reader returns the same value

  Scenario Outline: A damaged stream is rejected
    Given a frame writer and reader with the same key
    When two frames are sent and the stream is <damage>
    Then the reader raises <error>

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
    Then the reader raises FrameError
