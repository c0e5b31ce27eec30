"""The processes, stand-ins and proxies of one run of the soak, and how faults are done to them."""

import os
import pathlib
import signal
import subprocess
import sys
import time

import eventlet
from eventlet.green import socket

from bench.soak import checks, proxies, records, schedule
from standins import metadatastore, platformdata, worker

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
ZONES = ("north-a", "north-b", "south-a", "south-b")
REGIONS = {zone: zone.partition("-")[0] for zone in ZONES}
UPSTREAMS_PER_ZONE = 2
WORK_S = 0.06
READY_TIMEOUT_S = 20.0
# After the users' bound for the return of a whole system.
RECOVERY_S = 15.0
FIRST_PORT = 8381
INTERNAL_PORT = 7200
# Each run has a network of its own within the loopback range.
FIRST_NETWORK = 20
NETWORKS = 200
DRAIN_SERVE_S = 4.0
RESTART_PAUSE_S = 0.4
# A killed process is gone within milliseconds; a paused one ends as well.
KILL_TIMEOUT_S = 2.0
POLL_S = 0.02


class SoakHost:
    """One host process with its own path to the store."""

    def __init__(self, index, ip, zone, store, folder, seeds):
        self.index = index
        self.ip = ip
        self.store_path = proxies.Proxy(store, ip)
        self.process = None
        self._folder = folder
        self._settings = folder / f"host-{index}.conf"
        lines = platformdata.build_settings_lines(
            ip,
            self.store_path.address,
            INTERNAL_PORT,
            FIRST_PORT,
            f"host-{index}",
            zone=zone,
            regions=REGIONS,
            seeds=seeds,
        )
        self._settings.write_text("\n".join(lines), encoding="utf-8")

    @property
    def error_path(self):
        """File that takes what the process writes to standard error."""
        return self._folder / f"host-{self.index}.err"

    def start(self):
        """Starts the process without waiting for it."""
        with (
            (self._folder / f"host-{self.index}.log").open("ab") as log,
            self.error_path.open("ab") as errors,
        ):
            self.process = subprocess.Popen(
                [sys.executable, str(ROOT / "platform" / "start.py")],
                env={**os.environ, platformdata.SETTINGS_VARIABLE: str(self._settings)},
                stdout=log,
                stderr=errors,
                cwd=ROOT,
            )

    def is_ready(self):
        """Returns True if the host says that it serves."""
        try:
            with socket.create_connection((self.ip, FIRST_PORT + 1), 1.0) as client:
                client.settimeout(1.0)
                client.sendall(platformdata.READINESS_REQUEST)
                return platformdata.AnswerReader(client).read()[0] == 200
        except (OSError, EOFError):
            return False


class SoakUpstream:
    """One upstream in its present incarnation, behind a proxy."""

    def __init__(self, index, zone, world):
        self.index = index
        self.zone = zone
        self.incarnation = 0
        self.worker = None
        self.path = None
        self._world = world

    @property
    def upstream_id(self):
        """Id of the present incarnation."""
        return f"u{self.index}.{self.incarnation}"

    def begin(self):
        """Starts the next incarnation and registers it."""
        self.incarnation += 1
        self.worker = worker.Worker(self.upstream_id, WORK_S)
        self.worker.on_run = self._note_run
        self.path = proxies.Proxy(self.worker.address)
        self.register("ready")

    def register(self, state):
        """Writes the entry of the upstream to the store."""
        spec = platformdata.build_upstream_spec(
            address=f"{self.path.address[0]}:{self.path.address[1]}",
            zone=self.zone,
            state=state,
            born=1_700_000_000_000 + self.incarnation,
        )
        self._world.store.write("servers", self.upstream_id, spec)

    def end(self):
        """Breaks all connections and refuses new ones."""
        self.path.stop()
        self.worker.stop()

    def _note_run(self, request_id):
        region = REGIONS[self.zone]
        run = records.Run(request_id, self.upstream_id, self.zone, region, time.monotonic())
        self._world.seen.runs.append(run)


class World:
    """All parts of one run.

    Args:
      seed: Seed of the run, which also chooses its network.
      folder: Folder for settings and logs.
    """

    def __init__(self, seed, folder):
        self.seen = records.Observations()
        self.store = metadatastore.MetadataStore()
        self.generation = 0
        network = FIRST_NETWORK + seed % NETWORKS
        ips = [f"127.0.{network}.{10 + index}" for index in range(len(ZONES))]
        seeds = [(ip, INTERNAL_PORT) for ip in ips[:2]]
        self.hosts = [
            SoakHost(index, ip, ZONES[index], self.store.address, folder, seeds)
            for index, ip in enumerate(ips)
        ]
        self.upstreams = [
            SoakUpstream(index, zone, self) for index, zone in enumerate(ZONES * UPSTREAMS_PER_ZONE)
        ]
        self._busy = set()

    def start(self):
        """Starts everything and waits until all hosts serve.

        Raises:
          RuntimeError: If a host does not become ready.
        """
        self.write_configuration()
        for upstream in self.upstreams:
            upstream.begin()
        for host in self.hosts:
            host.start()
        end = time.monotonic() + READY_TIMEOUT_S
        while not all(host.is_ready() for host in self.hosts):
            if time.monotonic() > end:
                raise RuntimeError("hosts are not ready")
            eventlet.sleep(0.1)

    def write_configuration(self):
        """Writes the next generation; each one keeps the routes of those before."""
        self.generation += 1
        build = platformdata.build_route_spec
        routes = {
            "r-read": build("/read/", "idempotent"),
            "r-order": build("/order/", "non_idempotent"),
            "r-home": build(checks.HOME_PREFIX, "idempotent", regions=[checks.HOME_REGION]),
        }
        for number in range(1, self.generation + 1):
            routes[f"r-gen-{number}"] = build(f"{checks.GENERATION_PREFIX}{number}/", "idempotent")
        spec = platformdata.build_configuration_spec(self.generation, routes=routes)
        self.store.write("config", "main", spec)
        self.seen.generations[self.generation] = time.monotonic()

    def apply(self, event):
        """Does one fault from its begin to its end; runs in a green thread of its own."""
        match event:
            case schedule.KillHost(index):
                self._exclude(("host", index), self._kill, self.hosts[index])
            case schedule.StopHost(index):
                self._exclude(("host", index), self._stop, self.hosts[index])
            case schedule.PauseHost(index, length_s):
                self._exclude(("host", index), self._pause, self.hosts[index], length_s)
            case schedule.ReloadHost(index):
                self._signal(self.hosts[index], signal.SIGHUP)
            case schedule.DisturbStore(index, mode, length_s):
                host = self.hosts[index]
                mark = self._mark(records.Trouble.STORE_PATH, index)
                self._exclude(("path", index), self._disturb, host.store_path, mode, length_s)
                mark.end = time.monotonic()
            case schedule.FailStore(length_s):
                self._exclude("store", self._fail_store, length_s)
            case schedule.DisturbUpstream(index, mode, length_s):
                upstream = self.upstreams[index]
                spoilt = self._spoil(upstream)
                self._exclude(("up", index), self._disturb, upstream.path, mode, length_s)
                spoilt()
            case schedule.SpoilAnswers(index, fault, length_s):
                self._exclude(("up", index), self._misbehave, index, fault, length_s)
            case schedule.CrashUpstream(index, length_s):
                self._exclude(("up", index), self._crash, self.upstreams[index], length_s)
            case schedule.DrainUpstream(index, length_s):
                self._exclude(("up", index), self._drain, self.upstreams[index], length_s)
            case schedule.ChangeConfiguration():
                self.write_configuration()
            case schedule.EvacuateZone(index, length_s):
                self._exclude(("zone", index), self._evacuate, ZONES[index], length_s)
            case _:
                raise TypeError(f"unknown event {event!r}")

    def check_recovery(self, probe):
        """Waits until each host serves again; ``probe`` sends one request to a host.

        Args:
          probe: Function of a host's index that returns True if the request was served.
        """
        end = time.monotonic() + RECOVERY_S
        for host in self.hosts:
            has_recovered = probe(host.index)
            while not has_recovered and time.monotonic() < end:
                eventlet.sleep(0.2)
                has_recovered = probe(host.index)
            self.seen.recovered[host.index] = has_recovered

    def stop(self):
        """Ends all processes, and notes those that had ended by themselves or failed."""
        for host in self.hosts:
            if host.process is None:
                continue
            if host.process.poll() is not None:
                self.seen.crashes.append(f"host {host.index} ended by itself")
            else:
                self._end(host, 2 * checks.GRACE_S)
            errors = host.error_path.read_text(encoding="utf-8")
            if "Traceback" in errors:
                self.seen.crashes.append(f"host {host.index}: {errors.strip().splitlines()[-1]}")
            host.store_path.stop()
        for upstream in self.upstreams:
            upstream.end()
        self.store.stop()

    def _exclude(self, name, function, *arguments):
        """Calls a function unless the thing is busy with another fault of the same kind."""
        if name in self._busy:
            return
        self._busy.add(name)
        try:
            function(*arguments)
        finally:
            self._busy.discard(name)

    def _mark(self, trouble, host):
        mark = records.Disturbance(trouble, host, time.monotonic())
        self.seen.disturbances.append(mark)
        return mark

    def _signal(self, host, number):
        if host.process.poll() is None:
            host.process.send_signal(number)

    def _kill(self, host):
        mark = self._mark(records.Trouble.PROCESS, host.index)
        self._signal(host, signal.SIGKILL)
        self._wait(host, KILL_TIMEOUT_S)
        self._restart(host, mark)

    def _stop(self, host):
        asked_at = time.monotonic()
        code = self._end(host, 2 * checks.GRACE_S)
        ended_at = time.monotonic()
        self.seen.stops.append(records.Stop(host.index, asked_at, ended_at, code))
        mark = records.Disturbance(records.Trouble.PROCESS, host.index, ended_at)
        self.seen.disturbances.append(mark)
        self._restart(host, mark)

    def _end(self, host, timeout_s):
        """Stops a host gracefully; returns its code, or None if it had to be killed."""
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

    def _restart(self, host, mark):
        eventlet.sleep(RESTART_PAUSE_S)
        host.start()
        end = time.monotonic() + READY_TIMEOUT_S
        while not host.is_ready() and time.monotonic() < end:
            eventlet.sleep(0.1)
        mark.end = time.monotonic()

    def _pause(self, host, length_s):
        mark = self._mark(records.Trouble.PROCESS, host.index)
        self._signal(host, signal.SIGSTOP)
        eventlet.sleep(length_s)
        self._signal(host, signal.SIGCONT)
        mark.end = time.monotonic()

    def _disturb(self, path, mode, length_s):
        path.set_mode(proxies.Mode(mode))
        eventlet.sleep(length_s)
        path.set_mode(proxies.Mode.PASS)

    def _fail_store(self, length_s):
        mark = self._mark(records.Trouble.STORE, None)
        if length_s:
            self.store.failing_status = 503
            eventlet.sleep(length_s)
            self.store.failing_status = None
        else:
            self.store.forget_history()
        mark.end = time.monotonic()

    def _spoil(self, upstream):
        """Notes trouble of an upstream; returns a function that notes its end."""
        spans = self.seen.spoilt.setdefault(upstream.upstream_id, [])
        span = [time.monotonic(), float("inf")]
        spans.append(span)

        def end():
            span[1] = time.monotonic()

        return end

    def _misbehave(self, index, fault, length_s):
        upstream = self.upstreams[index]
        end = self._spoil(upstream)
        upstream.worker.fault = worker.Fault(fault)
        eventlet.sleep(length_s)
        upstream.worker.fault = worker.Fault.NONE
        end()

    def _crash(self, upstream, length_s):
        self._spoil(upstream)
        upstream.end()
        eventlet.sleep(length_s)
        self.store.delete("servers", upstream.upstream_id)
        upstream.begin()

    def _drain(self, upstream, length_s):
        upstream.register("draining")
        self.seen.leaves[upstream.upstream_id] = time.monotonic()
        eventlet.sleep(DRAIN_SERVE_S)
        self._spoil(upstream)
        self.store.delete("servers", upstream.upstream_id)
        upstream.end()
        eventlet.sleep(length_s / 2)
        upstream.begin()

    def _evacuate(self, zone, length_s):
        self.store.write("evacuations", zone, {})
        evacuation = records.Evacuation(zone, time.monotonic())
        self.seen.evacuations.append(evacuation)
        eventlet.sleep(length_s + checks.EVACUATE_S)
        evacuation.end = time.monotonic()
        self.store.delete("evacuations", zone)
