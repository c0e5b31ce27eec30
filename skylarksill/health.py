"""Health of upstreams from own observations: age of work in flight, latency, failures.

Load reports are not used for ejection, because they lag or mislead. An upstream is slow if most of
the requests that it started last are late. Requests are counted by their start, so that one that
runs long is counted once, however long it occupies its slot.
"""

import collections
import dataclasses
import enum
import math

LATE_FACTOR = 4.0
JUDGED_STARTS = 5
SLOW_STARTS = 3
RECOVERY_STARTS = 2
KEPT_STARTS = 12
LATENCY_WEIGHT = 0.25
TRIAL_PAUSE_S = 0.5
WARM_UP_S = 5.0
FIRST_DOWN_S = 1.0
MAX_DOWN_S = 8.0
SHED_PAUSE_S = 0.1


class HealthState(enum.Enum):
    """How an upstream takes new work.

    SLOWED upstreams come after all others; EJECTED ones get one trial request at a time; DOWN
    ones get none.
    """

    GOOD = "good"
    SLOWED = "slowed"
    EJECTED = "ejected"
    DOWN = "down"


@dataclasses.dataclass(slots=True)
class _Start:
    time: float
    is_late: bool | None = None


@dataclasses.dataclass(slots=True)
class _Health:
    state: HealthState = HealthState.GOOD
    starts: collections.deque = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=KEPT_STARTS)
    )
    latency_s: float = 0.0
    last_start: float = float("-inf")
    down_until: float = float("-inf")
    down_s: float = FIRST_DOWN_S
    warm_from: float | None = None
    is_down: bool = False
    is_slow: bool = False


class HealthTable:
    """Health of the upstreams of one service."""

    def __init__(self):
        self._upstreams = {}

    def add(self, upstream, now, is_cold=False):
        """Adds an upstream unless it is known; a cold one warms up from ``now``."""
        if upstream not in self._upstreams:
            self._upstreams[upstream] = _Health(warm_from=now if is_cold else None)

    def remove(self, upstream):
        """Forgets an upstream."""
        self._upstreams.pop(upstream, None)

    def find_state(self, upstream):
        """Returns the upstream's HealthState as of the last judgement."""
        return self._upstreams[upstream].state

    def find_latency_s(self, upstream):
        """Returns the moving mean of the upstream's latency in seconds, including late work."""
        return self._upstreams[upstream].latency_s

    def is_trial_due(self, upstream, now):
        """Returns True if a slow upstream without work may get a trial request.

        After a trial that was not late the next one is due at once.
        """
        health = self._upstreams[upstream]
        if health.starts and health.starts[-1].is_late is False:
            return True
        return now - health.last_start >= TRIAL_PAUSE_S

    def record_start(self, upstream, now):
        """Counts the start of a request.

        Returns:
          A token for ``record_answer`` or ``record_unanswered_end``.
        """
        health = self._upstreams[upstream]
        health.last_start = now
        start = _Start(now)
        health.starts.append(start)
        return start

    def record_answer(self, upstream, start, median_s, now):
        """Counts a whole answer to a request whose token is ``start``."""
        latency_s = now - start.time
        start.is_late = latency_s > LATE_FACTOR * median_s
        health = self._upstreams[upstream]
        health.latency_s += LATENCY_WEIGHT * (latency_s - health.latency_s)
        if health.is_down:
            self.record_recovery(upstream, now)

    def record_unanswered_end(self, start, median_s, now):
        """Counts the end of a request without an answer, which tells something only if late."""
        if now - start.time > LATE_FACTOR * median_s:
            start.is_late = True

    def record_failure(self, upstream, now):
        """Counts a refused or broken connection: no work until a probe or a pause has passed."""
        health = self._upstreams[upstream]
        health.is_down = True
        health.state = HealthState.DOWN
        if now >= health.down_until:
            health.down_until = now + health.down_s
            health.down_s = min(MAX_DOWN_S, 2 * health.down_s)

    def record_shed_request(self, upstream, now):
        """Counts shed work: a short pause."""
        health = self._upstreams[upstream]
        health.down_until = max(health.down_until, now + SHED_PAUSE_S)
        health.state = HealthState.DOWN

    def record_recovery(self, upstream, now):
        """Ends a failure, after which the upstream counts as cold."""
        health = self._upstreams[upstream]
        if not health.is_down:
            return
        self._upstreams[upstream] = _Health(warm_from=now)

    def update_states(self, median_s, now):
        """Judges all upstreams of the service.

        At most a third of them are EJECTED, those with the highest latency; the other slow ones
        are SLOWED and still take work when waiting would take longer. A DOWN upstream has no
        capacity, so it does not count towards the third.

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
            _judge_starts(health, median_s, now)
            if health.is_slow and not health.is_down:
                slow.append((-health.latency_s, upstream))
        allowed = len(self._upstreams) // 3
        for rank, (_, upstream) in enumerate(sorted(slow)):
            state = HealthState.EJECTED if rank < allowed else HealthState.SLOWED
            self._upstreams[upstream].state = state

    def limit_slots(self, upstream, slots, now):
        """Returns how many of ``slots`` an upstream may use while it warms up."""
        health = self._upstreams[upstream]
        if health.warm_from is None:
            return slots
        age = now - health.warm_from
        if age >= WARM_UP_S:
            health.warm_from = None
            return slots
        return math.ceil(slots * (0.5 + 0.5 * age / WARM_UP_S))


def _judge_starts(health, median_s, now):
    late_s = LATE_FACTOR * median_s
    known = []
    for start in reversed(health.starts):
        is_late = start.is_late
        if is_late is None and now - start.time > late_s:
            is_late = True
            health.latency_s = max(health.latency_s, now - start.time)
        if is_late is not None:
            known.append(is_late)
            if len(known) == JUDGED_STARTS:
                break
    if not health.is_slow:
        health.is_slow = sum(known) >= SLOW_STARTS
    elif len(known) >= RECOVERY_STARTS and not any(known[:RECOVERY_STARTS]):
        health.is_slow = False
        health.starts.clear()
