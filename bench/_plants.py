"""Plants: deliberate faults that each replace one rule, to show that the checks detect them.

A plant changes the running process only and stays in effect until the process ends.
"""

import dataclasses

from skylarksill import (
    _adoption,
    _dispatchstate,
    _hometable,
    dispatching,
    hedges,
    limits,
    loans,
    messages,
    propagation,
    records,
    suspects,
    tickets,
)

UNLIMITED = 1_000_000


def ignore_loan_end():
    """The standby uses its slot while it is lent."""
    loans.LenderTable.is_returned = lambda self, upstream, now: True


def ignore_slots():
    """A dispatcher starts work on an upstream without a free slot."""
    _dispatchstate.UpstreamState.count_idle_owned_slots = lambda self, now: 1


def ignore_connections():
    """A dispatcher opens more connections than an upstream's maximum."""

    def count_free(self, now):
        if self.leaving_sources or self.is_reserved:
            return 0
        loan = 0 if self.borrowed_slot_sends else self.count_borrowed_slots(now)
        return max(0, self.count_idle_owned_slots(now)) + loan

    _dispatchstate.UpstreamState.count_free = count_free


def ignore_region_limit():
    """A dispatcher does not count its share of the region's headroom."""
    _dispatchstate.DispatchState.count_allowed_sends = lambda self, now: UNLIMITED


def ignore_shift_cap():
    """A dispatcher accepts all requests of other regions."""
    _dispatchstate.DispatchState.admit_shift = lambda self, now: True


def ignore_byte_budget():
    """A process sends at once, regardless of its share of a link."""
    limits.ByteBudget.reserve = lambda self, size, now: now


def run_without_claim():
    """A home runs a ticket without claiming it at the arbiter."""
    original = tickets.HomeTable.open

    def open_unclaimed(self, ticket, waiter, now_unix_ms, fingerprint=""):
        free = dataclasses.replace(ticket, arbiter=None, arbiter_incarnation=None)
        return original(self, free, waiter, now_unix_ms, fingerprint)

    tickets.HomeTable.open = open_unclaimed


def forget_tickets():
    """A home forgets a ticket when its run has ended, and claims nothing."""
    original = tickets.HomeTable.open
    active = (tickets.HomeState.CLAIMING, tickets.HomeState.RUNNING)

    def open_again(self, ticket, waiter, now_unix_ms, fingerprint=""):
        if self.find_state(ticket.ticket_id) not in active:
            self._store._records.pop(ticket.ticket_id, None)
            self._store._kept.pop(ticket.ticket_id, None)
        free = dataclasses.replace(ticket, arbiter=None, arbiter_incarnation=None)
        return original(self, free, waiter, now_unix_ms, fingerprint)

    tickets.HomeTable.open = open_again


def repeat_answered():
    """A dispatcher treats each answered run as not run and retries it."""
    original = dispatching.Dispatcher.handle

    def handle(self, event, now):
        if isinstance(event, dispatching.Answered):
            verdict = records.Verdict.NOT_RUN
            event = dispatching.SendFailed(event.send_id, verdict, "planted")
        return original(self, event, now)

    dispatching.Dispatcher.handle = handle
    hedges.SendBudget.take = lambda self: True


def ignore_incarnation():
    """A restarted home runs tickets of its predecessor."""
    original = tickets.HomeTable.open

    def open_any(self, ticket, waiter, now_unix_ms, fingerprint=""):
        own = dataclasses.replace(ticket, home_incarnation=self._home[1], arbiter=None)
        return original(self, own, waiter, now_unix_ms, fingerprint)

    tickets.HomeTable.open = open_any


def report_loss_as_not_run():
    """A home reports a lost run as not run."""
    original = tickets.HomeTable.complete

    def complete(self, ticket_id, outcome, now_unix_ms):
        if isinstance(outcome, records.Refusal):
            outcome = dataclasses.replace(outcome, verdict=records.Verdict.NOT_RUN)
        return original(self, ticket_id, outcome, now_unix_ms)

    tickets.HomeTable.complete = complete


def report_answer_as_not_run():
    """A home reports each run as not run."""

    def complete(self, ticket_id, outcome, now_unix_ms):
        refusal = records.Refusal(records.Verdict.NOT_RUN, "planted", "")
        return self._advance(ticket_id, _hometable._Event.NOT_RUN, refusal)

    tickets.HomeTable.complete = complete


def revoke_claimed():
    """An arbiter answers REVOKED for a ticket that is claimed."""

    def revoke(self, ticket, now_unix_ms, fingerprint=""):
        return messages.ClaimResult(records.ClaimState.REVOKED)

    tickets.ArbiterTable.revoke = revoke


def answer_latest():
    """A dispatcher answers a request with the answer that it received before that one."""
    original = dispatching.Dispatcher.handle
    latest = []

    def handle(self, event, now):
        if isinstance(event, dispatching.Answered):
            latest.append(event.answer)
            event = dataclasses.replace(event, answer=latest[-2] if latest[1:] else event.answer)
        return original(self, event, now)

    dispatching.Dispatcher.handle = handle


def ignore_leaving():
    """A dispatcher sends requests to leaving upstreams."""
    _adoption.mark_leaving = lambda upstream, source, is_leaving, now: None


def ignore_stop():
    """A dispatcher accepts new requests after a stop was requested."""
    original = dispatching.Dispatcher.handle

    def handle(self, event, now):
        if isinstance(event, dispatching.StopRequested):
            return []
        return original(self, event, now)

    dispatching.Dispatcher.handle = handle


def ignore_deaths():
    """A dispatcher records no suspects."""
    suspects.SuspectTable.record_death = lambda self, fingerprint, now: messages.SuspectEntry(
        fingerprint, 0, 0
    )
    suspects.SuspectTable.merge = lambda self, entry, now: None


def ignore_retry_budget():
    """A dispatcher retries and hedges requests without a budget, and counts all of them as late."""
    hedges.SendBudget.take = lambda self: True


def accept_older():
    """An agent accepts any generation that differs from its own."""
    propagation.is_higher = lambda mark, other: mark is not None and mark != other


def ignore_peers():
    """An agent accepts the configuration from the store only."""
    original = propagation.AcceptedConfiguration.offer

    def offer(self, mark, head, texts, source):
        if source is propagation.Source.PEER:
            return propagation.OfferOutcome.OLD
        return original(self, mark, head, texts, source)

    propagation.AcceptedConfiguration.offer = offer


PLANTS = {
    "ignore_peers": ignore_peers,
    "accept_older": accept_older,
    "ignore_loan_end": ignore_loan_end,
    "ignore_slots": ignore_slots,
    "ignore_connections": ignore_connections,
    "ignore_region_limit": ignore_region_limit,
    "ignore_shift_cap": ignore_shift_cap,
    "ignore_byte_budget": ignore_byte_budget,
    "repeat_answered": repeat_answered,
    "run_without_claim": run_without_claim,
    "forget_tickets": forget_tickets,
    "ignore_incarnation": ignore_incarnation,
    "report_loss_as_not_run": report_loss_as_not_run,
    "report_answer_as_not_run": report_answer_as_not_run,
    "revoke_claimed": revoke_claimed,
    "answer_latest": answer_latest,
    "ignore_leaving": ignore_leaving,
    "ignore_stop": ignore_stop,
    "ignore_deaths": ignore_deaths,
    "ignore_retry_budget": ignore_retry_budget,
}


def apply_plant(name):
    """Replaces a rule in this process, or none if ``name`` is None."""
    if name is not None:
        PLANTS[name]()
