"""Exact limits within one process: sliding windows, byte budgets and fixed shares of a total."""

import collections

BYTE_WINDOW_S = 0.1


class WindowLimit:
    """Admits at most ``limit`` events in any window of ``window_s`` seconds.

    Args:
      limit: Maximum number of events in a window.
      window_s: Length of the sliding window in seconds.
    """

    def __init__(self, limit, window_s=1.0):
        self.limit = limit
        self._window_s = window_s
        self._times = collections.deque()

    def take(self, now):
        """Admits one event.

        Returns:
          True if the event is admitted; False changes nothing.
        """
        self._remove_expired(now)
        if len(self._times) >= self.limit:
            return False
        self._times.append(now)
        return True

    def change_limit(self, limit, now):
        """Changes the limit; what an increase adds counts as used in the current window."""
        added = limit - self.limit
        self.limit = limit
        if added > 0:
            self._remove_expired(now)
            self._times.extend([now] * added)

    def compute_wait_s(self, now):
        """Returns the seconds until the next event can be admitted, or None if none ever can."""
        self._remove_expired(now)
        if self.limit <= 0:
            return None
        excess = len(self._times) - self.limit
        return 0.0 if excess < 0 else self._times[excess] + self._window_s - now

    def _remove_expired(self, now):
        while self._times and self._times[0] + self._window_s <= now:
            self._times.popleft()


class SlidingCount:
    """Counts events in windows that end now.

    Args:
      max_window_s: Length of the longest window in seconds.
    """

    def __init__(self, max_window_s):
        self._max_window_s = max_window_s
        self._times = collections.deque()

    def add(self, now):
        """Counts an event."""
        self._times.append(now)
        while self._times[0] <= now - self._max_window_s:
            self._times.popleft()

    def count(self, window_s, now):
        """Returns the number of events in the last ``window_s`` seconds."""
        count = 0
        for at in reversed(self._times):
            if at <= now - window_s:
                break
            count += 1
        return count

    def compute_wait_s(self, limit, window_s, now):
        """Returns the seconds until fewer than ``limit`` events are in the window, 0 if they are.

        Returns:
          Seconds, or None if the limit permits no event.
        """
        if limit <= 0:
            return None
        excess = self.count(window_s, now) - limit
        if excess < 0:
            return 0.0
        return self._times[len(self._times) - limit] + window_s - now


class BufferLimit:
    """Limits the bytes that buffers hold at the same time.

    Args:
      max_bytes: Limit in bytes; may be changed at any time.

    Attributes:
      used_bytes: Bytes that are held.
    """

    def __init__(self, max_bytes):
        self.max_bytes = max_bytes
        self.used_bytes = 0

    def take(self, size):
        """Counts ``size`` bytes as held if they fit; returns True if they do."""
        if self.used_bytes + size > self.max_bytes:
            return False
        self.used_bytes += size
        return True

    def hold(self, size):
        """Counts ``size`` bytes as held, also beyond the limit, because they exist already."""
        self.used_bytes += size

    def release(self, size):
        """Counts ``size`` bytes as no longer held."""
        self.used_bytes -= size


class ByteBudget:
    """Limits the bytes that are sent within any window of 100 ms.

    Bytes are counted when they are sent. If they were reserved in advance for a later time, all
    waiting senders of a process that was paused would send at once when it resumes.

    Args:
      bytes_per_s: Rate of the budget in bytes per second.
    """

    def __init__(self, bytes_per_s):
        self._budget = int(bytes_per_s * BYTE_WINDOW_S)
        self._sent = collections.deque()
        self._total = 0

    def take(self, size, now):
        """Counts ``size`` bytes if they may be sent at ``now``.

        Returns:
          0.0 if they may be sent and are counted; else the seconds after which to try again, or
          None if they exceed the budget of a whole window.
        """
        if size > self._budget:
            return None
        while self._sent and self._sent[0][0] + BYTE_WINDOW_S <= now:
            self._total -= self._sent.popleft()[1]
        if self._total + size <= self._budget:
            self._sent.append((now, size))
            self._total += size
            return 0.0
        return self._compute_send_time(size) - now

    def _compute_send_time(self, size):
        total = self._total
        for sent_at, sent_size in self._sent:
            total -= sent_size
            if total + size <= self._budget:
                return sent_at + BYTE_WINDOW_S
        raise AssertionError("a size within the budget fits into an empty window")


def split_share(total, weights):
    """Splits an integer in proportion to weights, by the largest remainder method.

    Every process computes the same shares from the same configuration. Units left over by rounding
    down go to the largest remainders; ties are resolved in the order of the keys.

    Args:
      total: The integer to split, not negative.
      weights: Maps a key to an integer that is not negative.
    Returns:
      Maps each key to its share; the shares sum to ``total``, or to 0 if all weights are 0.
    """
    weight_sum = sum(weights.values())
    if weight_sum <= 0:
        return dict.fromkeys(weights, 0)
    shares = {key: total * weight // weight_sum for key, weight in weights.items()}
    leftover = total - sum(shares.values())
    by_remainder = sorted(weights, key=lambda key: (-(total * weights[key] % weight_sum), key))
    for key in by_remainder[:leftover]:
        shares[key] += 1
    return shares
