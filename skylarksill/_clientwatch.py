"""Detects that a client closes its connection while its request is in progress."""

import contextlib

import eventlet
from eventlet import hubs
from eventlet.green import socket


class ClientWatch:
    """Waits in a separate green thread for a client to close its connection.

    Args:
      connection: The client's socket; nothing else may read it until ``stop``.
      on_disconnect: Function that is called once if the client disconnects.
    """

    def __init__(self, connection, on_disconnect):
        self._connection = connection
        self._on_disconnect = on_disconnect
        self._thread = eventlet.spawn(self._watch)

    def stop(self):
        """Stops watching, so that the server can read the next request."""
        self._thread.kill()

    def _watch(self):
        with contextlib.suppress(OSError):
            hubs.trampoline(self._connection, read=True)
            # Readable bytes belong to the client's next request and must stay unread.
            if self._connection.fd.recv(1, socket.MSG_PEEK):
                return
        self._on_disconnect()
