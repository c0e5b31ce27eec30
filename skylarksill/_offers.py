"""Forwards waiting work to other dispatchers of the region (siblings).

Load reports of siblings are seconds old, so they only decide which sibling is asked first. A
sibling accepts offered work if a slot is free at that moment, and else refuses it at once.
"""

import dataclasses

from skylarksill import _dispatchevents, _dispatchstate, _endings, _placement, queueing

# Longer than a round trip between zones, so that a refusal arrives before the next offer is made.
MIN_OFFER_INTERVAL_S = 0.004
INITIAL_OFFER_PAUSE_S = 0.008
MAX_OFFER_PAUSE_S = 0.064
# Up to this many refusals in a row are usual at 85% load; more of them mean overload.
REFUSALS_BEFORE_BACKOFF = 10
NO_FREE_SLOT = "no_free_slot"
# Reasons of refusals that a sibling gives before it has sent the work to an upstream.
_REASONS_BEFORE_SEND = frozenset(
    (
        NO_FREE_SLOT,
        "no_configuration",
        "unknown_service",
        "no_upstream",
        "queue_full",
        "region_full",
        "shift_cap",
        "leaving",
        "sibling_lost",
    )
)


def can_start_now(state, work, now):
    """Returns True if work that a sibling forwarded can start at once."""
    service = work.service
    if len(service.queue) or len(state.sends) >= state.count_allowed_sends(now):
        return False
    if work.is_long and not _placement.may_start_long(service, now):
        return False
    return _placement.pick_upstream(service, now) is not None


def offer_waiting_work(state, now, actions):
    """Offers the waiting work of all services to siblings."""
    for service in state.services.values():
        if len(service.queue) and service.siblings:
            _offer_queue(state, service, now, actions)


def record_offer_outcome(service, host, was_accepted, now):
    """Records whether a sibling accepted work; a refusal delays its next offer.

    The delay grows after REFUSALS_BEFORE_BACKOFF refusals in a row.
    """
    sibling = service.siblings.get(host)
    if sibling is None:
        return
    sibling.refusals_in_a_row = 0 if was_accepted else sibling.refusals_in_a_row + 1
    doublings = max(0, sibling.refusals_in_a_row - REFUSALS_BEFORE_BACKOFF)
    if not was_accepted:
        sibling.next_offer_at = now + min(
            MAX_OFFER_PAUSE_S, INITIAL_OFFER_PAUSE_S * 2 ** min(doublings, 8)
        )


def may_requeue(work, refusal):
    """Returns True if work that a sibling refused may be queued again.

    If the sibling had sent the work to an upstream, this counts as a retry and needs retry budget.
    Otherwise work that upstreams refuse would move between dispatchers without bound.
    """
    return refusal.reason in _REASONS_BEFORE_SEND or work.service.retry_budget.take()


def put_back(work, now):
    """Returns work that a sibling refused to the front of the queue."""
    work.state = _dispatchstate.WorkState.QUEUED
    entry = queueing.QueueEntry(work.request.request_id, work, now)
    work.service.queue.put_back(entry, work.is_long)


def _offer_queue(state, service, now, actions):
    while len(service.queue):
        sibling = min(
            service.siblings.values(), key=lambda item: (item.next_offer_at > now, -item.free)
        )
        if sibling.next_offer_at > now:
            break
        entry = service.queue.pop(True, now)
        if entry.item.request.hops or entry.item.deadline - now < service.median_s:
            service.queue.put_back(entry, entry.item.is_long)
            break
        sibling.next_offer_at = now + MIN_OFFER_INTERVAL_S
        _forward_work(state, entry.item, sibling.host, now, actions)
    if len(service.queue):
        _schedule_offer(state, service, now)


def _schedule_offer(state, service, now):
    due = min(sibling.next_offer_at for sibling in service.siblings.values())
    if due > now and (service.offer_timer_at <= now or due < service.offer_timer_at):
        service.offer_timer_at = due
        state.add_timer(due, _dispatchstate.TimerKind.OFFER, service.record.service_id)


def _forward_work(state, work, host, now, actions):
    work.state = _dispatchstate.WorkState.FORWARDED
    work.forwarded_to = host
    remaining_ms = int((work.deadline - now) * 1000)
    request = dataclasses.replace(work.request, hops=1, deadline_ms=remaining_ms)
    actions.append(_dispatchevents.Forward(request, host, work.deadline))
    _endings.log_decision(work, "forward", host, now, actions)
