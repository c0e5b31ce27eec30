"""State machine of tickets at their home dispatcher."""

import dataclasses
import enum

from skylarksill import _ticketcodec, _ticketstore, records


class HomeState(enum.Enum):
    """State of a ticket at its home."""

    CLAIMING = "claiming"
    RUNNING = "running"
    RAN = "ran"
    UNCERTAIN = "uncertain"
    REFUSED = "refused"


class _Event(enum.Enum):
    CLAIM_GRANTED = "claim granted"
    CLAIM_REFUSED = "claim refused"
    CLAIM_FOUND_RAN = "claim found an outcome"
    CLAIM_TIMED_OUT = "claim timed out"
    ANSWERED = "answered"
    NOT_RUN = "not run"
    LOST = "lost"


# An event without an entry is late or a duplicate and is ignored.
_NEXT_STATES = {
    (HomeState.CLAIMING, _Event.CLAIM_GRANTED): HomeState.RUNNING,
    (HomeState.CLAIMING, _Event.CLAIM_REFUSED): HomeState.REFUSED,
    (HomeState.CLAIMING, _Event.CLAIM_FOUND_RAN): HomeState.RAN,
    (HomeState.CLAIMING, _Event.CLAIM_TIMED_OUT): HomeState.REFUSED,
    (HomeState.CLAIMING, _Event.NOT_RUN): HomeState.REFUSED,
    (HomeState.RUNNING, _Event.ANSWERED): HomeState.RAN,
    (HomeState.RUNNING, _Event.NOT_RUN): HomeState.REFUSED,
    (HomeState.RUNNING, _Event.LOST): HomeState.UNCERTAIN,
    (HomeState.UNCERTAIN, _Event.ANSWERED): HomeState.RAN,
}

_CLAIM_EVENTS = {
    records.ClaimState.CLAIMED: _Event.CLAIM_GRANTED,
    records.ClaimState.REVOKED: _Event.CLAIM_REFUSED,
    records.ClaimState.UNKNOWN: _Event.CLAIM_REFUSED,
    records.ClaimState.RAN: _Event.CLAIM_FOUND_RAN,
}

_VERDICT_EVENTS = {
    records.Verdict.RAN: _Event.ANSWERED,
    records.Verdict.NOT_RUN: _Event.NOT_RUN,
    records.Verdict.MAY_HAVE_RUN: _Event.LOST,
}

MAX_COPIED_ANSWER_BYTES = 64 * 1024

_EVENTS_KNOWN_TO_ARBITER = (_Event.CLAIM_REFUSED, _Event.CLAIM_FOUND_RAN)
_ACTIVE_STATES = (HomeState.CLAIMING, HomeState.RUNNING)


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """Send a ClaimCall to the ticket's arbiter, then report its result or its timeout."""

    ticket: records.Ticket
    fingerprint: str


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """Run the ticket's request once, then report its outcome."""

    ticket: records.Ticket


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """Keep the waiter pending; a Reply or a Refuse follows when the outcome is known."""

    waiter: str


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Send the answer of the ticket's run to the waiter."""

    waiter: str
    answer: records.Answer


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Send the refusal with its verdict to the waiter."""

    waiter: str
    refusal: records.Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class CopyOutcome:
    """Send a RecordOutcomeCall to the ticket's arbiter; its result is ignored."""

    ticket: records.Ticket
    verdict: records.Verdict
    answer: records.Answer | None


class HomeTable:
    """Decides for each ticket of one dispatcher incarnation whether its request may run.

    All times are wall-clock milliseconds. A NOT_RUN refusal is final for its ticket, so that a
    delayed duplicate of a request that was reported as not run cannot run later.

    Args:
      home: Host id of this dispatcher.
      incarnation: Its incarnation.
      limits: The TableLimits.
    """

    def __init__(self, home, incarnation, limits=_ticketstore.TableLimits()):  # noqa: B008
        self._home = (home, incarnation)
        self._limits = limits
        self._store = _ticketstore.TicketStore(
            limits, lambda record: record.state in _ACTIVE_STATES
        )

    def __len__(self):
        return len(self._store)

    @property
    def kept_bytes(self):
        """Total size of the kept answers in bytes."""
        return self._store.kept_bytes

    def open(self, ticket, waiter, now_unix_ms, fingerprint=""):
        """Decides what to do with a request that carries a verified ticket.

        Args:
          ticket: The verified Ticket.
          waiter: Id of the request, unique at this dispatcher.
          now_unix_ms: Wall-clock time in milliseconds.
          fingerprint: Digest of the request, to detect a ticket that is used for two requests;
            empty if unknown.
        Returns:
          A list of actions; the first is a Wait, Reply or Refuse for this waiter.
        """
        self._store.advance_time(now_unix_ms)
        if (ticket.home, ticket.home_incarnation) != self._home:
            return [_refuse(waiter, records.Verdict.MAY_HAVE_RUN, "other_home")]
        record = self._store.find(ticket.ticket_id)
        if record is None:
            return self._open_unrecorded(ticket, waiter, fingerprint)
        if _ticketstore.is_other_request(record, fingerprint):
            return [_refuse(waiter, records.Verdict.MAY_HAVE_RUN, "ticket_reused")]
        return self._open_recorded(record, waiter)

    def refuse(self, ticket, refusal, now_unix_ms):
        """Records a NOT_RUN refusal that was decided before ``open`` as final for the ticket.

        Args:
          ticket: The verified Ticket.
          refusal: The Refusal with verdict NOT_RUN.
          now_unix_ms: Wall-clock time in milliseconds.
        Returns:
          True if the ticket has not run and will not run; False if it is running or has run, and
          the request must then be passed to ``open``.
        """
        self._store.advance_time(now_unix_ms)
        if (ticket.home, ticket.home_incarnation) != self._home:
            return False
        record = self._store.find(ticket.ticket_id)
        if record is not None:
            return record.state is HomeState.REFUSED
        status = self._store.classify_unrecorded(ticket)
        if status is _ticketstore.UnrecordedStatus.NEW:
            self._store.add(ticket, HomeState.REFUSED, "").refusal = refusal
        return status is not _ticketstore.UnrecordedStatus.FORGOTTEN

    def apply_claim(self, ticket_id, result, now_unix_ms):
        """Applies the arbiter's ClaimResult and returns actions; ignores a late or repeated one."""
        self._store.advance_time(now_unix_ms)
        event = _CLAIM_EVENTS[result.state]
        record = self._store.find(ticket_id)
        if record and event is _Event.CLAIM_GRANTED and self._store.has_expired(record.ticket):
            event = _Event.CLAIM_TIMED_OUT
        outcome = result.answer or _make_refusal(event, f"claim_{result.state.value}")
        return self._advance(ticket_id, event, outcome)

    def time_out_claim(self, ticket_id, now_unix_ms):
        """Refuses a ticket whose claim was not answered in time and returns actions."""
        self._store.advance_time(now_unix_ms)
        event = _Event.CLAIM_TIMED_OUT
        return self._advance(ticket_id, event, _make_refusal(event, "claim_timeout"))

    def complete(self, ticket_id, outcome, now_unix_ms):
        """Applies the outcome of a run.

        Args:
          ticket_id: Id of the ticket.
          outcome: The Answer, or a Refusal with the verdict of the failure.
          now_unix_ms: Wall-clock time in milliseconds.
        Returns:
          A list of actions: one for each waiter, and a CopyOutcome if the ticket has an arbiter.
        """
        self._store.advance_time(now_unix_ms)
        match outcome:
            case records.Answer():
                event = _Event.ANSWERED
            case records.Refusal(verdict=verdict):
                event = _VERDICT_EVENTS[verdict]
        return self._advance(ticket_id, event, outcome)

    def remove_waiter(self, ticket_id, waiter):
        """Removes a waiter whose caller has disconnected or whose deadline has passed."""
        record = self._store.find(ticket_id)
        if record is not None and waiter in record.waiters:
            record.waiters.remove(waiter)

    def find_state(self, ticket_id):
        """Returns the HomeState of a ticket or None."""
        record = self._store.find(ticket_id)
        return None if record is None else record.state

    def expire(self, now_unix_ms):
        """Removes records and kept answers that are past their retention time."""
        self._store.advance_time(now_unix_ms)

    def _open_unrecorded(self, ticket, waiter, fingerprint):
        match self._store.classify_unrecorded(ticket):
            case _ticketstore.UnrecordedStatus.FORGOTTEN:
                return [_refuse(waiter, records.Verdict.MAY_HAVE_RUN, "ticket_forgotten")]
            case _ticketstore.UnrecordedStatus.EXPIRED:
                return [_refuse(waiter, records.Verdict.NOT_RUN, "ticket_expired")]
            case _ticketstore.UnrecordedStatus.FULL:
                return [_refuse(waiter, records.Verdict.NOT_RUN, "too_many_tickets", "tickets")]
        if ticket.arbiter is None:
            state, action = HomeState.RUNNING, Run(ticket)
        else:
            state, action = HomeState.CLAIMING, Claim(ticket, fingerprint)
        record = self._store.add(ticket, state, fingerprint)
        record.waiters.append(waiter)
        return [Wait(waiter), action]

    def _open_recorded(self, record, waiter):
        if record.state not in _ACTIVE_STATES:
            return [_resolve_waiter(record, waiter)]
        if waiter in record.waiters:
            return [Wait(waiter)]
        if len(record.waiters) >= self._limits.waiters:
            return [_refuse(waiter, records.Verdict.MAY_HAVE_RUN, "too_many_waiters", "waiters")]
        record.waiters.append(waiter)
        return [Wait(waiter)]

    def _advance(self, ticket_id, event, outcome):
        record = self._store.find(ticket_id)
        next_state = record and _NEXT_STATES.get((record.state, event))
        if not next_state:
            return []
        record.state = next_state
        if next_state is HomeState.RUNNING:
            return [Run(record.ticket)]
        return self._finish(record, outcome, event)

    def _finish(self, record, outcome, event):
        if isinstance(outcome, records.Answer):
            # Waiters get the answer directly, since the store may be unable to keep it.
            actions = [Reply(waiter, outcome) for waiter in record.waiters]
            record.refusal = None
            self._store.keep_answer(record, outcome, _ticketcodec.measure_kept_answer(outcome))
        else:
            record.refusal = outcome
            actions = [Refuse(waiter, outcome) for waiter in record.waiters]
        record.waiters.clear()
        if record.ticket.arbiter is not None and event not in _EVENTS_KNOWN_TO_ARBITER:
            actions.append(_copy_outcome(record.ticket, record.state, outcome))
        return actions


def _resolve_waiter(record, waiter):
    if record.answer is not None:
        return Reply(waiter, record.answer)
    if record.refusal is None:
        return _refuse(waiter, records.Verdict.RAN, "answer_not_kept")
    return Refuse(waiter, record.refusal)


_STATE_VERDICTS = {
    HomeState.RAN: records.Verdict.RAN,
    HomeState.UNCERTAIN: records.Verdict.MAY_HAVE_RUN,
    HomeState.REFUSED: records.Verdict.NOT_RUN,
}


def _copy_outcome(ticket, state, outcome):
    answer = outcome if isinstance(outcome, records.Answer) else None
    if answer is not None and _ticketcodec.measure_kept_answer(answer) > MAX_COPIED_ANSWER_BYTES:
        answer = None
    return CopyOutcome(ticket, _STATE_VERDICTS[state], answer)


_REFUSAL_DETAILS = {
    "other_home": "the ticket names another incarnation of its home dispatcher",
    "ticket_reused": "the ticket was used for another request",
    "ticket_forgotten": "the ticket is older than the records of its home",
    "ticket_expired": "the ticket expired before its request arrived",
    "too_many_tickets": "the dispatcher holds as many tickets as it can",
    "too_many_waiters": "too many requests wait for the same ticket",
    "answer_not_kept": "the request ran and its answer is no longer kept",
    "claim_revoked": "the arbiter has revoked the ticket",
    "claim_unknown": "the arbiter does not know the ticket",
    "claim_claimed": "the ticket expired while it was claimed",
    "claim_ran": "the arbiter holds an outcome of the ticket but not its answer",
    "claim_timeout": "the arbiter did not answer in time",
}


def _make_refusal(event, reason):
    has_run = event is _Event.CLAIM_FOUND_RAN
    verdict = records.Verdict.RAN if has_run else records.Verdict.NOT_RUN
    return records.Refusal(verdict, reason, _REFUSAL_DETAILS[reason])


def _refuse(waiter, verdict, reason, limit=None):
    return Refuse(waiter, records.Refusal(verdict, reason, _REFUSAL_DETAILS[reason], limit))
