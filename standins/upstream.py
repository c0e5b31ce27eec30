"""Stand-in for upstreams: HTTP workers with faults and a record of every request.

One process serves many workers. ``/control/record`` on the control port returns the records of the
workers, ``/control/set?worker=NAME&FIELD=VALUE`` changes a worker. A request selects a fault with
the header ``Standin-Do``: crash, truncate, bare-503, shed, hang or long-answer. The id of its work
is the header ``Work-Id`` or the field ``work_id`` of a JSON body.
"""

import argparse
import collections
import configparser
import contextlib
import dataclasses
import hashlib
import json
import random
import struct
import time
import urllib.parse

import eventlet
from eventlet import greenpool, hubs
from eventlet.green import socket

MAX_HEAD_BYTES = 65536
ABORT_LINGER = struct.pack("ii", 1, 0)


@dataclasses.dataclass
class Worker:
    """Behavior of one worker; all fields except the address may change while it runs."""

    name: str
    address: str
    port: int
    service: str = "catalogue"
    slots: int = 5
    mean_ms: float = 50.0
    distribution: str = "fixed"
    straggler_percent: float = 0.0
    straggler_factor: float = 50.0
    slow_factor: float = 1.0
    stalled_s: float = 0.0
    cold_s: float = 0.0
    cold_factor: float = 3.0
    shed_percent: float = 0.0
    leaving: bool = False
    healthy: bool = True
    report_lag_s: float = 0.0
    report_lie: int = -1
    down_s: float = 1.0
    ignore_cancel: bool = False
    seed: int = 1


class WorkerRecord:
    """Counters of a worker's requests and connections."""

    def __init__(self):
        self.in_flight = 0
        self.max_in_flight = 0
        self.over_slots = 0
        self.connections = 0
        self.max_connections = 0
        self.crashes = 0
        self.counts = collections.Counter()
        self.work = collections.Counter()
        self.last_begin_unix = 0.0

    def describe(self):
        """Returns the record as JSON values; ``repeated`` lists work that ran more than once."""
        return {
            "in_flight": self.in_flight,
            "max_in_flight": self.max_in_flight,
            "over_slots": self.over_slots,
            "max_connections": self.max_connections,
            "crashes": self.crashes,
            "counts": dict(self.counts),
            "work": dict(self.work),
            "repeated": [work_id for work_id, runs in self.work.items() if runs > 1],
            "last_begin_unix": self.last_begin_unix,
        }


@dataclasses.dataclass
class Request:
    """A parsed HTTP request; header names are in lower case."""

    method: str
    path: str
    headers: dict
    body: bytes

    @property
    def work_id(self):
        """Id of the work, or an empty string."""
        if "work-id" in self.headers:
            return self.headers["work-id"]
        with contextlib.suppress(ValueError, AttributeError):
            return str(json.loads(self.body).get("work_id", ""))
        return ""


class WorkerServer:
    """Serves one worker on its address."""

    def __init__(self, worker):
        self.worker = worker
        self.record = WorkerRecord()
        self._rng = random.Random(f"{worker.seed} {worker.name}")
        self._load_samples = collections.deque()
        self._connections = set()
        self._stalled_until = 0.0
        self._listener = None
        self._started_at = time.monotonic()

    def start(self):
        """Listens on the worker's address; port 0 is replaced by the assigned port."""
        self._listener = eventlet.listen((self.worker.address, self.worker.port), backlog=512)
        self.worker.port = self._listener.getsockname()[1]
        self._started_at = time.monotonic()
        eventlet.spawn_n(self._accept, self._listener)

    def stop(self):
        """Closes the listener and aborts all connections."""
        self._listener.close()
        for connection in list(self._connections):
            abort_connection(connection)

    def change(self, fields):
        """Sets fields of the worker from strings."""
        for name, text in fields.items():
            field_type = type(getattr(self.worker, name))
            value = text in ("1", "true", "True") if field_type is bool else field_type(text)
            setattr(self.worker, name, value)
            if name == "stalled_s":
                self._stalled_until = time.monotonic() + value

    def _accept(self, listener):
        with contextlib.suppress(OSError):
            while True:
                connection, _ = listener.accept()
                connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                eventlet.spawn_n(self._serve, connection)

    def _serve(self, connection):
        self._connections.add(connection)
        self.record.max_connections = max(self.record.max_connections, len(self._connections))
        reader = connection.makefile("rb")
        try:
            while self._serve_request(connection, reader):
                pass
        except OSError:
            self.record.counts["broken"] += 1
        finally:
            self._connections.discard(connection)
            reader.close()
            connection.close()

    def _serve_request(self, connection, reader):
        request = read_request(reader)
        if request is None:
            return False
        if request.path.startswith("/health"):
            return self._send(
                connection, 200 if self.worker.healthy else 503, self._build_load_report()
            )
        refusal = self._find_refusal(request)
        if refusal:
            self.record.counts[refusal] += 1
            body = {"reason": refusal}
            return self._send(connection, 503, body, ["Skylarksill-Not-Run: 1"])
        return self._run(connection, request)

    def _find_refusal(self, request):
        deadline_ms = int(request.headers.get("skylarksill-deadline-unix-ms", "0"))
        if deadline_ms and time.time() * 1000 >= deadline_ms:
            return "deadline_passed"
        if self.worker.leaving:
            return "leaving"
        action = request.headers.get("standin-do")
        if action == "shed" or self._rng.random() * 100 < self.worker.shed_percent:
            return "shed"
        return None

    def _run(self, connection, request):
        record = self.record
        record.in_flight += 1
        record.max_in_flight = max(record.max_in_flight, record.in_flight)
        record.over_slots += record.in_flight > self.worker.slots
        record.counts["begun"] += 1
        if request.work_id:
            record.work[request.work_id] += 1
        record.last_begin_unix = time.time()
        try:
            is_cancelled = self._work(connection, request)
        finally:
            record.in_flight -= 1
        if is_cancelled:
            record.counts["cancelled"] += 1
            return False
        record.counts["ended"] += 1
        return self._answer(connection, request)

    def _work(self, connection, request):
        action = request.headers.get("standin-do")
        if action == "crash":
            eventlet.sleep(self._draw_duration_s())
            self._crash_and_restart()
            return True
        duration_s = 3600.0 if action == "hang" else self._draw_duration_s()
        end = time.monotonic() + duration_s
        deadline = self._find_deadline(request)
        while True:
            now = time.monotonic()
            wait_s = max(min(end, deadline), self._stalled_until) - now
            if wait_s <= 0:
                return False
            if self.worker.ignore_cancel:
                eventlet.sleep(wait_s)
            elif is_closed_within(connection, wait_s) and time.monotonic() >= self._stalled_until:
                return True

    def _find_deadline(self, request):
        deadline_ms = int(request.headers.get("skylarksill-deadline-unix-ms", "0"))
        if not deadline_ms:
            return float("inf")
        return time.monotonic() + deadline_ms / 1000 - time.time()

    def _draw_duration_s(self):
        worker = self.worker
        mean_s = worker.mean_ms / 1000
        is_random = worker.distribution == "exponential"
        time_s = self._rng.expovariate(1 / mean_s) if is_random and mean_s else mean_s
        if self._rng.random() * 100 < worker.straggler_percent:
            time_s *= worker.straggler_factor
        if time.monotonic() - self._started_at < worker.cold_s:
            time_s *= worker.cold_factor
        return time_s * worker.slow_factor

    def _crash_and_restart(self):
        self.record.crashes += 1
        self.stop()
        eventlet.spawn_after(self.worker.down_s, self.start)

    def _answer(self, connection, request):
        action = request.headers.get("standin-do")
        if time.monotonic() >= self._find_deadline(request):
            self.record.counts["cut_off"] += 1
            return self._send(connection, 504, {"reason": "deadline_passed"})
        if action == "bare-503":
            return self._send(connection, 503, {"reason": "bare"})
        if action == "truncate":
            connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\nhalf of the")
            return False
        body = {
            "worker": self.worker.name,
            "method": request.method,
            "path": request.path,
            "work_id": request.work_id,
            "request_id": request.headers.get("skylarksill-request-id", ""),
            "body_sha256": hashlib.sha256(request.body).hexdigest(),
        }
        if action == "long-answer":
            body["filler"] = "x" * (1024 * 1024)
        return self._send(connection, 200, body)

    def _send(self, connection, status, body, headers=()):
        content = json.dumps(body).encode()
        lines = [
            f"HTTP/1.1 {status} {'OK' if status == 200 else 'Service Unavailable'}",
            "Content-Type: application/json",
            f"Content-Length: {len(content)}",
            *headers,
        ]
        if self.worker.leaving:
            lines += ["Skylarksill-Leaving: 1"]
        connection.sendall("\r\n".join([*lines, "", ""]).encode() + content)
        return True

    def _build_load_report(self):
        """Returns the load of ``report_lag_s`` ago; ``report_lie`` replaces it unless negative."""
        now = time.monotonic()
        self._load_samples.append((now, self.record.in_flight))
        while (
            len(self._load_samples) > 1
            and self._load_samples[1][0] <= now - self.worker.report_lag_s
        ):
            self._load_samples.popleft()
        in_flight = self._load_samples[0][1]
        if self.worker.report_lie >= 0:
            in_flight = self.worker.report_lie
        return {"in_flight": in_flight, "slots": self.worker.slots, "leaving": self.worker.leaving}


def is_closed_within(connection, seconds):
    """Waits up to ``seconds``; returns True if the peer closes its sending side."""
    try:
        hubs.trampoline(connection.fileno(), read=True, timeout=seconds, timeout_exc=TimeoutError)
        return not connection.recv(1, socket.MSG_PEEK)
    except TimeoutError:
        return False
    except OSError:
        return True


def abort_connection(connection):
    """Resets a connection, as when the process ends."""
    with contextlib.suppress(OSError):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ABORT_LINGER)
        connection.shutdown(socket.SHUT_RDWR)


def read_request(reader):
    """Reads one request; returns None if the connection ends first."""
    line = reader.readline(MAX_HEAD_BYTES).decode("latin-1").split()
    if len(line) != 3:
        return None
    headers = {}
    while True:
        header = reader.readline(MAX_HEAD_BYTES).decode("latin-1").strip()
        if not header:
            break
        name, _, value = header.partition(":")
        headers[name.lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = reader.read(length)
    return Request(line[0], line[1], headers, body) if len(body) == length else None


class Control:
    """Serves the control endpoint."""

    def __init__(self, servers):
        self._servers = {server.worker.name: server for server in servers}

    def start(self, address, port):
        """Listens for control requests.

        Returns:
          The port.
        """
        listener = eventlet.listen((address, port))
        eventlet.spawn_n(self._accept, listener)
        return listener.getsockname()[1]

    def _accept(self, listener):
        pool = greenpool.GreenPool()
        while True:
            connection, _ = listener.accept()
            pool.spawn_n(self._serve, connection)

    def _serve(self, connection):
        with connection, connection.makefile("rb") as reader:
            request = read_request(reader)
            if request is None:
                return
            body = json.dumps(self._handle_control(urllib.parse.urlsplit(request.path))).encode()
            head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\nConnection: close\r\n\r\n"
            connection.sendall(head.encode() + body)

    def _handle_control(self, url):
        fields = dict(urllib.parse.parse_qsl(url.query))
        if url.path == "/control/record":
            return {name: server.record.describe() for name, server in self._servers.items()}
        selected = fields.pop("worker", "*")
        for name, server in self._servers.items():
            if selected in ("*", name):
                server.change(fields)
        return {"changed": fields}


def load_workers(path):
    """Reads workers from the sections ``[worker NAME]`` of an INI file.

    Returns:
      A list of Workers and the (address, port) of the control endpoint from ``[control]``.
    """
    parser = configparser.ConfigParser(interpolation=None)
    with open(path, encoding="utf-8") as file:
        parser.read_file(file)
    field_types = {field.name: field.type for field in dataclasses.fields(Worker)}
    workers = []
    for section in parser.sections():
        if section.startswith("worker "):
            values = {
                key: (
                    parser.getboolean(section, key)
                    if field_types[key] is bool
                    else field_types[key](text)
                )
                for key, text in parser.items(section)
            }
            workers.append(Worker(name=section.removeprefix("worker "), **values))
    control = parser["control"]
    return workers, (control["address"], control.getint("port"))


def main():
    """Serves workers until the process is stopped."""
    parser = argparse.ArgumentParser(prog="standins.upstream")
    parser.add_argument("--settings", help="INI file with [control] and [worker NAME] sections")
    parser.add_argument("--address", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--control-port", type=int, default=0)
    parser.add_argument("--slots", type=int, default=5)
    parser.add_argument("--mean-ms", type=float, default=50.0)
    arguments = parser.parse_args()
    if arguments.settings:
        workers, control = load_workers(arguments.settings)
    else:
        worker = Worker("worker-0", arguments.address, arguments.port)
        worker.slots, worker.mean_ms = arguments.slots, arguments.mean_ms
        workers, control = [worker], (arguments.address, arguments.control_port)
    servers = [WorkerServer(worker) for worker in workers]
    for server in servers:
        server.start()
    port = Control(servers).start(*control)
    print(f"standins.upstream ready on {control[0]}:{port}", flush=True)
    while True:
        eventlet.sleep(3600)


if __name__ == "__main__":
    main()
