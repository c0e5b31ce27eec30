"""Model of upstreams under load, driven by the host program's own placement decisions.

Upstreams have slots, a short queue, a cache of recently used objects and service times that vary.
Hosts learn of their state only from their answers. Run with ``python -m bench.fleet_model``.
"""

import argparse
import collections
import dataclasses
import heapq
import itertools
import math
import random

from bench._fleetloads import LOADS, Load
from skylarksill import records as shared
from skylarksill.host import fleet, placement, records, steering

__all__ = ["LOADS", "Load", "Model", "Result"]

SERVICE = shared.ServiceId("catalogue")
BOUNDS = records.Bounds(4.0, 2.5, 6.0, 0.2, 10.0, 58, 1.5, 5.0, 5.0, 0.15, 2.5)


@dataclasses.dataclass(slots=True)
class Result:
    """Counts of requests by outcome, and of runs by whether the object was cached.

    Attributes:
      latencies_s: Time to the answer of each answered request.
      upstream_runs: Number of runs by upstream.
      popular_runs: Number of runs of the popular object by upstream.
      popular_total: Requests for the popular object.
      popular_in_time: Those of them that were answered within the target latency.
      most_copies: Largest number of copies of an object on any host.
    """

    in_time: int = 0
    late: int = 0
    rejected: int = 0
    failed: int = 0
    known_runs: int = 0
    unknown_runs: int = 0
    worst_shift: float = 0.0
    latencies_s: list = dataclasses.field(default_factory=list)
    upstream_runs: collections.Counter = dataclasses.field(default_factory=collections.Counter)
    popular_runs: collections.Counter = dataclasses.field(default_factory=collections.Counter)
    popular_total: int = 0
    popular_in_time: int = 0
    most_copies: int = 0

    @property
    def total(self):
        """Number of requests."""
        return self.in_time + self.late + self.rejected + self.failed

    @property
    def in_time_share(self):
        """Share of the requests that were answered within the target latency."""
        return self.in_time / max(1, self.total)

    @property
    def known_share(self):
        """Share of the runs whose object was cached."""
        return self.known_runs / max(1, self.known_runs + self.unknown_runs)

    @property
    def popular_in_time_share(self):
        """Share of the requests for the popular object that were answered in time."""
        return self.popular_in_time / max(1, self.popular_total)

    def find_quantile_s(self, share):
        """Returns the latency in seconds that a share of the answered requests stays within."""
        found = sorted(self.latencies_s)
        return found[min(len(found) - 1, int(share * len(found)))] if found else 0.0

    def compute_peak_factor(self, upstream_count):
        """Returns the runs of the busiest upstream over the mean of all."""
        mean = sum(self.upstream_runs.values()) / upstream_count
        return max(self.upstream_runs.values(), default=0) / max(1.0, mean)


class _Upstream:
    def __init__(self, record, load, rng):
        self.record = record
        self.running = 0
        self.waiting = collections.deque()
        self.cached_objects = collections.OrderedDict()
        self.slow_seed = rng.randrange(1 << 30)
        self._load = load

    def compute_slowdown(self, now):
        period = int(now / self._load.slow_period_s)
        is_slow = random.Random(self.slow_seed + period).random() < self._load.slow_share
        return self._load.slow_factor if is_slow else 1.0

    def access_object(self, key):
        is_known = key in self.cached_objects
        self.cached_objects.pop(key, None)
        self.cached_objects[key] = None
        if len(self.cached_objects) > self._load.cached_objects:
            self.cached_objects.popitem(last=False)
        return is_known


class Model:
    """One run of a load pattern.

    Args:
      load: The Load.
      seed: Seed of the random generator.
      make_steering: Function of a Fleet and a random generator that returns a Steering.
    """

    def __init__(self, load, seed, make_steering=None):
        self._load = load
        self._rng = random.Random(seed)
        self._events = []
        self._order = itertools.count()
        self._make_steering = make_steering or _make_steering
        self.result = Result()
        self._runs = collections.defaultdict(collections.Counter)
        self._upstreams = {}
        records_by_id = {}
        for region, count in enumerate(load.upstreams):
            for index in range(count):
                record = _make_upstream(f"u{region}-{index}", f"r{region}", load.slots)
                records_by_id[record.upstream_id] = record
                self._upstreams[record.upstream_id] = _Upstream(record, load, self._rng)
        self.route = _make_route(load)
        service = records.Service(SERVICE, 330, 3.0, 11.0)
        self.hosts = []
        for region, count in enumerate(load.hosts):
            self.hosts.append(
                [self._make_host(f"r{region}", records_by_id, service) for _ in range(count)]
            )

    def run(self):
        """Simulates the load pattern; returns the Result."""
        for region in range(len(self._load.hosts)):
            self._schedule(0.0, self._arrive, region)
        while self._events:
            now, _, function, arguments = heapq.heappop(self._events)
            function(now, *arguments)
        self.result.worst_shift = self._find_worst_shift()
        return self.result

    def _make_host(self, region, records_by_id, service):
        fleet_view = fleet.Fleet(region)
        fleet_view.apply(records_by_id, {SERVICE: service}, (), BOUNDS, 0.0)
        for other in range(len(self._load.hosts)):
            is_own = f"r{other}" == region
            fleet_view.update_round_trip(f"r{other}", 0.002 if is_own else self._load.round_trip_s)
        host_steering = self._make_steering(fleet_view, self._rng)
        host_steering.set_carrier_count(self._load.hosts[int(region[1:])])
        return fleet_view, host_steering

    def _schedule(self, at, function, *arguments):
        heapq.heappush(self._events, (at, next(self._order), function, arguments))

    def _arrive(self, now, region):
        load = self._load
        if now > load.length_s:
            return
        rate_factor = 1.0 + load.rate_amplitude * math.sin(
            2 * math.pi * (now / load.period_s + region / 3)
        )
        rate = load.rate / len(load.hosts) * rate_factor
        self._schedule(now + self._rng.expovariate(rate), self._arrive, region)
        key = self._draw_object(region, now)
        self.result.popular_total += self._is_popular(key)
        self._place(now, now, region, key, True)

    def _draw_object(self, region, now):
        load = self._load
        popular = load.find_popular_object(region, now)
        if popular is not None and self._rng.random() < load.popular_share:
            return popular
        return b"%d-%d" % (region, self._rng.randrange(load.objects))

    def _is_popular(self, key):
        return key == b"popular" or (not self._load.popular_phases and key.endswith(b"-0"))

    def _place(self, now, started_at, region, key, may_retry):
        host = self._rng.choice(self.hosts[region])
        fleet_view, host_steering = host
        remaining_s = started_at + self._load.timeout_s - now
        query = placement.Query(self.route, SERVICE, 0, key, remaining_s, frozenset())
        choice = host_steering.choose(query, now)
        if host_steering.object_copies is not None and self._is_popular(key):
            copies = host_steering.object_copies.summarize().most_copies
            self.result.most_copies = max(self.result.most_copies, copies)
        if isinstance(choice, placement.Placement):
            choice.upstream.record_send(now)
            delay_s = fleet_view.estimate_round_trip_s(choice.upstream.record.region) / 2
            run = (host, query, choice, started_at, now, region)
            self._schedule(now + delay_s, self._reach_upstream, run)
            return
        if may_retry and choice.retry_after_s < remaining_s / 3:
            self._schedule(now + choice.retry_after_s, self._place, started_at, region, key, False)
            return
        self.result.rejected += 1

    def _reach_upstream(self, now, run):
        upstream = self._upstreams[run[2].upstream.record.upstream_id]
        if upstream.running < self._load.slots:
            self._start(now, upstream, run)
        elif len(upstream.waiting) < self._load.queue:
            upstream.waiting.append(run)
        else:
            self._shed(now, upstream, run)

    def _start(self, now, upstream, run):
        upstream.running += 1
        is_known = upstream.access_object(run[1].affinity_key)
        self.result.known_runs += is_known
        self.result.unknown_runs += not is_known
        self.result.upstream_runs[upstream.record.upstream_id] += 1
        if self._is_popular(run[1].affinity_key):
            self.result.popular_runs[upstream.record.upstream_id] += 1
        factor = self._load.known_work_factor if is_known else 1.0
        run_s = self._load.work_s * factor * self._rng.uniform(0.85, 1.15)
        self._runs[run[5], int(now / 2.0)][upstream.record.region] += 1
        self._schedule(now + run_s * upstream.compute_slowdown(now), self._complete, upstream, run)

    def _report_load(self, upstream, now):
        slowdown = upstream.compute_slowdown(now)
        return records.LoadReport(
            upstream.running, len(upstream.waiting), self._load.slots, slowdown
        )

    def _complete(self, now, upstream, run):
        report = self._report_load(upstream, now)
        upstream.running -= 1
        if upstream.waiting:
            self._start(now, upstream, upstream.waiting.popleft())
        fleet_view = run[0][0]
        delay_s = fleet_view.estimate_round_trip_s(upstream.record.region) / 2
        self._schedule(now + delay_s, self._receive_answer, run, report)

    def _receive_answer(self, now, run, report):
        (_, host_steering), query, choice, started_at, sent_at, _ = run
        host_steering.record_success(query, choice, report, now - sent_at, now)
        choice.upstream.record_end(True, now)
        latency_s = now - started_at
        self.result.latencies_s.append(latency_s)
        if self._is_popular(query.affinity_key):
            self.result.popular_in_time += latency_s <= self._load.target_s
        if latency_s <= self._load.target_s:
            self.result.in_time += 1
        elif latency_s <= self._load.timeout_s:
            self.result.late += 1
        else:
            self.result.failed += 1

    def _shed(self, now, upstream, run):
        (_, host_steering), _, choice, _, _, _ = run
        report = self._report_load(upstream, now)
        host_steering.record_shed(choice, report, now)
        choice.upstream.record_end(False, now)
        self.result.rejected += 1

    def _find_worst_shift(self):
        worst = 0.0
        for (region, window), counts in self._runs.items():
            following = self._runs.get((region, window + 1))
            if following is None or window < 1:
                continue
            before, after = sum(counts.values()), sum(following.values())
            if min(before, after) < 50:
                continue
            own_region = f"r{region}"
            worst = max(worst, abs(counts[own_region] / before - following[own_region] / after))
        return worst


def _make_steering(fleet_view, rng):
    return steering.Steering(fleet_view, BOUNDS.max_shift, rng)


def make_plain_steering(fleet_view, rng):
    """Returns a Steering with one copy of each object and a fixed number of remembered ones."""
    plain = _make_steering(fleet_view, rng)
    plain.object_copies = None
    return plain


def _make_upstream(upstream_id, region, slots):
    return records.Upstream(
        upstream_id=shared.UpstreamId(upstream_id),
        incarnation=1,
        service_id=SERVICE,
        address=("127.0.0.1", 1),
        zone=shared.ZoneId(region),
        region=shared.RegionId(region),
        slots=slots,
        state=records.UpstreamState.READY,
        cold_s=0.0,
    )


def _make_route(load):
    return records.Route(
        route_id=records.RouteId("read"),
        site="test",
        prefix="/",
        kind=shared.WorkKind.IDEMPOTENT,
        timeout_s=load.timeout_s,
        target_latency_s=load.target_s,
        priority=0,
        shares=(records.Share(SERVICE, 1.0),),
        max_attempts=2,
        is_sticky=True,
        regions=frozenset(),
    )


def main():
    """Prints one line per load pattern and seed."""
    parser = argparse.ArgumentParser(prog="python -m bench.fleet_model")
    parser.add_argument("--load", choices=sorted(LOADS), action="append")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--runs", type=int, default=3)
    parser.add_argument("--copies", choices=("on", "off", "both"), default="on")
    parser.add_argument("--hosts", type=int, help="hosts of each region instead of the load's")
    arguments = parser.parse_args()
    makers = {"on": (_make_steering,), "off": (make_plain_steering,)}
    makers["both"] = makers["on"] + makers["off"]
    for name in arguments.load or sorted(LOADS):
        load = LOADS[name]
        if arguments.hosts:
            load = dataclasses.replace(load, hosts=(arguments.hosts,) * len(load.hosts))
        for seed in range(arguments.seed, arguments.seed + arguments.runs):
            for make_steering in makers[arguments.copies]:
                result = Model(load, seed, make_steering).run()
                state = "off" if make_steering is make_plain_steering else "on"
                print(f"{name} seed={seed} copies={state} {_describe(result, load)}")


def _describe(result, load):
    """Returns the figures of a Result as text."""
    return (
        f"in_time={result.in_time_share:.3f}"
        f" late={result.late / result.total:.3f}"
        f" rejected={result.rejected / result.total:.3f}"
        f" unknown_runs={1.0 - result.known_share:.3f}"
        f" worst_shift={result.worst_shift:.3f}"
        f" peak={result.compute_peak_factor(sum(load.upstreams)):.2f}"
        f" p50={result.find_quantile_s(0.5):.3f} p99={result.find_quantile_s(0.99):.3f}"
        f" popular_in_time={result.popular_in_time_share:.3f}"
        f" popular_upstreams={len(result.popular_runs)} most_copies={result.most_copies}"
    )


if __name__ == "__main__":
    main()
