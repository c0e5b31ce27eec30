"""What routing derives from a configuration once, so that a look-up only reads it."""

import collections
import dataclasses

from skylarksill import _blocktable, records


@dataclasses.dataclass(frozen=True, slots=True)
class Owner:
    """A host whose dispatcher owns upstreams of a service, with the sum of their slots."""

    host_id: records.HostId
    slots: int


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class RoutingTable:
    """Orders and owners of one configuration generation.

    ``region_orders`` lists all regions by link delay from a region, itself first; ``zone_orders``
    lists the zones of a zone's region, itself first; ``owners`` is keyed by service and zone.
    """

    generation: records.Generation
    blocks: _blocktable.BlockTable
    services: dict
    regions: dict
    regions_by_zone: dict
    region_orders: dict
    zone_orders: dict
    zones_by_region: dict
    hosts: dict
    hosts_by_zone: dict
    owners: dict
    shifts: dict

    @classmethod
    def build(cls, configuration, blocks=None):
        """Builds the table of a configuration.

        Args:
          configuration: The configuration in force.
          blocks: Its BlockTable if it is already built.
        Returns:
          A RoutingTable.
        Raises:
          ValueError: If a client block is malformed.
        """
        zones = [zone.zone_id for zone in configuration.zones]
        regions_by_zone = {zone.zone_id: zone.region_id for zone in configuration.zones}
        zones_by_region = _group(zones, regions_by_zone.get)
        return cls(
            generation=configuration.generation,
            blocks=blocks or _blocktable.BlockTable.build(configuration),
            services={service.service_id: service for service in configuration.services},
            regions={region.region_id: region for region in configuration.regions},
            regions_by_zone=regions_by_zone,
            region_orders=_order_regions(configuration),
            zone_orders={
                zone: (zone, *[z for z in zones_by_region[regions_by_zone[zone]] if z != zone])
                for zone in zones
            },
            zones_by_region=zones_by_region,
            hosts={host.host_id: host for host in configuration.hosts},
            hosts_by_zone=_group(configuration.hosts, lambda host: host.zone_id),
            owners=_collect_owners(configuration),
            shifts=_group(configuration.shifts, lambda shift: shift.source),
        )

    def list_owners(self, service, region):
        """Lists the owners of a service's upstreams in a region."""
        return [
            owner
            for zone in self.zones_by_region.get(region, ())
            for owner in self.owners.get((service, zone), ())
        ]


def _group(items, get_key):
    groups = collections.defaultdict(list)
    for item in items:
        groups[get_key(item)].append(item)
    return {key: tuple(group) for key, group in groups.items()}


def _order_regions(configuration):
    delays = {(link.source, link.target): link.delay_ms for link in configuration.links}
    names = [region.region_id for region in configuration.regions]
    unknown_delay = float("inf")

    def list_from(source):
        # Equal delays are ordered from the source onwards, so that regions do not all spill to
        # the first one of the configuration.
        start = names.index(source)
        rotated = names[start:] + names[:start]
        others = sorted(rotated[1:], key=lambda name: delays.get((source, name), unknown_delay))
        return (source, *others)

    return {name: list_from(name) for name in names}


def _collect_owners(configuration):
    slots = collections.Counter()
    for upstream in configuration.upstreams:
        if upstream.state is records.LifeState.SERVING:
            slots[upstream.service_id, upstream.zone_id, upstream.home] += upstream.slots
    owners = collections.defaultdict(list)
    for (service, zone, host), count in slots.items():
        owners[service, zone].append(Owner(host, count))
    return {key: tuple(group) for key, group in owners.items()}
