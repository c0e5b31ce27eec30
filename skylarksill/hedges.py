"""Recent latencies of a service, and the budget of its hedges or retries."""

import bisect
import collections

MAX_SAMPLES = 200
MIN_SAMPLES = 20


class SendBudget:
    """Token bucket that limits additional sends to a share of the requests.

    Args:
      ratio: Additional sends per request.
      burst: Maximum number of unused sends that accumulate.
    """

    def __init__(self, ratio, burst=10.0):
        self._ratio = ratio
        self._burst = burst
        self._balance = 1.0

    def record_request(self):
        """Counts one request."""
        self._balance = min(self._burst, self._balance + self._ratio)

    def take(self):
        """Takes one additional send.

        Returns:
          True if the budget allows it; False changes nothing.
        """
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True


class LatencyWindow:
    """Quantiles of the latest MAX_SAMPLES latencies.

    Args:
      default_s: Configured mean service time in seconds, used below MIN_SAMPLES latencies.
    """

    def __init__(self, default_s):
        self._default_s = default_s
        self._latest = collections.deque()
        self._sorted = []
        self.mean_s = default_s

    def add_sample(self, seconds):
        """Adds a latency in seconds."""
        self._latest.append(seconds)
        bisect.insort(self._sorted, seconds)
        self.mean_s += 0.05 * (seconds - self.mean_s)
        if len(self._latest) > MAX_SAMPLES:
            oldest = self._latest.popleft()
            del self._sorted[bisect.bisect_left(self._sorted, oldest)]

    def find_quantile(self, percent):
        """Returns a percentile in seconds; with too few samples, a multiple of the default."""
        if len(self._sorted) < MIN_SAMPLES:
            return self._default_s * (1 if percent <= 50 else 3)
        return self._sorted[min(len(self._sorted) - 1, len(self._sorted) * percent // 100)]
