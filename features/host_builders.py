"""Builders of test data for the host program."""

import pathlib
import random
import sys
import tempfile

from skylarksill import records as shared
from skylarksill.host import eventlog, fleet, placement, program, quotas, records
from standins import platformdata

PLATFORM_FOLDER = pathlib.Path(__file__).resolve().parent.parent / "platform"
BOUNDS = records.Bounds(
    contact_s=4.0,
    drain_s=2.5,
    grace_s=3.0,
    retry_ratio=0.2,
    retry_window_s=10.0,
    retry_extra=58,
    cold_overage=1.5,
    cold_tolerance=5.0,
    max_lookup_lifetime_s=5.0,
    max_shift=0.15,
    apply_s=2.5,
)


def import_platform():
    """Returns the modules hostfile, wire and store of the folder platform/."""
    if str(PLATFORM_FOLDER) not in sys.path:
        sys.path.append(str(PLATFORM_FOLDER))
    import hostfile
    import store
    import wire

    return hostfile, wire, store


def build_program(context):
    """Builds a program.Host that has not been started, and writes its log nowhere."""
    hostfile, wire, _ = import_platform()
    lines = platformdata.build_settings_lines("127.0.0.1", ("127.0.0.1", 9), 7200, 7300)
    with tempfile.NamedTemporaryFile("w", suffix=".conf") as file:
        file.write("\n".join(lines))
        file.flush()
        settings = hostfile.load_settings(file.name)
    # The tests have no standard output that a log can be written to.
    context.add_cleanup(setattr, eventlog, "_make_writer", eventlog._make_writer)
    eventlog._make_writer = lambda: len
    return program.Host(settings, wire.HEADER_NAMES, wire.LOOKUP_CODEC)


def build_route(**changes):
    """Builds a Route; ``changes`` replace its fields."""
    fields = {
        "route_id": "read",
        "site": "shop.example",
        "prefix": "/read/",
        "kind": shared.WorkKind.IDEMPOTENT,
        "timeout_s": 1.0,
        "target_latency_s": 0.4,
        "priority": 0,
        "shares": (records.Share("catalogue", 1.0),),
        "max_attempts": 2,
        "is_sticky": True,
        "regions": frozenset(),
    }
    return records.Route(**{**fields, **changes})


def build_service(service_id="catalogue"):
    """Builds a Service whose upstreams are cold for 3 s, with 11 requests a second meanwhile."""
    return records.Service(service_id, 330, 3.0, 11.0, b"/health")


def build_configuration(generation=1, routes=None):
    """Builds a Configuration with an idempotent and a non-idempotent route."""
    order = build_route(route_id="order", prefix="/order/", kind=shared.WorkKind.NON_IDEMPOTENT)
    services = {"catalogue": build_service(), "yard": build_service("yard")}
    limits = records.ClientLimits(2_000, 10_000, 0.3, 2.0)
    return records.Configuration(generation, routes or (build_route(), order), services, limits)


def build_upstream(upstream_id, region="north", **changes):
    """Builds an Upstream of the service catalogue; ``changes`` replace its fields."""
    fields = {
        "upstream_id": upstream_id,
        "incarnation": 1,
        "service_id": "catalogue",
        "address": ("127.0.0.1", 1),
        "zone": f"{region}-a",
        "region": region,
        "slots": 4,
        "state": records.UpstreamState.READY,
        "cold_s": 0.0,
    }
    return records.Upstream(**{**fields, **changes})


def build_fleet(upstreams, region="north", now=0.0, rng=random):
    """Builds the Fleet of a host in ``region`` that knows some upstreams."""
    upstream_fleet = fleet.Fleet(region, rng)
    by_id = {upstream.upstream_id: upstream for upstream in upstreams}
    upstream_fleet.apply(by_id, {"catalogue": build_service()}, (), BOUNDS, now)
    return upstream_fleet


def apply_belief(upstream_fleet, own, now):
    """Applies a Belief to a Fleet as a host does after each change."""
    services = {"catalogue": build_service()}
    upstream_fleet.apply(own.upstreams, services, own.evacuated, BOUNDS, now, own.evacuation_ends)


def build_view(own_id, host_ids, is_settled=True):
    """Builds the HostView of a host that knows hosts of its own region only."""
    ids = frozenset(host_ids)
    return quotas.HostView(own_id, ids, ids, is_settled)


def build_query(key=None, route=None, rank=0, remaining_s=1.0):
    """Builds a placement.Query."""
    route = route or build_route()
    return placement.Query(route, "catalogue", rank, key, remaining_s, frozenset(), route.regions)


def build_capacity(scale=1.0):
    """Builds the HostCapacity of a host of usual size, or of a multiple of it."""
    return records.HostCapacity(
        0.8 * scale, 10_000_000.0 * scale, int(300_000_000 * scale), int(4_096 * scale)
    )


def build_host_record(host_id, zone="north-a", region="north", incarnation=1):
    """Builds a HostRecord."""
    return records.HostRecord(
        host_id, incarnation, zone, region, ("127.0.0.1", 80), ("127.0.0.1", 81)
    )
