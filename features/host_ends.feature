Feature: What the log tells about requests that end without an answer
  Guards against an incident that can't be traced: a host cut requests at upstreams, and its log told
  neither which ones, nor what else ended in that moment.

  Background:
    Given a host with upstreams "a" and "b"
    And the upstreams take 0.1 s

  Scenario: Requests that the host cuts are logged with their upstreams, and summed up
    When 3 clients get an answer each, and the upstreams take 3 s from now on
    And each of them sends 2 requests at once
    And the host reloads and ends all connections
    Then each connection is logged as ended by the host, with 2 kept requests at upstreams
    And one line sums up 3 connections with 6 cut requests, after a reload
    And the requests are logged as "connection_ended"
    And the counter of cut requests says 6

  Scenario Outline: Requests that clients leave are summed up only if many end together
    When <count> clients send a request each and leave
    Then <lines> lines sum up connections, without a cut request
    And the requests are logged as "client_gone"

    Examples:
      | count | lines |
      | 3     | 0     |
      | 4     | 1     |

  Scenario: What the process uses is logged
    When a client sends a request and the process reports its use
    Then the line names 1 open connection, 1 request in flight and the memory of the process
