"""How clients of a run end their requests and their connections, beyond their usual habits."""

import enum
import struct

import eventlet
from eventlet.green import socket

from bench.siterun import troubles
from bench.siterun.conditions import Condition

# Share of the requests that their client gives up early.
GIVE_UP_SHARE = 0.02
# The same where clients give up often, in all of the ways of Way.
OFTEN_GIVE_UP_SHARE = 0.1
# Longest time after which they do so then, as most requests are answered soon.
OFTEN_GIVE_UP_S = 0.25
# Share of the requests on kept connections after which a client ends its sending side.
HALF_CLOSE_SHARE = 0.02
# The same where clients do so behind any request, the first of a connection included.
OFTEN_HALF_CLOSE_SHARE = 0.2
# Shares of the moments in which a client sends several requests at once, and how many these are.
SERIES_SHARE = 0.05
SERIES_COUNTS = (2, 5)
# Time for which a client leaves what arrives unread before it closes the connection, and after
# which one that has ended its sending side closes it.
LEAVING_S = 0.2
_RESET_LINGER = struct.pack("ii", 1, 0)


class HalfClose(enum.Enum):
    """Whether a client ends its sending side behind a request, and with which segment."""

    NONE = "no"
    WITH_LAST_BYTE = "in the segment of the request's last byte"
    BEHIND = "in a segment of its own"


class Way(enum.Enum):
    """How a client ends a connection on which requests have no answer."""

    CLOSE = "closes it"
    RESET = "resets it"
    UNREAD = "stops reading and closes it with bytes unread"
    HALF_CLOSE_FIRST = "ends its sending side and closes it later"


class Endings:
    """Draws how one client ends requests and connections.

    Args:
      rng: Random generator of the client.
      played: Names of the conditions.Condition items that are played.
    """

    def __init__(self, rng, played):
        self._rng = rng
        self._half_closes = Condition.HALF_CLOSE in played
        self._half_closes_all = Condition.HALF_CLOSE_ALL in played
        self._gives_up = Condition.GIVE_UP in played

    def draw_half_close(self, attempt):
        """Returns the HalfClose behind a records.Attempt."""
        if self._half_closes_all:
            if self._rng.random() >= OFTEN_HALF_CLOSE_SHARE:
                return HalfClose.NONE
            return self._rng.choice((HalfClose.WITH_LAST_BYTE, HalfClose.BEHIND))
        if not self._half_closes:
            return HalfClose.NONE
        share = HALF_CLOSE_SHARE if attempt.is_kept else 0.0
        if attempt.is_last:
            share = troubles.LAST_HALF_CLOSE_SHARE
        return HalfClose.BEHIND if share and self._rng.random() < share else HalfClose.NONE

    def draw_count(self):
        """Draws how many requests the client sends in one moment."""
        if (self._half_closes_all or self._gives_up) and self._rng.random() < SERIES_SHARE:
            return self._rng.randint(*SERIES_COUNTS)
        return 1

    def draw_patience_s(self, remaining_s):
        """Draws for how many seconds the client waits for an answer of the time that remains."""
        if self._gives_up and self._rng.random() < OFTEN_GIVE_UP_SHARE:
            return min(remaining_s, self._rng.uniform(0.0, OFTEN_GIVE_UP_S))
        if self._rng.random() < GIVE_UP_SHARE:
            return remaining_s * self._rng.random()
        return remaining_s

    def draw_way(self):
        """Returns the Way in which the client ends a connection as it gives up."""
        return self._rng.choice(list(Way)) if self._gives_up else Way.CLOSE


def end_connection(client, way):
    """Ends a connection from which nothing more is read.

    Args:
      client: The green socket.
      way: The Way.
    """
    try:
        match way:
            case Way.RESET:
                client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_LINGER)
            case Way.UNREAD:
                eventlet.sleep(LEAVING_S)
            case Way.HALF_CLOSE_FIRST:
                client.shutdown(socket.SHUT_WR)
                eventlet.sleep(LEAVING_S)
    except OSError:
        # The host has ended the connection before.
        return
    finally:
        client.close()
