"""Decides which hosts of a region lookups name. Performs no I/O.

Handles regions of many hosts of unequal size, whose load doubles within a second, and the loss of a
host or of a whole zone. With few named hosts each sees enough requests to know its upstreams and to
reuse its connections, so large hosts are preferred, and small regions are named whole.

Clients choose at random among the hosts of an answer, so each named host gets an equal part of the
load. What n hosts carry is therefore n times what the smallest of them carries.
"""

import collections
import dataclasses
import functools
import hashlib
import math
import statistics

from skylarksill import records as shared
from skylarksill.host import hostload, records

# Regions of at most this many serving hosts are named whole.
MAX_WHOLE_REGION = 36
# A zone that loses a named host still has one until the next lookups.
MIN_NAMED_PER_ZONE = 2
# Part of its capacity that a named host may use, so that it carries a load that doubles.
MAX_USE = 0.5
# Part of the capacity of a region that is named while no host reports its load.
UNKNOWN_LOAD_SHARE = 0.5
# Load falls for some seconds at a time in a fleet with uneven demand.
REMOVE_AFTER_S = 10.0
# Time between two removals. Most clients have a new answer after it, as an answer lasts for 2 s.
REMOVE_INTERVAL_S = 2.0
# A host at its limits may be asked for more than it carries; the rest does not show in its report.
SATURATED_SHARE = 0.85
SATURATED_FACTOR = 1.5


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A serving host that may be named.

    Attributes:
      capacity: The records.HostCapacity, or None if it is not known.
      load: The records.HostLoad, or None if it is not known.
    """

    host_id: shared.HostId
    zone: shared.ZoneId
    capacity: records.HostCapacity | None
    load: records.HostLoad | None


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """Hosts that carry a region.

    Attributes:
      host_ids: Names of the hosts, those that were chosen first in front.
      expected_use: Largest share of a capacity that a named host uses if each gets an equal part of
        the load; None while the load is unknown.
    """

    host_ids: tuple[shared.HostId, ...]
    expected_use: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class _Sized:
    """A candidate with its capacities by resource, and the least of them against the mean host."""

    candidate: Candidate
    capacities: tuple[float, ...]
    size: float
    order: tuple


def choose(candidates):
    """Chooses the hosts that carry a region; equal for equal candidates in any order.

    Args:
      candidates: The Candidates of a region.
    Returns:
      A Choice.
    """
    if not candidates:
        return Choice((), None)
    sized = _size_candidates(candidates)
    load = _sum_load(sized)
    if len(sized) <= MAX_WHOLE_REGION:
        return Choice(_list_ids(sized), _compute_use(sized, load))
    remaining = collections.defaultdict(collections.deque)
    for host in sized:
        remaining[host.candidate.zone].append(host)
    zones = sorted(remaining)
    named = [
        remaining[zone].popleft()
        for _ in range(MIN_NAMED_PER_ZONE)
        for zone in zones
        if remaining[zone]
    ]
    if load is None:
        named = _add_half(named, remaining, sum(host.size for host in sized))
    else:
        named = _add_until_enough(named, remaining, load)
    return Choice(_list_ids(named), _compute_use(named, load))


def _list_ids(hosts):
    return tuple(host.candidate.host_id for host in hosts)


def _size_candidates(candidates):
    """Returns the _Sized candidates, the largest first and equal ones by hash."""
    known = [candidate.capacity for candidate in candidates if candidate.capacity is not None]
    rows = [_list_capacities(capacity) for capacity in known]
    means = tuple(map(statistics.fmean, zip(*rows, strict=True))) if rows else (1.0,) * 4
    mean_cores = statistics.fmean(capacity.cores for capacity in known) if known else 1.0
    sized = []
    for candidate in candidates:
        capacity = candidate.capacity
        capacities = _list_capacities(capacity) if capacity is not None else means
        size = min(
            amount / mean if mean else 1.0 for amount, mean in zip(capacities, means, strict=True)
        )
        cores = capacity.cores if capacity is not None else mean_cores
        order = (-size, -cores, _hash_name(candidate.host_id))
        sized.append(_Sized(candidate, capacities, size, order))
    return sorted(sized, key=lambda host: host.order)


def _list_capacities(capacity):
    return (
        min(capacity.cores, hostload.MAX_PROCESS_CORES),
        capacity.link_bytes_per_s,
        float(capacity.memory_bytes),
        float(capacity.descriptors),
    )


def _sum_load(sized):
    """Returns the load of all hosts by resource, or None if none has reported any.

    Hosts that have not reported a resource count as the mean of the others.
    """
    sums = []
    is_known = False
    for index, get_share in enumerate(_SHARE_GETTERS):
        amounts = [
            host.capacities[index] * _estimate_demand(get_share(host.candidate.load))
            for host in sized
            if host.candidate.load is not None and get_share(host.candidate.load) is not None
        ]
        is_known = is_known or bool(amounts)
        sums.append(statistics.fmean(amounts) * len(sized) if amounts else 0.0)
    return tuple(sums) if is_known else None


def _estimate_demand(share):
    return share * SATURATED_FACTOR if share >= SATURATED_SHARE else share


_SHARE_GETTERS = (
    lambda load: load.processor_share,
    lambda load: load.link_share,
    lambda load: load.memory_share,
    lambda load: load.descriptor_share,
)


def _compute_use(hosts, load):
    """Returns the largest use of a host if each gets an equal part of the load, or None."""
    if load is None:
        return None
    room = _compute_room(len(hosts), _merge_least([host.capacities for host in hosts]), load)
    return MAX_USE / room if room else math.inf


def _merge_least(capacities):
    return tuple(map(min, zip(*capacities, strict=True)))


def _compute_room(count, least, load):
    """Returns how often hosts carry a load at MAX_USE.

    Args:
      count: Number of hosts.
      least: Least of their capacities by resource.
      load: Load by resource.
    """
    if count <= 0:
        return 0.0
    return min(
        count * MAX_USE * amount / needed if needed else math.inf
        for amount, needed in zip(least, load, strict=True)
    )


class _NamedZones:
    """Number and least capacities of the named hosts of each zone."""

    def __init__(self, named):
        self._zones = {}
        for host in named:
            self.add(host)

    def add(self, host):
        """Adds a named host."""
        self._zones[host.candidate.zone] = self._extend(host)

    def _extend(self, host):
        count, least = self._zones.get(host.candidate.zone, (0, host.capacities))
        return count + 1, tuple(map(min, least, host.capacities))

    def count_in(self, zone):
        """Returns the number of named hosts of a zone."""
        return self._zones.get(zone, (0, None))[0]

    def rate(self, load, added=None):
        """Returns how well the named hosts, and one more if given, carry a load.

        Returns:
          The room of all up to 1, and the room after the worst loss of a host or zone up to 1.
          Larger pairs are better, and (1, 1) is enough.
        """
        zones = dict(self._zones)
        if added is not None:
            zones[added.candidate.zone] = self._extend(added)
        count = sum(number for number, _ in zones.values())
        least = _merge_least([found for _, found in zones.values()])
        worst = _compute_room(count - 1, least, load)
        if len(zones) > 1:
            for lost, (number, _) in zones.items():
                rest = [found for zone, (_, found) in zones.items() if zone != lost]
                room = _compute_room(count - number, _merge_least(rest), load)
                worst = min(worst, room)
        return min(1.0, _compute_room(count, least, load)), min(1.0, worst)


def _add_half(named, remaining, size):
    """Adds the largest hosts until the named ones have their share of the size of the region."""
    named = list(named)
    rest = sorted(
        (host for hosts in remaining.values() for host in hosts), key=lambda host: host.order
    )
    named_size = sum(host.size for host in named)
    for host in rest:
        if named_size >= UNKNOWN_LOAD_SHARE * size:
            break
        named.append(host)
        named_size += host.size
    return named


def _add_until_enough(named, remaining, load):
    """Adds hosts until the named ones carry the load, also after the worst loss of a host or zone.

    If no number of hosts is enough, the best one is used.
    """
    named = list(named)
    zones = _NamedZones(named)
    best, best_count = zones.rate(load), len(named)
    while best < (1.0, 1.0) and any(remaining.values()):
        heads = [hosts[0] for hosts in remaining.values() if hosts]
        rated = [
            (zones.rate(load, host), -zones.count_in(host.candidate.zone), host) for host in heads
        ]
        most = max((rating, count) for rating, count, _ in rated)
        _, _, added = min(
            (entry for entry in rated if entry[:2] == most), key=lambda entry: entry[2].order
        )
        remaining[added.candidate.zone].popleft()
        zones.add(added)
        named.append(added)
        if most[0] > best:
            best, best_count = most[0], len(named)
    return named[:best_count]


@functools.lru_cache(maxsize=8_192)
def _hash_name(host_id):
    return hashlib.blake2b(host_id.encode(), digest_size=8).digest()


class NamedHosts:
    """The hosts that lookups name for a region: added at once, and removed slowly."""

    def __init__(self):
        self.choice = Choice((), None)
        self._lower_since = None

    def update(self, candidates, now):
        """Follows the serving hosts of the region and their load.

        Args:
          candidates: The Candidates of the region.
          now: Monotonic seconds.
        Returns:
          The Choice, with hosts that are about to be removed at its end.
        """
        wanted = choose(candidates)
        serving = {candidate.host_id for candidate in candidates}
        chosen = set(wanted.host_ids)
        surplus = [
            host_id
            for host_id in self.choice.host_ids
            if host_id in serving and host_id not in chosen
        ]
        if not surplus:
            self._lower_since = None
        elif self._lower_since is None:
            self._lower_since = now
        elif now - self._lower_since >= REMOVE_AFTER_S:
            surplus.pop()
            self._lower_since = now - REMOVE_AFTER_S + REMOVE_INTERVAL_S
        self.choice = dataclasses.replace(wanted, host_ids=(*wanted.host_ids, *surplus))
        return self.choice
