"""A process with the clients of a run: ``python -m bench.siterun.clients ORDER``, a JSON file."""

import dataclasses
import json
import pathlib
import random
import sys
import time

import skylarksill  # noqa: F401  silences eventlet's notice

import eventlet  # isort: skip
import msgpack  # isort: skip
from eventlet.green import socket  # isort: skip

from bench.siterun import conditions, connections, endings, links, records, shape, troubles
from bench.siterun.standstills import sum_standstills, watch_standstills
from bench.soak import hosts
from standins import platformdata

LOOKUP_TIMEOUT_S = 1.0
# Pause before a client asks again if it got no answer.
LOOKUP_PAUSE_S = 1.0
MAX_LOOKUPS = 3
RETRY_COUNT = 1
# Clients honour a Retry-After of up to this share of the time that they have left.
MAX_RETRY_AFTER_SHARE = 1 / 3
PROMISES = (408, 421, 429, 503)
MAX_PIPELINED = 6
# Share of the clients that read slowly, and of the bodies that are sent in chunks and in parts.
SLOW_SHARE = 0.1
CHUNKED_SHARE = 0.3
PART_COUNT = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """What a process of clients has to do.

    Attributes:
      seed: Seed of the process.
      zones: Names of the zones whose clients it plays.
      share: Share of the site's clients and requests; see shape.thin_out.
      hosts: Pairs of IP address and zone of all hosts.
      begins_at: Monotonic time of the first requests.
      ends_at: Monotonic time of the last requests.
      path: File that receives the attempts.
      conditions: Names of the conditions.Condition items that are played.
    """

    seed: int
    zones: list[str]
    share: float
    hosts: list[tuple[str, str]]
    begins_at: float
    ends_at: float
    path: str
    conditions: list[str] = dataclasses.field(default_factory=list)

    @property
    def site(self):
        """The shape.SiteShape that is played."""
        return conditions.build_site(self.conditions, self.share)


class _Client:
    """A client: it looks hosts up, keeps connections, and retries within its deadline.

    Attributes:
      zone: Its shape.ZoneShape.
    """

    def __init__(self, order, site, zone, number, attempts, relay):
        self._order = order
        self._site = site
        self.zone = zone
        self._name = f"{order.seed}-{zone.name}-{number}"
        self._rng = random.Random(self._name)
        self._attempts = attempts
        self._count = 0
        self._connections = []
        self._addresses = []
        self._expires_at = 0.0
        self._is_slow = self._rng.random() < SLOW_SHARE
        self._habits = troubles.ClientHabits(self._rng, order.conditions)
        self._endings = endings.Endings(self._rng, order.conditions)
        self._links = links.ClientLinks(self._rng, order.conditions, relay)

    def request(self):
        """Draws a request and sends it, with retries."""
        kinds = self._site.requests
        kind = self._rng.choices(kinds, [item.share for item in kinds])[0]
        target = f"{kind.prefix}{self._rng.randrange(kind.objects)}"
        deadline = time.monotonic() + kind.deadline_s
        failed = set()
        for _ in range(1 + RETRY_COUNT):
            connection = self._open_connection(kind, failed)
            remaining_s = deadline - time.monotonic()
            if connection is None or remaining_s <= 0.0:
                return
            exchange = self._exchange(connection, kind, target, remaining_s)
            if not _may_retry(exchange.attempt, kind):
                return
            failed.add(connection.host)
            left_s = max(0.0, deadline - time.monotonic())
            eventlet.sleep(min(exchange.retry_after_s, MAX_RETRY_AFTER_SHARE * left_s))

    def draw_count(self):
        """Draws how many requests the client sends in one moment."""
        return self._endings.draw_count()

    def leave(self):
        """Closes all connections, whatever waits on them."""
        for connection in self._connections:
            connection.leave()

    def _exchange(self, connection, kind, target, remaining_s):
        self._count += 1
        request_id = f"{self._name}-{self._count}"
        attempt = records.Attempt(
            request_id=request_id,
            kind=kind.name,
            host=connection.host,
            is_kept=connection.is_kept,
            is_behind=bool(connection.waiting),
            deadline_s=remaining_s,
            sent_at=time.monotonic(),
            is_old=self._habits.is_old,
            is_last=self._habits.draw_last(),
        )
        self._attempts.append(attempt)
        parts = self._format(kind, target, attempt)
        exchange = connection.send(attempt, parts, self._rng, self._endings.draw_half_close)
        with eventlet.Timeout(self._endings.draw_patience_s(remaining_s), False):
            exchange.ended.wait()
        if not exchange.ended.ready():
            connection.leave(self._endings.draw_way())
        return exchange

    def _format(self, kind, target, attempt):
        """Returns the parts of a request."""
        size = int(kind.request_bytes.draw(self._rng))
        body = b"o" * size
        headers, bodies = self._habits.list_headers(attempt.is_last), []
        if size and not attempt.is_old and self._rng.random() < CHUNKED_SHARE:
            headers.append("Transfer-Encoding: chunked")
            cut = size // PART_COUNT + 1
            pieces = [body[at : at + cut] for at in range(0, size, cut)]
            bodies = [b"%x\r\n%b\r\n" % (len(piece), piece) for piece in pieces] + [b"0\r\n\r\n"]
            body = None
        elif not size:
            body = None
        head = platformdata.format_request(
            f"{kind.method} {target}",
            attempt.request_id,
            body,
            headers=headers,
            key=target,
            deadline_ms=int(1000 * attempt.deadline_s),
            version="HTTP/1.0" if attempt.is_old else "HTTP/1.1",
        )
        return [head, *bodies]

    def _open_connection(self, kind, failed):
        """Returns a kept or a new connection, or None if no host accepts one."""
        self._look_up()
        self._connections = [item for item in self._connections if item.is_open]
        pipelines = kind.habit is shape.Habit.PIPELINE and not self._habits.is_old
        most_waiting = MAX_PIPELINED if pipelines else 0
        for connection in self._connections if not failed else ():
            if connection.is_reusable(self._addresses, most_waiting):
                return connection
        addresses = [item for item in self._addresses if item not in failed] or self._addresses
        if not addresses:
            return None
        host = self._rng.choice(addresses)
        try:
            connection = connections.Connection(
                host,
                self._site.client_delay_s,
                self._is_slow,
                self._rng if self._habits.has_small_window else None,
                self._links,
            )
        except OSError:
            # The host may be down, or about to end.
            failed.add(host)
            return None
        self._connections.append(connection)
        return connection

    def _look_up(self):
        """Asks up to three hosts, the nearest first, where to connect."""
        if time.monotonic() < self._expires_at:
            return
        # Its other requests go on with what is known.
        self._expires_at = time.monotonic() + LOOKUP_PAUSE_S
        regions = self._site.regions
        candidates = sorted(
            self._order.hosts,
            key=lambda item: (
                item[1] != self.zone.name,
                regions[item[1]] != self.zone.region,
                self._rng.random(),
            ),
        )
        for ip, _ in candidates[:MAX_LOOKUPS]:
            try:
                addresses, lifetime_s = _ask(ip, self.zone, self._site.client_delay_s)
            except (OSError, EOFError):
                # The next one is asked.
                continue
            self._addresses = [item.partition(":")[0] for item in addresses]
            self._expires_at = time.monotonic() + lifetime_s
            return


def _ask(ip, zone, delay_s):
    address = (ip, hosts.FIRST_PORT + 2)
    with socket.create_connection(address, LOOKUP_TIMEOUT_S) as client:
        client.settimeout(LOOKUP_TIMEOUT_S)
        client.sendall(platformdata.format_lookup(zone.region, zone.name))
        eventlet.sleep(2 * delay_s)
        status, _, body = platformdata.AnswerReader(client).read()
    if status != 200:
        raise EOFError(f"lookup answered {status}")
    return platformdata.parse_lookup(body)


def _may_retry(attempt, kind):
    if attempt.end is records.End.CLIENT_LEFT:
        return False
    if attempt.end is records.End.ANSWERED:
        if attempt.status in PROMISES:
            return True
        return kind.is_idempotent and attempt.status >= 500
    return kind.is_idempotent or attempt.is_behind


def run(order):
    """Plays the clients of some zones.

    Args:
      order: The Order.
    Returns:
      A tuple of the list of records.Attempt and the longest standstill in seconds.
    """
    site = order.site
    rng = random.Random(f"{order.seed} {order.zones}")
    attempts = []
    standstills = []
    eventlet.spawn_n(watch_standstills, standstills)
    relay = None
    if conditions.Condition.BEHIND_PROXY in order.conditions:
        relay = links.Relay(random.Random(f"{order.seed} {order.zones} relay"), order.hosts)
    clients = [
        _Client(order, site, zone, number, attempts, relay)
        for zone in site.zones
        if zone.name in order.zones
        for number in range(zone.clients)
    ]
    eventlet.sleep(max(0.0, order.begins_at - time.monotonic()))
    if conditions.Condition.LEAVING_CLIENTS in order.conditions:
        eventlet.spawn_n(_leave_in_bursts, random.Random(f"{order.seed} bursts"), clients)
    pool = eventlet.GreenPool(len(clients) * MAX_PIPELINED)
    for at, client in draw_arrivals(rng, site, clients, time.monotonic(), order.ends_at):
        eventlet.sleep(max(0.0, at - time.monotonic()))
        for _ in range(client.draw_count()):
            pool.spawn_n(client.request)
    pool.waitall()
    for attempt in attempts:
        # Pauses of the client itself are known already.
        own_s = sum_standstills(standstills, attempt)
        attempt.standstill_s = max(attempt.standstill_s, own_s)
    return attempts, max((end - begin for begin, end in standstills), default=0.0)


def _leave_in_bursts(rng, clients):
    """Has a share of the clients leave in one moment, again and again."""
    while True:
        eventlet.sleep(rng.expovariate(1.0 / troubles.BURST_PAUSE_S))
        for client in rng.sample(clients, int(troubles.BURST_SHARE * len(clients))):
            client.leave()


def draw_arrivals(rng, site, clients, begins_at, ends_at):
    """Yields pairs of the time of a request and its client.

    Args:
      rng: Random generator.
      site: The shape.SiteShape.
      clients: The clients of some zones, each with its shape.ZoneShape as ``zone``.
      begins_at: Time before all requests, in seconds.
      ends_at: Time before the last one.
    """
    phases = {zone.name: index / len(site.zones) for index, zone in enumerate(site.zones)}
    zone_count = len({client.zone.name for client in clients})
    most = 1.0 + site.wave.amplitude if site.wave else 1.0
    at = begins_at
    while at < ends_at:
        at += rng.expovariate(most * site.rate_per_s * zone_count / len(site.zones))
        client = rng.choice(clients)
        if site.wave:
            factor = site.wave.find_factor(phases[client.zone.name], at - begins_at)
            if rng.random() * most >= factor:
                continue
        yield at, client


def main():
    """Runs the order of the file that the command line names."""
    order = Order(**json.loads(pathlib.Path(sys.argv[1]).read_text(encoding="utf-8")))
    attempts, lateness_s = run(order)
    rows = [records.encode_attempt(attempt) for attempt in attempts]
    pathlib.Path(order.path).write_bytes(msgpack.packb([lateness_s, rows]))


if __name__ == "__main__":
    main()
