Feature: Limits, loans, queue, health and suspects
  Guards against limits that are exceeded by one at the boundary of a window or a loan, and against
  healthy upstreams that are taken out of service.

  Scenario: No window of 1 s admits more events than the limit
    Then for 200 random arrival patterns any 1 s window admits at most its limit

  Scenario: An increase of a limit counts as used in the current window
    Given a window limit of 5 that is full at 10.0 s
    When the limit is raised to 8 at 10.5 s
    Then at 10.9 s nothing is admitted and at 11.5 s 8 are admitted

  Scenario: No window of 100 ms carries more bytes than the budget
    Then for 200 random patterns of answers any 100 ms window carries at most its budget

  Scenario: An answer larger than the budget of a window is refused instead of delayed forever
    Given a byte budget of 1000 bytes per second
    Then 101 bytes are refused and 100 bytes may be sent at once

  Scenario: Shares sum to the total and do not depend on the order of the keys
    Then for 200 random weights the shares sum to the total in any order of the keys

  Scenario: A loan ends for the borrower before it ends for the lender
    Given a loan that was requested at 1.0 s and granted at 1.4 s
    Then the borrower holds it at 2.9 s and not at 3.0 s
    And the lender may use the slot itself at 7.9 s and not before

  Scenario: A lent slot goes to a second borrower only after work of the first must have ended
    Given a loan that was requested at 1.0 s and granted at 1.4 s
    Then another borrower gets nothing at 7.8 s and the slot at 7.9 s

  Scenario: A long request starts after its maximum wait although short ones are waiting
    Given a queue with a mean of 0.05 s, a long request and 100 short ones
    Then at 0.9 s a short request starts and at 1.0 s the long one

  Scenario: Long work waits while it holds its share of the slots
    Given a queue with a mean of 0.05 s, a long request and 0 short ones
    Then nothing starts while long work holds its share

  Scenario: An upstream is slow while its latest requests are late and good after fast ones
    Given the health of 5 upstreams
    When 3 of the last 5 requests of upstream 0 are late
    Then upstream 0 is EJECTED
    When the next 2 requests of upstream 0 are fast
    Then upstream 0 is GOOD

  Scenario: One request that runs very long does not make its upstream slow
    Given the health of 5 upstreams
    When upstream 0 runs 1 request for 100 s and answers 10 others quickly
    Then upstream 0 is GOOD

  Scenario: Not more than a third of the upstreams are ejected
    Given the health of 5 upstreams
    When 3 of the last 5 requests of all upstreams are late
    Then 1 upstream is EJECTED and 4 are SLOWED

  Scenario: A peer that clears a suspect lifts neither a block nor the table's own observation
    Given a suspect table with 1 death of its own and a block reported by a peer
    When the peer clears both
    Then its own suspect remains and the block of the peer remains

  Scenario: Deaths seen by two dispatchers make a block, but an entry that a peer sends back does not
    Given a suspect table with 1 death of its own and a block reported by a peer
    When a peer sends the table's own entry back
    Then its own suspect may run alone once the notice period is over
    When a peer reports another death caused by the same request
    Then its own suspect is blocked

  Scenario: A suspect expires after 60 s and a block after 10 minutes
    Given a suspect table with 1 death of its own and a block reported by a peer
    Then after 61 s only the block is left and after 601 s nothing is

  Scenario: Senders that wake together after a pause do not send together
    Given a byte budget of 1000 bytes per second
    Then of 5 senders of 60 bytes that wake at 9.0 s one sends and the others wait
