"""A peer on a socket that sends prepared bytes from a thread of its own, also without end.

A green thread can't play it: a sender of the same hub would run only when the reader yields.
"""

import itertools
import socket
import struct
import time

from eventlet import patcher
from eventlet.green import socket as green_socket

_threading = patcher.original("threading")
PORTION_BYTES = 16_384


class RawPeer:
    """Sends portions of bytes once a first request has arrived, until the other side closes.

    Args:
      portions: Iterable of bytes.
      pause_s: Pause after each portion in seconds.
      ends_by_reset: True if the connection is reset at the end.

    Attributes:
      own_end: Green socket of the other side.
    """

    def __init__(self, portions, pause_s=0.0, ends_by_reset=False):
        listener = socket.create_server(("127.0.0.1", 0))
        self.own_end = green_socket.create_connection(listener.getsockname())
        self._socket, _ = listener.accept()
        listener.close()
        self._portions = portions
        self._pause_s = pause_s
        self._ends_by_reset = ends_by_reset
        self._thread = _threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def join(self):
        """Closes the other side and waits for the end of the thread."""
        self.own_end.close()
        self._thread.join(5.0)

    def _run(self):
        try:
            self._socket.recv(65_536)
            for portion in self._portions:
                self._socket.sendall(portion)
                if self._pause_s:
                    time.sleep(self._pause_s)
            if self._ends_by_reset:
                linger = struct.pack("ii", 1, 0)
                self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                return
            # Closing with unread bytes would reset the connection.
            self._socket.shutdown(socket.SHUT_WR)
            while self._socket.recv(65_536):
                pass
        except OSError:
            # The other side has closed the connection.
            return
        finally:
            self._socket.close()


def repeat_without_end(head, unit):
    """Returns an iterable of ``head`` and then ``unit`` again and again."""
    portion = unit * max(1, PORTION_BYTES // len(unit))
    return itertools.chain([head], itertools.repeat(portion))
