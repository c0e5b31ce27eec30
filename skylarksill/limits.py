"""Exact limits of one process: sliding windows, byte budgets and static shares of a total."""

import collections

BYTE_WINDOW_S = 0.1


class WindowLimit:
    """Admits at most ``limit`` events in any window of ``window_s`` seconds.

    Args:
      limit: Greatest number of events in a window.
      window_s: Length of the sliding window in seconds.
    """

    def __init__(self, limit, window_s=1.0):
        self.limit = limit
        self._window_s = window_s
        self._times = collections.deque()

    def fill(self, now):
        """Counts the whole allowance as used at ``now``, as a new incarnation must."""
        self._times = collections.deque([now] * self.limit)

    def take(self, now):
        """Admits one event.

        Returns:
          True if the event is admitted; False changes nothing.
        """
        self._forget(now)
        if len(self._times) >= self.limit:
            return False
        self._times.append(now)
        return True

    def change_limit(self, limit, now):
        """Sets another limit; an allowance that is added counts as used in the current window."""
        added = limit - self.limit
        self.limit = limit
        if added > 0:
            self._forget(now)
            self._times.extend([now] * added)

    def compute_wait_s(self, now):
        """Returns the seconds until the next event can be admitted, or None if none ever can."""
        self._forget(now)
        if self.limit <= 0:
            return None
        excess = len(self._times) - self.limit
        return 0.0 if excess < 0 else self._times[excess] + self._window_s - now

    def _forget(self, now):
        while self._times and self._times[0] + self._window_s <= now:
            self._times.popleft()


class ByteBudget:
    """Bounds the bytes that leave within any window of 100 ms.

    Args:
      bytes_per_s: Rate of the budget in bytes per second.
    """

    def __init__(self, bytes_per_s):
        self._budget = int(bytes_per_s * BYTE_WINDOW_S)
        self._sent = collections.deque()
        self._total = 0
        self._last = float("-inf")

    def reserve(self, size, now):
        """Reserves the sending of ``size`` bytes, in the order of the calls.

        Returns:
          The earliest time at which the bytes may be sent, or None if they exceed the budget of
          a whole window; nothing is reserved then.
        """
        if size > self._budget:
            return None
        start = max(now, self._last)
        while self._sent and (
            self._total + size > self._budget or self._sent[0][0] + BYTE_WINDOW_S <= start
        ):
            sent_at, sent_size = self._sent.popleft()
            self._total -= sent_size
            start = max(start, sent_at + BYTE_WINDOW_S)
        self._sent.append((start, size))
        self._total += size
        self._last = start
        return start


def split_share(total, weights):
    """Splits a whole number in proportion to weights.

    Every process computes the same shares from the same configuration. Units left over by
    rounding down go to the largest remainders, with ties in the order of the keys.

    Args:
      total: The whole number to split, not negative.
      weights: Maps a key to a whole number that is not negative.
    Returns:
      Maps each key to its share; the shares sum to ``total``, or to 0 if all weights are 0.
    """
    weight_sum = sum(weights.values())
    if weight_sum <= 0:
        return dict.fromkeys(weights, 0)
    shares = {key: total * weight // weight_sum for key, weight in weights.items()}
    rest = total - sum(shares.values())
    by_remainder = sorted(weights, key=lambda key: (-(total * weights[key] % weight_sum), key))
    for key in by_remainder[:rest]:
        shares[key] += 1
    return shares
