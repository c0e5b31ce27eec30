"""Handles tickets of non-idempotent requests at a dispatcher, as their home or their arbiter."""

import dataclasses
import itertools

import eventlet
from eventlet import event

from skylarksill import logs, messages, records, rpc, suspects, tickets

CLAIM_TIMEOUT_S = 1.0
# A planned stop waits for outcomes to be copied, and must end within 1 s of the last answer.
RECORD_TIMEOUT_S = 0.8


@dataclasses.dataclass(frozen=True, slots=True)
class _PendingRun:
    request: records.Request
    deadline: float


class TicketHandler:
    """Runs each non-idempotent request at most once; answers calls to this host as an arbiter.

    Args:
      settings: The host's Settings.
      incarnation: Incarnation of this dispatcher.
      clock: A clock with ``monotonic()`` and ``unix()``.
      run: Function of a Request that runs it and returns a DispatchResult.
      call_host: Function of (host id, method, message, timeout in seconds) that calls another
        dispatcher and returns the body of its answer.
    """

    def __init__(self, settings, incarnation, clock, run, call_host):
        self._shared_key = settings.shared_key
        self._clock = clock
        self._log = logs.make_logger("dispatch")
        self._run = run
        self._call_host = call_host
        self._home = tickets.HomeTable(settings.host, incarnation)
        self._arbiter = tickets.ArbiterTable(settings.host, incarnation)
        self._waiter_ids = itertools.count(1)
        self._results_by_waiter = {}
        self._pending_runs = {}
        self._unfinished_copies = 0

    @property
    def unfinished_count(self):
        """Number of waiting requests, of runs that have not ended and of copies in progress."""
        return len(self._results_by_waiter) + len(self._pending_runs) + self._unfinished_copies

    def handle(self, request, context, is_stopping, max_deadline_s):
        """Handles a non-idempotent request.

        Args:
          request: The records.Request.
          context: The rpc.CallContext, or None.
          is_stopping: True if new work is refused.
          max_deadline_s: Longest deadline of the service in seconds.
        Returns:
          A messages.DispatchResult.
        """
        if request.ticket is None:
            return _refuse("ticket_required", "the service needs a ticket")
        ticket, problem = tickets.verify_ticket(self._shared_key, request.ticket)
        if problem is not None or ticket.service_id != request.service_id:
            return _refuse("ticket_invalid", str(problem or "the ticket is of another service"))
        if is_stopping:
            refusal = _make_refusal("leaving", "this dispatcher is stopping")
            if self._home.refuse(ticket, refusal, self._now_ms()):
                return messages.DispatchResult(refusal.verdict, None, refusal)
        deadline_s = min(request.deadline_ms / 1000, max_deadline_s)
        return self._open(request, ticket, context, self._clock.monotonic() + deadline_s)

    def claim(self, call):
        """Answers a ClaimCall as arbiter."""
        return self._arbiter.claim(call.ticket, self._now_ms(), call.fingerprint)

    def record(self, call):
        """Answers a RecordOutcomeCall as arbiter."""
        return self._arbiter.record(call.ticket, call.verdict, call.answer, self._now_ms())

    def revoke(self, call):
        """Answers a RevokeCall as arbiter."""
        return self._arbiter.revoke(call.ticket, self._now_ms(), call.fingerprint)

    def expire(self):
        """Removes records and kept answers past their retention time from both tables."""
        self._home.expire(self._now_ms())
        self._arbiter.expire(self._now_ms())

    def _open(self, request, ticket, context, deadline):
        waiter = f"{request.request_id}.{next(self._waiter_ids)}"
        result = self._results_by_waiter[waiter] = event.Event()
        ticket_id = ticket.ticket_id
        fingerprint = suspects.fingerprint_request(request)
        actions = self._home.open(ticket, waiter, self._now_ms(), fingerprint)
        if any(isinstance(action, (tickets.Run, tickets.Claim)) for action in actions):
            self._pending_runs[ticket_id] = _PendingRun(request, deadline)
        self._execute_actions(actions)
        if context is not None:
            context.on_cancel(lambda: self._stop_waiting(ticket_id, waiter, "cancelled"))
        wait_s = max(0.0, deadline + records.MAX_CLOCK_SKEW_S - self._clock.monotonic())
        timer = eventlet.spawn_after(
            wait_s, self._stop_waiting, ticket_id, waiter, "deadline_passed"
        )
        try:
            return result.wait()
        finally:
            timer.cancel()

    def _stop_waiting(self, ticket_id, waiter, reason):
        self._home.remove_waiter(ticket_id, waiter)
        detail = "the outcome of the ticket is not known yet"
        self._resolve(waiter, records.Refusal(records.Verdict.MAY_HAVE_RUN, reason, detail), None)

    def _execute_actions(self, actions):
        for action in actions:
            match action:
                case tickets.Claim():
                    eventlet.spawn_n(self._claim, action)
                case tickets.Run():
                    eventlet.spawn_n(self._run_ticket, action.ticket)
                case tickets.Reply():
                    self._resolve(action.waiter, None, action.answer)
                case tickets.Refuse():
                    self._resolve(action.waiter, action.refusal, None)
                case tickets.CopyOutcome():
                    self._unfinished_copies += 1
                    eventlet.spawn_n(self._copy_to_arbiter, action)

    def _resolve(self, waiter, refusal, answer):
        result = self._results_by_waiter.pop(waiter, None)
        if result is None:
            return
        verdict = records.Verdict.RAN if refusal is None else refusal.verdict
        result.send(messages.DispatchResult(verdict, answer, refusal))

    def _claim(self, action):
        ticket = action.ticket
        pending = self._pending_runs[ticket.ticket_id]
        remaining_s = pending.deadline - self._clock.monotonic()
        timeout_s = max(0.001, min(CLAIM_TIMEOUT_S, remaining_s))
        call = messages.ClaimCall(ticket, action.fingerprint)
        try:
            body = self._call_host(ticket.arbiter, "claim", call, timeout_s)
            result = messages.decode_message(messages.ClaimResult, body)
            actions = self._home.apply_claim(ticket.ticket_id, result, self._now_ms())
        except records.SkylarksillError:
            actions = self._home.time_out_claim(ticket.ticket_id, self._now_ms())
        if not any(isinstance(item, tickets.Run) for item in actions):
            self._pending_runs.pop(ticket.ticket_id, None)
        self._execute_actions(actions)

    def _run_ticket(self, ticket):
        pending = self._pending_runs[ticket.ticket_id]
        remaining_ms = int(1000 * (pending.deadline - self._clock.monotonic()))
        if remaining_ms <= 0:
            outcome = _make_refusal("deadline_passed", "the deadline passed before the run")
        else:
            outcome = self._run_pending(pending, remaining_ms)
        self._pending_runs.pop(ticket.ticket_id, None)
        self._execute_actions(self._home.complete(ticket.ticket_id, outcome, self._now_ms()))

    def _run_pending(self, pending, remaining_ms):
        request = dataclasses.replace(pending.request, deadline_ms=remaining_ms)
        try:
            result = self._run(request)
        except Exception:
            self._log.exception("run of ticket request {} failed", request.request_id)
            verdict = records.Verdict.MAY_HAVE_RUN
            return records.Refusal(verdict, "internal_error", "see the dispatcher's log")
        return result.answer if result.answer is not None else result.refusal

    def _copy_to_arbiter(self, action):
        call = messages.RecordOutcomeCall(action.ticket, action.answer, action.verdict)
        try:
            self._call_host(action.ticket.arbiter, "record", call, RECORD_TIMEOUT_S)
        except rpc.RpcError:
            # Without the copy the claim stays at the arbiter and the caller gets MAY_HAVE_RUN,
            # which is still correct.
            return
        finally:
            self._unfinished_copies -= 1

    def _now_ms(self):
        return int(1000 * self._clock.unix())


def _make_refusal(reason, detail):
    return records.Refusal(records.Verdict.NOT_RUN, reason, detail)


def _refuse(reason, detail):
    refusal = _make_refusal(reason, detail)
    return messages.DispatchResult(refusal.verdict, None, refusal)
