"""Queue of one service: short work goes first, and the wait of long work is bounded."""

import collections
import dataclasses

from skylarksill import records

LONG_FACTOR = 10
MIN_LONG_WAIT_LIMIT_S = 1.0
LONG_SLOT_PERCENT = 40
MAX_RECORDED_ROUTES = 10_000
ROUTE_MEAN_WEIGHT = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class QueueEntry:
    """A waiting request; ``item`` is opaque to the queue."""

    request_id: records.RequestId
    item: object
    queued_at: float


class ServiceQueue:
    """Orders the waiting work of one service.

    Args:
      mean_s: Configured mean service time in seconds.
    """

    def __init__(self, mean_s):
        self.set_mean(mean_s)
        self._short = collections.OrderedDict()
        self._long = collections.OrderedDict()

    def __len__(self):
        return len(self._short) + len(self._long)

    @property
    def long_count(self):
        """Number of waiting long requests."""
        return len(self._long)

    def set_mean(self, mean_s):
        """Sets the mean service time in seconds, which bounds the wait of long work."""
        self._max_long_wait_s = max(MIN_LONG_WAIT_LIMIT_S, LONG_FACTOR * mean_s)

    def push(self, request_id, item, is_long, now):
        """Adds work at the back of the queue of its class, short or long."""
        queue = self._long if is_long else self._short
        queue[request_id] = QueueEntry(request_id, item, now)

    def put_back(self, entry, is_long):
        """Returns an entry that cannot start yet to the front of the queue of its class."""
        queue = self._long if is_long else self._short
        queue[entry.request_id] = entry
        queue.move_to_end(entry.request_id, last=False)

    def remove(self, request_id):
        """Removes work that was cancelled or whose deadline has passed.

        Returns:
          True if the work was waiting.
        """
        queues = (self._short, self._long)
        return any(queue.pop(request_id, None) is not None for queue in queues)

    def pop(self, may_start_long, now):
        """Removes and returns the QueueEntry that starts next.

        Args:
          may_start_long: True if long work holds fewer slots than its share.
          now: Time in seconds.
        Returns:
          A QueueEntry, or None if nothing may start.
        """
        if may_start_long and self._long:
            first = next(iter(self._long.values()))
            if not self._short or now - first.queued_at >= self._max_long_wait_s:
                return self._long.popitem(last=False)[1]
        if self._short:
            return self._short.popitem(last=False)[1]
        return None


class RouteHistory:
    """Moving averages of service times by route, the first two segments of the path."""

    def __init__(self):
        self._means = collections.OrderedDict()

    def add_sample(self, path, seconds):
        """Adds an observed service time."""
        route = _extract_route(path)
        mean = self._means.pop(route, seconds)
        self._means[route] = mean + ROUTE_MEAN_WEIGHT * (seconds - mean)
        if len(self._means) > MAX_RECORDED_ROUTES:
            self._means.popitem(last=False)

    def is_long(self, path, mean_s):
        """Returns True if the path's expected time exceeds LONG_FACTOR times ``mean_s``."""
        return self._means.get(_extract_route(path), 0.0) > LONG_FACTOR * mean_s


def count_long_slots(slots):
    """Returns the number of a service's slots that long work may hold."""
    return max(1, slots * LONG_SLOT_PERCENT // 100)


def _extract_route(path):
    return "/".join(path.partition("?")[0].split("/", 3)[1:3])
