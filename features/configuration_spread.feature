Feature: Hosts keep up with an operator's versions of the configuration, in virtual time
  Guards against requests that are denied, or handled as an older version allows, after any order of
  versions, restarts, lost answers of the store and changes of sources: each host's routes are those of
  exactly one version, never an older one than before, and the newest in time.

  Scenario: Random versions and faults leave no host with other routes than the operator wrote
    When 4 runs of versions and faults are played from seed 1
    Then no host had other routes than those of one version, in order and in time

  # Guards against CONFIG: hosts stayed on an old version for good after the store had refused all of
  # them and dropped its history, as the read of the objects waited for the ask that waited for it.
  Scenario Outline: Hosts that have all lost a store that drops its history read it again
    When all hosts lose the store for 4 s by "<mode>", and it drops its history
    Then no host had other routes than those of one version, in order and in time

    Examples:
      | mode      |
      | refusing  |
      | resetting |
      | silent    |
      | late      |

  # Guards against CONFIG: a loss of history finds all hosts with watches younger than the last answered
  # ask, and each waits for the others.
  Scenario: A store that holds all watches, loses its history and refuses some hosts leaves none behind
    When 8 runs with losses of the store's history are played from seed 1
    Then no host had other routes than those of one version, in order and in time
