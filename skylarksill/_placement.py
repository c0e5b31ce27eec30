"""Placement of queued requests on upstreams with free slots."""

from skylarksill import _dispatchevents, _dispatchstate, _endings, health, queueing

LATE_PERCENTILE = 95

_AVOIDED_STATES = (health.HealthState.SLOWED, health.HealthState.EJECTED)


def place_waiting(state, now, actions):
    """Starts waiting work of all services while slots are free."""
    for service in state.services.values():
        if service.pending_suspects:
            place_alone(state, service, now, actions)
        if len(service.queue):
            service.update_health(now)
            place_queued(state, service, now, actions)


def place_queued(state, service, now, actions):
    """Starts queued work of one service while slots are free."""
    while len(service.queue) and len(state.sends) < state.count_allowed_sends(now):
        upstream = pick_upstream(service, now)
        if upstream is None:
            return
        entry = service.queue.pop(_may_pop_long(service, now), now)
        if entry is None:
            return
        if not _start_entry(state, service, upstream, entry, now, actions):
            return


def place_alone(state, service, now, actions):
    """Runs the first waiting suspect on an idle upstream that no other dispatcher can use.

    If no such upstream is idle, one is reserved: it gets no new work until its sends have ended.
    """
    _refuse_blocked_requests(state, service, now, actions)
    if any(upstream.alone_send for upstream in service.upstreams):
        return
    work = _find_runnable_suspect(state, service, now)
    if work is None:
        return
    candidates = [up for up in service.upstreams if _may_run_alone(service, up, now)]
    reserved = next((up for up in candidates if up.is_reserved), None)
    _endings.release_reservation(service)
    if not candidates:
        return
    upstream = reserved or min(candidates, key=lambda up: len(up.sends))
    upstream.is_reserved = True
    if upstream.sends or len(state.sends) >= state.count_allowed_sends(now):
        return
    start_send(state, work, upstream, now, actions, upstream.count_borrowed_slots(now) > 0)
    upstream.alone_send = work.sends[-1]


def _refuse_blocked_requests(state, service, now, actions):
    for work in list(service.pending_suspects.values()):
        is_waiting = work.state is _dispatchstate.WorkState.ALONE
        if is_waiting and state.suspects.is_blocked(work.fingerprint, now):
            detail = "the request took down the upstreams that ran it"
            _endings.refuse_work(state, work, "blocked_request", detail, actions, now)


def _find_runnable_suspect(state, service, now):
    return next(
        (
            work
            for work in service.pending_suspects.values()
            if state.suspects.is_notice_over(work.fingerprint, now)
        ),
        None,
    )


def pick_upstream(service, now, avoided_upstreams=frozenset(), is_hedge=False):
    """Picks the upstream with the lowest share of its slots in use; slow upstreams come last.

    A slow upstream is picked if a trial request is due, or if it is not ejected and waiting for
    another upstream would take longer than its latency.

    Args:
      service: The ServiceState.
      now: Time in seconds.
      avoided_upstreams: Ids of upstreams that are not picked.
      is_hedge: True for a second send, which goes to no slow upstream.
    Returns:
      An UpstreamState with a free slot, or None.
    """
    best = slow = None
    best_load = 2.0
    for upstream in service.upstreams:
        free = upstream.count_free(now)
        if free <= 0 or upstream.record.upstream_id in avoided_upstreams:
            continue
        state = service.find_state(upstream)
        if state is health.HealthState.DOWN:
            continue
        if state in _AVOIDED_STATES:
            if not is_hedge and _is_trial_due(service, upstream, now):
                return upstream
            if state is health.HealthState.SLOWED:
                slow = upstream
            continue
        in_use = len(upstream.sends)
        usable = in_use + free
        load = in_use / usable
        if load < best_load and in_use < _limit_warming_slots(service, upstream, usable, now):
            best, best_load = upstream, load
    if best is None and slow is not None and not is_hedge and _is_wait_longer(service, slow, now):
        return slow
    return best


def start_send(state, work, upstream, now, actions, is_on_loan, is_hedge=False):
    """Occupies a slot of an upstream with work, and emits the Send."""
    deadline = work.deadline
    if is_on_loan:
        deadline = min(deadline, upstream.compute_max_loan_deadline())
    send_id = next(state.send_ids)
    health_token = work.service.health.record_start(upstream.record.upstream_id, now)
    send = _dispatchstate.SendAttempt(
        send_id, work, upstream, health_token, now, deadline, is_on_loan, is_hedge
    )
    state.sends[send_id] = upstream.sends[send_id] = send
    upstream.borrowed_slot_sends += is_on_loan
    work.sends.append(send)
    work.state = _dispatchstate.WorkState.RUNNING
    _add_send_timers(state, send, now)
    actions.append(_dispatchevents.Send(send_id, work.request, upstream.record, deadline, is_hedge))
    decision = "hedge" if is_hedge else "loan" if is_on_loan else "send"
    _endings.log_decision(work, decision, upstream.record.upstream_id, now, actions)


def may_use_borrowed_slot(work, upstream, now):
    """Returns True if work can end on the borrowed slot before the lender may use it itself.

    A later deadline is shortened to this bound, but only for short work and only if the time left
    suffices for short work.
    """
    bound = upstream.compute_max_loan_deadline()
    if work.deadline <= bound:
        return True
    return not work.is_long and bound - now >= queueing.LONG_FACTOR * work.service.mean_s


def _limit_warming_slots(service, upstream, usable, now):
    return service.health.limit_slots(upstream.record.upstream_id, usable, now)


def may_start_long(service, now):
    """Returns True if long work holds less than its share of the slots."""
    slots = sum(upstream.count_usable(now) for upstream in service.upstreams)
    return service.count_long_sends(now) < queueing.count_long_slots(slots)


def _may_pop_long(service, now):
    return service.queue.long_count > 0 and may_start_long(service, now)


def _start_entry(state, service, upstream, entry, now, actions):
    """Starts a popped queue entry; returns False if it was put back."""
    work = entry.item
    if work.deadline - now < min(service.median_s, (work.deadline - work.arrived_at) / 2):
        _endings.refuse_work(
            state, work, "deadline_too_near", "waited too long for a slot", actions, now
        )
        return True
    if upstream.record.upstream_id in work.avoided_upstreams:
        upstream = pick_upstream(service, now, work.avoided_upstreams) or upstream
    is_on_loan = upstream.count_idle_owned_slots(now) <= 0
    if is_on_loan and not may_use_borrowed_slot(work, upstream, now):
        others = {upstream.record.upstream_id, *work.avoided_upstreams}
        upstream = pick_upstream(service, now, others)
        if upstream is None or upstream.count_idle_owned_slots(now) <= 0:
            service.queue.put_back(entry, work.is_long)
            return False
        is_on_loan = False
    if not _count_foreign_start(state, work, now):
        _endings.refuse_over_shift_cap(state, work, now, actions)
        return True
    start_send(state, work, upstream, now, actions, is_on_loan)
    return True


def _count_foreign_start(state, work, now):
    """Counts the first start of work of another region; False if the shift cap is reached."""
    if work.is_foreign and not work.is_shift_counted:
        work.is_shift_counted = state.admit_shift(now)
    return work.is_shift_counted or not work.is_foreign


def _may_run_alone(service, upstream, now):
    return (
        not upstream.is_leaving
        and upstream.has_exclusive_use(now)
        and service.find_state(upstream) is not health.HealthState.DOWN
    )


def _is_trial_due(service, upstream, now):
    upstream_id = upstream.record.upstream_id
    return not upstream.sends and service.health.is_trial_due(upstream_id, now)


def _is_wait_longer(service, upstream, now):
    slots = service.count_good_slots(now)
    wait_s = len(service.queue) * service.latency.mean_s / slots if slots else float("inf")
    return wait_s > service.health.find_latency_s(upstream.record.upstream_id)


def _add_send_timers(state, send, now):
    work = send.work
    if send.deadline < work.deadline:
        state.add_timer(send.deadline, _dispatchstate.TimerKind.SEND_DEADLINE, send.send_id)
    service = work.service
    if service.is_idempotent and not work.is_long and not send.is_hedge:
        hedge_at = now + service.latency.find_quantile(LATE_PERCENTILE)
        state.add_timer(hedge_at, _dispatchstate.TimerKind.HEDGE, send.send_id)
