"""Generation of a configuration from the answers to the questionnaire."""

import dataclasses
import ipaddress
import itertools

from skylarksill import configuration, records

BYTES_PER_GBIT = 125_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class _ZoneHosts:
    """The entry hosts of a zone, and those of the other zones of its region."""

    zone: records.Zone
    hosts: tuple[records.Host, ...]
    other_zone_hosts: tuple[records.Host, ...]


def generate_configuration(answers):
    """Generates a configuration.

    Upstreams of each service are spread over regions first and over zones second. Within a zone,
    the homes of upstreams are assigned round-robin, and so are their standbys.

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
    upstreams = _make_upstreams(answers, _order_zones(zones, hosts))
    generated = records.Configuration(
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
    problems = configuration.check_configuration(generated)
    return (None, problems) if problems else (generated, ())


def _make_hosts(answers):
    names = [
        (zone.name, f"{zone.name}-{number}")
        for zone in answers.zones
        for number in range(1, zone.entry_hosts + 1)
    ]
    first_address = ipaddress.ip_address(answers.entry_address)
    return [
        records.Host(
            host_id=records.HostId(name),
            zone_id=records.ZoneId(zone),
            address=str(first_address + index),
            lookup_port=answers.lookup_port,
            entry_port=answers.entry_port,
            dispatch_port=answers.dispatch_port,
            agent_port=answers.agent_port,
        )
        for index, (zone, name) in enumerate(names)
    ]


def _order_zones(zones, hosts):
    """Returns the zones in the order for spreading upstreams: each region's first zone first."""
    regions = {zone.zone_id: zone.region_id for zone in zones}
    by_region = {}
    for zone in zones:
        own_hosts = tuple(host for host in hosts if host.zone_id == zone.zone_id)
        other_hosts = tuple(
            host
            for host in hosts
            if host.zone_id != zone.zone_id and regions[host.zone_id] == zone.region_id
        )
        by_region.setdefault(zone.region_id, []).append(_ZoneHosts(zone, own_hosts, other_hosts))
    zone_rounds = itertools.zip_longest(*by_region.values())
    return [zone_hosts for round_ in zone_rounds for zone_hosts in round_ if zone_hosts is not None]


def _make_upstreams(answers, ordered_zones):
    upstream_counters = {zone_hosts.zone.zone_id: itertools.count() for zone_hosts in ordered_zones}
    first_address = ipaddress.ip_address(answers.upstream_address)
    upstream_number = itertools.count()
    zone_cycle = itertools.cycle(ordered_zones)
    upstreams = []
    for service in answers.services:
        for worker in range(1, service.workers + 1):
            zone_hosts = next(zone_cycle)
            index = next(upstream_number)
            home, standby = _choose_owners(
                zone_hosts, next(upstream_counters[zone_hosts.zone.zone_id])
            )
            upstreams.append(
                records.Upstream(
                    upstream_id=records.UpstreamId(f"{service.name}-{worker:02}"),
                    service_id=records.ServiceId(service.name),
                    zone_id=zone_hosts.zone.zone_id,
                    address=str(first_address + index),
                    port=answers.upstream_port + index,
                    slots=service.slots,
                    max_connections=service.connections,
                    home=home,
                    standby=standby,
                )
            )
    return upstreams


def _choose_owners(zone_hosts, index):
    home = zone_hosts.hosts[index % len(zone_hosts.hosts)]
    candidates = [
        host for host in zone_hosts.hosts if host is not home
    ] or zone_hosts.other_zone_hosts
    standby = candidates[index % len(candidates)].host_id if candidates else None
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
