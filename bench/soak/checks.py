"""Promises that are checked on what a run has seen. No input or output.

A bound in time holds for hosts without trouble for CONTACT_S. A host whose own path to the store is
disturbed must still learn from its peers, within MAX_SKEW_S more.
"""

import collections

from bench.soak import records

# Bounds of the soak's settings, see standins.platformdata, and of the users' rules.
CONTACT_S = 4.0
DRAIN_S = 2.5
EVACUATE_S = 5.0
CONFIG_APPLY_S = 2.5
ROLLBACK_SLACK_S = 0.25
MAX_SKEW_S = 6.0
GRACE_S = 3.0
RETRY_RATIO = 0.2
RETRY_EXTRA = 58
RETRY_WINDOW_S = 10.0
# One machine runs all processes of the soak, so their wake-ups are late by a little.
SCHEDULING_S = 0.3
NOT_RUN_STATUSES = (408, 421, 429, 503)
GENERATION_PREFIX = "/gen-"
HOME_PREFIX = "/home/"
HOME_REGION = "north"


def list_violations(seen):
    """Returns descriptions of all violated promises in Observations."""
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
    )
    return [text for check in checks for text in check(seen)] + seen.crashes


def check_at_most_once(seen):
    """Non-idempotent requests run once at most."""
    counts = collections.Counter(run.request_id for run in seen.runs)
    for send in seen.sends:
        if not send.is_idempotent and counts[send.request_id] > 1:
            yield f"{send.request_id} is not idempotent and ran {counts[send.request_id]} times"


def check_rejections(seen):
    """An answer that promises that the request has not run is true."""
    ran = {run.request_id for run in seen.runs}
    for send in seen.sends:
        is_promise = send.status in NOT_RUN_STATUSES
        if is_promise and not send.is_idempotent and send.request_id in ran:
            yield f"{send.request_id} was answered {send.status} and has run"


def check_answers(seen):
    """A success is the whole answer of an upstream that ran the request."""
    bodies = collections.defaultdict(set)
    for run in seen.runs:
        bodies[run.request_id].add(f"{run.upstream_id}:{run.request_id}".encode())
    for send in seen.sends:
        if send.status == 200 and not (send.is_signed and send.body in bodies[send.request_id]):
            yield f"{send.request_id} was answered with foreign bytes {send.body[:40]!r}"


def check_homes(seen):
    """Requests with a home region run there only."""
    homes = {send.request_id for send in seen.sends if send.target.startswith(HOME_PREFIX)}
    for run in seen.runs:
        if run.request_id in homes and run.region != HOME_REGION:
            yield f"{run.request_id} ran in {run.region}"


def check_drains(seen):
    """An upstream that leaves gets no request after the drain time."""
    senders = {send.request_id: send for send in seen.sends}
    for run in seen.runs:
        left_at = seen.leaves.get(run.upstream_id)
        if left_at is None or run.at <= left_at:
            continue
        bound_s = _find_bound_s(seen, senders[run.request_id].host, left_at, run.at, DRAIN_S)
        if run.at > left_at + bound_s:
            late_s = run.at - left_at
            yield f"{run.request_id} reached {run.upstream_id} {late_s:.2f} s after it left"


def check_evacuations(seen):
    """The upstreams of an evacuated zone get no request after the evacuation time."""
    senders = {send.request_id: send for send in seen.sends}
    for evacuation in seen.evacuations:
        for run in seen.runs:
            if run.zone != evacuation.zone or not evacuation.begin < run.at < evacuation.end:
                continue
            host = senders[run.request_id].host
            bound_s = _find_bound_s(seen, host, evacuation.begin, run.at, EVACUATE_S)
            if run.at > evacuation.begin + bound_s:
                yield f"{run.request_id} reached evacuated zone {run.zone}"


def check_configuration(seen):
    """A generation is in force in time and never given up again by the same process."""
    served = {}
    for send in sorted(seen.sends, key=lambda send: send.sent_at):
        if not send.target.startswith(GENERATION_PREFIX) or send.status is None:
            continue
        generation = int(send.target.removeprefix(GENERATION_PREFIX).partition("/")[0])
        if send.status == 404:
            written_at = seen.generations[generation]
            bound_s = _find_bound_s(seen, send.host, written_at, send.sent_at, CONFIG_APPLY_S)
            if send.sent_at > written_at + bound_s:
                yield f"{send.request_id}: host {send.host} lacks generation {generation}"
            known_at = served.get((send.host, generation))
            if known_at is not None and not _has_restarted(seen, send.host, known_at, send.sent_at):
                yield f"{send.request_id}: host {send.host} gave up generation {generation}"
        elif send.status == 200:
            served.setdefault((send.host, generation), send.ended_at + ROLLBACK_SLACK_S)


def check_stops(seen):
    """A host that is told to stop ends in time and cuts off no request that runs."""
    ran = {run.request_id: run for run in seen.runs}
    for stop in seen.stops:
        span = (stop.asked_at - CONTACT_S, stop.ended_at)
        if _is_disturbed(seen, stop.host, *span, records.Trouble.PROCESS):
            continue
        took_s = stop.ended_at - stop.asked_at
        if stop.code != 0 or took_s > GRACE_S + SCHEDULING_S:
            yield f"host {stop.host} ended with {stop.code} after {took_s:.2f} s"
        for send in seen.sends:
            run = ran.get(send.request_id)
            is_cut = send.host == stop.host and send.status is None and run is not None
            is_cut = is_cut and stop.asked_at <= send.ended_at <= stop.ended_at + SCHEDULING_S
            if is_cut and not _is_spoilt(seen, run, send.ended_at):
                yield f"{send.request_id} was cut off by the stop of host {stop.host}"


def check_retries(seen):
    """Sends beyond the first of each request keep to the budget."""
    first = {}
    repeats = []
    for run in sorted(seen.runs, key=lambda run: run.at):
        if first.setdefault(run.request_id, run) is not run:
            repeats.append(run.at)
    sent = sorted(send.sent_at for send in seen.sends)
    for begin in repeats:
        count = sum(begin <= at < begin + RETRY_WINDOW_S for at in repeats)
        requests = sum(begin - RETRY_WINDOW_S <= at < begin + RETRY_WINDOW_S for at in sent)
        if count > RETRY_RATIO * requests + RETRY_EXTRA:
            yield f"{count} repeated sends within {RETRY_WINDOW_S} s for {requests} requests"
            return


def check_recovery(seen):
    """Each host serves again after the last fault."""
    for host, has_recovered in seen.recovered.items():
        if not has_recovered:
            yield f"host {host} did not serve again after the last fault"


def _find_bound_s(seen, host, since, until, bound_s):
    """Returns the bound that holds for a host between two times; infinite if none does."""
    begin = since - CONTACT_S
    bound_s += SCHEDULING_S
    if _is_disturbed(seen, host, begin, until, records.Trouble.PROCESS):
        return float("inf")
    if _is_disturbed(seen, None, begin, until, records.Trouble.STORE):
        return float("inf")
    if _is_disturbed(seen, host, begin, until, records.Trouble.STORE_PATH):
        return bound_s + MAX_SKEW_S
    return bound_s


def _is_disturbed(seen, host, begin, end, trouble):
    return any(
        item.trouble is trouble and item.host == host and item.begin <= end and item.end >= begin
        for item in seen.disturbances
    )


def _has_restarted(seen, host, begin, end):
    return _is_disturbed(seen, host, begin, end, records.Trouble.PROCESS)


def _is_spoilt(seen, run, at):
    spans = seen.spoilt.get(run.upstream_id, ())
    return any(begin <= at and end >= run.at for begin, end in spans)
