"""Idle connections to upstreams.

Connections are reused last in, first out, which lets the surplus grow old and close.
"""

import collections
import time

from skylarksill.host import _upstreamhttp

# Share of the idle time that an upstream states for which a connection is reused. Upstreams may
# close one earlier; a reset after a send can't be repeated for non-idempotent work.
IDEMPOTENT_IDLE_SHARE = 0.8
CAREFUL_IDLE_SHARE = 0.5
DEFAULT_KEEP_ALIVE_S = 5.0
MAX_IDLE_PER_UPSTREAM = 64


class ConnectionPool:
    """Opens and keeps connections.

    Args:
      names: The records.HeaderNames.
    """

    def __init__(self, names):
        self._names = names
        self._idle = collections.defaultdict(collections.deque)

    def take_idle(self, upstream, is_idempotent):
        """Returns an idle Connection to an upstream, or None."""
        idle = self._idle.get(upstream.upstream_id)
        share = IDEMPOTENT_IDLE_SHARE if is_idempotent else CAREFUL_IDLE_SHARE
        while idle:
            connection = idle[-1]
            if not _is_current(connection, upstream) or _is_stale(
                connection, IDEMPOTENT_IDLE_SHARE
            ):
                idle.pop().close()
            elif _is_stale(connection, share):
                # Older ones lie below it; it may still serve idempotent work.
                return None
            elif idle.pop().is_quiet():
                return connection
            else:
                connection.close()
        return None

    def open(self, upstream, timeout_s):
        """Opens a new connection; raises OSError if that fails."""
        return _upstreamhttp.connect(upstream, self._names, timeout_s)

    def put_back(self, connection):
        """Keeps a connection for the next request, or closes it if it is spoilt."""
        idle = self._idle[connection.upstream.upstream_id]
        if not connection.is_reusable or len(idle) >= MAX_IDLE_PER_UPSTREAM:
            connection.close()
            return
        connection.idle_since = time.monotonic()
        idle.append(connection)

    def drop_stale(self, known):
        """Closes old connections and those to upstreams that are not in ``known``."""
        for upstream_id in list(self._idle):
            idle = self._idle[upstream_id]
            while idle and (upstream_id not in known or _is_stale(idle[0], IDEMPOTENT_IDLE_SHARE)):
                idle.popleft().close()
            if not idle:
                del self._idle[upstream_id]


def _is_current(connection, upstream):
    known = connection.upstream
    return (known.address, known.incarnation) == (upstream.address, upstream.incarnation)


def _is_stale(connection, share):
    keep_alive_s = connection.keep_alive_s
    limit_s = share * (DEFAULT_KEEP_ALIVE_S if keep_alive_s is None else keep_alive_s)
    return time.monotonic() - connection.idle_since > limit_s
