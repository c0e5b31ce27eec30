"""Draws the planned work of a run from a seed: overlapping series of stops, reloads and changes."""

import dataclasses
import math
import random

from bench.siterun.conditions import Condition

# The longest time between two hosts of a series, and between two changes of a storm.
MAX_STOP_GAP_S = 2.5
MAX_RELOAD_GAP_S = 1.0
MAX_DRAIN_GAP_S = 1.0
MAX_STORM_GAP_S = 0.4
STORM_CHANGES = (4, 10)
# Mean time between two series of one sort; short enough that series overlap.
STOP_PAUSE_S = 9.0
RELOAD_PAUSE_S = 6.0
CHANGE_PAUSE_S = 5.0
DRAIN_PAUSE_S = 12.0
MIN_HOST_SHARE = 0.45
# Share of the hosts of a broad series of reloads, the time over which it is spread, and the mean
# time between two of them.
BROAD_SHARE = 0.6
BROAD_SPREAD_S = 2.0
BROAD_PAUSE_S = 1.5
DRAIN_SHARE = 0.2
# Share of the stops that a further SIGTERM or SIGHUP follows, and the longest time to it.
SIGNALLED_SHARE = 0.3
MAX_SIGNAL_DELAY_S = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class StopHost:
    """Sends SIGTERM; the host restarts after its process has ended.

    Attributes:
      signals: Pairs of seconds from SIGTERM and the name of a further signal.
    """

    host: int
    signals: tuple[tuple[float, str], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ReloadHost:
    """Replaces the settings of a host unless ``variant`` is None, with or without SIGHUP."""

    host: int
    variant: int | None
    has_signal: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeRoutes:
    """Writes a version of the configuration; ``draw`` decides about its changes."""

    draw: int


@dataclasses.dataclass(frozen=True, slots=True)
class DrainUpstream:
    """Registers an upstream as draining; another one takes its place."""

    upstream: int


def make_schedule(seed, length_s, host_count, upstream_count, variant_count, played=()):
    """Draws the planned work of a run.

    Args:
      seed: Seed of the run.
      length_s: Length of the time in which it begins, in seconds.
      host_count: Number of hosts.
      upstream_count: Number of upstreams.
      variant_count: Number of variants of the settings.
      played: The conditions.Condition items that are played.
    Returns:
      A list of (start in seconds, event), ordered by start.
    """
    rng = random.Random(f"{seed} planned work")
    broad_count = math.ceil(BROAD_SHARE * host_count)
    broad_gap_s = BROAD_SPREAD_S / broad_count

    def draw_stops():
        count = rng.randint(int(MIN_HOST_SHARE * host_count), host_count)
        for host in rng.sample(range(host_count), count):
            signals = ()
            if rng.random() < SIGNALLED_SHARE:
                delay_s = round(rng.uniform(0.0, MAX_SIGNAL_DELAY_S), 3)
                signals = ((delay_s, rng.choice(("SIGTERM", "SIGHUP"))),)
            yield StopHost(host, signals)

    def draw_reloads():
        for host in rng.sample(range(host_count), rng.randint(1, host_count)):
            yield ReloadHost(host, rng.randrange(variant_count), rng.random() < 0.8)

    changed = 0

    def draw_broad_reloads():
        nonlocal changed
        variant = None
        if rng.random() < 0.5:
            variant = changed = (changed + rng.randrange(1, variant_count)) % variant_count
        for host in rng.sample(range(host_count), broad_count):
            yield ReloadHost(host, variant, True)

    def draw_changes():
        for _ in range(rng.randint(*STORM_CHANGES)):
            yield ChangeRoutes(rng.randrange(1_000_000))

    def draw_drains():
        count = max(1, int(DRAIN_SHARE * upstream_count))
        for index in rng.sample(range(upstream_count), count):
            yield DrainUpstream(index)

    first = (draw_stops, STOP_PAUSE_S, 0.0, MAX_STOP_GAP_S)
    if Condition.RELOADS in played:
        first = (draw_broad_reloads, BROAD_PAUSE_S, broad_gap_s, broad_gap_s)
    events = []
    for draw, pause_s, min_gap_s, max_gap_s in (
        first,
        (draw_reloads, RELOAD_PAUSE_S, 0.0, MAX_RELOAD_GAP_S),
        (draw_changes, CHANGE_PAUSE_S, 0.0, MAX_STORM_GAP_S),
        (draw_drains, DRAIN_PAUSE_S, 0.0, MAX_DRAIN_GAP_S),
    ):
        begin = rng.uniform(0.0, min(pause_s, length_s / 2))
        while begin < length_s:
            at = begin
            gap_s = rng.uniform(min_gap_s, max_gap_s)
            for event in draw():
                events.append((round(at, 3), event))
                at += gap_s * rng.uniform(0.5, 1.5)
            begin += rng.expovariate(1.0 / pause_s)
    return sorted(((at, event) for at, event in events if at < length_s), key=lambda item: item[0])
