"""Seeded series of faults: what happens when, before anything is started."""

import dataclasses
import random

# A host is ready about 1 s after its start; faults begin once all hosts have served requests.
FIRST_FAULT_S = 1.0
MIN_FAULT_S = 0.4
MAX_FAULT_S = 4.0
# Pause between the starts of two faults: most of them overlap.
MEAN_PAUSE_S = 0.7


@dataclasses.dataclass(frozen=True, slots=True)
class KillHost:
    """SIGKILL; the host starts again after a pause."""

    host: int


@dataclasses.dataclass(frozen=True, slots=True)
class StopHost:
    """SIGTERM; the host starts again after it has ended."""

    host: int


@dataclasses.dataclass(frozen=True, slots=True)
class PauseHost:
    """SIGSTOP, and SIGCONT after ``length_s``."""

    host: int
    length_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ReloadHost:
    """SIGHUP."""

    host: int


@dataclasses.dataclass(frozen=True, slots=True)
class DisturbStore:
    """The path of one host to the store is disturbed; see proxies.Mode."""

    host: int
    mode: str
    length_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class FailStore:
    """The store answers each call with 503, or loses its history if ``length_s`` is 0."""

    length_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class DisturbUpstream:
    """The path to one upstream is disturbed; see proxies.Mode."""

    upstream: int
    mode: str
    length_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class SpoilAnswers:
    """An upstream misbehaves as worker.Fault says."""

    upstream: int
    fault: str
    length_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class CrashUpstream:
    """An upstream breaks all connections and is back as a new incarnation."""

    upstream: int
    length_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class DrainUpstream:
    """An upstream says that it drains, and is back as a new incarnation."""

    upstream: int
    length_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeConfiguration:
    """The operators write the next configuration."""


@dataclasses.dataclass(frozen=True, slots=True)
class EvacuateZone:
    """A zone's upstreams are to get nothing for ``length_s``."""

    zone: int
    length_s: float


def make_schedule(seed, length_s, host_count, upstream_count, zone_count):
    """Makes the faults of a run.

    Args:
      seed: Seed of the run.
      length_s: Length of the run in seconds; all faults have ended by then.
      host_count: Number of hosts.
      upstream_count: Number of upstreams.
      zone_count: Number of availability zones.
    Returns:
      A list of pairs of start in seconds and event, in the order of their starts.
    """
    rng = random.Random(seed)
    schedule = []
    at = FIRST_FAULT_S
    while at < length_s - MIN_FAULT_S:
        longest = min(MAX_FAULT_S, length_s - at)
        span = rng.uniform(MIN_FAULT_S, longest)
        make = rng.choices(_MAKERS, [weight for weight, _ in _WEIGHTS])[0]
        event = make(rng, span, host_count, upstream_count, zone_count)
        schedule.append((round(at, 3), event))
        at += rng.expovariate(1.0 / MEAN_PAUSE_S)
    return schedule


_MODES = ("delay", "silent", "one_way", "reset")
_FAULTS = ("shed", "reset_after_run", "late_extra", "extra_bytes", "truncated", "no_http", "error")

_WEIGHTS = (
    (2, lambda rng, span, hosts, *_: KillHost(rng.randrange(hosts))),
    (3, lambda rng, span, hosts, *_: StopHost(rng.randrange(hosts))),
    (2, lambda rng, span, hosts, *_: PauseHost(rng.randrange(hosts), span)),
    (1, lambda rng, span, hosts, *_: ReloadHost(rng.randrange(hosts))),
    (3, lambda rng, span, hosts, *_: DisturbStore(rng.randrange(hosts), rng.choice(_MODES), span)),
    (1, lambda rng, span, *_: FailStore(rng.choice((0.0, span)))),
    (
        3,
        lambda rng, span, hosts, ups, _: DisturbUpstream(
            rng.randrange(ups), rng.choice(_MODES), span
        ),
    ),
    (
        3,
        lambda rng, span, hosts, ups, _: SpoilAnswers(
            rng.randrange(ups), rng.choice(_FAULTS), span
        ),
    ),
    (2, lambda rng, span, hosts, ups, _: CrashUpstream(rng.randrange(ups), span)),
    (2, lambda rng, span, hosts, ups, _: DrainUpstream(rng.randrange(ups), span)),
    (2, lambda rng, span, *_: ChangeConfiguration()),
    (1, lambda rng, span, hosts, ups, zones: EvacuateZone(rng.randrange(zones), span)),
)
_MAKERS = [make for _, make in _WEIGHTS]
