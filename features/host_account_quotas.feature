Feature: Quotas of accounts over all hosts
  Guards against accounts that get more than their limit because hosts don't know each other or have
  forgotten what they spent, and against refusals below the limit because credit is at other hosts.

  Scenario: Shares sum to the quota and hosts that know more never add any
    Guards against holders that are dealt the same part twice.
    Then for 200 random sets of hosts and depths the shares sum to 1
    And for 100 random sets of new and forgotten hosts the shares sum to at most 1

  Scenario: A new host compares itself with the known holders only
    Guards against a cost of hosts times accounts for each host that is added.
    Then holders that are found step by step are those that are found at once

  Scenario: A process that has restarted begins with an empty bucket
    Guards against a share that is spent again after a restart.
    Given 3 hosts with an account of 4 requests a second
    When a holder spends its share and restarts
    Then it has no permits for 4.5 s
    And it lends none for 4.5 s
    And it has its share again after 8 s

  Scenario: A host that the others count fills its bucket soon after a restart
    Guards against accounts without any credit while all hosts restart together.
    Given 3 hosts with an account of 4 requests a second
    When a holder spends its share and restarts, and was registered before
    Then it has no permits for 0.5 s
    And it has its share again after 5 s

  Scenario Outline: A host that was frozen learns of new hosts before it uses its share
    Guards against a share that is used while others no longer count it.
    Given 3 hosts with an account of 4 requests a second
    When a holder is frozen for <frozen> s
    Then it has no permits for <unsure> s
    And it has its share again after <usable> s

    Examples:
      | frozen | unsure | usable |
      | 3      | 3.5    | 4      |
      | 90     | 4.5    | 8      |

  Scenario: A lent permit is gone unless it is reported unused
    Guards against permits that the lender and the borrower both use.
    Given 3 hosts with an account of 4 requests a second
    When a host borrows 3 permits of a holder and gives no report
    Then the holder lacks 3 permits
    And the holder has them again after 3 s

  Scenario: A report gives back what was not spent, and only that
    Guards against credit that is lost with each unused loan, and against reports that count twice.
    Given 3 hosts with an account of 4 requests a second
    When a host borrows 3 permits of a holder and reports 2 of them unused, twice
    Then the holder lacks 1 permits

  Scenario: Permits that come back after the bucket was full add nothing
    Guards against a bucket that yields more than its depth by permits that were held for long.
    Given 3 hosts with an account of 4 requests a second
    When 2 permits are taken and given back after 5 s
    Then the holder lacks 0 permits

  Scenario: A credit request that arrives twice is answered once
    Guards against repeated datagrams that take credit again.
    Given 3 hosts with an account of 4 requests a second
    When the same credit request arrives twice
    Then the second one is not answered

  Scenario: Borrowed permits end soon after the credit request
    Guards against late answers whose requests arrive outside the window that the lender counted.
    Given 3 hosts with an account of 4 requests a second
    Then a grant that arrives after 0.2 s yields permits that end after 0.15 s more
    And a grant that arrives after 0.35 s yields none
    And a grant from a host that was not asked yields none

  Scenario: What was spent before a limit is lowered still counts
    Guards against a lower limit that is granted on top of the old one.
    Given 1 hosts with an account of 40 requests a second
    When the host spends 10 permits and the limit is lowered to 20 requests a second
    Then the account has at most 8 permits

  Scenario: What was spent of an account counts when it is removed and comes back
    Guards against accounts that get their limit again by a change of the configuration.
    Given 1 hosts with an account of 4 requests a second
    When the host spends 10 permits and the account is removed for 2 s
    Then the account has at most 8 permits

  Scenario: A holder is asked for an account whose limit it no longer has
    Guards against an exception that ends the reading of datagrams while a configuration spreads.
    Given 1 hosts with an account of 4 requests a second
    When the limit of the account is removed and another host asks for a permit
    Then none is lent, and the borrower is told to ask again later
    And a refusal of the account still names a time

  Scenario: A permit ends soon after it was taken
    Guards against requests that wait for long and are sent together with later ones.
    Given 1 hosts with an account of 4 requests a second
    When a permit is taken, and its request is to be sent after 0.5 s
    Then the permit has ended

  Scenario: Malformed messages are rejected
    Guards against datagrams of other versions and forged counts that stop the receiver.
    Then each of the malformed messages about credit is rejected
    And messages about credit survive encoding

  Scenario: Hosts without a share serve by borrowing, and never more than the limit
    Guards against hosts whose accounts have credit elsewhere, over real sockets.
    Given 4 brokers over loopback with an account of 2 requests a second
    When a host without a share is asked for 60 permits within 3 s
    Then between 12 and 17 of them are granted
    And each refusal names a reason and a time of at least 0.05 s
    And all hosts still know each other

  Scenario: Requests wait at most 0.25 s for holders that don't answer
    Guards against requests that hang while other hosts are dead.
    Given 4 brokers over loopback with an account of 2 requests a second
    When the other hosts die and a host without a share is asked for a permit
    Then it is refused within 0.4 s as "no_answer"

  Scenario: A permit that is given back can be used again
    Guards against rejected sends that cost credit.
    Given 1 brokers over loopback with an account of 2 requests a second
    When all permits are taken and one is given back twice
    Then exactly one permit is granted
