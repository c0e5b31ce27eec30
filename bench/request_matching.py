"""Requests in random forms, parsed in pieces of random sizes, and the routes that they get.

``python -m bench.request_matching --seed 1 --runs 1000`` sends the bytes of pipelined requests
through the parser of clients' connections and compares what comes out, and the route that a
RouteTable finds, with what was put in.
"""

import argparse
import collections
import dataclasses
import enum
import random
import sys
import time

import eventlet

from features import host_builders
from skylarksill.host import (
    _clientconnection,
    bytebudget,
    connectionplaces,
    counters,
    routes,
)

_, wire, _ = host_builders.import_platform()

SITES = ("shop.example", "a.shop.example", "xn--e1af.example", "192.0.2.7", "s")
IPV6_SITE = "[2001:db8::7]"
SEGMENTS = ("", "a", "b", "read", "re", "a%2Fb", "%C3%A9", "x-1", "..", ".", "http:", "a:b", "a@b")
QUERIES = (None, "", "a=/b/c/", "q=1&r=?/x", "u=http://other.example/read/", "/")
METHODS = (b"GET", b"POST", b"PUT", b"DELETE", b"HEAD")
MAX_ROUTES = 30
MAX_PIPELINED = 8
MAX_HEADERS = 40


class Form(enum.Enum):
    """Ways to name the site of a request beside a plain name in the Host header."""

    # The target is a URI, whose host counts (RFC 9112, section 3.2.2).
    ABSOLUTE = "absolute"
    IPV6 = "ipv6"
    # A name with a dot at its end is the same name in DNS.
    TRAILING_DOT = "trailing_dot"


@dataclasses.dataclass(frozen=True, slots=True)
class Sent:
    """A request as it is sent.

    Attributes:
      site: Site in lower case, without a port and a trailing dot.
      path: Path without the query.
      origin: Target in origin form, with the query.
      request_id: Its id.
      body: Its body.
      data: Its bytes.
      host: Value of the Host header to pass on.
      is_absolute: True if its target is a URI.
    """

    site: str
    path: str
    origin: bytes
    request_id: bytes
    body: bytes
    data: bytes
    host: bytes
    is_absolute: bool


class _Server:
    """What a Connection needs of its ClientServer."""

    def __init__(self, received):
        self.names = wire.HEADER_NAMES
        self.buffered_bytes = 0
        self.answer_buffers = bytebudget.ByteBudget(10_000_000, time.monotonic)
        self.counters = counters.Counters()
        self.places = connectionplaces.ConnectionPlaces()
        self.connections = set()
        self.is_leaving = False
        self.log = self
        self.rejections = []
        self._received = received

    def find_limits(self):
        return dataclasses.replace(
            host_builders.build_configuration().limits,
            max_head_bytes=100_000,
            max_body_bytes=100_000,
        )

    def hold_partial(self, head_bytes, body_bytes, holder):
        self.answer_buffers.hold(head_bytes + body_bytes, holder)

    def take_partial(self, head_bytes, body_bytes, held_bytes, holder):
        del held_bytes
        return self.answer_buffers.take(head_bytes + body_bytes, holder)

    def take_complete(self, head_bytes, body_bytes, held_bytes):
        del held_bytes
        return self.answer_buffers.take(head_bytes + body_bytes)

    def complete_partial(self, size, body_bytes, holder):
        del body_bytes
        self.answer_buffers.detach(size, holder)

    def release_partial(self, head_bytes, body_bytes, holder):
        self.answer_buffers.release(head_bytes + body_bytes, holder)

    def release_complete(self, head_bytes, body_bytes):
        self.answer_buffers.release(head_bytes + body_bytes)

    def handle(self, request, cancellation):
        del cancellation
        self._received.append(request)

    def write(self, event, **fields):
        self.rejections.append((event, fields))

    def write_exception(self, task, error):
        self.rejections.append((task, repr(error)))


class Run:
    """Random routes and pipelined requests of one connection.

    Args:
      seed: Seed of all choices.
      forms: The Forms that occur.
    """

    def __init__(self, seed, forms):
        self._forms = forms
        self._sites = (*SITES, IPV6_SITE) if Form.IPV6 in forms else SITES
        self._random = random.Random(f"requests {seed}")
        self._prefixes = sorted({self._make_prefix() for _ in range(MAX_ROUTES)})
        self._routes = tuple(
            host_builders.build_route(route_id=f"r-{index}", site=site, prefix=prefix)
            for index, (site, prefix) in enumerate(
                (site, prefix)
                for site in self._sites
                for prefix in self._prefixes
                if self._random.random() < 0.5
            )
        )
        self.counts = collections.Counter()

    def play(self):
        """Plays the run; returns texts that say what was wrong."""
        table = routes.RouteTable(self._routes)
        sent = [
            self._make_request(index) for index in range(self._random.randint(1, MAX_PIPELINED))
        ]
        received = []
        server = _Server(received)
        connection = _clientconnection.Connection(server, None)
        for piece in self._cut(b"".join(item.data for item in sent)):
            connection._parse(piece)
            if self._random.random() < 0.2:
                eventlet.sleep(0)
        eventlet.sleep(0)
        wrong = [f"rejected: {item}" for item in server.rejections]
        if len(received) != len(sent):
            wrong.append(f"{len(received)} of {len(sent)} requests: {[item.data for item in sent]}")
        for item, request in zip(sent, received, strict=False):
            wrong += self._compare(item, request, table)
        self.counts["requests"] += len(sent)
        return wrong

    def _compare(self, item, request, table):
        expected = self._find(item.site, item.path)
        found = table.find(request.site, request.path)
        self.counts["routed" if expected else "not_routed"] += 1
        self.counts["absolute"] += item.is_absolute
        wrong = []
        if found is not expected:
            wrong.append(f"route {found and found.prefix}, not {expected and expected.prefix}")
        values = dict(request.headers)
        pairs = (
            (request.request_id, item.request_id),
            (request.body, item.body),
            (request.target, item.origin),
            (request.site, item.site),
            (request.path, item.path),
            ([name for name, _ in request.headers].count(b"host"), 1),
            (values.get(b"host"), item.host),
            (values.get(b"x-id"), item.request_id),
        )
        wrong += [f"{seen!r}, not {sought!r}" for seen, sought in pairs if seen != sought]
        return [f"{text}: {item.data[:300]!r}" for text in wrong]

    def _find(self, site, path):
        """Returns the route with the longest matching prefix by a plain search, or None."""
        matching = [
            route
            for route in self._routes
            if route.site == site and path[: len(route.prefix)] == route.prefix
        ]
        return max(matching, key=lambda route: len(route.prefix), default=None)

    def _make_prefix(self):
        parts = self._random.choices(SEGMENTS, k=self._random.randint(0, 3))
        return "".join(f"/{part}" for part in parts) + "/"

    def _make_request(self, index):
        rng = self._random
        site = rng.choice((*self._sites, "other.example"))
        path = rng.choice(self._prefixes)
        if rng.random() < 0.5:
            path += "/".join(rng.choices(SEGMENTS, k=rng.randint(1, 3)))
        if rng.random() < 0.2:
            path = path[:-1] or "/"
        if path.startswith("//"):
            # In an absolute target it is unambiguous, but not in all parsers of an origin form.
            path = path.replace("//", "/", 1)
        query = rng.choice(QUERIES)
        origin = path if query is None else f"{path}?{query}"
        is_absolute = Form.ABSOLUTE in self._forms and rng.random() < 0.4
        authority = self._spell(site)
        host, target = authority, origin
        if is_absolute:
            scheme = rng.choice(("http", "HTTP", "https"))
            target = f"{scheme}://{authority}{origin}"
            if path == "/" and rng.random() < 0.5:
                target = f"{scheme}://{authority}{origin[1:]}"
            if rng.random() < 0.5:
                host = rng.choice(("other.example", "", self._spell(rng.choice(self._sites))))
        request_id = f"{index}-{rng.getrandbits(32):x}".encode()
        headers = [(b"X-Id", request_id), (wire.HEADER_NAMES.request_id, request_id)]
        headers += [
            (f"X-{number}".encode(), rng.choice((b"", b"v", b"Host: shop.example", b"v" * 300)))
            for number in range(rng.randrange(MAX_HEADERS))
        ]
        headers.append((rng.choice((b"Host", b"host", b"HOST")), host.encode()))
        body = b""
        method = rng.choice(METHODS)
        if method in (b"POST", b"PUT"):
            body = rng.choice(
                (b"", b"x" * rng.randint(1, 3_000), b"GET /a/ HTTP/1.1\r\nHost: s\r\n\r\n")
            )
        framed = body
        if method in (b"POST", b"PUT") and rng.random() < 0.5:
            headers.append((b"Transfer-Encoding", b"chunked"))
            framed = self._chunk(body)
        elif body:
            headers.append((b"Content-Length", str(len(body)).encode()))
        rng.shuffle(headers)
        head = b"%s %s HTTP/1.1\r\n" % (method, target.encode())
        head += b"".join(
            b"%s:%s%s\r\n" % (name, rng.choice((b"", b" ", b"  ")), value)
            for name, value in headers
        )
        data = head + b"\r\n" + framed
        return Sent(
            site, path, origin.encode(), request_id, body, data, authority.encode(), is_absolute
        )

    def _spell(self, site):
        rng = self._random
        if rng.random() < 0.3:
            site = rng.choice((site.upper(), site.title()))
        if Form.TRAILING_DOT in self._forms and rng.random() < 0.3 and site[-1].isalpha():
            site += "."
        return site + rng.choice(("", "", ":80", ":8381", ":"))

    def _chunk(self, body):
        parts = []
        while body:
            size = self._random.randint(1, len(body))
            part, body = body[:size], body[size:]
            parts.append(b"%x\r\n%s\r\n" % (size, part))
        return b"".join(parts) + b"0\r\n\r\n"

    def _cut(self, data):
        most = self._random.choice((1, 3, 20, 200, 2_000, 100_000))
        while data:
            size = self._random.randint(1, most)
            yield data[:size]
            data = data[size:]


def main():
    """Plays the runs; exits with 1 if something was wrong."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="seed of the first run")
    parser.add_argument("--runs", type=int, default=200)
    parser.add_argument("--form", type=Form, action="append", default=[])
    arguments = parser.parse_args()
    started_at = time.monotonic()
    counts = collections.Counter()
    failed = 0
    for seed in range(arguments.seed, arguments.seed + arguments.runs):
        run = Run(seed, arguments.form)
        wrong = run.play()
        counts += run.counts
        failed += bool(wrong)
        for text in wrong[:2]:
            print(f"seed {seed}: {text}")
    print(dict(counts))
    print(f"{arguments.runs} runs, {failed} wrong, {time.monotonic() - started_at:.1f} s")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
