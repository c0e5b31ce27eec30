"""New connections to upstreams, and background probes of those that can't be reached."""

import time

import eventlet

# A connection takes one round trip and about 1 ms; an upstream without power never answers.
CONNECT_TIMEOUT_S = 0.6
CONNECT_BASE_S = 0.2
CONNECT_ROUND_TRIPS = 2.0
MIN_TIMEOUT_S = 0.01


class Connector:
    """Opens connections and finds out when an unreachable upstream accepts them again.

    Args:
      fleet: The Fleet.
      pool: The ConnectionPool.
      log: The EventLog.
      counters: The Counters.
      note_down: Function of a records.Upstream that has become unreachable.
    """

    def __init__(self, fleet, pool, log, counters, note_down):
        self._fleet = fleet
        self._pool = pool
        self._log = log
        self._counters = counters
        self._note_down = note_down

    def connect(self, state, until):
        """Opens a connection to an upstream.

        Args:
          state: The UpstreamState.
          until: Monotonic time of the end of the request.
        Returns:
          A Connection, or None if the upstream can't be reached; it is then probed.
        """
        upstream = state.record
        begun = time.monotonic()
        round_trip_s = self._fleet.estimate_round_trip_s(upstream.region)
        timeout_s = min(CONNECT_TIMEOUT_S, CONNECT_BASE_S + CONNECT_ROUND_TRIPS * round_trip_s)
        timeout_s = max(MIN_TIMEOUT_S, min(timeout_s, until - begun))
        try:
            connection = self._pool.open(upstream, timeout_s)
        except OSError as error:
            self._note_unreachable(state, error)
            self.start_probe(state)
            return None
        self._counters.count("upstream_connections", upstream.service_id)
        self._fleet.note_round_trip(upstream.region, time.monotonic() - begun)
        return connection

    def start_probe(self, state):
        """Connects to an upstream in the background until it accepts or leaves the list."""
        if not state.is_probed:
            state.is_probed = True
            eventlet.spawn_n(self._probe, state)

    def _probe(self, state):
        try:
            while self._fleet.find(state.record.upstream_id) is state:
                eventlet.sleep(max(MIN_TIMEOUT_S, state.down_until - time.monotonic()))
                if self._try_connection(state):
                    return
        finally:
            state.is_probed = False

    def _try_connection(self, state):
        try:
            connection = self._pool.open(state.record, CONNECT_TIMEOUT_S)
        except OSError as error:
            state.down_until = 0.0
            self._note_unreachable(state, error)
            return False
        if state.is_unreachable:
            self._fleet.note_returned(state, time.monotonic())
            self._log.write("upstream.returned", upstream=state.record.upstream_id)
        self._pool.put_back(connection)
        return True

    def _note_unreachable(self, state, error):
        was_unreachable = state.is_unreachable
        wait_s = self._fleet.note_unreachable(state, time.monotonic())
        if not was_unreachable:
            self._note_down(state.record)
            self._log.write(
                "upstream.unreachable",
                upstream=state.record.upstream_id,
                error=str(error),
                next_try_s=round(wait_s, 3),
            )
