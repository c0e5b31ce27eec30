"""Budget of retries: at most a share of the requests of a service within a sliding window."""

import collections

MAX_RETRY_RATIO = 0.10
# The dispatcher retries as well, so each of the two has half of the permitted retries.
ENTRY_RETRY_RATIO = MAX_RETRY_RATIO / 2
WINDOW_S = 10.0
SLOT_S = 1.0


class RetryBudget:
    """Counts requests and retries of one service.

    A retry is counted no earlier than the requests that permit it and stays in the window for at
    least as long, so the bound also holds over all time.

    Args:
      ratio: Permitted retries for each request.
      window_s: Length of the window in seconds.
      extra: Retries permitted in each window besides.

    Attributes:
      extra: As above; may change at any time.
    """

    def __init__(self, ratio=ENTRY_RETRY_RATIO, window_s=WINDOW_S, extra=0.0):
        self.extra = extra
        self._ratio = ratio
        self._slots = collections.deque()
        self._slot_count = max(1, int(window_s / SLOT_S))
        self._requests = 0
        self._retries = 0

    def count_request(self, now):
        """Counts a request at its first try; ``now`` is monotonic time in seconds."""
        self._move(now)
        self._slots[-1][1] += 1
        self._requests += 1

    def take_retry(self, now):
        """Counts a retry if the budget permits it.

        Args:
          now: Monotonic time in seconds.
        Returns:
          True if the retry may be sent.
        """
        self._move(now)
        if self._retries + 1 > self._ratio * self._requests + self.extra:
            return False
        self._slots[-1][2] += 1
        self._retries += 1
        return True

    def _move(self, now):
        slot = int(now // SLOT_S)
        if not self._slots or self._slots[-1][0] < slot:
            self._slots.append([slot, 0, 0])
        while self._slots[0][0] <= slot - self._slot_count:
            _, requests, retries = self._slots.popleft()
            self._requests -= requests
            self._retries -= retries
