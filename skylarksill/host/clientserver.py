"""HTTP/1.1 server: runs the requests of a connection concurrently and answers in request order."""

import errno
import itertools
import time

import eventlet
from eventlet.green import socket

from skylarksill.host import (
    _clientconnection,
    _connectionstates,
    answers,
    bytebudget,
    connectionends,
    connectionplaces,
    counters,
    supervision,
)

# Connections that wait to be accepted at most, and while there are no places left: in a long queue
# each waits for all before it, and its client gives up before its turn has come.
LISTEN_BACKLOG = 1024
CROWDED_BACKLOG = 64
ACCEPT_RETRY_S = 0.05
# Connections that are accepted in a row; then what else is due runs, also if more are waiting.
MAX_ACCEPTED_IN_ROW = 256
# Connections that are refused their first request and have not ended yet, as a share of those that
# are served; further ones wait to be accepted.
MAX_REFUSED_SHARE = 0.125
# Errors that mean that the process or the system has no descriptors left.
NO_DESCRIPTORS = frozenset((errno.EMFILE, errno.ENFILE))
# Time for answers that have arrived before all requests that have none are ended, and the rounds of
# the hub that it lasts at least: the process may have to wait for a processor meanwhile.
FINISH_READY_S = 0.02
MIN_FINISH_ROUNDS = 3
# Time in which refusals of requests that were read in part are sent, and the bytes that cross them
# are discarded, since they would reset the connection.
REFUSE_PARTIAL_S = 0.03
# Bytes that all connections of a server may read before they are parsed, and the least and the most
# of each: a crowd that waits for its turn to be parsed holds as many.
MAX_READING_BYTES = 4 * 1024 * 1024
MIN_READ_BYTES, MAX_READ_BYTES = 4_096, 65_536
# Receive buffer that the kernel is asked for, for each connection. What it holds unread counts as
# memory of the process, and it takes up to one and a half times as much: a client with a round trip
# of 110 ms still sends 200 KB a second, more than its share of a slow link.
RECEIVE_BUFFER_BYTES = 16_384
# Default limit of the request bodies held in memory; the smallest hosts have 300 MB.
MAX_BUFFERED_BYTES = 64 * 1024 * 1024

_UNREAD_REFUSAL = answers.mark_last(answers.format_answer(answers.make_refusal(), b"GET"))


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
      answer_buffers: The bytebudget.ByteBudget that counts bodies until they are served and
        answers until they are delivered.
      counts: The counters.Counters of ended connections and unanswered requests.
      places: The connectionplaces.ConnectionPlaces; beyond them new connections are refused their
        first request, unless others can be ended.
      release_descriptors: Function that frees descriptors and returns True, or False if it can't.
      max_single_bytes: Bytes of a body that is served although it exceeds ``max_buffered_bytes``,
        while no other body is held.
      ends: The connectionends.ConnectionEnds that sum up the ends of connections, or None.

    Attributes:
      buffered_bytes: Bytes of bodies that are being read or served.
      partial_bytes: Those of requests that are not complete.
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
        counts=None,
        places=None,
        release_descriptors=None,
        max_single_bytes=0,
        ends=None,
    ):
        self.handle = handle
        self.find_limits = find_limits
        self.names = names
        self.log = log
        self.max_buffered_bytes = max_buffered_bytes
        self.answer_buffers = answer_buffers or bytebudget.ByteBudget(
            2 * max_buffered_bytes, time.monotonic
        )
        self.counters = counts or counters.Counters()
        self.ends = ends or connectionends.ConnectionEnds()
        self.places = places or connectionplaces.ConnectionPlaces()
        self._release_descriptors = release_descriptors or (lambda: False)
        self.max_single_bytes = max_single_bytes
        self.buffered_bytes = 0
        self.partial_bytes = 0
        self.is_leaving = False
        self.connections = set()
        self.places.add_group(self.connections)
        self._socket = eventlet.listen(address, backlog=LISTEN_BACKLOG)
        # Connections inherit it.
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self._thread = None
        self._has_waiting = False
        self._backlog = LISTEN_BACKLOG

    @property
    def address(self):
        """IP address and port that the server listens on."""
        return self._socket.getsockname()[:2]

    @property
    def in_flight(self):
        """Number of requests whose answers have not been sent."""
        return sum(len(connection.pending) for connection in self.connections)

    @property
    def has_connections(self):
        """True while connections are open, or wait in a listening socket that is to be closed."""
        return bool(self.connections) or self._has_waiting

    @property
    def read_bytes(self):
        """Bytes that a connection may read at a time."""
        share = MAX_READING_BYTES // max(1, len(self.connections))
        return min(MAX_READ_BYTES, max(MIN_READ_BYTES, share))

    def hold_partial(self, head_bytes, body_bytes, holder):
        """Counts memory of a request that is not complete as held, without asking for room.

        Args:
          head_bytes: Memory that the further part of its head takes.
          body_bytes: Further bytes of its body.
          holder: The bytebudget.Holder of the connection.
        """
        self.answer_buffers.hold(head_bytes + body_bytes, holder)
        self.buffered_bytes += body_bytes
        self.partial_bytes += body_bytes

    def take_partial(self, head_bytes, body_bytes, held_bytes, holder):
        """Counts memory of a request that is not complete as held if there is room.

        If need be, slow clients are ended.

        Args:
          head_bytes: Memory that the further part of its head takes.
          body_bytes: Further bytes of its body.
          held_bytes: Bytes of the same body that are held already.
          holder: The bytebudget.Holder of the connection.
        Returns:
          True if there is room.
        """
        if body_bytes and not self._has_room(body_bytes, held_bytes):
            self.answer_buffers.make_room(
                lambda slack: self._has_room(body_bytes + slack, held_bytes), holder
            )
            if not self._has_room(body_bytes, held_bytes):
                return False
        if not self.answer_buffers.take(head_bytes + body_bytes, holder):
            return False
        self.buffered_bytes += body_bytes
        self.partial_bytes += body_bytes
        return True

    def _has_room(self, size, held_bytes):
        if self.buffered_bytes == held_bytes:
            # It is the only one.
            return held_bytes + size <= max(self.max_buffered_bytes, self.max_single_bytes)
        most = (1.0 - bytebudget.RESERVED_SHARE) * self.max_buffered_bytes
        return (
            self.partial_bytes + size <= most
            and self.buffered_bytes + size <= self.max_buffered_bytes
        )

    def take_complete(self, head_bytes, body_bytes, held_bytes):
        """Counts the rest of a request that is complete as held if there is room.

        Args:
          head_bytes: Memory that the rest of its head and its record take.
          body_bytes: Bytes of its body that are not held yet.
          held_bytes: Bytes of the same body that are held already.
        Returns:
          True if there is room.
        """
        is_alone = self.buffered_bytes == held_bytes
        most = max(self.max_buffered_bytes, self.max_single_bytes if is_alone else 0)
        if body_bytes and self.buffered_bytes + body_bytes > most:
            return False
        if not self.answer_buffers.take(head_bytes + body_bytes):
            return False
        self.buffered_bytes += body_bytes
        return True

    def complete_partial(self, size, body_bytes, holder):
        """Counts what was held for a partial request as that of a complete one.

        Args:
          size: Memory that was counted as held, with its body.
          body_bytes: Bytes of its body among them.
          holder: The bytebudget.Holder of the connection, which can't give it up any more.
        """
        self.partial_bytes -= body_bytes
        self.answer_buffers.detach(size, holder)

    def release_partial(self, head_bytes, body_bytes, holder):
        """Counts what was held for a partial request as no longer held; see ``take_partial``."""
        self.partial_bytes -= body_bytes
        self.buffered_bytes -= body_bytes
        self.answer_buffers.release(head_bytes + body_bytes, holder)

    def release_complete(self, head_bytes, body_bytes):
        """Counts what was held for a complete request as no longer held."""
        self.buffered_bytes -= body_bytes
        self.answer_buffers.release(head_bytes + body_bytes)

    def start(self):
        """Starts accepting connections."""
        self._thread = supervision.spawn_lasting(self.log, "client.accept", self._accept)

    def begin_shutdown(self):
        """Makes each connection close after the answer to its last request."""
        self.is_leaving = True

    def stop_listening(self):
        """Refuses new connections; those that the system has accepted already are served.

        While they can't be accepted, as for lack of descriptors, or are too many to be accepted in
        a row, the server listens on for those alone.
        """
        if self._thread is not None:
            self._thread.kill()
            self._thread = None
            self._socket.setblocking(False)
            # The system sets no further connections up, while those that wait stay.
            self._socket.listen(0)
            self._has_waiting = True
            has_more = self._accept_waiting()
            if self._has_waiting:
                supervision.spawn(self.log, "client.accept", self._accept_rest, has_more)

    def close_idle(self):
        """Closes the connections that have no request in progress."""
        for connection in list(self.connections):
            supervision.attempt(self.log, "client.end", connection.end_if_idle)

    def refuse_unread(self):
        """Refuses the requests that wait on connections where nothing else is under way."""
        refused = 0
        for connection in list(self.connections):
            is_refused = supervision.attempt(
                self.log, "client.end", connection.refuse_unread, _UNREAD_REFUSAL
            )
            refused += bool(is_refused)
        if refused:
            self.counters.count("requests_refused_unread", amount=refused)
            self.log.write("client.refused_unread", connections=refused)

    def end_requests(self, status):
        """Answers all requests that have no answer yet, and ends what runs for them."""
        self._finish_ready()
        for connection in list(self.connections):
            supervision.attempt(self.log, "client.end", connection.end_requests, status)
        # Lets the answers be written: the time for that may be over already.
        eventlet.sleep(0)

    def _finish_ready(self):
        """Lets handlers whose upstreams have answered go on, as the hub runs timers before them.

        A large answer takes several reads, between which other green threads run.
        """
        end = time.monotonic() + FINISH_READY_S
        for number in itertools.count():
            if not self.in_flight or (number >= MIN_FINISH_ROUNDS and time.monotonic() >= end):
                return
            eventlet.sleep(0)

    def end(self):
        """Ends what is left of all connections as the process ends."""
        self._refuse_partial()
        self._close_all()
        while self._has_waiting:
            # The descriptors of the connections that were closed are free.
            self._accept_waiting()
            if not self.connections:
                return
            self.refuse_unread()
            self._close_all()

    def _close_all(self):
        for connection in list(self.connections):
            supervision.attempt(
                self.log, "client.end", connection.close, _connectionstates.Cause.STOP_DEADLINE
            )

    def _refuse_partial(self):
        """Refuses the requests that were read in part, which would end without an answer."""
        refused = [
            supervision.attempt(self.log, "client.end", connection.refuse_partial)
            for connection in list(self.connections)
        ]
        if any(refused):
            eventlet.sleep(REFUSE_PARTIAL_S)

    def _accept(self):
        accepted = 0
        while True:
            self._adjust_backlog()
            if self.places.is_crowded:
                self.places.make_places()
            if self.places.count >= (1.0 + MAX_REFUSED_SHARE) * self.places.max_connections:
                eventlet.sleep(ACCEPT_RETRY_S)
                continue
            try:
                client, address = self._socket.accept()
            except OSError as error:
                if not self._has_released(error):
                    eventlet.sleep(ACCEPT_RETRY_S)
                continue
            self._open(client, address)
            accepted += 1
            if accepted % MAX_ACCEPTED_IN_ROW == 0:
                eventlet.sleep(0)

    def _adjust_backlog(self):
        """Shortens the queue of new connections while there are no places left."""
        if self.places.is_crowded:
            backlog = CROWDED_BACKLOG
        elif self.places.is_half_used:
            return
        else:
            backlog = LISTEN_BACKLOG
        if backlog != self._backlog:
            self._backlog = backlog
            self._socket.listen(backlog)

    def _accept_waiting(self):
        """Accepts what waits in the listening socket, whose close would reset it, and closes it.

        After an error, and after many connections, the socket stays open, as more may wait.

        Returns:
          True if the next connection may be accepted at once.
        """
        for _ in range(MAX_ACCEPTED_IN_ROW):
            if not self._has_waiting:
                return False
            try:
                client, address = self._socket.accept()
            except BlockingIOError:
                self._has_waiting = False
                self._socket.close()
            except OSError as error:
                if not self._has_released(error):
                    return False
            else:
                self._open(socket.socket(client), address)
        return True

    def _accept_rest(self, has_more):
        while self._has_waiting:
            eventlet.sleep(0 if has_more else ACCEPT_RETRY_S)
            has_more = self._accept_waiting()

    def _has_released(self, error):
        """Logs that accepting failed; returns True if there are descriptors for a further try."""
        self.log.write("client.accept_failed", error=str(error))
        return error.errno in NO_DESCRIPTORS and self._release_descriptors()

    def _open(self, client, address):
        is_surplus = self.places.count >= self.places.max_connections
        connection = _clientconnection.Connection(self, client, is_surplus, address[0])
        self.connections.add(connection)
        supervision.spawn(self.log, "client.connection", connection.run)
