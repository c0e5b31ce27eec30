"""The upstreams of a soak run."""

import functools
import time

from bench.soak import demandchecks, proxies, records, schedule
from standins import platformdata, worker

ZONES = ("north-a", "north-b", "south-a", "south-b")
REGIONS = {zone: zone.partition("-")[0] for zone in ZONES}
WORK_S = 0.06


class SoakUpstream:
    """One upstream in its current incarnation, behind a proxy."""

    def __init__(self, index, zone, world, service="catalogue"):
        self.index = index
        self.zone = zone
        self.incarnation = 0
        # Number of the process under the current id.
        self.process = 0
        self.worker = None
        self.proxy = None
        self._world = world
        self._service = service

    @property
    def upstream_id(self):
        """Id of the current incarnation."""
        return f"u{self.index}.{self.incarnation}"

    def start_incarnation(self):
        """Starts the next incarnation and registers it."""
        self.incarnation += 1
        self.process = 0
        self._start_process()
        self.proxy = proxies.Proxy(self.worker.address)
        # Upstreams that start during traffic are cold.
        if self.incarnation > 1:
            self.become_cold()
        self.register("ready")

    def _start_process(self):
        self.process += 1
        self.worker = worker.Worker(self.upstream_id, WORK_S)
        self.worker.on_run = functools.partial(self._record_run, self.process)
        self.worker.on_refuse = self._record_refusal

    def become_cold(self):
        """Makes the current process cold from now on, which it says at its health path."""
        self.worker.cold_until = time.monotonic() + demandchecks.COLD_S

    def crash(self):
        """Ends the process: resets all connections and refuses new ones until ``return_cold``."""
        self.proxy.refuse()
        self.worker.stop()

    def return_cold(self):
        """Starts another process, cold, under the same id and address; the store isn't told."""
        self._start_process()
        self.become_cold()
        self.proxy.listen_again(self.worker.address)
        reboot = records.Reboot(self.upstream_id, self.process, time.monotonic())
        self._world.observations.reboots.append(reboot)

    def register(self, state, statement=schedule.ColdStatement.REMAINING):
        """Writes the entry of the upstream to the store.

        Args:
          state: ``ready`` or ``draining``.
          statement: The schedule.ColdStatement of the entry.
        """
        cold_s = round(max(0.0, self.worker.cold_until - time.monotonic()), 3)
        is_stated = statement is schedule.ColdStatement.REMAINING
        spec = platformdata.build_upstream_spec(
            address=f"{self.proxy.address[0]}:{self.proxy.address[1]}",
            service=self._service,
            zone=self.zone,
            state=state,
            born=1_700_000_000_000 + 1_000 * self.incarnation + self.process,
            **platformdata.build_cold_fields(cold_s if is_stated else 0.0),
        )
        if statement is schedule.ColdStatement.MISSING:
            platformdata.remove_cold_fields(spec)
        self._world.store.write("servers", self.upstream_id, spec)

    def shut_down(self):
        """Resets all connections and refuses new ones."""
        self.proxy.stop()
        self.worker.stop()

    def _record_refusal(self, request_id):
        refusal = records.Refusal(request_id, self.upstream_id, time.monotonic())
        self._world.observations.refusals.append(refusal)

    def _record_run(self, process, request_id):
        region = REGIONS[self.zone]
        run = records.Run(
            request_id,
            self.upstream_id,
            self.zone,
            region,
            time.monotonic(),
            self._service,
            process,
        )
        self._world.observations.runs.append(run)
