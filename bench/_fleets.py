"""Generates large configurations for the cost case."""

from skylarksill import records

HOSTS_PER_ZONE = 32
ZONES_PER_REGION = 2
SERVICES = ("catalogue", "deposits", "yard")


def build_fleet(hosts, upstreams, blocks=0):
    """Builds a Configuration of the given size.

    Args:
      hosts: Number of entry hosts.
      upstreams: Number of upstreams; each has 5 slots, and the services are assigned in turn.
      blocks: Number of client blocks of 256 addresses.
    """
    zone_count = max(2, -(-hosts // HOSTS_PER_ZONE))
    zones = tuple(
        records.Zone(f"zone-{index:03}", f"region-{index // ZONES_PER_REGION:03}")
        for index in range(zone_count)
    )
    made_hosts = tuple(_build_host(index, zones[index % zone_count]) for index in range(hosts))
    regions = tuple(
        records.Region(name, 1_000_000, 1_000_000)
        for name in sorted({zone.region_id for zone in zones})
    )
    kinds = records.WorkKind
    services = tuple(
        records.Service(name, kinds.NON_IDEMPOTENT if index else kinds.IDEMPOTENT, 50)
        for index, name in enumerate(SERVICES)
    )
    made_upstreams = tuple(_build_upstream(index, made_hosts) for index in range(upstreams))
    made_blocks = tuple(
        records.Block(_build_block_prefix(index), zones[index % zone_count].zone_id)
        for index in range(blocks)
    )
    return records.Configuration(
        "bench", 1, regions, zones, made_hosts, services, made_upstreams, (), made_blocks
    )


def _build_host(index, zone):
    address = f"10.0.{index // 250}.{index % 250 + 1}"
    return records.Host(f"host-{index:04}", zone.zone_id, address, 7001, 7002, 7003, 7004)


def _build_upstream(index, hosts):
    home = hosts[index % len(hosts)]
    zone_peers = [host.host_id for host in hosts if host.zone_id == home.zone_id and host != home]
    return records.Upstream(
        f"upstream-{index:05}",
        SERVICES[index % len(SERVICES)],
        home.zone_id,
        f"10.9.{index // 250}.{index % 250 + 1}",
        8000,
        5,
        330,
        home.host_id,
        zone_peers[0] if zone_peers else None,
    )


def _build_block_prefix(index):
    return f"{20 + (index >> 16)}.{(index >> 8) & 255}.{index & 255}.0/24"
