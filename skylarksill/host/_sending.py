"""Sends of requests to upstreams, and what the host learns from their outcomes."""

import time

from skylarksill import records as shared
from skylarksill.host import (
    _admission,
    _endings,
    _startchecks,
    _upstreamhttp,
    accounts,
    connector,
    restarts,
    tracking,
)


class Sender:
    """Sends requests to the upstreams that were chosen for them.

    Args:
      fleet: The Fleet.
      steering: The Steering.
      pool: The ConnectionPool.
      names: The HeaderNames.
      log: The EventLog.
      counters: The Counters.
      admission: The Admission.
      crediting: The Crediting.
      on_unreachable: Function of a records.Upstream that is called when it becomes unreachable.

    Attributes:
      restart_reports: The restarts.RestartReports.
    """

    def __init__(
        self, fleet, steering, pool, names, log, counters, admission, crediting, on_unreachable
    ):
        self.restart_reports = restarts.RestartReports()
        self._fleet = fleet
        self._steering = steering
        self._pool = pool
        self._names = names
        self._log = log
        self._admission = admission
        self._crediting = crediting
        self._connector = connector.Connector(
            fleet, pool, log, counters, on_unreachable, self._report_restart
        )
        self._start_checks = _startchecks.StartChecks(
            fleet, log, self._apply_demands, self._report_cold
        )

    def send(self, request, progress, query, choice, cancellation):
        """Sends a request to the chosen upstream; returns its outcome."""
        state = choice.upstream
        upstream = state.record
        connection = None
        state.record_send(time.monotonic())
        outcome = None
        try:
            is_idempotent = progress.route.kind is shared.WorkKind.IDEMPOTENT
            connection, has_lost = self._pool.pop_idle(upstream, is_idempotent)
            if has_lost:
                self._suspect_restart(state, "closed")
            if connection is None:
                connection = self._connector.connect(state, progress.deadline_at)
            if connection is None:
                return _upstreamhttp.NotRun("unreachable", is_unreachable=True)
            cancellation.attach(connection)
            if cancellation.is_cancelled:
                return _upstreamhttp.NotRun(cancellation.reason.value)
            is_usable = self._start_checks.run(
                state, connection, progress.deadline_at, cancellation
            )
            if cancellation.is_cancelled:
                return _upstreamhttp.NotRun(cancellation.reason.value)
            if not is_usable:
                return _upstreamhttp.NotRun("unchecked", is_unsent=True)
            if not self._fleet.is_available(state):
                return _upstreamhttp.NotRun("left_meanwhile", is_unsent=True)
            if not self._may_send(request, progress, upstream):
                return _upstreamhttp.NotRun("withheld", is_withheld=True)
            begun = time.monotonic()
            if not self._fleet.admit_send(state, begun, connection.opened_at):
                return _upstreamhttp.NotRun("limit_used_up", is_unsent=True)
            outcome = self._exchange(request, progress, choice, connection, cancellation)
            # A cancelled send says nothing about the upstream.
            if not cancellation.is_cancelled:
                self._learn(query, choice, outcome, connection, begun)
            return outcome
        finally:
            state.record_end(isinstance(outcome, _upstreamhttp.Answered), time.monotonic())
            cancellation.attach(None)
            if connection is not None:
                self._pool.put_back(connection)

    def _may_send(self, request, progress, upstream):
        """Returns True if what was checked before the connection was there still holds."""
        return (
            not self._admission.is_blocked(progress)
            and self._admission.renew_identity(request, progress) is None
            and accounts.permits_region(progress.route, progress.identity, upstream.region)
            and self._crediting.is_covered(progress)
        )

    def _exchange(self, request, progress, choice, connection, cancellation):
        """Sends a request on a connection and adds the send to the trace."""
        state = choice.upstream
        begun = time.monotonic()
        remaining_s = progress.deadline_at - begun
        if remaining_s <= 0.0:
            return _upstreamhttp.NotRun("no_time_left")
        message = _upstreamhttp.format_request(
            request,
            state.record.upstream_id,
            max(1, int(remaining_s * 1000)),
            self._names,
            progress.identity,
        )
        trace = _describe_choice(choice, begun)
        progress.trace.append(trace)
        # From here on the request may run, so its permit is used unless it certainly has not run.
        permit, progress.permit = progress.permit, None
        passed_to, cancellation.upstream_id = cancellation.upstream_id, state.record.upstream_id
        try:
            outcome = connection.exchange(
                request, message, progress.deadline_at + _admission.TIMEOUT_GRACE_S
            )
        except Exception as error:
            self._log.write_exception("request.exchange", error)
            outcome = _upstreamhttp.MayHaveRun(_endings.FAILED_REASON)
        if isinstance(outcome, _upstreamhttp.NotRun):
            progress.permit = permit
            cancellation.upstream_id = passed_to
        trace["outcome"] = _format_outcome(outcome)
        trace["ms"] = int((time.monotonic() - begun) * 1000)
        return outcome

    def _learn(self, query, choice, outcome, connection, begun):
        """Learns from the outcome of a send; a fault there must not cost the client its answer."""
        state = choice.upstream
        try:
            self._record_outcome(query, choice, outcome, begun)
            self._probe_if_suspect(state, outcome, begun)
            self._check_continuity(state, connection, outcome, begun)
            self._apply_outcome_demands(
                self._fleet.find_process(state, connection.opened_at), outcome
            )
        except Exception as error:
            self._log.write_exception("request.learn", error)

    def _record_outcome(self, query, choice, outcome, begun):
        """Updates the estimates of the upstream with the outcome of a send."""
        now = time.monotonic()
        seconds = now - begun
        match outcome:
            case _upstreamhttp.Answered(answer) if answer.status == 504:
                self._steering.record_timeout(choice, seconds, now)
            case _upstreamhttp.Answered(answer, load) if answer.status < 500:
                self._steering.record_success(query, choice, load, seconds, now)
            case _upstreamhttp.Answered(load=load):
                self._steering.record_failure(choice, load, now)
            case _upstreamhttp.NotRun(is_shed=True, load=load):
                self._steering.record_shed(choice, load, now)
            case _upstreamhttp.NotRun(is_misdirected=True):
                choice.upstream.is_misdirected = True
                upstream_id = choice.upstream.record.upstream_id
                self._log.write("upstream.misdirected", upstream=upstream_id)
            case _upstreamhttp.MayHaveRun():
                self._steering.record_failure(choice, None, now)
            case _upstreamhttp.TimedOut():
                self._steering.record_timeout(choice, seconds, now)

    def _probe_if_suspect(self, state, outcome, begun):
        """Probes an upstream that may have crashed or lost power.

        A crash breaks all connections, and on one connection it can't be told from a reset, nor on
        a kept one from an end of its idle time. An upstream that lost power answers no request.
        """
        match outcome:
            case _upstreamhttp.MayHaveRun(is_broken=True):
                self._connector.start_probe(state)
            case _upstreamhttp.TimedOut() if not state.has_answered_since(begun):
                self._connector.start_probe(state)

    def _check_continuity(self, state, connection, outcome, begun):
        """Records whether the upstream runs on, or may have restarted."""
        match outcome:
            case _upstreamhttp.Answered() | _upstreamhttp.NotRun(is_shed=True):
                process = self._fleet.find_process(state, connection.opened_at)
                process.record_alive(connection.opened_at, begun)
            case _upstreamhttp.MayHaveRun(is_broken=True):
                process = self._fleet.find_process(state, connection.opened_at)
                self._suspect_restart(process, "broken", connection.opened_at)

    def _apply_outcome_demands(self, state, outcome):
        """Applies what the upstream asks of the hosts in its answer to a request."""
        match outcome:
            case _upstreamhttp.Answered(demands=demands):
                self._apply_demands(state, demands)
            case _upstreamhttp.NotRun(is_shed=True, demands=demands):
                self._apply_demands(state, demands)

    def _apply_demands(self, state, demands):
        """Applies what the upstream asks of the hosts."""
        if demands.is_leaving and self._fleet.mark_leaving(state, time.monotonic()):
            self._log.write("upstream.leaving", upstream=state.record.upstream_id)
        if demands.pause_s:
            self._fleet.pause(state, demands.pause_s, time.monotonic())
            self._log.write(
                "upstream.pause", upstream=state.record.upstream_id, pause_s=demands.pause_s
            )
        if self._fleet.set_rate_limit(state, demands.rate_limit, time.monotonic()):
            self._log.write(
                "upstream.limit",
                upstream=state.record.upstream_id,
                rate_limit=demands.rate_limit,
            )

    def _suspect_restart(self, state, cause, alive_at=0.0):
        """Suspects an upstream that ran at a monotonic time, and reports it to the peers."""
        if self._fleet.find(state.record.upstream_id) is not state:
            # The store has named the process that took over, or lists none.
            return
        now = time.monotonic()
        if now >= state.suspect_until:
            self._log.write("upstream.suspect", upstream=state.record.upstream_id, cause=cause)
        self._fleet.suspect_restart(state, now)
        self._report_restart(state, max(alive_at, state.proven_at))

    def _report_restart(self, state, alive_at, at=None):
        """Tells the peers that another process may have taken over; see RestartReport."""
        record = state.record
        at = time.monotonic() if at is None else at
        self.restart_reports.add(
            restarts.RestartReport(record.upstream_id, record.incarnation, at, alive_at)
        )

    def _report_cold(self, state, cold_s, now):
        """Tells the peers of an upstream that says it is cold, as if it had restarted by then.

        Hosts that have got answers of one process before and after that time know better.
        """
        restarted_at = self._fleet.estimate_restart_at(state, cold_s, now)
        # Reports of what happened earlier are not passed on.
        reported_at = max(restarted_at, now - restarts.REPORT_TTL_S / 2)
        self._report_restart(state, restarted_at, reported_at)


def _describe_choice(choice, now):
    """Returns the estimates that led to the choice of an upstream, for the log."""
    state = choice.upstream
    return {
        "upstream": state.record.upstream_id,
        "expected_ms": int((choice.wait_s + choice.service_time_s) * 1000),
        "known_object": choice.knows_object,
        "incarnation": state.record.incarnation,
        "is_cold": state.is_cold(now),
        "counted_sends": state.use.sends.count(tracking.MAX_SEND_WINDOW_S, now),
        "load": round(state.estimate_load(now), 1),
        "slots": state.record.slots,
        "pace": round(state.estimate_pace(now), 2),
        "report_age_ms": int(state.get_report_age_s(now) * 1000),
    }


def _format_outcome(outcome):
    match outcome:
        case _upstreamhttp.Answered(answer):
            return str(answer.status)
        case _upstreamhttp.NotRun(reason) | _upstreamhttp.MayHaveRun(reason):
            return reason
        case _upstreamhttp.TimedOut(reason):
            return reason
    raise TypeError(f"unknown outcome {outcome!r}")
