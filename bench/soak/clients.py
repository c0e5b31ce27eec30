"""Clients that reuse their connections until the host closes them."""

import random
import time

import eventlet
from eventlet.green import socket

from bench.soak import checks, hosts, records
from standins import platformdata

CLIENT_COUNT = 12
MEAN_PAUSE_S = 0.12
CONNECT_TIMEOUT_S = 1.0
# Longer than the deadline in the requests.
ANSWER_TIMEOUT_S = 3.0
OBJECT_COUNT = 30


class Clients:
    """Load on all hosts of a world.

    Args:
      target: The world.World to load.
      seed: Seed for the choice of hosts and requests.
    """

    def __init__(self, target, seed):
        self._world = target
        self._seed = seed
        self._request_count = 0
        self.is_finishing = False
        self._threads = []

    def start(self):
        """Starts the clients."""
        for index in range(CLIENT_COUNT):
            rng = random.Random(f"{self._seed}-{index}")
            self._threads.append(eventlet.spawn(self._run, rng))

    def finish(self):
        """Stops the clients after their current requests."""
        self.is_finishing = True
        for thread in self._threads:
            thread.wait()

    def probe(self, host):
        """Sends one idempotent request to a host; returns True if it was served."""
        client = self._connect(host)
        if client is None:
            return False
        try:
            return self._send_request(client, host, "/read/probe", True) == 200
        finally:
            client.close()

    def _run(self, rng):
        while not self.is_finishing:
            host = rng.randrange(len(self._world.hosts))
            client = self._connect(host)
            if client is None:
                eventlet.sleep(MEAN_PAUSE_S)
                continue
            try:
                while not self.is_finishing and self._send_random_request(client, host, rng):
                    eventlet.sleep(rng.uniform(0.2, 1.8) * MEAN_PAUSE_S)
            finally:
                client.close()

    def _send_random_request(self, client, host, rng):
        """Sends a random request; returns True if the connection can be reused."""
        kind = rng.choices(("read", "order", "home", "gen"), (4, 3, 2, 2))[0]
        target = f"/{kind}/{rng.randrange(OBJECT_COUNT)}"
        if kind == "gen":
            target = f"{checks.GENERATION_PREFIX}{self._world.generation}/x"
        return self._send_request(client, host, target, kind != "order") is not None

    def _connect(self, host):
        try:
            address = (self._world.hosts[host].ip, hosts.FIRST_PORT)
            return socket.create_connection(address, CONNECT_TIMEOUT_S)
        except OSError:
            # The host is down: by a fault of the schedule, or the recovery check will report it.
            return None

    def _send_request(self, client, host, target, is_idempotent):
        """Sends a request and records its outcome.

        Returns the status, or None if there was no answer or the connection is to be closed.
        """
        self._request_count += 1
        request_id = f"r{self._seed}-{self._request_count}"
        request = records.ClientRequest(request_id, target, is_idempotent, host, time.monotonic())
        self._world.observations.client_requests.append(request)
        method, body = ("GET", None) if is_idempotent else ("POST", b"an order")
        message = platformdata.format_request(f"{method} {target}", request_id, body, key=target)
        try:
            client.settimeout(ANSWER_TIMEOUT_S)
            client.sendall(message)
            request.status, headers, request.body = platformdata.AnswerReader(client).read()
            request.is_signed = platformdata.is_signed(headers)
            is_last = headers.get("connection") == "close"
        except (OSError, EOFError):
            request.ended_at = time.monotonic()
            return None
        request.ended_at = time.monotonic()
        return None if is_last else request.status
