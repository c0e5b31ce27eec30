"""The receiving side of a client with a small receive window, which pauses at times."""

import time

import eventlet

# Bytes that a client reads in a round trip.
MIN_WINDOW_BYTES = 1_500
MAX_WINDOW_BYTES = 4_000
# Shares of the reads behind which clients pause, and the length of a pause.
PAUSE_SHARES = (0.02, 0.1)
PAUSES_S = (0.2, 1.0)


def draw_window(rng):
    """Draws the size of a window in bytes.

    A receive buffer of as many bytes has about that window: the kernel doubles it and announces
    half of it.
    """
    return rng.randint(MIN_WINDOW_BYTES, MAX_WINDOW_BYTES)


class WindowReceiver:
    """Reads a window's bytes in a round trip from another receiver, and pauses after some reads.

    Args:
      receiver: The receiver, with a ``recv`` method.
      window_bytes: Size of the window.
      round_trip_s: Length of a round trip in seconds.
      rng: Random generator for the pauses.

    Attributes:
      pauses: Pairs of begin and end of the pauses, in monotonic seconds.
    """

    def __init__(self, receiver, window_bytes, round_trip_s, rng):
        self.pauses = []
        self._receiver = receiver
        self._round_trip_s = round_trip_s
        self._rng = rng
        self._window_bytes = window_bytes
        self._pause_share = rng.choice(PAUSE_SHARES)

    def recv(self, size):
        """Returns the next bytes, as the other receiver does."""
        data = self._receiver.recv(min(size, self._window_bytes))
        eventlet.sleep(self._round_trip_s)
        if data and self._rng.random() < self._pause_share:
            begin = time.monotonic()
            eventlet.sleep(self._rng.uniform(*PAUSES_S))
            self.pauses.append((begin, time.monotonic()))
        return data
