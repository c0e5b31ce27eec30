Feature: Look-up over HTTP
  Guards against clients without an entry host, with a ticket that nobody can run, or with an
  error that they cannot read.

  Scenario: A look-up of an idempotent service
    Given a look-up daemon with a configuration in force
    When a client looks up service=catalogue&client=10.0.0.1
    Then the look-up answers 200 with the hosts host-0 and host-1 first
    And the look-up names generation 1, a lifetime and no ticket
    And the look-up's route names the region north

  Scenario: A look-up of a non-idempotent service carries a ticket that verifies
    Given a look-up daemon with a configuration in force
    When a client looks up service=deposits&client=10.1.0.1
    Then the look-up's ticket is valid for deposits at host-2 with arbiter host-3
    And a second look-up gives another ticket

  Scenario Outline: Bad input gives a clear error without a traceback
    Given a look-up daemon with a configuration in force
    When a client looks up <query>
    Then the look-up answers <status> with reason <reason>

    Examples:
      | query                                       | status | reason          |
      | client=10.0.0.1                             | 400    | bad_parameter   |
      | service=&client=10.0.0.1                    | 400    | bad_parameter   |
      | service=catalogue&client=10.0.0             | 400    | bad_client      |
      | service=catalogue&client=                   | 400    | bad_client      |
      | service=catalogue&client=%00                | 400    | bad_client      |
      | service=catalogue&client=%FF%FE             | 400    | bad_client      |
      | service=catalogue&client=fe80::1%25eth0     | 400    | bad_client      |
      | service=catalogue&service=deposits          | 400    | bad_parameter   |
      | service=catalogue&colour=red                | 400    | bad_parameter   |
      | service=unknown&client=10.0.0.1             | 404    | unknown_service |

  Scenario Outline: Other paths and methods are refused
    Given a look-up daemon with a configuration in force
    When a client sends <method> to <path> of the look-up daemon
    Then the look-up answers <status> with reason <reason>

    Examples:
      | method | path                          | status | reason       |
      | GET    | /                             | 404    | unknown_path |
      | POST   | /v1/lookup?service=catalogue  | 405    | bad_method   |

  Scenario: No answer before a configuration is in force
    Given a look-up daemon without a configuration
    When a client looks up service=catalogue&client=10.0.0.1
    Then the look-up answers 503 with reason no_configuration

  Scenario: All hosts are leaving
    Given a look-up daemon with a configuration in force
    And the look-up daemon sees host-0,host-1,host-2,host-3 as leaving
    When a client looks up service=catalogue&client=10.0.0.1
    Then the look-up answers 503 with reason no_entry_host

  Scenario: A host that leaves is no longer named, although its answer was kept before
    Given a look-up daemon with a configuration in force
    When a client looks up service=catalogue&client=10.0.0.1
    And the look-up daemon sees host-0 as leaving
    And a client looks up service=catalogue&client=10.0.0.1
    Then the look-up answers 200 without host-0

  Scenario: Non-idempotent work gets no ticket while no dispatcher is alive
    Given a look-up daemon with a configuration in force
    And the look-up daemon sees host-0,host-1,host-2,host-3 as dead
    When a client looks up service=deposits&client=10.0.0.1
    Then the look-up answers 503 with reason no_dispatcher

  Scenario: A malformed configuration does not replace the one in force
    Given a look-up daemon with a configuration in force
    When the look-up daemon receives generation 2 with a malformed block
    And a client looks up service=catalogue&client=10.0.0.1
    Then the look-up names generation 1, a lifetime and no ticket

  Scenario: A generation without new blocks does not build their table again
    Given a look-up daemon with a configuration in force
    When the look-up daemon receives generation 2 with the same blocks
    Then the look-up daemon serves generation 2 with the same block table

  Scenario: A look-up daemon that leaves says so first and answers until it stops
    Given a look-up daemon with a configuration in force
    When the look-up daemon leaves while a client looks up
    Then the client was answered, the agent was told and the port is closed

  Scenario Outline: Routes that are not valid count as missing
    Given a signed route of north
    When the route is <change>
    Then the route names <region>

    Examples:
      | change                    | region |
      | unchanged                 | north  |
      | renamed to south          | none   |
      | extended by a day         | none   |
      | signed with another key   | none   |
      | read after its expiry     | none   |
      | truncated                 | none   |
      | missing                   | none   |
