Feature: Operators' command line
  Guards against a command that makes another change than it showed, that exits with 0 after a
  failure, or that overwrites a concurrent change of another operator.

  Scenario: A configuration generated from answers passes the check
    Given a console
    When "generate ANSWERS FILE" runs
    And "check FILE" runs
    Then it exits with 0 and prints "no problems"

  Scenario: An existing file is not overwritten without --force
    Given a console
    When "generate ANSWERS FILE" runs
    And "generate ANSWERS FILE" runs
    Then it exits with 1 and prints "exists; --force overwrites it"

  Scenario: Answers typed at the terminal are written to the file
    Given a console
    When "questionnaire FILE" runs with the example answers typed in
    And "check FILE --answers" runs
    Then it exits with 0 and prints "no problems"

  Scenario: The questionnaire needs a terminal
    Given a console
    When "questionnaire FILE" runs without a terminal
    Then it exits with 1 and prints "the questions need a terminal"

  Scenario: The questionnaire rejects an invalid answer, and fails at the end of the input
    Given a console
    When "questionnaire FILE" runs with "two words,cedarwake" typed in
    Then it exits with 1 and prints "the input has ended; nothing was changed"
    And the output contains "must be 1 to 64 letters"

  Scenario: Each problem of a configuration file is printed on one line
    Given a console with a configuration file of generation 0
    And "slots = 3" in the file becomes "slots = 0"
    And "zone = south-a" in the file becomes "zone = west"
    When "check FILE" runs
    Then it exits with 1
    And each printed line has a section, a key and a reason

  Scenario: Applying a file to an empty store publishes generation 1
    Given a console with a configuration file of generation 0
    When "apply FILE" runs
    Then it exits with 0 and prints "generation 1 is in the store"
    And the store and the file have generation 1

  Scenario: Applying the same file again changes nothing
    Given a console with a configuration file of generation 0
    When "apply FILE" runs
    And "apply FILE" runs
    Then it exits with 0 and prints "generation 1 in the store has the same content"
    And the store and the file have generation 1

  Scenario: A file that is based on an older generation is not applied
    Given a console with a configuration file of generation 0
    When "apply FILE" runs
    And another operator drains host host-1
    And "mean_ms = 50" in the file becomes "mean_ms = 60"
    And "apply FILE" runs
    Then it exits with 3 and prints "- [host host-1] state = leaving"
    And the store has generation 2

  Scenario: A write by another operator while a command is publishing is a conflict
    Given a console with a configuration file of generation 0
    When "apply FILE" runs
    And another operator writes while the next command is publishing
    And "drain host host-0 --yes" runs
    Then it exits with 3 and prints "conflict: generation 2 of another write is in the store"

  Scenario Outline: A write that the store does not confirm is reported with its verdict
    Given a console with a configuration file of generation 0
    And the store has the faults "<faults>"
    When "apply FILE" runs
    Then it exits with <code> and prints "<text>"

    Examples:
      | faults                                      | code | text                         |
      | lost, ok, lost                              | 0    | generation 1 is in the store |
      | ok, ok, dropped, down, down, down, down     | 4    | verdict MAY_HAVE_RUN         |
      | ok, ok, down, down, down, down, down        | 5    | verdict NOT_RUN              |
      | down, down, down, down, down                | 5    | verdict NOT_RUN              |

  Scenario: A damaged configuration prevents a change, and --replace overwrites it
    Given a console with a configuration file of generation 0
    When "apply FILE" runs
    And the store loses a shard
    And "drain host host-0 --yes" runs
    Then it exits with 1 and prints "shard is missing"
    When "apply FILE --replace" runs
    Then it exits with 0 and prints "generation 2 is in the store"

  Scenario: A dry run changes nothing
    Given a console with a configuration file of generation 0
    When "apply FILE --dry-run" runs
    Then it exits with 0
    And the store has generation 0

  Scenario Outline: A target is drained and returned to service
    Given a console with a configuration file of generation 0
    When "apply FILE" runs
    And "drain <target> --yes" runs
    Then it exits with 0 and prints "leaving: <changed>"
    And the store has generation 2
    When "drain <target> --yes" runs
    Then it exits with 0 and prints "is leaving already"
    When "drain <target> --undo --yes" runs
    Then it exits with 0 and prints "serving: <changed>"
    And the store has generation 3

    Examples:
      | target                     | changed                                                                    |
      | upstream catalogue-north-a | upstream catalogue-north-a                                                 |
      | host host-0                | host host-0                                                                |
      | zone north-a               | host host-0, upstream catalogue-north-a, upstream deposits-north-a         |

  Scenario Outline: A drain that leaves too few slots for the load needs --force
    Given a console with a configuration file of generation 0
    And an agent that reports 4 requests of catalogue in flight in each region, 700 ms ago
    When "apply FILE" runs
    And "drain region north --yes <option>" runs
    Then it exits with <code> and prints "catalogue has 8 requests for 6 slots"
    And the output contains "0.7 s"
    And the store has generation <generation>

    Examples:
      | option  | code | generation |
      |         | 1    | 1          |
      | --force | 0    | 2          |

  Scenario Outline: A change that is not confirmed is not made
    Given a console with a configuration file of generation 0
    When "apply FILE" runs
    And "<line>" runs without a terminal
    Then it exits with 1 and prints "nothing was changed; --yes"
    And the store has generation 1
    When "<line>" runs with "n" typed in
    Then it exits with 1 and prints "nothing was changed; --yes"
    When "<line>" runs with "y" typed in
    Then it exits with 0 and prints "generation 2 is in the store"

    Examples:
      | line                      |
      | drain host host-0         |
      | shift move north south 30 |

  Scenario: A shift is published with its cap shown, and ended
    Given a console with a configuration file of generation 0
    When "apply FILE" runs
    And "shift move north south 30 --yes" runs
    Then it exits with 0 and prints "south takes at most 20 requests/s"
    When "shift rest north south 80 --yes" runs
    Then it exits with 1 and prints "[shift rest] percent: shifts of north sum to 110 percent"
    When "shift move --undo --yes" runs
    Then it exits with 0
    And the store has generation 3

  Scenario: Status shows the numbers of each row with their age
    Given a console with a configuration file of generation 0
    And an agent that reports 4 requests of catalogue in flight in each region, 700 ms ago
    When "status" runs
    Then it exits with 0
    And the table has these rows
      | row                                                                  |
      | region north 1 serving, 1 unknown 12 4 2 7 0.7 s                         |
      | zone north-a north serving 6 4 2 7 0.7 s                             |
      | host host-0 north-a serving 6 4 2 7 0.7 s                            |
      | host host-1 north-b unknown 6 - - - -                                |
      | host host-2 south-a down 6 4 2 6 5.0 s                               |
      | upstream catalogue-north-a host-0 ejected 3 2 1 7 0.2 s              |
      | upstream deposits-north-a host-0 unknown 3 - - 7 -                   |
    When "status --json" runs
    Then the JSON has a row for each of 2 regions, 4 zones, 4 hosts and 8 upstreams

  Scenario: Status of one region, from an agent that sends no configuration head
    Given a console with a configuration file of generation 0
    And an agent that reports 4 requests of catalogue in flight in each region, 700 ms ago
    And the agent sends no configuration head
    When "apply FILE" runs
    And "status --region south --json" runs
    Then the JSON has a row for each of 1 regions, 2 zones, 2 hosts and 4 upstreams

  Scenario: Status includes the upstreams that the agents of other hosts report
    Given a console with a configuration file of generation 0
    And an agent that reports 4 requests of catalogue in flight in each region, 700 ms ago
    And an agent of host-1 that reports 1 request at deposits-north-b
    When "status" runs
    Then it exits with 0
    And the table has these rows
      | row                                                    |
      | upstream catalogue-north-a host-0 ejected 3 2 1 7 0.2 s |
      | upstream deposits-north-b host-1 serving 3 1 2 7 0.1 s |

  Scenario: Explain shows a client's block and region, the cause and the ranked hosts
    Given a console with a configuration file of generation 0
    And an agent that reports 0 requests of catalogue in flight in each region, 700 ms ago
    When "explain catalogue 10.0.3.4" runs
    Then it exits with 0 and prints "client 10.0.3.4: 10.0.0.0/16, zone north-a, region north"
    And the output contains "1. host-0 in north-a (north): usable"
    And the output contains "its heartbeat or its entry program is missing"
    When "explain catalogue 10.0.3.4 --json" runs
    Then the JSON names host-0 first
    When "explain nothing 10.0.3.4" runs
    Then it exits with 1 and prints "service 'nothing' does not exist"

  Scenario: A command fails with a message if the agent cannot be reached
    Given a console
    When "status" runs
    Then it exits with 5 and prints "agent: cannot connect"

  Scenario: A command fails with a message if no settings file is given
    Given a console without settings
    When "status" runs
    Then it exits with 2 and prints "name a settings file with --settings or SKYLARKSILL_SETTINGS"

  Scenario Outline: Shell completion includes the commands
    Given a console
    When "completions <shell>" runs
    Then it exits with 0 and prints "drain"

    Examples:
      | shell |
      | bash  |
      | zsh   |
      | fish  |

  Scenario: Trace shows a request's sends and the state changes of its host
    Given a console without settings
    And a host's log in which request "r1" was sent to "u1" and "u1" became unreachable
    When the trace of "r1" is requested
    Then it exits with 0 and prints "status=502 reason=connection_closed"
    And the output contains "send 1: upstream=u1 outcome=connection_closed ms=69"
    And the output contains "upstream.unreachable upstream=u1"
    And the output does not contain "u2"
    When the trace of "r9" is requested
    Then it exits with 1 and prints "no log line has the request id 'r9'"

  Scenario: Trace shows how the connection of a request without an answer ended
    Given a console without settings
    And a host's log in which the connection of requests "r1" and "r2" was closed by half_closed
    When the trace of "r2" is requested
    Then it exits with 0 and prints "client.closed cause=half_closed ended_by=host"
    And the output contains "client.ends connections={'half_closed': 3}"
    And the output does not contain "r3"
