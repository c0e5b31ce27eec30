"""Fake upstream that runs requests and observes the limits."""

import collections
import dataclasses

from bench import _bodies, _world

RUN_S = 0.05
SLOW_S = 1.0
RESTART_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """One run of a request at an upstream, with its start in seconds."""

    time: float
    upstream: str
    region: str
    source: str
    request: object


class Ledger:
    """Everything that upstreams saw, from which the invariants are judged.

    It belongs to the judge and not to the deployment, so it survives all faults.
    """

    def __init__(self):
        self.runs = []
        self.arrivals = {}
        self.deaths = collections.Counter()
        self.over_slots = []
        self.over_region = []
        self.in_flight = collections.Counter()
        self.peak = collections.Counter()


class Upstream(_world.Node):
    """A worker of a service.

    Args:
      world: The World, whose ``ledger`` is a Ledger.
      record: The records.Upstream.
      region_limits: Maps a region to its max_in_flight.
    """

    def __init__(self, world, record, region_limits):
        self.record = record
        self._region_limits = region_limits
        self._running = 0
        self._calls_seen = 0
        self.is_leaving = False
        self.shed_every = 0
        super().__init__(world, record.upstream_id, record.zone_id)

    def reset(self):
        """Forgets the work of the incarnation before."""
        self.world.ledger.in_flight[self.region] -= self._running
        self._running = 0

    def handle(self, envelope, answer):
        """Runs a request unless its deadline has passed."""
        if envelope.kind == "probe":
            answer(self.is_leaving)
            return
        call = envelope.body
        self._calls_seen += 1
        is_shed = self.shed_every and self._calls_seen % self.shed_every == 0
        if is_shed or call.deadline_unix_ms <= self.world.now_unix_ms:
            answer(_bodies.RunRefused(self.is_leaving))
            return
        self._start_run(envelope.source, call.request)
        order_id = call.request.body.decode()
        if call.request.path.startswith("/poison"):
            self._die(order_id)
            return
        seconds = SLOW_S if call.request.path.startswith("/slow") else RUN_S
        remaining_s = (call.deadline_unix_ms - self.world.now_unix_ms) / 1_000
        if seconds < remaining_s:
            self.after(seconds, lambda: self._finish(order_id, answer))
        else:
            self.after(remaining_s, self._release)

    def _start_run(self, source, request):
        ledger = self.world.ledger
        run = Run(self.world.now, self.name, self.region, source, request)
        ledger.runs.append(run)
        self._running += 1
        ledger.in_flight[self.region] += 1
        for key, value in ((self.name, self._running), (self.region, self._count_region())):
            ledger.peak[key] = max(ledger.peak[key], value)
        if self._running > self.record.slots:
            ledger.over_slots.append(run)
        if self._count_region() > self._region_limits[self.region]:
            ledger.over_region.append(run)

    def _count_region(self):
        return self.world.ledger.in_flight[self.region]

    def _release(self):
        self._running -= 1
        self.world.ledger.in_flight[self.region] -= 1

    def _finish(self, order_id, answer):
        self._release()
        answer(_bodies.RunAnswer(_bodies.make_answer(order_id), self.is_leaving))

    def _die(self, order_id):
        self.world.ledger.deaths[order_id] += 1
        self.crash()

    def crash(self):
        """Ends the process at once; a new incarnation starts a second later."""
        self.reset()
        self.world.kill(self.name, has_reset=True)
        self.world.schedule(RESTART_S, lambda: self.world.restart(self.name))
