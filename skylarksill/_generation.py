"""Generation of a configuration from the answers of the questionnaire."""

import dataclasses
import ipaddress
import itertools

from skylarksill import configuration, records

BYTES_PER_GBIT = 125_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class _Place:
    """A zone with its own entry hosts and those of the other zones of its region."""

    zone: records.Zone
    hosts: tuple[records.Host, ...]
    region_hosts: tuple[records.Host, ...]


def generate_configuration(answers):
    """Generates a configuration.

    Workers of each service are spread over regions first and over zones second. The hosts of a
    zone take its upstreams in turn, and so do the hosts that can be standby.

    Args:
      answers: Answers that pass ``check_answers``.
    Returns:
      A pair of Configuration of generation 0, or None if there are problems, and a tuple of
      Problems.
    """
    zones = [
        records.Zone(records.ZoneId(zone), records.RegionId(region.name))
        for region in answers.regions
        for zone in region.zones
    ]
    hosts = _make_hosts(answers)
    upstreams = _make_upstreams(answers, _make_places(zones, hosts))
    made = records.Configuration(
        deployment=answers.name,
        generation=records.Generation(0),
        regions=_make_regions(answers, zones, upstreams),
        zones=tuple(zones),
        hosts=tuple(hosts),
        services=tuple(
            records.Service(service.name, service.kind, service.mean_ms, service.max_deadline_ms)
            for service in answers.services
        ),
        upstreams=tuple(upstreams),
        links=_make_links(answers),
        blocks=tuple(
            records.Block(prefix, records.ZoneId(zone.name))
            for zone in answers.zones
            for prefix in zone.blocks
        ),
    )
    problems = configuration.check_configuration(made)
    return (None, problems) if problems else (made, ())


def _make_hosts(answers):
    names = [
        (zone.name, f"{zone.name}-{number}")
        for zone in answers.zones
        for number in range(1, zone.entry_hosts + 1)
    ]
    first = ipaddress.ip_address(answers.entry_address)
    return [
        records.Host(
            host_id=records.HostId(name),
            zone_id=records.ZoneId(zone),
            address=str(first + index),
            lookup_port=answers.lookup_port,
            entry_port=answers.entry_port,
            dispatch_port=answers.dispatch_port,
            agent_port=answers.agent_port,
        )
        for index, (zone, name) in enumerate(names)
    ]


def _make_places(zones, hosts):
    """Lists the zones in the order in which workers are spread: each region's first zone first."""
    regions = {zone.zone_id: zone.region_id for zone in zones}
    by_region = {}
    for zone in zones:
        own = tuple(host for host in hosts if host.zone_id == zone.zone_id)
        others = tuple(
            host
            for host in hosts
            if host.zone_id != zone.zone_id and regions[host.zone_id] == zone.region_id
        )
        by_region.setdefault(zone.region_id, []).append(_Place(zone, own, others))
    rounds = itertools.zip_longest(*by_region.values())
    return [place for round_ in rounds for place in round_ if place is not None]


def _make_upstreams(answers, places):
    homes = {place.zone.zone_id: itertools.count() for place in places}
    first = ipaddress.ip_address(answers.upstream_address)
    number = itertools.count()
    turns = itertools.cycle(places)
    upstreams = []
    for service in answers.services:
        for worker in range(1, service.workers + 1):
            place = next(turns)
            index = next(number)
            home, standby = _choose_owners(place, next(homes[place.zone.zone_id]))
            upstreams.append(
                records.Upstream(
                    upstream_id=records.UpstreamId(f"{service.name}-{worker:02}"),
                    service_id=records.ServiceId(service.name),
                    zone_id=place.zone.zone_id,
                    address=str(first + index),
                    port=answers.upstream_port + index,
                    slots=service.slots,
                    max_connections=service.connections,
                    home=home,
                    standby=standby,
                )
            )
    return upstreams


def _choose_owners(place, turn):
    home = place.hosts[turn % len(place.hosts)]
    others = [host for host in place.hosts if host is not home] or place.region_hosts
    standby = others[turn % len(others)].host_id if others else None
    return home.host_id, standby


def _make_regions(answers, zones, upstreams):
    regions = {zone.zone_id: zone.region_id for zone in zones}
    slots = {region.name: 0 for region in answers.regions}
    for upstream in upstreams:
        slots[regions[upstream.zone_id]] += upstream.slots
    return tuple(
        records.Region(
            records.RegionId(region.name),
            region.max_in_flight or max(slots[region.name], 1),
            region.shift_cap_per_s,
        )
        for region in answers.regions
    )


def _make_links(answers):
    bytes_per_s = int(answers.gbit_per_s * BYTES_PER_GBIT)
    return tuple(
        records.Link(source, target, bytes_per_s, answers.between_regions_ms)
        for source, target in itertools.permutations(answers.region_names, 2)
    )
