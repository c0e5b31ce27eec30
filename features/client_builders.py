"""A client server for tests, and the clients that connect to it."""

import json
import os

import eventlet
from eventlet.green import socket

from features import host_builders, host_world
from skylarksill.host import answers, clientserver, counters, eventlog, records
from standins import platformdata

_, wire, _ = host_builders.import_platform()
# Bytes that a client reads at once.
READ_BYTES = 65_536


class Server:
    """A ClientServer whose handler answers with as many bytes as the target says.

    Args:
      work_s: Seconds that each request takes whose target states no other time.
    """

    def __init__(self, work_s):
        self.work_s = work_s
        self.handled = []
        self.unused = []
        self.cancellations = []
        self.counters = counters.Counters()
        self.limits = records.ClientLimits()
        self._log_bytes = bytearray()
        self._log = eventlog.EventLog("test", self._write_log)
        self.server = clientserver.ClientServer(
            ("127.0.0.1", 0),
            self._handle,
            lambda: self.limits,
            wire.HEADER_NAMES,
            self._log,
            counts=self.counters,
            release_descriptors=self._release,
        )
        self.server.start()

    def _release(self):
        """Closes an unused descriptor, as a host closes an idle connection to an upstream."""
        if not self.unused:
            return False
        os.close(self.unused.pop())
        return True

    def list_lines(self, event):
        """Returns the log lines of an event."""
        self._log.flush()
        lines = map(json.loads, self._log_bytes.splitlines())
        return [line for line in lines if line["event"] == event]

    def _handle(self, request, cancellation):
        self.handled.append(request)
        self.cancellations.append(cancellation)
        size, _, seconds = request.target.rpartition(b"/")[2].partition(b"?")
        eventlet.sleep(float(seconds or self.work_s))
        return answers.make_answer(200, b"x" * int(size))

    def _write_log(self, data):
        self._log_bytes += data
        return len(data)


def format_request(size, seconds=None):
    """Formats a request for an answer of ``size`` bytes after some seconds."""
    query = "" if seconds is None else f"?{seconds}"
    fields = f"Host: shop.example\r\n{platformdata.REQUEST_ID_FIELD}: bytes-{size}\r\n"
    return f"GET /bytes/{size}{query} HTTP/1.1\r\n{fields}\r\n".encode()


def connect(context, buffer_bytes=None, segment_bytes=None):
    """Returns a client's socket, with a receive buffer and segments of some bytes."""
    client = socket.socket()
    if segment_bytes:
        client.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, segment_bytes)
    if buffer_bytes:
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
    client.settimeout(host_world.ANSWER_TIMEOUT_S)
    client.connect(context.server.server.address)
    # The bound method would not keep the green socket, which closes as it is collected.
    context.add_cleanup(lambda: client.close())
    return client
