"""Admission of requests: checks of suspects and copies, deadlines, and limits of the region."""

from skylarksill import (
    _dispatchevents,
    _dispatchstate,
    _endings,
    _offers,
    _placement,
    queueing,
    records,
    suspects,
)

SUSPECT_RETRY_MS = 1_000
NO_UPSTREAM_RETRY_MS = 500
REGION_FULL_RETRY_MS = 200
# Ratio of an exponential distribution. It bounds the measured mean, which includes slowed upstreams
# that the capacity does not count; the median is little affected by a few of them.
MAX_MEAN_PER_MEDIAN = 1.44
# With one request per slot the queue overflows in bursts at 85% load. Deadlines limit
# the queue as well.
MAX_WAITING_PER_SLOT = 10
# With a margin of one p95 latency, 2% of the requests started at 150% load missed their deadline.
LATENCY_MARGIN_FACTOR = 2


def admit_request(state, request, now, actions):
    """Handles the arrival of a request: refuses, starts or queues it.

    Raises:
      ValueError: If a request with this id is still being handled.
    """
    if request.request_id in state.requests_in_progress:
        raise ValueError(f"request {request.request_id} is already being handled")
    service = state.services.get(request.service_id)
    if service is None:
        _refuse_unknown(state, request, actions)
        return
    work = _make_work(state, service, request, now)
    state.requests_in_progress[request.request_id] = work
    if not request.hops:
        # A forwarded request was counted by the dispatcher that forwarded it; counting it again
        # would double the budgets.
        service.hedge_budget.record_request()
        service.retry_budget.record_request()
    if state.is_stopping:
        _endings.refuse_work(state, work, "leaving", "this dispatcher is stopping", actions, now)
        return
    state.add_timer(work.deadline, _dispatchstate.TimerKind.WORK_DEADLINE, request.request_id)
    admit_work(state, work, now, actions)


def resume_released(state, now, actions):
    """Admits the requests that waited for one with the same fingerprint, which has ended."""
    while state.released_copies:
        work = state.released_copies.pop(0)
        if state.requests_in_progress.get(work.request.request_id) is work:
            admit_work(state, work, now, actions)


def admit_work(state, work, now, actions):
    """Checks the fingerprint of work and the limits, then queues or refuses it."""
    if state.suspects.is_suspect(work.fingerprint, now):
        _handle_suspect(state, work, now, actions)
        return
    if _must_wait_for_first(state, work):
        work.state = _dispatchstate.WorkState.HELD
        state.waiting_copies.setdefault(work.fingerprint, []).append(work)
        return
    service = work.service
    service.update_health(now)
    if not work.is_admitted and not _check_limits(state, work, now, actions):
        return
    work.state = _dispatchstate.WorkState.QUEUED
    service.queue.push(work.request.request_id, work, work.is_long, now)
    _placement.place_queued(state, service, now, actions)


def _make_work(state, service, request, now):
    return _dispatchstate.Work(
        request=request,
        service=service,
        fingerprint=suspects.fingerprint_request(request),
        arrived_at=now,
        deadline=now + min(request.deadline_ms / 1000, service.max_deadline_s),
        is_long=service.routes.is_long(request.path, service.mean_s),
        is_foreign=request.home_region != state.region,
    )


def _refuse_unknown(state, request, actions):
    reason = "no_configuration" if state.configuration is None else "unknown_service"
    refusal = records.Refusal(
        records.Verdict.NOT_RUN, reason, f"service {request.service_id} is not served here"
    )
    actions.append(_dispatchevents.Refuse(request.request_id, refusal))


def _must_wait_for_first(state, work):
    # As long as no upstream has answered a request with this fingerprint, each copy could take
    # down one upstream, so only the first one runs.
    if state.suspects.has_been_answered(work.fingerprint):
        return False
    return state.first_by_fingerprint.setdefault(work.fingerprint, work) is not work


def _handle_suspect(state, work, now, actions):
    if state.suspects.is_blocked(work.fingerprint, now):
        detail = "the request took down the upstreams that ran it"
        _endings.refuse_work(state, work, "blocked_request", detail, actions, now)
    elif not state.suspects.is_seen_only_here(work.fingerprint, now):
        # Only the dispatcher that saw the upstream die runs a suspect; otherwise two could run it
        # at the same time.
        detail = "another dispatcher examines whether the request takes upstreams down"
        _endings.refuse_work(
            state, work, "suspect_request", detail, actions, now, retry_after_ms=SUSPECT_RETRY_MS
        )
    elif work.is_admitted or _check_limits(state, work, now, actions):
        work.state = _dispatchstate.WorkState.ALONE
        work.service.pending_suspects[work.request.request_id] = work
        _placement.place_alone(state, work.service, now, actions)


def _check_limits(state, work, now, actions):
    """Admits work and returns True, or refuses it if it would start too late or exceed a limit."""
    fields = _describe_refusal(state, work, now)
    if fields is None:
        work.is_admitted = True
        return True
    _endings.refuse_work(state, work, actions=actions, now=now, **fields)
    return False


def _describe_refusal(state, work, now):
    service = work.service
    if work.request.hops and not _offers.can_start_now(state, work, now):
        return {
            "reason": _offers.NO_FREE_SLOT,
            "detail": "no slot is free for work of another dispatcher",
        }
    capacity = service.count_capacity_slots(now)
    if capacity == 0:
        return {
            "reason": "no_upstream",
            "detail": "no upstream of the service has a usable slot",
            "retry_after_ms": NO_UPSTREAM_RETRY_MS,
        }
    if _would_miss_deadline(service, work, capacity, now):
        return {
            "reason": "queue_full",
            "detail": "the queue is too long for the request's deadline",
            "limit": "queue",
            "retry_after_ms": int(_estimate_wait_s(service, work, capacity) * 1000),
        }
    if _is_region_full(state, now):
        return {
            "reason": "region_full",
            "detail": "this dispatcher's share of the region's headroom is used up",
            "limit": "max_in_flight",
            "retry_after_ms": REGION_FULL_RETRY_MS,
        }
    if work.is_foreign and state.compute_shift_wait_s(now) != 0.0:
        return _endings.describe_shift_cap(state, now)
    return None


def _is_region_full(state, now):
    share = state.count_allowed_sends(now)
    if len(state.sends) < share:
        return False
    waiting = sum(len(service.queue) for service in state.services.values())
    return waiting >= MAX_WAITING_PER_SLOT * share


def _would_miss_deadline(service, work, capacity, now):
    if not len(service.queue):
        return False
    margin_s = LATENCY_MARGIN_FACTOR * service.latency.find_quantile(_placement.LATE_PERCENTILE)
    margin_s = min(margin_s, (work.deadline - work.arrived_at) / 2)
    return now + _estimate_wait_s(service, work, capacity) + margin_s > work.deadline


def _estimate_wait_s(service, work, capacity):
    mean_s = min(service.latency.mean_s, service.median_s * MAX_MEAN_PER_MEDIAN)
    wait_s = (len(service.queue) + 1) * mean_s / capacity
    if not work.is_long:
        return wait_s
    long_s = queueing.LONG_FACTOR * service.mean_s
    long_slots = queueing.count_long_slots(capacity)
    return max(wait_s, service.queue.long_count * long_s / long_slots)
