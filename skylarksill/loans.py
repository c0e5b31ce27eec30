"""Loans of one upstream slot by its standby dispatcher to its home dispatcher.

The borrower counts a loan from its request and the lender from its grant, which is later, so the
loan never ends earlier for the lender. Work on a borrowed slot ends at most
``MAX_WORK_AFTER_LOAN_S`` after the loan. The lender therefore uses the slot itself only after this
time plus the clock skew have passed since the end of the last loan.
"""

from skylarksill import records

LOAN_DURATION_S = 2.0
LOAN_RENEWAL_S = 0.5
MAX_WORK_AFTER_LOAN_S = 4.0
LENDER_WAIT_S = MAX_WORK_AFTER_LOAN_S + records.MAX_CLOCK_SKEW_S


class LenderTable:
    """Loans that this dispatcher has granted as standby."""

    def __init__(self):
        self._loans = {}

    def grant(self, upstream, borrower, now):
        """Lends the slot of an upstream, or renews its loan.

        The caller checks that this dispatcher owns the slot and has no work of its own on it.

        Returns:
          True if the slot is lent to the borrower for LOAN_DURATION_S from ``now``; False while
          work of another borrower may still use it.
        """
        loan = self._loans.get(upstream)
        if loan is not None and loan[0] != borrower and not self.is_returned(upstream, now):
            return False
        self._loans[upstream] = (borrower, now + LOAN_DURATION_S)
        return True

    def is_returned(self, upstream, now):
        """Returns True if work of a borrower can no longer use the slot."""
        loan = self._loans.get(upstream)
        return loan is None or now >= loan[1] + LENDER_WAIT_S


class BorrowerTable:
    """Loans that this dispatcher holds as home."""

    def __init__(self):
        self._loan_ends = {}

    def accept(self, upstreams, requested_at, duration_s):
        """Records a grant.

        Args:
          upstreams: Ids of the upstreams whose slot was lent.
          requested_at: Time in seconds at which the loan was requested, not granted.
          duration_s: Duration of the loan in seconds.
        """
        for upstream in upstreams:
            end = requested_at + min(duration_s, LOAN_DURATION_S)
            self._loan_ends[upstream] = max(end, self._loan_ends.get(upstream, end))

    def drop(self, upstream):
        """Removes the loan of an upstream that this dispatcher gave up or whose standby changed."""
        self._loan_ends.pop(upstream, None)

    def is_held(self, upstream, now):
        """Returns True if the borrowed slot may start work at ``now``."""
        return now < self._loan_ends.get(upstream, float("-inf"))

    def compute_max_deadline(self, upstream):
        """Returns the latest permitted deadline of work that starts on the borrowed slot."""
        return self._loan_ends[upstream] + MAX_WORK_AFTER_LOAN_S
