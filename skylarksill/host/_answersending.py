"""Sending of answers in the order of the requests: the other half of a client's connection."""

import collections
import itertools
import time

import eventlet
from eventlet.green import socket

from skylarksill.host import (
    _boundedsends,
    _connectionstates,
    answers,
    cancellation,
    footprint,
    supervision,
)

# A connection whose client accepts no byte of an answer for this long is closed. The kernel's user
# time-out can't do that: it may count from the first of several pauses of a client.
WRITE_TIMEOUT_S = 10.0
# Bytes of answers that the kernel takes at most as a stop ends, to send them after the process; it
# grants this many unless it is set up otherwise, and reserves twice as many.
MAX_HANDED_OVER_BYTES = 212_992
# Requests of one connection that are processed at the same time, and while half of the room or of
# the places is used, so that connections take turns.
MAX_RUNNING = 16
MAX_RUNNING_IN_CROWD = 1
# What a client that waits for it before it sends the body of its request is sent.
_CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
# Answer to a request whose handler failed. It promises nothing, as the request may have run.
FAILED_STATUS = 502


class AnswerSending:
    """Runs requests and sends their answers; a base of _clientconnection.Connection.

    It takes the server, the socket, the state and the pending requests from there.
    """

    def _begin_answering(self):
        self._is_writing = False
        # Bytes of the first pending answer that were sent before it was ready.
        self._begun_bytes = 0
        # Bytes of the answer that is being written which the kernel has taken.
        self._sent_bytes = 0
        # Pending requests that no green thread processes yet, and the number of those in process.
        self._unstarted = collections.deque()
        self._running = 0

    def _hand_over(self):
        """Lets the kernel take what is ready, which it sends on after the end of the process."""
        ready = sum(len(item.data) for item in self.pending if item.data is not None)
        size = min(ready, MAX_HANDED_OVER_BYTES)
        if self._socket.getsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF) < 2 * size:
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, size)

    def _send_continue(self):
        """Sends what the head of a request whose body is still due asks for.

        It follows the answers to the requests before.
        """
        if (
            self._owes_continue
            and self._state is _connectionstates.State.SERVING
            and not self.pending
        ):
            self._owes_continue = False
            deadline = time.monotonic() + WRITE_TIMEOUT_S
            _boundedsends.send_all(self._socket, _CONTINUE_RESPONSE, deadline)

    def _start_next(self):
        """Starts processing pending requests as far as their number and the room permit."""
        buffers = self._server.answer_buffers
        while self._unstarted:
            is_crowd = buffers.is_half_used or self._server.places.is_half_used
            if self._running >= (MAX_RUNNING_IN_CROWD if is_crowd else MAX_RUNNING):
                return
            item = self._unstarted.popleft()
            if item.data is not None or item.cancellation.is_cancelled:
                self._release_request(item)
            elif buffers.take(footprint.THREAD_BYTES):
                self._running += 1
                eventlet.spawn_n(self._serve, item)
            else:
                self._refuse_unstarted(item)

    def _refuse_unstarted(self, item):
        """Refuses a request for which there is no room as not run."""
        self._release_request(item)
        self._server.counters.count("requests_refused_unstarted")
        answer = answers.make_refusal(b"not run\n")
        self._set_answer(item, answers.format_answer(answer, item.method))
        # A client that doesn't read delays no other.
        supervision.spawn(self._server.log, "client.answer", self._write_ready)

    def _release_request(self, item):
        """Gives up a request that needs no processing any more."""
        if item.request is None:
            return
        self._server.release_complete(item.held_bytes, len(item.request.body))
        item.request = None

    def _serve(self, item):
        try:
            answer = self._handle(item)
        except BaseException:
            # The green thread is ended, so the answers behind this one can't be sent in order.
            self._abandon()
            raise
        finally:
            self._release_request(item)
            self._server.answer_buffers.release(footprint.THREAD_BYTES)
            self._running -= 1
            self._start_next()
        try:
            is_ready = self._prepare(item, answer)
            # A slow reader keeps this green thread, but only the encoded answer.
            answer = None
            if is_ready:
                self._write_ready()
        except Exception as error:
            self._server.log.write_exception("client.answer", error)
            self._abandon()

    def _handle(self, item):
        """Returns the handler's answer, or one that promises nothing if the handler fails."""
        try:
            return self._server.handle(item.request, item.cancellation)
        except Exception as error:
            return self._handle_failure("client.handle", error)

    def _prepare(self, item, answer):
        """Encodes a handler's answer; returns False if it is not to be sent."""
        if answer is None or item.data is not None or item.cancellation.is_cancelled:
            return False
        if self._state is _connectionstates.State.ENDED:
            return False
        self._set_answer(item, self._format(item, answer))
        return True

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

    def _set_answer(self, item, data):
        self._release_answer(item)
        item.data = data
        size = footprint.estimate_answer_bytes(data)
        self._server.answer_buffers.hold(size, self._holder)
        self._server.answer_buffers.restore_reserve(self._holder)

    def _release_answer(self, item):
        if item.data is not None:
            size = footprint.estimate_answer_bytes(item.data)
            self._server.answer_buffers.release(size, self._holder)

    def _write_ready(self):
        """Writes the finished answers that are next in order, in one green thread at a time."""
        if self._is_writing:
            return
        self._is_writing = True
        try:
            while self.pending and self.pending[0].data is not None:
                if self._server.is_leaving:
                    self._take_no_more()
                item = self.pending[0]
                if self._state is _connectionstates.State.ANSWERING and len(self.pending) == 1:
                    self._set_answer(item, answers.mark_last(item.data))
                self._send(item.data)
                if self._state is _connectionstates.State.ENDED:
                    return
                self._begun_bytes = 0
                self._release_answer(self.pending.popleft())
                self._quiet_since = time.monotonic()
                self._send_continue()
        except OSError as error:
            self._server.log.write("client.write_failed", error=str(error))
            usual = _connectionstates.Cause.WRITE_FAILED
            self._end(_connectionstates.find_cause(error, usual))
            self._shut_down(socket.SHUT_RDWR)
        finally:
            self._is_writing = False
        if self._state is _connectionstates.State.ANSWERING and not self.pending:
            self._begin_lingering()

    def _send(self, data):
        """Sends the rest of an answer.

        The time of the whole answer has no bound, as clients may be slow. What slow clients keep is
        bounded together: by the bytes of unsent answers and the number of connections, for which
        the slowest make room, and by the end of the process.

        Raises:
          TimeoutError: If the client accepts nothing of it for too long.
        """
        self._socket.settimeout(WRITE_TIMEOUT_S)
        rest = memoryview(data)[self._begun_bytes :]
        self._holder.begun_at = time.monotonic()
        self._sent_bytes = 0
        while rest:
            unsent_bytes = _connectionstates.count_unsent_bytes(self._socket)
            try:
                sent = self._socket.send(rest)
                rest = rest[sent:]
                self._sent_bytes += sent
            except TimeoutError:
                # The kernel takes more only once much of its buffer is free.
                if _connectionstates.count_unsent_bytes(self._socket) >= unsent_bytes:
                    raise

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
        if not dropped:
            return
        self._set_cause(_connectionstates.Cause.HALF_CLOSED)
        self._drop(dropped)
        for _ in dropped:
            self.pending.pop()

    def _drop(self, items):
        self._dropped += items
        reasons = cancellation.Reason
        is_by_client = self._cause.is_by_client
        reason = reasons.CLIENT_GONE if is_by_client else reasons.CONNECTION_ENDED
        for item in items:
            self._release_answer(item)
            if item.data is None:
                item.cancellation.cancel(reason)
            # The log names the request until the connection ends; the answer goes at once.
            item.data = None
