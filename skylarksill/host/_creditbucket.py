"""Token buckets of permits, and the demand of the last second.

A bucket that starts empty needs no memory of what a former process took: all processes of a host
together take at most its depth and what came in. Performs no I/O.
"""

# Demand is counted over this time, in a few parts.
DEMAND_S = 1.0
DEMAND_PARTS = 4


class PermitBucket:
    """Permits of an account that a host may spend or lend.

    Args:
      now: Seconds.

    Attributes:
      level: Permits that are left at the time of the last call of ``fill`` or ``skip``.
    """

    def __init__(self, now):
        self.level = 0.0
        self._rate = None
        self._depth = 0.0
        self._filled_at = now
        # When permits that came in last did not fit.
        self._full_at = float("-inf")

    def fill(self, since, now, rate, depth):
        """Adds the permits that have come in.

        Args:
          since: Time before which none come in.
          now: Seconds.
          rate: Permits a second from now on.
          depth: Most permits that are kept from now on.
        """
        elapsed_s = now - max(since, self._filled_at)
        if elapsed_s > 0.0:
            # The rate may have changed at any time since the last call.
            self.level += elapsed_s * (rate if self._rate is None else min(rate, self._rate))
        self._filled_at = max(now, self._filled_at)
        self._rate, self._depth = rate, depth
        if self.level >= depth:
            self.level = depth
            self._full_at = now

    def skip(self, now):
        """Lets time pass in which no permits come in."""
        self._filled_at = max(now, self._filled_at)

    def empty(self):
        """Drops all permits."""
        self.level = 0.0

    def take(self, count=1):
        """Takes permits out."""
        self.level -= count

    def give_back(self, taken_at, count=1):
        """Puts permits back that were not used.

        If the bucket was full since they were taken, what came in did not fit, and would have taken
        their place.

        Args:
          taken_at: Time at which they were taken.
          count: Number of them.
        """
        if taken_at >= self._full_at:
            self.level = min(self._depth, self.level + count)

    def estimate_wait_s(self):
        """Returns the seconds until there is a permit; only for a bucket that fills."""
        return max(0.0, 1.0 - self.level) / self._rate


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
