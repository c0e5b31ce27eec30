"""HTTP/1.1 client for upstreams: one request at a time on a connection, with a typed outcome."""

import dataclasses
import errno
import time

import httptools
from eventlet import hubs
from eventlet.green import socket

from skylarksill.host import records

READ_BYTES = 65_536
# An answer is buffered until it is complete, so that a truncated one is never passed on.
MAX_ANSWER_BYTES = 8 * 1024 * 1024
# The kernel resets a connection whose bytes stay unacknowledged for this long, so that a peer that
# no longer responds is noticed.
USER_TIMEOUT_MS = 4_000

HOP_BY_HOP_HEADERS = frozenset(
    (
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)
_BODILESS_STATUSES = (204, 304)


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """A complete answer from the addressed upstream, with the load that it reports."""

    answer: records.Answer
    load: records.LoadReport | None


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """The upstream has certainly not run the request.

    Attributes:
      is_shed: True if the upstream rejected the request for lack of capacity.
      is_misdirected: True if another upstream answered at the address.
      is_unreachable: True if no connection could be opened.
    """

    reason: str
    is_shed: bool = False
    is_misdirected: bool = False
    is_unreachable: bool = False
    load: records.LoadReport | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class MayHaveRun:
    """There is no usable answer, and the upstream may have run the request.

    Attributes:
      is_broken: True if the connection was reset or closed before the answer was complete.
    """

    reason: str
    is_broken: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class TimedOut:
    """No complete answer arrived before the deadline."""

    reason: str = "timeout"


class _ResponseReader:
    """Parser callbacks that collect the response messages of a connection."""

    def __init__(self, connection):
        self._connection = connection
        self.messages = []
        self._reset()

    def _reset(self):
        self.reason = b""
        self.headers = []
        self.body = []
        self.size = 0
        self.is_message_open = False
        self.is_head_complete = False

    def on_message_begin(self):
        self._reset()
        self.is_message_open = True

    def on_status(self, reason):
        self.reason += reason

    def on_header(self, name, value):
        self.headers.append((name.lower(), value))

    def on_headers_complete(self):
        self.is_head_complete = True

    def on_body(self, body):
        self.size += len(body)
        if self.size > MAX_ANSWER_BYTES:
            raise ValueError("answer is too long")
        self.body.append(body)

    def on_message_complete(self):
        self.close_message(self._connection.should_keep_alive())

    def close_message(self, is_kept_alive):
        """Adds the current message to the complete ones; interim (1xx) responses are dropped."""
        status = self._connection.get_status()
        if status >= 200:
            body = b"".join(self.body)
            message = (status, self.reason, tuple(self.headers), body, is_kept_alive)
            self.messages.append(message)
        self._reset()


class Connection:
    """A connection to an upstream.

    Attributes:
      idle_since: Monotonic time since which the connection is idle.
      keep_alive_s: Longest idle time that the upstream announces, or None.
      is_reusable: False after anything that makes the connection unfit for further requests.
    """

    def __init__(self, upstream, sock, names):
        self.upstream = upstream
        self.idle_since = 0.0
        self.keep_alive_s = None
        self.is_reusable = True
        self._socket = sock
        self._names = names
        self._reader = _ResponseReader(self)
        self._parser = httptools.HttpResponseParser(self._reader)

    def should_keep_alive(self):
        """Returns True if the connection stays open after the current message."""
        return self._parser.should_keep_alive()

    def get_status(self):
        """Returns the status of the current message."""
        return self._parser.get_status_code()

    def is_still_open(self):
        """Returns True if the idle connection is open and nothing unexpected has arrived."""
        try:
            self._socket.fd.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def abort(self):
        """Shuts the connection down and so wakes a green thread that waits on it."""
        self.is_reusable = False
        try:
            self._socket.shutdown(socket.SHUT_RDWR)
        except OSError as error:
            if error.errno not in (errno.ENOTCONN, errno.EBADF):
                raise

    def close(self):
        """Closes the connection."""
        self.is_reusable = False
        self._socket.close()

    def exchange(self, request, message, deadline):
        """Sends a request and waits for its complete answer.

        Args:
          request: The records.Request.
          message: The bytes to send.
          deadline: Monotonic time at which the wait ends.
        Returns:
          Answered, NotRun, MayHaveRun or TimedOut.
        """
        try:
            self._socket.settimeout(max(0.001, deadline - time.monotonic()))
            self._socket.sendall(message)
            return self._read_answer(request, deadline)
        except TimeoutError:
            self.is_reusable = False
            return TimedOut()
        except (OSError, httptools.HttpParserError) as error:
            self.is_reusable = False
            is_broken = isinstance(error, OSError)
            return MayHaveRun("connection_reset" if is_broken else "malformed_answer", is_broken)

    def _read_answer(self, request, deadline):
        messages = self._reader.messages
        while True:
            while messages:
                outcome = self._classify_answer(request, *messages.pop(0))
                if outcome is not None:
                    if messages or self._reader.is_message_open:
                        # The upstream sent more than one answer; the rest belongs to no request.
                        self.is_reusable = False
                    return outcome
            data = _receive(self._socket, deadline)
            if not data:
                self.is_reusable = False
                outcome = self._classify_at_close(request)
                if outcome is not None:
                    return outcome
                return MayHaveRun("connection_closed", True)
            try:
                self._parser.feed_data(data)
            except httptools.HttpParserError:
                self.is_reusable = False
                if not messages:
                    raise
            if request.method == b"HEAD" and self._reader.is_head_complete:
                self._reader.close_message(False)
                self.is_reusable = False

    def _classify_at_close(self, request):
        reader = self._reader
        has_length = any(
            name in (b"content-length", b"transfer-encoding") for name, _ in reader.headers
        )
        if not reader.is_head_complete or has_length:
            return None
        # An answer without a length ends when its connection is closed.
        reader.close_message(False)
        return self._classify_answer(request, *reader.messages.pop(0)) if reader.messages else None

    def _classify_answer(self, request, status, reason, headers, body, is_kept_alive):
        names = self._names
        fields = dict(headers)
        if not is_kept_alive:
            self.is_reusable = False
        answer_request_id = fields.get(names.request_id)
        if answer_request_id is not None and answer_request_id != request.request_id:
            # A late answer to an earlier request on this connection.
            self.is_reusable = False
            return None
        load = parse_load(fields.get(names.load))
        self.keep_alive_s = parse_keep_alive(fields.get(b"keep-alive"))
        if status == 421:
            return NotRun("misdirected", is_misdirected=True)
        if names.not_run in fields:
            return NotRun("shed", is_shed=status in (429, 503), load=load)
        if 200 <= status < 300 and (answer_request_id is None or names.signature not in fields):
            self.is_reusable = False
            return MayHaveRun("unsigned_answer")
        forwarded_headers = filter_headers(headers)
        return Answered(records.Answer(status, reason, forwarded_headers, body), load)


def _receive(sock, deadline):
    """Returns the next bytes of a connection, or empty bytes at its end.

    eventlet's own ``recv`` returns empty bytes for a reset too, which would make a truncated answer
    look like one that ends when its connection is closed.

    Raises:
      OSError: If the connection was reset.
      TimeoutError: If nothing arrives before the monotonic time ``deadline``.
    """
    while True:
        try:
            return sock.fd.recv(READ_BYTES)
        except BlockingIOError:
            timeout_s = max(0.001, deadline - time.monotonic())
            hubs.trampoline(sock.fd, read=True, timeout=timeout_s, timeout_exc=TimeoutError)


def connect(upstream, names, timeout_s):
    """Opens a connection to an upstream.

    Raises:
      OSError: If connecting fails or takes longer than ``timeout_s``.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
        sock.settimeout(timeout_s)
        sock.connect(upstream.address)
    except BaseException:
        sock.close()
        raise
    return Connection(upstream, sock, names)


def format_request(request, upstream_id, deadline_ms, names):
    """Returns the bytes of a request to an upstream.

    Args:
      request: The records.Request.
      upstream_id: Id of the only upstream that may answer.
      deadline_ms: Milliseconds after which the upstream stops processing the request.
      names: The records.HeaderNames.
    """
    lines = [request.method + b" " + request.target + b" HTTP/1.1"]
    replaced = (names.deadline, names.expected_upstream)
    lines += [
        name + b": " + value
        for name, value in filter_headers(request.headers)
        if name not in replaced
    ]
    lines.append(names.deadline + b": %d" % deadline_ms)
    lines.append(names.expected_upstream + b": " + upstream_id.encode())
    if request.body or request.method in (b"POST", b"PUT", b"PATCH"):
        lines.append(b"content-length: %d" % len(request.body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + request.body


def filter_headers(headers):
    """Returns the end-to-end headers, without those that concern one connection only."""
    dropped = HOP_BY_HOP_HEADERS
    for name, value in headers:
        if name == b"connection":
            dropped = dropped | {item.strip().lower() for item in value.split(b",")}
    return tuple((name, value) for name, value in headers if name not in dropped)


def parse_load(value):
    """Parses a load header into a LoadReport; returns None if it is missing or malformed."""
    if value is None:
        return None
    try:
        numbers = [int(number) for number in value.split(b",")]
        running, waiting, slots = numbers[:3]
    except ValueError:
        return None
    if running < 0 or waiting < 0 or slots < 1:
        return None
    pace = numbers[3] / 100 if len(numbers) > 3 and numbers[3] > 0 else 1.0
    return records.LoadReport(running, waiting, slots, pace)


def parse_keep_alive(value):
    """Returns the idle timeout of a Keep-Alive header in seconds, or None without one."""
    for field in (value or b"").split(b","):
        name, _, seconds = field.strip().partition(b"=")
        if name.lower() == b"timeout" and seconds.isdigit():
            return float(seconds)
    return None


def is_bodiless(method, status):
    """Returns True if an answer has no body whatever its headers say."""
    return method == b"HEAD" or status in _BODILESS_STATUSES
