"""Forwarding of requests: route, placement, sends to upstreams, and the answer to the client."""

import dataclasses
import math
import time

from skylarksill import records as shared
from skylarksill import retries
from skylarksill.host import (
    _upstreamhttp,
    answers,
    connector,
    placement,
    poison,
    records,
    restarts,
    routes,
)

# Time after a request's deadline before the host answers with a time-out itself, so that an answer
# which the upstream gives at the deadline arrives first. Clients expect an answer within 0.25 s
# after the deadline.
TIMEOUT_GRACE_S = 0.08
# A request that may have run is retried only if it is idempotent and more than this share of the
# expected service time remains.
MIN_RETRY_TIME_SHARE = 0.5
# Part of the permitted retries that the hosts use together.
RETRY_BUDGET_SHARE = 0.8
# Number of retries of one request after upstreams have rejected it without running it. Sends that
# may have run are bounded by the route's ``max_attempts``.
MAX_REJECTED_SENDS = 3
MIN_RETRY_AFTER_S = 0.02
# Clients honour a Retry-After of up to this share of the time until their deadline.
MAX_RETRY_AFTER_SHARE = 1 / 3
# A request that crashes upstreams may be retried, but only after a long delay.
BLOCKED_RETRY_AFTER_S = 60.0
# Steps of a request that each wait as long as the process is late: it arrives, is sent to an
# upstream, and is answered.
STEPS_OF_REQUEST = 3
# A client that asks a host which is too late to serve it is to try another host at once.
LATE_RETRY_AFTER_S = 0.02
# A client whose request arrives late in a stop is to try another host at once.
STOPPING_RETRY_AFTER_S = 0.02
# Characters of a host name or a path in the log.
MAX_LOGGED_NAME = 100
# A client that asks a host which may be behind for an unknown route is to try another host at once.
OUTDATED_RETRY_AFTER_S = 0.02
# Reason of the end of a request on which the host itself has failed.
FAILED_REASON = "host_failed"


@dataclasses.dataclass(slots=True)
class _Progress:
    """State of one request on its way through the host.

    Attributes:
      deadline_at: Monotonic time at which the request times out.
      attempts: Number of sends that may have run.
      rejected_sends: Number of sends that upstreams rejected without running them.
      excluded: Ids of upstreams that are not tried again.
      trace: One dict for each send, for the log.
      last_answer: The latest answer of an upstream, or None.
    """

    route: records.Route
    service_id: str
    deadline_at: float
    fingerprint: bytes
    attempts: int = 0
    rejected_sends: int = 0
    excluded: set = dataclasses.field(default_factory=set)
    trace: list = dataclasses.field(default_factory=list)
    last_answer: records.Answer | None = None


class Forwarder:
    """Forwards requests of clients to upstreams and retries them within the budgets.

    Args:
      belief: The host's Belief.
      fleet: The Fleet.
      steering: The Steering.
      pool: The ConnectionPool.
      names: The HeaderNames.
      log: The EventLog.
      counters: The Counters.
      bounds: The records.Bounds; may be replaced at any time.
      lateness: The lateness.Lateness of the process.
      credit: The creditbroker.CreditBroker, or None without quotas of accounts.

    Attributes:
      poisons: PoisonTable of requests that crash upstreams.
      restart_reports: The restarts.RestartReports.
      ends_at: Monotonic time by which all answers must be given, as the host stops; else infinity.
    """

    def __init__(
        self, belief, fleet, steering, pool, names, log, counters, bounds, lateness, credit=None
    ):
        self._belief = belief
        self._fleet = fleet
        self._steering = steering
        self._pool = pool
        self.poisons = poison.PoisonTable()
        self.restart_reports = restarts.RestartReports()
        self.ends_at = math.inf
        self._connector = connector.Connector(
            fleet, pool, log, counters, self._handle_upstream_down
        )
        self._names = names
        self._log = log
        self._counters = counters
        self.bounds = bounds
        self._lateness = lateness
        self._credit = credit
        self._splits = routes.SplitTable()
        self._budgets = {}
        self._priorities = (None, {})

    def serve(self, request, cancellation):
        """Serves a request.

        Args:
          request: The records.Request.
          cancellation: The Cancellation, which is cancelled when the client has gone.
        Returns:
          The records.Answer, or None if the request was cancelled.
        """
        progress = None
        try:
            progress = self._begin(request)
            if isinstance(progress, records.Answer):
                return progress
            answer = self._place_and_send(request, progress, cancellation)
        except Exception as error:
            # The request still ends with an answer, and releases what it holds.
            self._log.write_exception("request", error)
            if not cancellation.is_cancelled:
                return self._end_failed(request, progress)
        if cancellation.is_cancelled:
            self._record_end(request, progress, 0, "client_gone")
            return None
        return answer

    def _begin(self, request):
        """Returns the _Progress of a new request, or its Answer if it goes to no upstream."""
        belief = self._belief
        if not belief.is_complete:
            return self._reject(request, "no_configuration", placement.UNAVAILABLE_RETRY_AFTER_S)
        route = belief.route_table.find(request.site, request.path)
        if route is None:
            return self._deny(request)
        if isinstance(route, records.UnreadableRoute):
            delay_s = placement.UNAVAILABLE_RETRY_AFTER_S
            return self._reject(request, "unreadable_route", delay_s)
        fingerprint = poison.fingerprint_request(request)
        if self.poisons.is_blocked(fingerprint, request.received_at):
            return self._reject(request, "blocked", BLOCKED_RETRY_AFTER_S)
        remaining_s = route.timeout_s
        if request.deadline_s is not None:
            remaining_s = min(remaining_s, request.deadline_s)
        late_s = STEPS_OF_REQUEST * self._lateness.estimate_s()
        if request.received_at + remaining_s + TIMEOUT_GRACE_S + late_s > self.ends_at:
            return self._reject(request, "stopping", STOPPING_RETRY_AFTER_S)
        if late_s > remaining_s:
            return self._reject(request, "late", LATE_RETRY_AFTER_S)
        service_id = self._splits.choose(route)
        self._find_budget(service_id).count_request(request.received_at)
        return _Progress(route, service_id, request.received_at + remaining_s, fingerprint)

    def _deny(self, request):
        """Answers a request that no route matches.

        A host whose configuration may be outdated can't know that no route exists.
        """
        age_s = self._belief.get_configuration_age_s(time.monotonic())
        if age_s > self.bounds.apply_s:
            return self._reject(request, "outdated", OUTDATED_RETRY_AFTER_S)
        self._record_end(request, None, 404, "no_route")
        return answers.make_answer(404, b"no route\n")

    def _place_and_send(self, request, progress, cancellation):
        """Returns the answer to the client, or None if the request was cancelled."""
        while not cancellation.is_cancelled:
            now = time.monotonic()
            query = self._make_query(request, progress, now)
            choice = self._steering.choose(query, now)
            if isinstance(choice, placement.Rejection):
                return self._end_unplaced(request, progress, choice)
            outcome = self._send(request, progress, query, choice, cancellation)
            if cancellation.is_cancelled:
                break
            answer = self._handle_outcome(request, progress, choice, outcome)
            if answer is not None:
                return answer
        return None

    def _make_query(self, request, progress, now):
        return placement.Query(
            progress.route,
            progress.service_id,
            self._find_priority_rank(progress.route, progress.service_id),
            request.affinity_key,
            progress.deadline_at - now,
            progress.excluded,
        )

    def _send(self, request, progress, query, choice, cancellation):
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
            is_reused = connection is not None
            if connection is None:
                connection = self._connector.connect(state, progress.deadline_at)
            if connection is None:
                return _upstreamhttp.NotRun("unreachable", is_unreachable=True)
            cancellation.attach(connection)
            if cancellation.is_cancelled:
                return _upstreamhttp.NotRun("client_gone")
            if not self._fleet.is_available(state):
                return _upstreamhttp.NotRun("left_meanwhile", is_unsent=True)
            begun = time.monotonic()
            if not self._fleet.admit_send(state, begun, connection.opened_at):
                return _upstreamhttp.NotRun("limit_used_up", is_unsent=True)
            outcome = self._exchange(request, progress, choice, connection)
            # A cancelled send says nothing about the upstream.
            if not cancellation.is_cancelled:
                self._learn(query, choice, outcome, connection, begun, is_reused)
            return outcome
        finally:
            state.record_end(isinstance(outcome, _upstreamhttp.Answered), time.monotonic())
            cancellation.attach(None)
            if connection is not None:
                self._pool.put_back(connection)

    def _exchange(self, request, progress, choice, connection):
        """Sends a request on a connection and adds the send to the trace."""
        state = choice.upstream
        begun = time.monotonic()
        remaining_s = progress.deadline_at - begun
        if remaining_s <= 0.0:
            return _upstreamhttp.NotRun("no_time_left")
        message = _upstreamhttp.format_request(
            request, state.record.upstream_id, max(1, int(remaining_s * 1000)), self._names
        )
        trace = _describe_choice(choice, begun)
        progress.trace.append(trace)
        try:
            outcome = connection.exchange(request, message, progress.deadline_at + TIMEOUT_GRACE_S)
        except Exception as error:
            self._log.write_exception("request.exchange", error)
            outcome = _upstreamhttp.MayHaveRun(FAILED_REASON)
        trace["outcome"] = _format_outcome(outcome)
        trace["ms"] = int((time.monotonic() - begun) * 1000)
        return outcome

    def _learn(self, query, choice, outcome, connection, begun, is_reused):
        """Learns from the outcome of a send; a fault there must not cost the client its answer."""
        state = choice.upstream
        try:
            self._record_outcome(query, choice, outcome, begun)
            self._probe_if_suspect(state, outcome, begun, is_reused)
            self._check_continuity(state, connection, outcome)
            self._apply_demands(state, outcome)
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

    def _probe_if_suspect(self, state, outcome, begun, is_reused):
        """Probes an upstream that may have crashed or lost power.

        A crash breaks all connections, and on one connection it can't be told from a reset. An
        upstream that lost power answers no request at all.
        """
        match outcome:
            case _upstreamhttp.MayHaveRun(is_broken=True) if not is_reused:
                self._connector.start_probe(state)
            case _upstreamhttp.TimedOut() if not state.has_answered_since(begun):
                self._connector.start_probe(state)

    def _check_continuity(self, state, connection, outcome):
        """Records whether the upstream runs on, or may have restarted."""
        match outcome:
            case _upstreamhttp.Answered() | _upstreamhttp.NotRun(is_shed=True):
                state.record_alive(connection.opened_at, time.monotonic())
            case _upstreamhttp.MayHaveRun(is_broken=True):
                self._suspect_restart(state, "broken")

    def _apply_demands(self, state, outcome):
        """Applies what the upstream asks of the hosts in its answer."""
        match outcome:
            case _upstreamhttp.Answered(demands=demands):
                pass
            case _upstreamhttp.NotRun(is_shed=True, demands=demands):
                pass
            case _:
                return
        if demands.is_leaving and self._fleet.mark_leaving(state):
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

    def _suspect_restart(self, state, cause):
        now = time.monotonic()
        if now >= state.suspect_until:
            self._log.write("upstream.suspect", upstream=state.record.upstream_id, cause=cause)
        self._fleet.suspect_restart(state, now)
        record = state.record
        report = restarts.RestartReport(
            record.upstream_id, record.incarnation, now, state.proven_at
        )
        self.restart_reports.add(report)

    def _handle_outcome(self, request, progress, choice, outcome):
        """Returns the answer to the client, or None if the request is to be placed again."""
        is_idempotent = progress.route.kind is shared.WorkKind.IDEMPOTENT
        progress.excluded.add(choice.upstream.record.upstream_id)
        match outcome:
            case _upstreamhttp.Answered(answer):
                progress.attempts += 1
                progress.last_answer = answer
                self.poisons.record_answer(progress.fingerprint, time.monotonic())
                if (
                    answer.status >= 500
                    and is_idempotent
                    and self._take_retry_after_run(progress, choice)
                ):
                    return None
                return self._end_run(request, progress, answer.status, "answered")
            case _upstreamhttp.NotRun(is_unreachable=True) | _upstreamhttp.NotRun(is_unsent=True):
                return None
            case _upstreamhttp.NotRun(reason):
                progress.rejected_sends += 1
                has_sends = progress.rejected_sends <= MAX_REJECTED_SENDS
                if has_sends and self._take_retry(progress):
                    return None
                rejection = placement.Rejection(reason, max(MIN_RETRY_AFTER_S, choice.wait_s))
                return self._end_unplaced(request, progress, rejection)
            case _upstreamhttp.MayHaveRun(reason, is_broken):
                progress.attempts += 1
                if is_broken:
                    upstream = choice.upstream.record
                    self.poisons.record_broken(progress.fingerprint, upstream, time.monotonic())
                if is_idempotent and self._take_retry_after_run(progress, choice):
                    return None
                return self._end_run(request, progress, 502, reason)
            case _upstreamhttp.TimedOut(reason):
                return self._end_run(request, progress, 504, reason)
        raise TypeError(f"unknown outcome {outcome!r}")

    def _take_retry_after_run(self, progress, choice):
        """Takes a retry from the budget for a request that may have run.

        Returns:
          True if the request is to be sent again.
        """
        remaining_s = progress.deadline_at - time.monotonic()
        return (
            progress.attempts < progress.route.max_attempts
            and not self.poisons.is_suspect(progress.fingerprint)
            and remaining_s > MIN_RETRY_TIME_SHARE * choice.service_time_s
            and self._take_retry(progress)
        )

    def _handle_upstream_down(self, upstream):
        """Blocks the requests that have crashed several upstreams, now that another one is down."""
        for fingerprint in self.poisons.record_down(upstream, time.monotonic()):
            self._log.write("request.blocked", fingerprint=fingerprint.hex())

    def _take_retry(self, progress):
        return self._find_budget(progress.service_id).take_retry(time.monotonic())

    def _find_budget(self, service_id):
        budget = self._budgets.get(service_id)
        if budget is None:
            bounds = self.bounds
            budget = self._budgets[service_id] = retries.RetryBudget(
                RETRY_BUDGET_SHARE * bounds.retry_ratio, bounds.retry_window_s
            )
        view = self._fleet.view
        extra = RETRY_BUDGET_SHARE * self.bounds.retry_extra / len(view.all_ids)
        budget.extra = extra if view.is_settled else 0.0
        return budget

    def _find_priority_rank(self, route, service_id):
        """Returns the number of more urgent priorities among the routes of the service."""
        configuration = self._belief.configuration
        if self._priorities[0] is not configuration:
            priorities = {}
            for known in configuration.routes:
                for share in known.shares:
                    priorities.setdefault(share.service_id, set()).add(known.priority)
            self._priorities = (configuration, priorities)
        known = self._priorities[1].get(service_id, ())
        return sum(priority < route.priority for priority in known)

    def _end_unplaced(self, request, progress, rejection):
        """Ends a request that can't be placed, or rejects it if no send may have run."""
        if progress.attempts:
            return self._end_run(request, progress, 502, rejection.reason)
        return self._reject(request, rejection.reason, rejection.retry_after_s, progress, rejection)

    def _end_failed(self, request, progress):
        """Ends a request on which the host itself has failed."""
        if progress is not None and progress.trace:
            return self._end_run(request, progress, 502, FAILED_REASON)
        retry_after_s = placement.UNAVAILABLE_RETRY_AFTER_S
        return self._reject(request, FAILED_REASON, retry_after_s, progress)

    def _end_run(self, request, progress, status, reason):
        """Ends a request that may have run.

        The latest answer of an upstream, if there is one, is delivered instead of the host's own.
        """
        answer = progress.last_answer
        if answer is None:
            self._record_end(request, progress, status, reason)
            return answers.make_answer(status, b"upstream failed\n")
        self._record_end(request, progress, answer.status, "answered")
        return answer

    def _reject(self, request, reason, retry_after_s, progress=None, rejection=None):
        """Answers that the request was not run and may be retried after a delay in seconds."""
        remaining_s = request.deadline_s
        if remaining_s is not None:
            remaining_s -= time.monotonic() - request.received_at
            retry_after_s = min(retry_after_s, max(0.0, remaining_s) * MAX_RETRY_AFTER_SHARE)
        self._record_end(
            request,
            progress,
            503,
            reason,
            retry_after_s=round(retry_after_s, 3),
            wait_s=round(rejection.wait_s, 3) if rejection else None,
        )
        return answers.make_answer(503, b"not run\n", ((b"retry-after", b"%.3f" % retry_after_s),))

    def _record_end(self, request, progress, status, reason, **fields):
        """Counts and logs an ended request."""
        now = time.monotonic()
        service_id = progress.service_id if progress else ""
        self._counters.count("requests", f"{service_id} {status} {reason}")
        self._counters.observe_duration("latency", service_id, now - request.received_at)
        configuration = self._belief.configuration
        if progress is None:
            fields |= self._describe_target(request, now)
        self._log.write(
            "request",
            id=(request.request_id or b"").decode("latin-1"),
            route=progress.route.route_id if progress else None,
            service=service_id,
            status=status,
            reason=reason,
            ms=int((now - request.received_at) * 1000),
            sends=progress.trace if progress else [],
            generation=configuration.generation if configuration else None,
            **fields,
        )

    def _describe_target(self, request, now):
        """Returns what a request without a route asked for and what the host knew, for the log."""
        configuration = self._belief.configuration
        age_s = self._belief.get_configuration_age_s(now)
        return {
            "site": request.site[:MAX_LOGGED_NAME],
            "path": request.path[:MAX_LOGGED_NAME],
            "routes": len(configuration.routes) if configuration else 0,
            "configuration_age_ms": int(age_s * 1000) if math.isfinite(age_s) else None,
        }


def _describe_choice(choice, now):
    """Returns the estimates that led to the choice of an upstream, for the log."""
    state = choice.upstream
    return {
        "upstream": state.record.upstream_id,
        "expected_ms": int((choice.wait_s + choice.service_time_s) * 1000),
        "known_object": choice.knows_object,
        "is_cold": state.is_cold(now),
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
