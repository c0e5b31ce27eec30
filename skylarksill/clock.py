"""Real and fake clocks; code that depends on time gets a clock passed in, so tests can fake it."""

import time

import eventlet


class SystemClock:
    """The clock of the operating system."""

    def monotonic(self):
        """Returns monotonic time in seconds since an arbitrary start."""
        return time.monotonic()

    def unix(self):
        """Returns wall-clock seconds since the Unix epoch."""
        return time.time()

    def sleep(self, seconds):
        """Suspends the calling green thread for ``seconds``."""
        eventlet.sleep(seconds)


class FakeClock:
    """A clock that advances only by calls of ``advance`` and ``sleep``.

    Args:
      start: Initial monotonic time in seconds.
      unix_offset: Wall-clock time minus monotonic time, in seconds.
    """

    def __init__(self, start=1_000.0, unix_offset=1_700_000_000.0):
        self._now = start
        self._unix_offset = unix_offset

    def monotonic(self):
        """Returns the fake monotonic time in seconds."""
        return self._now

    def unix(self):
        """Returns the fake wall-clock time in seconds."""
        return self._now + self._unix_offset

    def sleep(self, seconds):
        """Advances the clock by ``seconds`` without waiting."""
        self.advance(seconds)

    def advance(self, seconds):
        """Advances the clock by ``seconds``.

        Raises:
          ValueError: If ``seconds`` is negative.
        """
        if seconds < 0:
            raise ValueError(f"cannot advance a monotonic clock by {seconds} s")
        self._now += seconds
