Feature: Blocks outlast the end of all hosts at the same moment
  Guards against knowledge that a limit needs and that no process is left to tell.

  Background:
    Given a store, and a host that has read what is blocked

  Scenario Outline: A host that starts knows the blocks that others have written before they ended
    When the host blocks a request for the 1st time
    And the store <trouble> for <length> s as the block is written
    And all hosts end, and a host starts whose clock is <skew> s ahead
    Then the new host blocks the request for the 1st time, and for as long give or take 7 s

    Examples:
      | trouble          | length | skew |
      | answers          | 0.0    | 0    |
      | answers with 503 | 1.5    | 6    |
      | is silent        | 2.5    | -6   |

  Scenario: A block that an answer has ended does not come back
    When the host blocks a request for the 1st time
    And the request is answered there
    And all hosts end, and a host starts whose clock is 0 s ahead
    Then the new host does not block the request

  Scenario: A request that is blocked again is written again
    When the host blocks a request for the 1st time
    And the host blocks the request for the 2nd time
    And all hosts end, and a host starts whose clock is 0 s ahead
    Then the new host blocks the request for the 2nd time, and for as long give or take 1 s

  Scenario: A block costs two calls and a start one
    When the host blocks a request for the 1st time
    Then the store has got 2 further calls, and 1 more as another host starts

  Scenario: The store keeps neither a host from blocking nor from starting
    When the store is silent for good
    And the host blocks a request for the 1st time
    Then it blocks the request at once, and a host that starts runs on

  Scenario: What the store can't mean is left out, and what has ended is removed
    When the store has blocks that nobody can read, and one that ended long ago
    And the host blocks a request for the 1st time
    And all hosts end, and a host starts whose clock is 0 s ahead
    Then the new host blocks the request for the 1st time, and for as long give or take 1 s
    And the block that ended long ago is gone from the store, and no other
