"""The dispatch daemon, which runs requests on the upstreams of its zone."""

import contextlib
import os

import eventlet

from skylarksill import (
    _dispatchpeers,
    _dispatchrunner,
    _dispatchtickets,
    _linkbudgets,
    dispatching,
    logs,
    messages,
    metrics,
    records,
    rpc,
    viewer,
)

LEAVING_NOTICE_S = 1.0
FINAL_POLL_TIMEOUT_S = 0.1
STOP_CHECK_INTERVAL_S = 0.02
DRAIN_CHECK_INTERVAL_S = 0.2
EXPIRE_INTERVAL_S = 1.0
MAX_VIEW_WAIT_S = 1.0


class DispatchDaemon:
    """Serves the dispatcher's methods to entry processes and other dispatchers.

    Args:
      settings: The host's Settings.
      clock: A clock with ``monotonic()``, ``unix()`` and ``sleep(s)``.
      view_source: Object in place of the AgentViewClient of the host's agent, for tests.

    Attributes:
      core: The dispatching.Dispatcher.
      incarnation: Incarnation of this process.
    """

    def __init__(self, settings, clock, view_source=None):
        self._settings = settings
        self._clock = clock
        self._log = logs.make_logger("dispatch")
        self._metrics = metrics.Metrics("dispatch", settings.statsd)
        incarnation = self.incarnation = os.urandom(8).hex()
        identity = rpc.Identity("dispatch", settings.host, incarnation)
        self.core = dispatching.Dispatcher(settings.host, clock.monotonic())
        self._runner = _dispatchrunner.Runner(self.core, clock, self._metrics, settings.log_level)
        self._viewer = view_source or viewer.AgentViewClient(
            settings,
            clock,
            "dispatch",
            incarnation,
            self.accept_configuration,
            viewer.Reports(self._describe_load, self._describe_upstreams, self._list_suspects),
            includes_blocks=False,
        )
        self._peers = _dispatchpeers.PeerExchange(
            settings, identity, clock, self._runner, self._viewer
        )
        self._runner.forward = self._peers.forward
        self._runner.report_suspect = self._peers.report_suspect
        self._runner.is_view_newer = self._is_view_newer
        self._ticket_handler = _dispatchtickets.TicketHandler(
            settings, incarnation, clock, self._runner.run, self._peers.call_host
        )
        self._identity = identity
        self._server = None
        self._threads = []
        self._is_stopping = False
        self._calls_in_progress = 0
        self._link_budgets = None
        self._region = None
        self._drain_starts = {}

    def start(self):
        """Starts serving.

        Returns:
          The IP address and port that the daemon listens on.
        """
        address = (self._settings.address, self._settings.dispatch_port)
        handlers = {
            "dispatch": self._handle_dispatch,
            "claim": self._make_handler(messages.ClaimCall, self._ticket_handler.claim),
            "record": self._make_handler(messages.RecordOutcomeCall, self._ticket_handler.record),
            "revoke": self._make_handler(messages.RevokeCall, self._ticket_handler.revoke),
            "lend": self._handle_lend,
            "load": self._handle_load,
        }
        self._server = rpc.RpcServer(address, self._settings.shared_key, self._identity, handlers)
        self._runner.start()
        self._viewer.start()
        self._peers.start()
        self._threads = [
            eventlet.spawn(self._server.serve),
            eventlet.spawn(self._check_periodically),
        ]
        return self._settings.address, self._server.port

    def leave(self):
        """Publishes the leaving state, then refuses new work and stops after the last answer."""
        self._log.info("leaving, in_flight={}", self.describe_in_flight())
        started = self._clock.monotonic()
        self._viewer.state = records.LifecycleState.LEAVING
        self._viewer.request_poll()
        self._clock.sleep(LEAVING_NOTICE_S)
        self._is_stopping = True
        self._runner.apply(dispatching.StopRequested())
        while (
            self._calls_in_progress
            or self._runner.request_count
            or self._ticket_handler.unfinished_count
        ):
            self._clock.sleep(STOP_CHECK_INTERVAL_S)
        self._viewer.state = records.LifecycleState.DRAINED
        with (
            contextlib.suppress(records.SkylarksillError),
            eventlet.Timeout(FINAL_POLL_TIMEOUT_S, False),
        ):
            self._viewer.poll()
        self._metrics.time("stop", 1000 * (self._clock.monotonic() - started))
        self.stop()

    def describe_in_flight(self):
        """Returns the number of requests in flight and the ids of the first 100."""
        requests = self._runner.list_requests()
        return f"{len(requests)} requests: {' '.join(requests[:100])}".rstrip(": ")

    def accept_configuration(self, configuration, head):
        """Applies a configuration; the viewer calls this before it exposes the configuration."""
        self._runner.apply(dispatching.ConfigurationAccepted(configuration))
        self._update_links(configuration)
        self._log.info("generation={} in force", configuration.generation)

    def stop(self):
        """Stops at once and abandons the requests in flight."""
        for thread in self._threads:
            thread.kill()
        self._peers.stop()
        self._runner.stop()
        self._viewer.stop()
        self._server.close()

    def _make_handler(self, message_type, handle):
        def serve(body, context):
            return messages.encode_message(handle(messages.decode_message(message_type, body)))

        return serve

    def _handle_dispatch(self, body, context):
        request = messages.decode_message(messages.DispatchCall, body).request
        self._calls_in_progress += 1
        try:
            result = self._run_request(request, context)
            result = self._wait_for_link(request, result)
        finally:
            self._calls_in_progress -= 1
        return messages.encode_message(result)

    def _run_request(self, request, context):
        service = self._find_service(request.service_id)
        # The home has claimed the ticket of forwarded work and forwards it to one dispatcher only.
        is_forwarded = request.hops > 0 and context.peer.part == "dispatch"
        if service is None or service.kind is records.WorkKind.IDEMPOTENT or is_forwarded:
            return self._runner.run(request, context)
        max_deadline_s = service.max_deadline_ms / 1000
        return self._ticket_handler.handle(request, context, self._is_stopping, max_deadline_s)

    def _handle_lend(self, body, context):
        call = messages.decode_message(messages.LendCall, body)
        if call.borrower != context.peer.host:
            raise rpc.CallFailedError("wrong_borrower", "a host can borrow for itself only")
        granted = self._runner.apply(dispatching.LoanRequested(call.upstreams, call.borrower))
        duration_ms = int(1000 * granted.duration_s)
        return messages.encode_message(messages.LendResult(granted.upstreams, duration_ms))

    def _handle_load(self, body, context):
        return [
            messages.encode_message(self._describe_load()),
            messages.encode_message(self._describe_upstreams()),
        ]

    def _find_service(self, service_id):
        configuration = self._viewer.configuration
        for service in configuration.services if configuration else ():
            if service.service_id == service_id:
                return service
        return None

    def _update_links(self, configuration):
        regions = {zone.zone_id: zone.region_id for zone in configuration.zones}
        region = regions.get(self._settings.zone)
        if self._link_budgets is None or region != self._region:
            self._region = region
            self._link_budgets = _linkbudgets.LinkBudgets(region)
        self._link_budgets.update(configuration)

    def _wait_for_link(self, request, result):
        if self._link_budgets is None or result.answer is None:
            return result
        size = _linkbudgets.measure_answer(result.answer)
        max_wait_s = request.deadline_ms / 1000
        if self._link_budgets.wait(request.source_region, size, self._clock, max_wait_s):
            return result
        refusal = records.Refusal(
            records.Verdict.RAN,
            "answer_over_link_budget",
            "this host's share of the link has no room for the answer",
            "link",
        )
        return messages.DispatchResult(refusal.verdict, None, refusal, result.upstream)

    def _check_periodically(self):
        expired_at = self._clock.monotonic()
        while True:
            eventlet.sleep(DRAIN_CHECK_INTERVAL_S)
            now = self._clock.monotonic()
            self._report_drains(now)
            if now - expired_at >= EXPIRE_INTERVAL_S:
                expired_at = now
                self._ticket_handler.expire()

    def _report_drains(self, now):
        for entry in self.core.describe_upstreams(now):
            if entry.state is records.LifecycleState.SERVING:
                self._drain_starts.pop(entry.upstream, None)
                continue
            started = self._drain_starts.setdefault(entry.upstream, now)
            if entry.state is records.LifecycleState.DRAINED and started is not None:
                self._drain_starts[entry.upstream] = None
                self._metrics.time("drain", 1000 * (now - started))
                self._log.info("upstream={} drained in {:.1f} s", entry.upstream, now - started)

    def _is_view_newer(self, since):
        # Without an agent the last configuration stays in effect after MAX_VIEW_WAIT_S.
        now = self._clock.monotonic()
        return now - self._viewer.age_s > since or now - since > MAX_VIEW_WAIT_S

    def _describe_load(self):
        return self.core.describe_load(self._clock.monotonic())

    def _describe_upstreams(self):
        return self.core.describe_upstreams(self._clock.monotonic())

    def _list_suspects(self):
        return self._peers.list_suspects()
