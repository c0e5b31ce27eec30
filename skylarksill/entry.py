"""Entry daemon, which accepts client requests and forwards them to dispatchers."""

import dataclasses
import itertools
import os

import eventlet

from skylarksill import (
    _clientwatch,
    _dispatchcalls,
    _entryanswers,
    _entryrequests,
    _httpserver,
    _linkbudgets,
    _steeringsource,
    forwarding,
    logs,
    metrics,
    records,
    retries,
    routing,
    rpc,
    tickets,
    viewer,
)

REFUSE_DELAY_S = 1.0
DRAIN_POLL_S = 0.01
BODY_ARRIVAL_WAIT_S = 0.5
MAX_IN_FLIGHT = 2_000
MAX_LINK_WAIT_S = 0.2


@dataclasses.dataclass(slots=True)
class _RequestProgress:
    """A request in progress, for the log and for the operator who sends a second stop signal.

    ``has_body`` says that the whole body has arrived.
    """

    request_id: str
    start: float
    service: str = "-"
    method: str = "-"
    client: str = "-"
    tried: list = dataclasses.field(default_factory=list)
    ticket_id: str | None = None
    is_client_gone: bool = False
    has_body: bool = False


class EntryDaemon:
    """Serves any method on ``/v1/<service>/<path>``.

    Args:
      settings: The host's Settings.
      clock: A clock with ``monotonic()``, ``unix()`` and ``sleep(s)``.
      view_source: Replaces the AgentViewClient of the host's agent in tests.

    Attributes:
      source: The SteeringSource with the table in force.
    """

    def __init__(self, settings, clock, view_source=None):
        self._settings = settings
        self._clock = clock
        self._log = logs.make_logger("entry")
        self._logs_decisions = settings.log_level in ("DEBUG", "INFO")
        self._metrics = metrics.MetricBuffer(metrics.Metrics("entry", settings.statsd))
        self.source = _steeringsource.SteeringSource(
            clock, "entry", self._close_stale_connections, self._run_periodic_tasks
        )
        incarnation = os.urandom(8).hex()
        self._viewer = view_source or viewer.AgentViewClient(
            settings, clock, "entry", incarnation, self.accept_configuration, includes_blocks=False
        )
        self.source.set_viewer(self._viewer)
        self._dispatch_calls = _dispatchcalls.DispatchCalls(settings, clock, incarnation)
        self._links = None
        self._retry_budgets = {}
        self._rotations = itertools.count()
        self._in_flight = {}
        self._is_refusing = False
        self._server = None
        self._refresh_thread = None

    def accept_configuration(self, configuration, head):
        """Puts a configuration in force; called by the AgentViewClient."""
        if not self.source.accept_configuration(configuration, head):
            return
        if self._links is None:
            region = self.source.table.regions_by_zone.get(self._settings.zone)
            self._links = _linkbudgets.LinkBudgets(region)
        self._links.update(configuration)

    def start(self):
        """Starts serving.

        Returns:
          The IP address and port that the daemon listens on.
        """
        address = (self._settings.address, self._settings.entry_port)
        self._server = _httpserver.HttpServer(address, self.serve)
        self._viewer.start()
        self._refresh_thread = eventlet.spawn(self.source.run)
        self._server.start()
        return self._server.address

    def leave(self):
        """Publishes the leaving state, refuses new requests after 1 s and drains the others."""
        self._viewer.state = records.LifecycleState.LEAVING
        self._viewer.request_poll()
        self._log.info("leaving with {} requests in flight", len(self._in_flight))
        self._clock.sleep(REFUSE_DELAY_S)
        self._is_refusing = True
        refused_at = self._clock.monotonic()
        while self._is_draining(refused_at):
            eventlet.sleep(DRAIN_POLL_S)
        self._server.stop()
        self._refresh_thread.kill()
        self._viewer.stop()
        self._dispatch_calls.close()
        self._metrics.flush()

    def _is_draining(self, refused_at):
        """Returns True while the drain must wait for requests.

        Requests whose body has arrived are always awaited. Requests whose body is still arriving
        are awaited for BODY_ARRIVAL_WAIT_S.
        """
        if any(progress.has_body for progress in self._in_flight.values()):
            return True
        has_timed_out = self._clock.monotonic() - refused_at > BODY_ARRIVAL_WAIT_S
        return bool(self._in_flight) and not has_timed_out

    def describe_in_flight(self):
        """Returns a text that lists the requests in flight."""
        descriptions = [f"{item.request_id} ({item.service})" for item in self._in_flight.values()]
        return f"{len(descriptions)} requests: {', '.join(descriptions) or 'none'}"

    def serve(self, environ, start_response):
        """Serves one HTTP request as the WSGI application."""
        progress = _RequestProgress(os.urandom(12).hex(), self._clock.monotonic())
        progress.method = environ["REQUEST_METHOD"]
        progress.client = environ["REMOTE_ADDR"]
        self._in_flight[progress.request_id] = progress
        try:
            answer, verdict, reason = self._answer_safely(environ, progress)
        finally:
            del self._in_flight[progress.request_id]
        if self._is_refusing:
            _httpserver.close_after_answer(environ)
        self._record_outcome(progress, answer.status, verdict, reason)
        start_response(_httpserver.format_status(answer.status), answer.headers)
        return [answer.body]

    def _answer_safely(self, environ, progress):
        try:
            return self._answer(environ, progress)
        except _entryrequests.RequestError as error:
            return self._refuse(environ, progress, error)
        except Exception:
            self._log.exception("request {} failed", progress.request_id)
            verdict = records.Verdict.NOT_RUN
            if progress.tried or progress.ticket_id:
                verdict = records.Verdict.MAY_HAVE_RUN
            refusal = records.Refusal(verdict, "internal_error", "the entry host failed")
            answer = _entryanswers.format_refusal(500, refusal, progress.request_id)
            return answer, verdict, refusal.reason

    def _answer(self, environ, progress):
        table = self._check_state()
        service = _entryrequests.find_service(environ, table)
        progress.service = service.service_id
        body = _entryrequests.read_body(environ)
        self._check_state()
        progress.has_body = True
        ticket = _entryrequests.read_ticket(environ, service, self._settings.shared_key)
        progress.ticket_id = ticket and ticket.ticket_id
        region = table.regions_by_zone[self._settings.zone]
        context = _entryrequests.EntryContext(self._settings.shared_key, region)
        request = _entryrequests.make_request(
            environ, service, body, progress.request_id, context, self._clock.unix()
        )
        outcome = self._forward(environ, table, request, ticket, progress)
        if outcome.answer is not None:
            answer = _entryanswers.format_answer(outcome.answer, request.request_id, request.method)
            return answer, outcome.verdict, None
        return self._format_outcome(service, request, outcome.refusal)

    def _check_state(self):
        if self._is_refusing:
            detail = "this host is leaving; use the next one"
            raise _entryrequests.RequestError(503, "leaving", detail, must_close=True)
        if len(self._in_flight) > MAX_IN_FLIGHT:
            detail = f"this host has {MAX_IN_FLIGHT} requests in flight"
            raise _entryrequests.RequestError(
                503, "too_many_requests", detail, limit="entry_in_flight", retry_after_ms=100
            )
        table = self.source.table
        if table is None or self._settings.zone not in table.regions_by_zone:
            detail = "no configuration of this host's zone is in force yet"
            raise _entryrequests.RequestError(503, "no_configuration", detail, retry_after_ms=1_000)
        return table

    def _format_outcome(self, service, request, refusal):
        ticket_text = None
        is_non_idempotent = service.kind is records.WorkKind.NON_IDEMPOTENT
        if is_non_idempotent and refusal.verdict is records.Verdict.NOT_RUN:
            is_shifted = refusal.limit == forwarding.SHIFT_CAP_LIMIT
            ticket_text = self._mint_ticket(service, request.home_region if is_shifted else None)
        status = _entryanswers.choose_status(refusal)
        answer = _entryanswers.format_refusal(status, refusal, request.request_id, ticket_text)
        return answer, refusal.verdict, refusal.reason

    def _refuse(self, environ, progress, error):
        if error.must_close:
            _httpserver.close_after_answer(environ)
        ticket_text = None
        if error.needs_ticket:
            ticket_text = self._mint_ticket(self.source.table.services[progress.service])
        answer = _entryanswers.format_refusal(
            error.status, error.refusal, progress.request_id, ticket_text
        )
        return answer, error.refusal.verdict, error.refusal.reason

    def _mint_ticket(self, service, region=None):
        """Returns the text of a new ticket, or None if no dispatcher of the service is alive.

        The ticket's home is near this host, or near ``region`` if that is given. It is given if
        the request was refused by the shift cap.
        """
        table = self.source.table
        zones = table.zones_by_region.get(region, (self._settings.zone,))
        rotation = next(self._rotations)
        zone = zones[rotation % len(zones)]
        ticket_hosts = routing.choose_ticket_hosts(
            table, self.source.view, service.service_id, zone, rotation
        )
        if ticket_hosts is None:
            return None
        arbiter = ticket_hosts.arbiter and (ticket_hosts.arbiter, ticket_hosts.arbiter_incarnation)
        ticket = tickets.new_ticket(
            os.urandom(16).hex(),
            service.service_id,
            (ticket_hosts.home, ticket_hosts.home_incarnation),
            arbiter,
            int(1000 * self._clock.unix()),
        )
        return tickets.sign_ticket(self._settings.shared_key, ticket)

    def _forward(self, environ, table, request, ticket, progress):
        """Forwards a request until it has an outcome.

        Returns:
          A forwarding.Deliver.
        """
        start = self._clock.monotonic()
        state = forwarding.Forwarding(
            self._choose_targets(table, request, ticket),
            start + request.deadline_ms / 1000,
            ticket,
            request.home_region,
            progress.tried,
        )
        budget = self._retry_budgets.setdefault(request.service_id, retries.RetryBudget())
        cancellation = rpc.CallContext(None)
        watch = _clientwatch.ClientWatch(
            environ["eventlet.input"].get_socket(), lambda: _cancel_request(progress, cancellation)
        )
        try:
            event = forwarding.Started()
            while True:
                action = forwarding.advance(state, event, self._clock.monotonic(), budget)
                if isinstance(action, forwarding.Deliver):
                    return action
                event = self._execute(table, request, ticket, action, cancellation)
                if progress.is_client_gone:
                    return _make_client_gone_outcome(event)
        finally:
            watch.stop()

    def _execute(self, table, request, ticket, action, cancellation):
        match action:
            case forwarding.Dispatch(target=target, deadline_ms=deadline_ms, timeout_s=timeout_s):
                return self._dispatch(table, request, target, deadline_ms, timeout_s, cancellation)
            case forwarding.Revoke(timeout_s=timeout_s):
                self._metrics.count("revoke")
                return self._dispatch_calls.revoke(
                    table.hosts.get(ticket.arbiter), ticket, timeout_s
                )
            case forwarding.Pause(seconds=seconds):
                eventlet.sleep(seconds)
                return forwarding.Paused()

    def _dispatch(self, table, request, target, deadline_ms, timeout_s, cancellation):
        refusal = self._wait_for_link(request, target.region, timeout_s)
        if refusal is not None:
            return refusal
        request_with_deadline = dataclasses.replace(request, deadline_ms=deadline_ms)
        return self._dispatch_calls.dispatch(
            table.hosts.get(target.host), request_with_deadline, timeout_s, cancellation
        )

    def _wait_for_link(self, request, region, timeout_s):
        """Waits until the link's byte budget permits the request.

        Returns:
          forwarding.NotSent if the wait would exceed its limit, else None.
        """
        if region == request.source_region:
            return None
        size = _linkbudgets.measure_request(request)
        max_wait_s = min(MAX_LINK_WAIT_S, timeout_s / 2)
        if self._links.wait(region, size, self._clock, max_wait_s):
            return None
        limit = f"link:{request.source_region}>{region}"
        return forwarding.NotSent("the link's byte budget is used up", limit)

    def _choose_targets(self, table, request, ticket):
        if ticket is not None:
            home = table.hosts.get(ticket.home)
            ranked = [(ticket.home, home.zone_id)] if home else []
        else:
            ranked = routing.rank_dispatchers(
                table,
                self.source.view,
                self.source.loads,
                request.service_id,
                self._settings.zone,
                next(self._rotations),
                self._dispatch_calls.list_unreachable_hosts(),
            )
        return [forwarding.Target(host, zone, table.regions_by_zone[zone]) for host, zone in ranked]

    def _close_stale_connections(self):
        self._dispatch_calls.close_stale_connections(self.source.table.hosts)

    def _run_periodic_tasks(self):
        self._dispatch_calls.probe_silent_dispatchers()
        self._metrics.flush()

    def _record_outcome(self, progress, status, verdict, reason):
        duration_ms = 1000 * (self._clock.monotonic() - progress.start)
        self._metrics.count(f"verdict.{verdict.value}")
        self._metrics.time(f"request.{progress.service}", duration_ms)
        if len(progress.tried) > 1:
            self._metrics.count("retries", len(progress.tried) - 1)
        if self._logs_decisions:
            self._log.info(
                "request={} service={} method={} client={} ticket={} tried={} status={} "
                "verdict={} reason={} gone={} ms={:.1f}",
                progress.request_id,
                progress.service,
                progress.method,
                progress.client,
                progress.ticket_id,
                ",".join(target.host for target in progress.tried) or "-",
                status,
                verdict.value,
                reason,
                progress.is_client_gone,
                duration_ms,
            )


def _cancel_request(progress, cancellation):
    progress.is_client_gone = True
    cancellation.cancel()


def _make_client_gone_outcome(event):
    """Returns the outcome, for the log only, of a request whose client has disconnected."""
    if isinstance(event, forwarding.Answered) and event.result.answer is not None:
        return forwarding.Deliver(event.result.answer, None)
    detail = "the client closed its connection before the answer"
    refusal = records.Refusal(records.Verdict.MAY_HAVE_RUN, "client_gone", detail)
    return forwarding.Deliver(None, refusal)
