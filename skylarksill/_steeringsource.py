"""Keeps the routing table and the steering view of a daemon up to date from its agent's view."""

import dataclasses
import gc

import eventlet

from skylarksill import logs, routing

OBSERVE_INTERVAL_S = 0.2


class SteeringSource:
    """The routing table in force and the view that rankings read.

    Args:
      clock: A clock with ``monotonic()``.
      part: Name of the daemon, for its log.
      on_change: Function that is called after rankings were renewed, or None.
      on_tick: Function that is called at each refresh, or None.

    Attributes:
      table: The RoutingTable in force, or None.
      view: The SteeringView.
      loads: Maps pairs of host and service to the latest LoadEntry.
    """

    def __init__(self, clock, part, on_change=None, on_tick=None):
        self.table = None
        self.view = routing.SteeringView()
        self.loads = {}
        self._clock = clock
        self._log = logs.make_logger(part)
        self._on_change = on_change or (lambda: None)
        self._on_tick = on_tick or (lambda: None)
        self._viewer = None
        self._block_source = None

    def accept_configuration(self, configuration, head):
        """Builds the table of a new configuration and puts it in force as a whole.

        The build gives way between its steps, so that requests are served meanwhile.

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
        _exempt_from_collection()
        self._log.info("generation {} in force", configuration.generation)
        return True

    def _build_table(self, configuration):
        source = (configuration.zones, configuration.blocks)
        # Most generations change no block. Comparing is quick, since the Viewer keeps the records
        # of shards that did not change.
        if self.table is not None and source == self._block_source:
            blocks = self.table.blocks
        else:
            blocks = _build_blocks(configuration)
        rest = dataclasses.replace(configuration, blocks=())
        table = routing.RoutingTable.build(rest, blocks)
        self._block_source = source
        return table

    def attach(self, viewer):
        """Takes peers and loads from this Viewer."""
        self._viewer = viewer

    def run(self):
        """Refreshes the view for ever."""
        while True:
            try:
                self.refresh()
                self._on_tick()
            except Exception:
                self._log.exception("view was not refreshed")
            eventlet.sleep(OBSERVE_INTERVAL_S)

    def refresh(self):
        """Takes over the present view of the agent."""
        view = self._viewer.view if self._viewer else None
        if self.table is None or view is None:
            return
        before = self.view.rankings
        offset_ms = self._viewer.load_offset_ms
        loads = _age_entries(view.loads, offset_ms)
        self.loads = {(load.host, load.service): load for load in loads}
        self.view.observe(
            self.table,
            view.peers,
            loads,
            self._clock.monotonic(),
            _age_entries(view.zone_loads, offset_ms),
        )
        if self.view.rankings is not before:
            self._on_change()


def _exempt_from_collection():
    # Full collections over the records of 330,000 blocks held requests up for milliseconds. The
    # records hold no cycles, so that counting references frees them.
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
