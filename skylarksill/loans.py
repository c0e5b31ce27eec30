"""Loans of one upstream slot by its standby dispatcher to its home dispatcher.

The borrower counts a loan from its question and the lender from its grant, which is later. Work
on a borrowed slot ends at most ``LOAN_WORK_S`` after the loan, so that the lender may use the
slot itself ``LOAN_WORK_S`` plus the clock skew after the last loan's end.
"""

from skylarksill import records

LOAN_S = 2.0
LOAN_RENEWAL_S = 0.5
LOAN_WORK_S = 4.0
LENDER_WAIT_S = LOAN_WORK_S + records.CLOCK_SKEW_S


class LenderTable:
    """Loans that this dispatcher has granted as standby."""

    def __init__(self):
        self._loans = {}

    def grant(self, upstream, borrower, now):
        """Lends the slot of an upstream, or renews its loan.

        The caller checks that the slot is this dispatcher's and that its own work does not use it.

        Returns:
          True if the slot is lent to the borrower for LOAN_S from ``now``; False while work of
          another borrower may use it.
        """
        loan = self._loans.get(upstream)
        if loan is not None and loan[0] != borrower and not self.is_returned(upstream, now):
            return False
        self._loans[upstream] = (borrower, now + LOAN_S)
        return True

    def is_returned(self, upstream, now):
        """Returns True if no borrower's work can use the slot any more."""
        loan = self._loans.get(upstream)
        return loan is None or now >= loan[1] + LENDER_WAIT_S


class BorrowerTable:
    """Loans that this dispatcher holds as home."""

    def __init__(self):
        self._ends = {}

    def accept(self, upstreams, asked_at, duration_s):
        """Records a grant.

        Args:
          upstreams: Ids of the upstreams whose slot was lent.
          asked_at: Time of the question in seconds, not of the answer.
          duration_s: Duration of the loan in seconds.
        """
        for upstream in upstreams:
            end = asked_at + min(duration_s, LOAN_S)
            self._ends[upstream] = max(end, self._ends.get(upstream, end))

    def drop(self, upstream):
        """Gives up the loan of an upstream that this dispatcher no longer owns."""
        self._ends.pop(upstream, None)

    def is_held(self, upstream, now):
        """Returns True if the borrowed slot may start work at ``now``."""
        return now < self._ends.get(upstream, float("-inf"))

    def bound_deadline(self, upstream):
        """Returns the latest deadline of work that starts on the borrowed slot."""
        return self._ends[upstream] + LOAN_WORK_S
