"""Measures the rate of one look-up process with 330,000 client blocks.

``python -m bench.lookup_rate`` prints one line with the rate per second, the p99 latency and the
resident memory. The baseline is a bare WSGI answer of equal length on the same HTTP server.
"""

import argparse
import os
import pathlib
import random
import selectors
import socket
import statistics
import subprocess
import sys
import tempfile
import time

BOUND_PER_S = 2_000
BOUND_P99_MS = 5.0
BLOCKS = 330_000
IPV6_BLOCKS = 30_000
CONNECTIONS = 4
ROUNDS = 3
ROUND_S = 4.0
WARM_UP_S = 1.0
READY_TIMEOUT_S = 60.0
ADDRESS = "127.0.12.10"
REQUESTS = 4_000
ANSWER_BYTES = 900
SERVICES = {"cedarwake": ("catalogue", "deposits"), "riunita": ("catalogo", "prenota")}


class LoadGenerator:
    """Sends look-ups over keep-alive connections, one at a time on each.

    Args:
      address: IP address and port of the server.
      requests: Requests as bytes; they are sent in turn.
    """

    def __init__(self, address, requests):
        self._requests = requests
        self._selector = selectors.DefaultSelector()
        self._next = 0
        self._sent_at = {}
        self._received = {}
        for _ in range(CONNECTIONS):
            connection = socket.create_connection(address)
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._selector.register(connection, selectors.EVENT_READ)

    def run(self, duration_s):
        """Loads the server for a time.

        Returns:
          The latencies in seconds of all answers.
        """
        latencies = []
        connections = [key.fileobj for key in self._selector.get_map().values()]
        for connection in connections:
            self._send(connection)
        stop_at = time.perf_counter() + duration_s
        open_connections = len(connections)
        while open_connections:
            for key, _ in self._selector.select():
                if not self._receive(key.fileobj):
                    continue
                now = time.perf_counter()
                latencies.append(now - self._sent_at[key.fileobj])
                if now < stop_at:
                    self._send(key.fileobj)
                else:
                    open_connections -= 1
        return latencies

    def _send(self, connection):
        request = self._requests[self._next % len(self._requests)]
        self._next += 1
        self._received[connection] = b""
        self._sent_at[connection] = time.perf_counter()
        connection.sendall(request)

    def _receive(self, connection):
        """Returns True once the whole answer is there."""
        data = self._received[connection] + connection.recv(65536)
        self._received[connection] = data
        head, separator, body = data.partition(b"\r\n\r\n")
        if not separator:
            return False
        if not head.startswith(b"HTTP/1.1 200 "):
            raise RuntimeError(f"unexpected answer: {data[:300]!r}")
        length = int(head.lower().split(b"content-length:")[1].split(b"\r\n")[0])
        return len(body) >= length


class Server:
    """A server process of ``bench._lookup_server``.

    Args:
      mode: "agent", "lookup" or "bare".
      name: The deployment.
      directory: Directory of its log.
      ports: Ports of the agent and of statsd, for "lookup".
    """

    def __init__(self, mode, name, directory, *ports):
        with open(pathlib.Path(directory) / f"{mode}.log", "w", encoding="utf-8") as log:
            self._popen = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "bench._lookup_server",
                    mode,
                    ADDRESS,
                    name,
                    *map(str, ports),
                ],
                stdout=subprocess.PIPE,
                stderr=log,
                text=True,
            )
        ready = self._read_ready_line().split()
        if len(ready) != 2:
            self.stop()
            raise RuntimeError(f"server {mode} did not start; see its log in {directory}")
        self.address = (ADDRESS, int(ready[0]))
        self.build_s = float(ready[1])

    def _read_ready_line(self):
        with selectors.DefaultSelector() as selector:
            selector.register(self._popen.stdout, selectors.EVENT_READ)
            return self._popen.stdout.readline() if selector.select(READY_TIMEOUT_S) else ""

    def measure_memory(self):
        """Returns the resident memory in bytes."""
        import psutil

        return psutil.Process(self._popen.pid).memory_info().rss

    def measure_cpu_s(self):
        """Returns the processor time that the process has used in seconds."""
        import psutil

        times = psutil.Process(self._popen.pid).cpu_times()
        return times.user + times.system

    def stop(self):
        """Ends the process."""
        self._popen.terminate()
        self._popen.wait()


def make_requests(name):
    """Returns the requests of a run; three of four look-ups are for the idempotent service."""
    chance = random.Random(1)
    often, seldom = SERVICES[name]
    requests = []
    for number in range(REQUESTS):
        service = seldom if number % 4 == 3 else often
        client = f"{chance.randrange(1, 120)}.{chance.randrange(256)}.{chance.randrange(256)}.9"
        path = f"/v1/lookup?service={service}&client={client}"
        requests.append(f"GET {path} HTTP/1.1\r\nHost: lookup\r\n\r\n".encode())
    return requests


def run_rounds(servers, requests):
    """Loads all servers in turn.

    Returns:
      By mode: the rates, the latencies in seconds, and the seconds of processor time.
    """
    cpu_s = dict.fromkeys(servers, 0.0)
    rates = {mode: [] for mode in servers}
    latencies = {mode: [] for mode in servers}
    for server in servers.values():
        LoadGenerator(server.address, requests).run(WARM_UP_S)
    for _ in range(ROUNDS):
        for mode, server in servers.items():
            start, cpu_start = time.perf_counter(), server.measure_cpu_s()
            found = LoadGenerator(server.address, requests).run(ROUND_S)
            rates[mode].append(len(found) / (time.perf_counter() - start))
            latencies[mode] += found
            cpu_s[mode] += server.measure_cpu_s() - cpu_start
    return rates, latencies, cpu_s


def main():
    """Runs the measurement; exits with 1 if a bound is not held."""
    parser = argparse.ArgumentParser(prog="bench.lookup_rate")
    parser.add_argument("--directory", help="directory for the logs; a temporary one if missing")
    parser.add_argument("--deployment", choices=tuple(SERVICES), default="cedarwake")
    arguments = parser.parse_args()
    name = arguments.deployment
    statsd = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    statsd.bind((ADDRESS, 0))
    with tempfile.TemporaryDirectory() as temporary:
        directory = arguments.directory or temporary
        os.makedirs(directory, exist_ok=True)
        servers = {}
        try:
            servers["agent"] = Server("agent", name, directory)
            ports = (servers["agent"].address[1], statsd.getsockname()[1])
            servers["bare"] = Server("bare", name, directory)
            servers["lookup"] = Server("lookup", name, directory, *ports)
            loaded = {mode: servers[mode] for mode in ("bare", "lookup")}
            rates, latencies, cpu_s = run_rounds(loaded, make_requests(name))
            memory = servers["lookup"].measure_memory()
            build_s = servers["lookup"].build_s
        finally:
            for server in servers.values():
                server.stop()
    sys.exit(0 if report(name, rates, latencies, cpu_s, memory, build_s) else 1)


def report(name, rates, latencies, cpu_s, memory, build_s):
    """Prints the line of the measurement; returns True if the bounds are held."""
    ours = statistics.median(rates["lookup"])
    baseline = statistics.median(rates["bare"])
    p99_ms, baseline_p99_ms = (
        1000 * statistics.quantiles(latencies[mode], n=100)[98] for mode in ("lookup", "bare")
    )
    is_held = ours >= BOUND_PER_S and p99_ms < BOUND_P99_MS
    print(
        f"measure: case=lookup deployment={name} baseline={baseline:.0f} ours={ours:.0f} "
        f"ratio={ours / baseline:.2f} bound={BOUND_PER_S} p99_ms={p99_ms:.2f} "
        f"p99_bound_ms={BOUND_P99_MS:g} baseline_p99_ms={baseline_p99_ms:.2f} "
        f"per_cpu_s={len(latencies['lookup']) / cpu_s['lookup']:.0f} "
        f"rss_mb={memory / 1e6:.0f} blocks={BLOCKS} load_s={build_s:.1f} "
        f"{'ok' if is_held else 'red'}"
    )
    return is_held


if __name__ == "__main__":
    main()
