"""Structured log on standard output, rate-limited and never blocking.

Each line is a JSON object with the time, the host, the event and its fields. Lines that exceed the
rate, or that arrive while the buffer is full, are dropped and counted, and the count is logged.
"""

import contextlib
import io
import json
import os
import sys
import time
import traceback

from eventlet import patcher

# Token bucket: lines a second and the size of a burst. A host takes some hundred requests a second.
LINES_PER_S = 2_000
BURST_LINES = 4_000
MAX_BUFFER_BYTES = 1_048_576
# Characters of a traceback that are logged; its end names the cause.
MAX_TRACEBACK_CHARACTERS = 4_000
# Least time between two lines about exceptions of one task and line of code.
EXCEPTION_INTERVAL_S = 10.0
# Tracebacks on standard error, one for each task and line of code.
MAX_PRINTED_TRACEBACKS = 12
# The module that is patched for green threads waits until the output accepts a write.
_unpatched_os = patcher.original("os")


class EventLog:
    """Buffers log lines and writes them without blocking.

    Args:
      host_id: Name of this host.
      write: Function of bytes that returns how many it has written; standard output if None.
      now: Function that returns monotonic seconds.
      unix: Function that returns Unix time in seconds.
      counters: The Counters that count exceptions, or None.
    """

    def __init__(self, host_id, write=None, now=time.monotonic, unix=time.time, counters=None):
        self._prefix = f'"host":{json.dumps(host_id)}'
        self._write = write or _make_writer()
        self._now = now
        self._unix = unix
        self._tokens = float(BURST_LINES)
        self._refilled_at = now()
        self._buffer = bytearray()
        self._dropped = 0
        self._counters = counters
        self._exceptions = {}
        # When a line of each event was last written, or would have been.
        self._written_at = {}

    def write(self, event, **fields):
        """Logs an event; fields are values of JSON."""
        self._written_at[event] = self._now()
        if not self._take_token() or len(self._buffer) > MAX_BUFFER_BYTES:
            self._dropped += 1
            return
        if self._dropped:
            dropped, self._dropped = self._dropped, 0
            self._append("log.dropped", {"lines": dropped})
        self._append(event, fields)

    def write_exception(self, task, error):
        """Logs and counts an exception that shows a fault of the program.

        An exception that comes again from the same line of code is only counted for
        EXCEPTION_INTERVAL_S. The first one's traceback also goes to standard error.

        Args:
          task: Name of what has failed.
          error: The exception.
        """
        if self._counters is not None:
            self._counters.count("exceptions", task)
        now = self._now()
        key = (task, _find_line(error))
        logged_at, unlogged = self._exceptions.get(key, (None, 0))
        if logged_at is not None and now - logged_at < EXCEPTION_INTERVAL_S:
            self._exceptions[key] = (logged_at, unlogged + 1)
            return
        self._exceptions[key] = (now, 0)
        text = "".join(traceback.format_exception(error))[-MAX_TRACEBACK_CHARACTERS:]
        self.write("host.exception", task=task, unlogged=unlogged, traceback=text)
        if logged_at is None and len(self._exceptions) <= MAX_PRINTED_TRACEBACKS:
            _print_error(f"exception in {task}\n{text}")

    def list_recent(self, window_s):
        """Returns the events of a time until now, also those whose lines were dropped.

        Args:
          window_s: The time in seconds.
        Returns:
          A dict of the seconds since an event was last logged, by event.
        """
        now = self._now()
        ages_s = {event: now - at for event, at in self._written_at.items()}
        return {event: age_s for event, age_s in ages_s.items() if age_s <= window_s}

    def flush(self):
        """Writes as much of the buffer as the output accepts without blocking."""
        while self._buffer:
            data = bytes(self._buffer[:65536])
            try:
                written = self._write(data)
            except OSError:
                # Nobody reads the lines, or there is no room for them.
                written = len(data)
                self._dropped += data.count(b"\n")
            if not written:
                return
            del self._buffer[:written]

    def _append(self, event, fields):
        text = json.dumps(fields, separators=(",", ":"), default=str)[1:]
        body = f",{text}" if len(text) > 1 else "}"
        line = f'{{"time":{self._unix():.3f},{self._prefix},"event":"{event}"{body}\n'
        self._buffer += line.encode()

    def _take_token(self):
        now = self._now()
        self._tokens = min(BURST_LINES, self._tokens + (now - self._refilled_at) * LINES_PER_S)
        self._refilled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class ErrorOutput(io.TextIOBase):
    """Standard error that neither waits nor fails; what it can't take at once is dropped.

    eventlet prints exceptions that reach its hub, where a write that waits stops all green threads,
    and one that fails ends the process.

    Args:
      stream: The stream to whose descriptor it writes, or None if there is none.
    """

    def __init__(self, stream):
        super().__init__()
        self._descriptor = None if stream is None else stream.fileno()
        if self._descriptor is not None:
            os.set_blocking(self._descriptor, False)

    def write(self, text):
        """Writes a text, or as much of it as is taken at once; returns its length."""
        if self._descriptor is not None:
            # Nobody may read it, or there may be no room for it.
            with contextlib.suppress(OSError):
                _unpatched_os.write(self._descriptor, text.encode(errors="backslashreplace"))
        return len(text)


def _find_line(error):
    """Returns the file and the line of code that raised an exception, or None."""
    frames = traceback.extract_tb(error.__traceback__)
    return (frames[-1].filename, frames[-1].lineno) if frames else None


def _print_error(text):
    try:
        print(text, file=sys.stderr, flush=True)
    except OSError:
        # Nobody reads standard error; the log has the traceback.
        return


def _make_writer():
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)

    def write(data):
        try:
            return _unpatched_os.write(descriptor, data)
        except BlockingIOError:
            return 0

    return write
