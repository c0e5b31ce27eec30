Feature: Cold upstreams that hosts don't know to be cold
  Guards against a cold upstream that is flooded because hosts learn late that it is cold, or send
  at one time what they had counted at several.

  Scenario: An upstream that restarts under its id is not flooded
    Given 4 hosts with kept connections to upstream "a", which permits 21 a second while cold
    When the upstream restarts under its id, unknown to the store
    And each host gets 20 requests within a second
    Then the upstream runs at most 21 of them within any second

  Scenario: An upstream that closes one of several connections gets requests at the full rate
    Given 1 hosts with kept connections to upstream "a", which permits 21 a second while cold
    When the upstream closes one of 3 connections of each host
    And each host gets 60 requests within a second
    Then the upstream runs 60 of them

  Scenario: Requests whose connections open late do not reach a cold upstream all at once
    Given a host with a cold upstream "a" that permits 21 requests a second
    When connections stay unopened while 16 requests arrive in each of two seconds
    Then the upstream runs at most 21 of them within any second

  Scenario: Requests before an upstream became cold count against its permitted rate
    Given a host that sent 17 requests to upstream "a" at 10.0 s
    When the entry of the same incarnation states at 10.1 s that it is cold for 3 s
    Then it gets nothing from the host at 10.2 s, then 17 requests at 11.5 s

  Scenario Outline: The upstreams of a zone whose evacuation has ended are cold for each host
    Given a host that learns of evacuations from <origin>
    When an evacuation of "north-a" begins and ends between two updates of the host
    Then the upstreams of "north-a" are cold for the host

    Examples:
      | origin      |
      | the store   |
      | a source    |

  Scenario Outline: A host learns of a restart that only its peers have noticed
    Given a host <experience>
    When a peer reports at 10.0 s that "a" ended a connection and had answered at 9.8 s
    Then the upstream counts as <state> for requests on new connections at 10.2 s

    Examples:
      | experience                                | state |
      | that has never sent to upstream "a"       | cold  |
      | that got an answer of upstream "a" at 9 s | cold  |
      | that got an answer of upstream "a" at 9.9 s | warm |
