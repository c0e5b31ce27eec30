"""Builds the configurations of a soak run, without input or output."""

import itertools

from bench.soak import checks, demandchecks, denialchecks, frail, losschecks
from standins import platformdata

# The service of the upstreams that no fault of the schedule concerns.
CALM_SERVICE = "larder"
# Routes of the first, which moves between the services, and of the second, which comes and goes.
MOVED_PREFIX = "/moved/"
PASSING_PREFIX = "/passing/"
VARIANT_COUNT = 12
# Routes that come and go: the same prefixes on several sites, with longer ones below them.
SITES = (platformdata.SITE, "depot.example", "annex.example")
EDITED_PREFIXES = ("/ta/", "/ta/deep/", "/ta/deep/er/", "/tb/", "/tb/deep/", "/kept/deep/")
EDITED_PLACES = tuple(itertools.product(SITES, EDITED_PREFIXES))
# Test routes that all versions have, on each site, and places that none has.
KEPT_PLACES = tuple((site, "/kept/") for site in SITES)
UNKNOWN_PLACES = ((platformdata.SITE, "/never/"), ("never.example", "/kept/"), (SITES[1], "/t/"))
# Few names, so that one that was removed soon names another route.
NAME_COUNT = 24
FIRST_EDITED_COUNT = 9
MAX_EDITS = 3
# None is shorter than losschecks.TIMEOUT_S.
TIMEOUTS = ("1s", "1.2s", "1.5s")
_SERVICES = ("catalogue", CALM_SERVICE, ["catalogue", CALM_SERVICE])


def build_test_routes():
    """Builds the test routes of the first version, by name."""
    places = KEPT_PLACES + EDITED_PLACES[::2][:FIRST_EDITED_COUNT]
    return {f"t{index}": _build_test_route(place) for index, place in enumerate(places)}


def edit_routes(routes, rng):
    """Returns test routes after a few edits that are drawn with ``rng``; kept ones stay."""
    routes = dict(routes)
    for _ in range(rng.randint(1, MAX_EDITS)):
        edit = rng.choice((_toggle_route, _toggle_route, _rename_route, _move_route, _retime_route))
        edit(routes, rng)
    return routes


def _toggle_route(routes, rng):
    place = rng.choice(EDITED_PLACES)
    names = [name for name, route in routes.items() if platformdata.get_place(route) == place]
    if names:
        del routes[names[0]]
    else:
        routes[_draw_name(routes, rng)] = _build_test_route(place, rng.choice(_SERVICES))


def _rename_route(routes, rng):
    name = rng.choice(list(routes))
    routes[_draw_name(routes, rng)] = routes.pop(name)


def _move_route(routes, rng):
    name = rng.choice(list(routes))
    routes[name] = _build_test_route(platformdata.get_place(routes[name]), rng.choice(_SERVICES))


def _retime_route(routes, rng):
    name = rng.choice(list(routes))
    routes[name] = {**routes[name], "timeout": rng.choice(TIMEOUTS)}


def _draw_name(routes, rng):
    return rng.choice([f"t{index}" for index in range(NAME_COUNT) if f"t{index}" not in routes])


def _build_test_route(place, service="catalogue"):
    site, prefix = place
    return platformdata.build_route_spec(prefix, "idempotent", service, site=site)


def build_configuration(generation, variant, version, test_routes):
    """Builds a generation of the configuration.

    Args:
      generation: Its number; each one adds a route and keeps those of all earlier ones.
      variant: Number below VARIANT_COUNT, which decides about the routes and services that change.
      version: Number of the version, which also counts those without a new generation.
      test_routes: Further routes by name.
    Returns:
      The spec in the format of the platform's store.
    """
    build = platformdata.build_route_spec
    routes = {
        "r-read": build("/read/", "idempotent"),
        "r-order": build("/order/", "non_idempotent"),
        "r-home": build(checks.HOME_PREFIX, "idempotent", regions=[checks.HOME_REGION]),
        "r-long": build(losschecks.LONG_PREFIX, "idempotent"),
        "r-frail": build(frail.PREFIX, "non_idempotent", frail.SERVICE),
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
    routes.update(test_routes)
    spec = platformdata.build_configuration_spec(
        version, routes=routes, cold_rate=demandchecks.COLD_RATE
    )
    spec["services"][frail.SERVICE] = dict(spec["services"]["catalogue"])
    spec["limits"]["maxBodyBytes"] = frail.MAX_BODY_BYTES
    if any(CALM_SERVICE in names for names in denialchecks.list_routes(spec).values()):
        spec["services"][CALM_SERVICE] = dict(spec["services"]["catalogue"])
    return spec
