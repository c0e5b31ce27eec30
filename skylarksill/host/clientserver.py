"""HTTP/1.1 server: runs the requests of a connection concurrently and answers in request order."""

import collections
import dataclasses
import time

import eventlet
import httptools
from eventlet.green import socket

from skylarksill import limits
from skylarksill.host import (
    _fairreads,
    _requestfields,
    _upstreamhttp,
    answers,
    cancellation,
    supervision,
)

LISTEN_BACKLOG = 1024
# Requests of one connection that are processed at the same time; further ones stay unread.
MAX_PIPELINED = 16
# After the last answer the server goes on reading until the client has sent nothing for this long,
# since closing a connection with unread bytes resets it, and the client can lose the answer.
LINGER_TIMEOUT_S = 1.0
# Longest time for which it reads on after its own last answer, also from a client that sends on.
MAX_LINGER_S = 5.0
# A connection whose client accepts no byte of an answer for this long is closed.
WRITE_TIMEOUT_S = 10.0
ACCEPT_RETRY_S = 0.05
# Default limit of the request bodies held in memory; the smallest hosts have 300 MB.
MAX_BUFFERED_BYTES = 64 * 1024 * 1024
# Answer to a request whose handler failed. It promises nothing, as the request may have run.
FAILED_STATUS = 502
# Bytes outside the head and the body of a request, such as an extension of a chunk's length.
MAX_FRAMING_BYTES = 16_384


class _BadRequestError(Exception):
    """A request can't be served; ``status`` is the HTTP status to answer with."""

    def __init__(self, status):
        super().__init__(status)
        self.status = status


@dataclasses.dataclass(slots=True)
class _PendingRequest:
    """A request whose answer has not been sent yet; ``data`` is the formatted answer."""

    method: bytes
    cancellation: cancellation.Cancellation
    data: bytes | None = None


class ClientServer:
    """Accepts connections and passes complete requests to a handler.

    Args:
      address: IP address and port to listen on.
      handle: Function of a records.Request and a Cancellation that returns a records.Answer, or
        None if the request was cancelled.
      find_limits: Function that returns the current records.ClientLimits.
      names: The records.HeaderNames.
      log: The EventLog.
      max_buffered_bytes: Bytes of request bodies that all connections may hold together.
      answer_buffers: The limits.BufferLimit that counts answers until they are delivered.

    Attributes:
      buffered_bytes: Bytes of bodies that are being read or served.
    """

    def __init__(
        self,
        address,
        handle,
        find_limits,
        names,
        log,
        max_buffered_bytes=MAX_BUFFERED_BYTES,
        answer_buffers=None,
    ):
        self.handle = handle
        self.find_limits = find_limits
        self.names = names
        self.log = log
        self.max_buffered_bytes = max_buffered_bytes
        self.answer_buffers = answer_buffers or limits.BufferLimit(max_buffered_bytes)
        self.buffered_bytes = 0
        self.is_leaving = False
        self.connections = set()
        self._socket = eventlet.listen(address, backlog=LISTEN_BACKLOG)
        self._thread = None

    @property
    def address(self):
        """IP address and port that the server listens on."""
        return self._socket.getsockname()[:2]

    @property
    def in_flight(self):
        """Number of requests whose answers have not been sent."""
        return sum(len(connection.pending) for connection in self.connections)

    def start(self):
        """Starts accepting connections."""
        self._thread = supervision.spawn_lasting(self.log, "client.accept", self._accept)

    def begin_shutdown(self):
        """Makes each connection close after the answer to its last request."""
        self.is_leaving = True

    def stop_listening(self):
        """Refuses new connections."""
        if self._thread is not None:
            self._thread.kill()
            self._thread = None
            self._socket.close()

    def close_idle(self):
        """Closes the connections that have no request in progress."""
        for connection in list(self.connections):
            if not connection.is_busy:
                supervision.attempt(self.log, "client.end", connection.end)

    def end_requests(self, status):
        """Answers all requests that have no answer yet, and ends what runs for them."""
        for connection in list(self.connections):
            supervision.attempt(self.log, "client.end", connection.end_requests, status)

    def _accept(self):
        while True:
            try:
                client, _ = self._socket.accept()
            except OSError as error:
                self.log.write("client.accept_failed", error=str(error))
                eventlet.sleep(ACCEPT_RETRY_S)
                continue
            supervision.spawn(self.log, "client.connection", _Connection(self, client).run)


class _Connection:
    """One client's connection."""

    def __init__(self, server, client):
        self.pending = collections.deque()
        self._server = server
        self._socket = client
        self._reader = _fairreads.FairReader(client)
        self._parsing = _fairreads.FairParsing(self._feed)
        self._is_writing = False
        self._is_closing = False
        self._is_disconnected = False
        self._begin_message()
        self._parser = httptools.HttpRequestParser(self)

    @property
    def is_busy(self):
        """True while a request is being read or answered."""
        return bool(self.pending) or self._started_at is not None

    def run(self):
        """Serves the connection until it ends."""
        self._server.connections.add(self)
        try:
            self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._socket.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _upstreamhttp.USER_TIMEOUT_MS
            )
            self._read_requests()
        except OSError as error:
            self._server.log.write("client.connection_lost", error=str(error))
        finally:
            self._discard_partial_request()
            self._drop_pending()
            self._server.connections.discard(self)
            self._socket.close()

    def end(self):
        """Closes an idle connection from another green thread."""
        self._is_closing = True
        self._shut_down(socket.SHUT_RDWR)

    def end_requests(self, status):
        """Answers the requests of the connection that have no answer yet."""
        self._is_closing = True
        for item in [item for item in self.pending if item.data is None]:
            answer = answers.make_answer(status, b"host stops\n")
            self._set_answer(item, answers.format_answer(answer, item.method, self._is_last(item)))
            item.cancellation.cancel()
        self._write_ready()

    def _read_requests(self):
        while not self._is_closing:
            while len(self.pending) >= MAX_PIPELINED and not self._is_closing:
                eventlet.sleep(0.01)
            data = self._receive()
            if not data:
                return
            try:
                self._parsing.parse(data)
                self._send_continue()
            except _BadRequestError as error:
                self._reject(error.status)
            except httptools.HttpParserCallbackError as error:
                self._reject_failed(error.__context__ or error)
            except (httptools.HttpParserError, httptools.HttpParserUpgrade):
                self._reject(400)
            except OSError:
                raise
            except Exception as error:
                self._reject_failed(error)
        self._linger()

    def _receive(self):
        """Returns the next bytes; none if the connection is to be closed."""
        client_limits = self._server.find_limits()
        while True:
            try:
                return self._reader.receive(time.monotonic() + self._find_timeout_s(client_limits))
            except TimeoutError:
                if self.pending:
                    continue
                if self._started_at is None:
                    return b""
                self._reject(408)
                return b""

    def _find_timeout_s(self, client_limits):
        if self._started_at is None:
            return client_limits.idle_timeout_s
        if self._is_head_complete:
            return client_limits.idle_timeout_s
        return max(0.01, self._started_at + client_limits.head_timeout_s - time.monotonic())

    def _feed(self, data):
        """Parses bytes; counts those that the parser reports only with the rest of their part."""
        self._unreported_bytes += len(data)
        self._parser.feed_data(data)
        is_inside_head = self._started_at is not None and not self._is_head_complete
        if is_inside_head and self._unreported_bytes > self._limits.max_head_bytes:
            raise _BadRequestError(431)
        if not is_inside_head and self._unreported_bytes > MAX_FRAMING_BYTES:
            raise _BadRequestError(400 if self._started_at is None else 413)

    def _send_continue(self):
        """Sends what the head of a request whose body is still due asks for."""
        if self._owes_continue:
            self._owes_continue = False
            self._socket.sendall(b"HTTP/1.1 100 Continue\r\n\r\n")

    # Callbacks of the parser.

    def on_message_begin(self):
        """Starts a request."""
        self._begin_message()
        self._started_at = time.monotonic()
        self._limits = self._server.find_limits()

    def on_url(self, url):
        """Appends a part of the request target."""
        self._target += url
        self._count_head_bytes(len(url))

    def on_header(self, name, value):
        """Adds a header."""
        self._headers.append((name.lower(), value))
        self._count_head_bytes(len(name) + len(value) + 4)

    def on_headers_complete(self):
        """Checks the complete head: the declared length, and answers ``Expect: 100-continue``."""
        self._is_head_complete = True
        self._unreported_bytes = 0
        fields = dict(self._headers)
        length = fields.get(b"content-length", b"0")
        if length.isdigit() and int(length) > self._limits.max_body_bytes:
            raise _BadRequestError(413)
        if fields.get(b"expect", b"").lower() == b"100-continue" and not self.pending:
            self._owes_continue = True

    def on_body(self, body):
        """Appends a part of the body, within the limits of the server and of the client."""
        self._unreported_bytes = 0
        self._body_bytes += len(body)
        self._server.buffered_bytes += len(body)
        if self._server.buffered_bytes > self._server.max_buffered_bytes:
            raise _BadRequestError(503)
        if self._body_bytes > self._limits.max_body_bytes:
            raise _BadRequestError(413)
        self._body += body

    def on_message_complete(self):
        """Starts processing a complete request."""
        if self._is_closing:
            return
        method = self._parser.get_method()
        is_persistent = self._parser.should_keep_alive()
        request = _requestfields.build_request(
            method, self._target, self._headers, bytes(self._body), self._server.names
        )
        if request is None:
            raise _BadRequestError(400)
        item = _PendingRequest(method, cancellation.Cancellation())
        self.pending.append(item)
        self._begin_message()
        if not is_persistent:
            # Further bytes on the connection are not read.
            self._is_closing = True
        eventlet.spawn_n(self._serve, item, request)

    def _begin_message(self):
        self._started_at = None
        self._is_head_complete = False
        self._target = b""
        self._headers = []
        self._head_bytes = 0
        self._unreported_bytes = 0
        self._owes_continue = False
        self._body = bytearray()
        self._body_bytes = 0

    def _discard_partial_request(self):
        """Discards a partly read request."""
        self._server.buffered_bytes -= self._body_bytes
        self._begin_message()

    def _count_head_bytes(self, size):
        self._unreported_bytes = 0
        self._head_bytes += size
        if self._head_bytes > self._limits.max_head_bytes:
            raise _BadRequestError(431)

    def _serve(self, item, request):
        try:
            answer = self._handle(item, request)
        except BaseException:
            # The green thread is ended, so the answers behind this one can't be sent in order.
            self._abandon()
            raise
        finally:
            self._server.buffered_bytes -= len(request.body)
        try:
            self._answer(item, answer)
        except Exception as error:
            self._server.log.write_exception("client.answer", error)
            self._abandon()

    def _handle(self, item, request):
        """Returns the handler's answer, or one that promises nothing if the handler fails."""
        try:
            return self._server.handle(request, item.cancellation)
        except Exception as error:
            return self._handle_failure("client.handle", error)

    def _format(self, item, answer):
        """Encodes a handler's answer, or one that promises nothing if that fails."""
        is_last = self._is_last(item)
        try:
            return answers.format_answer(answer, item.method, is_last)
        except Exception as error:
            answer = self._handle_failure("client.format", error)
            return answers.format_answer(answer, item.method, is_last)

    def _handle_failure(self, task, error):
        self._server.log.write_exception(task, error)
        return answers.make_answer(FAILED_STATUS, b"host failed\n")

    def _abandon(self):
        """Ends the connection, with all requests that have no answer yet."""
        self._is_closing = True
        self._drop_pending()
        self._shut_down(socket.SHUT_RDWR)

    def _answer(self, item, answer):
        if answer is None or item.data is not None or self._is_disconnected:
            return
        if self._server.is_leaving:
            self._is_closing = True
        self._set_answer(item, self._format(item, answer))
        self._write_ready()

    def _set_answer(self, item, data):
        item.data = data
        self._server.answer_buffers.hold(len(data))

    def _release_answer(self, item):
        if item.data is not None:
            self._server.answer_buffers.release(len(item.data))

    def _is_last(self, item):
        return self._is_closing and item is self.pending[-1]

    def _reject(self, status):
        """Answers an unreadable request with an error and closes the connection after it."""
        self._server.log.write("client.refused", status=status)
        self._is_closing = True
        item = _PendingRequest(b"GET", cancellation.Cancellation())
        data = answers.format_answer(answers.make_answer(status, b""), b"GET", True)
        self._set_answer(item, data)
        self.pending.append(item)
        self._discard_partial_request()
        self._write_ready()

    def _reject_failed(self, error):
        """Rejects a request after an exception while it was read; nothing of it was passed on."""
        if isinstance(error, _BadRequestError):
            self._reject(error.status)
            return
        self._server.log.write_exception("client.read", error)
        self._reject(503)

    def _write_ready(self):
        """Writes the finished answers that are next in order, in one green thread at a time."""
        if self._is_writing:
            return
        self._is_writing = True
        try:
            while self.pending and self.pending[0].data is not None and not self._is_disconnected:
                self._socket.settimeout(WRITE_TIMEOUT_S)
                self._socket.sendall(self.pending[0].data)
                if self.pending:
                    self._release_answer(self.pending.popleft())
        except OSError as error:
            self._server.log.write("client.write_failed", error=str(error))
            self._drop_pending()
            self._shut_down(socket.SHUT_RDWR)
            return
        finally:
            self._is_writing = False
        if self._is_closing and not self.pending:
            self._shut_down(socket.SHUT_WR)

    def _linger(self):
        """Discards input until the client closes its side, or is idle after the last answer."""
        answered_at = None
        while not self._is_disconnected:
            now = time.monotonic()
            if self.pending:
                answered_at = None
            elif answered_at is None:
                answered_at = now
            elif now - answered_at > MAX_LINGER_S:
                return
            try:
                if not self._reader.receive(now + LINGER_TIMEOUT_S):
                    return
            except TimeoutError:
                if not self.pending:
                    return

    def _drop_pending(self):
        self._is_disconnected = True
        for item in self.pending:
            self._release_answer(item)
            if item.data is None:
                item.cancellation.cancel()
        self.pending.clear()

    def _shut_down(self, how):
        try:
            self._socket.shutdown(how)
        except OSError as error:
            self._server.log.write("client.shutdown_failed", error=str(error))
