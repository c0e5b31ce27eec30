"""Sliding windows of spent permits, and the demand of the last second.

Handles thousands of permits a second for one account: permits are counted in ticks of time, so
memory is bounded by the window, whatever the rate. A tick counts until its end has left the window,
so at most one tick of credit is lost and none is added. Performs no I/O.
"""

import math

TICK_S = 0.01
# Demand is counted over this time, in a few parts.
DEMAND_S = 1.0
DEMAND_PARTS = 4


class PermitWindow:
    """Counts permits that were spent within the last ``window_s`` seconds.

    Args:
      window_s: Length of the window in seconds; may be replaced at any time.

    Attributes:
      count: Permits that count at the time of the last call of ``expire``.
    """

    def __init__(self, window_s):
        self.window_s = window_s
        self.count = 0
        self._ticks = {}
        self._first = 0

    def add(self, at, count=1):
        """Counts permits as spent at a time, past or future; returns their tick."""
        tick = math.ceil(at / TICK_S)
        if not self._ticks or tick < self._first:
            self._first = tick
        self._ticks[tick] = self._ticks.get(tick, 0) + count
        self.count += count
        return tick

    def remove(self, tick, count=1):
        """Takes back permits of a tick; returns how many of them still counted."""
        removed = min(count, self._ticks.get(tick, 0))
        if removed:
            self._ticks[tick] -= removed
            self.count -= removed
        return removed

    def expire(self, now):
        """Forgets what has left the window; returns the number of permits that still count."""
        end = math.floor((now - self.window_s) / TICK_S)
        if self._ticks and self._first < end:
            if end - self._first > len(self._ticks):
                old = [tick for tick in self._ticks if tick < end]
            else:
                old = range(self._first, end)
            for tick in old:
                self.count -= self._ticks.pop(tick, 0)
            self._first = end
        return self.count

    def estimate_wait_s(self, now, excess):
        """Returns the seconds until more than ``excess`` permits have left the window.

        Args:
          now: Seconds.
          excess: Permits that count beyond the share, 0 if the share is just used up.
        """
        for tick in sorted(self._ticks):
            excess -= self._ticks[tick]
            if excess < 0:
                return max(0.0, tick * TICK_S + self.window_s - now)
        return self.window_s


class DemandMeter:
    """Counts the requests of the last second."""

    def __init__(self):
        self._counts = {}

    def add(self, now, count=1):
        """Counts requests."""
        part = int(now * DEMAND_PARTS / DEMAND_S)
        self._counts[part] = self._counts.get(part, 0) + count
        if len(self._counts) > DEMAND_PARTS:
            self._drop_old(part)

    def measure(self, now):
        """Returns the number of requests in the last second."""
        part = int(now * DEMAND_PARTS / DEMAND_S)
        return sum(count for key, count in self._counts.items() if key > part - DEMAND_PARTS)

    def _drop_old(self, part):
        for key in [key for key in self._counts if key <= part - DEMAND_PARTS]:
            del self._counts[key]
