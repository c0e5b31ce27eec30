"""State that a dispatcher exchanges with its agent and its peers, and its upstream probes."""

import dataclasses

import eventlet

from skylarksill import dispatching, loans, logs, messages, records, rpc, upstreams

VIEW_INTERVAL_S = 0.2
PROBE_INTERVAL_S = 1.0
PROBE_TIMEOUT_S = 0.5
LOAN_TIMEOUT_S = 0.45
MAX_LOAD_AGE_MS = 2_000
HEALTH_PATH = "/health"
HOST_LIST_SOURCE = "host list"
PROBE_SOURCE = "answer"

# A dispatcher that has stopped counts as having accepted every generation.
_NEWEST_GENERATION = records.Generation(2**62)


class PeerExchange:
    """Holds the connections to other dispatchers and runs the loops that update the core.

    Args:
      settings: The host's Settings.
      identity: The rpc.Identity of this dispatcher.
      clock: A clock with ``monotonic()`` and ``unix()``.
      runner: The Runner that drives the core.
      view_source: The viewer.AgentViewClient or an object with its attributes.
    """

    def __init__(self, settings, identity, clock, runner, view_source):
        self._settings = settings
        self._identity = identity
        self._clock = clock
        self._runner = runner
        self._viewer = view_source
        self._log = logs.make_logger("dispatch")
        self._clients = {}
        self._loop_threads = []
        self._leaving_upstreams = set()
        self._probe_client = upstreams.UpstreamClient()
        self._probing = set()

    def start(self):
        """Starts the loops."""
        loops = (
            (self._pass_view, VIEW_INTERVAL_S),
            (self._ask_loans, loans.LOAN_RENEWAL_S),
            (self._probe_upstreams, PROBE_INTERVAL_S),
        )
        self._loop_threads = [eventlet.spawn(self._run_periodically, *loop) for loop in loops]

    def stop(self):
        """Stops the loops and closes the connections."""
        for thread in self._loop_threads:
            thread.kill()
        for client in self._clients.values():
            client.close()
        self._probe_client.close()

    def call_host(self, host_id, method, message, timeout_s):
        """Calls a method of the dispatcher of another host.

        Returns:
          The body of the answer.
        Raises:
          rpc.RpcError: If the call failed or the host is not in the configuration.
        """
        client = self._get_client(host_id)
        if client is None:
            raise rpc.CallNotSentError(f"host {host_id} is not in the configuration")
        return client.call(method, messages.encode_message(message), timeout_s)

    def forward(self, action):
        """Sends a request to the sibling that a Forward names and returns a ForwardEnded."""
        request = action.request
        timeout_s = max(0.001, action.deadline - self._clock.monotonic())
        try:
            body = self.call_host(
                action.host, "dispatch", messages.DispatchCall(request), timeout_s
            )
            result = messages.decode_message(messages.DispatchResult, body)
        except records.SkylarksillError as error:
            refusal = records.Refusal(error.verdict, "sibling_lost", str(error))
            return dispatching.ForwardEnded(request.request_id, None, refusal)
        return dispatching.ForwardEnded(
            request.request_id, result.answer, result.refusal, result.upstream
        )

    def report_suspect(self, entry):
        """Makes the viewer poll at once, so that it reports the suspect or its clearance."""
        self._viewer.request_poll()

    def list_suspects(self):
        """Returns the messages.SuspectEntry records to report."""
        return self._runner.core.list_suspects(self._clock.monotonic())

    def _run_periodically(self, task, interval_s):
        while True:
            try:
                task()
            except Exception:
                # One failing upstream or peer must not stop the loop for the others.
                self._log.exception("step {} failed", task.__name__)
            eventlet.sleep(interval_s)

    def _get_client(self, host_id):
        configuration = self._viewer.configuration
        host = None
        if configuration is not None:
            host = next((item for item in configuration.hosts if item.host_id == host_id), None)
        if host is None:
            return None
        address = (host.address, host.dispatch_port)
        client = self._clients.get(host_id)
        if client is None or client.address != address:
            if client is not None:
                client.close()
            client = rpc.RpcClient(address, self._settings.shared_key, self._identity)
            self._clients[host_id] = client
        return client

    def _pass_view(self):
        view, configuration = self._viewer.view, self._viewer.configuration
        if view is None or configuration is None:
            return
        accepted = tuple((peer.entry.host, _get_generation(peer.entry)) for peer in view.peers)
        siblings = _find_siblings(
            configuration, view, self._viewer.load_age_offset_ms, self._settings.host
        )
        suspected = _list_current_suspects(view.suspects, self._viewer.load_age_offset_ms)
        self._runner.apply(dispatching.PeerViewReceived(accepted, siblings, suspected))
        leaving = set(view.leaving_upstreams)
        for upstream in leaving ^ self._leaving_upstreams:
            self._runner.apply(
                dispatching.UpstreamLeaving(upstream, HOST_LIST_SOURCE, upstream in leaving)
            )
        self._leaving_upstreams = leaving

    def _ask_loans(self):
        for host_id, upstream_ids in self._runner.core.list_loans_to_request().items():
            eventlet.spawn_n(self._ask_loan, host_id, tuple(upstream_ids))

    def _ask_loan(self, host_id, upstream_ids):
        requested_at = self._clock.monotonic()
        call = messages.LendCall(upstream_ids, self._settings.host, self._identity.incarnation)
        try:
            body = self.call_host(host_id, "lend", call, LOAN_TIMEOUT_S)
            result = messages.decode_message(messages.LendResult, body)
        except records.SkylarksillError:
            return
        self._runner.apply(
            dispatching.LoanGranted(result.upstreams, requested_at, result.duration_ms / 1000)
        )

    def _probe_upstreams(self):
        configuration = self._viewer.configuration
        for upstream in configuration.upstreams if configuration else ():
            is_assigned = self._settings.host in (upstream.home, upstream.standby)
            if is_assigned and upstream.upstream_id not in self._probing:
                self._probing.add(upstream.upstream_id)
                eventlet.spawn_n(self._probe, upstream)

    def _probe(self, upstream):
        request = records.Request(
            "probe", upstream.service_id, "GET", HEALTH_PATH, (), b"", "", None, "", 0
        )
        deadline_ms = 1000 * (self._clock.unix() + PROBE_TIMEOUT_S)
        try:
            outcome = self._probe_client.send(
                upstream, request, deadline_ms, PROBE_TIMEOUT_S, lambda: True
            )
        finally:
            self._probing.discard(upstream.upstream_id)
        for core_event in _interpret_probe(upstream.upstream_id, outcome):
            self._runner.apply(core_event)


def _interpret_probe(upstream_id, outcome):
    """Yields the events of a probe; only a refused connection counts as a failure.

    A bad status or a late answer is not a failure, since health endpoints are misleading.
    """
    match outcome:
        case upstreams.Answered(answer=answer, is_leaving=is_leaving) if answer.status < 500:
            yield dispatching.UpstreamLeaving(upstream_id, PROBE_SOURCE, is_leaving)
            yield dispatching.UpstreamProbed(upstream_id, True)
        case upstreams.Answered(is_leaving=True) | upstreams.Failed(is_leaving=True):
            yield dispatching.UpstreamLeaving(upstream_id, PROBE_SOURCE, True)
        case upstreams.Failed(reason="connect_failed"):
            yield dispatching.UpstreamProbed(upstream_id, False)


def _get_generation(entry):
    has_stopped = entry.state is records.LifecycleState.DRAINED
    return _NEWEST_GENERATION if has_stopped else entry.generation


def _list_current_suspects(entries, offset_ms):
    """Returns the unexpired entries of a view that is ``offset_ms`` old, with the time left."""
    return tuple(
        dataclasses.replace(entry, expires_in_ms=entry.expires_in_ms - offset_ms)
        for entry in entries
        if entry.expires_in_ms > offset_ms
    )


def _find_siblings(configuration, view, offset_ms, own_host):
    """Returns a SiblingLoad for each load entry of the other live dispatchers of the region."""
    regions = {zone.zone_id: zone.region_id for zone in configuration.zones}
    hosts = {host.host_id: regions.get(host.zone_id) for host in configuration.hosts}
    serving = {
        peer.entry.host
        for peer in view.peers
        if peer.is_alive and peer.entry.state is records.LifecycleState.SERVING
    }
    own_region = hosts.get(own_host)

    def is_recent(load):
        return load.age_ms + offset_ms <= MAX_LOAD_AGE_MS

    return tuple(
        # An old report says nothing about free slots, but its host can still be offered work.
        dispatching.SiblingLoad(load.host, load.service, load.free if is_recent(load) else 0)
        for load in view.loads
        if load.host != own_host and load.host in serving and hosts.get(load.host) == own_region
    )
