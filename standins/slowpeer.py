"""A peer that reads slowly, and may answer before it has read a request, in a thread of its own."""

import dataclasses
import enum
import hashlib
import socket
import struct
import time

from eventlet import patcher
from eventlet.green import socket as green_socket

_threading = patcher.original("threading")
# Buffers of the kernel on both sides, as of a link with a small window.
BUFFER_BYTES = 4_096
# States of a connection that the other side has reset or closed, in the first byte of TCP_INFO.
ENDED_STATES = (7, 8)


class Ending(enum.Enum):
    """What the peer does once it has sent its early answer."""

    CLOSE = "closes"
    RESET = "resets the connection"
    HOLD = "holds the connection"
    READ = "reads on"


@dataclasses.dataclass(frozen=True, slots=True)
class Habit:
    """How a peer reads and answers.

    Attributes:
      read_bytes: Bytes that it reads at a time.
      pause_s: Pause after each read, in seconds.
      early: Bytes that it sends once it has read the head of a request, or empty.
      ending: What follows the early bytes, an Ending.
      final: Bytes that it sends once it has read ``request_bytes``, or empty.
      request_bytes: Size of the whole request.
      life_s: Time after which it closes the connection in any case, in seconds.
    """

    read_bytes: int = 65_536
    pause_s: float = 0.0
    early: bytes = b""
    ending: Ending = Ending.READ
    final: bytes = b""
    request_bytes: int = 0
    life_s: float = 6.0


class SlowPeer:
    """The other side of a connection, with a Habit.

    Args:
      habit: The Habit.

    Attributes:
      own_end: Green socket of this side.
      received_bytes: Number of bytes read.
      digest: Digest of the bytes read, for comparison.
      has_seen_end: True once the connection's other side has closed or reset it.
    """

    def __init__(self, habit):
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
        listener.bind(("127.0.0.1", 0))
        listener.listen(1)
        self.own_end = green_socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.own_end.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER_BYTES)
        self.own_end.connect(listener.getsockname())
        self._socket, _ = listener.accept()
        listener.close()
        self.received_bytes = 0
        self.digest = hashlib.sha256()
        self.has_seen_end = False
        self._habit = habit
        self._ends_at = time.monotonic() + habit.life_s
        self._thread = _threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def join(self):
        """Closes this side and waits for the end of the thread."""
        self.own_end.close()
        self._thread.join(self._habit.life_s)

    def wait_for_end(self, seconds):
        """Waits until the other side has seen the end of the connection; returns True if it has."""
        self._thread.join(seconds)
        return self.has_seen_end

    def _run(self):
        try:
            self._read(1)
            if self._habit.early:
                self._socket.sendall(self._habit.early)
                if self._habit.ending is not Ending.READ:
                    self._end()
                    return
            while self._read(self._habit.read_bytes) and not self._has_been_closed():
                if self._habit.final and self.received_bytes >= self._habit.request_bytes:
                    self._socket.sendall(self._habit.final)
                time.sleep(self._habit.pause_s)
        except OSError:
            # A reset by the other side, or the end of the peer's life.
            self.has_seen_end = time.monotonic() < self._ends_at
        finally:
            self._socket.close()

    def _read(self, size):
        """Reads bytes; returns False at the end of the stream."""
        self._socket.settimeout(max(0.001, self._ends_at - time.monotonic()))
        data = self._socket.recv(size)
        self.received_bytes += len(data)
        self.digest.update(data)
        self.has_seen_end = not data
        return bool(data)

    def _end(self):
        match self._habit.ending:
            case Ending.RESET:
                linger = struct.pack("ii", 1, 0)
                self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            case Ending.HOLD:
                # Without reading.
                while time.monotonic() < self._ends_at and not self._has_been_closed():
                    time.sleep(0.01)

    def _has_been_closed(self):
        """Returns True once the other side has ended, also if bytes before that are unread."""
        state = self._socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
        self.has_seen_end = self.has_seen_end or state in ENDED_STATES
        return self.has_seen_end
