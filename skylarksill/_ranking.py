"""Ranking of entry hosts for one client and service."""

import dataclasses
import enum
import hashlib
import math

from skylarksill import _blocktable, _steering, records

BUCKET_COUNT = 10_000
# Number of different orders of equally near hosts, among which client networks are distributed.
ROTATION_COUNT = 12
MAX_RANKED_HOSTS = 8
MAX_HOSTS_PER_ZONE = 3

# Clients are hashed by network, so that all clients of a /24 or /48 get the same region.
_IPV4_HASHED_BYTES = 3
_IPV6_HASHED_BYTES = 6


class Cause(enum.Enum):
    """Reason for the choice of a client's target region."""

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
    """A lookup; ``lookup_host_zone`` is the zone of the host that received it.

    That zone is used for clients that no block contains.
    """

    service: records.ServiceId
    client: str
    lookup_host_zone: records.ZoneId


@dataclasses.dataclass(frozen=True, slots=True)
class TicketHosts:
    """Home and arbiter host of a new ticket with the incarnations of their dispatchers.

    The arbiter and its incarnation are None if no host qualifies.
    """

    home: records.HostId
    home_incarnation: records.Incarnation
    arbiter: records.HostId | None
    arbiter_incarnation: records.Incarnation | None


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class Ranking:
    """Entry hosts in the order in which the client tries them.

    ``hosts`` is empty if all hosts are leaving. Equal lookups get the same object until the view
    changes, so callers may use it as a cache key. ``ticket_hosts`` is None if no dispatcher of the
    service is alive.
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
      view: The SteeringView; its count of clients sent to other regions is updated.
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
    zone = zone or query.lookup_host_zone
    network_hash = _hash_network(packed)
    target, cause = _choose_target_region(
        table, query.service, zone, network_hash, cause, view, now
    )
    key = (query.service, zone, target, cause, network_hash // BUCKET_COUNT % ROTATION_COUNT)
    ranking = view.rankings.get(key)
    if ranking is None:
        ranking = view.rankings[key] = _make_ranking(table, view, *key)
    return ranking


def _hash_network(packed):
    size = _IPV4_HASHED_BYTES if len(packed) == 4 else _IPV6_HASHED_BYTES
    return int.from_bytes(hashlib.blake2b(packed[:size], digest_size=8).digest(), "big")


def _choose_target_region(table, service, zone, network_hash, cause, view, now):
    """Returns the target region of a client and the Cause.

    Each client network is hashed to a bucket. Planned shifts move buckets from the low end of the
    range and spill moves buckets from the high end, so a change of a share moves as few clients as
    possible.
    """
    home_region = table.regions_by_zone[zone]
    bucket = network_hash % BUCKET_COUNT
    target = _find_shift_target(table, service, home_region, bucket, view)
    if target is not None:
        return (target, Cause.SHIFT) if view.admit_shift(target, now) else (home_region, Cause.CAP)
    share = view.shares.get((service, home_region))
    if share is None or bucket < BUCKET_COUNT * (1 - share.value):
        return home_region, cause
    targets = _order_spill_targets(table, service, home_region, network_hash, view)
    spill_cause = Cause.LOST if share.is_lost else Cause.SPILL
    for target in targets:
        if view.admit_shift(target, now):
            return target, spill_cause
    if share.is_lost and targets:
        return targets[0], Cause.CAP
    return home_region, Cause.CAP if targets else cause


def _find_shift_target(table, service, home_region, bucket, view):
    bucket_end = 0
    for shift in table.shifts.get(home_region, ()):
        bucket_end += shift.percent * BUCKET_COUNT // 100
        if bucket < bucket_end:
            is_usable = not view.get_share(service, shift.target).is_lost
            return shift.target if is_usable else None
    return None


def _order_spill_targets(table, service, home_region, network_hash, view):
    """Orders the other regions by rendezvous hashing, weighted by their headroom.

    A change of one region's weight moves only clients to or from that region.
    """
    scores = []
    for region in table.region_orders[home_region][1:]:
        weight = view.get_share(service, region).weight
        if weight > 0:
            scores.append((_score_region(region, network_hash) / weight, region))
    return [region for _, region in sorted(scores)]


def _score_region(region, network_hash):
    text = f"{region}/{network_hash}".encode()
    value = int.from_bytes(hashlib.blake2b(text, digest_size=6).digest(), "big")
    return -math.log((value + 1) / (1 << 48))


def _make_ranking(table, view, service, zone, target, cause, rotation):
    home_region = table.regions_by_zone[zone]
    zones = _order_zones(table, zone, home_region, target, rotation)
    hosts = [host for name in zones for host in _list_zone_hosts(table, view, name, rotation)]
    ordered_hosts = sorted(
        (host for host in hosts if view.grades[host.host_id] is not _steering.HostGrade.LEAVING),
        key=lambda host: view.grades[host.host_id],
    )
    return Ranking(
        tuple(ordered_hosts[:MAX_RANKED_HOSTS]),
        home_region,
        zone,
        target,
        cause,
        _choose_ticket_hosts(table, view, service, zones, rotation),
    )


def _order_zones(table, zone, home_region, target, rotation):
    regions = list(table.region_orders[home_region])
    if target != home_region:
        regions.remove(target)
        regions.insert(0, target)
    zones = []
    for region in regions:
        if region == home_region:
            zones.extend(table.zone_orders[zone])
        else:
            zones.extend(_rotate(table.zones_by_region.get(region, ()), rotation))
    return zones


def _list_zone_hosts(table, view, zone, rotation):
    hosts = _rotate(table.hosts_by_zone.get(zone, ()), rotation)
    return sorted(hosts, key=lambda host: view.grades[host.host_id])[:MAX_HOSTS_PER_ZONE]


def choose_ticket_hosts(table, view, service, zone, rotation):
    """Chooses the home and arbiter host of a ticket for a client in a zone.

    Args:
      table: The RoutingTable in force.
      view: The SteeringView.
      service: The service's id.
      zone: Zone of the client.
      rotation: Offset that distributes tickets over equally near hosts.
    Returns:
      TicketHosts, or None if no dispatcher of the service is alive.
    """
    home_region = table.regions_by_zone[zone]
    zones = _order_zones(table, zone, home_region, home_region, rotation)
    return _choose_ticket_hosts(table, view, service, zones, rotation)


def _choose_ticket_hosts(table, view, service, zones, rotation):
    for zone in zones:
        owners = [
            owner.host_id
            for owner in table.owners.get((service, zone), ())
            if owner.host_id in view.dispatchers
        ]
        if owners:
            home_host = _rotate(owners, rotation)[0]
            arbiter = _choose_arbiter(table, view, zone, home_host, rotation)
            incarnations = view.dispatchers
            return TicketHosts(
                home_host, incarnations[home_host], arbiter, incarnations.get(arbiter)
            )
    return None


def _choose_arbiter(table, view, zone, home_host, rotation):
    others = [
        host.host_id
        for other in table.zone_orders[zone][1:]
        for host in table.hosts_by_zone.get(other, ())
        if host.host_id in view.dispatchers and host.host_id != home_host
    ]
    return _rotate(others, rotation)[0] if others else None


def _rotate(items, rotation):
    if not items:
        return items
    start = rotation % len(items)
    return items[start:] + items[:start]
