"""Steps of host_endings.feature."""

import json
import struct

import eventlet
from behave import given, then, when
from eventlet.green import socket

from features import host_builders, host_world
from skylarksill.host import answers, clientserver, counters, eventlog, records

_, wire, _ = host_builders.import_platform()
# Resets the connection when it is closed.
RESETTING = struct.pack("ii", 1, 0)


class Server:
    """A ClientServer whose handler answers with as many bytes as the target says.

    Args:
      work_s: Seconds that each request takes.
    """

    def __init__(self, work_s):
        self.work_s = work_s
        self.handled = []
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
        )
        self.server.start()

    def list_lines(self, event):
        """Returns the log lines of an event."""
        self._log.flush()
        lines = map(json.loads, self._log_bytes.splitlines())
        return [line for line in lines if line["event"] == event]

    def _handle(self, request, cancellation):
        self.handled.append(request)
        eventlet.sleep(self.work_s)
        return answers.make_answer(200, b"x" * int(request.target.rpartition(b"/")[2]))

    def _write_log(self, data):
        self._log_bytes += data
        return len(data)


def format_request(size):
    """Formats a request for an answer of ``size`` bytes."""
    return b"GET /bytes/%d HTTP/1.1\r\nHost: shop.example\r\n\r\n" % size


def connect(context, buffer_bytes=None):
    """Returns a client's socket, with a receive buffer of some bytes."""
    client = socket.socket()
    if buffer_bytes:
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
    client.settimeout(host_world.ANSWER_TIMEOUT_S)
    client.connect(context.server.server.address)
    context.add_cleanup(client.close)
    return client


@given("a client server that answers with as many bytes as its target says, after {seconds:g} s")
def step_server(context, seconds):
    context.server = Server(seconds)
    context.add_cleanup(context.server.server.stop_listening)


@when("a client sends a request and {what} its connection before the answer")
def step_leave(context, what):
    client = connect(context)
    client.sendall(format_request(10))
    eventlet.sleep(0.1)
    if what == "resets":
        client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESETTING)
    client.close()


@then("the server logs that a connection ended by {cause} with {count:d} unanswered request")
def step_logged(context, cause, count):
    host_world.wait_until(2.0, lambda: context.server.list_lines("client.closed"))
    (line,) = context.server.list_lines("client.closed")
    assert (line["cause"], line["unanswered"]) == (cause, count), line
    assert context.server.counters.get("requests_unanswered", cause) == count
    assert context.server.counters.get("connections_ended", cause) == 1
