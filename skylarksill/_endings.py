"""Ends requests and sends of a dispatcher."""

from skylarksill import _dispatchevents, _dispatchstate, records


def close_work(state, work, actions):
    """Removes ended work, cancels its sends and releases the copies that waited for its end."""
    state.requests_in_progress.pop(work.request.request_id, None)
    work.service.queue.remove(work.request.request_id)
    stop_running_alone(work)
    for send in work.sends:
        cancel_send(state, send, actions)
    if state.first_by_fingerprint.get(work.fingerprint) is work:
        del state.first_by_fingerprint[work.fingerprint]
        state.released_copies.extend(state.waiting_copies.pop(work.fingerprint, ()))


def cancel_send(state, send, actions):
    """Cancels a send; its slot stays occupied until the upstream has confirmed the end."""
    if send.is_cancelled or send.send_id not in state.sends:
        return
    send.is_cancelled = True
    release_slot_after_deadline(state, send)
    actions.append(_dispatchevents.CancelSend(send.send_id))


def release_slot_after_deadline(state, send):
    """Schedules the release of a slot: at the deadline plus the clock skew the work has stopped."""
    release_at = send.deadline + records.MAX_CLOCK_SKEW_S
    state.add_timer(release_at, _dispatchstate.TimerKind.RELEASE, send.send_id)


def release_send(state, send):
    """Frees the slot of a send that is over."""
    state.sends.pop(send.send_id, None)
    upstream = send.upstream
    if upstream.sends.pop(send.send_id, None) is not None:
        upstream.borrowed_slot_sends -= send.is_on_loan
    if upstream.alone_send is send:
        upstream.alone_send = None


def stop_running_alone(work):
    """Removes work from the pending suspects and frees the upstream reserved for them."""
    if work.service.pending_suspects.pop(work.request.request_id, None) is not None:
        release_reservation(work.service)


def release_reservation(service):
    """Makes the upstream that was reserved for a suspect available to other work."""
    for upstream in service.upstreams:
        upstream.is_reserved = False


def refuse_work(state, work, reason, detail, actions, now, **fields):
    """Ends work with a refusal whose verdict says whether it may have run.

    Args:
      state: The DispatchState.
      work: The Work that ends.
      reason: Short name of the reason.
      detail: Explanation for operators.
      actions: List that receives the actions.
      now: Time in seconds.
      **fields: Further fields of the Refusal.
    """
    refusal = make_refusal(work, reason, detail, **fields)
    end_with_refusal(state, work, refusal, actions, now)


def make_refusal(work, reason, detail, **fields):
    """Makes the Refusal of a request; the verdict says whether any of its sends may have run."""
    verdict = records.Verdict.MAY_HAVE_RUN if work.may_have_run else records.Verdict.NOT_RUN
    return records.Refusal(verdict, reason, detail, **fields)


def describe_shift_cap(state, now):
    """Returns the fields of a refusal of another region's work because of the shift cap."""
    wait_s = state.compute_shift_wait_s(now)
    return {
        "reason": "shift_cap",
        "detail": "the cap on work of other regions is reached",
        "limit": "shift_cap_per_s",
        "retry_after_ms": None if wait_s is None else int(wait_s * 1000) + 1,
    }


def refuse_over_shift_cap(state, work, now, actions):
    """Refuses work of another region because the shift cap is reached."""
    refuse_work(state, work, actions=actions, now=now, **describe_shift_cap(state, now))


def end_with_refusal(state, work, refusal, actions, now):
    """Ends work with a given Refusal."""
    actions.append(_dispatchevents.Refuse(work.request.request_id, refusal))
    log_decision(work, "refuse", refusal.reason, now, actions)
    close_work(state, work, actions)


def log_decision(work, decision, target, now, actions):
    """Adds the log line of a placement decision to the actions."""
    actions.append(
        _dispatchevents.LogDecision(
            work.request.request_id,
            decision,
            work.request.service_id,
            target,
            int((now - work.arrived_at) * 1000),
            work.is_long,
        )
    )
