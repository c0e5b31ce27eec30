Feature: Forwarding of waiting work between dispatchers
  Guards against work that waits while other dispatchers of the region have free slots, and against
  work that runs twice because it was offered to another dispatcher.

  Scenario: Waiting work is offered even to a sibling whose last report shows no free slot
    Given a dispatcher with one busy slot and a sibling that reported 0 free slots
    When a request to catalogue arrives
    Then it is offered to the sibling

  Scenario: Offers pause after a refusal, and refused work keeps its place
    Given a dispatcher with one busy slot and a sibling that reported 0 free slots
    When a request to catalogue arrives
    And a later request to catalogue arrives
    And the sibling refuses the first request
    Then no further offer is made within 7 ms
    When the busy slot becomes free
    Then the first request is sent to the upstream

  Scenario Outline: Offered work is not sent to an upstream until the sibling has refused it
    Given a dispatcher with one busy slot and a sibling that reported 0 free slots
    When a request to <service> arrives
    And the busy slot becomes free
    Then nothing is sent to the upstream
    When the sibling refuses the first request
    Then the first request is sent to the upstream

    Examples:
      | service   |
      | catalogue |
      | deposits  |

  Scenario: Non-idempotent work is not sent again when contact with the sibling is lost
    Given a dispatcher with one busy slot and a sibling that reported 0 free slots
    When a request to deposits arrives
    And the busy slot becomes free
    And contact with the sibling is lost after the offer
    Then the first request ends as MAY_HAVE_RUN without a send

  Scenario: Work of another dispatcher is refused at once when no slot is free
    Given a dispatcher with one busy slot and a sibling that reported 0 free slots
    When a request to catalogue arrives that another dispatcher forwarded
    Then it ends as NOT_RUN with the reason no_free_slot

  Scenario: A standby that cannot lend its slot keeps it free for the next request
    Given a standby whose own work uses the slot that it could lend
    When the home requests the slot
    Then nothing is lent
    When the standby's work ends and more work waits
    Then nothing is sent to the upstream
    When the home requests the slot
    Then the slot is lent
