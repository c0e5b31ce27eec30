"""Random clients, upstreams and changes around the data path of a host, from one seed."""

import time

import eventlet

from features import host_builders, host_world
from skylarksill import records as shared
from skylarksill.host import quotas, records
from standins import platformdata, worker

NAMES = ("a", "b", "c")
NUMBERS = (
    *("0", "-1", "1.5", "9" * 400, "9" * 5_000, "1e308", "nan", "inf", "", "x", "\xff", ",,,"),
    *("1,0,4," + "9" * 400, "9" * 400 + ",0,4,100", "0," + "9" * 400 + ",4", "1,0,0", "1,0,4,-5"),
    *("timeout=0", "timeout=" + "9" * 400, "600", "+3", "1,0,4,100,7"),
)
LOAD_HEADER = "X-Skylarksill-Server-Load"
HEADERS = (
    *(LOAD_HEADER, "Keep-Alive", "Server-Limit", "Retry-After", "Server-Leaving", "Connection"),
    *("Transfer-Encoding", "Content-Length", "X-Skylarksill-Not-Executed", "X-Odd\xe9"),
)
STATUSES = (200, 200, 200, 101, 204, 304, 404, 421, 429, 500, 503, 599, 600, 999, 0, 1000)
REASONS = ("OK", "", "caf\xe9", "x" * 50)
REQUESTS = (("GET /read/1", None), ("POST /order/1", b"deposit"), ("HEAD /read/1", None))
DEADLINES_MS = ("0", "1", "50", "9" * 400, "x", "-5")
MAX_PIPELINED = 5
PAUSE_S = 0.02


class _OddWorker(worker.Worker):
    """A worker that answers with random statuses and headers, bytes, or nothing."""

    def __init__(self, worker_id, rng):
        self._rng = rng
        super().__init__(worker_id)

    def _serve_request(self, client, fields):
        rng = self._rng
        eventlet.sleep(rng.choice((0.0, 0.0, 0.0, 0.01, 0.1)))
        kind = rng.random()
        if kind < 0.05:
            return False
        if kind < 0.1:
            client.sendall(rng.randbytes(rng.randrange(1, 200)))
            return rng.random() < 0.5
        body = b"x" * rng.choice((0, 5, 3_000))
        lines = [
            f"HTTP/1.1 {rng.choice(STATUSES)} {rng.choice(REASONS)}",
            f"X-Skylarksill-Request-Id: {fields.get('x-skylarksill-request-id', '')}",
            worker.SIGNATURE_HEADER,
        ]
        for _ in range(rng.randrange(3)):
            name = rng.choice(HEADERS) if rng.random() < 0.1 else rng.choice(HEADERS[:2])
            lines.append(f"{name}: {rng.choice(NUMBERS)}")
        if rng.random() < 0.9:
            lines.append(f"Content-Length: {len(body)}")
        client.sendall("\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body)
        return rng.random() < 0.9


class Chaos:
    """A host whose clients, upstreams, configuration and peers do random things.

    Args:
      rng: Source of randomness.

    Attributes:
      world: The host_world.HostWorld.
      answered: Number of requests that got a final answer.
      silent: Descriptions of the requests that got none.
    """

    def __init__(self, rng):
        self._rng = rng
        workers = {name: _OddWorker(name, rng) for name in NAMES}
        self.world = host_world.HostWorld(NAMES, workers)
        self.answered = 0
        self.silent = []
        self._generation = 1

    def run(self, clients, rounds):
        """Runs clients, each of which sends requests ``rounds`` times, while all else changes."""
        changes = eventlet.spawn(self._change_repeatedly)
        threads = [eventlet.spawn(self._run_client, index, rounds) for index in range(clients)]
        for thread in threads:
            thread.wait()
        changes.kill()

    def _change_repeatedly(self):
        while True:
            eventlet.sleep(self._rng.random() * 4 * PAUSE_S)
            self._change()

    def _change(self):
        rng, belief, now = self._rng, self.world.belief, time.monotonic()
        self._generation += 1
        if rng.random() < 0.4:
            belief.accept_configuration(self._make_configuration())
        upstreams = {
            name: self._make_upstream(name, item.address)
            for name, item in self.world.workers.items()
            if rng.random() < 0.9
        }
        belief.replace_upstreams(upstreams, now)
        belief.replace_evacuated(("north-a",) if rng.random() < 0.05 else (), now)
        services = belief.configuration.services
        ends = belief.evacuation_ends
        bounds = host_builders.BOUNDS
        self.world.fleet.apply(belief.upstreams, services, belief.evacuated, bounds, now, ends)
        hosts = frozenset(("own", "peer")[: rng.randrange(1, 3)])
        self.world.fleet.view = quotas.HostView("own", hosts, hosts, rng.random() < 0.9)
        self.world.pool.drop_stale(belief.upstreams)

    def _make_configuration(self):
        rng = self._rng
        kinds = (("read", shared.WorkKind.IDEMPOTENT), ("order", shared.WorkKind.NON_IDEMPOTENT))
        routes = tuple(self._make_route(name, kind) for name, kind in kinds)
        services = {
            name: records.Service(
                name,
                rng.choice((0, 2, 330, 330, 330)),
                rng.choice((0.0, 3.0)),
                rng.choice((0.0, 0.01, 11.0)),
            )
            for name in rng.sample(("catalogue", "yard"), rng.randrange(3))
        }
        limits = records.ClientLimits(rng.choice((2_000, 20_000)), 10_000, 0.3, 2.0)
        return records.Configuration(self._generation, routes, services, limits)

    def _make_route(self, name, kind):
        rng = self._rng
        services = ("catalogue",) * 9 + ("yard", "missing")
        shares = tuple(
            records.Share(rng.choice(services), rng.choice((0.0, 1.0)))
            for _ in range(rng.randrange(1, 4))
        )
        return host_builders.build_route(
            route_id=name,
            prefix=f"/{name}/",
            kind=kind,
            shares=shares,
            timeout_s=rng.choice((0.0, 0.05, 1.0, 1.0, 1.0)),
            target_latency_s=rng.choice((0.0, 0.4, 0.4)),
            priority=rng.choice((0, 1, -3)),
            max_attempts=rng.choice((0, 1, 2, 5)),
            is_sticky=rng.random() < 0.7,
            regions=rng.choice((frozenset(), frozenset(), frozenset({"north"}))),
        )

    def _make_upstream(self, name, address):
        rng = self._rng
        ready, draining = records.UpstreamState.READY, records.UpstreamState.DRAINING
        return host_builders.build_upstream(
            name,
            rng.choice(("north", "north", "south")),
            address=address,
            incarnation=self._generation if rng.random() < 0.7 else 1,
            slots=rng.choice((1, 4, 100_000)),
            state=draining if rng.random() < 0.05 else ready,
            service_id="yard" if rng.random() < 0.1 else "catalogue",
            cold_s=3.0 if rng.random() < 0.1 else 0.0,
        )

    def _run_client(self, index, rounds):
        for number in range(rounds):
            eventlet.sleep(self._rng.random() * PAUSE_S)
            self._send_requests(f"{index}-{number}")

    def _send_requests(self, name):
        rng = self._rng
        count = rng.randrange(1, MAX_PIPELINED + 1)
        data = b"".join(self._format_request(f"{name}-{part}") for part in range(count))
        client = self.world.connect()
        try:
            client.sendall(data)
            if rng.random() < 0.1:
                eventlet.sleep(rng.random() * 2 * PAUSE_S)
                return
            received = b""
            while received.count(b"HTTP/1.1 ") < count:
                more = client.recv(65_536)
                if not more:
                    break
                received += more
            self.answered += received.count(b"HTTP/1.1 ")
            if received.count(b"HTTP/1.1 ") < count:
                self.silent.append((data, received))
        except OSError as error:
            self.silent.append((data, repr(error)))
        finally:
            client.close()

    def _format_request(self, request_id):
        rng = self._rng
        line, body = rng.choice(REQUESTS)
        key = str(rng.randrange(30))
        data = platformdata.format_request(line, request_id, body, key=key)
        if rng.random() < 0.2:
            deadline = rng.choice(DEADLINES_MS).encode()
            data = data.replace(b"Deadline-Ms: 2000", b"Deadline-Ms: " + deadline)
        return data
