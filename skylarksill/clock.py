"""Sources of time, so that decisions can run on a fake clock."""

import time

import eventlet


class SystemClock:
    """The clock of the machine."""

    def monotonic(self):
        """Returns seconds that never step back, from an arbitrary start."""
        return time.monotonic()

    def unix(self):
        """Returns wall-clock seconds since the Unix epoch."""
        return time.time()

    def sleep(self, seconds):
        """Suspends the calling green thread for ``seconds``."""
        eventlet.sleep(seconds)


class FakeClock:
    """A clock that moves only when it is told to.

    Args:
      start: First value of the monotonic time in seconds.
      unix_offset: Difference of wall-clock and monotonic time in seconds.
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
        """Moves the clock on by ``seconds``."""
        self.advance(seconds)

    def advance(self, seconds):
        """Moves the clock on by ``seconds``.

        Raises:
          ValueError: If ``seconds`` is negative.
        """
        if seconds < 0:
            raise ValueError(f"cannot move a monotonic clock by {seconds} s")
        self._now += seconds
