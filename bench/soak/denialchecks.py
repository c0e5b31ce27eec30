"""Checks that hosts handle requests as a configuration says that may be in force.

In force may be the newest version whose time to reach the host was over when a request was sent,
and all later ones that were sent before its end. On a host that was disturbed it may be any version
sent before that end.
"""

import collections

from bench.soak import bounds, records
from standins import platformdata

# Statuses of a host's own that deny nothing: the request was not run, and may be sent again.
_REFUSALS = (408, 421, 429)


def list_routes(spec):
    """Returns the services of each route of a configuration's spec, by site and path prefix."""
    return {
        platformdata.get_place(route): platformdata.list_services(route)
        for route in spec["routes"].values()
    }


def check_denials(observations):
    """Checks that denied requests, and the services of those that ran, have a version's consent."""
    services = collections.defaultdict(set)
    for run in observations.runs:
        services[run.request_id].add(run.service)
    for request in observations.client_requests:
        is_denied = (
            request.status is not None
            and 300 <= request.status < 500
            and request.status not in _REFUSALS
            and not request.is_signed
        )
        ran = services[request.request_id]
        if not (is_denied or ran):
            continue
        sent = [item for item in observations.versions if item.sent_at <= request.ended_at]
        oldest = _find_oldest(observations, request)
        matches = [_match(version, request) for version in sent]
        in_force = matches[oldest:]
        path = f"{request.request_id} for {request.site}{request.target}"
        if is_denied and in_force and all(in_force):
            reason = "no version allows"
            if request.status == 404 and not all(matches):
                reason = f"only versions before {sent[oldest].number} allow"
            yield f"{path} got {request.status} from host {request.host}, which {reason}"
        for service in ran:
            if in_force and not any(service in match for match in in_force):
                reason = "no version allows"
                if any(service in match for match in matches):
                    reason = f"only versions before {sent[oldest].number} allow"
                yield f"{path} ran at {service} by host {request.host}, which {reason}"


def _find_oldest(observations, request):
    """Returns the index of the oldest version that may be in force for a request, or 0."""
    for reach_s in (0.0, bounds.PEER_PROPAGATION_S):
        latest_s = bounds.CONFIG_APPLY_S + bounds.SCHEDULING_DELAY_S + reach_s
        due = [
            index
            for index, version in enumerate(observations.versions)
            if version.acknowledged_at + latest_s < request.sent_at
        ]
        if due:
            since = observations.versions[due[-1]].acknowledged_at
            bound_s = bounds.find_bound_s(
                observations, request.host, since, request.sent_at, bounds.CONFIG_APPLY_S
            )
            if bound_s <= latest_s:
                return due[-1]
    return 0


def _match(version, request):
    """Returns the services of the route that a version selects, which are empty without one."""
    path = request.target.partition("?")[0]
    while path:
        path = path[: path.rindex("/") + 1]
        if (request.site, path) in version.routes:
            return version.routes[request.site, path]
        path = path[:-1]
    return records.NO_SERVICES
