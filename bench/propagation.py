"""Measures agents of 7 hosts as processes: time until a new generation is in force, and rest cost.

Prints one line for each case. Addresses are 127.0.NETWORK.x, so that several runs do not meet.
"""

import argparse
import dataclasses
import json
import os
import pathlib
import re
import signal
import statistics
import subprocess
import sys
import tempfile
import time
import types

import eventlet
import psutil
import urllib3

from features import builders
from skylarksill import clock, configuration, messages, objectstore, records, rpc, viewer

PLATFORM_PORT = 7100
AGENT_PORT = 7004
HOST_COUNT = 7
SHARED_KEY = bytes.fromhex("5b" * 32)
POLL_S = 0.02
CASE_TIMEOUT_S = 20.0
SETTINGS = """[host]
name = {host.host_id}
zone = {host.zone_id}
address = {host.address}
[ports]
agent = {host.agent_port}
[security]
shared_key = {key}
[platform]
address = {network}.1:{platform_port}
[peers]
agents = {peers}
"""


class Agents:
    """Platform stand-in and agents of one deployment as processes.

    Args:
      network: First three numbers of the loopback addresses, for example "127.0.11".
      directory: Directory for settings and logs.
    """

    def __init__(self, network, directory):
        self.network = network
        self.directory = pathlib.Path(directory)
        self.configuration = self._build_configuration()
        self.store = objectstore.ObjectStore((f"{network}.1", PLATFORM_PORT), "bench")
        self._clients = {}
        self._processes = {}
        self._generation = 0

    def start(self):
        """Starts the platform with a first generation, and all agents."""
        command = ["-m", "standins.platform", "--address", f"{self.network}.1:{PLATFORM_PORT}"]
        self._spawn("platform", command)
        self.apply()
        for host in self.configuration.hosts:
            self.start_host(host)
        self.wait_for_generation()

    def start_host(self, host):
        """Starts one agent and waits until it listens."""
        others = [other for other in self.configuration.hosts if other != host]
        peers = ", ".join(f"{other.address}:{other.agent_port}" for other in others)
        path = self.directory / f"{host.host_id}.ini"
        text = SETTINGS.format(
            host=host,
            key=SHARED_KEY.hex(),
            network=self.network,
            platform_port=PLATFORM_PORT,
            peers=peers,
        )
        path.write_text(text, encoding="utf-8")
        code = "from skylarksill import programs; programs.run_agent()"
        self._spawn(host.host_id, ["-c", code, "--settings", str(path)])

    def read_log(self, host):
        """Returns the end of a host's log."""
        return (self.directory / f"{host.host_id}.log").read_text(encoding="utf-8")[-1000:]

    def end_host(self, host, signal_number=signal.SIGKILL):
        """Ends one agent and returns the seconds that it took."""
        started = time.monotonic()
        self._processes[host.host_id].send_signal(signal_number)
        self._processes[host.host_id].wait()
        self._clients.pop(host.host_id, None)
        return time.monotonic() - started

    def stop(self):
        """Ends all processes."""
        for process in self._processes.values():
            process.kill()
            process.wait()

    def apply(self):
        """Writes the next generation to the store, as the console does."""
        self._generation += 1
        following = dataclasses.replace(self.configuration, generation=self._generation)
        head, texts = configuration.split_shards(following)
        head = dataclasses.replace(head, write_id=f"bench-{self._generation}")
        for digest, text in texts.items():
            self._write_shard(digest, text)
        version = self._read_version()
        value = configuration.format_head(head).encode()
        self.store.put(configuration.HEAD_KEY, value, version)

    def wait_for_generation(self):
        """Waits until all agents have the last generation and returns the seconds it took."""
        started = time.monotonic()
        waiting = list(self.configuration.hosts)
        while waiting:
            waiting = [h for h in waiting if self.read_generation(h) < self._generation]
            if time.monotonic() - started > CASE_TIMEOUT_S:
                log = self.read_log(waiting[0])
                raise TimeoutError(f"{waiting[0].host_id} has no {self._generation}: {log}")
            time.sleep(POLL_S)
        return time.monotonic() - started

    def read_generation(self, host):
        """Returns the generation in force at a host, 0 if it does not answer."""
        try:
            return self.read_status(host).generation
        except rpc.RpcError:
            return 0

    def read_status(self, host):
        """Returns a host's StatusResult."""
        if host.host_id not in self._clients:
            identity = rpc.Identity("bench", host.host_id, "bench")
            address = (host.address, host.agent_port)
            self._clients[host.host_id] = rpc.RpcClient(address, SHARED_KEY, identity)
        body = messages.encode_message(messages.StatusCall())
        answer = self._clients[host.host_id].call("status", body, 1.0)
        return messages.decode_message(messages.StatusResult, answer)

    def make_viewer(self, host, part):
        """Returns an AgentViewClient that polls a host's agent."""
        host_settings = types.SimpleNamespace(
            address=host.address,
            agent_port=host.agent_port,
            shared_key=SHARED_KEY,
            host=host.host_id,
        )
        return viewer.AgentViewClient(host_settings, clock.SystemClock(), part, "bench")

    def control(self, path, **fields):
        """Calls the platform's control endpoint."""
        url = f"http://{self.network}.1:{PLATFORM_PORT}/control/{path}"
        return json.loads(urllib3.request("POST", url, body=json.dumps(fields)).data)

    def find_process(self, host):
        """Returns the psutil.Process of a host's agent."""
        return psutil.Process(self._processes[host.host_id].pid)

    def count_bytes(self, host):
        """Returns the payload bytes sent and received over the host's own connections."""
        lines = subprocess.run(
            ["ss", "-tinHO", "src", host.address], capture_output=True, text=True, check=True
        ).stdout.splitlines()
        # A client binds no address and so has 127.0.0.1: a connection between hosts shows at its
        # accepting end only.
        sent = sum(int(n) for line in lines for n in re.findall(r"bytes_sent:(\d+)", line))
        received = sum(int(n) for line in lines for n in re.findall(r"bytes_received:(\d+)", line))
        return sent + received

    def _spawn(self, name, arguments):
        with open(self.directory / f"{name}.log", "a", encoding="utf-8") as log:
            process = subprocess.Popen(
                [sys.executable, "-W", "ignore", *arguments], stdout=subprocess.PIPE, stderr=log
            )
        self._processes[name] = process
        process.stdout.readline()

    def _build_configuration(self):
        built = builders.build_configuration(1, hosts_per_zone=2)
        hosts = tuple(
            dataclasses.replace(host, address=f"{self.network}.{10 + i}", agent_port=AGENT_PORT)
            for i, host in enumerate(built.hosts[:HOST_COUNT])
        )
        names = {host.host_id for host in hosts}
        # The last zone has one host, so a host of its sibling zone is the standby there.
        sibling = hosts[HOST_COUNT - 2].host_id
        upstreams = tuple(
            dataclasses.replace(u, standby=u.standby if u.standby in names else sibling)
            for u in built.upstreams
        )
        return dataclasses.replace(built, hosts=hosts, upstreams=upstreams)

    def _write_shard(self, digest, text):
        try:
            self.store.put(configuration.SHARD_PREFIX + digest, text.encode(), 0)
        except objectstore.ConflictError:
            return

    def _read_version(self):
        try:
            return self.store.get(configuration.HEAD_KEY)[0]
        except objectstore.MissingError:
            return 0


def measure_changes(agents, name, repeats, **faults):
    """Measures the seconds until a new generation is in force at all hosts."""
    agents.control("faults", **faults)
    seconds = []
    for _ in range(repeats):
        time.sleep(1.3)
        agents.apply()
        seconds.append(agents.wait_for_generation())
    print(
        f"propagation: case={name} repeats={repeats} median_s={statistics.median(seconds):.2f} "
        f"max_s={max(seconds):.2f}",
        flush=True,
    )
    agents.control("faults", outage=False, cut_off=[], stale_watches=False)


def measure_start_in_outage(agents):
    """Measures the seconds from an agent's start in an outage until it has the generation."""
    host = agents.configuration.hosts[-1]
    agents.control("faults", outage=True)
    agents.end_host(host)
    started = time.monotonic()
    agents.start_host(host)
    listening = time.monotonic() - started
    agents.wait_for_generation()
    total = time.monotonic() - started
    print(f"propagation: case=start_in_outage listening_s={listening:.2f} in_force_s={total:.2f}")
    agents.control("faults", outage=False)


def measure_rest(agents, seconds, viewer_count):
    """Measures store calls, processor time, memory and bytes of agents at rest.

    Args:
      agents: The Agents.
      seconds: Duration in seconds.
      viewer_count: Number of daemons of each host that poll its agent.
    """
    hosts = agents.configuration.hosts
    viewers = [agents.make_viewer(host, str(i)) for host in hosts for i in range(viewer_count)]
    for polling in viewers:
        polling.start()
    eventlet.sleep(3)
    counts = agents.control("counts")["clients"]
    used = {host: sum(agents.find_process(host).cpu_times()[:2]) for host in hosts}
    sent = {host: agents.count_bytes(host) for host in hosts}
    eventlet.sleep(seconds)
    later = agents.control("counts")["clients"]
    calls = [
        (sum(later[host.host_id].values()) - sum(counts[host.host_id].values())) / seconds
        for host in hosts
    ]
    cores = [(sum(agents.find_process(h).cpu_times()[:2]) - used[h]) / seconds for h in hosts]
    # Each byte between two hosts is counted at one end, so the sum is what all hosts send.
    rate = sum(agents.count_bytes(host) - sent[host] for host in hosts) / seconds / len(hosts)
    memory = [agents.find_process(host).memory_full_info() for host in hosts]
    for polling in viewers:
        polling.stop()
    print(
        f"propagation: case=rest seconds={seconds} hosts={len(hosts)} viewers={viewer_count} "
        f"store_calls_s_max={max(calls):.2f} core_percent_max={100 * max(cores):.2f} "
        f"rss_mb_max={max(m.rss for m in memory) / 1e6:.1f} "
        f"uss_mb_max={max(m.uss for m in memory) / 1e6:.1f}"
        + (f" both_ways_bytes_s_mean={2 * rate:.0f}" if not viewer_count else ""),
        flush=True,
    )


def measure_leave(agents):
    """Measures the seconds until all peers know that a host is leaving, and until it has ended."""
    host, watching = agents.configuration.hosts[0], agents.configuration.hosts[1:]
    started = time.monotonic()
    agents.find_process(host).send_signal(signal.SIGTERM)
    waiting = list(watching)
    while waiting:
        waiting = [other for other in waiting if not _is_leaving(agents.read_status(other), host)]
    known = time.monotonic() - started
    agents.end_host(host, signal.SIGCONT)
    ended = time.monotonic() - started
    print(f"propagation: case=leave known_s={known:.2f} ended_s={ended:.2f}", flush=True)


def _is_leaving(status, host):
    states = {view.entry.host: view.entry.state for view in status.peers}
    return states.get(host.host_id) is not records.LifecycleState.SERVING


def main():
    """Runs all cases."""
    parser = argparse.ArgumentParser(prog="bench.propagation")
    parser.add_argument("--network", default="127.0.11")
    parser.add_argument("--repeats", type=int, default=10)
    parser.add_argument("--rest", type=int, default=30, help="seconds at rest")
    arguments = parser.parse_args()
    print(f"propagation: processors={os.cpu_count()} load={os.getloadavg()[0]:.1f}")
    with tempfile.TemporaryDirectory() as directory:
        agents = Agents(arguments.network, directory)
        try:
            agents.start()
            hosts = [host.host_id for host in agents.configuration.hosts]
            measure_rest(agents, arguments.rest, 0)
            measure_rest(agents, arguments.rest, 3)
            measure_changes(agents, "store_up", arguments.repeats)
            measure_changes(agents, "6_of_7_cut_off", arguments.repeats, cut_off=hosts[1:])
            measure_changes(agents, "stale_watches", arguments.repeats, stale_watches=True)
            measure_start_in_outage(agents)
            measure_leave(agents)
        finally:
            agents.stop()


if __name__ == "__main__":
    main()
