"""Places for the connections of clients, of which all listeners of a host share a number.

Handles crowds that open connections and carry nothing over them, or too little. Beyond the number,
the connections that have waited longest for their clients are ended, so that ordinary clients
don't wait behind them.
"""

import heapq
import math
import time

# Free places that are made at a time, as a share of all, and the time after which more are made at
# the earliest: looking at all connections takes milliseconds, and those that were ended still count
# until they have noticed it.
FREE_SHARE = 0.0625
INTERVAL_S = 0.05


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

        A connection has a method ``find_waited_s`` of the monotonic time, which returns for how
        many seconds it has waited for its client, or 0 if it may not be ended for others; and a
        method ``give_up_place``, which ends it without waiting.
        """
        self._groups.append(connections)

    @property
    def count(self):
        """Number of open connections."""
        return sum(map(len, self._groups))

    @property
    def is_crowded(self):
        """True if there are more connections than places."""
        return self.count > self.max_connections

    def make_places(self):
        """Ends some connections that have waited longest for their clients.

        Returns:
          True if any was ended.
        """
        now = self._read_clock()
        if now < self._made_at + INTERVAL_S:
            return False
        self._made_at = now
        waiting = [
            (waited_s, number, connection)
            for number, connection in enumerate(
                connection for group in self._groups for connection in group
            )
            if (waited_s := connection.find_waited_s(now)) > 0.0
        ]
        if not waiting:
            return False
        free = int(FREE_SHARE * self.max_connections)
        ended = heapq.nlargest(max(1, self.count - self.max_connections + free), waiting)
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
