"""Stand-in of an upstream on the users' platform, with faults that a test chooses."""

import enum
import struct

import eventlet
from eventlet.green import socket

from standins import platformdata

SEAL = "X-Skylarksill-Response-Seal: test.seal"


class Fault(enum.Enum):
    """What the worker does wrong with each request."""

    NONE = "none"
    SHED = "shed"
    FOREIGN = "foreign"
    RESET_AFTER_RUN = "reset_after_run"
    LATE_EXTRA = "late_extra"
    EXTRA_BYTES = "extra_bytes"
    UNFRAMED = "unframed"
    UNFRAMED_RESET = "unframed_reset"
    TRUNCATED = "truncated"
    NO_HTTP = "no_http"
    UNSIGNED = "unsigned"
    ERROR = "error"
    CRASH = "crash"


class Worker:
    """Serves requests on a loopback address.

    Args:
      worker_id: Id that a request must expect.
      work_s: Time that a request takes in seconds.
      address: IP address and port to listen on; any free port if None.

    Attributes:
      fault: The Fault in force.
      runs: Ids of the requests that it has begun to run.
      ended: Ids of those that it has run to the end.
      heads: Head of each request as text.
      bodies: Body of each request.
      on_run: Function of a request's id that is called as it begins to run, or None.
    """

    def __init__(self, worker_id, work_s=0.0, address=None):
        self.worker_id = worker_id
        self.work_s = work_s
        self.fault = Fault.NONE
        self.runs = []
        self.ended = []
        self.heads = []
        self.bodies = []
        self.on_run = None
        self.connections = 0
        self._last_id = "none"
        self._socket = eventlet.listen(address or ("127.0.0.1", 0))
        self.address = self._socket.getsockname()
        self._thread = eventlet.spawn(self._accept)

    def stop(self):
        """Stops accepting connections."""
        self._thread.kill()
        self._socket.close()

    def _accept(self):
        while True:
            client, _ = self._socket.accept()
            self.connections += 1
            eventlet.spawn_n(self._serve_connection, client)

    def _serve_connection(self, client):
        data = b""
        try:
            while True:
                while b"\r\n\r\n" not in data:
                    received = client.recv(65536)
                    if not received:
                        return
                    data += received
                head, _, data = data.partition(b"\r\n\r\n")
                fields = platformdata.parse_fields(head)
                size = int(fields.get("content-length", "0"))
                while len(data) < size:
                    data += client.recv(65536)
                body, data = data[:size], data[size:]
                self.heads.append(head.decode())
                self.bodies.append(body)
                if not self._serve_request(client, fields):
                    return
        except OSError:
            # The client has closed the connection, which ends the work.
            return
        finally:
            client.close()

    def _serve_request(self, client, fields):
        request_id = fields.get("x-skylarksill-request-id", "")
        echo = f"X-Skylarksill-Request-Id: {request_id}"
        fault = self.fault
        if fault is Fault.SHED:
            return _send(client, 503, [echo, "X-Skylarksill-Not-Executed: 1"], b"")
        is_foreign = fields.get("x-skylarksill-expect-instance") != self.worker_id
        if is_foreign or fault is Fault.FOREIGN:
            return _send(client, 421, [echo], b"")
        self.runs.append(request_id)
        if self.on_run is not None:
            self.on_run(request_id)
        if not _wait_while_connected(client, self.work_s):
            return False
        self.ended.append(request_id)
        if fault is Fault.CRASH:
            self.stop()
            return _reset(client, echo, "", b"")
        former, self._last_id = self._last_id, request_id
        return _FAULTS[fault](client, echo, former, f"{self.worker_id}:{request_id}".encode())


def _wait_while_connected(client, seconds):
    if not seconds:
        return True
    client.settimeout(seconds)
    try:
        client.recv(1, socket.MSG_PEEK)
        return False
    except TimeoutError:
        return True
    finally:
        client.settimeout(None)


def _send(client, status, headers, body, length=None):
    length = len(body) if length is None else length
    lines = [f"HTTP/1.1 {status} Status", *headers, f"Content-Length: {length}"]
    client.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
    return True


def _answer(client, echo, former, body):
    load = "X-Skylarksill-Server-Load: 1,0,4,100"
    return _send(client, 200, [echo, SEAL, load, "Keep-Alive: timeout=10"], body)


def _answer_error(client, echo, former, body):
    return _send(client, 500, [echo, SEAL], body)


def _answer_unsigned(client, echo, former, body):
    return _send(client, 200, [echo], body)


def _reset(client, echo, former, body):
    client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    return False


def _answer_after_former(client, echo, former, body):
    _send(client, 200, [f"X-Skylarksill-Request-Id: {former}", SEAL], b"of another request")
    return _answer(client, echo, former, body)


def _answer_with_extra_bytes(client, echo, former, body):
    _answer(client, echo, former, body)
    client.sendall(b"bytes that belong to nothing")
    return True


def _answer_unframed(client, echo, former, body):
    lines = ["HTTP/1.1 200 OK", echo, SEAL, "Connection: close"]
    client.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
    return False


def _answer_unframed_and_reset(client, echo, former, body):
    _answer_unframed(client, echo, former, body[:3])
    eventlet.sleep(0.05)
    return _reset(client, echo, former, body)


def _answer_truncated(client, echo, former, body):
    _send(client, 200, [echo, SEAL], body[:3], length=len(body))
    return False


def _answer_no_http(client, echo, former, body):
    client.sendall(b"this is no answer\r\n\r\n")
    return False


_FAULTS = {
    Fault.NONE: _answer,
    Fault.RESET_AFTER_RUN: _reset,
    Fault.LATE_EXTRA: _answer_after_former,
    Fault.EXTRA_BYTES: _answer_with_extra_bytes,
    Fault.UNFRAMED: _answer_unframed,
    Fault.UNFRAMED_RESET: _answer_unframed_and_reset,
    Fault.TRUNCATED: _answer_truncated,
    Fault.NO_HTTP: _answer_no_http,
    Fault.UNSIGNED: _answer_unsigned,
    Fault.ERROR: _answer_error,
}
