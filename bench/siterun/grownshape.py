"""The grown fleet of a site: 23 hosts in nine zones, with a third of its upstreams and requests."""

import dataclasses

from bench.siterun import shape

_HOSTS_BY_ZONE = {
    "east-a": 3,
    "west-a": 3,
    "south-a": 3,
    "east-b": 3,
    "west-b": 3,
    "south-b": 2,
    "east-c": 2,
    "west-c": 2,
    "south-c": 2,
}
_CLIENTS_BY_ZONE = 40
_UPSTREAMS_BY_ZONE = {"catalogue": 5, "bookings": 2, "orders": 2}
_SLOTS = 6
_QUEUE = 18
# Share, deadline, aim and mean work of each kind of request, in seconds.
_REQUESTS = {
    "lookup": (5.66, 6.1, 0.82, 1.44),
    "reserve": (1.71, 8.1, 1.21, 1.80),
    "payment": (1.92, 5.1, 0.65, 0.95),
    "check": (1.50, 2.6, 0.43, 0.53),
}
_MAX_WORK_FACTOR = 10.0


def _change_request(request):
    share, deadline_s, aim_s, work_s = _REQUESTS[request.name]
    work = dataclasses.replace(request.work_s, mean=work_s, most=_MAX_WORK_FACTOR * work_s)
    return dataclasses.replace(
        request, share=share, deadline_s=deadline_s, aim_s=aim_s, work_s=work
    )


GROWN = dataclasses.replace(
    shape.THREE_REGIONS,
    zones=tuple(
        shape.ZoneShape(name, name.partition("-")[0], count, _CLIENTS_BY_ZONE, _UPSTREAMS_BY_ZONE)
        for name, count in _HOSTS_BY_ZONE.items()
    ),
    services=tuple(
        shape.ServiceShape(service.name, _SLOTS, _QUEUE) for service in shape.THREE_REGIONS.services
    ),
    requests=tuple(map(_change_request, shape.THREE_REGIONS.requests)),
    rate_per_s=360.0,
    client_delay_s=0.003,
    contact_s=4.0,
    apply_s=3.0,
    settings=(
        "terms.bounds.contact=4000ms",
        "terms.bounds.configApply=3000ms",
        "terms.bounds.drain=3000ms",
        "terms.bounds.grace=6s",
        "terms.bounds.retryBudgetExtra=162",
    ),
)
