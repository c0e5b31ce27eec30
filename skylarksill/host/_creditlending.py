"""Permits that a holder has lent: how many it grants, and until when they count.

Handles credit requests that arrive twice, borrowers that restart, and lost reports. A lent permit
counts from the grant until a window after its end. The borrower's report on a loan ends that: what
was not spent counts no longer, and the rest counts from the time at which it was spent. Performs no
I/O.
"""

import collections
import dataclasses

from skylarksill.host import _creditborrowing, _creditwindow

# Part of what a holder has left beyond its own demand that it lends ahead of demand.
AHEAD_SHARE = 0.5
# Borrowers whose last number is kept. The sealed mailbox also rejects repeated datagrams.
MAX_BORROWERS = 16_384
# Loans that are kept for the reports on them; without its report a loan counts in full.
MAX_GIVEN_LOANS = 100_000


@dataclasses.dataclass(frozen=True, slots=True)
class _GivenLoan:
    window: _creditwindow.PermitWindow
    tick: int
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

    def lend(self, sender, number, key, window, count, now):
        """Counts permits that are lent.

        Args:
          sender: The envelope.Sender of the credit request.
          number: Its number.
          key: Bytes that name the account.
          window: PermitWindow of the account.
          count: Permits lent.
          now: Seconds.
        """
        tick = window.add(now + _creditborrowing.LOAN_S, count)
        self._given[sender, number, key] = _GivenLoan(window, tick, count, now)
        if len(self._given) > MAX_GIVEN_LOANS:
            self._given.popitem(last=False)

    def apply_reports(self, sender, reports, now):
        """Applies the creditcodec.Reports of a borrower."""
        for report in reports:
            loan = self._given.get((sender, report.number, report.key))
            if loan is None or report.unused > loan.count:
                continue
            del self._given[sender, report.number, report.key]
            loan.window.expire(now)
            counted = loan.window.remove(loan.tick, loan.count)
            spent = min(counted, loan.count - report.unused)
            if spent:
                loan.window.add(max(loan.granted_at, now - report.age_s), spent)

    def expire(self, now, window_s):
        """Forgets loans that no longer count."""
        while self._given:
            name, loan = next(iter(self._given.items()))
            if now - loan.granted_at < _creditborrowing.LOAN_S + window_s:
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
      demand: Requests that the holder itself had in the last second.
    """
    count = min(waiting, free)
    spare = int(AHEAD_SHARE * (free - count - demand))
    return count + max(0, min(ahead, spare))
