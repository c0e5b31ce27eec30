Feature: Disturbances beside the planned work of a site
  Guards against a rig that names a disturbance and doesn't play it, or records it as something else.

  Scenario Outline: An upstream breaks a request off
    Given an upstream that <breaks>
    When it gets a request
    Then its connection ends with <what>, and the request is broken off

    Examples:
      | breaks            | what                   |
      | breaks UNREAD     | no byte                |
      | breaks AT_WORK    | no byte                |
      | breaks IN_HEAD    | a part of a head       |
      | breaks IN_BODY    | a part of a body       |
      | breaks NO_ANSWER  | bytes without a status |
      | crashes           | no byte                |

  Scenario: An upstream that crashed serves again, and has dropped what waited
    Given an upstream that crashes
    When it gets a request
    And it comes back as u9 and gets a request
    Then 1 request is broken off, and u9 has answered the other

  # A request that was on its way looked as one that the host had left.
  Scenario: An upstream that crashes reads nothing that arrived before
    Given an upstream that breaks nothing off
    When it crashes as a request has arrived and was not read
    Then no request has reached it

  Scenario: Noise slows upstreams in spells and fails a few requests
    Then 12 to 18% of 1000 spells are slow, and 0.2 to 0.6% of 20000 requests fail

  Scenario: A client with a small window reads a part at a time, and its pauses are known
    When a client with a small window reads 400000 bytes
    Then no part exceeds 4000 bytes, and it has paused for the time that it took beyond its parts

  Scenario Outline: A disturbance that the first or the last writer of the store decides about
    Given a run with hosts a to c at a store, to which b, then c and then a have written, and b again
    When <event> is played with <held> held back
    Then meanwhile <state>, and <what> counts as disturbed
    And afterwards all hosts have the store's answers

    Examples:
      | event           | held             | state                              | what      |
      | CutLastWriter   | what a receives  | a gets no answers of the store     | the store |
      | CutLastWriter   | what a sends     | a gets no answers of the store     | the store |
      | KillFirstWriter | nothing          | b is down until the end of it      | b         |
      | RefuseCalls     | nothing          | the store answers all hosts by 503 | the store |

  Scenario: What a store that returns from an older copy has lost is written again
    Given a store whose writers have written u1 and u2
    When it is copied, u1 drains, u2 is deleted and u3 is written
    And it returns from the copy, which differs in 3 objects
    Then it holds u1 as ready and u2, but not u3
    And after 1.6 s it holds u1 as draining and u3, but not u2
