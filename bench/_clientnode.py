"""Fake client: sends its order until it has an answer, by the rules that clients must follow."""

import dataclasses
import itertools

from bench import _bodies, _dispatchnode, _world
from skylarksill import records, tickets

MARGIN_S = 0.5
MAX_ATTEMPTS = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Told:
    """What a client was told of one attempt; ``outcome`` is None if it got no answer."""

    time: float
    order: _bodies.Order
    ticket_id: str | None
    entry: str
    outcome: records.Answer | records.Refusal | None


class ClientNode(_world.Node):
    """A client that repeats an order with its ticket, and takes a fresh one only after NOT_RUN."""

    def __init__(self, world, name, zone):
        self.told = []
        self.attempts = 0
        self.sent = 0
        self._numbers = itertools.count()
        super().__init__(world, name, zone)

    def place(self, order, entries, ticket, mint):
        """Sends an order to the entries in turn.

        Args:
          order: The Order.
          entries: Names of entry nodes in order of preference.
          ticket: The records.Ticket for the first attempts, or None.
          mint: Function that returns a fresh ticket, or None if the service needs none.
        """
        self._attempt(order, list(entries) * MAX_ATTEMPTS, ticket, mint, MAX_ATTEMPTS)

    def send_once(self, order, entry, ticket, then=lambda outcome: None):
        """Sends one attempt without a repetition."""

        def finish(result):
            outcome = None if isinstance(result, _world.Lost) else result
            ticket_id = ticket and ticket.ticket_id
            self.told.append(Told(self.world.now, order, ticket_id, entry, outcome))
            then(outcome)

        self.sent += 1
        text = ticket and tickets.sign_ticket(_dispatchnode.KEY, ticket)
        timeout_s = order.deadline_ms / 1_000 + MARGIN_S
        self.call(entry, "request", _bodies.EntryCall(order, text), timeout_s, finish)

    def _attempt(self, order, entries, ticket, mint, left):
        def then(outcome):
            if isinstance(outcome, records.Answer) or left <= 1:
                return
            verdict = outcome.verdict if outcome else records.Verdict.MAY_HAVE_RUN
            if verdict is records.Verdict.RAN:
                return
            is_fresh = ticket is not None and verdict is records.Verdict.NOT_RUN
            next_ticket = mint() if is_fresh else ticket
            self._attempt(order, entries[1:], next_ticket, mint, left - 1)

        self.send_once(order, entries[0], ticket, then)
