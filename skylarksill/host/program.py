"""Assembles the parts of a host process: store watches, peers, forwarding, lookup and shutdown."""

import dataclasses
import itertools
import random
import resource
import signal
import sys
import time

import eventlet

from skylarksill import objectstore
from skylarksill import records as shared
from skylarksill.host import (
    allocation,
    answers,
    belief,
    bytebudget,
    clientserver,
    connectionends,
    connectionplaces,
    counters,
    creditbroker,
    eventlog,
    fleet,
    following,
    footprint,
    forwarder,
    gossip,
    hostload,
    lateness,
    lookup,
    peers,
    pool,
    processreport,
    quotas,
    records,
    steering,
    storedblocks,
    supervision,
    watching,
)

# A stopping host still accepts connections for this long after the stop signal: clients cache a
# lookup answer for seconds, and a refused connection costs them a round trip.
LISTEN_AFTER_STOP_S = 2.0
# A host that is later than this with what is due stops listening at once, and refuses what waits
# unread: reading it would take longer than another host needs.
MAX_STOP_LATENESS_S = 0.1
# Idle connections are closed after this delay, when readiness checks have seen the host fail.
IDLE_CLOSE_DELAY_S = 1.2
# Part of the time between the stop signal and the kill that is reserved for sending the last
# answers and ending the interpreter, which takes some tenths of a second on a slowed host.
SHUTDOWN_RESERVE_S = 0.6
# Requests that were taken before the stop and still run get an answer of the host this long before
# the reserve begins, so that it is sent.
LAST_ANSWERS_S = 0.15
# Share of the grace period that both may take together: requests at which an upstream is at work
# may be cut in the last sixth only, counted from the signal.
MAX_RESERVE_SHARE = 0.16
STOP_POLL_S = 0.05
# Signals that ask for nothing a host does, and that would end the process at once.
IGNORED_SIGNALS = (
    signal.SIGUSR1,
    signal.SIGUSR2,
    signal.SIGALRM,
    signal.SIGVTALRM,
    signal.SIGPROF,
    signal.SIGIO,
)
# Fractions of the host's memory that request bodies may occupy, that a single one may occupy while
# no other is held, and that bodies and answers between upstreams and clients may occupy together.
# The program itself takes about 42 MB, and a body is copied once as it gets complete.
BODY_MEMORY_FRACTION = 0.2
SINGLE_BODY_MEMORY_FRACTION = 0.3
BUFFER_MEMORY_FRACTION = 0.3
# Bytes of a body of a request to the doors for lookups, readiness and metrics, which need none.
MAX_CONTROL_BODY_BYTES = 65_536
# Descriptors of the program itself: its sockets for the store, other hosts and all listening.
OWN_DESCRIPTORS = 32
# Share of the others that connections of clients may take, so that there are some for connections
# to upstreams.
CLIENT_DESCRIPTOR_SHARE = 0.75
# Share of the memory that connections of clients may take, with what the kernel holds unread.
CONNECTION_MEMORY_FRACTION = 0.25
HOUSEKEEPING_INTERVAL_S = 0.25
LOG_FLUSH_INTERVAL_S = 0.1
# Problems of one configuration that are logged; the metric counts all.
MAX_LOGGED_PROBLEMS = 50
REGISTER_RETRY_S = 0.5
# The settings file may change without a SIGHUP; reading it takes less than a millisecond.
SETTINGS_POLL_INTERVAL_S = 1.0
# Settings that take effect without a restart; sockets and peers depend on the others.
RELOADABLE_SETTINGS = ("bounds", "memory_bytes", "peer_keys")


class Host:
    """One host process.

    Args:
      settings: The records.HostSettings.
      names: The records.HeaderNames.
      lookup_codec: The records.LookupCodec.
    """

    def __init__(self, settings, names, lookup_codec):
        self.settings = settings
        self.counters = counters.Counters()
        self.log = eventlog.EventLog(settings.host_id, counters=self.counters)
        self.belief = belief.Belief()
        self.fleet = fleet.Fleet(settings.region)
        self.lateness = lateness.Lateness()
        self.answer_buffers = bytebudget.ByteBudget(
            int(BUFFER_MEMORY_FRACTION * settings.memory_bytes), time.monotonic
        )
        self.places = connectionplaces.ConnectionPlaces(
            compute_max_connections(settings.memory_bytes)
        )
        self.pool = pool.ConnectionPool(names, self.answer_buffers)
        self.steering = steering.Steering(self.fleet, settings.bounds.max_shift)
        now = time.monotonic()
        incarnation = int(time.time() * 1000)
        self.own = records.HostRecord(
            settings.host_id,
            incarnation,
            settings.zone,
            settings.region,
            settings.entry,
            settings.gossip,
            settings.capacity,
        )
        self.peers = peers.PeerTable(self.own, now)
        self.credit = creditbroker.CreditBroker(
            settings.host_id, self.peers, self._get_view, self.log, self.counters
        )
        self.forwarder = forwarder.Forwarder(
            self.belief,
            self.fleet,
            self.steering,
            self.pool,
            names,
            self.log,
            self.counters,
            settings.bounds,
            self.lateness,
            host_id=settings.host_id,
            credit=self.credit,
        )
        self.state = records.HostState.STARTING
        self._names = names
        self._lookup = lookup.Lookup(self.peers, self.own, lookup_codec, self.log, self.counters)
        self._load_meter = hostload.LoadMeter(settings.capacity, now, time.process_time())
        self._store = None
        self._load_settings = None
        self._settings_error = ""
        self._ignored_settings = []
        self._watcher = None
        self._ends = connectionends.ConnectionEnds()
        self._report = processreport.ProcessReport(self.log, self._ends, self._describe_use)
        self._belief_follower = None
        self._belief_server = None
        self._entry = None
        self._gossip = gossip.Gossip(
            settings.gossip,
            settings.seeds,
            self.peers,
            self.forwarder.poisons,
            self.log,
            self.counters,
            self._describe_own,
            self._get_keyring,
            self.forwarder.restart_reports,
            self._handle_restart_report,
            self.credit.receive,
            self._begin_serving,
        )
        self._stopping = eventlet.event.Event()
        self._is_applied = True
        # Generation of the configuration whose problems were logged last.
        self._reported_generation = None
        # The store's era in which this host has registered; None while that is under way.
        self._registered_era = None
        self._has_tried = False
        # True if the store listed this host before the process started, or all others know it.
        self._is_counted = False
        self._stop_signals = itertools.count()
        self._settling = quotas.SettleTimer(time.clock_gettime(time.CLOCK_BOOTTIME))

    def run(self, store, load_settings):
        """Runs until SIGTERM or SIGINT; returns after the last answer is sent or the time is up.

        Args:
          store: The watching.StoreClient.
          load_settings: Function that returns the current HostSettings, or raises a
            SkylarksillError if they are invalid.
        """
        self._store = store
        self._load_settings = load_settings
        sys.stderr = eventlog.ErrorOutput(sys.stderr)
        if not allocation.return_large_blocks():
            self.log.write("host.allocator_unknown")
        self._belief_follower = following.BeliefFollower(
            self.own,
            self.peers,
            self.belief,
            self.log,
            self._handle_belief_changes,
            self._is_store_lost,
            self._get_keyring,
        )
        self._watcher = watching.Watcher(
            store,
            self.belief,
            self.log,
            self._apply_belief,
            self._belief_follower.has_current_source,
            self.settings.bounds,
        )
        self._belief_server = following.BeliefServer(
            self.settings.gossip,
            self.belief,
            self.log,
            self._is_store_lost,
            self._get_keyring,
        )
        self.log.write(
            "host.start",
            zone=self.settings.zone,
            incarnation=self.own.incarnation,
            peer_keys=self.settings.peer_keys.ids,
        )
        signal.signal(signal.SIGTERM, self._on_stop)
        signal.signal(signal.SIGINT, self._on_stop)
        signal.signal(signal.SIGHUP, self._on_reload)
        for number in IGNORED_SIGNALS:
            signal.signal(number, self._on_ignored)
        self._run_housekeeping()
        self._listen()
        self._gossip.start()
        self.credit.start(self._gossip.send_payload)
        self._belief_server.start()
        self._watcher.start()
        self._belief_follower.start()
        supervision.spawn_lasting(self.log, "host.register", self._register)
        stored = storedblocks.StoredBlocks(
            store, self.forwarder.poisons, self.log, lambda: len(self.peers.list_known_ids())
        )
        self.forwarder.on_block_change = stored.save
        stored.start()
        for task, interval_s, function in (
            ("host.housekeeping", HOUSEKEEPING_INTERVAL_S, self._run_housekeeping),
            ("host.settings", SETTINGS_POLL_INTERVAL_S, self._reload),
            ("host.usage", processreport.USAGE_INTERVAL_S, self._report.report_usage),
        ):
            supervision.spawn_repeated(self.log, task, interval_s, function)
        supervision.spawn_lasting(self.log, "host.log", self._flush_log)
        stopping = supervision.spawn(self.log, "host.stop", self._stop_when_requested)
        supervision.wait_through_faults(self.log, stopping)

    def _listen(self):
        settings = self.settings
        for address, handle in (
            (settings.entry, self._serve),
            (settings.readiness, self._answer_readiness),
            (settings.lookup, self._answer_lookup),
            (settings.metrics, self._answer_metrics),
        ):
            if address is None:
                continue
            server = clientserver.ClientServer(
                address,
                handle,
                self._find_limits if address == settings.entry else self._find_control_limits,
                self._names,
                self.log,
                self._compute_max_buffered(),
                self.answer_buffers,
                self.counters,
                self.places,
                self.pool.release_idle,
                self._compute_max_single(),
                self._ends,
            )
            server.start()
            if address == settings.entry:
                self._entry = server

    def _serve(self, request, cancellation):
        answer = self.forwarder.serve(request, cancellation)
        self._load_meter.count_request(len(request.body), len(answer.body) if answer else 0)
        return answer

    def _find_limits(self):
        configuration = self.belief.configuration
        return configuration.limits if configuration else records.ClientLimits()

    def _find_control_limits(self):
        found = self._find_limits()
        most = min(found.max_body_bytes, MAX_CONTROL_BODY_BYTES)
        return dataclasses.replace(found, max_body_bytes=most)

    def _compute_max_single(self):
        return int(SINGLE_BODY_MEMORY_FRACTION * self.settings.memory_bytes)

    def _compute_max_buffered(self):
        return int(BODY_MEMORY_FRACTION * self.settings.memory_bytes)

    def _answer_readiness(self, request, cancellation):
        is_ready = self.state is records.HostState.SERVING
        body = "".join(
            f"{problem.kind.value} {problem.subject}: {problem.detail}\n"
            for problem in self._list_problems()
        )
        return answers.make_answer(200 if is_ready else 503, body.encode())

    def _list_problems(self):
        configuration = self.belief.configuration
        return configuration.problems if configuration else ()

    def _answer_lookup(self, request, cancellation):
        max_lifetime_s = self.settings.bounds.max_lookup_lifetime_s
        return self._lookup.answer(request, max_lifetime_s, time.monotonic())

    def _answer_metrics(self, request, cancellation):
        configuration = self.belief.configuration
        self.counters.set(
            "configuration_generation", configuration.generation if configuration else 0
        )
        self.counters.set(
            "configuration_age_seconds", self.belief.get_configuration_age_s(time.monotonic())
        )
        self.counters.set("configuration_problems", len(self._list_problems()))
        self.counters.set("store_lost", int(self._is_store_lost()))
        self.counters.set("held_bytes", self.answer_buffers.used_bytes)
        self.counters.set("lateness_seconds", self.lateness.estimate_s())
        self.forwarder.report_account_loads()
        for name, label, value in self.steering.list_copy_gauges():
            self.counters.set(name, value, label)
        return answers.make_answer(200, self.counters.format().encode())

    def _handle_belief_changes(self, changes, source=watching.STORE_SOURCE):
        self._watcher.handle_changes(changes, source)

    def _handle_restart_report(self, report):
        if self.fleet.apply_restart_report(report, time.monotonic()):
            self.log.write("upstream.suspect", upstream=report.upstream_id, cause="peer")

    def _get_view(self):
        return self.fleet.view

    def _get_keyring(self):
        return self.settings.peer_keys

    def _is_store_lost(self):
        return self._watcher.is_store_lost

    def _apply_belief(self):
        """Applies the belief to what depends on it; housekeeping repeats it after a fault."""
        self._is_applied = False
        self._belief_server.wake_followers()
        configuration = self.belief.configuration
        services = configuration.services if configuration else {}
        self._report_problems()
        self.credit.configure(configuration, self.settings.bounds)
        self.fleet.apply(
            self.belief.upstreams,
            services,
            self.belief.evacuated,
            self.settings.bounds,
            time.monotonic(),
            self.belief.evacuation_ends,
        )
        self._begin_serving()
        self._is_applied = True

    def _begin_serving(self):
        """Serves once this host knows what its peers know, or has waited for that."""
        if (
            self.state is records.HostState.STARTING
            and self.belief.is_complete
            and self._gossip.briefing.is_over(time.monotonic())
        ):
            self._set_state(records.HostState.SERVING)

    def _report_problems(self):
        """Logs the problems of a configuration once."""
        configuration = self.belief.configuration
        if configuration is None or configuration.generation == self._reported_generation:
            return
        self._reported_generation = configuration.generation
        for problem in configuration.problems[:MAX_LOGGED_PROBLEMS]:
            self.log.write(
                "configuration.problem",
                generation=configuration.generation,
                part=problem.kind.value,
                subject=problem.subject,
                detail=problem.detail,
            )

    def _set_state(self, state):
        self.state = state
        self.log.write("host.state", state=state.value)
        self._gossip.send()
        supervision.attempt(self.log, "host.state", self._lookup.update, time.monotonic())

    def _describe_own(self):
        return self.state, self.steering.list_spill_shares(), self._is_store_lost()

    def _run_housekeeping(self):
        for step in (
            self._begin_serving,
            self._expire_lapsed,
            self._drop_stale_connections,
            self._update_view,
            self._renew_registration,
            self._update_peer_averages,
            self._update_load,
            self._update_named_hosts,
        ):
            supervision.attempt(self.log, "host.housekeeping", step)

    def _flush_log(self):
        """Writes the log again and again, and observes how late the process runs that."""
        while True:
            due_at = time.monotonic() + LOG_FLUSH_INTERVAL_S
            eventlet.sleep(LOG_FLUSH_INTERVAL_S)
            self.lateness.observe(due_at, time.monotonic())
            supervision.attempt(self.log, "host.log", self._report.report_ends)
            self.log.flush()

    def _describe_use(self):
        """Returns what the process holds, for the log."""
        entry = self._entry
        return {
            "state": self.state.value,
            "open_connections": len(entry.connections) if entry else 0,
            "in_flight": entry.in_flight if entry else 0,
            "held_bytes": self.answer_buffers.used_bytes,
            "lateness_ms": int(1000 * self.lateness.estimate_s()),
        }

    def _expire_lapsed(self):
        changes = self.belief.expire_lapsed(time.monotonic())
        if changes:
            self._handle_belief_changes(changes)
        elif not self._is_applied:
            self._apply_belief()

    def _drop_stale_connections(self):
        self.pool.drop_stale(self.belief.upstreams)

    def _update_peer_averages(self):
        averages = self.peers.average_spill_shares(self.settings.region, time.monotonic())
        self.steering.set_peer_averages(averages)

    def _update_load(self):
        entry = self._entry
        memory_share = descriptor_share = 0.0
        if entry is not None:
            memory_share = max(
                entry.buffered_bytes / max(1, entry.max_buffered_bytes),
                self.answer_buffers.used_bytes / max(1, self.answer_buffers.max_bytes),
            )
            descriptor_share = len(entry.connections) / self.places.max_connections
        load = self._load_meter.observe(
            time.monotonic(), time.process_time(), memory_share, descriptor_share
        )
        self.peers.set_own_load(load)

    def _update_named_hosts(self):
        self._lookup.update(time.monotonic())
        self.steering.set_carrier_count(self._lookup.count_named())

    def _update_view(self):
        """Updates the hosts that share limits, after a freeze once the store has listed them."""
        now = time.clock_gettime(time.CLOCK_BOOTTIME)
        if self._settling.observe(now):
            self.log.write("host.frozen")
            self.fleet.recheck_all(time.monotonic())
            supervision.spawn_lasting(self.log, "host.register", self._register)
        view = quotas.HostView(
            self.settings.host_id,
            self.peers.list_known_ids(self.settings.region),
            self.peers.list_known_ids(),
            self._settling.is_settled(now),
            self._is_counted and self._settling.is_listed,
        )
        self._is_counted = self._is_counted or view.is_settled
        before = self.fleet.view
        if view == before:
            return
        self.fleet.view = view
        if (len(view.all_ids), view.is_settled) != (len(before.all_ids), before.is_settled):
            self.log.write(
                "quota.view",
                region_hosts=len(view.region_ids),
                all_hosts=len(view.all_ids),
                is_settled=view.is_settled,
            )

    def _register(self):
        """Registers this host in the store and lists the others; retries until both succeed."""
        while True:
            is_first, self._has_tried = not self._has_tried, True
            try:
                era, was_known = self._store.register_host(self.own)
                for record in self._store.list_hosts():
                    self.peers.add_candidate(record, time.monotonic())
                self._settling.is_listed = True
                # An entry may be that of an earlier try whose answer was lost.
                self._is_counted = self._is_counted or (is_first and was_known)
                self._registered_era = era
                self.log.write("host.registered")
                return
            except objectstore.StoreError as error:
                self.log.write("host.register_failed", error=str(error))
                eventlet.sleep(REGISTER_RETRY_S * (1.0 + random.random()))

    def _renew_registration(self):
        """Registers this host again if the store has returned from an older copy since."""
        if self._registered_era is None or self.belief.era is None:
            return
        if self._registered_era < self.belief.era:
            self._registered_era = None
            supervision.spawn_lasting(self.log, "host.register", self._register)

    # Signals, reload and shutdown.

    def _on_stop(self, signal_number, frame):
        # Handlers of two signals can interrupt each other, but only one of them gets the 0.
        if next(self._stop_signals) == 0:
            self._stopping.send(time.monotonic())

    def _on_reload(self, signal_number, frame):
        supervision.spawn(self.log, "host.reload", self._reload, True)

    def _on_ignored(self, signal_number, frame):
        name = signal.Signals(signal_number).name
        supervision.spawn(self.log, "host.signal", self._report_ignored, name)

    def _report_ignored(self, name):
        self.log.write("host.signal_ignored", signal=name)

    def _reload(self, is_requested=False):
        """Applies changed settings; invalid ones are logged once and change nothing."""
        try:
            settings = self._load_settings()
        except shared.SkylarksillError as error:
            if str(error) != self._settings_error:
                self.log.write("host.settings_rejected", error=str(error))
            self._settings_error = str(error)
            return
        self._settings_error = ""
        changed = _list_changed_settings(self.settings, settings)
        if not changed and not is_requested:
            return
        reloadable = {
            name: getattr(settings, name) for name in changed if name in RELOADABLE_SETTINGS
        }
        ignored = [name for name in changed if name not in RELOADABLE_SETTINGS and name != "seeds"]
        if reloadable or is_requested or ignored != self._ignored_settings:
            self.log.write("host.reload", changed=list(reloadable), needs_restart=ignored)
        self._ignored_settings = ignored
        if reloadable:
            self.settings = dataclasses.replace(self.settings, **reloadable)
            self._apply_settings()

    def _apply_settings(self):
        self.forwarder.bounds = self.settings.bounds
        self._watcher.set_bounds(self.settings.bounds)
        self.steering.set_max_shift(self.settings.bounds.max_shift)
        if self._entry is not None:
            self._entry.max_buffered_bytes = self._compute_max_buffered()
            self._entry.max_single_bytes = self._compute_max_single()
        self.answer_buffers.max_bytes = int(BUFFER_MEMORY_FRACTION * self.settings.memory_bytes)
        self.places.max_connections = compute_max_connections(self.settings.memory_bytes)
        self._apply_belief()

    def _stop_when_requested(self):
        self._stop_gracefully(self._stopping.wait())

    def _stop_gracefully(self, stop_requested_at):
        """Answers the requests that were read, within the grace period, and closes connections.

        It goes on after a fault in any step, as its end is the end of the process.
        """
        requests_s, connections_s = split_grace(self.settings.bounds.grace_s)
        ends_at = self.forwarder.ends_at = stop_requested_at + requests_s
        deadline = stop_requested_at + connections_s
        self._attempt_to_stop(self._set_state, records.HostState.LEAVING)
        cut_off = 0
        if self._entry is not None:
            self._attempt_to_stop(self._entry.begin_shutdown)
            self._wait_while_punctual(min(stop_requested_at + IDLE_CLOSE_DELAY_S, ends_at))
            self._attempt_to_stop(self._entry.close_idle)
            self._wait_while_punctual(min(stop_requested_at + LISTEN_AFTER_STOP_S, ends_at))
            self._attempt_to_stop(self._entry.stop_listening)
            self._wait_for_connections(ends_at)
            cut_off = self._entry.in_flight
            self._attempt_to_stop(self._entry.refuse_unread)
            self._attempt_to_stop(self._entry.end_requests, 504)
            self._wait_for_connections(deadline)
            self._attempt_to_stop(self._entry.end)
        self._attempt_to_stop(self._report.report_ends)
        self.log.write("host.stop", cut_off=cut_off)
        self._attempt_to_stop(self.log.flush)

    def _attempt_to_stop(self, step, *arguments):
        supervision.attempt(self.log, "host.stop", step, *arguments)

    def _is_late(self):
        return self.lateness.estimate_s() > MAX_STOP_LATENESS_S

    def _wait_while_punctual(self, until):
        """Waits until a monotonic time, or until the process is late."""
        while time.monotonic() < until and not self._is_late():
            eventlet.sleep(min(LOG_FLUSH_INTERVAL_S, max(0.0, until - time.monotonic())))

    def _wait_for_connections(self, deadline):
        """Closes idle connections until none is left, or until a monotonic time."""
        while time.monotonic() < deadline and self._entry.has_connections:
            if self._is_late():
                self._attempt_to_stop(self._entry.refuse_unread)
            self._attempt_to_stop(self._entry.close_idle)
            eventlet.sleep(STOP_POLL_S)


def split_grace(grace_s):
    """Returns for how many seconds after the stop signal requests run, and connections last."""
    reserve_s = SHUTDOWN_RESERVE_S + LAST_ANSWERS_S
    share = min(1.0, grace_s * MAX_RESERVE_SHARE / reserve_s)
    return grace_s - share * reserve_s, grace_s - share * SHUTDOWN_RESERVE_S


def compute_max_connections(memory_bytes):
    """Returns how many connections of clients descriptors and memory permit, at all doors."""
    connection_bytes = footprint.CONNECTION_BYTES + clientserver.RECEIVE_BUFFER_BYTES
    most = max(1, int(CONNECTION_MEMORY_FRACTION * memory_bytes / connection_bytes))
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if limit == resource.RLIM_INFINITY:
        return most
    return min(most, max(1, int(CLIENT_DESCRIPTOR_SHARE * (limit - OWN_DESCRIPTORS))))


def _list_changed_settings(before, after):
    names = [field.name for field in dataclasses.fields(before)]
    return [name for name in names if getattr(before, name) != getattr(after, name)]
