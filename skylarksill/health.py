"""Health of upstreams as this process observes it: age of work in flight, latency and failures.

Load reports are not used for ejection, because they are delayed or wrong. An upstream is slow if
most of the requests that it started last are late. Requests are counted by their start, so that a
long request counts once, however long it occupies its slot.
"""

import collections
import dataclasses
import enum
import math

LATE_FACTOR = 4.0
EVALUATED_STARTS = 5
LATE_STARTS_UNTIL_SLOW = 3
TIMELY_STARTS_UNTIL_GOOD = 2
MAX_RECORDED_STARTS = 12
LATENCY_WEIGHT = 0.25
TRIAL_INTERVAL_S = 0.5
WARM_UP_S = 5.0
INITIAL_DOWN_S = 1.0
MAX_DOWN_S = 8.0
SHED_PAUSE_S = 0.1


class HealthState(enum.Enum):
    """Whether an upstream gets new work.

    SLOWED upstreams are used only after all others; EJECTED ones get one trial request at a time;
    DOWN ones get none.
    """

    GOOD = "good"
    SLOWED = "slowed"
    EJECTED = "ejected"
    DOWN = "down"


@dataclasses.dataclass(slots=True)
class _RequestStart:
    time: float
    is_late: bool | None = None


@dataclasses.dataclass(slots=True)
class _Health:
    state: HealthState = HealthState.GOOD
    recent_starts: collections.deque = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAX_RECORDED_STARTS)
    )
    latency_s: float = 0.0
    last_started_at: float = float("-inf")
    down_until: float = float("-inf")
    next_down_s: float = INITIAL_DOWN_S
    warm_up_started_at: float | None = None
    is_down: bool = False
    is_slow: bool = False


class HealthTable:
    """Health of the upstreams of one service."""

    def __init__(self):
        self._upstreams = {}

    def add(self, upstream, now, is_cold=False):
        """Adds an upstream unless it exists; a cold one warms up from ``now``."""
        if upstream not in self._upstreams:
            self._upstreams[upstream] = _Health(warm_up_started_at=now if is_cold else None)

    def remove(self, upstream):
        """Removes an upstream with its observations."""
        self._upstreams.pop(upstream, None)

    def find_state(self, upstream):
        """Returns the upstream's HealthState as of the last update."""
        return self._upstreams[upstream].state

    def find_latency_s(self, upstream):
        """Returns the moving average of the upstream's latency in seconds, with late work."""
        return self._upstreams[upstream].latency_s

    def is_trial_due(self, upstream, now):
        """Returns True if a slow upstream without work may get a trial request.

        After a trial that was not late, the next one is due at once.
        """
        health = self._upstreams[upstream]
        if health.recent_starts and health.recent_starts[-1].is_late is False:
            return True
        return now - health.last_started_at >= TRIAL_INTERVAL_S

    def record_start(self, upstream, now):
        """Counts the start of a request.

        Returns:
          A token for ``record_answer`` or ``record_unanswered_end``.
        """
        health = self._upstreams[upstream]
        health.last_started_at = now
        start = _RequestStart(now)
        health.recent_starts.append(start)
        return start

    def record_answer(self, upstream, start, median_s, now):
        """Counts a complete answer to the request whose token is ``start``."""
        latency_s = now - start.time
        start.is_late = latency_s > LATE_FACTOR * median_s
        health = self._upstreams[upstream]
        health.latency_s += LATENCY_WEIGHT * (latency_s - health.latency_s)
        if health.is_down:
            self.record_recovery(upstream, now)

    def record_unanswered_end(self, start, median_s, now):
        """Counts the end of a request without an answer; only a late one affects the health."""
        if now - start.time > LATE_FACTOR * median_s:
            start.is_late = True

    def record_failure(self, upstream, now):
        """Counts a refused or broken connection: no work until a probe succeeds or a pause ends."""
        health = self._upstreams[upstream]
        health.is_down = True
        health.state = HealthState.DOWN
        if now >= health.down_until:
            health.down_until = now + health.next_down_s
            health.next_down_s = min(MAX_DOWN_S, 2 * health.next_down_s)

    def record_shed_request(self, upstream, now):
        """Counts a request that the upstream refused without running it: a short pause."""
        health = self._upstreams[upstream]
        health.down_until = max(health.down_until, now + SHED_PAUSE_S)
        health.state = HealthState.DOWN

    def record_recovery(self, upstream, now):
        """Ends a failure; the upstream then warms up again."""
        health = self._upstreams[upstream]
        if not health.is_down:
            return
        self._upstreams[upstream] = _Health(warm_up_started_at=now)

    def update_states(self, median_s, now):
        """Updates the state of all upstreams of the service.

        At most a third of them are EJECTED, those with the highest latency. Other slow upstreams
        are SLOWED and still get work when waiting would take longer. A DOWN upstream has no
        capacity, so it is not counted among the ejected ones.

        Args:
          median_s: Median latency of the service in seconds.
          now: Time in seconds.
        """
        slow = []
        for upstream, health in self._upstreams.items():
            if now < health.down_until:
                health.state = HealthState.DOWN
                continue
            health.state = HealthState.EJECTED if health.is_down else HealthState.GOOD
            _update_slowness(health, median_s, now)
            if health.is_slow and not health.is_down:
                slow.append((-health.latency_s, upstream))
        max_ejected = len(self._upstreams) // 3
        for rank, (_, upstream) in enumerate(sorted(slow)):
            state = HealthState.EJECTED if rank < max_ejected else HealthState.SLOWED
            self._upstreams[upstream].state = state

    def limit_slots(self, upstream, slots, now):
        """Returns how many of ``slots`` an upstream may use while it warms up."""
        health = self._upstreams[upstream]
        if health.warm_up_started_at is None:
            return slots
        age = now - health.warm_up_started_at
        if age >= WARM_UP_S:
            health.warm_up_started_at = None
            return slots
        return math.ceil(slots * (0.5 + 0.5 * age / WARM_UP_S))


def _update_slowness(health, median_s, now):
    late_s = LATE_FACTOR * median_s
    late_flags = []
    for start in reversed(health.recent_starts):
        is_late = start.is_late
        if is_late is None and now - start.time > late_s:
            is_late = True
            health.latency_s = max(health.latency_s, now - start.time)
        if is_late is not None:
            late_flags.append(is_late)
            if len(late_flags) == EVALUATED_STARTS:
                break
    if not health.is_slow:
        health.is_slow = sum(late_flags) >= LATE_STARTS_UNTIL_SLOW
    elif len(late_flags) >= TIMELY_STARTS_UNTIL_GOOD and not any(
        late_flags[:TIMELY_STARTS_UNTIL_GOOD]
    ):
        health.is_slow = False
        health.recent_starts.clear()
