"""Notices that a client has closed its connection while its request is in progress."""

import contextlib

import eventlet
from eventlet import hubs
from eventlet.green import socket


class ClientWatch:
    """Waits in a green thread of its own for the end of a client's connection.

    Args:
      connection: The client's socket; nothing else may read it until ``stop``.
      on_gone: Function that is called once if the client has gone.
    """

    def __init__(self, connection, on_gone):
        self._connection = connection
        self._on_gone = on_gone
        self._thread = eventlet.spawn(self._watch)

    def stop(self):
        """Ends the watch, so that the server can read the next request."""
        self._thread.kill()

    def _watch(self):
        with contextlib.suppress(OSError):
            hubs.trampoline(self._connection, read=True)
            # Bytes that are present belong to the client's next request and stay unread.
            if self._connection.fd.recv(1, socket.MSG_PEEK):
                return
        self._on_gone()
