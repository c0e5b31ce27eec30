"""A host's data path on loopback: client server, forwarder and stand-ins of upstreams."""

from eventlet.green import socket

from features import host_builders
from skylarksill.host import (
    belief,
    clientserver,
    counters,
    eventlog,
    fleet,
    forwarder,
    pool,
    records,
    steering,
)
from standins import worker

ANSWER_TIMEOUT_S = 5.0


class HostWorld:
    """One host with upstreams in its own region.

    Args:
      names: Names of the upstreams.
    """

    def __init__(self, names):
        _, wire, _ = host_builders.import_platform()
        self.workers = {name: worker.Worker(name) for name in names}
        self.log_bytes = bytearray()
        log = eventlog.EventLog("test", self._write_log)
        self.belief = belief.Belief()
        self.fleet = fleet.Fleet("north")
        self.forwarder = forwarder.Forwarder(
            self.belief,
            self.fleet,
            steering.Steering(self.fleet, host_builders.BOUNDS.max_shift),
            pool.ConnectionPool(wire.HEADER_NAMES),
            wire.HEADER_NAMES,
            log,
            counters.Counters(),
            host_builders.BOUNDS,
        )
        self.server = clientserver.ClientServer(
            ("127.0.0.1", 0), self.forwarder.serve, self._find_limits, wire.HEADER_NAMES, log
        )
        self.server.start()
        self.log = log
        self.configure()

    def configure(self):
        """Gives the host its configuration and upstreams."""
        upstreams = {
            name: host_builders.build_upstream(name, address=item.address)
            for name, item in self.workers.items()
        }
        self.belief.accept_configuration(host_builders.build_configuration())
        self.belief.replace_upstreams(upstreams, 0.0)
        services = self.belief.configuration.services
        self.fleet.apply(upstreams, services, (), host_builders.BOUNDS, 0.0)

    def stop(self):
        """Stops the host and the upstreams."""
        self.server.stop_listening()
        for item in self.workers.values():
            item.stop()

    def connect(self):
        """Returns a client's connection to the host."""
        client = socket.create_connection(self.server.address)
        client.settimeout(ANSWER_TIMEOUT_S)
        return client

    def count_runs(self):
        """Returns how often the upstreams have begun to run a request."""
        return sum(len(item.runs) for item in self.workers.values())

    def _find_limits(self):
        configuration = self.belief.configuration
        return configuration.limits if configuration else records.ClientLimits()

    def _write_log(self, data):
        self.log_bytes += data
        return len(data)


def format_request(line, request_id, body=None, headers=()):
    """Returns the bytes of a client's request with a deadline of 2 s."""
    lines = [
        f"{line} HTTP/1.1",
        "Host: shop.example",
        f"X-Skylarksill-Request-Id: {request_id}",
        "X-Skylarksill-Deadline-Ms: 2000",
        "Cookie: X-Skylarksill-Affinity-Key=17",
        *headers,
    ]
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + (body or b"")


class AnswerReader:
    """Reads answers from a client's connection."""

    def __init__(self, client):
        self._client = client
        self._data = b""

    def read(self):
        """Returns status, dict of headers and body of the next answer."""
        while b"\r\n\r\n" not in self._data:
            self._receive()
        head, _, self._data = self._data.partition(b"\r\n\r\n")
        headers = worker.parse_fields(head)
        size = int(headers["content-length"])
        while len(self._data) < size:
            self._receive()
        body, self._data = self._data[:size], self._data[size:]
        return int(head.split()[1]), headers, body

    def is_at_end(self):
        """Returns True if the host closes the connection and sends nothing more."""
        if self._data:
            return False
        return self._client.recv(1) == b""

    def _receive(self):
        data = self._client.recv(65536)
        if not data:
            raise EOFError(f"connection ended after {self._data!r}")
        self._data += data
