"""Tells from the store's answers to any host whether the store was away. Performs no I/O.

The store may refuse a host while it serves the others. Such a host has lost the store, but no entry
has expired for that reason, and what it finds removed is gone.
"""

# Longest time between two answers in which the store was not away. A source asks each second, and
# its followers learn of an answer within another. An entry that is written each 1.5 s expires after
# 4.5 s, so it would have to miss 1 s more after a shorter outage.
MAX_ANSWER_GAP_S = 2.0


class StoreService:
    """Times at which the store is known to have answered any host.

    An answer is known by the earliest and the latest time at which the store may have given it.
    """

    def __init__(self):
        self._run_started_at = float("-inf")
        self._answered_at = float("-inf")

    def record_answer(self, earliest, latest):
        """Records an answer of the store.

        Args:
          earliest: Monotonic time before which it was not given.
          latest: Monotonic time after which it was not given.
        """
        if earliest <= self._answered_at:
            return
        if latest - self._answered_at > MAX_ANSWER_GAP_S:
            self._run_started_at = latest
        self._answered_at = earliest

    def has_served(self, now, seconds):
        """Returns True if the store is known to have served hosts throughout the last seconds."""
        is_unbroken = now - self._answered_at <= MAX_ANSWER_GAP_S
        return is_unbroken and now - self._run_started_at >= seconds
