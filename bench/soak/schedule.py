"""Draws the schedule of faults from a seed, before any process is started."""

import dataclasses
import enum
import math
import random

from bench.soak import configurations, hosts, records

# A host is ready about 1 s after its start; faults begin after all hosts have served requests.
FIRST_FAULT_S = 1.0
MIN_FAULT_DURATION_S = 0.4
MAX_FAULT_DURATION_S = 4.0
# Mean time between the starts of two faults; short enough that most of them overlap.
MEAN_PAUSE_S = 0.7
# Planned work: the number of changes in a storm and the mean time between them, and the mean time
# between single changes and between stops with further signals or soon after a start.
STORM_CHANGES = (4, 10)
STORM_PAUSE_S = 0.1
STORM_STOP_SHARE = 0.7
CHANGE_PAUSE_S = 2.5
ODD_STOP_PAUSE_S = 8.0
SIGNALLED_SHARE = 0.7
# Versions that edit routes: the mean time between them, and bursts in place of a single one.
EDIT_PAUSE_S = 0.35
BURST_SHARE = 0.15
BURST_EDITS = (3, 8)
BURST_PAUSE_S = 0.02
# Upstreams that crash and start again under their id: the mean time between them, how long they
# refuse connections and their entry is late, and the share with an older copy of the entry, whose
# length is fixed, or with an end of a host at about the same time.
REBOOT_PAUSE_S = 7.0
MAX_REFUSED_S = 3.0
MAX_ENTRY_DELAY_S = 2.0
COPY_SHARE = 0.25
MAX_COPY_DELAY_S = 1.0
COPY_LENGTH_S = 0.5
ACCOMPANIED_SHARE = 0.6
MAX_DISTANCE_S = 1.0
# Length of the phase in which every second host is spared, and the mean time between its faults.
PARTIAL_PHASE_S = 14.0
PARTIAL_PAUSE_S = 2.5
# Share of these phases that begin with a kill of all hosts.
ALL_KILLED_SHARE = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class KillHost:
    """Sends SIGKILL; the host restarts after a pause."""

    host: int


@dataclasses.dataclass(frozen=True, slots=True)
class StopHost:
    """Sends SIGTERM; the host restarts after its process has ended."""

    host: int


@dataclasses.dataclass(frozen=True, slots=True)
class PauseHost:
    """Sends SIGSTOP, and SIGCONT after ``length_s``."""

    host: int
    length_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ReloadHost:
    """Sends SIGHUP."""

    host: int


@dataclasses.dataclass(frozen=True, slots=True)
class DisturbStore:
    """Disturbs the connections of one host to the store; see proxies.Mode."""

    host: int
    mode: str
    length_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class FailStore:
    """Makes the store answer each call with 503, or drop its history if ``length_s`` is 0."""

    length_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class DisturbUpstream:
    """Disturbs the connections to one upstream; see proxies.Mode."""

    upstream: int
    mode: str
    length_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class SpoilAnswers:
    """Injects a worker.Fault into the answers of an upstream."""

    upstream: int
    fault: str
    length_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class CrashUpstream:
    """Resets all connections of an upstream, which returns as a new incarnation."""

    upstream: int
    length_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class DrainUpstream:
    """Registers an upstream as draining; it returns as a new incarnation."""

    upstream: int
    length_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeConfiguration:
    """Writes the next generation of the configuration."""


@dataclasses.dataclass(frozen=True, slots=True)
class EvacuateZone:
    """Evacuates a zone: its upstreams must get no requests for ``length_s``."""

    zone: int
    length_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class StateDemand:
    """Makes an upstream ask for something in its answers; see records.DemandKind."""

    upstream: int
    kind: str
    length_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class RestartUpstream:
    """Resets the connections of an upstream, which goes on cold under the same id and address."""

    upstream: int


class ColdStatement(enum.Enum):
    """What the entry of an upstream that started again says about its cold time."""

    REMAINING = "remaining"
    ZERO = "zero"
    MISSING = "missing"


class Removal(enum.Enum):
    """When the entry of the process before is deleted; NEVER if the new entry replaces it."""

    NEVER = "never"
    AT_CRASH = "at_crash"
    AT_RETURN = "at_return"


@dataclasses.dataclass(frozen=True, slots=True)
class RebootUpstream:
    """Ends the process of an upstream; another one starts under the same id and address, cold.

    Attributes:
      refused_s: Time during which connections are refused.
      entry_s: Time from which the new process listens until the store names it.
      statement: What the new entry says about the cold time.
      removal: When the former entry is deleted.
      copy_s: Time from the new entry until the former one is written again, for COPY_LENGTH_S;
        None if it isn't.
    """

    upstream: int
    refused_s: float
    entry_s: float
    statement: ColdStatement
    removal: Removal
    copy_s: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class StopWithSignals:
    """Stops a host with further signals: pairs of seconds from SIGTERM, also before, and a name."""

    host: int
    signals: tuple[tuple[float, str], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class StopAfterStart:
    """Stops and restarts a host, and stops it again ``delay_s`` after it has begun to listen."""

    host: int
    delay_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeSettings:
    """Replaces the settings file of a host, with or without SIGHUP; see hosts.CHANGED_BOUNDS."""

    host: int
    variant: int
    has_signal: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeRoutes:
    """Writes a generation with other routes and services; see configurations."""

    variant: int


@dataclasses.dataclass(frozen=True, slots=True)
class EditRoutes:
    """Writes a version with edited test routes; ``draw`` decides about the edits."""

    draw: int


def make_schedule(seed, length_s, host_count, upstream_count, zone_count):
    """Draws the faults of a run.

    Args:
      seed: Seed of the run.
      length_s: Length of the fault phase in seconds; the drawn durations end within it.
      host_count: Number of hosts.
      upstream_count: Number of upstreams.
      zone_count: Number of availability zones.
    Returns:
      A list of (start in seconds, event), ordered by start.
    """
    rng = random.Random(seed)
    schedule = []
    at = FIRST_FAULT_S
    while at < length_s - MIN_FAULT_DURATION_S:
        max_duration_s = min(MAX_FAULT_DURATION_S, length_s - at)
        duration_s = rng.uniform(MIN_FAULT_DURATION_S, max_duration_s)
        make = rng.choices(_MAKERS, [weight for weight, _ in _WEIGHTED_MAKERS])[0]
        event = make(rng, duration_s, host_count, upstream_count, zone_count)
        schedule.append((round(at, 3), event))
        at += rng.expovariate(1.0 / MEAN_PAUSE_S)
    schedule += _make_upstream_events(seed, length_s, upstream_count)
    schedule += _make_planned_events(seed, length_s, host_count)
    schedule += _make_route_edits(random.Random(f"{seed} routes"), 0.0, length_s)
    schedule += _make_reboots(seed, length_s, host_count, upstream_count, schedule)
    return sorted(schedule, key=_get_start)


def _make_upstream_events(seed, length_s, upstream_count):
    """Draws what upstreams ask for and how they restart, beside the other faults of a seed."""
    rng = random.Random(f"{seed} upstreams")
    events = []
    kinds = list(records.DemandKind)
    for kind, index in zip(kinds, rng.sample(range(upstream_count), len(kinds)), strict=True):
        at = round(rng.uniform(0.1, 0.2) * length_s, 3)
        event = StateDemand(index, kind.value, length_s - at)
        events.append((at, event))
    for share in (0.4, 0.7):
        at = round(rng.uniform(share, share + 0.2) * length_s, 3)
        events.append((at, RestartUpstream(rng.randrange(upstream_count))))
    return events


def _make_reboots(seed, length_s, host_count, upstream_count, schedule):
    """Draws upstreams that start again under their id, some beside the end of a host's process.

    What an upstream asks for in its answers ends with its process, so those that ask for something
    are left out.
    """
    rng = random.Random(f"{seed} reboots")
    asking = {event.upstream for _, event in schedule if isinstance(event, StateDemand)}
    quiet = [index for index in range(upstream_count) if index not in asking]
    events = []
    for _ in range(math.ceil(length_s / REBOOT_PAUSE_S)):
        at = rng.uniform(0.1, 0.9) * length_s
        event = RebootUpstream(
            rng.choice(quiet),
            round(rng.uniform(0.0, MAX_REFUSED_S), 3),
            round(rng.uniform(0.0, MAX_ENTRY_DELAY_S), 3),
            rng.choice(list(ColdStatement)),
            rng.choice((Removal.NEVER, *Removal)),
            round(rng.uniform(0.0, MAX_COPY_DELAY_S), 3) if rng.random() < COPY_SHARE else None,
        )
        events.append((at, event))
        if rng.random() < ACCOMPANIED_SHARE:
            near = at + rng.choice((0.0, event.refused_s))
            near += rng.uniform(-MAX_DISTANCE_S, MAX_DISTANCE_S)
            end = rng.choice((KillHost, StopHost))(rng.randrange(host_count))
            events.append((min(max(near, MIN_FAULT_DURATION_S), length_s), end))
    return [(round(at, 3), event) for at, event in events if at < length_s]


def _make_planned_events(seed, length_s, host_count):
    """Draws stops, reloads and changes of the configuration, in series and overlapping."""
    rng = random.Random(f"{seed} planned")
    events = []
    # Hosts that are stopped in turn.
    at = rng.uniform(0.1, 0.4) * length_s
    for host in rng.sample(range(host_count), rng.randint(2, host_count)):
        events.append((at, StopHost(host)))
        at += rng.uniform(0.2, 2.5)
    # A storm of changes, in most cases with a stop in its midst.
    at = storm_at = rng.uniform(0.2, 0.8) * length_s
    for _ in range(rng.randint(*STORM_CHANGES)):
        events.append((at, ChangeRoutes(rng.randrange(configurations.VARIANT_COUNT))))
        at += rng.expovariate(1.0 / STORM_PAUSE_S)
    if rng.random() < STORM_STOP_SHARE:
        events.append((rng.uniform(storm_at, at), StopHost(rng.randrange(host_count))))
    # Single changes and reloads during the whole run.
    for _ in range(max(2, int(length_s / CHANGE_PAUSE_S))):
        variant = rng.randrange(configurations.VARIANT_COUNT)
        events.append((rng.uniform(0.1, 1.0) * length_s, ChangeRoutes(variant)))
        host, variant = rng.randrange(host_count), rng.randrange(len(hosts.CHANGED_BOUNDS))
        event = ChangeSettings(host, variant, rng.random() < SIGNALLED_SHARE)
        events.append((rng.uniform(0.1, 1.0) * length_s, event))
    for _ in range(max(1, int(length_s / ODD_STOP_PAUSE_S))):
        signals = tuple(
            (round(delay_s * rng.uniform(0.1, 1.0), 3), name)
            for delay_s, name in rng.choice(_SIGNAL_SERIES)
        )
        event = StopWithSignals(rng.randrange(host_count), signals)
        events.append((rng.uniform(0.1, 1.0) * length_s, event))
        event = StopAfterStart(rng.randrange(host_count), round(rng.uniform(0.0, 0.5), 3))
        events.append((rng.uniform(0.1, 1.0) * length_s, event))
    return [(round(at, 3), event) for at, event in events if at < length_s]


def make_partial_phase(seed, begin_s, host_count):
    """Draws a phase after the others in which routes change and half of the hosts are in trouble.

    Some begin with a kill of all hosts.

    Args:
      seed: Seed of the run.
      begin_s: Start of the phase in seconds.
      host_count: Number of hosts; every second one is spared.
    Returns:
      A list like that of ``make_schedule``.
    """
    rng = random.Random(f"{seed} partial")
    end_s = begin_s + PARTIAL_PHASE_S
    events = _make_route_edits(rng, begin_s, end_s)
    at = begin_s
    if rng.random() < ALL_KILLED_SHARE:
        events += [(at, KillHost(host)) for host in range(host_count)]
    while (at := at + rng.expovariate(1.0 / PARTIAL_PAUSE_S)) < end_s - MIN_FAULT_DURATION_S:
        host = rng.randrange(0, host_count, 2)
        length_s = rng.uniform(MIN_FAULT_DURATION_S, min(MAX_FAULT_DURATION_S, end_s - at))
        event = rng.choice(
            (
                KillHost(host),
                StopHost(host),
                PauseHost(host, length_s),
                DisturbStore(host, rng.choice(_MODES), length_s),
            )
        )
        events.append((round(at, 3), event))
    return sorted(events, key=_get_start)


def _make_route_edits(rng, begin_s, end_s):
    """Draws versions of the routes: a series with a few each second, and bursts."""
    events = []
    at = begin_s + rng.expovariate(1.0 / EDIT_PAUSE_S)
    while at < end_s:
        burst_pause_s = 0.0
        for _ in range(rng.randint(*BURST_EDITS) if rng.random() < BURST_SHARE else 1):
            burst_pause_s += rng.expovariate(1.0 / BURST_PAUSE_S)
            events.append((at + burst_pause_s, EditRoutes(rng.randrange(1_000_000))))
        at += burst_pause_s + rng.expovariate(1.0 / EDIT_PAUSE_S)
    return [(round(at, 3), event) for at, event in events if at < end_s]


def _get_start(item):
    return item[0]


# Signals around a SIGTERM: the longest time from it in seconds, and the name.
_SIGNAL_SERIES = (
    ((-0.3, "SIGHUP"),),
    ((-0.02, "SIGHUP"),),
    ((0.02, "SIGHUP"), (2.5, "SIGHUP")),
    ((0.02, "SIGTERM"),),
    ((1.5, "SIGTERM"), (2.5, "SIGTERM")),
    ((-0.1, "SIGHUP"), (0.5, "SIGTERM"), (2.5, "SIGHUP")),
)
_MODES = ("delay", "silent", "one_way", "reset")
_FAULTS = (
    "shed",
    "reset_after_run",
    "late_extra",
    "late_refusal",
    "extra_bytes",
    "truncated",
    "truncated_head",
    "endless_head",
    "endless_body",
    "no_http",
    "error",
)

_WEIGHTED_MAKERS = (
    (2, lambda rng, duration_s, hosts, *_: KillHost(rng.randrange(hosts))),
    (3, lambda rng, duration_s, hosts, *_: StopHost(rng.randrange(hosts))),
    (2, lambda rng, duration_s, hosts, *_: PauseHost(rng.randrange(hosts), duration_s)),
    (1, lambda rng, duration_s, hosts, *_: ReloadHost(rng.randrange(hosts))),
    (
        3,
        lambda rng, duration_s, hosts, *_: DisturbStore(
            rng.randrange(hosts), rng.choice(_MODES), duration_s
        ),
    ),
    (1, lambda rng, duration_s, *_: FailStore(rng.choice((0.0, duration_s)))),
    (
        3,
        lambda rng, duration_s, hosts, upstreams, _: DisturbUpstream(
            rng.randrange(upstreams), rng.choice(_MODES), duration_s
        ),
    ),
    (
        3,
        lambda rng, duration_s, hosts, upstreams, _: SpoilAnswers(
            rng.randrange(upstreams), rng.choice(_FAULTS), duration_s
        ),
    ),
    (
        2,
        lambda rng, duration_s, hosts, upstreams, _: CrashUpstream(
            rng.randrange(upstreams), duration_s
        ),
    ),
    (
        2,
        lambda rng, duration_s, hosts, upstreams, _: DrainUpstream(
            rng.randrange(upstreams), duration_s
        ),
    ),
    (2, lambda rng, duration_s, *_: ChangeConfiguration()),
    (
        1,
        lambda rng, duration_s, hosts, upstreams, zones: EvacuateZone(
            rng.randrange(zones), duration_s
        ),
    ),
)
_MAKERS = [make for _, make in _WEIGHTED_MAKERS]
