"""Starts the processes of a run and does the planned work of its schedule."""

import contextlib
import dataclasses
import json
import os
import random
import resource
import signal
import subprocess
import sys
import time

import eventlet
import msgpack

from bench.siterun import (
    clients,
    conditions,
    configurations,
    crowd,
    disturbances,
    records,
    schedule,
    storewriter,
    troubles,
    upstreams,
)
from bench.siterun.standstills import watch_standstills
from bench.soak import hosts
from skylarksill.host import keyfile, keyring
from standins import metadatastore, platformdata

READY_TIMEOUT_S = 30.0
# Clients look hosts up and open their connections before the first planned work.
WARM_UP_S = 2.0
# Time for requests that were sent last, before the processes are ended.
COOL_DOWN_S = 4.0
RESTART_PAUSES_S = (0.3, 1.0)
# A signal that reaches the interpreter before the program's first line ends it.
START_S = 0.5
KILL_TIMEOUT_S = 2.0
POLL_S = 0.02
FIRST_NETWORK = 20
NETWORK_COUNT = 200
CLIENT_PROCESSES = 3
DRAIN_SERVE_S = 4.0
DRAIN_PAUSE_S = 1.0
COLD_S = 3.0
MAX_VERSION_STEP = 3
# Share of the processors that the hosts have, together with the busy processes.
PROCESSOR_SHARE = 0.25
# A busy process ends by itself after this time, should the run be killed.
MAX_BUSY_S = 300
# Descriptors of the hosts beside a crowd, the number of hosts that it is at, its idle connections
# to each, the share of their signals with a burst, and the longest time to it.
CROWDED_DESCRIPTORS = 4100
CROWDED_HOSTS = 2
CROWD_IDLE_COUNT = 2700
BURST_SHARE = 0.7
MAX_BURST_DELAY_S = 2.0
# Address space of the smallest hosts of the sheet.
MEMORY_BYTES = 300_000_000
_BUSY_PROGRAM = """
import time
end = time.monotonic() + {seconds}
while time.monotonic() < end:
    pass
"""
CHANGED_SETTINGS = (
    (),
    ("terms.bounds.maxShift=0.1",),
    ("terms.bounds.retryBudgetExtra=40", "terms.bounds.configApply=2s"),
    ("self.limits.memoryMb=280", "terms.bounds.drain=2s", "terms.bounds.ttl_max=4s"),
)


class Rig:
    """All processes of a run.

    Args:
      seed: Seed of the run, which also chooses its network.
      folder: Folder for settings and logs.
      share: Share of the site's clients and requests.
      busy_count: Number of busy processes on the processors of the hosts.
      checkout: Folder of the checkout whose host program is played.
      played: The conditions.Condition items that are played.
    """

    def __init__(self, seed, folder, share=1.0, busy_count=0, checkout=hosts.ROOT, played=()):
        self.site = conditions.build_site(played, share)
        self.observations = records.Observations()
        self._seed = seed
        self._folder = folder
        self._share = share
        self._rng = random.Random(f"{seed} rig")
        self._metadata_store = metadatastore.MetadataStore()
        self.store = storewriter.StoreWriter(self._metadata_store)
        (folder / hosts.KEYS_NAME).write_text(
            keyfile.format_keys(keyring.add_key(keyring.Keyring(), "k0")), encoding="utf-8"
        )
        self._version = 0
        self._busy_count = busy_count
        self._conditions = frozenset(played)
        self._host_processors = set()
        self._processes = []
        self._active = set()
        self._disturber = disturbances.Disturber(self)
        self._crowd = None
        self._crowded = []
        self._standstills = []
        self.hosts = self._make_hosts(checkout)
        self.observations.host_names = {
            host.ip: f"host-{host.index} in {host.zone}" for host in self.hosts
        }
        self.upstreams = []
        self._upstream_number = 0

    def _make_hosts(self, checkout):
        network = FIRST_NETWORK + self._seed % NETWORK_COUNT
        zones = [zone for zone in self.site.zones for _ in range(zone.hosts)]
        ips = [f"127.1.{network}.{10 + index}" for index in range(len(zones))]
        made = []
        for index, (ip, zone) in enumerate(zip(ips, zones, strict=True)):
            host = hosts.SoakHost(
                index,
                ip,
                zone.name,
                self.site.regions,
                self._metadata_store.address,
                self._folder,
                [(seed_ip, hosts.INTERNAL_PORT) for seed_ip in ips[:3]],
                hosts.Program(checkout, self.site.settings, CHANGED_SETTINGS),
            )
            if zone.region != self.site.zones[0].region:
                host.store_proxy.delay_s = self.site.region_delay_s
            made.append(host)
        return made

    def start(self):
        """Starts upstreams and hosts and waits until all hosts serve.

        Raises:
          RuntimeError: If a host does not become ready.
        """
        self._write_version(0)
        for zone in self.site.zones:
            for service in self.site.services:
                for _ in range(zone.upstreams[service.name]):
                    self.upstreams.append(self._start_upstream(service, zone.name))
        for host in self.hosts:
            self.start_host(host)
        end = time.monotonic() + READY_TIMEOUT_S
        while not all(host.is_ready() for host in self.hosts):
            if time.monotonic() > end:
                raise RuntimeError("hosts did not become ready before the timeout")
            eventlet.sleep(0.1)
        self._confine_hosts()

    def _confine_hosts(self):
        """Gives the hosts a few processors, which they share with busy processes."""
        known = sorted(os.sched_getaffinity(0))
        if not self._busy_count or len(known) == 1:
            return
        shared = set(known[: max(1, int(PROCESSOR_SHARE * len(known)))])
        # The run itself and its clients have the others.
        os.sched_setaffinity(0, set(known) - shared)
        self._host_processors = shared
        for host in self.hosts:
            os.sched_setaffinity(host.process.pid, shared)
        for _ in range(self._busy_count):
            command = [sys.executable, "-S", "-c", _BUSY_PROGRAM.format(seconds=MAX_BUSY_S)]
            process = subprocess.Popen(command)
            os.sched_setaffinity(process.pid, shared)
            self._processes.append(process)

    def play(self, events, length_s):
        """Plays clients and planned work, and collects what they observe.

        Args:
          events: The schedule.
          length_s: Length of the planned work in seconds.
        """
        eventlet.spawn_n(watch_standstills, self._standstills)
        begins_at = self.observations.begins_at = time.monotonic() + 1.0
        ends_at = begins_at + WARM_UP_S + length_s + COOL_DOWN_S
        zones = [zone.name for zone in self.site.zones]
        orders = []
        for index in range(CLIENT_PROCESSES):
            order = clients.Order(
                seed=self._seed,
                zones=zones[index::CLIENT_PROCESSES],
                share=self._share,
                hosts=[(host.ip, host.zone) for host in self.hosts],
                begins_at=begins_at,
                ends_at=ends_at,
                path=str(self._folder / f"attempts-{index}.msgpack"),
                conditions=sorted(self._conditions),
            )
            orders.append((order, self._start_clients(index, order)))
        if conditions.Condition.CROWD in self._conditions:
            orders.append(self._start_crowd(ends_at))
        eventlet.sleep(begins_at + WARM_UP_S - time.monotonic())
        if conditions.Condition.BROKEN_UPSTREAMS in self._conditions:
            eventlet.spawn_n(self._crash_upstreams, ends_at)
        threads = [eventlet.spawn_after(at, self._apply, event) for at, event in events]
        for thread in threads:
            thread.wait()
        for host in self.hosts:
            self.note_own_end(host)
        for order, process in orders:
            while process.poll() is None:
                eventlet.sleep(POLL_S)
            self._read_attempts(order)
        lengths_s = [end - begin for begin, end in self._standstills]
        self.observations.lateness_s = max(self.observations.lateness_s, *lengths_s)

    def _start_clients(self, index, order):
        path = self._folder / f"order-{index}.json"
        path.write_text(json.dumps(dataclasses.asdict(order)), encoding="utf-8")
        command = [sys.executable, "-m", "bench.siterun.clients", str(path)]
        process = subprocess.Popen(command, cwd=hosts.ROOT)
        self._processes.append(process)
        return process

    def _start_crowd(self, ends_at):
        """Starts the crowd at some of the hosts; returns its order and its process."""
        self._crowded = [host.ip for host in self._rng.sample(self.hosts, CROWDED_HOSTS)]
        request = self.site.requests[0]
        order = crowd.Order(
            hosts=self._crowded,
            idle_count=int(self._share * CROWD_IDLE_COUNT),
            kind=request.name,
            prefix=request.prefix,
            ends_at=ends_at,
            path=str(self._folder / "attempts-crowd.msgpack"),
        )
        path = self._folder / "order-crowd.json"
        path.write_text(json.dumps(dataclasses.asdict(order)), encoding="utf-8")
        command = [sys.executable, "-m", "bench.siterun.crowd", str(path)]
        self._crowd = subprocess.Popen(command, cwd=hosts.ROOT, stdin=subprocess.PIPE)
        self._processes.append(self._crowd)
        return order, self._crowd

    def _schedule_burst(self, host):
        """Has the crowd open a burst of connections soon after a signal, at times."""
        if host.ip in self._crowded and self._rng.random() < BURST_SHARE:
            delay_s = self._rng.uniform(0.0, MAX_BURST_DELAY_S)
            eventlet.spawn_after(delay_s, self._burst, host)

    def _burst(self, host):
        if self._crowd.poll() is None:
            self._crowd.stdin.write(f"{host.ip}\n".encode())
            self._crowd.stdin.flush()

    def _read_attempts(self, order):
        with open(order.path, "rb") as file:
            lateness_s, rows, *crowd_counts = msgpack.unpackb(file.read())
        self.observations.crowd_count = max(self.observations.crowd_count, *crowd_counts, 0)
        self.observations.attempts += map(records.decode_attempt, rows)
        self.observations.lateness_s = max(self.observations.lateness_s, lateness_s)

    def stop(self):
        """Ends all processes."""
        for host in self.hosts:
            if host.process is not None and host.process.poll() is None:
                host.process.kill()
                host.process.wait()
        for process in self._processes:
            if process.poll() is None:
                process.kill()
            process.wait()

    # Planned work.

    def _apply(self, event):
        match event:
            case schedule.StopHost(index, signals):
                self._stop_host(self.hosts[index], signals)
            case schedule.ReloadHost(index, variant, has_signal):
                if variant is not None:
                    self.hosts[index].write_settings(variant)
                if has_signal:
                    self._reload(self.hosts[index])
            case schedule.ChangeRoutes(draw):
                self._write_version(draw)
            case schedule.DrainUpstream(index):
                self._drain(index)
            case _:
                self._disturber.apply(event)

    @contextlib.contextmanager
    def claim(self, host):
        """Keeps other restarts off a host; yields False if one is under way already."""
        if host.index in self._active:
            yield False
            return
        self._active.add(host.index)
        try:
            self.note_own_end(host)
            yield True
        finally:
            self._active.discard(host.index)

    def _stop_host(self, host, signals):
        """Stops a host and starts it again."""
        with self.claim(host) as is_free:
            if is_free:
                self.end_host(host, signals)
                eventlet.sleep(self._rng.uniform(*RESTART_PAUSES_S))
                self.start_host(host)
                self.await_ready(host)

    def end_host(self, host, signals):
        """Sends SIGTERM and further signals, and kills the host at the end of its time."""
        requested_at = time.monotonic()
        host.process.terminate()
        self._schedule_burst(host)
        for delay_s, name in signals:
            eventlet.spawn_after(delay_s, self._signal, host, host.process, name)
        code = self._wait(host.process, requested_at + self.site.grace_s)
        if code is None:
            host.process.kill()
            self._wait(host.process, time.monotonic() + KILL_TIMEOUT_S)
        stop = records.Stop(host.ip, requested_at, time.monotonic(), code)
        self.observations.stops.append(stop)

    def list_writers(self):
        """Returns the hosts in the order in which they wrote to the store under a condition."""
        known = {f"host-{host.index}": host for host in self.hosts}
        return [known[name] for name in self._metadata_store.created_names]

    def refuse_calls(self, is_refusing):
        """Has the store refuse all calls, or serve them again."""
        self._metadata_store.failing_status = 503 if is_refusing else None

    def start_host(self, host):
        """Starts a new process of a host on the processors of the hosts."""
        self.observations.starts.append((host.ip, time.monotonic()))
        host.start()
        limit_process(host.process.pid, self._conditions)
        if self._host_processors:
            os.sched_setaffinity(host.process.pid, self._host_processors)

    def await_ready(self, host):
        """Waits until a host that was started serves."""
        ends_at = time.monotonic() + READY_TIMEOUT_S
        eventlet.sleep(START_S)
        while not host.is_ready() and time.monotonic() < ends_at:
            eventlet.sleep(0.1)

    def note_own_end(self, host):
        """Records if a host has ended by itself."""
        if host.process.poll() is not None:
            self.observations.ended_hosts.append((host.ip, time.monotonic()))

    def _wait(self, process, until):
        while process.poll() is None and time.monotonic() < until:
            eventlet.sleep(POLL_S)
        return process.poll()

    def _signal(self, host, process, name):
        if process.poll() is None:
            if name == "SIGHUP":
                self._schedule_burst(host)
                self.observations.reloads.append((host.ip, time.monotonic()))
            process.send_signal(signal.Signals[name])

    def _reload(self, host):
        # A process that is only starting has no handler for the signal yet.
        if host.index not in self._active:
            self._signal(host, host.process, "SIGHUP")

    def _write_version(self, draw):
        rng = random.Random(draw)
        self._version += rng.randint(1, MAX_VERSION_STEP)
        spec, timeouts_s = configurations.build_version(self.site, self._version, rng)
        sent_at = time.monotonic()
        self.store.write("config", "main", spec)
        version = records.Version(self._version, sent_at, time.monotonic(), timeouts_s)
        self.observations.versions.append(version)

    def _start_upstream(self, service, zone, cold_s=0.0):
        self._upstream_number += 1
        requests = {request.prefix: request for request in self.site.requests}
        upstream = upstreams.SiteUpstream(
            f"u{self._upstream_number}",
            service,
            requests,
            zone,
            random.Random(f"{self._seed} {self._upstream_number}"),
            self.observations.runs.append,
            troubles.Troubles(f"{self._seed} {self._upstream_number}", played=self._conditions),
        )
        self._register(upstream, "ready", cold_s)
        return upstream

    def _register(self, upstream, state, cold_s=0.0):
        described = (upstream.service.name, upstream.zone)
        self.observations.upstreams[upstream.upstream_id] = described
        spec = platformdata.build_upstream_spec(
            address=f"{upstream.address[0]}:{upstream.address[1]}",
            service=upstream.service.name,
            zone=upstream.zone,
            state=state,
            slots=upstream.service.slots,
            born=1_700_000_000_000 + self._upstream_number,
            **platformdata.build_cold_fields(cold_s),
        )
        self.store.write("servers", upstream.upstream_id, spec)

    def _drain(self, index):
        upstream = self.upstreams[index]
        if upstream.is_leaving:
            return
        upstream.is_leaving = True
        self._register(upstream, "draining")
        eventlet.sleep(DRAIN_SERVE_S)
        self.store.delete("servers", upstream.upstream_id)
        upstream.shut_down()
        eventlet.sleep(DRAIN_PAUSE_S)
        self.upstreams[index] = self._start_upstream(upstream.service, upstream.zone, COLD_S)

    def _crash_upstreams(self, ends_at):
        rng = random.Random(f"{self._seed} crashes")
        while time.monotonic() < ends_at:
            eventlet.sleep(rng.expovariate(1.0 / troubles.CRASH_PAUSE_S))
            upstream = rng.choice(self.upstreams)
            if not upstream.is_leaving:
                eventlet.spawn_n(self._crash, upstream, rng.uniform(*troubles.CRASH_TIMES_S))

    def _crash(self, upstream, down_s):
        """Crashes an upstream, which returns under its id or another one."""
        # It is neither drained nor crashed meanwhile.
        upstream.is_leaving = True
        upstream.crash()
        self.observations.crashes += 1
        eventlet.sleep(down_s)
        self._upstream_number += 1
        upstream_id = upstream.upstream_id
        if self._upstream_number % 2:
            self.store.delete("servers", upstream_id)
            upstream_id = f"u{self._upstream_number}"
        upstream.come_back(upstream_id)
        upstream.is_leaving = False
        self._register(upstream, "ready", COLD_S)


def limit_process(pid, played):
    """Limits the descriptors and the address space of a host's process as the Conditions ask."""
    if conditions.Condition.CROWD in played:
        descriptors = (CROWDED_DESCRIPTORS, CROWDED_DESCRIPTORS)
        resource.prlimit(pid, resource.RLIMIT_NOFILE, descriptors)
    if conditions.Condition.MEMORY_LIMIT in played:
        resource.prlimit(pid, resource.RLIMIT_AS, (MEMORY_BYTES, MEMORY_BYTES))
