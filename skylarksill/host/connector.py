"""Opens connections to upstreams and probes unreachable ones in the background."""

import errno
import time

import eventlet

from skylarksill.host import supervision, tracking

# Connecting takes one round trip and about 1 ms; an upstream without power never answers.
CONNECT_TIMEOUT_S = 0.6
CONNECT_BASE_S = 0.2
CONNECT_ROUND_TRIPS = 2.0
MIN_TIMEOUT_S = 0.01
# Errors that mean that this host has no file descriptors, memory or ports left.
OWN_ERRORS = frozenset(
    (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)
)


class Connector:
    """Opens connections and finds out when an unreachable upstream accepts them again.

    Args:
      fleet: The Fleet.
      pool: The ConnectionPool.
      log: The EventLog.
      counters: The Counters.
      on_unreachable: Function of a records.Upstream that is called when it becomes unreachable.
      on_restarted: Function of a TrackedUpstream and the monotonic time at which no process had
        listened, called when the upstream accepts connections again.
    """

    def __init__(self, fleet, pool, log, counters, on_unreachable, on_restarted):
        self._fleet = fleet
        self._pool = pool
        self._log = log
        self._counters = counters
        self._on_unreachable = on_unreachable
        self._on_restarted = on_restarted

    def connect(self, state, deadline):
        """Opens a connection to an upstream.

        Args:
          state: The TrackedUpstream.
          deadline: Monotonic time at which the request ends.
        Returns:
          A Connection, or None if the upstream can't be reached; a background probe then starts.
        """
        upstream = state.record
        started_at = time.monotonic()
        round_trip_s = self._fleet.estimate_round_trip_s(upstream.region)
        timeout_s = min(CONNECT_TIMEOUT_S, CONNECT_BASE_S + CONNECT_ROUND_TRIPS * round_trip_s)
        timeout_s = max(MIN_TIMEOUT_S, min(timeout_s, deadline - started_at))
        try:
            connection = self._open(upstream, timeout_s)
        except OSError as error:
            if not self._is_own_fault(state, error):
                self._handle_connect_failure(state, error)
                self.start_probe(state)
            return None
        self._counters.count("upstream_connections", upstream.service_id)
        self._fleet.update_round_trip(upstream.region, time.monotonic() - started_at)
        return connection

    def _open(self, upstream, timeout_s):
        """Opens a connection, with a descriptor of an idle one if there is no other."""
        try:
            return self._pool.open(upstream, timeout_s)
        except OSError as error:
            if error.errno not in OWN_ERRORS or not self._pool.release_idle():
                raise
        return self._pool.open(upstream, timeout_s)

    def start_probe(self, state):
        """Retries connecting in the background until the upstream accepts or leaves the fleet."""
        if not state.is_probed:
            state.is_probed = True
            supervision.spawn(self._log, "upstream.probe", self._probe, state)

    def _probe(self, state):
        try:
            supervision.keep_running(
                self._log, "upstream.probe", self._probe_until_reachable, state
            )
        finally:
            state.is_probed = False

    def _probe_until_reachable(self, state):
        while self._fleet.find(state.record.upstream_id) is state:
            eventlet.sleep(max(MIN_TIMEOUT_S, state.down_until - time.monotonic()))
            if self._try_to_connect(state):
                return

    def _try_to_connect(self, state):
        try:
            connection = self._pool.open(state.record, CONNECT_TIMEOUT_S)
        except OSError as error:
            if self._is_own_fault(state, error):
                state.down_until = time.monotonic() + tracking.INITIAL_DOWN_S
                return False
            state.down_until = 0.0
            self._handle_connect_failure(state, error)
            return False
        if state.is_unreachable:
            refused_at = state.refused_at
            self._fleet.mark_reachable(state, time.monotonic())
            self._log.write("upstream.returned", upstream=state.record.upstream_id)
            if refused_at is not None:
                self._on_restarted(state, refused_at)
        self._pool.put_back(connection)
        return True

    def _is_own_fault(self, state, error):
        """Returns True if this host lacks what a connection takes; the upstream may be sound."""
        if error.errno not in OWN_ERRORS:
            return False
        upstream_id = state.record.upstream_id
        self._log.write("upstream.connect_failed", upstream=upstream_id, error=str(error))
        return True

    def _handle_connect_failure(self, state, error):
        was_already_unreachable = state.is_unreachable
        now = time.monotonic()
        retry_delay_s = self._fleet.mark_unreachable(state, now)
        if isinstance(error, ConnectionRefusedError):
            state.refused_at = now
        if not was_already_unreachable:
            self._on_unreachable(state.record)
            self._log.write(
                "upstream.unreachable",
                upstream=state.record.upstream_id,
                error=str(error),
                next_try_s=round(retry_delay_s, 3),
            )
