"""Starts the processes, stand-ins and proxies of a soak run and injects faults into them."""

import collections
import itertools
import random
import signal
import time

import eventlet

from bench.soak import (
    bounds,
    configurations,
    demandchecks,
    denialchecks,
    frail,
    hosts,
    proxies,
    records,
    schedule,
    upstreams,
)
from skylarksill.host import keyfile, keyring
from standins import metadatastore, platformdata, worker

UPSTREAMS_PER_ZONE = 2
# Zones of the upstreams that no fault of the schedule concerns.
CALM_ZONES = ("north-a", "south-a")
READY_TIMEOUT_S = 20.0
# The required bound for the recovery of a whole system.
RECOVERY_TIMEOUT_S = 15.0
# Each run has its own network within the loopback range.
FIRST_NETWORK = 20
NETWORK_COUNT = 200
DRAIN_SERVE_S = 4.0
RESTART_PAUSE_S = 0.4
# SIGKILL ends a process within milliseconds, also while it is stopped by SIGSTOP.
KILL_TIMEOUT_S = 2.0
POLL_S = 0.02
# Hosts read the file of keys each second.
KEY_STEP_S = 2.0
RESTART_RESET_S = 0.05
# Region of the hosts that are far from the store, and the delay in each direction.
FAR_REGION = "south"
FAR_DELAY_S = 0.03
MAX_VERSION_STEP = 4
CHANGED_PLACES = 6
DEMAND_HEADERS = {
    records.DemandKind.LIMIT: f"Server-Limit: {demandchecks.LIMIT}",
    records.DemandKind.LEAVING: "Server-Leaving: 1",
    records.DemandKind.PAUSE: f"Retry-After: {demandchecks.PAUSE_S}",
}


class World:
    """All parts of one run.

    Args:
      seed: Seed of the run, which also chooses its network.
      folder: Folder for settings and logs.
    """

    def __init__(self, seed, folder):
        self.observations = records.Observations()
        self.store = metadatastore.MetadataStore()
        self.generation = 0
        self._keys_path = folder / hosts.KEYS_NAME
        self._write_keys(keyring.add_key(keyring.Keyring(), "k0"))
        network = FIRST_NETWORK + seed % NETWORK_COUNT
        ips = [f"127.0.{network}.{10 + index}" for index in range(len(upstreams.ZONES))]
        seeds = [(ip, hosts.INTERNAL_PORT) for ip in ips[:2]]
        self.hosts = [
            hosts.SoakHost(
                index,
                ip,
                upstreams.ZONES[index],
                upstreams.REGIONS,
                self.store.address,
                folder,
                seeds,
            )
            for index, ip in enumerate(ips)
        ]
        for host, zone in zip(self.hosts, upstreams.ZONES, strict=True):
            if upstreams.REGIONS[zone] == FAR_REGION:
                host.store_proxy.delay_s = FAR_DELAY_S
        self.upstreams = [
            upstreams.SoakUpstream(index, zone, self)
            for index, zone in enumerate(upstreams.ZONES * UPSTREAMS_PER_ZONE)
        ]
        self._calm_upstreams = [
            upstreams.SoakUpstream(
                len(self.upstreams) + index, zone, self, configurations.CALM_SERVICE
            )
            for index, zone in enumerate(CALM_ZONES)
        ]
        self.is_stopping = False
        self._frail_upstreams = frail.make_upstreams(upstreams.ZONES, self)
        self._routes_variant = 0
        self._test_routes = configurations.build_test_routes()
        self._version_steps = random.Random(f"{seed} versions")
        self._version = 0
        # Sites and prefixes of the test routes that changed last.
        self.changed_places = collections.deque(maxlen=CHANGED_PLACES)
        self._active_targets = set()

    def start(self):
        """Starts everything and waits until all hosts serve.

        Raises:
          RuntimeError: If a host does not become ready.
        """
        self.write_configuration()
        for upstream in self.upstreams + self._calm_upstreams:
            upstream.start_incarnation()
        for upstream in self._frail_upstreams:
            upstream.start()
        for host in self.hosts:
            host.start()
        end = time.monotonic() + READY_TIMEOUT_S
        while not all(host.is_ready() for host in self.hosts):
            if time.monotonic() > end:
                raise RuntimeError("hosts did not become ready before the timeout")
            eventlet.sleep(0.1)

    def write_configuration(self):
        """Writes the next generation, which keeps the routes of all earlier ones."""
        self.generation += 1
        self._write_version()
        self.observations.generations[self.generation] = time.monotonic()

    def _write_version(self):
        self._version += self._version_steps.randint(1, MAX_VERSION_STEP)
        spec = configurations.build_configuration(
            self.generation, self._routes_variant, self._version, self._test_routes
        )
        sent_at = time.monotonic()
        self.store.write("config", "main", spec)
        self.observations.versions.append(
            records.Version(
                self._version, sent_at, time.monotonic(), denialchecks.list_routes(spec)
            )
        )

    def _edit_routes(self, draw):
        before = self._test_routes
        self._test_routes = configurations.edit_routes(before, random.Random(draw))
        names = before.keys() | self._test_routes.keys()
        for name in sorted(names):
            old, new = before.get(name), self._test_routes.get(name)
            if old != new:
                route = new or old
                self.changed_places.append(platformdata.get_place(route))
        self._write_version()

    def replace_keys(self):
        """Replaces the key of the hosts again and again, in the steps that operators use."""
        for number in itertools.count(1):
            old, new = f"k{number - 1}", f"k{number}"
            for change, key_id in (
                (keyring.add_key, new),
                (keyring.promote_key, new),
                (keyring.remove_key, old),
            ):
                eventlet.sleep(KEY_STEP_S)
                self._write_keys(change(keyfile.read_keys(self._keys_path), key_id))

    def _write_keys(self, ring):
        partial = self._keys_path.with_suffix(".new")
        partial.write_text(keyfile.format_keys(ring), encoding="utf-8")
        partial.replace(self._keys_path)

    def apply(self, event):
        """Injects one fault and waits until it ends; runs in a green thread of its own."""
        match event:
            case schedule.KillHost(index):
                self._run_exclusively(("host", index), self._kill, self.hosts[index])
            case schedule.StopHost(index):
                self._run_exclusively(("host", index), self._stop, self.hosts[index])
            case schedule.PauseHost(index, length_s):
                self._run_exclusively(("host", index), self._pause, self.hosts[index], length_s)
            case schedule.ReloadHost(index):
                self._reload(self.hosts[index])
            case schedule.StopWithSignals(index, signals):
                self._run_exclusively(("host", index), self._stop, self.hosts[index], signals)
            case schedule.StopAfterStart(index, delay_s):
                self._run_exclusively(
                    ("host", index), self._stop_after_start, self.hosts[index], delay_s
                )
            case schedule.ChangeSettings(index, variant, has_signal):
                self.hosts[index].write_settings(variant)
                if has_signal:
                    # A process that is only starting has no handler for the signal yet.
                    self._run_exclusively(("host", index), self._reload, self.hosts[index])
            case schedule.ChangeRoutes(variant):
                self._routes_variant = variant
                self.write_configuration()
            case schedule.EditRoutes(draw):
                self._edit_routes(draw)
            case schedule.DisturbStore(index, mode, length_s):
                host = self.hosts[index]
                disturbance = self._record_disturbance(records.DisturbedPart.STORE_PATH, index)
                self._run_exclusively(
                    ("path", index), self._disturb, host.store_proxy, mode, length_s
                )
                disturbance.end = time.monotonic()
            case schedule.FailStore(length_s):
                self._run_exclusively("store", self._fail_store, length_s)
            case schedule.DisturbUpstream(index, mode, length_s):
                upstream = self.upstreams[index]
                record_end = self._record_upstream_fault(upstream)
                self._run_exclusively(("up", index), self._disturb, upstream.proxy, mode, length_s)
                record_end()
            case schedule.SpoilAnswers(index, fault, length_s):
                self._run_exclusively(("up", index), self._inject_fault, index, fault, length_s)
            case schedule.CrashUpstream(index, length_s):
                self._run_exclusively(("up", index), self._crash, self.upstreams[index], length_s)
            case schedule.DrainUpstream(index, length_s):
                self._run_exclusively(("up", index), self._drain, self.upstreams[index], length_s)
            case schedule.StateDemand(index, kind, length_s):
                self._state_demand(self.upstreams[index], records.DemandKind(kind), length_s)
            case schedule.RestartUpstream(index):
                self._run_exclusively(("up", index), self._restart_upstream, self.upstreams[index])
            case schedule.RebootUpstream(index):
                while ("up", index) in self._active_targets:
                    eventlet.sleep(POLL_S)
                upstream = self.upstreams[index]
                self._run_exclusively(("up", index), self._reboot_upstream, upstream, event)
            case schedule.ChangeConfiguration():
                self.write_configuration()
            case schedule.EvacuateZone(index, length_s):
                self._run_exclusively(
                    ("zone", index), self._evacuate, upstreams.ZONES[index], length_s
                )
            case _:
                raise TypeError(f"unknown event {event!r}")

    def check_recovery(self, probe):
        """Waits until each host serves again; ``probe`` sends one request to a host.

        Args:
          probe: Function of a host's index that returns True if the request was served.
        """
        end = time.monotonic() + RECOVERY_TIMEOUT_S
        for host in self.hosts:
            has_recovered = probe(host.index)
            while not has_recovered and time.monotonic() < end:
                eventlet.sleep(0.2)
                has_recovered = probe(host.index)
            self.observations.recovered[host.index] = has_recovered

    def stop(self):
        """Stops all processes and records those that had ended by themselves or failed."""
        for host in self.hosts:
            if host.process is None:
                continue
            if host.process.poll() is not None:
                self.observations.crashes.append(f"host {host.index} ended by itself")
            else:
                self._stop_gracefully(host, 2 * bounds.STOP_GRACE_S)
            errors = host.error_path.read_text(encoding="utf-8")
            if "Traceback" in errors:
                self.observations.crashes.append(
                    f"host {host.index}: {errors.strip().splitlines()[-1]}"
                )
            host.store_proxy.stop()
        self.is_stopping = True
        for upstream in self.upstreams + self._calm_upstreams + self._frail_upstreams:
            upstream.shut_down()
        self.store.stop()

    def _run_exclusively(self, name, function, *arguments):
        """Calls a function unless another fault of the same target is in progress."""
        if name in self._active_targets:
            return
        self._active_targets.add(name)
        try:
            function(*arguments)
        finally:
            self._active_targets.discard(name)

    def _record_disturbance(self, part, host):
        disturbance = records.Disturbance(part, host, time.monotonic())
        self.observations.disturbances.append(disturbance)
        return disturbance

    def _signal(self, host, number):
        if host.process.poll() is None:
            host.process.send_signal(number)

    def _kill(self, host):
        disturbance = self._record_disturbance(records.DisturbedPart.PROCESS, host.index)
        self._signal(host, signal.SIGKILL)
        self._wait(host, KILL_TIMEOUT_S)
        self._restart(host, disturbance)

    def _reload(self, host):
        self.observations.reloads.append((host.index, time.monotonic()))
        self._signal(host, signal.SIGHUP)

    def _stop(self, host, signals=()):
        """Stops a host gracefully and restarts it.

        Args:
          host: The host.
          signals: Pairs of the time between SIGTERM and a further signal in seconds, which is
            negative for one that comes first, and the name of that signal.
        """
        for _, name in (item for item in signals if item[0] < 0.0):
            self._signal_more(host, name)
        eventlet.sleep(-min((delay_s for delay_s, _ in signals), default=0.0))
        requested_at = time.monotonic()
        for delay_s, name in signals:
            if delay_s >= 0.0:
                eventlet.spawn_after(delay_s, self._signal_more, host, name)
        self._restart(host, self._end_process(host, requested_at))

    def _end_process(self, host, requested_at):
        """Stops a host gracefully and records it; returns the Disturbance that then begins."""
        code = self._stop_gracefully(host, 2 * bounds.STOP_GRACE_S)
        ended_at = time.monotonic()
        self.observations.stops.append(records.Stop(host.index, requested_at, ended_at, code))
        disturbance = records.Disturbance(
            records.DisturbedPart.PROCESS, host.index, ended_at, is_planned=code is not None
        )
        self.observations.disturbances.append(disturbance)
        return disturbance

    def _signal_more(self, host, name):
        if name == "SIGHUP":
            self._reload(host)
        else:
            self._signal(host, signal.Signals[name])

    def _stop_after_start(self, host, delay_s):
        """Stops and restarts a host, and stops it again soon after it has begun to listen."""
        disturbance = self._end_process(host, time.monotonic())
        host.start()
        end = time.monotonic() + READY_TIMEOUT_S
        while not host.is_listening() and time.monotonic() < end:
            eventlet.sleep(POLL_S)
        eventlet.sleep(delay_s)
        disturbance.end = time.monotonic()
        self._stop(host)

    def _stop_gracefully(self, host, timeout_s):
        """Stops a host gracefully; returns its exit code, or None if it had to be killed."""
        self._signal(host, signal.SIGCONT)
        self._signal(host, signal.SIGTERM)
        code = self._wait(host, timeout_s)
        if code is None:
            self._signal(host, signal.SIGKILL)
            self._wait(host, KILL_TIMEOUT_S)
        return code

    def _wait(self, host, timeout_s):
        end = time.monotonic() + timeout_s
        while host.process.poll() is None and time.monotonic() < end:
            eventlet.sleep(POLL_S)
        return host.process.poll()

    def _restart(self, host, disturbance):
        eventlet.sleep(RESTART_PAUSE_S)
        host.start()
        end = time.monotonic() + READY_TIMEOUT_S
        while not host.is_ready() and time.monotonic() < end:
            eventlet.sleep(0.1)
        disturbance.end = time.monotonic()

    def _pause(self, host, length_s):
        disturbance = self._record_disturbance(records.DisturbedPart.PROCESS, host.index)
        self._signal(host, signal.SIGSTOP)
        eventlet.sleep(length_s)
        self._signal(host, signal.SIGCONT)
        disturbance.end = time.monotonic()

    def _disturb(self, proxy, mode, length_s):
        proxy.set_mode(proxies.Mode(mode))
        eventlet.sleep(length_s)
        proxy.set_mode(proxies.Mode.PASS)

    def _fail_store(self, length_s):
        disturbance = self._record_disturbance(records.DisturbedPart.STORE, None)
        if length_s:
            self.store.failing_status = 503
            eventlet.sleep(length_s)
            self.store.failing_status = None
        else:
            self.store.forget_history()
        disturbance.end = time.monotonic()

    def _record_upstream_fault(self, upstream):
        """Records the start of a fault of an upstream; returns a function that records its end."""
        spans = self.observations.upstream_faults.setdefault(upstream.upstream_id, [])
        span = [time.monotonic(), float("inf")]
        spans.append(span)

        def record_end():
            span[1] = time.monotonic()

        return record_end

    def _inject_fault(self, index, fault, length_s):
        upstream = self.upstreams[index]
        record_end = self._record_upstream_fault(upstream)
        upstream.worker.fault = worker.Fault(fault)
        eventlet.sleep(length_s)
        upstream.worker.fault = worker.Fault.NONE
        record_end()

    def _state_demand(self, upstream, kind, length_s):
        item = upstream.worker
        demand = records.Demand(kind, upstream.upstream_id, time.monotonic())
        self.observations.demands.append(demand)
        item.extra_headers = [DEMAND_HEADERS[kind]]
        if kind is records.DemandKind.PAUSE:
            self._record_upstream_fault(upstream)
            item.fault = worker.Fault.SHED
        eventlet.sleep(length_s)
        demand.end = time.monotonic()
        if kind is not records.DemandKind.LEAVING:
            item.extra_headers = []
        if kind is records.DemandKind.PAUSE:
            item.fault = worker.Fault.NONE

    def _restart_upstream(self, upstream):
        record_end = self._record_upstream_fault(upstream)
        upstream.proxy.set_mode(proxies.Mode.RESET)
        eventlet.sleep(RESTART_RESET_S)
        self.observations.restarts.append((upstream.upstream_id, time.monotonic()))
        upstream.become_cold()
        upstream.proxy.set_mode(proxies.Mode.PASS)
        record_end()

    def _reboot_upstream(self, upstream, event):
        """Plays a schedule.RebootUpstream until the store names the new process for good."""
        name = upstream.upstream_id
        former = self.store.read("servers", name)
        record_end = self._record_upstream_fault(upstream)
        upstream.crash()
        if event.removal is schedule.Removal.AT_CRASH:
            self.store.delete("servers", name)
        eventlet.sleep(event.refused_s)
        upstream.return_cold()
        record_end()
        if event.removal is schedule.Removal.AT_RETURN:
            self.store.delete("servers", name)
        eventlet.sleep(event.entry_s)
        upstream.register("ready", event.statement)
        if event.copy_s is not None:
            eventlet.sleep(event.copy_s)
            self.store.write("servers", name, former)
            eventlet.sleep(schedule.COPY_LENGTH_S)
            upstream.register("ready", event.statement)

    def _crash(self, upstream, length_s):
        self._record_upstream_fault(upstream)
        upstream.shut_down()
        eventlet.sleep(length_s)
        self.store.delete("servers", upstream.upstream_id)
        upstream.start_incarnation()

    def _drain(self, upstream, length_s):
        upstream.register("draining")
        self.observations.leave_times[upstream.upstream_id] = time.monotonic()
        eventlet.sleep(DRAIN_SERVE_S)
        self._record_upstream_fault(upstream)
        self.store.delete("servers", upstream.upstream_id)
        upstream.shut_down()
        eventlet.sleep(length_s / 2)
        upstream.start_incarnation()

    def _evacuate(self, zone, length_s):
        self.store.write("evacuations", zone, {})
        evacuation = records.Evacuation(zone, time.monotonic())
        self.observations.evacuations.append(evacuation)
        eventlet.sleep(length_s + bounds.EVACUATE_S)
        evacuation.end = time.monotonic()
        self.store.delete("evacuations", zone)
