"""Checks that hosts respect what upstreams ask for, and the rate of upstreams that restarted cold.

Hosts that were restarted or frozen since they had got the answer are excused.
"""

import collections

from bench.soak import bounds, records

# What the upstreams of the soak ask for, and the bounds that the users set on it.
LIMIT = 2.0
PAUSE_S = 1.5
COLD_RATE = 2.0
COLD_S = 3.0
MAX_COLD_RUNS = COLD_RATE * 1.5 + 5.0
MAX_LIMITED_RUNS = 1.5 * 4.0 * LIMIT + 5.0
MAX_PAUSED_REQUESTS = 2
LIMIT_WINDOW_S = 4.0
REACTION_S = 0.5


def check_limits(observations):
    """Checks that an upstream gets what it takes from the hosts that it has told its limit."""
    for demand in _list_demands(observations, records.DemandKind.LIMIT):
        told = _find_told_times(observations, demand)
        if not told:
            continue
        begin = min(told.values()) + bounds.CONTACT_S
        times = [
            run.at
            for host, run, _ in _list_runs(observations, demand.upstream_id)
            if begin <= run.at <= demand.end
            and run.at >= told.get(host, float("inf")) + REACTION_S
            and not _is_excused(observations, host, told[host], run.at)
        ]
        most = _count_most(times, LIMIT_WINDOW_S)
        if most > MAX_LIMITED_RUNS:
            yield f"{demand.upstream_id} got {most} requests in 4 s beyond its limit"


def check_leaving(observations):
    """Checks that a host sends no later request to an upstream whose answer said that it leaves."""
    for demand in _list_demands(observations, records.DemandKind.LEAVING):
        told = _find_told_times(observations, demand)
        for host, run, request in _list_runs(observations, demand.upstream_id):
            told_at = told.get(host, float("inf"))
            is_late = request.sent_at > told_at + bounds.DRAIN_S
            if is_late and not _is_excused(observations, host, told_at, run.at):
                yield f"{run.request_id} reached {run.upstream_id} although it says that it leaves"


def check_pauses(observations):
    """Checks that a host sends nothing to an upstream that refused with a time to return."""
    hosts = {request.request_id: request.host for request in observations.client_requests}
    arrivals = collections.defaultdict(list)
    for item in (*observations.runs, *observations.refusals):
        arrivals[item.upstream_id, hosts[item.request_id]].append(item.at)
    for demand in _list_demands(observations, records.DemandKind.PAUSE):
        for refusal in observations.refusals:
            end = refusal.at + PAUSE_S
            if refusal.upstream_id != demand.upstream_id or not demand.begin < refusal.at:
                continue
            if end > demand.end:
                continue
            host = hosts[refusal.request_id]
            times = arrivals[refusal.upstream_id, host]
            count = sum(refusal.at + REACTION_S < at < end for at in times)
            if count > MAX_PAUSED_REQUESTS and not _is_excused(observations, host, refusal.at, end):
                yield f"{refusal.upstream_id} got {count} requests before the time to return"
                break


def check_cold_restarts(observations):
    """Checks that an upstream that restarted under its id gets at most its cold rate."""
    for upstream_id, at in observations.restarts:
        times = [
            run.at
            for run in observations.runs
            if run.upstream_id == upstream_id and at <= run.at <= at + COLD_S
        ]
        most = _count_most(times, 1.0)
        if most > MAX_COLD_RUNS:
            yield f"{upstream_id} got {most} requests in a second after its restart"


def check_reboots(observations):
    """Checks that the next process of an upstream gets at most its cold rate once it listens.

    Its connections were refused, so no host is excused, whatever the store names.
    """
    for reboot in observations.reboots:
        times = [
            run.at
            for run in observations.runs
            if (run.upstream_id, run.process) == (reboot.upstream_id, reboot.process)
            and run.at <= reboot.at + COLD_S
        ]
        most = _count_most(times, 1.0)
        if most > MAX_COLD_RUNS:
            yield f"{reboot.upstream_id} got {most} requests in a second once it listened again"


CHECKS = (check_limits, check_leaving, check_pauses, check_cold_restarts, check_reboots)


def _list_demands(observations, kind):
    return [demand for demand in observations.demands if demand.kind is kind]


def _list_runs(observations, upstream_id):
    """Returns the host, Run and ClientRequest of each run at an upstream."""
    requests = {request.request_id: request for request in observations.client_requests}
    runs = [run for run in observations.runs if run.upstream_id == upstream_id]
    return [(requests[run.request_id].host, run, requests[run.request_id]) for run in runs]


def _find_told_times(observations, demand):
    """Returns the time at which each host first passed on an answer that states the demand."""
    told = {}
    for host, run, request in _list_runs(observations, demand.upstream_id):
        # A retry may have been answered by another upstream.
        is_told = request.body.startswith(f"{demand.upstream_id}:".encode())
        if request.status == 200 and is_told and demand.begin <= run.at <= demand.end:
            told[host] = min(request.ended_at, told.get(host, float("inf")))
    return told


def _count_most(times, window_s):
    """Returns the most times within any window of a length in seconds."""
    return max((sum(begin <= at < begin + window_s for at in times) for begin in times), default=0)


def _is_excused(observations, host, begin, end):
    return observations.is_disturbed(host, begin, end, records.DisturbedPart.PROCESS)
