Feature: The lateness of a host process
  Guards against a host that takes itself for punctual while each step of it waits for a processor,
  and against one that takes a single freeze for such a load.

  Scenario Outline: The estimate follows delays that last
    Given a task that is due each 0.1 s
    When it runs <delays> late
    Then the process is expected to be <least> to <most> s late

    Examples:
      | delays                           | least | most |
      | 20 times by 0.0 s                | 0.0   | 0.0  |
      | 20 times by 0.3 s                | 0.28  | 0.3  |
      | once by 3.0 s                    | 0.0   | 0.0  |
      | once by 3.0 s, 3 times by 0.0 s  | 0.0   | 0.0  |
      | 3 times by 0.8 s                 | 0.6   | 0.8  |
      | 5 times by 0.8 s, 5 times by 0.0 s  | 0.2 | 0.5 |
      | 5 times by 0.8 s, 20 times by 0.0 s | 0.0 | 0.03 |

  Scenario Outline: A request that a late host can't serve in time is turned away at once
    Given a host with upstreams "a" and "b"
    And the host is <late> s late
    When an idempotent request with a deadline of <deadline> ms is sent
    Then the answer is <status> within 0 to 0.5 s
    And upstreams have run <runs> requests

    Examples:
      | late | deadline | status | runs |
      | 0.0  | 800      | 200    | 1    |
      | 0.2  | 800      | 200    | 1    |
      | 0.3  | 800      | 503    | 0    |
      | 0.3  | 2000     | 200    | 1    |
      | 0.8  | 2000     | 503    | 0    |

  Scenario: A request that a late host could answer only after its stop is turned away at once
    Given a host with upstreams "a" and "b"
    And the host is 0.2 s late
    And it has to end 1.0 s from now
    When an idempotent request with a deadline of 800 ms is sent
    Then the answer is 503 within 0 to 0.5 s
    And upstreams have run 0 requests
