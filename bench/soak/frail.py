"""A service of the soak whose upstreams one order crashes, and that read long orders slowly.

No fault of the schedule concerns its upstreams, so that only the hosts decide what reaches them.
"""

import itertools
import random
import time

import eventlet

from bench.soak import channels, hosts, records
from standins import platformdata, worker

SERVICE = "quarry"
PREFIX = "/frail/"
CRASH_TARGET = f"{PREFIX}crash"
UPSTREAMS_PER_ZONE = 2
WORK_S = 0.05
# An upstream that has crashed is back after this time, under its id and at another address.
DOWN_S = 1.0
# Pause between two copies of the order that crashes upstreams, and between two long orders.
CRASH_PAUSE_S = 1.5
UPLOAD_PAUSE_S = 0.5
# Sizes of long orders, of which upstreams read so many bytes at a time and pause after each read:
# the short ones have time, the others have not.
UPLOAD_BYTES = (8_000, 400_000, 900_000)
READ_BYTES = 8_192
READ_PAUSE_S = 0.05
MAX_BODY_BYTES = 1_000_000
CRASH_ID = "crash"


class FrailUpstream:
    """One upstream under a lasting id.

    Args:
      index: Its number.
      zone: Its availability zone.
      world: The world.World.
    """

    def __init__(self, index, zone, world):
        self.upstream_id = f"f{index}"
        self._zone = zone
        self._world = world
        self._process = 0
        self._worker = None

    def start(self):
        """Starts the next process and names it to the store."""
        self._process += 1
        self._worker = worker.Worker(self.upstream_id, WORK_S)
        self._worker.set_small_window()
        self._worker.read_bytes, self._worker.read_pause_s = READ_BYTES, READ_PAUSE_S
        self._worker.on_run = self._record_run
        host, port = self._worker.address
        spec = platformdata.build_upstream_spec(
            address=f"{host}:{port}",
            service=SERVICE,
            zone=self._zone,
            born=1_700_000_000_000 + self._process,
        )
        self._world.store.write("servers", self.upstream_id, spec)

    def shut_down(self):
        """Ends the process, if there is one."""
        if self._worker is not None:
            ended, self._worker = self._worker, None
            ended.shut_down()

    def _record_run(self, request_id):
        if not request_id.startswith(CRASH_ID):
            return
        self._world.observations.crash_runs.append(request_id)
        self.shut_down()
        eventlet.spawn_after(DOWN_S, self._return)

    def _return(self):
        if not self._world.is_stopping:
            self.start()


def make_upstreams(zones, world):
    """Returns the FrailUpstreams of a world."""
    all_zones = tuple(zones) * UPSTREAMS_PER_ZONE
    return [FrailUpstream(index, zone, world) for index, zone in enumerate(all_zones)]


class FrailClients:
    """Sends the order that crashes upstreams to the hosts in turn, and long orders to all.

    Args:
      target: The world.World.
      seed: Seed of the run.
    """

    def __init__(self, target, seed):
        self.is_finishing = False
        self._world = target
        self._seed = seed
        self._numbers = itertools.count()
        self._threads = []

    def start(self):
        """Starts the clients."""
        self._threads = [eventlet.spawn(run) for run in (self._send_crashing, self._send_long)]

    def finish(self):
        """Stops the clients after their current requests."""
        self.is_finishing = True
        for thread in self._threads:
            thread.wait()

    def _send_crashing(self):
        for host in itertools.cycle(range(len(self._world.hosts))):
            if self.is_finishing:
                return
            request = self._make_request(CRASH_ID, host, CRASH_TARGET)
            self._world.observations.crash_requests.append(request)
            eventlet.spawn(self._exchange, request, b"the same order")
            eventlet.sleep(CRASH_PAUSE_S)

    def _send_long(self):
        rng = random.Random(f"{self._seed} uploads")
        while not self.is_finishing:
            host = rng.randrange(len(self._world.hosts))
            request = self._make_request("long", host, f"{PREFIX}long/{rng.randrange(30)}")
            self._world.observations.uploads.append(request)
            eventlet.spawn(self._exchange, request, bytes(rng.choice(UPLOAD_BYTES)))
            eventlet.sleep(rng.uniform(0.2, 1.8) * UPLOAD_PAUSE_S)

    def _make_request(self, kind, host, target):
        request_id = f"{kind}{self._seed}-{next(self._numbers)}"
        return records.ClientRequest(request_id, target, False, host, time.monotonic())

    def _exchange(self, request, body):
        address = (self._world.hosts[request.host].ip, hosts.FIRST_PORT)
        try:
            channel = channels.Channel(address, request.host)
        except OSError:
            # The host is down.
            return
        message = platformdata.format_request(
            f"POST {request.target}", request.request_id, body, key=request.target
        )
        try:
            channel.send(request, [message])
            channel.read_answer()
        finally:
            channel.close()
