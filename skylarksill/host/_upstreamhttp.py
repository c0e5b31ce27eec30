"""HTTP/1.1 client for upstreams: one request at a time on a connection, with a typed outcome."""

import contextlib
import dataclasses
import math
import struct
import time

import eventlet
from eventlet.green import socket

from skylarksill.host import (
    _boundedsends,
    _fairreads,
    _responsereader,
    accounts,
    fields,
    records,
)

# The kernel resets a connection whose bytes stay unacknowledged for this long, so that a peer that
# no longer responds is noticed.
USER_TIMEOUT_MS = 4_000
# Receive buffer that the kernel is asked for. What it holds unread counts as memory of the process;
# it holds up to twice as much, and left alone it would grow to megabytes a connection.
RECEIVE_BUFFER_BYTES = 65_536
# Time to parse bytes that had arrived by the deadline of a request, but were read after it.
LATE_PARSING_S = 0.02
# Largest numbers of a load report; no upstream has as many requests or is as slow.
MAX_LOAD = 1_000_000
MAX_PACE_PERCENT = 100_000

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
# Bodies up to this size are sent in one piece with the head; larger ones are not copied for that.
MAX_JOINED_BYTES = 16_384
_BODILESS_STATUSES = (204, 304)
# Linger option with which a close drops what the kernel has not sent yet.
_NO_LINGER = struct.pack("ii", 1, 0)
# Statuses from which on an answer that comes early says that the rest of the body is not wanted.
_MIN_ERROR_STATUS = 400


@dataclasses.dataclass(frozen=True, slots=True)
class Demands:
    """What an upstream asks of the hosts in an answer.

    Attributes:
      is_leaving: True if it is to get no further requests.
      rate_limit: Requests a second that it takes from all hosts together, or None without a limit.
      pause_s: Seconds for which it is to get nothing from this host, 0 if it can go on.
    """

    is_leaving: bool = False
    rate_limit: float | None = None
    pause_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """A complete answer from the addressed upstream, with the load that it reports."""

    answer: records.Answer
    load: records.LoadReport | None
    demands: Demands = Demands()


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """The upstream has certainly not run the request.

    Attributes:
      is_shed: True if the upstream rejected the request for lack of capacity.
      is_misdirected: True if another upstream answered at the address.
      is_unreachable: True if no connection could be opened.
      is_unsent: True if nothing was sent: the upstream has left or a limit of it is used up.
      is_withheld: True if nothing was sent for a reason that lies in the request and its account.
    """

    reason: str
    is_shed: bool = False
    is_misdirected: bool = False
    is_unreachable: bool = False
    is_unsent: bool = False
    is_withheld: bool = False
    load: records.LoadReport | None = None
    demands: Demands = Demands()


@dataclasses.dataclass(frozen=True, slots=True)
class MayHaveRun:
    """There is no usable answer, and the upstream may have run the request.

    Attributes:
      is_broken: True if the connection was reset or closed before the answer was complete.
      opened_at: Monotonic time at which the upstream had accepted a connection that is broken.
    """

    reason: str
    is_broken: bool = False
    opened_at: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class TimedOut:
    """No complete answer arrived before the deadline."""

    reason: str = "timeout"


@dataclasses.dataclass(frozen=True, slots=True)
class Health:
    """What an upstream says of itself when it is asked for its health.

    Attributes:
      upstream_id: Its id, or None if it states none.
      cold_s: Time for which it stays cold, in seconds.
    """

    upstream_id: str | None
    cold_s: float
    demands: Demands = Demands()


class Connection:
    """A connection to an upstream.

    Attributes:
      opened_at: Monotonic time at which the upstream had accepted the connection.
      idle_since: Monotonic time since which the connection is idle.
      keep_alive_s: Longest idle time that the upstream announces, or None.
      is_reusable: False after anything that makes the connection unfit for further requests.
    """

    def __init__(self, upstream, sock, names, buffers):
        self.upstream = upstream
        self.opened_at = time.monotonic()
        self.idle_since = 0.0
        self.keep_alive_s = None
        self.is_reusable = True
        self._socket = sock
        # False while a request has been sent in part only.
        self._is_sent = True
        self._names = names
        self._reader = _fairreads.FairReader(sock)
        self._responses = _responsereader.ResponseReader(buffers)
        self._parsing = _fairreads.FairParsing(self._responses.feed)

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
        # A connection that can't be shut down has ended already.
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)

    def close(self):
        """Closes the connection; the kernel drops what it holds of a request sent in part."""
        self.is_reusable = False
        if not self._is_sent:
            with contextlib.suppress(OSError):
                self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
        self._socket.close()

    def exchange(self, request, message, deadline):
        """Sends a request and waits for its complete answer.

        Args:
          request: The records.Request.
          message: The bytes that ``format_request`` has returned.
          deadline: Monotonic time at which the wait ends.
        Returns:
          Answered, NotRun, MayHaveRun or TimedOut.
        """
        return self._run_exchange(request, message, deadline, self._classify_answer)

    def ask_health(self, target, deadline):
        """Asks the upstream for its health.

        Args:
          target: Request target of the health answer.
          deadline: Monotonic time at which the wait ends.
        Returns:
          Health, NotRun, MayHaveRun or TimedOut.
        """
        now = time.monotonic()
        request = records.Request(b"GET", target, (), b"", None, "", None, None, now)
        host = "{}:{}".format(*self.upstream.address).encode()
        message = b"GET " + target + b" HTTP/1.1\r\nhost: " + host + b"\r\n\r\n"
        return self._run_exchange(request, message, deadline, self._classify_health)

    def _run_exchange(self, request, message, deadline, classify):
        """Sends a message, and returns what ``classify`` makes of the answer, or a failure.

        One deadline holds for the whole exchange.
        """
        try:
            self._send(request, message, deadline)
            return self._read_answer(request, deadline, classify)
        except TimeoutError:
            self.is_reusable = False
            return TimedOut()
        except OSError:
            self.is_reusable = False
            return MayHaveRun("connection_reset", True, self.opened_at)
        except _responsereader.ResponseError:
            self.is_reusable = False
            return MayHaveRun("malformed_answer")
        except BaseException:
            # The rest of an answer may still arrive on the connection.
            self.is_reusable = False
            raise
        finally:
            if not self._is_sent:
                # The upstream takes further bytes for the rest of the body.
                self.is_reusable = False
            self._responses.end_exchange()

    def _send(self, request, message, deadline):
        """Sends a request, or as much of it as the upstream wants.

        An upstream may answer before it has read a body, and reset the connection then (RFC 9112,
        sections 9.5 and 9.6). So what it sends is read meanwhile, and what came before a reset.
        """
        parts = [message]
        if len(request.body) > MAX_JOINED_BYTES:
            # Without a copy of the body.
            parts.append(request.body)
        self._is_sent = False
        try:
            self._is_sent = all(self._send_part(request, part, deadline) for part in parts)
        except TimeoutError:
            raise
        except OSError:
            self._receive_rest(deadline)
            if not self._has_answer(request):
                raise

    def _send_part(self, request, part, deadline):
        """Sends a part of a request; returns False if the upstream has answered already."""
        rest = memoryview(part)
        while True:
            sent = _boundedsends.send_some(self._socket, rest)
            rest = rest[sent:]
            if not rest:
                return True
            if sent:
                # A fast upstream must not keep the processor to itself.
                eventlet.sleep(0)
                _boundedsends.check_deadline(deadline)
            else:
                _boundedsends.wait_for_progress(self._socket, deadline)
            has_ended = self._receive_early(deadline) == b""
            if has_ended or self._has_answer(request) or self._is_rejected(request):
                return False

    def _receive_early(self, deadline):
        """Parses bytes that have arrived while a request is sent.

        Returns:
          The bytes, empty at the end of the stream, or None if there are none.
        """
        try:
            data = self._socket.fd.recv(_fairreads.READ_BYTES)
        except BlockingIOError:
            return None
        except TimeoutError as error:
            # The kernel has given the connection up; it isn't that the deadline has passed.
            raise ConnectionAbortedError(error.errno, error.strerror) from error
        if data:
            self._parsing.parse(data, deadline)
            if len(self._responses.responses) > _responsereader.MAX_FOREIGN_ANSWERS:
                raise _responsereader.ResponseError("too many answers to other requests")
        return data

    def _receive_rest(self, deadline):
        """Parses what had arrived before the connection was reset."""
        try:
            while self._receive_early(deadline):
                pass
        except TimeoutError:
            raise
        except OSError:
            # Nothing more can be read.
            return

    def _has_answer(self, request):
        """Returns True if a complete answer to a request has arrived."""
        responses = self._responses.responses
        return any(not _is_foreign(request, response, self._names) for response in responses)

    def _is_rejected(self, request):
        """Returns True if the head of an answer has arrived that says the request has failed."""
        head = self._responses.find_open_head()
        return (
            head is not None
            and head.status >= _MIN_ERROR_STATUS
            and not _is_foreign(request, head, self._names)
        )

    def _read_answer(self, request, deadline, classify):
        """Reads until the answer to the request is complete and returns its outcome."""
        reader = self._responses
        foreign_count = 0
        while True:
            while reader.responses:
                response = reader.responses.popleft()
                if not _is_foreign(request, response, self._names):
                    # Further bytes belong to no request.
                    self.is_reusable = response.is_kept_alive and not (
                        foreign_count or reader.has_surplus
                    )
                    return classify(request, response)
                # A late answer to an earlier request on this connection.
                foreign_count += 1
                if foreign_count > _responsereader.MAX_FOREIGN_ANSWERS:
                    raise _responsereader.ResponseError("too many answers to other requests")
            reader.check()
            data = self._reader.receive(deadline)
            if not data:
                self.is_reusable = False
                reader.end_of_stream()
                if reader.responses:
                    continue
                return MayHaveRun("connection_closed", True, self.opened_at)
            self._parsing.parse(data, max(deadline, time.monotonic() + LATE_PARSING_S))
            if request.method == b"HEAD" and reader.is_head_complete:
                reader.complete_response(False)

    def _classify_answer(self, request, response):
        """Returns the outcome of a response that is not known to belong to another request."""
        names = self._names
        headers = dict(response.headers)
        if request.request_id is not None and names.request_id not in headers:
            # Upstreams echo the id, so without one it is unknown which request was answered: a
            # repeated refusal would make a request that runs look as not run.
            self.is_reusable = False
            return MayHaveRun("unidentified_answer")
        load = parse_load(headers.get(names.load))
        self.keep_alive_s = parse_keep_alive(headers.get(b"keep-alive"))
        if response.status == 421:
            return NotRun("misdirected", is_misdirected=True)
        demands = _parse_demands(response.status, headers, names)
        if names.not_run in headers:
            is_shed = response.status in (429, 503)
            return NotRun("shed", is_shed=is_shed, load=load, demands=demands)
        if 200 <= response.status < 300 and not _is_signed(headers, names):
            self.is_reusable = False
            return MayHaveRun("unsigned_answer")
        answer = records.Answer(
            response.status, response.reason, filter_headers(response.headers), response.body
        )
        return Answered(answer, load, demands)

    def _classify_health(self, _request, response):
        """Returns the Health that an answer states; only a 200 says that the upstream is sound."""
        if response.status != 200:
            return NotRun("no_health")
        names = self._names
        headers = dict(response.headers)
        self.keep_alive_s = parse_keep_alive(headers.get(b"keep-alive"))
        upstream_id = headers.get(names.upstream)
        return Health(
            None if upstream_id is None else upstream_id.strip().decode("latin-1"),
            (_parse_number(headers.get(names.cold_ms)) or 0.0) / 1000,
            _parse_demands(response.status, headers, names),
        )


def _is_foreign(request, response, names):
    """Returns True if a response bears the id of another request."""
    return bool(response.get_values(names.request_id) - {request.request_id})


def _is_signed(headers, names):
    return names.request_id in headers and names.signature in headers


def connect(upstream, names, buffers, timeout_s):
    """Opens a connection to an upstream.

    Args:
      upstream: The records.Upstream.
      names: The records.HeaderNames.
      buffers: The limits.BufferLimit of the answers that all connections hold.
      timeout_s: Seconds after which connecting fails.
    Returns:
      A Connection.
    Raises:
      OSError: If connecting fails or takes longer than ``timeout_s``.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        sock.settimeout(timeout_s)
        _connect(sock, upstream.address)
    except BaseException:
        sock.close()
        raise
    return Connection(upstream, sock, names, buffers)


def _connect(sock, address):
    """Connects a green socket; raises OSError if that fails or takes longer than its time-out."""
    try:
        sock.connect(address)
    except TimeoutError as error:
        # The hub runs timers before it looks for sockets, so the connection may be open.
        try:
            sock.fd.getpeername()
        except OSError:
            raise error from None


def format_request(request, upstream_id, deadline_ms, names, identity):
    """Returns the bytes of a request to an upstream, without a body of over MAX_JOINED_BYTES.

    Args:
      request: The records.Request.
      upstream_id: Id of the only upstream that may answer.
      deadline_ms: Milliseconds after which the upstream stops processing the request.
      names: The records.HeaderNames.
      identity: The accounts.Unrestricted, Identified or Anonymous that the request belongs to.
    """
    lines = [request.method + b" " + request.target + b" HTTP/1.1"]
    replaced = (names.deadline, names.expected_upstream)
    lines += [
        name + b": " + value
        for name, value in accounts.select_headers(filter_headers(request.headers), identity, names)
        if name not in replaced
    ]
    lines.append(names.deadline + b": %d" % deadline_ms)
    lines.append(names.expected_upstream + b": " + upstream_id.encode())
    if request.body or request.method in (b"POST", b"PUT", b"PATCH"):
        lines.append(b"content-length: %d" % len(request.body))
    body = request.body if len(request.body) <= MAX_JOINED_BYTES else b""
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


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
        running, waiting, slots, *rest = value.split(b",")
        pace = fields.read_integer(rest[0], -MAX_PACE_PERCENT, MAX_PACE_PERCENT) if rest else 0
        return records.LoadReport(
            fields.read_integer(running, 0, MAX_LOAD),
            fields.read_integer(waiting, 0, MAX_LOAD),
            fields.read_integer(slots, 1, MAX_LOAD),
            pace / 100 if pace > 0 else 1.0,
        )
    except ValueError:
        return None


def _parse_demands(status, headers, names):
    """Returns the Demands that the headers of an answer state."""
    return Demands(
        is_leaving=headers.get(names.leaving, b"0").strip() not in (b"", b"0"),
        rate_limit=_parse_number(headers.get(names.rate_limit)),
        pause_s=(_parse_number(headers.get(b"retry-after")) or 0.0) if status == 503 else 0.0,
    )


def _parse_number(value):
    """Parses a number that is not negative; returns None if it is missing or malformed."""
    try:
        number = float(value) if value is not None else None
    except ValueError:
        return None
    return number if number is not None and 0.0 <= number < math.inf else None


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
