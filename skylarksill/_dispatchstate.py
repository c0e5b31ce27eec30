"""State of the dispatcher: requests in progress, sends, upstreams and services."""

import dataclasses
import enum
import heapq
import itertools

from skylarksill import health, hedges, limits, loans, queueing, records, suspects

HEDGE_RATIO = 0.05
# Retries may add 10% to the requests; the entry process may use the other half.
RETRY_RATIO = 0.05
HEALTH_UPDATE_INTERVAL_S = 0.01


class WorkState(enum.Enum):
    """State of a request in the dispatcher.

    HELD requests have the fingerprint of one in progress and wait for its end. ALONE requests are
    suspected of taking upstreams down and run on an upstream without other work. REFUSING requests
    have failed, and their refusal is delayed.
    """

    QUEUED = "queued"
    HELD = "held"
    ALONE = "alone"
    RUNNING = "running"
    FORWARDED = "forwarded"
    REFUSING = "refusing"


class TimerKind(enum.Enum):
    """What happens when a timer expires."""

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
    arrived_at: float
    deadline: float
    is_long: bool
    is_foreign: bool
    state: WorkState = WorkState.QUEUED
    sends: list = dataclasses.field(default_factory=list)
    avoided_upstreams: frozenset = frozenset()
    may_have_run: bool = False
    forwarded_to: records.HostId | None = None
    is_admitted: bool = False
    is_shift_counted: bool = False
    refusal: records.Refusal | None = None


@dataclasses.dataclass(slots=True, eq=False)
class SendAttempt:
    """One send of a request to an upstream; it occupies a slot until it is over."""

    send_id: int
    work: Work
    upstream: "UpstreamState"
    health_token: object
    sent_at: float
    deadline: float
    is_on_loan: bool
    is_hedge: bool
    is_cancelled: bool = False
    is_death_counted: bool = False


@dataclasses.dataclass(slots=True, eq=False)
class Sibling:
    """Another dispatcher of the region; ``free`` is the last reported number and may be stale."""

    host: records.HostId
    free: int
    refusals_in_a_row: int = 0
    next_offer_at: float = float("-inf")


class UpstreamState:
    """Slots of one upstream that this dispatcher owns, borrows and uses.

    An upstream's home dispatcher owns its slots, except for one that its standby, if any, owns and
    lends to the home on request.
    """

    def __init__(self, record, holding, lender, borrower, host):
        self.record = record
        self.holding = holding
        self.sends = {}
        self.borrowed_slot_sends = 0
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
        """True if any source reports a planned stop of the upstream."""
        return bool(self.leaving_sources)

    def count_owned(self, now):
        """Returns the number of owned slots that are usable and not lent."""
        if not self.is_home and (
            now < self.recalled_until or not self._lender.is_returned(self.record.upstream_id, now)
        ):
            return 0
        return self.holding.count(now)

    def count_borrowed_slots(self, now):
        """Returns 1 if the borrowed slot is usable, else 0."""
        # Work of this host's earlier process may run on the borrowed slot for as long as on the
        # owned slots.
        if not self.is_home or now < self.holding.usable_at:
            return 0
        return int(self._borrower.is_held(self.record.upstream_id, now))

    def count_usable(self, now):
        """Returns the number of usable slots, both owned and borrowed."""
        return self.count_owned(now) + self.count_borrowed_slots(now)

    def count_idle_owned_slots(self, now):
        """Returns the number of idle owned slots; negative if slots with work were lost."""
        return self.count_owned(now) - (len(self.sends) - self.borrowed_slot_sends)

    def count_free(self, now):
        """Returns the number of slots for new work, regardless of health and warm-up."""
        if self.leaving_sources or self.is_reserved or self.alone_send is not None:
            return 0
        # The standby's slot uses one of the upstream's connections.
        reserved_connections = 1 if self.record.standby is not None and self.is_home else 0
        if len(self.sends) >= self.record.max_connections - reserved_connections:
            return 0
        free = max(0, self.count_idle_owned_slots(now))
        if self.borrowed_slot_sends == 0:
            free += self.count_borrowed_slots(now)
        return free

    def has_exclusive_use(self, now):
        """Returns True if no other dispatcher can have work at the upstream."""
        return self.count_usable(now) >= self.record.slots

    def compute_max_loan_deadline(self):
        """Returns the latest permitted deadline of work on the borrowed slot."""
        return self._borrower.compute_max_deadline(self.record.upstream_id)

    def can_lend(self, now):
        """Returns True if this dispatcher is not the home and an owned slot is idle."""
        owned_in_use = len(self.sends) - self.borrowed_slot_sends
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
        self.pending_suspects = {}
        self.siblings = {}
        self.offer_timer_at = float("-inf")
        self.median_s = mean_s
        self._health_updated_at = float("-inf")

    @property
    def mean_s(self):
        """Configured mean service time in seconds."""
        return self.record.mean_ms / 1000

    @property
    def max_deadline_s(self):
        """Longest deadline of the service in seconds."""
        return self.record.max_deadline_ms / 1000

    @property
    def is_idempotent(self):
        """True if requests of the service may be repeated."""
        return self.record.kind is records.WorkKind.IDEMPOTENT

    def update_health(self, now):
        """Updates the health of the upstreams if the last update is old enough."""
        if now - self._health_updated_at < HEALTH_UPDATE_INTERVAL_S:
            return
        self._health_updated_at = now
        self.median_s = self.latency.find_quantile(50)
        self.health.update_states(self.median_s, now)

    def find_state(self, upstream):
        """Returns the HealthState of an upstream."""
        return self.health.find_state(upstream.record.upstream_id)

    def count_good_slots(self, now):
        """Returns the number of usable slots of upstreams that take work and are not slow."""
        return sum(
            upstream.count_usable(now)
            for upstream in self.upstreams
            if not upstream.leaving_sources and self.find_state(upstream) is health.HealthState.GOOD
        )

    def count_capacity_slots(self, now):
        """Returns the number of usable slots of upstreams that take work.

        Slow upstreams count only if no other upstream has a usable slot.
        """
        return self.count_good_slots(now) or sum(
            upstream.count_usable(now)
            for upstream in self.upstreams
            if not upstream.leaving_sources
            and self.find_state(upstream) is not health.HealthState.DOWN
        )

    def count_long_sends(self, now):
        """Returns the number of sends that are expected to be long or already are."""
        long_age_s = queueing.LONG_FACTOR * self.mean_s
        return sum(
            send.work.is_long or now - send.sent_at > long_age_s
            for upstream in self.upstreams
            for send in upstream.sends.values()
        )


class DispatchState:
    """Complete state of one dispatcher."""

    def __init__(self, host, started_at):
        self.host = host
        self.started_at = started_at
        self.configuration = None
        self.region = None
        self.services = {}
        self.upstreams = {}
        self.requests_in_progress = {}
        self.sends = {}
        self.send_ids = itertools.count(1)
        self.lender = loans.LenderTable()
        self.borrower = loans.BorrowerTable()
        self.suspects = suspects.SuspectTable(host)
        self.first_by_fingerprint = {}
        self.waiting_copies = {}
        self.released_copies = []
        self.share = None
        self.shift_share = None
        self.shift_window = limits.WindowLimit(0)
        self.accepted = {}
        self.is_stopping = False
        self._timers = []
        self._timer_order = itertools.count()

    def add_timer(self, time, kind, key):
        """Adds a timer; ``key`` is a request id, a send id, a service id or None, by kind."""
        heapq.heappush(self._timers, (time, next(self._timer_order), kind, key))

    def pop_timer(self, now):
        """Returns the (kind, key) of the next timer that is due, or None."""
        if self._timers and self._timers[0][0] <= now:
            return heapq.heappop(self._timers)[2:]
        return None

    def find_next_timer(self):
        """Returns the time of the next timer in seconds, or None."""
        return self._timers[0][0] if self._timers else None

    def count_allowed_sends(self, now):
        """Returns how many sends this dispatcher may have in flight."""
        return self.share.count(now) if self.share else 0

    def update_shift_limit(self, now):
        """Applies this host's current share of the shift cap to the window limit."""
        limit = self.shift_share.count(now) if self.shift_share else 0
        if limit != self.shift_window.limit:
            self.shift_window.change_limit(limit, now)

    def compute_shift_wait_s(self, now):
        """Returns the seconds until work of another region may start, or None if it never may."""
        self.update_shift_limit(now)
        return self.shift_window.compute_wait_s(now)

    def admit_shift(self, now):
        """Counts one start of work of another region; returns False if the window is full."""
        self.update_shift_limit(now)
        return self.shift_window.take(now)
