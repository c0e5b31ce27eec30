"""Which objects of a service are served in another region than that of their clients.

Answers a region with few upstreams, whose work would wait or be rejected while other regions have
free slots. Whole objects move, so that the other region's upstreams soon know them, and the share
of objects that moves follows the demand in small steps: a sudden move would meet cold caches.
"""

import collections
import zlib

STEP_S = 0.5
# The users bound the change from one window of 2 s to the next. Half of the bound is left for the
# change of the mix of services and objects within a window.
BOUND_WINDOW_S = 2.0
BOUND_SHARE = 0.5
MAX_SHARE = 0.7
# Pull towards the share of the region's other hosts: an object that some of them serve at home and
# others elsewhere takes memory in both places.
AVERAGE_WEIGHT = 0.3
# Requests of a step below which the demand is not judged.
MIN_REQUESTS = 3
# Share of requests that would gain from leaving above which more objects leave.
MORE_ABOVE = 0.05
# Objects return while fewer requests would gain, and the region's load is below this share.
FEWER_BELOW = 0.02
RETURN_UTILISATION = 0.6
RETURN_PACE = 0.5
_HASH_RANGE = 2**32
# Part of the permitted change that a host uses; the rest covers differences between hosts.
GUARD_SHARE = 0.7
# Requests that may leave beyond it, without which low rates could not begin to move.
GUARD_SLACK = 1.0
BUCKET_S = 0.25


class SpillControl:
    """Share of one service's objects that are served in other regions.

    Args:
      max_shift: Greatest change of a region's share between windows of BOUND_WINDOW_S.
      share: First share.

    Attributes:
      max_shift: As above; may change at any time.
      share: Present share, from 0 to MAX_SHARE.
      average: Mean share of the region's other hosts, or None.
    """

    def __init__(self, max_shift, share=0.0):
        self.max_shift = max_shift
        self.share = min(MAX_SHARE, share)
        self.average = None
        self._step_at = None
        self._requests = 0
        self._gains = 0

    def is_away(self, key):
        """Returns True if the object with an affinity key is served in another region."""
        return zlib.crc32(key) < self.share * _HASH_RANGE

    def is_step_due(self, now):
        """Returns True if ``advance`` is to be called."""
        return self._step_at is None or now - self._step_at >= STEP_S

    def note(self, does_gain):
        """Counts a request; ``does_gain`` if it would be served better in another region."""
        self._requests += 1
        self._gains += does_gain

    def advance(self, utilisation, now):
        """Adapts the share to the demand since the last step.

        Args:
          utilisation: Load of the own region as a share of its slots.
          now: Monotonic seconds.
        """
        self._step_at = now
        if self.average is not None:
            self.share += AVERAGE_WEIGHT * (self.average - self.share)
        if self._requests >= MIN_REQUESTS:
            demand = self._gains / self._requests
            step = self.max_shift * BOUND_SHARE * STEP_S / BOUND_WINDOW_S
            if demand > MORE_ABOVE:
                self.share = min(MAX_SHARE, self.share + step)
            elif demand < FEWER_BELOW and utilisation < RETURN_UTILISATION:
                self.share = max(0.0, self.share - RETURN_PACE * step)
        self._requests = 0
        self._gains = 0


class ShiftGuard:
    """Keeps the share of work that leaves the region from rising faster than permitted.

    Compares the last BOUND_WINDOW_S with the window before. The work that stays varies as well, for
    example because the region rejects what it can't run, so a bound on the objects is not enough.

    Args:
      max_shift: Greatest change of the share between windows.

    Attributes:
      max_shift: As above; may change at any time.
    """

    def __init__(self, max_shift):
        self.max_shift = max_shift
        self._buckets = collections.deque()

    def permits(self, now):
        """Returns True if one more request may leave the region."""
        self._forget(now)
        newest_before = _find_bucket(now - BOUND_WINDOW_S)
        recent = [0, 0]
        before = [0, 0]
        for bucket, away, total in self._buckets:
            counts = recent if bucket > newest_before else before
            counts[0] += away
            counts[1] += total
        if not before[1]:
            # Nothing was placed, so there is nothing that this request differs from.
            return True
        share_before = before[0] / before[1]
        limit = share_before + GUARD_SHARE * self.max_shift
        return recent[0] + 1 <= limit * (recent[1] + 1) + GUARD_SLACK

    def note(self, is_away, now):
        """Counts a request that was placed."""
        bucket = _find_bucket(now)
        if not self._buckets or self._buckets[-1][0] != bucket:
            self._buckets.append([bucket, 0, 0])
        self._buckets[-1][1] += is_away
        self._buckets[-1][2] += 1

    def _forget(self, now):
        oldest = _find_bucket(now - 2 * BOUND_WINDOW_S)
        while self._buckets and self._buckets[0][0] <= oldest:
            self._buckets.popleft()


def _find_bucket(now):
    return int(now / BUCKET_S)
