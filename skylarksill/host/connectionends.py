"""Sums up which connections of clients end in one moment, and for which causes. Performs no I/O.

Answers the question whether requests that end without an answer share one event, such as a reload
or a lack of room, or have ended one by one.
"""

import collections
import dataclasses

# Requests that clients have left in one moment which are logged as one event at least; a client
# that gives up leaves one or a few.
MIN_LEFT_TOGETHER = 4


@dataclasses.dataclass(slots=True)
class Moment:
    """Connections that have ended since the previous moment.

    Attributes:
      connections: Counter of connections by cause.
      unanswered: Counter of their requests without an answer by cause.
      cut: Number of requests that the host has cut: it had passed them on to an upstream and ended
        their connection itself.
    """

    connections: collections.Counter = dataclasses.field(default_factory=collections.Counter)
    unanswered: collections.Counter = dataclasses.field(default_factory=collections.Counter)
    cut: int = 0

    @property
    def is_notable(self):
        """Whether the host has ended requests itself, or many have ended together."""
        return self.cut > 0 or self.unanswered.total() >= MIN_LEFT_TOGETHER


class ConnectionEnds:
    """Counts the ends of connections from one moment to the next."""

    def __init__(self):
        self._moment = Moment()

    def record(self, cause, unanswered, cut):
        """Counts the end of a connection.

        Args:
          cause: Name of the cause.
          unanswered: Number of its requests without an answer.
          cut: Number of those that the host has cut, see ``Moment``.
        """
        self._moment.connections[cause] += 1
        if unanswered:
            self._moment.unanswered[cause] += unanswered
        self._moment.cut += cut

    def take_moment(self):
        """Returns the Moment that ends now, and begins the next one."""
        moment, self._moment = self._moment, Moment()
        return moment
