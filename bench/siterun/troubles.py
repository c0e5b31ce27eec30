"""Draws what troubles an upstream of a run, and what its clients do beyond their usual habits."""

import enum
import random
import time

from bench.siterun.conditions import Condition

# In each part of the time of this length an upstream may be slower than usual.
SPELL_S = 0.6
SLOW_SPELL_SHARE = 0.15
SLOW_FACTOR = 2.5
# Mean time between two restarts that empty the cache of an upstream.
CACHE_LIFETIME_S = 20.0
# Shares of the requests that an upstream fails itself, and rejects without running them.
FAILED_SHARE = 0.004
REJECTED_SHARE = 0.004
# Share of the requests that an upstream breaks off, in one of the ways of Break.
BROKEN_SHARE = 0.02
# Mean time between two crashes at a site, and from a crash to the return.
CRASH_PAUSE_S = 1.5
CRASH_TIMES_S = (1.0, 4.0)
# Mean time between two bursts in which a share of a process's clients gives up at once.
BURST_PAUSE_S = 3.0
BURST_SHARE = 0.3
# Shares of the clients with a small receive window, of those that speak HTTP/1.0, and of the
# latter that keep connections.
SMALL_WINDOW_SHARE = 0.5
OLD_PROTOCOL_SHARE = 0.3
OLD_KEEPING_SHARE = 0.5
# Share of the requests with which a client says that it closes the connection, and of these behind
# which it ends its sending side if clients do so.
LAST_SHARE = 0.1
LAST_HALF_CLOSE_SHARE = 0.5


class Break(enum.Enum):
    """How an upstream breaks a request off."""

    UNREAD = "closes before it begins"
    AT_WORK = "closes while at work"
    IN_HEAD = "closes within the head of the answer"
    IN_BODY = "closes within the body of the answer"
    NO_ANSWER = "sends bytes that are no answer"


class Troubles:
    """What troubles one upstream.

    Args:
      name: Text that decides about all draws.
      played: The conditions.Condition items that are played.
    """

    def __init__(self, name, played=()):
        self._name = name
        self._rng = random.Random(f"{name} troubles")
        self._is_noisy = Condition.NOISE in played
        self._breaks = Condition.BROKEN_UPSTREAMS in played
        self._empties_at = time.monotonic() + self._draw_lifetime_s()

    def _draw_lifetime_s(self):
        return self._rng.expovariate(1.0 / CACHE_LIFETIME_S)

    def find_pace(self, now):
        """Returns how many times as long as usual work takes at a time in monotonic seconds."""
        if not self._is_noisy:
            return 1.0
        spell = random.Random(f"{self._name} {int(now / SPELL_S)}")
        return SLOW_FACTOR if spell.random() < SLOW_SPELL_SHARE else 1.0

    def empties_cache(self, now):
        """Returns True once after each restart that empties the cache."""
        if not self._is_noisy or now < self._empties_at:
            return False
        self._empties_at = now + self._draw_lifetime_s()
        return True

    def draw_status(self):
        """Returns 500 for a request that the upstream fails, 503 if it rejects it, else 200."""
        drawn = self._rng.random() if self._is_noisy else 1.0
        if drawn < FAILED_SHARE:
            return 500
        return 503 if drawn < FAILED_SHARE + REJECTED_SHARE else 200

    def draw_break(self):
        """Returns the Break of a request, or None."""
        if self._breaks and self._rng.random() < BROKEN_SHARE:
            return self._rng.choice(list(Break))
        return None


class ClientHabits:
    """What one client does beyond its usual habits.

    Args:
      rng: Random generator of the client.
      played: Names of the conditions.Condition items that are played.

    Attributes:
      is_old: Whether it speaks HTTP/1.0, which has no chunks and no pipelining.
      keeps: Whether it keeps connections; else each of its requests is the last on one.
      has_small_window: Whether it has a small receive window.
    """

    def __init__(self, rng, played):
        self._rng = rng
        self._closes = Condition.LAST_CLOSE in played
        self.is_old = Condition.OLD_PROTOCOL in played and rng.random() < OLD_PROTOCOL_SHARE
        self.keeps = not self.is_old or rng.random() < OLD_KEEPING_SHARE
        is_small = Condition.SMALL_WINDOWS in played
        self.has_small_window = is_small and rng.random() < SMALL_WINDOW_SHARE

    def draw_last(self):
        """Returns True for a request with which the client ends the use of a connection."""
        return not self.keeps or (self._closes and self._rng.random() < LAST_SHARE)

    def list_headers(self, is_last):
        """Returns the headers that tell the host whether the connection is kept."""
        if self.is_old:
            return [] if is_last else ["Connection: keep-alive"]
        return ["Connection: close"] if is_last else []
