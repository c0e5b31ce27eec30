"""Builders of upstreams' bytes, requests and connections for tests of misbehaving peers."""

import socket
import time

from eventlet import patcher

from features import host_builders
from skylarksill.host import _upstreamhttp, records
from standins import rawpeer

_threading = patcher.original("threading")
_, _wire, _ = host_builders.import_platform()
NAMES = _wire.HEADER_NAMES
REQUEST = b"POST /order/1 HTTP/1.1\r\nHost: shop.example\r\n\r\n"
ID = b"X-Skylarksill-Request-Id: "
SEAL = b"X-Skylarksill-Response-Seal: test.seal\r\n"
NOT_RUN = b"X-Skylarksill-Not-Executed: 1\r\n"
OK = b"HTTP/1.1 200 OK\r\n"
FULL = b"HTTP/1.1 503 Full\r\n"
NO_BODY = b"Content-Length: 0\r\n\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"


def format_refusal(*request_ids):
    """Formats the refusal of a full upstream that bears some request ids."""
    ids = b"".join(ID + request_id + b"\r\n" for request_id in request_ids)
    return FULL + ids + NOT_RUN + NO_BODY


def format_answer(framing, body=b"whole body", request_id=b"r1"):
    """Formats a signed answer with ``a length``, ``chunks`` or ``neither length nor chunks``."""
    head = OK + ID + request_id + b"\r\n" + SEAL
    match framing:
        case "a length":
            return head + b"Content-Length: %d\r\n\r\n" % len(body) + body
        case "chunks":
            halves = (body[:4], body[4:])
            chunks = b"".join(b"%x\r\n%b\r\n" % (len(half), half) for half in halves)
            return head + CHUNKED + chunks + b"0\r\n\r\n"
        case "neither length nor chunks":
            return head + b"Connection: close\r\n\r\n" + body
    raise ValueError(framing)


SIGNED_HEAD = OK + ID + b"r1\r\n" + SEAL
# Beginning and unit of answers that never end.
ENDLESS = {
    "a header line": (OK + b"X: ", b"x" * 64),
    "headers": (OK, b"X: x\r\n"),
    "a reason phrase": (b"HTTP/1.1 200 ", b"x" * 64),
    "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "foreign answers": (b"", format_answer("a length", b"", b"r0")),
    "a body": (SIGNED_HEAD + b"Connection: close\r\n\r\n", b"x" * 64),
    "a chunked body": (SIGNED_HEAD + CHUNKED, b"1\r\nx\r\n"),
    "a chunk extension": (SIGNED_HEAD + CHUNKED + b"1;", b"x" * 64),
    "trailers": (SIGNED_HEAD + CHUNKED + b"0\r\n", b"X: x\r\n"),
    "line breaks": (b"", b"\r\n"),
}
ANSWERS = {
    "an earlier refusal": format_refusal(b"r0"),
    "an earlier refusal twice": format_refusal(b"r0") * 2,
    "a refusal without an id": format_refusal(),
    "a misdirection without an id": b"HTTP/1.1 421 Misdirected\r\n" + NO_BODY,
    "a refusal with two ids": format_refusal(b"r0", b"r1"),
    "a switch of protocols": b"HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
    "an earlier refusal and the own answer": format_refusal(b"r0") + format_answer("a length"),
}
CLIENT_HEADS = {
    "a chunk extension": b"POST /order/1 HTTP/1.1\r\nHost: shop.example\r\n" + CHUNKED + b"1;",
    "a chunked body": b"POST /order/1 HTTP/1.1\r\nHost: shop.example\r\n" + CHUNKED,
    "trailers": b"POST /order/1 HTTP/1.1\r\nHost: shop.example\r\n" + CHUNKED + b"0\r\n",
    "line breaks": b"",
}
# Parts from which the fuzz test composes upstreams' bytes.
FRAGMENTS = (
    OK,
    FULL,
    b"HTTP/1.1 421 Misdirected\r\n",
    b"HTTP/1.1 100 Continue\r\n\r\n",
    b"HTTP/1.1 204 None\r\n",
    ID + b"r1\r\n",
    ID + b"r0\r\n",
    SEAL,
    NOT_RUN,
    NO_BODY,
    CHUNKED,
    b"Content-Length: 5\r\n\r\n",
    b"Connection: close\r\n",
    b"\r\n",
    b"hello",
    b"5\r\nhello\r\n",
    b"0\r\n\r\n",
    format_answer("a length"),
    format_answer("chunks"),
    format_answer("a length", request_id=b"r0"),
    format_refusal(b"r0"),
    format_refusal(b"r1"),
    b"x" * 20_000,
)


INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </style>\r\n\r\n"
# Answers that an upstream sends before it has read a body.
EARLY_ANSWERS = {
    "a refusal": format_refusal(b"r1"),
    "a refusal after another": format_refusal(b"r0") + format_refusal(b"r1"),
    "an interim, then a refusal": INTERIM + format_refusal(b"r1"),
    "a failure": b"HTTP/1.1 500 Failed\r\n" + ID + b"r1\r\n" + SEAL + NO_BODY,
    "a success": format_answer("a length"),
    "a cut refusal": FULL + ID + b"r1\r\n" + NOT_RUN + b"Content-Length: 9\r\n\r\nshort",
    "a success without length": format_answer("neither length nor chunks"),
    "nothing that counts": INTERIM + format_refusal(b"r0"),
    "no answer": b"this is no answer\r\n\r\n",
    "an interim answer": INTERIM,
    "an earlier refusal": format_refusal(b"r0"),
}


def build_request(request_id=b"r1", body=b""):
    """Builds a Request."""
    return records.Request(
        b"POST", b"/order/1", (), body, request_id, "shop.example", None, None, time.monotonic()
    )


def build_connection(sock, buffers):
    """Builds the Connection of a host to an upstream at the other side of a socket."""
    upstream = host_builders.build_upstream("a")
    return _upstreamhttp.Connection(upstream, sock, NAMES, buffers)


class EndlessClient:
    """Connects to an address and sends without end from a thread of its own.

    Args:
      address: IP address and port.
      head: First bytes.
      unit: Bytes that are repeated.
      pause_s: Pause after each portion in seconds.
      portions: Iterable of portions instead of the repeated unit, or None.

    Attributes:
      received: Bytes that have arrived.
      has_ended: True once the other side has closed the connection.
    """

    def __init__(self, address, head, unit, pause_s=0.0, portions=None):
        self.received = bytearray()
        self.has_ended = False
        self._pause_s = pause_s
        self._portions = portions or rawpeer.repeat_without_end(head, unit)
        self._socket = socket.create_connection(address)
        self._threads = [
            _threading.Thread(target=run, daemon=True) for run in (self._send, self._receive)
        ]
        for thread in self._threads:
            thread.start()

    def stop(self):
        """Closes the connection and waits for the end of the threads."""
        self._socket.close()
        for thread in self._threads:
            thread.join(5.0)

    def _send(self):
        try:
            for portion in self._portions:
                self._socket.sendall(portion)
                if self._pause_s:
                    time.sleep(self._pause_s)
        except OSError:
            # The other side has closed the connection.
            self.has_ended = True

    def _receive(self):
        try:
            while data := self._socket.recv(65_536):
                self.received += data
        except OSError:
            # A reset ends the connection as well.
            self.has_ended = True
        self.has_ended = True
