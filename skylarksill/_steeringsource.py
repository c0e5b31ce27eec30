"""Updates a daemon's routing table and steering view from its agent's view."""

import dataclasses
import gc

import eventlet

from skylarksill import logs, routing

REFRESH_INTERVAL_S = 0.2


class SteeringSource:
    """Holds the routing table in force and the SteeringView that rankings use.

    Args:
      clock: A clock with ``monotonic()``.
      daemon_name: Name of the daemon in log lines.
      on_change: Function that is called after cached rankings were discarded, or None.
      on_refresh: Function that is called after each periodic refresh, or None.

    Attributes:
      table: The RoutingTable in force, or None.
      view: The SteeringView.
      loads: Maps pairs of host and service to the latest LoadEntry.
    """

    def __init__(self, clock, daemon_name, on_change=None, on_refresh=None):
        self.table = None
        self.view = routing.SteeringView()
        self.loads = {}
        self._clock = clock
        self._log = logs.make_logger(daemon_name)
        self._on_change = on_change or (lambda: None)
        self._on_refresh = on_refresh or (lambda: None)
        self._viewer = None
        self._block_inputs = None

    def accept_configuration(self, configuration, head):
        """Builds the table of a new configuration and replaces the current one atomically.

        The build yields to other green threads between its steps, so that requests are served
        meanwhile.

        Returns:
          True if the configuration is in force.
        """
        try:
            table = self._build_table(configuration)
        except ValueError as error:
            self._log.error("generation {} refused: {}", configuration.generation, error)
            return False
        self.table = table
        self.refresh()
        _exempt_from_gc()
        self._log.info("generation {} in force", configuration.generation)
        return True

    def _build_table(self, configuration):
        block_inputs = (configuration.zones, configuration.blocks)
        # Most generations change no block. The comparison is fast, since the AgentViewClient
        # reuses the records of unchanged shards.
        if self.table is not None and block_inputs == self._block_inputs:
            blocks = self.table.blocks
        else:
            blocks = _build_blocks(configuration)
        without_blocks = dataclasses.replace(configuration, blocks=())
        table = routing.RoutingTable.build(without_blocks, blocks)
        self._block_inputs = block_inputs
        return table

    def set_viewer(self, viewer):
        """Sets the AgentViewClient that supplies peers and loads."""
        self._viewer = viewer

    def run(self):
        """Refreshes the view every REFRESH_INTERVAL_S until the thread is killed."""
        while True:
            try:
                self.refresh()
                self._on_refresh()
            except Exception:
                self._log.exception("failed to refresh the steering view")
            eventlet.sleep(REFRESH_INTERVAL_S)

    def refresh(self):
        """Updates the SteeringView from the agent's current view."""
        view = self._viewer.view if self._viewer else None
        if self.table is None or view is None:
            return
        previous_rankings = self.view.rankings
        offset_ms = self._viewer.load_age_offset_ms
        loads = _age_entries(view.loads, offset_ms)
        self.loads = {(load.host, load.service): load for load in loads}
        self.view.apply_report(
            self.table,
            view.peers,
            loads,
            self._clock.monotonic(),
            _age_entries(view.zone_loads, offset_ms),
        )
        if self.view.rankings is not previous_rankings:
            self._on_change()


def _exempt_from_gc():
    # Full garbage collections over the records of 330,000 blocks delay requests by milliseconds.
    # The records contain no cycles, so reference counting frees them.
    gc.collect(1)
    gc.freeze()


def _build_blocks(configuration):
    steps = routing.BlockTable.build_in_steps(configuration)
    while True:
        try:
            next(steps)
        except StopIteration as end:
            return end.value
        eventlet.sleep(0)


def _age_entries(entries, offset_ms):
    if not offset_ms:
        return entries
    return [dataclasses.replace(entry, age_ms=entry.age_ms + offset_ms) for entry in entries]
