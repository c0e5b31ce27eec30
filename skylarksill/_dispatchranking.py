"""Order of the dispatchers to which an entry host sends idempotent work."""

import dataclasses

from skylarksill import records

FIGURES_MAX_AGE_MS = 5_000


@dataclasses.dataclass(frozen=True, slots=True)
class _Candidate:
    owner: object
    zone: records.ZoneId
    free: int


def rank_dispatchers(table, view, loads, service, zone, pick, avoided=()):
    """Orders the live dispatchers that own upstreams of a service.

    The dispatchers of the nearest zone come first, since they share waiting work with those of
    their region, then those of the other zones of the region. In other regions, dispatchers with
    free slots come before those without. Within a zone, work is spread in proportion to the
    slots. Figures do not order the own region: they are older than a service time, and all entry
    hosts would send their work to the same zone until the next ones.

    Args:
      table: The RoutingTable in force.
      view: The SteeringView.
      loads: Maps pairs of host and service to their LoadEntry.
      service: The service's id.
      zone: Zone of the entry host.
      pick: Number that differs between requests, for spreading.
      avoided: Hosts that could not be reached lately; they come last.
    Returns:
      A list of pairs of host id and zone.
    """
    own_region = table.regions_by_zone[zone]
    ranked = []
    for region in table.region_orders[own_region]:
        zones = table.zone_orders[zone] if region == own_region else table.zones_by_region[region]
        groups = [_list_candidates(table, view, loads, service, name) for name in zones]
        groups = [_spread(group, pick) for group in groups]
        items = [item for group in groups for item in group]
        ranked += items if region == own_region else _put_free_first(items)
    ranked.sort(key=lambda item: item.owner.host_id in avoided)
    return [(item.owner.host_id, item.zone) for item in ranked]


def _list_candidates(table, view, loads, service, zone):
    return [
        _Candidate(owner, zone, _find_free(loads.get((owner.host_id, service)), owner))
        for owner in table.owners.get((service, zone), ())
        if owner.host_id in view.dispatchers
    ]


def _put_free_first(items):
    return sorted(items, key=lambda item: item.free <= 0)


def _find_free(load, owner):
    # Without a recent figure all slots count as free: the dispatcher itself keeps the limit.
    if load is None or load.age_ms > FIGURES_MAX_AGE_MS:
        return owner.slots
    return load.free


def _spread(candidates, pick):
    if len(candidates) < 2:
        return candidates
    weights = [candidate.owner.slots for candidate in candidates]
    point = pick % sum(weights)
    for index, weight in enumerate(weights):
        if point < weight:
            return candidates[index:] + candidates[:index]
        point -= weight
    return candidates
