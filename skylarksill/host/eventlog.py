"""Structured log lines on standard output, bounded in volume and never blocking.

Each line is a JSON object with the time, the host, the event and its fields. Lines that do not fit
into the buffer, or that exceed the rate, are dropped and counted, and the count is logged.
"""

import errno
import json
import os
import sys
import time

# Lines a second and the lines that may be saved up; a host takes some hundred requests a second.
MAX_RATE = 2_000
MAX_BURST = 4_000
MAX_BUFFER_BYTES = 1_048_576


class EventLog:
    """Writes log lines.

    Args:
      host_id: Name of this host.
      write: Function of bytes that returns how many were taken; standard output if None.
      now: Function that returns monotonic seconds.
      unix: Function that returns wall-clock seconds.
    """

    def __init__(self, host_id, write=None, now=time.monotonic, unix=time.time):
        self._prefix = f'"host":{json.dumps(host_id)}'
        self._write = write or _make_writer()
        self._now = now
        self._unix = unix
        self._tokens = float(MAX_BURST)
        self._filled_at = now()
        self._buffer = bytearray()
        self._dropped = 0

    def write(self, event, **fields):
        """Logs an event; fields are strings, numbers, booleans or None."""
        if not self._take_token() or len(self._buffer) > MAX_BUFFER_BYTES:
            self._dropped += 1
            return
        if self._dropped:
            dropped, self._dropped = self._dropped, 0
            self._append("log.dropped", {"lines": dropped})
        self._append(event, fields)

    def flush(self):
        """Writes what the output takes without blocking."""
        while self._buffer:
            taken = self._write(bytes(self._buffer[:65536]))
            if not taken:
                return
            del self._buffer[:taken]

    def _append(self, event, fields):
        text = json.dumps(fields, separators=(",", ":"), default=str)[1:]
        body = f",{text}" if len(text) > 1 else "}"
        line = f'{{"time":{self._unix():.3f},{self._prefix},"event":"{event}"{body}\n'
        self._buffer += line.encode()

    def _take_token(self):
        now = self._now()
        self._tokens = min(MAX_BURST, self._tokens + (now - self._filled_at) * MAX_RATE)
        self._filled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def _make_writer():
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)

    def write(data):
        try:
            return os.write(descriptor, data)
        except BlockingIOError:
            return 0
        except OSError as error:
            # The reader of the log has gone; the lines have nowhere to go.
            if error.errno != errno.EPIPE:
                raise
            return len(data)

    return write
