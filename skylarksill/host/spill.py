"""Share of a service's objects that are served in another region than that of their clients.

Handles a region with few upstreams, whose requests would wait or be rejected while other regions
have free slots. Whole objects move, so that the upstreams of the other region soon have them
cached, and the share of moved objects follows the demand in small steps, because a sudden move
would hit cold caches.
"""

import collections
import zlib

STEP_INTERVAL_S = 0.5
# The users bound the change from one window of 2 s to the next. The steps use half of that bound;
# the rest is left for the change of the mix of services and objects within a window.
SHIFT_WINDOW_S = 2.0
STEP_SHIFT_SHARE = 0.5
MAX_SHARE = 0.7
# Weight of the mean share of the region's other hosts in each step. An object that some of them
# serve locally and others remotely takes memory in both places.
PEER_AVERAGE_WEIGHT = 0.3
# Requests in a step below which its demand is not evaluated.
MIN_STEP_REQUESTS = 3
# Share of requests that would gain from another region above which more objects move there.
INCREASE_ABOVE_DEMAND = 0.05
# Objects return while the share of requests that would gain is lower than this, and the
# utilisation of the own region is lower than RETURN_UTILISATION.
RETURN_BELOW_DEMAND = 0.02
RETURN_UTILISATION = 0.6
RETURN_STEP_FACTOR = 0.5
_HASH_RANGE = 2**32
# Part of the permitted change that a host uses; the rest covers differences between hosts.
GUARD_SHIFT_SHARE = 0.7
# Requests that may leave beyond the permitted share. Without them, a service with a low request
# rate could not begin to move.
GUARD_EXTRA_REQUESTS = 1.0
BUCKET_S = 0.25


class SpillController:
    """Share of one service's objects that are served in other regions.

    Args:
      max_shift: Greatest change of a region's share between windows of SHIFT_WINDOW_S.
      share: Initial share.

    Attributes:
      max_shift: As above; may change at any time.
      share: Current share, from 0 to MAX_SHARE.
      peer_average: Mean share of the region's other hosts, or None.
    """

    def __init__(self, max_shift, share=0.0):
        self.max_shift = max_shift
        self.share = min(MAX_SHARE, share)
        self.peer_average = None
        self._last_step_at = None
        self._request_count = 0
        self._gain_count = 0

    def is_spilled(self, key):
        """Returns True if the object with an affinity key is served in another region."""
        return zlib.crc32(key) < self.share * _HASH_RANGE

    def is_step_due(self, now):
        """Returns True if ``adjust_share`` is to be called."""
        return self._last_step_at is None or now - self._last_step_at >= STEP_INTERVAL_S

    def count_request(self, would_gain):
        """Counts a request; ``would_gain`` if it would be served better in another region."""
        self._request_count += 1
        self._gain_count += would_gain

    def adjust_share(self, utilisation, now):
        """Adapts the share to the demand since the last step.

        Args:
          utilisation: Load of the own region as a share of its slots.
          now: Monotonic seconds.
        """
        self._last_step_at = now
        if self.peer_average is not None:
            self.share += PEER_AVERAGE_WEIGHT * (self.peer_average - self.share)
        if self._request_count >= MIN_STEP_REQUESTS:
            demand = self._gain_count / self._request_count
            step = self.max_shift * STEP_SHIFT_SHARE * STEP_INTERVAL_S / SHIFT_WINDOW_S
            if demand > INCREASE_ABOVE_DEMAND:
                self.share = min(MAX_SHARE, self.share + step)
            elif demand < RETURN_BELOW_DEMAND and utilisation < RETURN_UTILISATION:
                self.share = max(0.0, self.share - RETURN_STEP_FACTOR * step)
        self._request_count = 0
        self._gain_count = 0


class ShiftGuard:
    """Keeps the share of requests that leave the region from rising faster than permitted.

    Compares the last SHIFT_WINDOW_S with the window before. The number of requests that stay varies
    as well, for example because the region rejects what it can't run, so a bound on the objects
    is not enough.

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
        self._drop_old_buckets(now)
        newest_before = _find_bucket(now - SHIFT_WINDOW_S)
        recent = [0, 0]
        before = [0, 0]
        for bucket, spilled, total in self._buckets:
            counts = recent if bucket > newest_before else before
            counts[0] += spilled
            counts[1] += total
        if not before[1]:
            # The window before holds no placed request, so there is no share to compare with.
            return True
        share_before = before[0] / before[1]
        limit = share_before + GUARD_SHIFT_SHARE * self.max_shift
        return recent[0] + 1 <= limit * (recent[1] + 1) + GUARD_EXTRA_REQUESTS

    def count_request(self, is_spilled, now):
        """Counts a placed request; ``is_spilled`` if it leaves the region."""
        bucket = _find_bucket(now)
        if not self._buckets or self._buckets[-1][0] != bucket:
            self._buckets.append([bucket, 0, 0])
        self._buckets[-1][1] += is_spilled
        self._buckets[-1][2] += 1

    def _drop_old_buckets(self, now):
        oldest = _find_bucket(now - 2 * SHIFT_WINDOW_S)
        while self._buckets and self._buckets[0][0] <= oldest:
            self._buckets.popleft()


def _find_bucket(now):
    return int(now / BUCKET_S)
