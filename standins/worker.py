"""Stand-in for an upstream on the platform, with faults that a test injects."""

import enum
import struct
import time

import eventlet
from eventlet.green import socket

from standins import platformdata

USUAL_HEADERS = ("X-Skylarksill-Server-Load: 1,0,4,100", "Keep-Alive: timeout=10")
SIGNATURE_HEADER = "X-Skylarksill-Response-Seal: test.seal"
# The pause between portions of an endless answer leaves processor time to the tests beside it.
ENDLESS_PORTION_BYTES = 16_384
ENDLESS_PAUSE_S = 0.005
# Links with a small window: the receive buffer, and segments as on Ethernet.
WINDOW_BYTES = 4_096
SEGMENT_BYTES = 1_460
# Bodies from this size on that a worker with EARLY_REFUSAL refuses before it has read them.
LONG_BODY_BYTES = 16_384


class Fault(enum.Enum):
    """Fault that the worker injects into each request."""

    NONE = "none"
    SHED = "shed"
    FOREIGN = "foreign"
    RESET_AFTER_RUN = "reset_after_run"
    LATE_EXTRA = "late_extra"
    LATE_REFUSAL = "late_refusal"
    EXTRA_BYTES = "extra_bytes"
    UNFRAMED = "unframed"
    UNFRAMED_RESET = "unframed_reset"
    TRUNCATED = "truncated"
    TRUNCATED_HEAD = "truncated_head"
    ENDLESS_HEAD = "endless_head"
    ENDLESS_BODY = "endless_body"
    NO_HTTP = "no_http"
    UNSIGNED = "unsigned"
    ERROR = "error"
    CRASH = "crash"
    EARLY_REFUSAL = "early_refusal"


class Worker:
    """Serves requests on a loopback address.

    Args:
      worker_id: Instance id that a request must expect; other requests get 421.
      work_s: Service time in seconds of a request whose target asks for no other.
      address: IP address and port to listen on; any free port if None.

    Attributes:
      fault: The current Fault.
      runs: Ids of the requests that it has started.
      ended: Ids of the requests that it has completed.
      heads: Head of each request as text.
      bodies: Body of each request.
      extra_headers: Header lines that each answer has besides its own.
      cold_until: Monotonic time until which its health answers say that it is cold.
      answers_health: False if it treats questions for its health like other requests.
      health_checks: Number of questions for its health.
      read_bytes: Bytes of a body that it reads at a time.
      read_pause_s: Pause after each read of a body, in seconds.
      on_refuse: Function called with the id of each request that it refuses, or None.
      on_run: Function called with the id of each request that starts, or None.
    """

    def __init__(self, worker_id, work_s=0.0, address=None):
        self.worker_id = worker_id
        self.work_s = work_s
        self.fault = Fault.NONE
        self.runs = []
        self.ended = []
        self.heads = []
        self.bodies = []
        self.extra_headers = []
        self.cold_until = 0.0
        self.answers_health = True
        self.health_checks = 0
        self.read_bytes = 65_536
        self.read_pause_s = 0.0
        self.on_run = None
        self.on_refuse = None
        self.connections = 0
        self._clients = []
        self._last_request_id = "none"
        self._socket = eventlet.listen(address or ("127.0.0.1", 0))
        self.address = self._socket.getsockname()
        self._thread = eventlet.spawn(self._accept)

    def set_small_window(self):
        """Makes the links to it have a small window, from the next connection on."""
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)

    def stop(self):
        """Stops accepting connections."""
        self._thread.kill()
        self._socket.close()

    def shut_down(self):
        """Stops accepting connections and closes all open ones, as the end of a process does."""
        self.stop()
        for client in list(self._clients):
            client.shutdown(socket.SHUT_RDWR)

    def close_newest(self):
        """Closes the connection that was accepted last."""
        self._clients[-1].shutdown(socket.SHUT_RDWR)

    def _accept(self):
        while True:
            client, _ = self._socket.accept()
            self.connections += 1
            eventlet.spawn_n(self._serve_connection, client)

    def _serve_connection(self, client):
        data = b""
        self._clients.append(client)
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
                if self.fault is Fault.EARLY_REFUSAL and size >= LONG_BODY_BYTES:
                    self._refuse_early(client, fields)
                    return
                while len(data) < size:
                    received = client.recv(self.read_bytes)
                    if not received:
                        return
                    data += received
                    if self.read_pause_s:
                        eventlet.sleep(self.read_pause_s)
                body, data = data[:size], data[size:]
                self.heads.append(head.decode())
                self.bodies.append(body)
                if not self._serve_request(client, head.split()[1].decode(), fields):
                    return
        except OSError:
            # The client has closed the connection, which cancels the request.
            return
        finally:
            self._clients.remove(client)
            client.close()

    def _serve_request(self, client, target, fields):
        request_id = fields.get("x-skylarksill-request-id", "")
        echo = f"X-Skylarksill-Request-Id: {request_id}"
        fault = self.fault
        if target == platformdata.HEALTH_PATH and self.answers_health:
            self.health_checks += 1
            return _send(client, 200, self._list_health_headers(), b"")
        if self.extra_headers:
            echo = "\r\n".join([echo, *self.extra_headers])
        if fault is Fault.SHED:
            if self.on_refuse is not None:
                self.on_refuse(request_id)
            headers = [echo, "X-Skylarksill-Not-Executed: 1", *self.extra_headers]
            return _send(client, 503, headers, b"")
        is_foreign = fields.get("x-skylarksill-expect-instance") != self.worker_id
        if is_foreign or fault is Fault.FOREIGN:
            return _send(client, 421, [echo], b"")
        self.runs.append(request_id)
        if self.on_run is not None:
            self.on_run(request_id)
        if not _wait_while_connected(client, platformdata.find_work_s(target) or self.work_s):
            return False
        self.ended.append(request_id)
        if fault is Fault.CRASH:
            self.stop()
            return _reset(client, echo, "", b"")
        previous_id, self._last_request_id = self._last_request_id, request_id
        body = platformdata.build_answer_body(self.worker_id, request_id, target)
        return _FAULTS[fault](client, echo, previous_id, body)

    def _refuse_early(self, client, fields):
        """Refuses a request whose body is not read; closing the connection then resets it."""
        request_id = fields.get("x-skylarksill-request-id", "")
        if self.on_refuse is not None:
            self.on_refuse(request_id)
        echo = f"X-Skylarksill-Request-Id: {request_id}"
        _send(client, 503, [echo, "X-Skylarksill-Not-Executed: 1", *self.extra_headers], b"")

    def _list_health_headers(self):
        cold_ms = max(0, int((self.cold_until - time.monotonic()) * 1000))
        return [
            f"X-Skylarksill-Instance-Id: {self.worker_id}",
            f"X-Skylarksill-Cold-Ms: {cold_ms}",
            *USUAL_HEADERS,
            *self.extra_headers,
        ]


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


def _answer(client, echo, previous_id, body):
    headers = [echo, SIGNATURE_HEADER]
    # The headers that a test adds replace the usual ones.
    headers += [line for line in USUAL_HEADERS if line.partition(":")[0] not in echo]
    return _send(client, 200, headers, body)


def _answer_error(client, echo, previous_id, body):
    return _send(client, 500, [echo, SIGNATURE_HEADER], body)


def _answer_unsigned(client, echo, previous_id, body):
    return _send(client, 200, [echo], body)


def _reset(client, echo, previous_id, body):
    client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    return False


def _answer_after_stale_answer(client, echo, previous_id, body):
    _send(
        client,
        200,
        [f"X-Skylarksill-Request-Id: {previous_id}", SIGNATURE_HEADER],
        b"of another request",
    )
    return _answer(client, echo, previous_id, body)


def _answer_after_stale_refusal(client, echo, previous_id, body):
    previous_echo = f"X-Skylarksill-Request-Id: {previous_id}"
    _send(client, 503, [previous_echo, "X-Skylarksill-Not-Executed: 1"], b"")
    return _answer(client, echo, previous_id, body)


def _answer_with_extra_bytes(client, echo, previous_id, body):
    _answer(client, echo, previous_id, body)
    client.sendall(b"bytes that belong to nothing")
    return True


def _answer_unframed(client, echo, previous_id, body):
    lines = ["HTTP/1.1 200 OK", echo, SIGNATURE_HEADER, "Connection: close"]
    client.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
    return False


def _answer_unframed_and_reset(client, echo, previous_id, body):
    _answer_unframed(client, echo, previous_id, body[:3])
    eventlet.sleep(0.05)
    return _reset(client, echo, previous_id, body)


def _answer_truncated(client, echo, previous_id, body):
    _send(client, 200, [echo, SIGNATURE_HEADER], body[:3], length=len(body))
    return False


def _answer_with_truncated_head(client, echo, previous_id, body):
    client.sendall(f"HTTP/1.1 200 OK\r\n{echo}\r\n{SIGNATURE_HEADER}\r\nConte".encode())
    return False


def _answer_with_endless_head(client, echo, previous_id, body):
    client.sendall(f"HTTP/1.1 200 OK\r\n{echo}\r\n{SIGNATURE_HEADER}\r\nX-Filler: ".encode())
    return _send_without_end(client, b"x")


def _answer_with_endless_body(client, echo, previous_id, body):
    lines = ["HTTP/1.1 200 OK", echo, SIGNATURE_HEADER, "Transfer-Encoding: chunked"]
    client.sendall("\r\n".join(lines).encode() + b"\r\n\r\n")
    return _send_without_end(client, b"1\r\nx\r\n")


def _send_without_end(client, unit):
    """Sends a unit again and again until the client closes the connection."""
    portion = unit * (ENDLESS_PORTION_BYTES // len(unit))
    while True:
        client.sendall(portion)
        eventlet.sleep(ENDLESS_PAUSE_S)


def _answer_without_http(client, echo, previous_id, body):
    client.sendall(b"this is no answer\r\n\r\n")
    return False


_FAULTS = {
    Fault.NONE: _answer,
    Fault.RESET_AFTER_RUN: _reset,
    Fault.LATE_EXTRA: _answer_after_stale_answer,
    Fault.LATE_REFUSAL: _answer_after_stale_refusal,
    Fault.EXTRA_BYTES: _answer_with_extra_bytes,
    Fault.UNFRAMED: _answer_unframed,
    Fault.UNFRAMED_RESET: _answer_unframed_and_reset,
    Fault.TRUNCATED: _answer_truncated,
    Fault.TRUNCATED_HEAD: _answer_with_truncated_head,
    Fault.ENDLESS_HEAD: _answer_with_endless_head,
    Fault.ENDLESS_BODY: _answer_with_endless_body,
    Fault.NO_HTTP: _answer_without_http,
    Fault.UNSIGNED: _answer_unsigned,
    Fault.ERROR: _answer_error,
    Fault.EARLY_REFUSAL: _answer,
}
