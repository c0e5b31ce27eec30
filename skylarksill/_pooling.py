"""Sharing of waiting work between the dispatchers of a region.

Load figures of siblings are seconds old, so they only order the siblings. Waiting work is offered
to a sibling, which takes it if a slot is free at that moment and else refuses it at once.
"""

import dataclasses

from skylarksill import _dispatchevents, _dispatchstate, _endings, _placement, queueing

# Longer than a round trip between zones, so that a refusal stops further offers in time.
OFFER_GAP_S = 0.004
FIRST_PAUSE_S = 0.008
MAX_PAUSE_S = 0.064
# Shorter runs of refusals are usual at 85% load; longer ones mean overload.
PATIENT_REFUSALS = 10
NO_FREE_SLOT = "no_free_slot"
# Refusals of a sibling that come before it has sent the work to an upstream.
_UNSENT_REASONS = frozenset(
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


def has_room(state, work, now):
    """Returns True if work of a sibling can start at once."""
    service = work.service
    if len(service.queue) or len(state.sends) >= state.count_share(now):
        return False
    if work.is_long and not _placement.may_start_long(service, now):
        return False
    return _placement.pick_upstream(service, now) is not None


def offer_waiting(state, now, actions):
    """Offers waiting work of all services to siblings."""
    for service in state.services.values():
        if len(service.queue) and service.siblings:
            _offer_waiting(state, service, now, actions)


def record_offer_outcome(service, host, was_taken, now):
    """Lengthens the pause before the next offer after refusals in a row."""
    sibling = service.siblings.get(host)
    if sibling is None:
        return
    sibling.refusals_in_a_row = 0 if was_taken else sibling.refusals_in_a_row + 1
    doublings = max(0, sibling.refusals_in_a_row - PATIENT_REFUSALS)
    if not was_taken:
        sibling.next_offer_at = now + min(MAX_PAUSE_S, FIRST_PAUSE_S * 2 ** min(doublings, 8))


def may_try_again(work, refusal):
    """Returns True if refused work may be placed again.

    Another try is a retry if the sibling had sent the work to an upstream, and then needs a part
    of the budget, else work that upstreams shed would go to and fro without bound.
    """
    return refusal.reason in _UNSENT_REASONS or work.service.retry_budget.take()


def put_back(work, now):
    """Puts work that a sibling refused to the front of the queue."""
    work.state = _dispatchstate.WorkState.QUEUED
    entry = queueing.QueueEntry(work.request.request_id, work, now)
    work.service.queue.put_back(entry, work.is_long)


def _offer_waiting(state, service, now, actions):
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
        sibling.next_offer_at = now + OFFER_GAP_S
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
