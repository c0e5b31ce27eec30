"""One connection of a client to a host: what it waits for, its states, and how it ends."""

import collections
import struct
import time

import eventlet
from eventlet.green import socket

from skylarksill.host import (
    _answersending,
    _connectionstates,
    _fairreads,
    _requestreading,
    _roommaking,
    answers,
    bytebudget,
    cancellation,
    halfclose,
    supervision,
)

# Requests of one connection that have no answer yet, beyond which no more bytes are read.
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
# What the kernel tells of a connection (linux/tcp.h): its state, the segments on their way, the
# round trip in microseconds, and the bytes that the other side has acknowledged.
_TCP_INFO = struct.Struct("=B23xI40xI48xQ")
# State of a connection that was reset, or that both sides have ended.
_TCP_CLOSE = 7


class Connection(
    _requestreading.RequestReading, _answersending.AnswerSending, _roommaking.RoomMaking
):
    """Reads the requests of one client, and sends their answers in the order of the requests.

    Args:
      server: The clientserver.ClientServer.
      client: The client's green socket.
      is_surplus: True to refuse the first request if there is still no place as it arrives.
      address: IP address of the client, or None.

    Attributes:
      pending: Deque of the requests whose answers have not been sent.
    """

    def __init__(self, server, client, is_surplus=False, address=None):
        self.pending = collections.deque()
        self._server = server
        self._socket = client
        self._reader = _fairreads.FairReader(client)
        self._is_surplus = is_surplus
        self._state = _connectionstates.State.SERVING
        self._quiet_since = time.monotonic()
        # When the client last received a part of the last answer, and the rest at that time.
        self._received_at = None
        self._unsent_bytes = 0
        self._cause = None
        # Requests that end without an answer.
        self._dropped = []
        # When the end of the client's stream was read, or None.
        self._half_closed_at = None
        self._holder = bytebudget.Holder(address, self._make_room, self._count_moved)
        self._begin_answering()
        self._begin_reading()

    def run(self):
        """Serves the connection until it ends."""
        try:
            self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._read_requests()
        except OSError as error:
            self._server.log.write("client.connection_lost", error=str(error))
            usual = _connectionstates.Cause.RESET
            self._set_cause(_connectionstates.find_cause(error, usual))
        finally:
            self.close(_connectionstates.Cause.ERROR)

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
            self._set_cause(_connectionstates.Cause.STOP_IDLE)
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
        if (
            self.pending
            or self._started_at is None
            or self._state is not _connectionstates.State.SERVING
        ):
            return False
        # A client that doesn't read delays no other.
        supervision.spawn(self._server.log, "client.answer", self._reject, 503, "stopping")
        return True

    def _report_end(self):
        """Counts the end of the connection; logs it if bytes of requests or answers are lost."""
        unsent_bytes = _connectionstates.count_unsent_bytes(self._socket)
        self._server.counters.count("connections_ended", self._cause.value)
        self._server.counters.count("requests_unanswered", self._cause.value, len(self._dropped))
        cut = self._count_cut()
        self._server.counters.count("requests_cut", self._cause.value, cut)
        self._server.ends.record(self._cause.value, len(self._dropped), cut)
        if self._dropped or unsent_bytes or self._unparsed_bytes or self._started_at is not None:
            self._server.log.write(
                "client.closed",
                cause=self._cause.value,
                ended_by="client" if self._cause.is_by_client else "host",
                half_closed_ms=self._find_half_closed_ms(),
                unanswered=len(self._dropped),
                cut=cut,
                **_connectionstates.describe_requests(self._dropped, time.monotonic()),
                unparsed_bytes=self._unparsed_bytes,
                is_reading=self._started_at is not None,
                unsent_bytes=unsent_bytes,
                is_leaving=self._server.is_leaving,
            )

    def _count_cut(self):
        """Returns the requests that were passed on and whose connection the host has ended."""
        if self._cause.is_by_client:
            return 0
        return sum(item.cancellation.upstream_id is not None for item in self._dropped)

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
            item.cancellation.cancel(cancellation.Reason.STOP_DEADLINE)
        # A client that doesn't read delays no other.
        supervision.spawn(self._server.log, "client.answer", self._write_ready)

    def _has_work(self):
        """Returns True if a request is under way, or if none is taken any more."""
        has_request = bool(self.pending) or self._started_at is not None or self._unparsed_bytes
        return self._state is not _connectionstates.State.SERVING or bool(has_request)

    def _is_idle(self):
        if self._has_work():
            return False
        if time.monotonic() < self._quiet_since + MIN_IDLE_S:
            return False
        return not self._has_input() and not _connectionstates.count_unsent_bytes(self._socket)

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
        while self._state is _connectionstates.State.SERVING:
            while (
                len(self.pending) >= MAX_PIPELINED
                and self._state is _connectionstates.State.SERVING
            ):
                eventlet.sleep(0.01)
            data = self._receive()
            if data is None:
                break
            if not data:
                self._finish_half_closed()
                return
            if self._state is _connectionstates.State.SERVING:
                self._parse(data)
        self._linger()

    def _receive(self):
        """Returns the next bytes, or None if no further request is to be read."""
        while self._state is _connectionstates.State.SERVING:
            times_out_at = self._find_timeout()
            wakes_at = times_out_at
            if self.pending:
                # Their answers may change the state.
                wakes_at = min(wakes_at, time.monotonic() + LINGER_TIMEOUT_S)
            try:
                data = self._reader.receive(wakes_at, self._server.read_bytes)
                self._quiet_since = time.monotonic()
                return data
            except TimeoutError:
                if time.monotonic() < self._find_timeout():
                    continue
            if self._started_at is not None:
                self._reject(408, "body too slow" if self._is_head_complete else "head too slow")
            else:
                self._set_cause(_connectionstates.Cause.IDLE_TIMEOUT)
                self._take_no_more()
                self._write_ready()
        return None

    def _abandon(self):
        """Ends the connection, with all requests that have no answer yet."""
        self._end(_connectionstates.Cause.ERROR)
        self._shut_down(socket.SHUT_RDWR)

    def _take_no_more(self):
        """Reads no further request, and ends the stream after the answers that are due."""
        if self._state is _connectionstates.State.SERVING:
            self._state = _connectionstates.State.ANSWERING

    def _begin_lingering(self):
        self._state = _connectionstates.State.LINGERING
        self._received_at = self._quiet_since = time.monotonic()
        self._unsent_bytes = _connectionstates.count_unsent_bytes(self._socket)
        self._shut_down(socket.SHUT_WR)

    def _linger(self):
        """Discards input until the client has the last answer and closes its side or is silent."""
        self._discard_partial_request()
        while self._state in (_connectionstates.State.ANSWERING, _connectionstates.State.LINGERING):
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
        self._end(
            _connectionstates.Cause.NOT_RECEIVED
            if self._unsent_bytes
            else _connectionstates.Cause.LAST_ANSWER
        )

    def _finish_half_closed(self):
        """Delivers what is due after the end of the client's stream while the client reads."""
        if self._state is _connectionstates.State.ENDED:
            # The host has ended the stream itself.
            return
        is_answered = self._state is _connectionstates.State.LINGERING
        now = self._half_closed_at = time.monotonic()
        self._take_no_more()
        client = halfclose.HalfClosedClient(now)
        outcome = "answered" if self.pending else "idle"
        while self._state is _connectionstates.State.ANSWERING and self.pending:
            match client.decide(time.monotonic(), self._observe_delivery()):
                case halfclose.Decision.PROBE:
                    if not self._begin_answer():
                        outcome = "left"
                        self._end(_connectionstates.Cause.CLIENT_LEFT)
                case halfclose.Decision.DROP:
                    outcome = "dropped"
                    self._drop_unready()
                case halfclose.Decision.LEAVE:
                    outcome = "left"
                    self._end(_connectionstates.Cause.CLIENT_LEFT)
            eventlet.sleep(HALF_CLOSED_POLL_S)
        self._server.counters.count("connections_half_closed", outcome)
        self._end(
            _connectionstates.Cause.LAST_ANSWER
            if is_answered
            else _connectionstates.Cause.CLIENT_LEFT
        )

    def _observe_delivery(self):
        """Returns the halfclose.Delivery of what was sent to a client that reads on."""
        info = self._socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO.size)
        state, unacknowledged_segments, round_trip_us, acknowledged_bytes = _TCP_INFO.unpack(info)
        return halfclose.Delivery(
            is_reset=state == _TCP_CLOSE,
            acknowledged_bytes=acknowledged_bytes,
            is_in_flight=unacknowledged_segments > 0,
            # An answer that is being written will be on its way.
            is_complete=not (
                self._is_writing or _connectionstates.count_unsent_bytes(self._socket)
            ),
            round_trip_s=round_trip_us / 1_000_000,
        )

    def _has_lingered(self, now):
        if self._state is not _connectionstates.State.LINGERING:
            return False
        unsent_bytes = _connectionstates.count_unsent_bytes(self._socket)
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
        self._state = _connectionstates.State.ENDED
        self._drop(self.pending)
        self.pending.clear()
        while self._unstarted:
            self._release_request(self._unstarted.popleft())

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
