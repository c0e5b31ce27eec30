"""Places for the connections of clients, of which all listeners of a host share a number.

Handles crowds that open connections and carry nothing over them, or too little. Beyond the number,
the connections that have waited longest for their clients are ended, so that ordinary clients
don't wait behind them.
"""

import heapq
import math
import time
import typing

# Free places that are made at a time, as a share of all, and the time after which more are made at
# the earliest: looking at all connections takes milliseconds, and those that were ended still count
# until they have noticed it.
FREE_SHARE = 0.0625
INTERVAL_S = 0.05


class Wait(typing.NamedTuple):
    """For how long a connection has waited for its client, which may be ended for others.

    Attributes:
      is_slow: True if the client is in the middle of a request or an answer.
      seconds: The time.
    """

    is_slow: bool
    seconds: float


class ConnectionPlaces:
    """Limits the connections of several listeners together.

    Args:
      max_connections: Number of connections beyond which there are no places left.
      read_clock: Function that returns monotonic seconds.
    """

    def __init__(self, max_connections=math.inf, read_clock=time.monotonic):
        self.max_connections = max_connections
        self._read_clock = read_clock
        self._groups = []
        self._made_at = float("-inf")
        # Connections that were ended last and whose places no request has taken.
        self._made_places = 0

    def add_group(self, connections):
        """Adds the set of a listener's open connections, which the listener maintains.

        A connection has a method ``find_wait`` of the monotonic time, which returns its Wait, or
        None if it may not be ended for others; and a method ``give_up_place``, which ends it
        without waiting.
        """
        self._groups.append(connections)

    @property
    def count(self):
        """Number of open connections."""
        return sum(map(len, self._groups))

    @property
    def is_half_used(self):
        """True if more than half of the places are used."""
        return 2 * self.count > self.max_connections

    @property
    def is_crowded(self):
        """True if there are more connections than places."""
        return self.count > self.max_connections

    def make_places(self):
        """Ends connections that have waited for their clients.

        Those whose clients are slow are ended together, as a crowd of them comes back at once; of
        the silent ones, as many as are too many, those that have waited longest first.

        Returns:
          True if any was ended.
        """
        now = self._read_clock()
        if now < self._made_at + INTERVAL_S:
            return False
        self._made_at = now
        waiting = [
            (wait, number, connection)
            for number, connection in enumerate(
                connection for group in self._groups for connection in group
            )
            if (wait := connection.find_wait(now)) is not None
        ]
        if not waiting:
            return False
        free = int(FREE_SHARE * self.max_connections)
        slow_count = sum(wait.is_slow for wait, _, _ in waiting)
        surplus = self.count - self.max_connections + free
        ended = heapq.nlargest(max(1, slow_count, surplus), waiting)
        for _, _, connection in ended:
            connection.give_up_place()
        self._made_places = len(ended)
        return True

    def take_place(self):
        """Returns True if a connection that has come beyond the places may have one.

        It is asked for with a complete request, while connections that were ended for others had
        carried nothing for a while: so it has the place of one of these.
        """
        if not self.is_crowded:
            return True
        if not self._made_places and not self.make_places():
            return False
        self._made_places -= 1
        return True
