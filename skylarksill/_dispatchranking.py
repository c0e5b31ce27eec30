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

    Dispatchers with free slots in the entry host's region come first, the nearest zone before the
    others; then those without in its region, since they queue and forward between zones; then
    other regions. Within a zone, work is spread in proportion to the free slots.

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
        with_free = [item for group in groups for item in group if item.free > 0]
        without = [item for group in groups for item in group if item.free <= 0]
        ranked += with_free + without
    ranked.sort(key=lambda item: item.owner.host_id in avoided)
    return [(item.owner.host_id, item.zone) for item in ranked]


def _list_candidates(table, view, loads, service, zone):
    return [
        _Candidate(owner, zone, _find_free(loads.get((owner.host_id, service)), owner))
        for owner in table.owners.get((service, zone), ())
        if owner.host_id in view.dispatchers
    ]


def _find_free(load, owner):
    # Without a recent figure all slots count as free: the dispatcher itself keeps the limit.
    if load is None or load.age_ms > FIGURES_MAX_AGE_MS:
        return owner.slots
    return load.free


def _spread(candidates, pick):
    if len(candidates) < 2:
        return candidates
    weights = [max(1, candidate.free) for candidate in candidates]
    point = pick % sum(weights)
    for index, weight in enumerate(weights):
        if point < weight:
            return candidates[index:] + candidates[:index]
        point -= weight
    return candidates
