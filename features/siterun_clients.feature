Feature: Clients of a site's run, and their links
  Guards against a rig that names a habit of clients or a property of links and doesn't play it, or
  that takes the client's own end of a connection for the host's.

  Scenario Outline: A relay passes on how a connection ends
    Given a host behind a relay that <stands still>
    When a client sends 4 bytes through it and ends its sending side
    And the host reads them and <does>
    Then the host has seen the relay's address and the end of the stream
    And the client reads <what>, <known>

    Examples:
      | stands still       | does                        | what        | known                      |
      | never stands still | sends 5 bytes and closes    | the 5 bytes | and no standstill is known |
      | never stands still | resets the connection       | a reset     | and no standstill is known |
      | often stands still | sends 5 bytes and closes    | the 5 bytes | and standstills are known  |
      | connects slowly    | sends 5 bytes and closes    | the 5 bytes | and standstills are known  |

  Scenario: A relay resets the connection of a client that can't reach the host
    Given a host behind a relay that never stands still
    When the host is down and a client connects
    Then the client reads a reset, and no standstill is known

  # Guards against a request that is taken for lost although its host never got it.
  Scenario: A host that is reached late leaves its clients' requests with the relay
    Given a host behind a relay that never stands still
    When the host is down, which takes 0.2 s to tell, and a client connects
    Then the client reads a reset, and standstills are known

  Scenario Outline: A client that gives up ends the connection itself, whatever waits on it
    Given a host that a client has sent 2 requests
    When the client gives up as one that <way>
    Then the host reads <first>, and what it sends then is <fate> within 0.05 s
    And its connection is closed after 0.3 s, and both requests were left by their client

    Examples:
      | way              | first   | fate     |
      | CLOSE            | the end | refused  |
      | RESET            | a reset | refused  |
      | UNREAD           | nothing | accepted |
      | HALF_CLOSE_FIRST | the end | accepted |

  Scenario Outline: A client ends its sending side behind the first request of a connection
    Given a host that a client has sent 1 request with its end <how>
    Then the host reads the request and the end at once
    And the request is known as half-closed and complete

    Examples:
      | how            |
      | WITH_LAST_BYTE |
      | BEHIND         |

  Scenario: Clients end requests and connections as often as the conditions say
    Then 18 to 22% of 4000 first requests are half-closed with half-close-all, and none with half-close
    And clients give up 10 to 14% of 4000 requests with give-up in 4 ways, and otherwise in one

  Scenario: The kernel of a client with small segments announces them
    When a client with small segments connects
    Then the host's segments have 64 to 536 bytes

  Scenario: Ends of connections are compared as client and host have seen them
    When requests have ended as
      | end         | host   |
      | CLIENT_LEFT | client |
      | CLIENT_LEFT | host   |
      | HOST_CLOSED | client |
      | HOST_RESET  | none   |
      | ANSWERED    | client |
    Then the ends are counted as client/client, client/host, host/client and host/-
    And those of the second and the third differ
