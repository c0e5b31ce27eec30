"""Builders of test data that several features share."""

from skylarksill import records

SHARED_KEY = b"test key of thirty-two bytes...."
REGIONS = ("north", "south")


def build_configuration(generation=1, slots=3, hosts_per_zone=1):
    """Builds a small valid configuration.

    It has regions north and south with the zones north-a, north-b, south-a and south-b, an
    idempotent service "catalogue" and a non-idempotent service "deposits", and one upstream of
    each service in each zone.

    Args:
      generation: The configuration's generation.
      slots: Slots of each upstream.
      hosts_per_zone: Number of entry hosts in each zone.
    Returns:
      A Configuration.
    """
    zones = [records.Zone(f"{region}-{side}", region) for region in REGIONS for side in "ab"]
    hosts = [
        build_host(zone.zone_id, zone_index * hosts_per_zone + index)
        for zone_index, zone in enumerate(zones)
        for index in range(hosts_per_zone)
    ]
    return records.Configuration(
        deployment="test",
        generation=records.Generation(generation),
        regions=tuple(records.Region(region, 100, 20) for region in REGIONS),
        zones=tuple(zones),
        hosts=tuple(hosts),
        services=(
            records.Service("catalogue", records.WorkKind.IDEMPOTENT, 50),
            records.Service("deposits", records.WorkKind.NON_IDEMPOTENT, 50),
        ),
        upstreams=tuple(
            _build_upstream(service, zone, zones, hosts, slots)
            for service in ("catalogue", "deposits")
            for zone in zones
        ),
        links=(
            records.Link("north", "south", 500_000_000, 55.0),
            records.Link("south", "north", 500_000_000, 55.0),
        ),
        blocks=(records.Block("10.0.0.0/16", "north-a"), records.Block("10.1.0.0/16", "south-a")),
    )


def build_host(zone_id, index):
    """Builds an entry host of a zone with addresses on the loopback network."""
    address = f"127.0.{1 + index // 250}.{index % 250 + 1}"
    return records.Host(records.HostId(f"host-{index}"), zone_id, address, 7001, 7002, 7003, 7004)


def build_request(service="catalogue", body=b"", **fields):
    """Builds a request with default values; ``fields`` override them."""
    values = {
        "request_id": records.RequestId("r-1"),
        "service_id": records.ServiceId(service),
        "method": "GET",
        "path": "/items/1",
        "headers": (),
        "body": body,
        "client": "10.0.0.1",
        "home_region": records.RegionId("north"),
        "source_region": records.RegionId("north"),
        "deadline_ms": 2_000,
    }
    return records.Request(**{**values, **fields})


def _build_upstream(service, zone, zones, hosts, slots):
    zone_hosts = [host for host in hosts if host.zone_id == zone.zone_id]
    region_zone_ids = [other.zone_id for other in zones if other.region_id == zone.region_id]
    other_zone_hosts = [
        host for host in hosts if host.zone_id in region_zone_ids and host.zone_id != zone.zone_id
    ]
    standby_candidates = zone_hosts[1:] or other_zone_hosts
    index = zones.index(zone)
    return records.Upstream(
        records.UpstreamId(f"{service}-{zone.zone_id}"),
        records.ServiceId(service),
        zone.zone_id,
        f"127.0.2.{index + 1}",
        8000 if service == "catalogue" else 8001,
        slots,
        330,
        zone_hosts[0].host_id,
        standby_candidates[0].host_id if standby_candidates else None,
    )
