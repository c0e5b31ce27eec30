"""Outcomes of sends: answers, failures, upstreams that died, cancellations and deadlines."""

from skylarksill import (
    _admission,
    _adoption,
    _dispatchevents,
    _dispatchstate,
    _endings,
    _offers,
    _placement,
    health,
    queueing,
    records,
    suspects,
)

MAX_ATTEMPTS = 3

_LEAVING_HEADER_SOURCE = "answer"
_IN_PROGRESS = (_dispatchstate.WorkState.FORWARDED, _dispatchstate.WorkState.RUNNING)


def handle_answer(state, event, now, actions):
    """Handles a complete answer; one to a request that has ended only frees the slot."""
    send = state.sends.get(event.send_id)
    if send is None:
        return
    _endings.release_send(state, send)
    _mark_if_leaving(send, event.is_leaving, now)
    work, service = send.work, send.work.service
    _record_latency(service, send, now)
    cleared = state.suspects.record_answer(work.fingerprint, now)
    if cleared is not None:
        actions.append(_dispatchevents.ReportSuspect(cleared))
    if state.requests_in_progress.get(work.request.request_id) is not work or send.is_cancelled:
        return
    upstream_id = send.upstream.record.upstream_id
    actions.append(_dispatchevents.Reply(work.request.request_id, event.answer, upstream_id))
    _endings.close_work(state, work, actions)


def handle_failure(state, event, now, actions):
    """Handles the end of a send without an answer."""
    send = state.sends.get(event.send_id)
    if send is None:
        return
    if event.has_run_ended:
        _endings.release_send(state, send)
    else:
        _endings.release_slot_after_deadline(state, send)
    _mark_if_leaving(send, event.is_leaving, now)
    was_cancelled, send.is_cancelled = send.is_cancelled, True
    if event.has_upstream_died and not was_cancelled:
        _record_upstream_death(state, send, now, actions)
    _update_health_after_failure(send, event, was_cancelled, now)
    work = send.work
    if was_cancelled or state.requests_in_progress.get(work.request.request_id) is not work:
        return
    if event.verdict is records.Verdict.RAN:
        refusal = records.Refusal(event.verdict, event.reason, "the answer cannot be passed on")
        _endings.end_with_refusal(state, work, refusal, actions, now)
        return
    work.may_have_run |= event.verdict is records.Verdict.MAY_HAVE_RUN
    if any(not other.is_cancelled for other in work.sends):
        return
    _retry_work(state, send, event, now, actions)


def handle_forward_end(state, event, now, actions):
    """Handles the outcome of a forwarded request; if the sibling didn't run it, it may run here."""
    work = state.requests_in_progress.get(event.request_id)
    if work is None or work.state is not _dispatchstate.WorkState.FORWARDED:
        return
    if event.answer is not None:
        state.suspects.record_answer(work.fingerprint, now)
        _offers.record_offer_outcome(work.service, work.forwarded_to, True, now)
        actions.append(_dispatchevents.Reply(event.request_id, event.answer, event.upstream))
        _endings.close_work(state, work, actions)
    elif event.refusal.verdict is records.Verdict.NOT_RUN:
        _offers.record_offer_outcome(work.service, work.forwarded_to, False, now)
        if state.suspects.is_suspect(work.fingerprint, now):
            _admission.admit_work(state, work, now, actions)
        elif _offers.may_requeue(work, event.refusal):
            _offers.put_back(work, now)
        else:
            _endings.end_with_refusal(state, work, event.refusal, actions, now)
    else:
        _endings.end_with_refusal(state, work, event.refusal, actions, now)


def handle_cancellation(state, event, now, actions):
    """Ends a request that its caller cancelled, unless non-idempotent work is in flight."""
    work = state.requests_in_progress.get(event.request_id)
    if work is None:
        return
    is_running = work.state is _dispatchstate.WorkState.RUNNING
    if work.state in _IN_PROGRESS and not work.service.is_idempotent:
        return
    if work.state is _dispatchstate.WorkState.FORWARDED:
        actions.append(_dispatchevents.CancelForward(event.request_id))
        work.may_have_run = True
    work.may_have_run |= is_running
    _endings.refuse_work(state, work, "cancelled", "the caller gave the request up", actions, now)


def handle_probe(state, event, now):
    """Applies the result of a health probe."""
    upstream = state.upstreams.get(event.upstream)
    if upstream is None:
        return
    table = state.services[upstream.record.service_id].health
    if event.is_healthy:
        table.record_recovery(event.upstream, now)
    else:
        table.record_failure(event.upstream, now)


def run_timers(state, now, actions):
    """Runs all timers that are due."""
    timer = state.pop_timer(now)
    while timer is not None:
        kind, key = timer
        _TIMER_HANDLERS[kind](state, key, now, actions)
        timer = state.pop_timer(now)


def _mark_if_leaving(send, is_leaving, now):
    if is_leaving:
        _adoption.mark_leaving(send.upstream, _LEAVING_HEADER_SOURCE, True, now)


def _record_latency(service, send, now):
    latency_s = now - send.sent_at
    service.latency.add_sample(latency_s)
    service.routes.add_sample(send.work.request.path, latency_s)
    upstream_id = send.upstream.record.upstream_id
    service.health.record_answer(upstream_id, send.health_token, service.median_s, now)


def _update_health_after_failure(send, event, was_cancelled, now):
    service = send.work.service
    upstream_id = send.upstream.record.upstream_id
    if was_cancelled:
        service.health.record_unanswered_end(send.health_token, service.median_s, now)
    elif event.has_upstream_died:
        service.health.record_failure(upstream_id, now)
    elif event.is_shed:
        service.health.record_shed_request(upstream_id, now)
    elif event.is_unreachable:
        service.health.record_failure(upstream_id, now)


def _record_upstream_death(state, send, now, actions):
    """Counts one death for each fingerprint that the upstream was running when it died."""
    if send.is_death_counted:
        return
    affected = [send, *send.upstream.sends.values()]
    fingerprints = set()
    for other in affected:
        if not other.is_death_counted:
            other.is_death_counted = True
            fingerprints.add(other.work.fingerprint)
    for fingerprint in sorted(fingerprints):
        actions.append(_dispatchevents.ReportSuspect(state.suspects.record_death(fingerprint, now)))
    state.add_timer(now + suspects.DEATH_NOTICE_S, _dispatchstate.TimerKind.PLACE, None)


def _retry_work(state, send, event, now, actions):
    """Retries work if that is safe and within the retry budget, else refuses it.

    After the death of an upstream the refusal is delayed until the peers know of the suspect.
    """
    work = send.work
    service = work.service
    is_safe = service.is_idempotent or not work.may_have_run
    _endings.stop_running_alone(work)
    is_blocked = state.suspects.is_blocked(work.fingerprint, now)
    may_retry = (
        is_safe and not is_blocked and len(work.sends) < MAX_ATTEMPTS and now < work.deadline
    )
    if may_retry and service.retry_budget.take():
        work.avoided_upstreams = work.avoided_upstreams | {send.upstream.record.upstream_id}
        _admission.admit_work(state, work, now, actions)
        return
    reason = "blocked_request" if is_blocked else event.reason
    upstream_id = send.upstream.record.upstream_id
    refusal = _endings.make_refusal(work, reason, f"the send to {upstream_id} failed")
    if not event.has_upstream_died:
        _endings.end_with_refusal(state, work, refusal, actions, now)
        return
    work.state = _dispatchstate.WorkState.REFUSING
    work.refusal = refusal
    request_id = work.request.request_id
    state.add_timer(now + suspects.DEATH_NOTICE_S, _dispatchstate.TimerKind.REFUSE, request_id)


def _wake_for_placement(state, key, now, actions):
    """Does nothing: waiting work is placed after each event, so also when this timer expires."""


def _send_delayed_refusal(state, request_id, now, actions):
    work = state.requests_in_progress.get(request_id)
    if work is not None and work.state is _dispatchstate.WorkState.REFUSING:
        _endings.end_with_refusal(state, work, work.refusal, actions, now)


def _expire_work(state, request_id, now, actions):
    work = state.requests_in_progress.get(request_id)
    if work is None or now < work.deadline or work.state is _dispatchstate.WorkState.REFUSING:
        return
    if work.state is _dispatchstate.WorkState.FORWARDED:
        actions.append(_dispatchevents.CancelForward(request_id))
    work.may_have_run |= work.state in _IN_PROGRESS
    _endings.refuse_work(
        state, work, "deadline_passed", "the deadline passed before an answer", actions, now
    )


def _expire_loan_send(state, send_id, now, actions):
    send = state.sends.get(send_id)
    if send is None or send.is_cancelled:
        return
    _endings.cancel_send(state, send, actions)
    work = send.work
    work.may_have_run = True
    if any(not other.is_cancelled for other in work.sends):
        return
    _endings.refuse_work(
        state, work, "loan_ended", "the loan of the slot ended before an answer", actions, now
    )


def _release_slot(state, send_id, now, actions):
    send = state.sends.get(send_id)
    if send is not None:
        _endings.release_send(state, send)


def _hedge_send(state, send_id, now, actions):
    """Sends late work to a second upstream if the first one is slow.

    Work that is late on a healthy upstream is long work, which a second send would not speed up.
    """
    send = state.sends.get(send_id)
    if send is None or send.is_cancelled:
        return
    work, service = send.work, send.work.service
    if state.suspects.is_suspect(work.fingerprint, now) or len(work.sends) > 1:
        return
    service.update_health(now)
    if service.find_state(send.upstream) is health.HealthState.GOOD:
        if now - send.sent_at < queueing.LONG_FACTOR * service.mean_s:
            state.add_timer(now + service.median_s, _dispatchstate.TimerKind.HEDGE, send_id)
        return
    upstream = _find_hedge_upstream(state, send, now)
    if upstream is None:
        state.add_timer(now + service.median_s, _dispatchstate.TimerKind.HEDGE, send_id)
    elif service.hedge_budget.take():
        _placement.start_send(state, work, upstream, now, actions, False, is_hedge=True)


def _wake_for_offer(state, service_id, now, actions):
    """Does nothing: offers are made after each event, so also when this timer expires."""


def _find_hedge_upstream(state, send, now):
    service = send.work.service
    if len(service.queue) or len(state.sends) >= state.count_allowed_sends(now):
        return None
    avoided_upstreams = {send.upstream.record.upstream_id}
    upstream = _placement.pick_upstream(service, now, avoided_upstreams, is_hedge=True)
    # Hedges use no borrowed slots, which are kept for first sends.
    return upstream if upstream is not None and upstream.count_idle_owned_slots(now) > 0 else None


_TIMER_HANDLERS = {
    _dispatchstate.TimerKind.PLACE: _wake_for_placement,
    _dispatchstate.TimerKind.WORK_DEADLINE: _expire_work,
    _dispatchstate.TimerKind.SEND_DEADLINE: _expire_loan_send,
    _dispatchstate.TimerKind.RELEASE: _release_slot,
    _dispatchstate.TimerKind.HEDGE: _hedge_send,
    _dispatchstate.TimerKind.REFUSE: _send_delayed_refusal,
    _dispatchstate.TimerKind.OFFER: _wake_for_offer,
}
