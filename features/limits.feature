Feature: Limits, loans, queue, health and suspects
  Guards against limits that are exceeded by one at the edge of a window or a loan, and against
  healthy upstreams that are taken out of service.

  Scenario: Any second admits no more than the limit
    Then for 200 random arrival patterns any 1 s window admits at most its limit

  Scenario: A raised limit counts its gain as used in the current window
    Given a window limit of 5 that is full at 10.0 s
    When the limit is raised to 8 at 10.5 s
    Then at 10.9 s nothing is admitted and at 11.5 s 8 are admitted

  Scenario: Any 100 ms carry no more bytes than the budget
    Then for 200 random patterns of answers any 100 ms window carries at most its budget

  Scenario: An answer that exceeds a whole window is refused, not delayed for ever
    Given a byte budget of 1000 bytes per second
    Then 101 bytes are refused and 100 bytes may be sent at once

  Scenario: Shares are whole, sum to the total and are the same everywhere
    Then for 200 random weights the shares sum to the total in any order of the keys

  Scenario: A loan ends for the borrower before it ends for the lender
    Given a loan that was asked at 1.0 s and granted at 1.4 s
    Then the borrower holds it at 2.9 s and not at 3.0 s
    And the lender has the slot back at 7.9 s and not before

  Scenario: A slot that is lent goes to no second borrower before its work has ended
    Given a loan that was asked at 1.0 s and granted at 1.4 s
    Then another borrower gets nothing at 7.8 s and the slot at 7.9 s

  Scenario: A long request starts after the bound although short ones keep coming
    Given a queue with a mean of 0.05 s, a long request and 100 short ones
    Then at 0.9 s a short request starts and at 1.0 s the long one

  Scenario: Long work beyond its share waits
    Given a queue with a mean of 0.05 s, a long request and 0 short ones
    Then nothing starts while long work holds its share

  Scenario: An upstream whose last starts are late is slow, and fast ones make it good again
    Given the health of 5 upstreams
    When 3 of the last 5 requests of upstream 0 are late
    Then upstream 0 is EJECTED
    When the next 2 requests of upstream 0 are fast
    Then upstream 0 is GOOD

  Scenario: One request that runs very long does not make its upstream slow
    Given the health of 5 upstreams
    When upstream 0 runs 1 request for 100 s and answers 10 others fast
    Then upstream 0 is GOOD

  Scenario: Not more than a third of the upstreams are ejected
    Given the health of 5 upstreams
    When 3 of the last 5 requests of all upstreams are late
    Then 1 upstream is EJECTED and 4 are SLOWED

  Scenario: The clearance of a peer lifts neither a block nor an own observation
    Given a suspect table that has seen 1 death of its own and a block of a peer
    When the peer clears both
    Then the own one is still a suspect and the other one is blocked

  Scenario: Deaths that two dispatchers see at the same moment make a block, an echo does not
    Given a suspect table that has seen 1 death of its own and a block of a peer
    When the own entry comes back from a peer
    Then the own one may run alone once its notice has passed
    When a peer reports a death of its own of the same request
    Then the own one is blocked

  Scenario: A suspect expires after 60 s and a block after 10 minutes
    Given a suspect table that has seen 1 death of its own and a block of a peer
    Then after 61 s only the block is left and after 601 s nothing is

  Scenario: Senders that wake together after a pause do not leave together
    Given a byte budget of 1000 bytes per second
    Then of 5 senders of 60 bytes that wake at 9.0 s one sends and the others wait
