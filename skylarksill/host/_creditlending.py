"""Permits that a holder has lent: how many it grants, and what it gets back.

Handles credit requests that arrive twice, borrowers that restart, and lost reports. A lent permit
is taken out of the lender's bucket for good, unless the borrower reports that it was not spent.
Performs no I/O.
"""

import collections
import dataclasses

from skylarksill.host import _creditborrowing, _creditbucket

# Part of what a holder has left beyond its own demand that it lends ahead of demand.
AHEAD_SHARE = 0.5
# Borrowers whose last number is kept. The sealed mailbox also rejects repeated datagrams.
MAX_BORROWERS = 16_384
# Loans that are kept for the reports on them, and for how long; a report waits for a message that
# takes it along.
MAX_GIVEN_LOANS = 100_000
KEEP_S = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class _GivenLoan:
    bucket: _creditbucket.PermitBucket
    count: int
    granted_at: float


class Lender:
    """The loans that a host has given."""

    def __init__(self):
        self._last_numbers = collections.OrderedDict()
        self._given = collections.OrderedDict()

    def is_new(self, sender, number):
        """Returns True if a credit request has not been answered; notes that it is answered now."""
        if number <= self._last_numbers.get(sender, 0):
            return False
        self._last_numbers[sender] = number
        self._last_numbers.move_to_end(sender)
        if len(self._last_numbers) > MAX_BORROWERS:
            self._last_numbers.popitem(last=False)
        return True

    def lend(self, sender, number, key, bucket, count, now):
        """Takes permits out for a borrower.

        Args:
          sender: The envelope.Sender of the credit request.
          number: Its number.
          key: Bytes that name the account.
          bucket: PermitBucket of the account.
          count: Permits lent.
          now: Seconds.
        """
        bucket.take(count)
        self._given[sender, number, key] = _GivenLoan(bucket, count, now)
        if len(self._given) > MAX_GIVEN_LOANS:
            self._given.popitem(last=False)

    def apply_reports(self, sender, reports):
        """Applies the creditcodec.Reports of a borrower, whose loans have ended."""
        for report in reports:
            loan = self._given.get((sender, report.number, report.key))
            if loan is None or report.unused > loan.count:
                continue
            del self._given[sender, report.number, report.key]
            if report.unused:
                loan.bucket.give_back(loan.granted_at, report.unused)

    def expire(self, now):
        """Forgets loans on which no report is expected any more."""
        while self._given:
            name, loan = next(iter(self._given.items()))
            if now - loan.granted_at < _creditborrowing.LOAN_S + KEEP_S:
                break
            del self._given[name]

    def count_lent(self):
        """Returns the permits of the loans that have not been reported."""
        return sum(loan.count for loan in self._given.values())


def choose_count(waiting, ahead, free, demand):
    """Returns the number of permits to grant.

    Args:
      waiting: Permits for requests that wait; granted in full if there are as many.
      ahead: Permits for requests that are expected.
      free: Permits that the holder has left.
      demand: Requests that the holder itself is about to have.
    """
    count = min(waiting, free)
    spare = int(AHEAD_SHARE * (free - count - demand))
    return count + max(0, min(ahead, spare))
