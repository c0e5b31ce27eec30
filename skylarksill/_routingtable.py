"""Tables derived from a configuration once, so that each lookup only reads them."""

import collections
import dataclasses

from skylarksill import _blocktable, records


@dataclasses.dataclass(frozen=True, slots=True)
class Owner:
    """A host whose dispatcher manages upstreams of a service, with the sum of their slots."""

    host_id: records.HostId
    slots: int


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class RoutingTable:
    """Routing data of one configuration generation.

    ``region_orders`` maps each region to all regions by link delay from it, itself first.
    ``zone_orders`` maps each zone to all zones of its region, itself first. ``owners`` is keyed by
    service and zone, ``shifts`` by source region.
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
          blocks: The BlockTable of the configuration, or None to build it.
        Returns:
          A RoutingTable.
        Raises:
          ValueError: If a client block is malformed.
        """
        zones = [zone.zone_id for zone in configuration.zones]
        regions_by_zone = {zone.zone_id: zone.region_id for zone in configuration.zones}
        zones_by_region = _group_by(zones, regions_by_zone.get)
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
            hosts_by_zone=_group_by(configuration.hosts, lambda host: host.zone_id),
            owners=_collect_owners(configuration),
            shifts=_group_by(configuration.shifts, lambda shift: shift.source),
        )

    def list_owners(self, service, region):
        """Lists the owners of a service's upstreams in a region."""
        return [
            owner
            for zone in self.zones_by_region.get(region, ())
            for owner in self.owners.get((service, zone), ())
        ]


def _group_by(items, get_key):
    groups = collections.defaultdict(list)
    for item in items:
        groups[get_key(item)].append(item)
    return {key: tuple(group) for key, group in groups.items()}


def _order_regions(configuration):
    delays = {(link.source, link.target): link.delay_ms for link in configuration.links}
    names = [region.region_id for region in configuration.regions]
    unknown_delay = float("inf")

    def order_from(source):
        # Regions with equal delays are ordered cyclically from the source, so that not all regions
        # spill to the first region of the configuration.
        start = names.index(source)
        rotated = names[start:] + names[:start]
        others = sorted(rotated[1:], key=lambda name: delays.get((source, name), unknown_delay))
        return (source, *others)

    return {name: order_from(name) for name in names}


def _collect_owners(configuration):
    slots = collections.Counter()
    for upstream in configuration.upstreams:
        if upstream.state is records.LifecycleState.SERVING:
            slots[upstream.service_id, upstream.zone_id, upstream.home] += upstream.slots
    owners = collections.defaultdict(list)
    for (service, zone, host), count in slots.items():
        owners[service, zone].append(Owner(host, count))
    return {key: tuple(group) for key, group in owners.items()}
