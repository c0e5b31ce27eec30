"""The upstreams of a soak run."""

import time

from bench.soak import demandchecks, proxies, records
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
        self.worker = worker.Worker(self.upstream_id, WORK_S)
        self.worker.on_run = self._record_run
        self.worker.on_refuse = self._record_refusal
        self.proxy = proxies.Proxy(self.worker.address)
        self.register("ready")

    def register(self, state):
        """Writes the entry of the upstream to the store."""
        spec = platformdata.build_upstream_spec(
            address=f"{self.proxy.address[0]}:{self.proxy.address[1]}",
            service=self._service,
            zone=self.zone,
            state=state,
            born=1_700_000_000_000 + self.incarnation,
            # Upstreams that start during traffic are cold.
            **platformdata.build_cold_fields(demandchecks.COLD_S if self.incarnation > 1 else 0.0),
        )
        self._world.store.write("servers", self.upstream_id, spec)

    def shut_down(self):
        """Resets all connections and refuses new ones."""
        self.proxy.stop()
        self.worker.stop()

    def _record_refusal(self, request_id):
        refusal = records.Refusal(request_id, self.upstream_id, time.monotonic())
        self._world.observations.refusals.append(refusal)

    def _record_run(self, request_id):
        region = REGIONS[self.zone]
        run = records.Run(
            request_id, self.upstream_id, self.zone, region, time.monotonic(), self._service
        )
        self._world.observations.runs.append(run)
