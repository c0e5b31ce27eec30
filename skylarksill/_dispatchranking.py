"""Order in which an entry host tries dispatchers for idempotent work."""

import dataclasses

from skylarksill import records

MAX_LOAD_AGE_MS = 5_000


@dataclasses.dataclass(frozen=True, slots=True)
class _Candidate:
    owner: object
    zone: records.ZoneId
    free_slots: int


def rank_dispatchers(table, view, loads, service, zone, spread_key, avoided=()):
    """Orders the live dispatchers that own upstreams of a service.

    The dispatchers of the nearest zone come first, since they share waiting work with those of
    their region, then those of the other zones of the region. In other regions, dispatchers with
    free slots come before those without. Within a zone, work is spread in proportion to the
    slots. Reported load does not affect the order in the own region: reports are older than the
    time to serve a request, and all entry hosts would pick the same zone until the next reports.

    Args:
      table: The current RoutingTable.
      view: The SteeringView.
      loads: Maps pairs of host and service to their LoadEntry.
      service: The service's id.
      zone: Zone of the entry host.
      spread_key: Number that differs between requests, to spread them over a zone.
      avoided: Hosts that could not be reached recently; they come last.
    Returns:
      A list of pairs of host id and zone.
    """
    own_region = table.regions_by_zone[zone]
    ranked = []
    for region in table.region_orders[own_region]:
        zones = table.zone_orders[zone] if region == own_region else table.zones_by_region[region]
        groups = [_list_candidates(table, view, loads, service, name) for name in zones]
        groups = [_rotate_by_weight(group, spread_key) for group in groups]
        items = [item for group in groups for item in group]
        ranked += items if region == own_region else _sort_free_first(items)
    ranked.sort(key=lambda item: item.owner.host_id in avoided)
    return [(item.owner.host_id, item.zone) for item in ranked]


def _list_candidates(table, view, loads, service, zone):
    return [
        _Candidate(owner, zone, _get_free_slots(loads.get((owner.host_id, service)), owner))
        for owner in table.owners.get((service, zone), ())
        if owner.host_id in view.dispatchers
    ]


def _sort_free_first(items):
    return sorted(items, key=lambda item: item.free_slots <= 0)


def _get_free_slots(load, owner):
    # Without a recent report all slots count as free: the dispatcher itself enforces the limit.
    if load is None or load.age_ms > MAX_LOAD_AGE_MS:
        return owner.slots
    return load.free


def _rotate_by_weight(candidates, spread_key):
    if len(candidates) < 2:
        return candidates
    weights = [candidate.owner.slots for candidate in candidates]
    offset = spread_key % sum(weights)
    for index, weight in enumerate(weights):
        if offset < weight:
            return candidates[index:] + candidates[:index]
        offset -= weight
    return candidates
