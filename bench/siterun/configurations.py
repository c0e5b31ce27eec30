"""Builds the versions of a site's configuration, without input or output."""

from standins import platformdata

# Time-outs of the routes as shares of the deadline, from version to version.
TIMEOUT_SHARES = (0.7, 0.85, 1.0, 1.3)
# Share of the idempotent routes that a version splits between two services, and the second one.
SPLIT_SHARE = 0.3
SECOND_SERVICE = "bookings"
# Routes that no client uses come and go.
MAX_UNUSED_ROUTES = 8
COLD_RATE_PER_S = 15.0


def build_version(site, number, rng):
    """Builds a version of the configuration.

    Args:
      site: The shape.SiteShape.
      number: Number of the version.
      rng: Random generator for time-outs, splits and unused routes.
    Returns:
      A tuple of the spec in the format of the platform's store, and a dict of the time-outs of its
      routes in seconds by kind of request.
    """
    timeouts_s = {
        request.name: rng.choice(TIMEOUT_SHARES) * request.deadline_s for request in site.requests
    }
    routes = {
        f"r-{request.name}": _build_route(request, timeouts_s[request.name], rng)
        for request in site.requests
    }
    for index in range(rng.randint(0, MAX_UNUSED_ROUTES)):
        routes[f"r-unused-{index}"] = platformdata.build_route_spec(
            f"/unused-{index}/", "idempotent"
        )
    spec = platformdata.build_configuration_spec(number, routes=routes, cold_rate=COLD_RATE_PER_S)
    (fields,) = spec["services"].values()
    spec["services"] = {service.name: dict(fields) for service in site.services}
    spec["limits"]["idleTimeout"] = f"{int(1000 * site.idle_timeout_s)}ms"
    return spec, timeouts_s


def _build_route(request, timeout_s, rng):
    kind = "idempotent" if request.is_idempotent else "non_idempotent"
    services = request.service
    if request.is_idempotent and rng.random() < SPLIT_SHARE:
        services = [request.service, SECOND_SERVICE]
    route = platformdata.build_route_spec(request.prefix, kind, services)
    route["timeout"] = f"{int(1000 * timeout_s)}ms"
    route["targetLatency"] = f"{int(1000 * request.aim_s)}ms"
    route["priority"] = request.priority
    return route
