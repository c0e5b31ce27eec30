"""Measures for how long green threads have to wait."""

import time

import eventlet

TICK_S = 0.01


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
