"""Builds the configurations of a soak run, without input or output."""

from bench.soak import checks, demandchecks, losschecks
from standins import platformdata

# The service of the upstreams that no fault of the schedule concerns.
CALM_SERVICE = "larder"
# Routes of the first, which moves between the services, and of the second, which comes and goes.
MOVED_PREFIX = "/moved/"
PASSING_PREFIX = "/passing/"
VARIANT_COUNT = 12


def build_configuration(generation, variant):
    """Builds a generation of the configuration.

    Args:
      generation: Its number; each one adds a route and keeps those of all earlier ones.
      variant: Number below VARIANT_COUNT, which decides about the routes and services that change.
    Returns:
      The spec in the format of the platform's store.
    """
    build = platformdata.build_route_spec
    routes = {
        "r-read": build("/read/", "idempotent"),
        "r-order": build("/order/", "non_idempotent"),
        "r-home": build(checks.HOME_PREFIX, "idempotent", regions=[checks.HOME_REGION]),
        "r-long": build(losschecks.LONG_PREFIX, "idempotent"),
    }
    routes["r-long"]["timeout"] = f"{losschecks.LONG_TIMEOUT_S}s"
    for number in range(1, generation + 1):
        routes[f"r-gen-{number}"] = build(f"{checks.GENERATION_PREFIX}{number}/", "idempotent")
    has_passing, is_urgent = variant % 2 == 0, variant >= VARIANT_COUNT // 2
    if has_passing:
        routes["r-passing"] = build(PASSING_PREFIX, "idempotent", CALM_SERVICE)
    # Services of the moved route: the usual one, the calm one, or both.
    moved_services = (["catalogue"], [CALM_SERVICE], ["catalogue", CALM_SERVICE])[variant % 3]
    moved = routes["r-moved"] = build(MOVED_PREFIX, "idempotent", moved_services)
    moved.update(priority=0 if is_urgent else 2, maxAttempts=3 if is_urgent else 1)
    spec = platformdata.build_configuration_spec(
        generation, routes=routes, cold_rate=demandchecks.COLD_RATE
    )
    if has_passing or CALM_SERVICE in moved_services:
        spec["services"][CALM_SERVICE] = dict(spec["services"]["catalogue"])
    return spec
