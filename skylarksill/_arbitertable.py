"""State of tickets at their arbiter, a dispatcher in another zone of the region."""

from skylarksill import _ticketcodec, _ticketstore, messages, records


class ArbiterTable:
    """Grants or revokes the right to run tickets whose arbiter is one dispatcher incarnation.

    All times are wall-clock milliseconds.

    Args:
      arbiter: Host id of this dispatcher.
      incarnation: Its incarnation.
      limits: The TableLimits.
    """

    def __init__(self, arbiter, incarnation, limits=_ticketstore.TableLimits()):  # noqa: B008
        self._arbiter = (arbiter, incarnation)
        self._store = _ticketstore.TicketStore(limits, lambda record: False)

    def __len__(self):
        return len(self._store)

    @property
    def kept_bytes(self):
        """Total size of the kept answers in bytes."""
        return self._store.kept_bytes

    def claim(self, ticket, now_unix_ms, fingerprint=""):
        """Grants a ticket to its home unless it was revoked or has expired.

        A repeated claim gets the same result: only the home incarnation that the ticket names
        sends claims, and its table runs the ticket once.

        Args:
          ticket: The Ticket.
          now_unix_ms: Wall-clock time in milliseconds.
          fingerprint: Digest of the request.
        Returns:
          A ClaimResult.
        """
        return self._decide_once(ticket, records.ClaimState.CLAIMED, now_unix_ms, fingerprint)

    def revoke(self, ticket, now_unix_ms, fingerprint=""):
        """Revokes the right to run a ticket unless it has been claimed.

        Args:
          ticket: The Ticket.
          now_unix_ms: Wall-clock time in milliseconds.
          fingerprint: Digest of the request; the kept answer of another request is not returned.
        Returns:
          A ClaimResult: REVOKED means that the ticket has not run and will not run.
        """
        result = self._decide_once(ticket, records.ClaimState.REVOKED, now_unix_ms, fingerprint)
        record = self._store.find(ticket.ticket_id)
        if result.answer is not None and _ticketstore.is_other_request(record, fingerprint):
            return messages.ClaimResult(records.ClaimState.CLAIMED)
        return result

    def record(self, ticket, verdict, answer, now_unix_ms):
        """Stores the outcome that the home reports.

        Args:
          ticket: The Ticket.
          verdict: The Verdict of the run; MAY_HAVE_RUN changes nothing.
          answer: The Answer, or None if it is too large or there is none.
          now_unix_ms: Wall-clock time in milliseconds.
        Returns:
          A ClaimResult with the state after the call.
        """
        if verdict is records.Verdict.NOT_RUN:
            self._decide_once(ticket, records.ClaimState.REVOKED, now_unix_ms, "")
        else:
            self._store.advance_time(now_unix_ms)
        record = self._store.find(ticket.ticket_id)
        if not self._is_arbiter_of(ticket) or record is None:
            return messages.ClaimResult(records.ClaimState.UNKNOWN)
        if record.state is records.ClaimState.CLAIMED:
            self._apply_outcome(record, verdict, answer)
        return messages.ClaimResult(record.state)

    def expire(self, now_unix_ms):
        """Removes records and kept answers that are past their retention time."""
        self._store.advance_time(now_unix_ms)

    def _is_arbiter_of(self, ticket):
        return (ticket.arbiter, ticket.arbiter_incarnation) == self._arbiter

    def _decide_once(self, ticket, state, now_unix_ms, fingerprint):
        self._store.advance_time(now_unix_ms)
        if not self._is_arbiter_of(ticket):
            return messages.ClaimResult(records.ClaimState.UNKNOWN)
        record = self._store.find(ticket.ticket_id)
        if record is not None:
            return messages.ClaimResult(record.state, record.answer)
        match self._store.classify_unrecorded(ticket):
            case _ticketstore.UnrecordedStatus.NEW:
                self._store.add(ticket, state, fingerprint)
                return messages.ClaimResult(state)
            case _ticketstore.UnrecordedStatus.FORGOTTEN:
                return messages.ClaimResult(records.ClaimState.UNKNOWN)
        # A ticket that has expired or was refused by a full table must never be granted later.
        return messages.ClaimResult(records.ClaimState.REVOKED)

    def _apply_outcome(self, record, verdict, answer):
        match verdict:
            case records.Verdict.RAN:
                record.state = records.ClaimState.RAN
                if answer is not None:
                    size = _ticketcodec.measure_kept_answer(answer)
                    self._store.keep_answer(record, answer, size)
            case records.Verdict.NOT_RUN:
                record.state = records.ClaimState.REVOKED
