"""State of the dispatcher's core: work, sends, upstreams and services."""

import dataclasses
import enum
import heapq
import itertools

from skylarksill import health, hedges, limits, loans, queueing, records, suspects

HEDGE_RATIO = 0.05
# The entry process may use the other half of the 10% that retries may add.
RETRY_RATIO = 0.05
JUDGE_INTERVAL_S = 0.01


class WorkState(enum.Enum):
    """Where a request is; HELD copies wait for the first run of their fingerprint."""

    QUEUED = "queued"
    HELD = "held"
    ALONE = "alone"
    RUNNING = "running"
    FORWARDED = "forwarded"
    REFUSING = "refusing"


class TimerKind(enum.Enum):
    """What is due at a timer's time."""

    PLACE = 9
    WORK_DEADLINE = 0
    SEND_DEADLINE = 1
    RELEASE = 2
    HEDGE = 3
    REFUSE = 4
    OFFER = 5


@dataclasses.dataclass(slots=True, eq=False)
class Work:
    """A request that has not been answered."""

    request: records.Request
    service: "ServiceState"
    fingerprint: str
    arrived: float
    deadline: float
    is_long: bool
    is_foreign: bool
    state: WorkState = WorkState.QUEUED
    sends: list = dataclasses.field(default_factory=list)
    avoid: frozenset = frozenset()
    may_have_run: bool = False
    forwarded_to: records.HostId | None = None
    is_admitted: bool = False
    is_shift_counted: bool = False
    refusal: records.Refusal | None = None


@dataclasses.dataclass(slots=True, eq=False)
class Sending:
    """A send that occupies a slot of its upstream."""

    send_id: int
    work: Work
    upstream: "UpstreamState"
    start: object
    started: float
    deadline: float
    is_on_loan: bool
    is_hedge: bool
    is_cancelled: bool = False
    is_death_counted: bool = False


@dataclasses.dataclass(slots=True, eq=False)
class Sibling:
    """Another dispatcher of the region; ``free`` is what it last reported, maybe long ago."""

    host: records.HostId
    free: int
    refusals: int = 0
    next_at: float = float("-inf")


class UpstreamState:
    """Slots of one upstream as this dispatcher owns and uses them."""

    def __init__(self, record, holding, lender, borrower, host):
        self.record = record
        self.holding = holding
        self.sends = {}
        self.loan_sends = 0
        self.leaving_sources = set()
        self.is_reserved = False
        self.alone_send = None
        self.recalled_until = float("-inf")
        self._lender = lender
        self._borrower = borrower
        self._host = host

    @property
    def is_home(self):
        """True if this dispatcher is the upstream's home."""
        return self.record.home == self._host

    @property
    def is_leaving(self):
        """True if any source says that the upstream is leaving."""
        return bool(self.leaving_sources)

    def count_owned(self, now):
        """Returns the owned slots that are usable and not lent."""
        if not self.is_home and (
            now < self.recalled_until or not self._lender.is_returned(self.record.upstream_id, now)
        ):
            return 0
        return self.holding.count(now)

    def count_loan(self, now):
        """Returns 1 if the borrowed slot is usable, else 0."""
        # A predecessor's work on the borrowed slot may run as long as that on the owned ones.
        if not self.is_home or now < self.holding.usable_at:
            return 0
        return int(self._borrower.is_held(self.record.upstream_id, now))

    def count_usable(self, now):
        """Returns the slots that are usable, both owned and borrowed."""
        return self.count_owned(now) + self.count_loan(now)

    def count_owned_free(self, now):
        """Returns the owned slots without work; negative after a loss of slots."""
        return self.count_owned(now) - (len(self.sends) - self.loan_sends)

    def count_free(self, now):
        """Returns the slots that may take new work, before health and warm-up."""
        if self.leaving_sources or self.is_reserved or self.alone_send is not None:
            return 0
        # The standby's slot uses one of the upstream's connections.
        spare = 1 if self.record.standby is not None and self.is_home else 0
        if len(self.sends) >= self.record.max_connections - spare:
            return 0
        free = max(0, self.count_owned_free(now))
        if self.loan_sends == 0:
            free += self.count_loan(now)
        return free

    def holds_all(self, now):
        """Returns True if no other dispatcher can have work at the upstream."""
        return self.count_usable(now) >= self.record.slots

    def bound_loan_deadline(self):
        """Returns the latest deadline of work on the borrowed slot."""
        return self._borrower.bound_deadline(self.record.upstream_id)

    def can_lend(self, now):
        """Returns True if the standby slot is owned and without own work."""
        owned_in_use = len(self.sends) - self.loan_sends
        return not self.is_home and owned_in_use < self.holding.count(now)


class ServiceState:
    """Queue, health and statistics of one service."""

    def __init__(self, record):
        mean_s = record.mean_ms / 1000
        self.record = record
        self.upstreams = []
        self.queue = queueing.ServiceQueue(mean_s)
        self.routes = queueing.RouteHistory()
        self.health = health.HealthTable()
        self.latency = hedges.LatencyWindow(mean_s)
        self.hedge_budget = hedges.SendBudget(HEDGE_RATIO)
        self.retry_budget = hedges.SendBudget(RETRY_RATIO)
        self.alone = {}
        self.siblings = {}
        self.offer_at = float("-inf")
        self.median_s = mean_s
        self._judged_at = float("-inf")

    @property
    def mean_s(self):
        """Configured usual service time in seconds."""
        return self.record.mean_ms / 1000

    @property
    def max_deadline_s(self):
        """Longest deadline of the service in seconds."""
        return self.record.max_deadline_ms / 1000

    @property
    def is_idempotent(self):
        """True if requests of the service may be repeated."""
        return self.record.kind is records.WorkKind.IDEMPOTENT

    def judge(self, now):
        """Judges the health of the upstreams if the last judgement is old."""
        if now - self._judged_at < JUDGE_INTERVAL_S:
            return
        self._judged_at = now
        self.median_s = self.latency.find_quantile(50)
        self.health.judge(self.median_s, now)

    def find_state(self, upstream):
        """Returns the HealthState of an upstream."""
        return self.health.find_state(upstream.record.upstream_id)

    def count_good(self, now):
        """Returns the usable slots of upstreams that take work and are not slow."""
        return sum(
            upstream.count_usable(now)
            for upstream in self.upstreams
            if not upstream.leaving_sources and self.find_state(upstream) is health.HealthState.GOOD
        )

    def count_capacity(self, now):
        """Returns the usable slots of upstreams that take work, without slow ones if possible."""
        return self.count_good(now) or sum(
            upstream.count_usable(now)
            for upstream in self.upstreams
            if not upstream.leaving_sources
            and self.find_state(upstream) is not health.HealthState.DOWN
        )

    def count_long(self, now):
        """Returns the sends of long work, by expectation or by age."""
        long_age_s = queueing.LONG_FACTOR * self.mean_s
        return sum(
            send.work.is_long or now - send.started > long_age_s
            for upstream in self.upstreams
            for send in upstream.sends.values()
        )


class DispatchState:
    """Everything that the dispatcher's core knows."""

    def __init__(self, host, started_at):
        self.host = host
        self.started_at = started_at
        self.configuration = None
        self.region = None
        self.services = {}
        self.upstreams = {}
        self.works = {}
        self.sends = {}
        self.send_ids = itertools.count(1)
        self.lender = loans.LenderTable()
        self.borrower = loans.BorrowerTable()
        self.suspects = suspects.SuspectTable(host)
        self.leaders = {}
        self.held = {}
        self.ready = []
        self.share = None
        self.shift_share = None
        self.shift_window = limits.WindowLimit(0)
        self.accepted = {}
        self.is_stopping = False
        self._timers = []
        self._timer_order = itertools.count()

    def add_timer(self, time, kind, key):
        """Adds a timer; ``key`` is a request id or a send id."""
        heapq.heappush(self._timers, (time, next(self._timer_order), kind, key))

    def pop_timer(self, now):
        """Returns the (kind, key) of the next timer that is due, or None."""
        if self._timers and self._timers[0][0] <= now:
            return heapq.heappop(self._timers)[2:]
        return None

    def find_next_timer(self):
        """Returns the time of the next timer in seconds, or None."""
        return self._timers[0][0] if self._timers else None

    def count_share(self, now):
        """Returns how many sends this dispatcher may have in flight."""
        return self.share.count(now) if self.share else 0

    def update_shift(self, now):
        """Puts a change of the share of the shift cap in force."""
        limit = self.shift_share.count(now) if self.shift_share else 0
        if limit != self.shift_window.limit:
            self.shift_window.change_limit(limit, now)

    def compute_shift_wait_s(self, now):
        """Returns the seconds until foreign work may start, or None if it never may."""
        self.update_shift(now)
        return self.shift_window.compute_wait_s(now)

    def take_shift(self, now):
        """Counts one start of foreign work; False if the window is full."""
        self.update_shift(now)
        return self.shift_window.take(now)
