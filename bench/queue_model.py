"""Discrete-event queueing model: jobs, upstreams whose speed changes, and network delays.

The model runs in virtual time. A policy assigns jobs to upstreams: ``bench.baselines`` has simple
policies for comparison, and ``bench.steered`` calls the decision modules of the product.
"""

import dataclasses
import functools
import heapq
import itertools
import math
import random


@dataclasses.dataclass(slots=True)
class Job:
    """One request; ``work_s`` is its service time in seconds at full speed."""

    job_id: int
    arrival: float
    zone: str
    work_s: float
    is_long: bool = False
    service: str = ""
    finished: float | None = None
    refused: float | None = None
    reason: str = ""
    verdict: str = ""
    upstream: str = ""
    runs: int = 0
    travel_s: float = 0.0

    @property
    def latency_s(self):
        """Seconds from arrival to the response."""
        return self.finished - self.arrival


@dataclasses.dataclass(frozen=True, slots=True)
class Site:
    """An upstream of the modeled deployment."""

    upstream: str
    zone: str
    region: str
    slots: int
    service: str = ""


@dataclasses.dataclass(frozen=True)
class Place:
    """The modeled deployment: its upstreams and one-way network delays in seconds."""

    deployment: str
    sites: tuple[Site, ...]
    zone_delay_s: float
    region_delay_s: float

    @property
    def slots(self):
        """Total slots of all upstreams."""
        return sum(site.slots for site in self.sites)

    @functools.cached_property
    def regions_by_zone(self):
        """Region of each zone."""
        return {site.zone: site.region for site in self.sites}

    def compute_delay(self, source_zone, target_zone):
        """Returns the one-way delay between two zones in seconds."""
        if source_zone == target_zone:
            return 0.0
        regions = self.regions_by_zone
        if regions[source_zone] == regions[target_zone]:
            return self.zone_delay_s
        return self.region_delay_s

    def select_service(self, service):
        """Returns a copy of the Place with the upstreams of one service only."""
        sites = tuple(site for site in self.sites if site.service == service)
        return dataclasses.replace(self, sites=sites)


class Simulator:
    """Runs scheduled calls in order of virtual time, those of equal time in order of scheduling."""

    def __init__(self):
        self.now = 0.0
        self._calls = []
        self._sequence = itertools.count()

    def schedule(self, delay_s, function, *arguments):
        """Calls ``function(*arguments)`` after ``delay_s`` seconds of virtual time."""
        heapq.heappush(self._calls, (self.now + delay_s, next(self._sequence), function, arguments))

    def run(self, end):
        """Runs all calls that are due up to virtual time ``end``."""
        while self._calls and self._calls[0][0] <= end:
            self.now, _, function, arguments = heapq.heappop(self._calls)
            function(*arguments)


class ModelUpstream:
    """An upstream that runs up to ``slots`` jobs at once and queues the rest in order of arrival.

    Attributes:
      peak: Maximum number of jobs at the upstream at one time, running or waiting.
    """

    def __init__(self, simulator, site):
        self.site = site
        self.speed = 1.0
        self.peak = 0
        self._simulator = simulator
        self._running = {}
        self._waiting = []
        self._tokens = itertools.count(1)

    @property
    def count(self):
        """Number of jobs at the upstream, running or waiting."""
        return len(self._running) + len(self._waiting)

    def submit(self, work_s, on_end):
        """Starts a job, or queues it if no slot is free.

        Args:
          work_s: Service time at full speed in seconds.
          on_end: Called without arguments when the job has finished.
        Returns:
          A token for ``cancel``.
        """
        token = next(self._tokens)
        self._waiting.append((token, work_s, on_end))
        self.peak = max(self.peak, self.count)
        self._start_waiting()
        return token

    def cancel(self, token):
        """Removes a job; its ``on_end`` is not called.

        Returns:
          True if the job was running or waiting.
        """
        count = self.count
        self._running.pop(token, None)
        self._waiting = [item for item in self._waiting if item[0] != token]
        self._start_waiting()
        return self.count < count

    def cancel_all(self):
        """Removes all jobs, as if the upstream had crashed; no ``on_end`` is called."""
        self._running = {}
        self._waiting = []

    def set_speed(self, speed):
        """Sets the speed of all jobs, running ones included; 0.1 is ten times slower."""
        for run in self._running.values():
            self._update_remaining_work(run)
        self.speed = speed
        for token, run in self._running.items():
            self._schedule_end(token, run)

    def _start_waiting(self):
        while self._waiting and len(self._running) < self.site.slots:
            token, work_s, on_end = self._waiting.pop(0)
            run = {"left": work_s, "since": self._simulator.now, "on_end": on_end, "epoch": 0}
            self._running[token] = run
            self._schedule_end(token, run)

    def _update_remaining_work(self, run):
        run["left"] -= (self._simulator.now - run["since"]) * self.speed
        run["since"] = self._simulator.now
        run["epoch"] += 1

    def _schedule_end(self, token, run):
        delay_s = max(0.0, run["left"]) / self.speed
        self._simulator.schedule(delay_s, self._finish_run, token, run, run["epoch"])

    def _finish_run(self, token, run, epoch):
        if self._running.get(token) is not run or run["epoch"] != epoch:
            return
        del self._running[token]
        self._start_waiting()
        run["on_end"]()


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """The offered load of a run.

    ``load`` is the average share of busy slots; a fraction ``long_share`` of the jobs needs
    ``long_factor`` times the mean service time.
    """

    load: float
    count: int
    mean_s: float = 0.05
    long_share: float = 0.0
    long_factor: float = 50.0
    seed: int = 1
    start_s: float = 0.0


def make_jobs(place, load):
    """Generates jobs of one service with exponential service times and Poisson arrivals.

    Arrivals are spread over the zones in proportion to their slots and begin after ``start_s``.

    Args:
      place: The deployment.
      load: The offered load.
    Returns:
      A list of jobs in order of arrival.
    """
    rng = random.Random(load.seed)
    zones = [site.zone for site in place.sites]
    weights = [site.slots for site in place.sites]
    mean_work_s = load.mean_s * (1 + load.long_share * (load.long_factor - 1))
    rate = place.slots * load.load / mean_work_s
    now = load.start_s
    service = place.sites[0].service
    jobs = []
    for job_id in range(load.count):
        now += rng.expovariate(rate)
        is_long = rng.random() < load.long_share
        work_s = rng.expovariate(1 / load.mean_s) * (load.long_factor if is_long else 1)
        zone = rng.choices(zones, weights)[0]
        jobs.append(Job(job_id, now, zone, work_s, is_long, service))
    return jobs


def merge_jobs(*lists):
    """Returns copies of the jobs of several services in order of arrival, renumbered from 0."""
    merged = heapq.merge(*lists, key=lambda job: job.arrival)
    return [dataclasses.replace(job, job_id=index) for index, job in enumerate(merged)]


def slow_in_turns(simulator, upstreams, end, count=3, factor=0.1, turn_s=2.0, seed=7):
    """Slows ``count`` random upstreams at a time and draws new ones after each turn.

    Args:
      simulator: The Simulator.
      upstreams: ModelUpstream objects to choose from.
      end: Virtual time in seconds after which all run at full speed.
      count: Number of upstreams that are slow at one time.
      factor: Their speed relative to full speed.
      turn_s: Length of a turn in seconds.
      seed: Seed of the choice; with the same seed all policies see the same slow upstreams.
    """
    rng = random.Random(seed)

    def start_turn():
        for upstream in upstreams:
            upstream.set_speed(1.0)
        if simulator.now >= end:
            return
        for upstream in rng.sample(upstreams, count):
            upstream.set_speed(factor)
        simulator.schedule(turn_s, start_turn)

    simulator.schedule(0.0, start_turn)


def run_model(place, jobs, make_policy, disturb=None):
    """Runs jobs under a policy until 300 s after the last arrival.

    Args:
      place: The deployment.
      jobs: Jobs from ``make_jobs``.
      make_policy: Function of (simulator, place, upstreams) that returns an object with
        ``submit(job)``; it sets ``finished`` or ``refused`` of each job.
      disturb: Function of (simulator, upstreams, end) that schedules disturbances, or None.
    Returns:
      The policy and the upstreams after the run.
    """
    simulator = Simulator()
    upstreams = [ModelUpstream(simulator, site) for site in place.sites]
    policy = make_policy(simulator, place, upstreams)
    end = jobs[-1].arrival
    if disturb:
        disturb(simulator, upstreams, end)
    for job in jobs:
        simulator.schedule(job.arrival, policy.submit, job)
    simulator.run(end + 300.0)
    return policy, upstreams


def compute_percentile(values, percent):
    """Returns the nearest-rank percentile of ``values``.

    Raises:
      ValueError: If there are no values.
    """
    if not values:
        raise ValueError("a percentile needs at least one value")
    ordered = sorted(values)
    # Percentages such as 99.9 have no exact binary form; without the tolerance of 1e-9 the rounding
    # error could raise an exact rank to the next one.
    rank = math.ceil(len(ordered) * percent / 100 - 1e-9) - 1
    return ordered[min(len(ordered) - 1, max(0, rank))]
