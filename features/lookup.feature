Feature: Lookup over HTTP
  Guards against clients that get no entry host, a ticket that no dispatcher can run, or an error
  that they cannot parse.

  Scenario: A lookup of an idempotent service
    Given a lookup daemon with a configuration in force
    When a client looks up service=catalogue&client=10.0.0.1
    Then the lookup answers 200 with the hosts host-0 and host-1 first
    And the lookup names generation 1, a lifetime and no ticket
    And the lookup's route names the region north

  Scenario: A lookup of a non-idempotent service returns a valid ticket
    Given a lookup daemon with a configuration in force
    When a client looks up service=deposits&client=10.1.0.1
    Then the lookup's ticket is valid for deposits at host-2 with arbiter host-3
    And a second lookup gives another ticket

  Scenario Outline: Invalid input is refused with a specific reason and without a traceback
    Given a lookup daemon with a configuration in force
    When a client looks up <query>
    Then the lookup answers <status> with reason <reason>

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
    Given a lookup daemon with a configuration in force
    When a client sends <method> to <path> of the lookup daemon
    Then the lookup answers <status> with reason <reason>

    Examples:
      | method | path                          | status | reason       |
      | GET    | /                             | 404    | unknown_path |
      | POST   | /v1/lookup?service=catalogue  | 405    | bad_method   |

  Scenario: No answer before a configuration is in force
    Given a lookup daemon without a configuration
    When a client looks up service=catalogue&client=10.0.0.1
    Then the lookup answers 503 with reason no_configuration

  Scenario: All hosts are leaving
    Given a lookup daemon with a configuration in force
    And the lookup daemon sees host-0,host-1,host-2,host-3 as leaving
    When a client looks up service=catalogue&client=10.0.0.1
    Then the lookup answers 503 with reason no_entry_host

  Scenario: A host that leaves is removed from answers that were cached with it
    Given a lookup daemon with a configuration in force
    When a client looks up service=catalogue&client=10.0.0.1
    And the lookup daemon sees host-0 as leaving
    And a client looks up service=catalogue&client=10.0.0.1
    Then the lookup answers 200 without host-0

  Scenario: A lookup of a non-idempotent service is refused while no dispatcher is alive
    Given a lookup daemon with a configuration in force
    And the lookup daemon sees host-0,host-1,host-2,host-3 as dead
    When a client looks up service=deposits&client=10.0.0.1
    Then the lookup answers 503 with reason no_dispatcher

  Scenario: A malformed configuration does not replace the one in force
    Given a lookup daemon with a configuration in force
    When the lookup daemon receives generation 2 with a malformed block
    And a client looks up service=catalogue&client=10.0.0.1
    Then the lookup names generation 1, a lifetime and no ticket

  Scenario: A generation with unchanged blocks reuses the block table
    Given a lookup daemon with a configuration in force
    When the lookup daemon receives generation 2 with the same blocks
    Then the lookup daemon serves generation 2 with the same block table

  Scenario: A lookup daemon that leaves publishes its state first and answers until it stops
    Given a lookup daemon with a configuration in force
    When the lookup daemon leaves while a client looks up
    Then the client was answered, the leaving state was published and the port is closed

  Scenario Outline: Invalid routes are treated as missing
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
