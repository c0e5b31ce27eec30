"""A process with a crowd of connections to a few hosts: ``python -m bench.siterun.crowd ORDER``.

It keeps idle connections open, and opens a burst of others at once to each host whose address it
reads from its standard input.
"""

import collections
import dataclasses
import json
import os
import pathlib
import random
import sys
import time

import skylarksill  # noqa: F401  silences eventlet's notice

import eventlet  # isort: skip
import msgpack  # isort: skip
from eventlet import hubs  # isort: skip
from eventlet.green import socket  # isort: skip

from bench.siterun import records
from bench.siterun.standstills import sum_standstills, watch_standstills
from bench.soak import hosts
from standins import platformdata

# The kernel sends a connection request again after 1 s if the backlog is full.
CONNECT_TIMEOUT_S = 3.5
REOPEN_PAUSE_S = (0.2, 1.0)
OPENING_S = 1.5
BURST_COUNT = 1300
# Share of a burst's connections that send a request; the others stay silent for some time.
REQUEST_SHARE = 0.2
SILENT_S = 1.0
DEADLINE_S = 2.0
_BURST_PREFIX = "burst-"
COMMAND_BYTES = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """What the process has to do.

    Attributes:
      hosts: IP addresses of the crowded hosts.
      idle_count: Number of idle connections to each of them.
      kind: Name of the requests' shape.RequestShape.
      prefix: Path prefix of the requests.
      ends_at: Monotonic time of the end.
      path: File that receives the attempts.
    """

    hosts: list[str]
    idle_count: int
    kind: str
    prefix: str
    ends_at: float
    path: str


class Crowd:
    """The connections of an Order.

    Attributes:
      attempts: The records.Attempt items of the bursts.
      most_open: Most idle connections that were open to one host at a time.
    """

    def __init__(self, order):
        self.attempts = []
        self.most_open = 0
        self._open = collections.Counter()
        self._order = order
        self._rng = random.Random(order.path)
        self._bursts = 0

    def run(self):
        """Keeps connections open and plays bursts until the end."""
        for host in self._order.hosts:
            for _ in range(self._order.idle_count):
                eventlet.spawn_after(self._rng.uniform(0.0, OPENING_S), self._keep_open, host)
        eventlet.spawn_n(self._read_commands)
        eventlet.sleep(max(0.0, self._order.ends_at - time.monotonic()))

    def _keep_open(self, host):
        while time.monotonic() < self._order.ends_at:
            try:
                with socket.create_connection((host, hosts.FIRST_PORT), CONNECT_TIMEOUT_S) as idle:
                    idle.settimeout(None)
                    self._wait_for_end(idle, host)
            except OSError:
                # The host is down, or has reset the connection.
                pass
            eventlet.sleep(self._rng.uniform(*REOPEN_PAUSE_S))

    def _wait_for_end(self, idle, host):
        self._open[host] += 1
        self.most_open = max(self.most_open, self._open[host])
        try:
            idle.recv(1)
        finally:
            self._open[host] -= 1

    def _read_commands(self):
        while True:
            hubs.trampoline(sys.stdin.fileno(), read=True)
            data = os.read(sys.stdin.fileno(), COMMAND_BYTES)
            if not data:
                return
            for host in data.decode().split():
                self._burst(host)

    def _burst(self, host):
        self._bursts += 1
        for number in range(BURST_COUNT):
            has_request = self._rng.random() < REQUEST_SHARE
            eventlet.spawn_n(self._connect, host, number, has_request)

    def _connect(self, host, number, has_request):
        request_id = f"{_BURST_PREFIX}{self._bursts}-{number}"
        try:
            address = (host, hosts.FIRST_PORT)
            with socket.create_connection(address, CONNECT_TIMEOUT_S) as client:
                if has_request:
                    self._request(client, host, request_id)
                else:
                    eventlet.sleep(SILENT_S)
        except OSError:
            # Nothing was sent on a connection that the host has not accepted in time.
            return

    def _request(self, client, host, request_id):
        now = time.monotonic()
        attempt = records.Attempt(
            request_id, self._order.kind, host, False, False, DEADLINE_S, now, now
        )
        target = f"{self._order.prefix}{request_id}"
        client.settimeout(DEADLINE_S)
        client.sendall(
            platformdata.format_request(
                f"GET {target}", request_id, key=target, deadline_ms=int(1000 * DEADLINE_S)
            )
        )
        self.attempts.append(attempt)
        try:
            attempt.status, headers, _ = platformdata.AnswerReader(client).read()
            attempt.is_signed = platformdata.is_signed(headers)
            attempt.end = records.End.ANSWERED
        except TimeoutError:
            attempt.end = records.End.CLIENT_LEFT
        except EOFError:
            attempt.end = records.End.HOST_CLOSED
        except OSError:
            attempt.end = records.End.HOST_RESET
        except (ValueError, KeyError, IndexError):
            attempt.end = records.End.NO_ANSWER
        attempt.ended_at = time.monotonic()


def is_of_burst(request_id):
    """Returns True if a request is one of a burst."""
    return request_id.startswith(_BURST_PREFIX)


def main():
    """Runs the order of the file that the command line names."""
    order = Order(**json.loads(pathlib.Path(sys.argv[1]).read_text(encoding="utf-8")))
    standstills = []
    eventlet.spawn_n(watch_standstills, standstills)
    crowd = Crowd(order)
    crowd.run()
    finished = [attempt for attempt in crowd.attempts if attempt.ended_at]
    for attempt in finished:
        attempt.standstill_s = sum_standstills(standstills, attempt)
    lateness_s = max((end - begin for begin, end in standstills), default=0.0)
    rows = [records.encode_attempt(attempt) for attempt in finished]
    pathlib.Path(order.path).write_bytes(msgpack.packb([lateness_s, rows, crowd.most_open]))


if __name__ == "__main__":
    main()
