"""HTTP client for upstreams; each outcome has a verdict that says whether the request may have run.

Requests are not retried, and redirects are not followed. A send is cancelled by shutting down the
write side of its connection; the upstream confirms that its slot is free by closing its side.
"""

import collections
import contextlib
import dataclasses
import http.client

import eventlet
import urllib3.connection
import urllib3.exceptions
from eventlet.green import socket

from skylarksill import records

CONNECT_TIMEOUT_S = 1.0
DEADLINE_HEADER = "Skylarksill-Deadline-Unix-Ms"
REQUEST_ID_HEADER = "Skylarksill-Request-Id"
NOT_RUN_HEADER = "Skylarksill-Not-Run"
LEAVING_HEADER = "Skylarksill-Leaving"

_NOT_FORWARDED_HEADERS = frozenset(
    (
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "skylarksill-route",
        "skylarksill-ticket",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)
_CONNECTION_ERRORS = (OSError, http.client.HTTPException, urllib3.exceptions.HTTPError)
_BODILESS_STATUSES = (204, 304)


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """A complete answer; ``is_leaving`` says that the upstream announces that it is leaving."""

    answer: records.Answer
    is_leaving: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """The send ended without a usable answer; dispatching.SendFailed describes the fields."""

    verdict: records.Verdict
    reason: str
    has_upstream_died: bool = False
    has_run_ended: bool = True
    is_unreachable: bool = False
    is_shed: bool = False
    is_leaving: bool = False


class Sending:
    """Handle of one send, with which another green thread can cancel it."""

    def __init__(self):
        self.is_cancelled = False
        self._connection = None

    def attach(self, connection):
        """Sets the connection that carries the request."""
        self._connection = connection

    def detach(self):
        """Clears the connection, which may carry another request from now on."""
        self._connection = None

    def cancel(self):
        """Marks the send as cancelled and shuts down the write side of its connection."""
        self.is_cancelled = True
        if self._connection is not None and self._connection.sock is not None:
            with contextlib.suppress(OSError):
                self._connection.sock.shutdown(socket.SHUT_WR)


class _Connection(urllib3.connection.HTTPConnection):
    """Connection that records whether any byte of the current request may have been sent."""

    has_sent = False

    def _new_conn(self):
        connection = socket.create_connection((self.host, self.port), CONNECT_TIMEOUT_S)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection.settimeout(None)
        return connection

    def send(self, data):
        self.has_sent = True
        super().send(data)


class _AnswerTooLongError(Exception):
    pass


class UpstreamClient:
    """Sends requests to upstreams and keeps at most ``slots`` idle connections to each."""

    def __init__(self):
        self._idle = collections.defaultdict(collections.deque)

    def send(self, upstream, request, deadline_unix_ms, timeout_s, may_send, sending=None):
        """Sends a request and waits for its outcome.

        Args:
          upstream: The records.Upstream.
          request: The records.Request.
          deadline_unix_ms: Deadline that the upstream checks, in wall-clock milliseconds.
          timeout_s: Timeout of the whole send in seconds.
          may_send: Function without arguments that is called immediately before the first byte;
            nothing is sent if it returns False.
          sending: A Sending with which the send can be cancelled, or None.
        Returns:
          Answered or Failed.
        """
        sending = sending or Sending()
        connection = None
        timeout = eventlet.Timeout(timeout_s)
        try:
            connection = self._get_connection(upstream)
            sending.attach(connection)
            if sending.is_cancelled or not may_send():
                self._return_connection(upstream, connection)
                connection = None
                return Failed(records.Verdict.NOT_RUN, "not_allowed")
            response = _send_request(connection, request, deadline_unix_ms)
            outcome, is_reusable = _read_response(response, request.method)
            if is_reusable and not sending.is_cancelled:
                self._return_connection(upstream, connection)
                connection = None
            return outcome
        except eventlet.Timeout as error:
            if error is not timeout:
                raise
            return _make_timeout_outcome(connection)
        except (*_CONNECTION_ERRORS, ValueError) as error:
            return _make_error_outcome(error, connection, sending)
        finally:
            timeout.cancel()
            sending.detach()
            if connection is not None:
                connection.close()

    def count_idle(self, upstream_id):
        """Returns the number of idle connections of an upstream."""
        return len(self._idle[upstream_id])

    def close(self):
        """Closes all idle connections."""
        for connections in self._idle.values():
            while connections:
                connections.pop().close()

    def _get_connection(self, upstream):
        idle = self._idle[upstream.upstream_id]
        while idle:
            connection = idle.pop()
            is_same_address = (connection.host, connection.port) == (
                upstream.address,
                upstream.port,
            )
            if is_same_address and connection.is_connected:
                connection.has_sent = False
                return connection
            connection.close()
        connection = _Connection(upstream.address, upstream.port)
        connection.connect()
        return connection

    def _return_connection(self, upstream, connection):
        idle = self._idle[upstream.upstream_id]
        if len(idle) < upstream.slots:
            idle.append(connection)
        else:
            connection.close()


def _send_request(connection, request, deadline_unix_ms):
    headers = urllib3.HTTPHeaderDict(
        [
            (name, value)
            for name, value in request.headers
            if name.lower() not in _NOT_FORWARDED_HEADERS
        ]
    )
    headers[DEADLINE_HEADER] = str(int(deadline_unix_ms))
    headers[REQUEST_ID_HEADER] = request.request_id
    has_body = bool(request.body) or request.method not in ("GET", "HEAD", "OPTIONS")
    if has_body:
        headers["Content-Length"] = str(len(request.body))
    connection.request(
        request.method,
        request.path,
        body=request.body if has_body else None,
        headers=headers,
        preload_content=False,
        decode_content=False,
        enforce_content_length=True,
    )
    return connection.getresponse()


def _read_response(response, method):
    is_leaving = response.headers.get(LEAVING_HEADER) == "1"
    is_keep_alive = response.headers.get("Connection", "").lower() != "close"
    if response.headers.get(NOT_RUN_HEADER) == "1":
        is_complete = _discard_body(response)
        failed = Failed(
            records.Verdict.NOT_RUN, "not_run_by_upstream", is_shed=True, is_leaving=is_leaving
        )
        return failed, is_complete and is_keep_alive
    if not _has_length(response, method):
        # The end of a body without a length looks the same as a broken connection.
        return Failed(records.Verdict.MAY_HAVE_RUN, "answer_without_length"), False
    try:
        body = _read_body(response)
    except _AnswerTooLongError:
        failed = Failed(
            records.Verdict.RAN, "answer_too_long", has_run_ended=False, is_leaving=is_leaving
        )
        return failed, False
    headers = tuple(
        (name, value)
        for name, value in response.headers.items()
        if name.lower() not in _NOT_FORWARDED_HEADERS
    )
    return Answered(records.Answer(response.status, headers, body), is_leaving), is_keep_alive


def _has_length(response, method):
    if method == "HEAD" or response.status in _BODILESS_STATUSES:
        return True
    is_chunked = response.headers.get("Transfer-Encoding", "").lower() == "chunked"
    return is_chunked or "Content-Length" in response.headers


def _read_body(response):
    chunks = []
    size = 0
    for chunk in response.stream(65536, decode_content=False):
        size += len(chunk)
        if size > records.MAX_BODY_BYTES:
            raise _AnswerTooLongError
        chunks.append(chunk)
    return b"".join(chunks)


def _discard_body(response):
    try:
        return len(response.read(65536)) < 65536
    except _CONNECTION_ERRORS:
        return False


def _make_timeout_outcome(connection):
    if connection is None or not connection.has_sent:
        return Failed(records.Verdict.NOT_RUN, "connect_timeout", is_unreachable=True)
    return Failed(records.Verdict.MAY_HAVE_RUN, "timeout", has_run_ended=False)


def _make_error_outcome(error, connection, sending):
    if connection is None:
        return Failed(records.Verdict.NOT_RUN, "connect_failed", is_unreachable=True)
    if not connection.has_sent:
        is_invalid = isinstance(error, (ValueError, http.client.InvalidURL))
        reason = "invalid_request" if is_invalid else "connection_lost"
        return Failed(records.Verdict.NOT_RUN, reason)
    if sending.is_cancelled:
        return Failed(
            records.Verdict.MAY_HAVE_RUN, "cancelled", has_run_ended=_is_closed_by_upstream(error)
        )
    if _is_closed_by_upstream(error):
        return Failed(records.Verdict.MAY_HAVE_RUN, "connection_died", has_upstream_died=True)
    return Failed(records.Verdict.MAY_HAVE_RUN, "malformed_answer", has_run_ended=False)


def _is_closed_by_upstream(error):
    """Returns True if the upstream closed its side of the connection."""
    closing_errors = (OSError, http.client.RemoteDisconnected, http.client.IncompleteRead)
    if isinstance(error, urllib3.exceptions.ProtocolError):
        return True
    return isinstance(error, closing_errors) and not isinstance(error, TimeoutError)
