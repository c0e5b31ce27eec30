"""Decisions of a dispatcher: which request runs on which upstream, when, and which is refused.

``Dispatcher`` is a pure state machine. It does no I/O and reads no clock; the driver passes events
with the time of a monotonic clock and carries out the actions that are returned.
"""

from skylarksill import (
    _admission,
    _adoption,
    _dispatchevents,
    _dispatchstate,
    _loadreport,
    _offers,
    _outcomes,
    _placement,
)

Arrived = _dispatchevents.Arrived
Answered = _dispatchevents.Answered
SendFailed = _dispatchevents.SendFailed
ForwardEnded = _dispatchevents.ForwardEnded
Cancelled = _dispatchevents.Cancelled
Ticked = _dispatchevents.Ticked
ConfigurationAccepted = _dispatchevents.ConfigurationAccepted
LoanGranted = _dispatchevents.LoanGranted
LoanRequested = _dispatchevents.LoanRequested
SiblingLoad = _dispatchevents.SiblingLoad
PeerViewReceived = _dispatchevents.PeerViewReceived
UpstreamLeaving = _dispatchevents.UpstreamLeaving
UpstreamProbed = _dispatchevents.UpstreamProbed
StopRequested = _dispatchevents.StopRequested

Send = _dispatchevents.Send
CancelSend = _dispatchevents.CancelSend
Reply = _dispatchevents.Reply
Refuse = _dispatchevents.Refuse
Forward = _dispatchevents.Forward
CancelForward = _dispatchevents.CancelForward
ReportSuspect = _dispatchevents.ReportSuspect
GrantLoan = _dispatchevents.GrantLoan
LogDecision = _dispatchevents.LogDecision


class Dispatcher:
    """Enforces the limits of the upstreams of one host and places requests on them.

    Each request that arrives ends with exactly one Reply or Refuse. The driver passes Ticked no
    later than the time that ``find_next_timer`` returns, and every 0.1 s while requests wait: no
    timer marks the end of an upstream's down time or the moment when a slot becomes usable.

    Args:
      host: Id of this dispatcher's host.
      started_at: Start of the process in seconds of the monotonic clock.
    """

    def __init__(self, host, started_at):
        self._state = _dispatchstate.DispatchState(host, started_at)

    def handle(self, event, now):
        """Handles one event.

        Args:
          event: One of the event classes of this module.
          now: Time in seconds, not less than at the previous call.
        Returns:
          The list of actions to carry out, in order.
        Raises:
          ValueError: If a request arrives whose id is still being handled.
        """
        actions = []
        state = self._state
        _outcomes.run_timers(state, now, actions)
        match event:
            case _dispatchevents.Arrived():
                _admission.admit_request(state, event.request, now, actions)
            case _dispatchevents.Answered():
                _outcomes.handle_answer(state, event, now, actions)
            case _dispatchevents.SendFailed():
                _outcomes.handle_failure(state, event, now, actions)
            case _dispatchevents.ForwardEnded():
                _outcomes.handle_forward_end(state, event, now, actions)
            case _dispatchevents.Cancelled():
                _outcomes.handle_cancellation(state, event, now, actions)
            case _dispatchevents.ConfigurationAccepted():
                _adoption.apply_new_configuration(state, event.configuration, now)
            case _dispatchevents.LoanGranted():
                _adoption.accept_loans(state, event)
            case _dispatchevents.LoanRequested():
                actions.append(_adoption.grant_loans(state, event.upstreams, event.borrower, now))
            case _dispatchevents.PeerViewReceived():
                _adoption.apply_peer_view(state, event, now)
            case _dispatchevents.UpstreamLeaving():
                _adoption.apply_leaving_report(state, event, now)
            case _dispatchevents.UpstreamProbed():
                _outcomes.handle_probe(state, event, now)
            case _dispatchevents.StopRequested():
                state.is_stopping = True
            case _dispatchevents.Ticked():
                state.update_shift_limit(now)
            case _:
                raise TypeError(f"unknown event {type(event).__name__}")
        _admission.resume_released(state, now, actions)
        _placement.place_waiting(state, now, actions)
        _offers.offer_waiting_work(state, now, actions)
        return actions

    def is_send_allowed(self, send_id, now):
        """Returns True if a send may still be written; call it immediately before writing."""
        send = self._state.sends.get(send_id)
        if send is None or send.is_cancelled or now >= send.deadline:
            return False
        return not send.is_on_loan or send.upstream.count_borrowed_slots(now) > 0

    def find_next_timer(self):
        """Returns the time of the next timer in seconds, or None."""
        return self._state.find_next_timer()

    def list_loans_to_request(self):
        """Returns a map from a standby host to the upstreams whose slot to borrow from it."""
        return _adoption.list_loans_to_request(self._state)

    def describe_load(self, now):
        """Returns messages.LoadEntry records, one per service."""
        return _loadreport.describe_load(self._state, now)

    def describe_upstreams(self, now):
        """Returns messages.UpstreamEntry records of the upstreams whose home is this host."""
        return _loadreport.describe_upstreams(self._state, now)

    def list_suspects(self, now):
        """Returns messages.SuspectEntry records of all suspected and blocked requests."""
        return self._state.suspects.list_entries(now)

    def list_requests(self):
        """Returns the ids of the requests that have not ended."""
        return tuple(self._state.requests_in_progress)
