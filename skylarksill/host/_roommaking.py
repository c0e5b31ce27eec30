"""Giving up what a connection holds for a slow client, for the sake of others."""

import contextlib
import math

from eventlet.green import socket

from skylarksill.host import _connectionstates, answers, connectionplaces, supervision

# A connection without a request may be ended for the sake of others after this long, and one that
# has sent its last answer after its client has been silent for this long.
MIN_SILENT_S = 2.0
MIN_LINGERED_S = 1.0


class RoomMaking:
    """Makes room and places for others; a base of _clientconnection.Connection.

    It takes the socket, the state, the holder and the pending requests from there.
    """

    def find_wait(self, now):
        """Returns the connectionplaces.Wait for the client, or None if it may take longer.

        That is so for a client that sends or reads at an ordinary pace, and for one that has been
        silent for a short time between its requests.

        Args:
          now: Monotonic seconds.
        """
        if self._state is _connectionstates.State.ENDED:
            return None
        if self._state is _connectionstates.State.LINGERING:
            silent_s = now - max(self._received_at, self._quiet_since)
            return connectionplaces.Wait(True, silent_s) if silent_s >= MIN_LINGERED_S else None
        if self._is_writing or (self._started_at is not None and not self.pending):
            is_slow = self._holder.is_slow(now)
            return connectionplaces.Wait(True, now - self._holder.begun_at) if is_slow else None
        silent_s = now - self._quiet_since
        if self._has_work() or silent_s < MIN_SILENT_S:
            return None
        return connectionplaces.Wait(False, silent_s)

    def give_up_place(self):
        """Ends the connection, which has waited for its client."""
        if not self._is_writing and self._started_at is not None:
            data = answers.format_answer(answers.make_refusal(), b"GET")
            # The kernel takes so few bytes at once; a client that has left needs none.
            with contextlib.suppress(OSError):
                self._socket.fd.send(answers.mark_last(data))
            self._server.counters.count("requests_unreadable", "503")
            self._discard_input()
        self._end(_connectionstates.Cause.NO_PLACE)
        self._shut_down(socket.SHUT_RDWR)

    def _make_room(self):
        """Gives up what is held for a client that sends or reads too slowly."""
        if self._is_writing:
            self._end(_connectionstates.Cause.NO_ROOM)
            self._shut_down(socket.SHUT_RDWR)
            return
        if self._state is not _connectionstates.State.SERVING:
            self._discard_partial_request()
            return
        self._refuse(503, "request too slow for the room left")
        # A client that doesn't read delays no other.
        supervision.spawn(self._server.log, "client.answer", self._write_ready)

    def _count_moved(self):
        """Returns the bytes that the client has received of the answer, or sent of the request."""
        if self._is_writing:
            return self._sent_bytes - _connectionstates.count_unsent_bytes(self._socket)
        if self._owes_continue:
            # The client waits for the host.
            return math.inf
        return (self._head_bytes + self._unreported_bytes + self._body_bytes) or math.inf
