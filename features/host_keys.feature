Feature: Keys that authenticate what hosts send to each other
  Guards against forged and repeated datagrams and streams, which could revive a dead host, send
  clients to an address that is none of the hosts', or change what a host believes, also while the
  store is down; and against a change of keys that separates the hosts.

  Scenario Outline: A datagram is accepted once, by the process that it was sent to
    Given hosts "a" and "b" with the key "one" that know each other
    When "a" sends a heartbeat to "b"
    And <arrival>
    Then "b" <outcome>

    Examples:
      | arrival                                            | outcome                |
      | that datagram arrives at "b"                       | applies it             |
      | that datagram reaches "b" twice                    | rejects the second one |
      | that datagram reaches "b" after a later one        | rejects it             |
      | that datagram reaches "b" after it has restarted   | does not apply it      |
      | that datagram reaches "b" with any byte changed    | never applies it       |
      | "b" has the key "two" when that datagram arrives   | rejects it             |
      | "b" gets the same heartbeat sealed with no key     | rejects it             |

  Scenario: A datagram that was sent to another host is rejected
    Given hosts "a" and "b" with the key "one" that know each other
    When "a" sends a heartbeat to "c"
    And that datagram arrives at "b"
    Then "b" rejects it

  Scenario: A host that doesn't know a restarted peer is told its record and then heard
    Given hosts "a" and "b" with the key "one" that know each other
    When "b" restarts and "a" sends heartbeats to it
    Then "b" answers the first with its own record and applies the second

  Scenario: A host that restarts after its clock went back is heard at once
    Given hosts "a" and "b" over loopback with the keys one
    When "b" restarts with a clock that went back by 60 s
    Then both count each other as alive within 1.5 s, "b" with a later incarnation than before

  Scenario Outline: Hosts stay connected while their keys are replaced in steps
    Given hosts "a" and "b" over loopback with the keys <before>
    When "a" gets the keys <after>
    Then both count each other as alive after 2.0 s and have rejected nothing

    Examples:
      | before   | after    |
      | one      | one, two |
      | one, two | two, one |
      | two, one | two      |

  Scenario: Hosts with different keys don't hear each other
    Given hosts "a" and "b" over loopback with the keys one
    When "a" gets the keys two
    Then they have rejected datagrams and count each other as dead after 4.0 s

  Scenario Outline: A follower believes only its source, and a source answers only its followers
    Given a source with the key "one" that knows "u1"
    When a follower with <peculiarity> follows it
    Then the follower knows <known> within 1.5 s

    Examples:
      | peculiarity                                         | known   |
      | the key "one"                                       | "u1"    |
      | the key "two"                                       | nothing |
      | no key                                              | nothing |
      | a recorded answer in place of the source, key "one" | nothing |

  Scenario Outline: Malformed keys are rejected with a message that names them
    Given a file of keys with <content>
    Then reading the keys fails with "<message>"

    Examples:
      | content               | message                       |
      | no section            | No section: 'peer-keys'       |
      | no key                | 0 keys are given; use 1 to 4  |
      | five keys             | 5 keys are given; use 1 to 4  |
      | a short key           | has 4 bytes instead of 32     |
      | a key of other digits | is not written in hexadecimal |
      | the same key twice    | two ids have the same key     |
      | a long id             | is not of 1 to 16             |
      | no file               | No such file or directory     |

  Scenario: A key is replaced by commands, one step at a time
    Given a file of keys with no file
    When the keys are changed by "--add k1", "--add k2", "--promote k2" and "--remove k1"
    Then the command prints "k1: seals", "k1: seals k2: accepted", "k2: seals k1: accepted" and "k2: seals"
    And only the owner may read the file of keys

  Scenario Outline: A step that would separate the hosts is refused and changes nothing
    Given a file of keys with two keys
    When the command that changes the keys gets "<options>"
    Then it fails with "<message>" and the file is as before

    Examples:
      | options                 | message                                        |
      | --remove k1             | key k1 seals; promote another one on all hosts |
      | --remove k3             | there is no key k3; the keys are k1, k2        |
      | --promote k3            | there is no key k3; the keys are k1, k2        |
      | --add k2                | there is a key k2 already                      |
      | --add K3                | is not of 1 to 16 lower-case letters           |
      | --add k3 --remove k2    | one step at a time                             |

  Scenario: The example file of keys is valid and its keys stay out of texts
    Then the keys of "deploy/peer-keys.example.ini" are read and not part of the settings' text
