"""Checks the promises of the system on the observations of a run, without input or output.

A time bound applies to a host that has not been disturbed for CONTACT_S. A host whose connection to
the store is disturbed must still get changes from its peers, within PEER_PROPAGATION_S more.
"""

import collections

from bench.soak import bounds, demandchecks, denialchecks, frailchecks, losschecks, records
from standins import platformdata

NOT_RUN_STATUSES = (408, 421, 429, 503)
GENERATION_PREFIX = "/gen-"
HOME_PREFIX = "/home/"
HOME_REGION = "north"


def list_violations(observations):
    """Returns a description of each promise that the Observations violate."""
    checks = (
        check_at_most_once,
        check_rejections,
        check_answers,
        check_homes,
        check_drains,
        check_evacuations,
        check_configuration,
        check_stops,
        check_retries,
        check_recovery,
        losschecks.check_losses,
        losschecks.check_kept_connections,
        denialchecks.check_denials,
        *demandchecks.CHECKS,
        *frailchecks.CHECKS,
    )
    return [text for check in checks for text in check(observations)] + observations.crashes


def check_at_most_once(observations):
    """Checks that a non-idempotent request runs at most once."""
    counts = collections.Counter(run.request_id for run in observations.runs)
    for request in observations.client_requests:
        if not request.is_idempotent and counts[request.request_id] > 1:
            yield (
                f"{request.request_id} is not idempotent"
                f" and ran {counts[request.request_id]} times"
            )


def check_rejections(observations):
    """Checks that a request has not run if its answer says so."""
    ran = {run.request_id for run in observations.runs}
    for request in observations.client_requests:
        is_promise = request.status in NOT_RUN_STATUSES
        if is_promise and not request.is_idempotent and request.request_id in ran:
            yield f"{request.request_id} was answered {request.status} and has run"


def check_answers(observations):
    """Checks that a 200 is the complete answer of an upstream that ran the request."""
    upstream_ids = collections.defaultdict(set)
    for run in observations.runs:
        upstream_ids[run.request_id].add(run.upstream_id)
    for request in observations.client_requests:
        is_whole = request.is_signed and any(
            request.body
            == platformdata.build_answer_body(upstream_id, request.request_id, request.target)
            for upstream_id in upstream_ids[request.request_id]
        )
        if request.status == 200 and not is_whole:
            yield f"{request.request_id} was answered with foreign bytes {request.body[:40]!r}"


def check_homes(observations):
    """Checks that requests with a home region run only in that region."""
    home_request_ids = {
        request.request_id
        for request in observations.client_requests
        if request.target.startswith(HOME_PREFIX)
    }
    for run in observations.runs:
        if run.request_id in home_request_ids and run.region != HOME_REGION:
            yield f"{run.request_id} ran in {run.region}"


def check_drains(observations):
    """Checks that a draining upstream gets no request after the drain bound."""
    requests_by_id = {request.request_id: request for request in observations.client_requests}
    for run in observations.runs:
        left_at = observations.leave_times.get(run.upstream_id)
        if left_at is None or run.at <= left_at:
            continue
        bound_s = bounds.find_bound_s(
            observations, requests_by_id[run.request_id].host, left_at, run.at, bounds.DRAIN_S
        )
        if run.at > left_at + bound_s:
            late_s = run.at - left_at
            yield f"{run.request_id} reached {run.upstream_id} {late_s:.2f} s after it left"


def check_evacuations(observations):
    """Checks that an evacuated zone gets no request after the evacuation bound."""
    requests_by_id = {request.request_id: request for request in observations.client_requests}
    for evacuation in observations.evacuations:
        for run in observations.runs:
            if run.zone != evacuation.zone or not evacuation.begin < run.at < evacuation.end:
                continue
            host = requests_by_id[run.request_id].host
            bound_s = bounds.find_bound_s(
                observations, host, evacuation.begin, run.at, bounds.EVACUATE_S
            )
            if run.at > evacuation.begin + bound_s:
                yield f"{run.request_id} reached evacuated zone {run.zone}"


def check_configuration(observations):
    """Checks that a host applies a generation in time and its process never rolls it back."""
    requests = [
        (request, int(request.target.removeprefix(GENERATION_PREFIX).partition("/")[0]))
        for request in observations.client_requests
        if request.target.startswith(GENERATION_PREFIX)
    ]
    served = collections.defaultdict(list)
    for request, generation in requests:
        if request.status == 200:
            served_at = request.ended_at + bounds.ROLLBACK_SLACK_S
            served[request.host, generation].append(served_at)
    for request, generation in requests:
        if request.status != 404:
            continue
        written_at = observations.generations[generation]
        bound_s = bounds.find_bound_s(
            observations, request.host, written_at, request.sent_at, bounds.CONFIG_APPLY_S
        )
        if request.sent_at > written_at + bound_s:
            yield f"{request.request_id}: host {request.host} lacks generation {generation}"
        if any(
            served_at < request.sent_at
            and not _has_restarted(observations, request.host, served_at, request.sent_at)
            for served_at in served[request.host, generation]
        ):
            yield f"{request.request_id}: host {request.host} gave up generation {generation}"


def check_stops(observations):
    """Checks that a graceful stop ends in time."""
    for stop in observations.stops:
        span = (stop.requested_at - bounds.CONTACT_S, stop.ended_at)
        if observations.is_disturbed(stop.host, *span, records.DisturbedPart.PROCESS):
            continue
        duration_s = stop.ended_at - stop.requested_at
        if stop.code != 0 or duration_s > bounds.STOP_GRACE_S + bounds.SCHEDULING_DELAY_S:
            yield f"host {stop.host} ended with {stop.code} after {duration_s:.2f} s"


def check_retries(observations):
    """Checks that repeated runs of requests stay within the retry budget."""
    first_runs = {}
    repeat_times = []
    for run in sorted(observations.runs, key=lambda run: run.at):
        if first_runs.setdefault(run.request_id, run) is not run:
            repeat_times.append(run.at)
    sent_times = sorted(request.sent_at for request in observations.client_requests)
    for begin in repeat_times:
        count = sum(begin <= at < begin + bounds.RETRY_WINDOW_S for at in repeat_times)
        requests = sum(
            begin - bounds.RETRY_WINDOW_S <= at < begin + bounds.RETRY_WINDOW_S for at in sent_times
        )
        if count > bounds.RETRY_RATIO * requests + bounds.RETRY_EXTRA:
            yield f"{count} repeated sends within {bounds.RETRY_WINDOW_S} s for {requests} requests"
            return


def check_recovery(observations):
    """Checks that each host serves requests again after the last fault."""
    for host, has_recovered in observations.recovered.items():
        if not has_recovered:
            yield f"host {host} did not serve again after the last fault"


def _has_restarted(observations, host, begin, end):
    return observations.is_disturbed(host, begin, end, records.DisturbedPart.PROCESS)
