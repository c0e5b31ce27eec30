"""Clients that keep using their connections until the host is gone."""

import random
import time

import eventlet
from eventlet.green import socket

from bench.soak import checks, records, world
from standins import platformdata

CLIENTS = 12
PAUSE_S = 0.12
CONNECT_TIMEOUT_S = 1.0
# Longer than the deadline that the requests state.
ANSWER_TIMEOUT_S = 3.0
OBJECTS = 30


class Clients:
    """Load on all hosts of a world.

    Args:
      target: The world.World.
      seed: Seed of the choice of hosts and requests.
    """

    def __init__(self, target, seed):
        self._world = target
        self._seed = seed
        self._count = 0
        self.is_ending = False
        self._threads = []

    def start(self):
        """Starts the clients."""
        for index in range(CLIENTS):
            rng = random.Random(f"{self._seed}-{index}")
            self._threads.append(eventlet.spawn(self._run, rng))

    def finish(self):
        """Lets the clients end their present requests."""
        self.is_ending = True
        for thread in self._threads:
            thread.wait()

    def probe(self, host):
        """Sends one idempotent request to a host; returns True if it was served."""
        client = self._connect(host)
        if client is None:
            return False
        try:
            return self._request(client, host, "/read/probe", True) == 200
        finally:
            client.close()

    def _run(self, rng):
        while not self.is_ending:
            host = rng.randrange(len(self._world.hosts))
            client = self._connect(host)
            if client is None:
                eventlet.sleep(PAUSE_S)
                continue
            try:
                while not self.is_ending and self._send_one(client, host, rng):
                    eventlet.sleep(rng.uniform(0.2, 1.8) * PAUSE_S)
            finally:
                client.close()

    def _send_one(self, client, host, rng):
        """Sends a request; returns True if the connection can be used on."""
        kind = rng.choices(("read", "order", "home", "gen"), (4, 3, 2, 2))[0]
        target = f"/{kind}/{rng.randrange(OBJECTS)}"
        if kind == "gen":
            target = f"{checks.GENERATION_PREFIX}{self._world.generation}/x"
        return self._request(client, host, target, kind != "order") is not None

    def _connect(self, host):
        try:
            address = (self._world.hosts[host].ip, world.FIRST_PORT)
            return socket.create_connection(address, CONNECT_TIMEOUT_S)
        except OSError:
            # The host is down, which the schedule has caused or the recovery check will show.
            return None

    def _request(self, client, host, target, is_idempotent):
        """Sends a request and notes how it ends; returns the status, or None without an answer."""
        self._count += 1
        request_id = f"r{self._seed}-{self._count}"
        send = records.Send(request_id, target, is_idempotent, host, time.monotonic())
        self._world.seen.sends.append(send)
        method, body = ("GET", None) if is_idempotent else ("POST", b"an order")
        message = platformdata.format_request(f"{method} {target}", request_id, body, key=target)
        try:
            client.settimeout(ANSWER_TIMEOUT_S)
            client.sendall(message)
            send.status, headers, send.body = platformdata.AnswerReader(client).read()
            send.is_signed = platformdata.is_signed(headers)
            is_last = headers.get("connection") == "close"
        except (OSError, EOFError):
            send.ended_at = time.monotonic()
            return None
        send.ended_at = time.monotonic()
        return None if is_last else send.status
