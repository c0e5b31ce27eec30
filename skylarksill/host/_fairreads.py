"""Reads from sockets that leave processor time to other green threads."""

import time

import eventlet
from eventlet import hubs

READ_BYTES = 65_536
# Reads after the deadline, for bytes that are ready when a delayed green thread wakes up.
MAX_LATE_READS = 4
MIN_WAIT_S = 0.001


class FairReader:
    """Reads a socket up to a deadline and yields while bytes arrive without a pause.

    eventlet's own ``recv`` does not yield while bytes are ready, and returns empty bytes for a
    reset too, which would make a truncated message look like one that its sender ended.

    Args:
      sock: The green socket.
    """

    def __init__(self, sock):
        self._socket = sock
        self._ready_reads = 0
        self._late_reads = 0

    def receive(self, deadline, size=READ_BYTES):
        """Returns the next bytes, at most ``size``, or empty bytes at the end of the stream.

        Args:
          deadline: Monotonic time at which the wait ends.
          size: Maximum number of bytes.
        Raises:
          OSError: If the connection was reset.
          TimeoutError: If nothing arrives before the deadline.
        """
        while True:
            if self._ready_reads > 1:
                eventlet.sleep(0)
            remaining_s = deadline - time.monotonic()
            self._late_reads = self._late_reads + 1 if remaining_s <= 0.0 else 0
            if self._late_reads > MAX_LATE_READS:
                raise TimeoutError("bytes arrived without a pause until the deadline")
            try:
                data = self._socket.fd.recv(size)
            except BlockingIOError:
                self._ready_reads = 0
                timeout_s = max(MIN_WAIT_S, remaining_s)
                hubs.trampoline(
                    self._socket.fd, read=True, timeout=timeout_s, timeout_exc=TimeoutError
                )
                continue
            self._ready_reads += 1
            return data

    def read_exactly(self, size, deadline):
        """Returns ``size`` bytes; see ``receive`` for the other errors.

        Raises:
          EOFError: If the stream ends before.
        """
        data = bytearray()
        while len(data) < size:
            received = self.receive(deadline, min(READ_BYTES, size - len(data)))
            if not received:
                raise EOFError(f"stream ended after {len(data)} of {size} bytes")
            data += received
        return bytes(data)
