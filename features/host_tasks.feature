Feature: Faults in the tasks of a host program
  Guards against an exception that ends a repeated task for good without a line in the log, and
  against one during the stop that ends the process with all its requests.

  Scenario Outline: An exception ended a repeated task of the host for good
    Given a store with a configuration and 2 upstreams
    And a host program that uses the store, with a fault in <task>
    Then it logs within 8 s that the planted fault is over
    And it has logged an exception of "<name>" with its traceback
    And it is ready within 2 s and lookup lists it
    And a request through it is answered with 200
    And its metrics count the exceptions of "<name>"

    Examples:
      | task                  | name              |
      | housekeeping          | host.housekeeping |
      | the log               | host.log          |
      | the settings          | host.settings     |
      | gossip                | gossip.send       |
      | a watch               | watch.            |
      | the asks              | watch.asks        |
      | registration          | host.register     |
      | the choice of sources | relay.sources     |
      | the use of the belief | watch.            |

  Scenario Outline: An exception in the stop ended the process with its requests
    Given a store with a configuration and 2 upstreams
    And a host program that uses the store, with a fault in <step>
    Then it is ready within 5 s and lookup lists it
    When the host program is signaled to reload and to stop during a request
    Then that request is answered with 200 and the program ends with code 0
    And it has logged an exception of "host.stop" with its traceback

    Examples:
      | step                     |
      | its announcement         |
      | its begin                |
      | closing idle connections |
      | closing its socket       |

  Scenario: A stop signal that comes while the host starts ends it in order
    Given a store with a configuration and 2 upstreams
    And a host program that uses the store, with a fault in a stop while it starts
    Then the program ends within 6 s with code 0 and no traceback

  Scenario: Further signals during a stop change nothing
    Given a store with a configuration and 2 upstreams
    And a host program that uses the store
    Then it is ready within 5 s and lookup lists it
    When it gets signals to stop, reload and stop during a request
    Then that request is answered with 200 and the program ends with code 0
    And the program ends within 6 s with code 0 and no traceback

  Scenario Outline: Signals that come as the interpreter ended changed the code of the process
    Given a store with a configuration and 2 upstreams
    And a host program that uses the store
    Then it is ready within 5 s and lookup lists it
    When it is signaled to stop and gets <signal> each 0.001 s until its end
    Then the program ends within 6 s with code 0 and no traceback

    Examples:
      | signal  |
      | SIGTERM |
      | SIGHUP  |

  Scenario Outline: A signal that a host has no use for ended the process with its requests
    Given a store with a configuration and 2 upstreams
    And a host program that uses the store
    Then it is ready within 5 s and lookup lists it
    When it gets <signal> during a request
    Then that request is answered with 200 and the program runs on
    And it has logged that it ignored <signal>

    Examples:
      | signal    |
      | SIGUSR1   |
      | SIGUSR2   |
      | SIGALRM   |
      | SIGVTALRM |
      | SIGPROF   |
      | SIGIO     |

  Scenario: A second stop signal that interrupted the handler of the first raised an exception
    Given a host whose handler of stop signals is interrupted by another one
    When it gets a stop signal
    Then it stops once

  Scenario: An exception for one connection kept the host from accepting others
    Given a host with upstreams "a" and "b"
    And the host fails on its next connection
    When a client connects, and another one sends a request
    Then the answer is 200 with a signature

  Scenario: An exception on one connection kept a stop from answering the others
    Given a host with upstreams "a" and "b"
    And the upstreams take 3.0 s
    When 3 clients send a request, and the end of the first connection's requests raises one
    Then the other 2 are answered with 504

  Scenario: A host whose log nobody read did not observe how late it was
    Given a store with a configuration and 2 upstreams
    And a host program that uses the store, with a full pipe as standard output
    Then it is ready within 5 s and lookup lists it
    When it is paused 8 times for 0.25 s
    Then its metrics say that it is late by 0.05 s or more

  # Guards against a process that ended, or stood still, as it printed an exception.
  Scenario Outline: An exception that reached the hub cut all requests of a host whose errors nobody read
    Given a store with a configuration and 2 upstreams
    And a host program with a fault in callbacks of the hub, with a <pipe> pipe as standard error
    Then it logs within 8 s that the planted fault is over
    And a request through it is answered with 200

    Examples:
      | pipe   |
      | full   |
      | closed |

  Scenario: An exception in the hub ended the process with its requests
    Given a store with a configuration and 2 upstreams
    And a host program that uses the store, with a fault in the hub
    Then it has logged within 8 s an exception of "host.hub" with its traceback
    And a request through it is answered with 200
    When the host program is signaled to reload and to stop during a request
    Then that request is answered with 200 and the program ends with code 0
