"""Reads from sockets that leave processor time to other green threads."""

import time

import eventlet
from eventlet import hubs, semaphore

READ_BYTES = 65_536
# Bytes that are parsed first. Framing may cost a thousand times as much a byte as a plain body, so
# the size of further portions follows from the time that the one before took.
FIRST_PORTION_BYTES = 1_024
# Time that the parsing of one portion may take, about what a request costs a host.
PORTION_S = 0.0005
# Portions that take less cost nothing, as the bytes of an ordinary request or answer do.
CHEAP_PORTION_S = 0.0002
# Parsing time beyond that for which a connection needs no turn, and the part of the time in which
# it grows back.
FREE_PARSING_S = 0.0005
FREE_PARSING_SHARE = 0.002
# Reads after the deadline, for bytes that are ready when a delayed green thread wakes up.
MAX_LATE_READS = 4
MIN_WAIT_S = 0.001


# Connections beyond their free parsing time take turns, one portion at a time for all of them.
_turn = semaphore.Semaphore()


class FairParsing:
    """Passes the bytes of one connection to its parser without delaying other connections.

    Answers the load of many connections whose bytes cost much time to parse, such as bodies in
    chunks of one byte: if each parsed all that it has read before others run, a round of all of
    them would take seconds.

    Args:
      feed: Function that parses bytes without waiting for anything.
    """

    def __init__(self, feed):
        self._feed = feed
        self._spent_s = 0.0
        self._spent_at = time.monotonic()

    def parse(self, data, deadline=None):
        """Parses bytes in portions and yields between them.

        Args:
          data: The bytes.
          deadline: Monotonic time at which the wait for a turn ends; None to wait for any time.
        Raises:
          TimeoutError: If not all bytes are parsed by the deadline.
        """
        size = FIRST_PORTION_BYTES
        start = 0
        while start < len(data):
            if start and deadline is not None and time.monotonic() >= deadline:
                raise TimeoutError("bytes take too long to parse")
            portion = data[start : start + size]
            elapsed_s = self._parse_portion(portion, deadline)
            start += len(portion)
            affordable = int(len(portion) * PORTION_S / max(elapsed_s, 1e-6))
            size = min(READ_BYTES, max(FIRST_PORTION_BYTES, affordable))

    def _parse_portion(self, portion, deadline):
        if self._spent_s < FREE_PARSING_S:
            elapsed_s = self._measure(portion)
            if elapsed_s >= CHEAP_PORTION_S:
                eventlet.sleep(0)
            return elapsed_s
        wait_s = None if deadline is None else max(MIN_WAIT_S, deadline - time.monotonic())
        if not _turn.acquire(timeout=wait_s):
            raise TimeoutError("no turn to parse before the deadline")
        try:
            elapsed_s = self._measure(portion)
            # Leaves as much time to all others.
            eventlet.sleep(elapsed_s)
            return elapsed_s
        finally:
            _turn.release()

    def _measure(self, portion):
        """Parses a portion; returns the processor time that it took in seconds.

        Time in which the process waits for a processor says nothing about the bytes.
        """
        started_at = time.thread_time()
        self._feed(portion)
        elapsed_s = time.thread_time() - started_at
        ended_at = time.monotonic()
        regained_s = FREE_PARSING_SHARE * (ended_at - self._spent_at)
        cost_s = max(0.0, elapsed_s - CHEAP_PORTION_S)
        self._spent_s = max(0.0, self._spent_s - regained_s) + cost_s
        self._spent_at = ended_at
        return elapsed_s


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
        has_timed_out = False
        while True:
            if self._ready_reads > 1:
                eventlet.sleep(0)
            remaining_s = deadline - time.monotonic()
            self._late_reads = self._late_reads + 1 if remaining_s <= 0.0 else 0
            if self._late_reads > MAX_LATE_READS:
                raise TimeoutError("bytes arrived without a pause until the deadline")
            try:
                data = self._socket.fd.recv(size)
            except TimeoutError as error:
                # The kernel has given the connection up; it isn't that nothing has arrived yet.
                raise ConnectionAbortedError(error.errno, error.strerror) from error
            except BlockingIOError:
                self._ready_reads = 0
                if has_timed_out:
                    raise TimeoutError("no bytes arrived before the deadline") from None
                has_timed_out = not self._wait(max(MIN_WAIT_S, remaining_s))
                continue
            self._ready_reads += 1
            return data

    def _wait(self, timeout_s):
        """Waits for bytes; returns False after ``timeout_s``.

        The hub runs timers before it looks for bytes, so after a delay of the process bytes may be
        ready all the same.
        """
        try:
            hubs.trampoline(self._socket.fd, read=True, timeout=timeout_s, timeout_exc=TimeoutError)
        except TimeoutError:
            return False
        return True

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
