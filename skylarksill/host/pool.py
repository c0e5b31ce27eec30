"""Pool of idle connections to upstreams.

Connections are reused last in, first out, so that surplus ones reach their idle limit and close.
"""

import collections
import time

from skylarksill.host import _upstreamhttp

# Share of the keep-alive time stated by an upstream for which an idle connection is reused.
# Upstreams may close a connection earlier, and a non-idempotent request can't be retried if its
# connection is reset after the send.
IDEMPOTENT_IDLE_SHARE = 0.8
NON_IDEMPOTENT_IDLE_SHARE = 0.5
DEFAULT_KEEP_ALIVE_S = 5.0
MAX_IDLE_PER_UPSTREAM = 64


class ConnectionPool:
    """Opens connections and keeps idle ones.

    Args:
      names: The records.HeaderNames.
      buffers: The limits.BufferLimit of the answers that are being read or delivered.
    """

    def __init__(self, names, buffers):
        self._names = names
        self._buffers = buffers
        self._idle = collections.defaultdict(collections.deque)

    def pop_idle(self, upstream, is_idempotent):
        """Removes an idle connection to an upstream from the pool.

        Args:
          upstream: The records.Upstream.
          is_idempotent: True if the next request on the connection is idempotent.
        Returns:
          A tuple of the Connection, or None, and whether the upstream has closed a connection
          before the time that it had stated.
        """
        has_lost = False
        idle = self._idle.get(upstream.upstream_id)
        share = IDEMPOTENT_IDLE_SHARE if is_idempotent else NON_IDEMPOTENT_IDLE_SHARE
        while idle:
            connection = idle[-1]
            if not _matches_upstream(connection, upstream) or _is_stale(
                connection, IDEMPOTENT_IDLE_SHARE
            ):
                idle.pop().close()
            elif _is_stale(connection, share):
                # The others are older; this one may still serve idempotent requests.
                return None, has_lost
            elif idle.pop().is_still_open():
                return connection, has_lost
            else:
                connection.close()
                has_lost = has_lost or connection.keep_alive_s is not None
        return None, has_lost

    def open(self, upstream, timeout_s):
        """Opens a new connection; raises OSError if that fails."""
        return _upstreamhttp.connect(upstream, self._names, self._buffers, timeout_s)

    def put_back(self, connection):
        """Keeps a connection for the next request, or closes it if it can't be kept."""
        idle = self._idle[connection.upstream.upstream_id]
        if not connection.is_reusable or len(idle) >= MAX_IDLE_PER_UPSTREAM:
            connection.close()
            return
        connection.idle_since = time.monotonic()
        idle.append(connection)

    def release_idle(self):
        """Closes the older half of the idle connections, for their descriptors.

        Returns:
          True if one was closed.
        """
        connections = sorted(
            (connection for idle in self._idle.values() for connection in idle),
            key=lambda connection: connection.idle_since,
        )
        released = connections[: (len(connections) + 1) // 2]
        for connection in released:
            self._idle[connection.upstream.upstream_id].remove(connection)
            connection.close()
        return bool(released)

    def drop_stale(self, listed):
        """Closes stale connections and those to upstreams that are not in ``listed``."""
        for upstream_id in list(self._idle):
            idle = self._idle[upstream_id]
            while idle and (upstream_id not in listed or _is_stale(idle[0], IDEMPOTENT_IDLE_SHARE)):
                idle.popleft().close()
            if not idle:
                del self._idle[upstream_id]


def _matches_upstream(connection, upstream):
    connected = connection.upstream
    return (connected.address, connected.incarnation) == (upstream.address, upstream.incarnation)


def _is_stale(connection, share):
    keep_alive_s = connection.keep_alive_s
    limit_s = share * (DEFAULT_KEEP_ALIVE_S if keep_alive_s is None else keep_alive_s)
    return time.monotonic() - connection.idle_since > limit_s
