"""Measures for how long green threads have to wait."""

import contextlib
import pathlib
import time

import eventlet

TICK_S = 0.01
# The kernel's times of the thread in nanoseconds: on a processor, and ready to run without one.
SCHEDULE_PATH = pathlib.Path("/proc/thread-self/schedstat")


def read_processor_wait_s():
    """Returns the seconds for which this thread has been ready to run without a processor.

    0 on systems that don't tell.
    """
    with contextlib.suppress(OSError):
        return int(SCHEDULE_PATH.read_text(encoding="ascii").split()[1]) / 1e9
    return 0.0


class Ticker:
    """Measures for how long other green threads have to wait."""

    def __init__(self):
        self.longest_wait_s = 0.0
        self._thread = eventlet.spawn(self._run)

    def stop(self):
        """Stops the measurement."""
        self._thread.kill()

    def _run(self):
        while True:
            started_at = time.monotonic()
            eventlet.sleep(TICK_S)
            self.longest_wait_s = max(self.longest_wait_s, time.monotonic() - started_at - TICK_S)
