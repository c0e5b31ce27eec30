"""One connection of a client to a host: its requests, its answers, and how it ends."""

import collections
import dataclasses
import enum
import fcntl
import itertools
import math
import struct
import termios
import time

import eventlet
import httptools
from eventlet.green import socket

from skylarksill.host import (
    _fairreads,
    _requestfields,
    answers,
    cancellation,
    halfclose,
    supervision,
)

# Requests of one connection that are processed at the same time; further ones stay unread.
MAX_PIPELINED = 16
# After the last answer the server goes on reading until the client has received and sent nothing
# for this long, since what arrives after the close resets the connection, and the client can lose
# the end of the answer.
LINGER_TIMEOUT_S = 1.0
# Longest time for which it reads on after the client has received all of the last answer, or while
# the client receives nothing of it.
MAX_LINGER_S = 5.0
# While it waits for the client to receive the rest of the answer, it looks as often as this.
LINGER_POLL_S = 0.25
# A connection that was just opened or answered is not idle yet: the client's next request may be on
# its way, for about a round trip between the farthest regions.
MIN_IDLE_S = 0.2
# After the end of its stream, it looks as often as this whether the client still reads.
HALF_CLOSED_POLL_S = 0.03
# Unread bytes that are discarded at most before a close that can't wait.
MAX_DISCARDED_BYTES = 1_048_576
# A connection whose client accepts no byte of an answer for this long is closed. The kernel's user
# time-out can't do that: it may count from the first of several pauses of a client.
WRITE_TIMEOUT_S = 10.0
# Bytes of answers that the kernel takes at most as a stop ends, to send them after the process; it
# grants this many unless it is set up otherwise, and reserves twice as many.
MAX_HANDED_OVER_BYTES = 212_992
# What the kernel tells of a connection (linux/tcp.h): its state, the segments on their way, and the
# bytes that the other side has acknowledged.
_TCP_INFO = struct.Struct("=B23xI92xQ")
# State of a connection that was reset, or that both sides have ended.
_TCP_CLOSE = 7
# What a client that waits for it before it sends the body of its request is sent.
_CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
# Answer to a request whose handler failed. It promises nothing, as the request may have run.
FAILED_STATUS = 502
# Bytes of a host name, a target or an id of a request in the log.
MAX_LOGGED_NAME = 100
# Requests without an answer whose ids are logged.
MAX_LOGGED_REQUESTS = 4
# Bytes outside the head and the body of a request, such as an extension of a chunk's length.
MAX_FRAMING_BYTES = 16_384

# A client whose request was refused here may send it to another host at once.
REFUSED_RETRY_AFTER_S = 0.02
_REFUSAL_HEADERS = ((b"retry-after", b"%.3f" % REFUSED_RETRY_AFTER_S),)


class Cause(enum.StrEnum):
    """Why a connection ended, for logs and counters.

    HALF_CLOSED stands for requests that the host has dropped, as their client has ended its sending
    side and can't be reached any more.
    """

    CLIENT_LEFT = "client_left"
    HALF_CLOSED = "half_closed"
    RESET = "reset"
    IDLE_TIMEOUT = "idle_timeout"
    LAST_ANSWER = "last_answer"
    NOT_RECEIVED = "not_received"
    WRITE_FAILED = "write_failed"
    STOP_IDLE = "stop_idle"
    STOP_DEADLINE = "stop_deadline"
    ERROR = "error"

    @property
    def is_by_client(self):
        """Whether the client ended the connection, as far as the host can tell."""
        return self in (Cause.CLIENT_LEFT, Cause.RESET, Cause.WRITE_FAILED)


class _State(enum.Enum):
    """What a connection still does. States follow each other in this order; some are left out.

    Only ``Connection._end`` and the states that lead to it close a connection: one that has owed
    an answer first discards input, as a close with unread bytes resets the connection, and the
    client loses what it has not received.
    """

    SERVING = "reads requests"
    ANSWERING = "takes no further request and sends the answers that it owes"
    LINGERING = "has sent its last answer and discards input"
    ENDED = "is about to be closed"


class _BadRequestError(Exception):
    """A request can't be served; ``status`` is the HTTP status to answer with."""

    def __init__(self, status, reason):
        super().__init__(reason)
        self.status = status


@dataclasses.dataclass(slots=True)
class _PendingRequest:
    """A request whose answer has not been sent yet.

    Attributes:
      data: The formatted answer, or None.
    """

    request_id: bytes | None
    method: bytes
    cancellation: cancellation.Cancellation
    data: bytes | None = None


class Connection:
    """Reads the requests of one client, and sends their answers in the order of the requests.

    Args:
      server: The clientserver.ClientServer.
      client: The client's green socket.
      is_surplus: True to refuse the first request if the server is still crowded as it arrives.

    Attributes:
      pending: Deque of the requests whose answers have not been sent.
    """

    def __init__(self, server, client, is_surplus=False):
        self.pending = collections.deque()
        self._server = server
        self._socket = client
        self._reader = _fairreads.FairReader(client)
        self._parsing = _fairreads.FairParsing(self._feed)
        self._is_writing = False
        self._is_surplus = is_surplus
        self._state = _State.SERVING
        self._quiet_since = time.monotonic()
        # When the client last received a part of the last answer, and the rest at that time.
        self._received_at = None
        self._unsent_bytes = 0
        self._cause = None
        self._dropped = 0
        self._dropped_ids = []
        # When the end of the client's stream was read, or None.
        self._half_closed_at = None
        # Bytes of the first pending answer that were sent before it was ready.
        self._begun_bytes = 0
        self._unparsed_bytes = 0
        self._begin_message()
        self._parser = httptools.HttpRequestParser(self)

    def run(self):
        """Serves the connection until it ends."""
        try:
            self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._read_requests()
        except OSError as error:
            self._server.log.write("client.connection_lost", error=str(error))
            self._set_cause(Cause.RESET)
        finally:
            self.close(Cause.ERROR)

    def close(self, cause):
        """Closes the connection at once.

        Args:
          cause: The Cause if none is known yet.
        """
        if self not in self._server.connections:
            return
        self._end(cause)
        self._report_end()
        self._discard_partial_request()
        self._discard_input()
        self._server.connections.discard(self)
        self._socket.close()

    def end_if_idle(self):
        """Ends the connection from another green thread if no request or answer is under way."""
        if self._is_idle():
            # A request that crosses the end would reset a closed connection, and the client would
            # lose what it has not read of the answer before.
            self._set_cause(Cause.STOP_IDLE)
            self._take_no_more()
            self._write_ready()
            return
        if not self._has_input() and self._has_lingered(time.monotonic()):
            # Its reader may still wait for a request.
            self._end_lingering()
            self._shut_down(socket.SHUT_RDWR)

    def refuse_unread(self, answer):
        """Answers a request that waits unread, without reading it, and ends the stream after that.

        Args:
          answer: The bytes of the answer, which says that the request was not run.
        Returns:
          True if a request was refused.
        """
        if self._has_work():
            return False
        try:
            if not self._socket.fd.recv(1, socket.MSG_PEEK):
                # The client has ended its side.
                return False
            sent = self._socket.fd.send(answer)
        except OSError:
            # Nothing has arrived, or the client doesn't receive; the connection ends as others do.
            return False
        if sent < len(answer):
            self._abandon()
            return False
        self._discard_input()
        self._begin_lingering()
        return True

    def refuse_partial(self):
        """Refuses a request that was read in part; returns True if there is one."""
        if self.pending or self._started_at is None or self._state is not _State.SERVING:
            return False
        # A client that doesn't read delays no other.
        supervision.spawn(self._server.log, "client.answer", self._reject, 503, "stopping")
        return True

    def _report_end(self):
        """Counts the end of the connection; logs it if bytes of requests or answers are lost."""
        unsent_bytes = _count_unsent_bytes(self._socket)
        self._server.counters.count("connections_ended", self._cause.value)
        self._server.counters.count("requests_unanswered", self._cause.value, self._dropped)
        if self._dropped or unsent_bytes or self._unparsed_bytes or self._started_at is not None:
            self._server.log.write(
                "client.closed",
                cause=self._cause.value,
                ended_by="client" if self._cause.is_by_client else "host",
                half_closed_ms=self._find_half_closed_ms(),
                unanswered=self._dropped,
                requests=self._dropped_ids,
                unparsed_bytes=self._unparsed_bytes,
                is_reading=self._started_at is not None,
                unsent_bytes=unsent_bytes,
                is_leaving=self._server.is_leaving,
            )

    def _find_half_closed_ms(self):
        """Returns the milliseconds since the end of the client's stream; None if it is open."""
        if self._half_closed_at is None:
            return None
        return int(1000 * (time.monotonic() - self._half_closed_at))

    def _set_cause(self, cause):
        """Notes why the connection ends; the first cause counts."""
        self._cause = self._cause or cause

    def end_requests(self, status):
        """Answers the requests of the connection that have no answer yet, without waiting."""
        self._hand_over()
        unanswered = [item for item in self.pending if item.data is None]
        if not unanswered:
            return
        self._take_no_more()
        for item in unanswered:
            answer = answers.make_answer(status, b"host stops\n")
            self._set_answer(item, answers.format_answer(answer, item.method))
            item.cancellation.cancel()
        # A client that doesn't read delays no other.
        supervision.spawn(self._server.log, "client.answer", self._write_ready)

    def _hand_over(self):
        """Lets the kernel take what is ready, which it sends on after the end of the process."""
        ready = sum(len(item.data) for item in self.pending if item.data is not None)
        size = min(ready, MAX_HANDED_OVER_BYTES)
        if self._socket.getsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF) < 2 * size:
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, size)

    def _has_work(self):
        """Returns True if a request is under way, or if none is taken any more."""
        has_request = bool(self.pending) or self._started_at is not None or self._unparsed_bytes
        return self._state is not _State.SERVING or bool(has_request)

    def _is_idle(self):
        if self._has_work():
            return False
        if time.monotonic() < self._quiet_since + MIN_IDLE_S:
            return False
        return not self._has_input() and not _count_unsent_bytes(self._socket)

    def _has_input(self):
        """Returns True if bytes or the end of the stream have arrived and were not read."""
        try:
            self._socket.fd.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            # The reader finds the error as well.
            return True
        return True

    def _read_requests(self):
        while self._state is _State.SERVING:
            while len(self.pending) >= MAX_PIPELINED and self._state is _State.SERVING:
                eventlet.sleep(0.01)
            data = self._receive()
            if data is None:
                break
            if not data:
                self._finish_half_closed()
                return
            if self._state is _State.SERVING:
                self._parse(data)
        self._linger()

    def _parse(self, data):
        self._unparsed_bytes = len(data)
        try:
            self._parsing.parse(data)
            self._send_continue()
        except _BadRequestError as error:
            self._reject(error.status, str(error))
        except httptools.HttpParserCallbackError as error:
            self._reject_failed(error.__context__ or error)
        except httptools.HttpParserUpgrade:
            self._reject(400, "upgrade")
        except httptools.HttpParserError as error:
            self._reject(400, str(error))
        except OSError:
            raise
        except Exception as error:
            self._reject_failed(error)
        finally:
            self._unparsed_bytes = 0

    def _receive(self):
        """Returns the next bytes, or None if no further request is to be read."""
        while self._state is _State.SERVING:
            times_out_at = self._find_timeout()
            wakes_at = times_out_at
            if self.pending:
                # Their answers may change the state.
                wakes_at = min(wakes_at, time.monotonic() + LINGER_TIMEOUT_S)
            try:
                data = self._reader.receive(wakes_at)
                self._quiet_since = time.monotonic()
                return data
            except TimeoutError:
                if time.monotonic() < self._find_timeout():
                    continue
            if self._started_at is not None:
                self._reject(408, "body too slow" if self._is_head_complete else "head too slow")
            else:
                self._set_cause(Cause.IDLE_TIMEOUT)
                self._take_no_more()
                self._write_ready()
        return None

    def _find_timeout(self):
        """Returns the monotonic time at which the client has been silent for too long."""
        client_limits = self._server.find_limits()
        if self._started_at is None:
            return math.inf if self.pending else self._quiet_since + client_limits.idle_timeout_s
        if self._is_head_complete:
            is_due = self._owes_continue and self.pending
            return math.inf if is_due else self._quiet_since + client_limits.idle_timeout_s
        return self._started_at + client_limits.head_timeout_s

    def _feed(self, data):
        """Parses bytes; counts those that the parser reports only with the rest of their part."""
        self._unparsed_bytes -= len(data)
        self._unreported_bytes += len(data)
        self._parser.feed_data(data)
        is_inside_head = self._started_at is not None and not self._is_head_complete
        if is_inside_head and self._unreported_bytes > self._limits.max_head_bytes:
            raise _BadRequestError(431, f"head of more than {self._limits.max_head_bytes} bytes")
        if not is_inside_head and self._unreported_bytes > MAX_FRAMING_BYTES:
            status = 400 if self._started_at is None else 413
            raise _BadRequestError(status, f"framing of more than {MAX_FRAMING_BYTES} bytes")

    def _send_continue(self):
        """Sends what the head of a request whose body is still due asks for.

        It follows the answers to the requests before.
        """
        if self._owes_continue and self._state is _State.SERVING and not self.pending:
            self._owes_continue = False
            self._socket.sendall(_CONTINUE_RESPONSE)

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
        """Adds a header; white space after its value, which the parser keeps, is not part of it."""
        self._headers.append((name.lower(), value.rstrip(b" \t")))
        self._count_head_bytes(len(name) + len(value) + 4)

    def on_headers_complete(self):
        """Checks the complete head: the declared length, and answers ``Expect: 100-continue``."""
        self._is_head_complete = True
        self._unreported_bytes = 0
        fields = dict(self._headers)
        length = fields.get(b"content-length", b"0")
        if length.isdigit() and int(length) > self._limits.max_body_bytes:
            raise _BadRequestError(413, f"body of more than {self._limits.max_body_bytes} bytes")
        self._owes_continue = fields.get(b"expect", b"").lower() == b"100-continue"

    def on_body(self, body):
        """Appends a part of the body, within the limits of the server and of the client."""
        self._unreported_bytes = 0
        self._body_bytes += len(body)
        self._server.buffered_bytes += len(body)
        if self._server.buffered_bytes > self._server.max_buffered_bytes:
            raise _BadRequestError(503, "buffers of bodies are full")
        if self._body_bytes > self._limits.max_body_bytes:
            raise _BadRequestError(413, f"body of more than {self._limits.max_body_bytes} bytes")
        self._body += body

    def on_message_complete(self):
        """Starts processing a complete request."""
        if self._state is not _State.SERVING:
            self._discard_partial_request()
            return
        if self._is_surplus and self._server.is_crowded:
            raise _BadRequestError(503, "too many connections")
        self._is_surplus = False
        method = self._parser.get_method()
        is_persistent = self._parser.should_keep_alive()
        request = _requestfields.build_request(
            method, self._target, self._headers, bytes(self._body), self._server.names
        )
        if request is None:
            raise _BadRequestError(400, "no site")
        item = _PendingRequest(request.request_id, method, cancellation.Cancellation())
        self.pending.append(item)
        self._begin_message()
        if not is_persistent:
            self._take_no_more()
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
            raise _BadRequestError(431, f"head of more than {self._limits.max_head_bytes} bytes")

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
        try:
            return answers.format_answer(answer, item.method)
        except Exception as error:
            answer = self._handle_failure("client.format", error)
            return answers.format_answer(answer, item.method)

    def _handle_failure(self, task, error):
        self._server.log.write_exception(task, error)
        return answers.make_answer(FAILED_STATUS, b"host failed\n")

    def _abandon(self):
        """Ends the connection, with all requests that have no answer yet."""
        self._end(Cause.ERROR)
        self._shut_down(socket.SHUT_RDWR)

    def _answer(self, item, answer):
        if answer is None or item.data is not None or item.cancellation.is_cancelled:
            return
        if self._state is _State.ENDED:
            return
        self._set_answer(item, self._format(item, answer))
        self._write_ready()

    def _set_answer(self, item, data):
        item.data = data
        self._server.answer_buffers.hold(len(data))

    def _release_answer(self, item):
        if item.data is not None:
            self._server.answer_buffers.release(len(item.data))

    def _take_no_more(self):
        """Reads no further request, and ends the stream after the answers that are due."""
        if self._state is _State.SERVING:
            self._state = _State.ANSWERING

    def _reject(self, status, reason):
        """Answers an unreadable request with an error and closes the connection after it."""
        if self._state is not _State.SERVING:
            # What follows the last request is no request, and its answer would follow the last one.
            return
        site = dict(self._headers).get(b"host", b"")
        self._server.log.write(
            "client.refused",
            status=status,
            reason=reason,
            site=site[:MAX_LOGGED_NAME].decode("latin-1"),
            target=self._target[:MAX_LOGGED_NAME].decode("latin-1"),
        )
        self._take_no_more()
        item = _PendingRequest(None, b"GET", cancellation.Cancellation())
        headers = _REFUSAL_HEADERS if status == 503 else ()
        data = answers.format_answer(answers.make_answer(status, b"", headers), b"GET")
        self._set_answer(item, data)
        self.pending.append(item)
        self._discard_partial_request()
        self._write_ready()

    def _reject_failed(self, error):
        """Rejects a request after an exception while it was read; nothing of it was passed on."""
        if isinstance(error, _BadRequestError):
            self._reject(error.status, str(error))
            return
        self._server.log.write_exception("client.read", error)
        self._reject(503, "host_failed")

    def _write_ready(self):
        """Writes the finished answers that are next in order, in one green thread at a time."""
        if self._is_writing:
            return
        self._is_writing = True
        try:
            while self.pending and self.pending[0].data is not None:
                if self._server.is_leaving:
                    self._take_no_more()
                data = self.pending[0].data
                if self._state is _State.ANSWERING and len(self.pending) == 1:
                    data = answers.mark_last(data)
                self._send(data[self._begun_bytes :])
                if self._state is _State.ENDED:
                    return
                self._begun_bytes = 0
                self._release_answer(self.pending.popleft())
                self._quiet_since = time.monotonic()
                self._send_continue()
        except OSError as error:
            self._server.log.write("client.write_failed", error=str(error))
            self._end(Cause.WRITE_FAILED)
            self._shut_down(socket.SHUT_RDWR)
        finally:
            self._is_writing = False
        if self._state is _State.ANSWERING and not self.pending:
            self._begin_lingering()

    def _begin_lingering(self):
        self._state = _State.LINGERING
        self._received_at = self._quiet_since = time.monotonic()
        self._unsent_bytes = _count_unsent_bytes(self._socket)
        self._shut_down(socket.SHUT_WR)

    def _send(self, data):
        """Sends bytes; raises a TimeoutError once the client accepts none of them for too long."""
        self._socket.settimeout(WRITE_TIMEOUT_S)
        rest = memoryview(data)
        while rest:
            unsent_bytes = _count_unsent_bytes(self._socket)
            try:
                rest = rest[self._socket.send(rest) :]
            except TimeoutError:
                # The kernel takes more only once much of its buffer is free.
                if _count_unsent_bytes(self._socket) >= unsent_bytes:
                    raise

    def _linger(self):
        """Discards input until the client has the last answer and closes its side or is silent."""
        self._discard_partial_request()
        while self._state in (_State.ANSWERING, _State.LINGERING):
            try:
                if not self._reader.receive(time.monotonic() + LINGER_POLL_S):
                    self._finish_half_closed()
                    return
                self._quiet_since = time.monotonic()
            except TimeoutError:
                # The client has been silent.
                pass
            if self._has_lingered(time.monotonic()):
                self._end_lingering()

    def _end_lingering(self):
        self._end(Cause.NOT_RECEIVED if self._unsent_bytes else Cause.LAST_ANSWER)

    def _finish_half_closed(self):
        """Delivers what is due after the end of the client's stream while the client reads."""
        is_answered = self._state is _State.LINGERING
        now = self._half_closed_at = time.monotonic()
        self._take_no_more()
        client = halfclose.HalfClosedClient(now)
        outcome = "answered" if self.pending else "idle"
        while self._state is _State.ANSWERING and self.pending:
            match client.decide(time.monotonic(), self._observe_delivery()):
                case halfclose.Decision.PROBE:
                    if not self._begin_answer():
                        outcome = "left"
                        self._end(Cause.CLIENT_LEFT)
                case halfclose.Decision.DROP:
                    outcome = "dropped"
                    self._drop_unready()
                case halfclose.Decision.LEAVE:
                    outcome = "left"
                    self._end(Cause.CLIENT_LEFT)
            eventlet.sleep(HALF_CLOSED_POLL_S)
        self._server.counters.count("connections_half_closed", outcome)
        self._end(Cause.LAST_ANSWER if is_answered else Cause.CLIENT_LEFT)

    def _observe_delivery(self):
        """Returns the halfclose.Delivery of what was sent to a client that reads on."""
        info = self._socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO.size)
        state, unacknowledged_segments, acknowledged_bytes = _TCP_INFO.unpack(info)
        return halfclose.Delivery(
            is_reset=state == _TCP_CLOSE,
            acknowledged_bytes=acknowledged_bytes,
            is_in_flight=unacknowledged_segments > 0,
            # An answer that is being written will be on its way.
            is_complete=not (self._is_writing or _count_unsent_bytes(self._socket)),
        )

    def _begin_answer(self):
        """Sends the next byte of the first answer; a connection that is closed is reset by it.

        Returns:
          False if the connection has been reset already.
        """
        probe = answers.ANSWER_START[self._begun_bytes : self._begun_bytes + 1]
        try:
            self._begun_bytes += self._socket.fd.send(probe)
        except BlockingIOError:
            # What the client has no room for probes it as well.
            return True
        except OSError as error:
            self._server.log.write("client.write_failed", error=str(error))
            return False
        return True

    def _drop_unready(self):
        """Drops the first request without an answer, and those behind it."""
        ready = list(itertools.takewhile(lambda item: item.data is not None, self.pending))
        dropped = list(self.pending)[len(ready) :]
        if dropped:
            self._set_cause(Cause.HALF_CLOSED)
        self._drop(dropped)
        for _ in dropped:
            self.pending.pop()

    def _drop(self, items):
        self._dropped += len(items)
        for item in items:
            if item.request_id is not None and len(self._dropped_ids) < MAX_LOGGED_REQUESTS:
                request_id = item.request_id[:MAX_LOGGED_NAME].decode("latin-1")
                self._dropped_ids.append(request_id)
            self._release_answer(item)
            if item.data is None:
                item.cancellation.cancel()

    def _has_lingered(self, now):
        if self._state is not _State.LINGERING:
            return False
        unsent_bytes = _count_unsent_bytes(self._socket)
        if unsent_bytes < self._unsent_bytes:
            self._received_at = now
        self._unsent_bytes = unsent_bytes
        if now >= self._received_at + MAX_LINGER_S:
            return True
        # The client reads what it has received later, and may send on meanwhile.
        silent_since = max(self._received_at, self._quiet_since)
        return not unsent_bytes and now >= silent_since + LINGER_TIMEOUT_S

    def _end(self, cause):
        """Makes the reader close the connection; requests without an answer are dropped."""
        self._set_cause(cause)
        self._state = _State.ENDED
        self._drop(self.pending)
        self.pending.clear()

    def _discard_input(self):
        """Reads what has arrived, as unread bytes would reset the connection."""
        discarded = 0
        while discarded < MAX_DISCARDED_BYTES:
            try:
                data = self._socket.fd.recv(_fairreads.READ_BYTES)
            except OSError:
                # Nothing more has arrived, or the connection is lost already.
                return
            if not data:
                return
            discarded += len(data)

    def _shut_down(self, how):
        try:
            self._socket.shutdown(how)
        except OSError as error:
            self._server.log.write("client.shutdown_failed", error=str(error))


def _count_unsent_bytes(sock):
    """Returns the bytes that the other side has not acknowledged; 0 if the socket is closed."""
    try:
        return struct.unpack("i", fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(4)))[0]
    except (OSError, ValueError):
        return 0
