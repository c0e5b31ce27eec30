"""Scopes of gossip: which hosts' heartbeats, entries and zone summaries an agent exchanges.

In a small fleet all hosts are near, so their heartbeats reach all agents. In a larger one only the
hosts of the own zone are near, entries stay within a region and other zones are seen as summaries.
"""

import dataclasses
import zlib

from skylarksill import records

# A fleet of at most this many hosts exchanges heartbeats among all hosts, a larger one per zone.
NEAR_LIMIT = 40


@dataclasses.dataclass(frozen=True, slots=True)
class Topology:
    """Hosts, zones and services as one agent sees them.

    Digests and deltas refer to the sorted names by position.

    Attributes:
      checksum: CRC of all names; positions are valid only between agents with the same checksum.
      hosts, zones, services: All names of the configuration.
      positions: Position of each host in ``hosts``.
      zone_of, region_of_zone: Zone of each host and region of each zone.
      zone_hosts: Hosts of each zone.
      near: Hosts whose heartbeats and loads are exchanged individually.
      scope: Hosts whose entries are exchanged: all in a small fleet, else those of the region.
      near_set, scope_set: The same as sets.
    """

    checksum: int
    hosts: tuple[records.HostId, ...]
    zones: tuple[records.ZoneId, ...]
    services: tuple[records.ServiceId, ...]
    positions: dict
    zone_of: dict
    region_of_zone: dict
    zone_hosts: dict
    near: tuple[records.HostId, ...]
    scope: tuple[records.HostId, ...]
    near_set: frozenset
    scope_set: frozenset

    @property
    def is_small(self):
        """True if all hosts are near, so that no zone summaries are exchanged."""
        return len(self.near) == len(self.hosts)

    def shares_near(self, own_zone, zone):
        """Returns True if the agents of two zones have the same near hosts."""
        return self.is_small or own_zone == zone

    def shares_scope(self, own_zone, zone):
        """Returns True if the agents of two zones have the same scope."""
        return self.is_small or self.region_of_zone.get(own_zone) == self.region_of_zone.get(zone)


def build_topology(configuration, own_zone, near_limit=NEAR_LIMIT):
    """Builds the topology that the agents of a zone use.

    Args:
      configuration: The Configuration in force.
      own_zone: Zone of the agent.
      near_limit: Largest number of hosts for which all hosts are near.
    Returns:
      A Topology.
    """
    zone_of = {host.host_id: host.zone_id for host in configuration.hosts}
    region_of_zone = {zone.zone_id: zone.region_id for zone in configuration.zones}
    hosts = tuple(sorted(zone_of))
    zone_hosts = {zone: [] for zone in sorted(region_of_zone)}
    for host in hosts:
        zone_hosts[zone_of[host]].append(host)
    is_small = len(hosts) <= near_limit
    own_region = region_of_zone.get(own_zone)
    near = tuple(host for host in hosts if is_small or zone_of[host] == own_zone)
    scope = tuple(host for host in hosts if is_small or region_of_zone[zone_of[host]] == own_region)
    zones = tuple(sorted(region_of_zone))
    services = tuple(sorted(service.service_id for service in configuration.services))
    names = "\n".join([*hosts, "", *zones, "", *services])
    return Topology(
        checksum=zlib.crc32(names.encode()),
        hosts=hosts,
        zones=zones,
        services=services,
        positions={host: position for position, host in enumerate(hosts)},
        zone_of=zone_of,
        region_of_zone=region_of_zone,
        zone_hosts={zone: tuple(members) for zone, members in zone_hosts.items()},
        near=near,
        scope=scope,
        near_set=frozenset(near),
        scope_set=frozenset(scope),
    )
