"""Retry budget: limits retries to a share of a service's requests in a sliding window."""

import collections

MAX_RETRY_RATIO = 0.10
# The entry process and the dispatcher both retry, so each may use half of the permitted retries.
ENTRY_RETRY_RATIO = MAX_RETRY_RATIO / 2
WINDOW_S = 10.0
BUCKET_S = 1.0


class RetryBudget:
    """Counts requests and retries of one service.

    A retry is counted no earlier than the requests that permit it and stays in the window at least
    as long as they do, so the bound also holds over any longer time.

    Args:
      ratio: Permitted retries per request.
      window_s: Length of the window in seconds.
      extra: Retries permitted in each window in addition.

    Attributes:
      extra: The argument of this name; may be changed at any time.
    """

    def __init__(self, ratio=ENTRY_RETRY_RATIO, window_s=WINDOW_S, extra=0.0):
        self.extra = extra
        self._ratio = ratio
        self._buckets = collections.deque()
        self._bucket_count = max(1, int(window_s / BUCKET_S))
        self._requests = 0
        self._retries = 0

    def count_request(self, now):
        """Counts a request at its first attempt; ``now`` is monotonic time in seconds."""
        self._advance_window(now)
        self._buckets[-1][1] += 1
        self._requests += 1

    def take_retry(self, now):
        """Counts a retry if the budget permits it.

        Args:
          now: Monotonic time in seconds.
        Returns:
          True if the retry may be sent.
        """
        self._advance_window(now)
        if self._retries + 1 > self._ratio * self._requests + self.extra:
            return False
        self._buckets[-1][2] += 1
        self._retries += 1
        return True

    def _advance_window(self, now):
        bucket = int(now // BUCKET_S)
        if not self._buckets or self._buckets[-1][0] < bucket:
            self._buckets.append([bucket, 0, 0])
        while self._buckets[0][0] <= bucket - self._bucket_count:
            _, requests, retries = self._buckets.popleft()
            self._requests -= requests
            self._retries -= retries
