Feature: Offers of another protocol are declined
  Guards against a request that runs without its body, or is followed by an answer that nobody asked
  for, because its client offers to go on in another protocol.

  Background:
    Given a host with two upstreams, and a client

  Scenario Outline: A request with an offer reaches its upstream whole, and the connection goes on
    When the client sends an order with <offer> and <framing>, in pieces of <piece> bytes
    And a second order and a request without a body on the same connection
    Then each has one answer of an upstream, in order, and no further one
    And the upstreams got the bodies, and no field of the offer

    Examples:
      | offer                 | framing                | piece |
      | h2c                   | a length               | 10000 |
      | h2c                   | a length               | 1     |
      | h2c                   | chunks                 | 10000 |
      | h2c                   | chunks                 | 7     |
      | h2c                   | an expected continue   | 10000 |
      | websocket             | a length               | 10000 |
      | several               | a length               | 100   |
      | no                    | a length               | 10000 |

  Scenario: Requests with offers that are sent behind one another are all served
    When the client sends 4 orders with offers at once
    Then each has one answer of an upstream, in order, and no further one
    And the upstreams got the bodies, and no field of the offer

  Scenario: A request to open a tunnel is refused once
    When the client asks for a tunnel
    Then the client gets one answer with 400, and no upstream gets anything

  Scenario: A body that is too long is refused behind an offer too
    When the client sends an order with an offer and a body above the limit
    Then the client gets one answer with 413, and no upstream gets anything

  Scenario: Nothing of a request with an offer stays counted
    When the client sends 4 orders with offers at once
    Then each has one answer of an upstream, in order, and no further one
    And the host holds no byte of them

  Scenario: An upstream's answer that offers another protocol is passed on without the offer
    Given the upstreams offer another protocol in their answers
    When the client sends an order with no offer and a length, in pieces of 10000 bytes
    And a second order and a request without a body on the same connection
    Then each has one answer of an upstream, in order, and no further one
