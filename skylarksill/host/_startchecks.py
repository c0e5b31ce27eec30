"""Questions of a host that has just started, or was frozen: whether its upstreams are cold.

A process that restarted under its id may not be named by the store yet. Hosts that were there
noticed the restart; one that starts meanwhile reads the entry of the process before.
"""

import time

import eventlet

from skylarksill.host import _upstreamhttp

# Upstreams answer at once, also while their slots are taken.
ANSWER_TIMEOUT_S = 0.3
ANSWER_ROUND_TRIPS = 2.0


class StartChecks:
    """Asks each upstream once, on the connection of the first request to it.

    Args:
      fleet: The Fleet.
      log: The EventLog.
      on_demands: Function of a TrackedUpstream and the Demands that its answer states.
      on_cold: Function of a TrackedUpstream that says it is cold, for how many seconds, and the
        monotonic time.
    """

    def __init__(self, fleet, log, on_demands, on_cold):
        self._fleet = fleet
        self._log = log
        self._on_demands = on_demands
        self._on_cold = on_cold

    def run(self, state, connection, deadline, cancellation):
        """Finds out whether an upstream is cold, if the host can't know.

        Args:
          state: The TrackedUpstream.
          connection: A connection to it on which no request runs.
          deadline: Monotonic time at which the request ends.
          cancellation: The Cancellation of the request, which may end the connection.
        Returns:
          True if the request may be sent on the connection, within the limits of the upstream.
        """
        while state.health_answer is not None:
            # Another request asks; what it learns holds for this one.
            state.health_answer.wait()
        now = time.monotonic()
        target = self._fleet.find_health_target(state, connection.opened_at, now)
        if target is None:
            return True
        round_trip_s = self._fleet.estimate_round_trip_s(state.record.region)
        due_at = now + ANSWER_TIMEOUT_S + ANSWER_ROUND_TRIPS * round_trip_s
        if deadline < due_at:
            # The request would cut the question short.
            return False
        state.health_answer = eventlet.event.Event()
        try:
            # The question counts as a request to the upstream.
            state.use.sends.add(now)
            outcome = self._ask(connection, target, due_at)
            if not cancellation.is_cancelled:
                state.unchecked_since = None
                process = self._fleet.find_process(state, connection.opened_at)
                self._apply(process, connection, outcome, now)
            return connection.is_reusable
        finally:
            answer, state.health_answer = state.health_answer, None
            answer.send()

    def _ask(self, connection, target, deadline):
        """Returns the outcome of a question; a fault must not cost the client its answer."""
        try:
            return connection.ask_health(target, deadline)
        except Exception as error:
            self._log.write_exception("upstream.health", error)
            return None

    def _apply(self, state, connection, outcome, asked_at):
        """Applies the outcome of a question that was asked at a monotonic time."""
        now = time.monotonic()
        upstream_id = state.record.upstream_id
        match outcome:
            case _upstreamhttp.Health(answering_id, cold_s, demands) if answering_id == upstream_id:
                state.record_alive(connection.opened_at, asked_at)
                if cold_s > 0.0:
                    self._fleet.apply_health(state, cold_s, now)
                    self._log.write("upstream.cold", upstream=upstream_id, cold_s=cold_s)
                    self._on_cold(state, cold_s, now)
                self._on_demands(state, demands)
            case _upstreamhttp.Health(answering_id) if answering_id is not None:
                state.is_misdirected = True
                self._log.write("upstream.misdirected", upstream=upstream_id)
            case _:
                # It may be cold, so it is limited as if it were.
                self._fleet.suspect_restart(state, now)
                self._log.write("upstream.suspect", upstream=upstream_id, cause="no_health_answer")
