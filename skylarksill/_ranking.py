"""Ranking of entry hosts for one client and service."""

import dataclasses
import enum
import hashlib
import math

from skylarksill import _blocktable, _steering, records

BUCKETS = 10_000
ROTATIONS = 12
MAX_RANKED_HOSTS = 8
MAX_HOSTS_PER_ZONE = 3

_IPV4_HASHED_BYTES = 3
_IPV6_HASHED_BYTES = 6


class Cause(enum.Enum):
    """Why a client is sent to its first host."""

    NEAREST = "nearest"
    UNKNOWN_BLOCK = "unknown_block"
    SHIFT = "shift"
    SPILL = "spill"
    LOST = "region_lost"
    CAP = "shift_cap"


class UnknownServiceError(records.SkylarksillError):
    """The configuration does not name the service."""


@dataclasses.dataclass(frozen=True, slots=True)
class Query:
    """A look-up; ``asked_zone`` is the zone of the host that was asked."""

    service: records.ServiceId
    client: str
    asked_zone: records.ZoneId


@dataclasses.dataclass(frozen=True, slots=True)
class TicketHosts:
    """Home and arbiter of a new ticket with their incarnations; the arbiter may be None."""

    home: records.HostId
    home_incarnation: records.Incarnation
    arbiter: records.HostId | None
    arbiter_incarnation: records.Incarnation | None


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class Ranking:
    """Entry hosts in the order in which the client tries them; empty if all are leaving.

    Equal look-ups get the same object until the view changes, so that callers may key caches
    by it. ``ticket_hosts`` is None if no dispatcher of the service is alive.
    """

    hosts: tuple[records.Host, ...]
    home_region: records.RegionId
    zone: records.ZoneId
    target: records.RegionId
    cause: Cause
    ticket_hosts: TicketHosts | None


def rank_hosts(table, query, view, now):
    """Ranks the entry hosts for a client.

    Args:
      table: The RoutingTable in force.
      query: The Query.
      view: The SteeringView; the count of shifted answers is changed.
      now: Monotonic time in seconds.
    Returns:
      A Ranking.
    Raises:
      UnknownServiceError: If the service is unknown.
      ValueError: If the client is no IP address.
    """
    if query.service not in table.services:
        raise UnknownServiceError(f"service {query.service!r} does not exist")
    packed = _blocktable.pack_address(query.client)
    zone = table.blocks.find_packed(packed)
    cause = Cause.NEAREST if zone else Cause.UNKNOWN_BLOCK
    zone = zone or query.asked_zone
    network = _hash_network(packed)
    target, cause = _choose_region(table, query.service, zone, network, cause, view, now)
    key = (query.service, zone, target, cause, network // BUCKETS % ROTATIONS)
    ranking = view.rankings.get(key)
    if ranking is None:
        ranking = view.rankings[key] = _make_ranking(table, view, *key)
    return ranking


def _hash_network(packed):
    size = _IPV4_HASHED_BYTES if len(packed) == 4 else _IPV6_HASHED_BYTES
    return int.from_bytes(hashlib.blake2b(packed[:size], digest_size=8).digest(), "big")


def _choose_region(table, service, zone, network, cause, view, now):
    """Returns the region that the client is sent to and the cause.

    Planned shifts take networks from the low end of the buckets and spill from the high end, so
    that each client's region changes as rarely as the shares allow.
    """
    home = table.regions_by_zone[zone]
    bucket = network % BUCKETS
    target = _find_shift(table, service, home, bucket, view)
    if target is not None:
        return (target, Cause.SHIFT) if view.take_shift(target, now) else (home, Cause.CAP)
    share = view.shares.get((service, home))
    if share is None or bucket < BUCKETS * (1 - share.value):
        return home, cause
    targets = _order_targets(table, service, home, network, view)
    spill_cause = Cause.LOST if share.is_lost else Cause.SPILL
    for target in targets:
        if view.take_shift(target, now):
            return target, spill_cause
    if share.is_lost and targets:
        return targets[0], Cause.CAP
    return home, Cause.CAP if targets else cause


def _find_shift(table, service, home, bucket, view):
    upper = 0
    for shift in table.shifts.get(home, ()):
        upper += shift.percent * BUCKETS // 100
        if bucket < upper:
            is_usable = not view.find_share(service, shift.target).is_lost
            return shift.target if is_usable else None
    return None


def _order_targets(table, service, home, network, view):
    """Orders other regions by weighted rendezvous hashing over their headroom.

    A change of one weight moves only clients to or from that region.
    """
    scores = []
    for region in table.region_orders[home][1:]:
        weight = view.find_share(service, region).weight
        if weight > 0:
            scores.append((_score_region(region, network) / weight, region))
    return [region for _, region in sorted(scores)]


def _score_region(region, network):
    text = f"{region}/{network}".encode()
    value = int.from_bytes(hashlib.blake2b(text, digest_size=6).digest(), "big")
    return -math.log((value + 1) / (1 << 48))


def _make_ranking(table, view, service, zone, target, cause, rotation):
    home = table.regions_by_zone[zone]
    zones = _order_zones(table, zone, home, target, rotation)
    hosts = [host for name in zones for host in _list_zone(table, view, name, rotation)]
    graded = sorted(
        (host for host in hosts if view.grades[host.host_id] is not _steering.HostGrade.LEAVING),
        key=lambda host: view.grades[host.host_id],
    )
    return Ranking(
        tuple(graded[:MAX_RANKED_HOSTS]),
        home,
        zone,
        target,
        cause,
        _choose_ticket_hosts(table, view, service, zones, rotation),
    )


def _order_zones(table, zone, home, target, rotation):
    regions = list(table.region_orders[home])
    if target != home:
        regions.remove(target)
        regions.insert(0, target)
    zones = []
    for region in regions:
        if region == home:
            zones.extend(table.zone_orders[zone])
        else:
            zones.extend(_rotate(table.zones_by_region.get(region, ()), rotation))
    return zones


def _list_zone(table, view, zone, rotation):
    hosts = _rotate(table.hosts_by_zone.get(zone, ()), rotation)
    return sorted(hosts, key=lambda host: view.grades[host.host_id])[:MAX_HOSTS_PER_ZONE]


def choose_ticket_hosts(table, view, service, zone, rotation):
    """Chooses home and arbiter of a ticket for a client of a zone.

    Args:
      table: The RoutingTable in force.
      view: The SteeringView.
      service: The service's id.
      zone: Zone of the client.
      rotation: Number that spreads tickets over hosts that are equally near.
    Returns:
      TicketHosts, or None if no dispatcher of the service is alive.
    """
    home = table.regions_by_zone[zone]
    zones = _order_zones(table, zone, home, home, rotation)
    return _choose_ticket_hosts(table, view, service, zones, rotation)


def _choose_ticket_hosts(table, view, service, zones, rotation):
    for zone in zones:
        owners = [
            owner.host_id
            for owner in table.owners.get((service, zone), ())
            if owner.host_id in view.dispatchers
        ]
        if owners:
            home = _rotate(owners, rotation)[0]
            arbiter = _choose_arbiter(table, view, zone, home, rotation)
            incarnations = view.dispatchers
            return TicketHosts(home, incarnations[home], arbiter, incarnations.get(arbiter))
    return None


def _choose_arbiter(table, view, zone, home, rotation):
    others = [
        host.host_id
        for other in table.zone_orders[zone][1:]
        for host in table.hosts_by_zone.get(other, ())
        if host.host_id in view.dispatchers and host.host_id != home
    ]
    return _rotate(others, rotation)[0] if others else None


def _rotate(items, rotation):
    if not items:
        return items
    start = rotation % len(items)
    return items[start:] + items[:start]
