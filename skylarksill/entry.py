"""The entry daemon, which takes clients' requests and forwards them to dispatchers."""

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

REFUSE_AFTER_S = 1.0
STOP_POLL_S = 0.01
ARRIVAL_WAIT_S = 0.5
MAX_IN_FLIGHT = 2_000
MAX_LINK_WAIT_S = 0.2


@dataclasses.dataclass(slots=True)
class _Progress:
    """A request on its way, for the log and for the operator of a second signal."""

    request_id: str
    start: float
    service: str = "-"
    method: str = "-"
    client: str = "-"
    tried: list = dataclasses.field(default_factory=list)
    ticket_id: str | None = None
    is_gone: bool = False
    has_body: bool = False


class EntryDaemon:
    """Serves any method on ``/v1/<service>/<path>``.

    Args:
      settings: The host's Settings.
      clock: A clock with ``monotonic()``, ``unix()`` and ``sleep(s)``.
      view_source: Object in place of the Viewer of the host's agent, for tests.

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
            clock, "entry", self._keep_connections, self._tick
        )
        incarnation = os.urandom(8).hex()
        self._viewer = view_source or viewer.Viewer(
            settings, clock, "entry", incarnation, self.accept_configuration, has_blocks=False
        )
        self.source.set_viewer(self._viewer)
        self._calls = _dispatchcalls.DispatchCalls(settings, clock, incarnation)
        self._links = None
        self._budgets = {}
        self._picks = itertools.count()
        self._in_flight = {}
        self._is_refusing = False
        self._server = None
        self._refresher = None

    def accept_configuration(self, configuration, head):
        """Puts a configuration in force; called by the Viewer."""
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
        self._refresher = eventlet.spawn(self.source.run)
        self._server.start()
        return self._server.address

    def leave(self):
        """Publishes the leaving state, refuses new work after 1 s and waits for the rest."""
        self._viewer.state = records.LifeState.LEAVING
        self._viewer.poll_soon()
        self._log.info("leaving with {} requests in flight", len(self._in_flight))
        self._clock.sleep(REFUSE_AFTER_S)
        self._is_refusing = True
        refused_at = self._clock.monotonic()
        while self._must_wait(refused_at):
            eventlet.sleep(STOP_POLL_S)
        self._server.stop()
        self._refresher.kill()
        self._viewer.stop()
        self._calls.close()
        self._metrics.flush()

    def _must_wait(self, refused_at):
        """Returns True while a whole request is in progress, or for a moment one arrives."""
        if any(progress.has_body for progress in self._in_flight.values()):
            return True
        is_over = self._clock.monotonic() - refused_at > ARRIVAL_WAIT_S
        return bool(self._in_flight) and not is_over

    def describe_in_flight(self):
        """Returns a text that names the requests in flight."""
        names = [f"{item.request_id} ({item.service})" for item in self._in_flight.values()]
        return f"{len(names)} requests: {', '.join(names) or 'none'}"

    def serve(self, environ, start_response):
        """Answers one HTTP request; the WSGI application."""
        progress = _Progress(os.urandom(12).hex(), self._clock.monotonic())
        progress.method = environ["REQUEST_METHOD"]
        progress.client = environ["REMOTE_ADDR"]
        self._in_flight[progress.request_id] = progress
        try:
            answer, verdict, reason = self._answer_safely(environ, progress)
        finally:
            del self._in_flight[progress.request_id]
        if self._is_refusing:
            _httpserver.close_after_answer(environ)
        self._report(progress, answer.status, verdict, reason)
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
        place = _entryrequests.Place(self._settings.shared_key, region)
        request = _entryrequests.make_request(
            environ, service, body, progress.request_id, place, self._clock.unix()
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
        fresh = None
        is_ticketed = service.kind is records.WorkKind.NON_IDEMPOTENT
        if is_ticketed and refusal.verdict is records.Verdict.NOT_RUN:
            is_shifted = refusal.limit == forwarding.SHIFT_CAP_LIMIT
            fresh = self._mint_ticket(service, request.home_region if is_shifted else None)
        status = _entryanswers.choose_status(refusal)
        answer = _entryanswers.format_refusal(status, refusal, request.request_id, fresh)
        return answer, refusal.verdict, refusal.reason

    def _refuse(self, environ, progress, error):
        if error.must_close:
            _httpserver.close_after_answer(environ)
        fresh = None
        if error.needs_ticket:
            fresh = self._mint_ticket(self.source.table.services[progress.service])
        answer = _entryanswers.format_refusal(
            error.status, error.refusal, progress.request_id, fresh
        )
        return answer, error.refusal.verdict, error.refusal.reason

    def _mint_ticket(self, service, region=None):
        """Returns the text of a fresh ticket, or None if no dispatcher is alive.

        Its home is near this host, or in ``region`` if the client's work was refused as shifted.
        """
        table = self.source.table
        zones = table.zones_by_region.get(region, (self._settings.zone,))
        pick = next(self._picks)
        zone = zones[pick % len(zones)]
        hosts = routing.choose_ticket_hosts(table, self.source.view, service.service_id, zone, pick)
        if hosts is None:
            return None
        arbiter = hosts.arbiter and (hosts.arbiter, hosts.arbiter_incarnation)
        ticket = tickets.new_ticket(
            os.urandom(16).hex(),
            service.service_id,
            (hosts.home, hosts.home_incarnation),
            arbiter,
            int(1000 * self._clock.unix()),
        )
        return tickets.mint_ticket(self._settings.shared_key, ticket)

    def _forward(self, environ, table, request, ticket, progress):
        """Forwards a request until it has an outcome; returns a forwarding.Deliver."""
        start = self._clock.monotonic()
        state = forwarding.Forwarding(
            self._choose_targets(table, request, ticket),
            start + request.deadline_ms / 1000,
            ticket,
            request.home_region,
            progress.tried,
        )
        budget = self._budgets.setdefault(request.service_id, retries.RetryBudget())
        cancellation = rpc.CallContext(None)
        watch = _clientwatch.ClientWatch(
            environ["eventlet.input"].get_socket(), lambda: _give_up(progress, cancellation)
        )
        try:
            event = forwarding.Started()
            while True:
                action = forwarding.advance(state, event, self._clock.monotonic(), budget)
                if isinstance(action, forwarding.Deliver):
                    return action
                event = self._perform(table, request, ticket, action, cancellation)
                if progress.is_gone:
                    return _describe_gone(event)
        finally:
            watch.stop()

    def _perform(self, table, request, ticket, action, cancellation):
        match action:
            case forwarding.Dispatch(target=target, deadline_ms=deadline_ms, timeout_s=timeout_s):
                return self._dispatch(table, request, target, deadline_ms, timeout_s, cancellation)
            case forwarding.Revoke(timeout_s=timeout_s):
                self._metrics.count("revoke")
                return self._calls.revoke(table.hosts.get(ticket.arbiter), ticket, timeout_s)
            case forwarding.Pause(seconds=seconds):
                eventlet.sleep(seconds)
                return forwarding.Paused()

    def _dispatch(self, table, request, target, deadline_ms, timeout_s, cancellation):
        refusal = self._wait_for_link(request, target.region, timeout_s)
        if refusal is not None:
            return refusal
        sent = dataclasses.replace(request, deadline_ms=deadline_ms)
        return self._calls.dispatch(table.hosts.get(target.host), sent, timeout_s, cancellation)

    def _wait_for_link(self, request, region, timeout_s):
        """Waits for the link's byte budget; returns NotSent if that takes too long."""
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
                next(self._picks),
                self._calls.list_unreachable_hosts(),
            )
        return [forwarding.Target(host, zone, table.regions_by_zone[zone]) for host, zone in ranked]

    def _keep_connections(self):
        self._calls.close_stale_connections(self.source.table.hosts)

    def _tick(self):
        self._calls.probe_silent_dispatchers()
        self._metrics.flush()

    def _report(self, progress, status, verdict, reason):
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
                progress.is_gone,
                duration_ms,
            )


def _give_up(progress, cancellation):
    progress.is_gone = True
    cancellation.cancel()


def _describe_gone(event):
    """Returns the outcome of a request whose client has gone; nobody receives it."""
    if isinstance(event, forwarding.Answered) and event.result.answer is not None:
        return forwarding.Deliver(event.result.answer, None)
    detail = "the client closed its connection before the answer"
    refusal = records.Refusal(records.Verdict.MAY_HAVE_RUN, "client_gone", detail)
    return forwarding.Deliver(None, refusal)
