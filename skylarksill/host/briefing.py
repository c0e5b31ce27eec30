"""What a host that has just started learns from its peers before it serves. Performs no I/O.

Hosts learn over time which requests crash upstreams. One that has just started asks the first hosts
that it exchanges messages with, and counts as ready once one has answered that serves itself. The
wait is bounded: no peer may live, or all may have started together.
"""

from skylarksill.host import records

# Longest time that a host waits before it serves. Two round trips between regions take less; a host
# whose datagrams are lost learns the rest as it serves.
MAX_WAIT_S = 0.5
# Time for which it asks for all that peers know; later it compares what it knows with them.
MAX_ASKING_S = 4.0


class Briefing:
    """Whether a host that has started knows what its peers know.

    Args:
      seeds: Gossip addresses of the hosts that the settings name, without its own.
      now: Monotonic seconds.
    """

    def __init__(self, seeds, now):
        self._silent = set(seeds)
        self._started_at = now
        self._is_informed = not self._silent

    def record_answer(self, address, state):
        """Records that a host has told what it knows.

        Args:
          address: Its gossip address.
          state: Its records.HostState, or None if it is unknown.
        """
        self._silent.discard(address)
        if state is records.HostState.SERVING or not self._silent:
            self._is_informed = True

    def is_asking(self, now):
        """Returns True while this host asks its peers for all that they know."""
        return not self._is_informed and now < self._started_at + MAX_ASKING_S

    def is_over(self, now):
        """Returns True once the host may serve."""
        return self._is_informed or now >= self._started_at + MAX_WAIT_S
