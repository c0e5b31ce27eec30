"""Hosts that are stopped and started in turn let a request that crashes workers through again."""

import asyncio
import os
import pathlib
import signal
import sys

# The stand-ins of the earlier review.
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from lib import deployment, wire, worker  # noqa: E402

FOLDER = pathlib.Path(__file__).resolve().parent
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = {"cn-a": "coast-north", "cn-b": "coast-north"}
HOSTS = ["cn-a", "cn-b", "cn-b"]
WORKERS = 8
WORK_S = 0.2
# Bounds of the site: of touch, and of a stop.
CONTACT_S = 4.0
GRACE_S = 6.0
# A worker that crashed is back after some seconds, as a new incarnation.
DOWN_S = 3.0
# Ordinary orders all the time, at all hosts in turn and for many objects.
ORDER_PAUSE_S = 0.04
KEYS = 40
# The request that crashes workers comes so often, at the hosts in turn.
POISON_PAUSE_S = 2.0
POISON_TARGET = "/order/poison"
# Copies before the stops, by which it is blocked, and at each host after its restart.
COPIES_BEFORE = 9
COPIES_AFTER = 5
# "in more than three retries"
MAX_RETRIES = 3


class Case:
    """State of the run."""

    def __init__(self, record, target):
        self.record = record
        self.target = target
        self.crashes = []
        self.lost = []
        self.arrived = set()
        self.sent = {}
        self.touched_from = dict.fromkeys(range(len(HOSTS)), 0.0)
        self.in_touch = {}
        self.statuses = {}
        self.tasks = set()
        self.copies = 0

    def spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def handle_run(self, ran_at, request_id, target, fields):
        """Records a run; returns True if the request crashes the worker."""
        if target != POISON_TARGET:
            return False
        self.arrived.add(request_id)
        self.crashes.append(self.record.now())
        self.lost += [item for item in ran_at.runs if item != request_id]
        self.spawn(self._bring_back(ran_at))
        return True

    async def _bring_back(self, crashed):
        await asyncio.sleep(DOWN_S)
        await crashed.start(cold_s=3.0)
        self.record.write(f"{crashed.worker_id} is back, born {crashed.born}")

    async def send(self, index, request_id, target, key):
        self.sent[request_id] = self.record.now()
        self.record.write(f"send {request_id} POST {target} to host {index}")
        body = b"deposit"
        status, _ = await self.target.send(index, request_id, target, "POST", body, key, 2000)
        self.statuses[request_id] = status
        self.record.write(f"answer {request_id} {status}")

    async def send_orders(self):
        number = 0
        while True:
            index = number % len(HOSTS)
            if self.touched_from[index] is not None:
                key = str(number % KEYS)
                self.spawn(self.send(index, f"o{number}", f"/order/{key}", key))
            number += 1
            await asyncio.sleep(ORDER_PAUSE_S)

    async def send_poison(self, index):
        """Sends the request that crashes workers to a host, which is in touch if it may be."""
        request_id = f"p{self.copies}"
        self.copies += 1
        since = self.touched_from[index]
        self.in_touch[request_id] = since is not None and self.record.now() >= since + CONTACT_S
        self.spawn(self.send(index, request_id, POISON_TARGET, "poison"))
        await asyncio.sleep(POISON_PAUSE_S)

    async def restart(self, index):
        """Stops a host as planned work does, and starts it again."""
        process = self.target.processes[index]
        self.touched_from[index] = None
        self.target.signal(index, signal.SIGTERM)
        for _ in range(int(GRACE_S / 0.1)):
            if process.poll() is not None:
                break
            await asyncio.sleep(0.1)
        if process.poll() is None:
            process.kill()
        process.wait()
        self.record.write(f"host {index} has ended with {process.returncode}")
        self.target.start_host(index)
        await self.target.wait_ready(index)
        self.touched_from[index] = self.record.now()

    async def run(self):
        target = self.target
        routes = {"r-order": wire.build_route("/order/", "non_idempotent", "yard")}
        target.store.put("config", "main", wire.build_configuration(7, routes, ["yard"]))
        for number in range(WORKERS):
            zone = list(ZONES)[number % len(ZONES)]
            address = target.next_worker_address()
            added = worker.Worker(
                target.store, "yard", zone, *address, f"i-{number}", self.record, WORK_S
            )
            added.on_run = self.handle_run
            await added.start()
        await target.start()
        self.spawn(self.send_orders())
        await asyncio.sleep(CONTACT_S + 1.0)
        for copy in range(COPIES_BEFORE):
            await self.send_poison(copy % len(HOSTS))
        for index in range(len(HOSTS)):
            if HAS_TROUBLE:
                await self.restart(index)
            await asyncio.sleep(CONTACT_S + 0.5)
            for _ in range(COPIES_AFTER):
                await self.send_poison(index)
        await asyncio.sleep(2.5)
        return self.judge()

    def judge(self):
        """Returns 1 if the rule was broken, else 0."""
        for index, process in enumerate(self.target.processes):
            if process.poll() is not None:
                raise deployment.CaseError(f"host {index} has ended")
        if len(self.crashes) < 3:
            raise deployment.CaseError("the request has crashed fewer than three workers")
        bound = self.crashes[2] + CONTACT_S
        late = [item for item in self.arrived if self.in_touch[item] and self.sent[item] > bound]
        ordinary = [item for item in self.statuses if item.startswith("o")]
        served = sum(self.statuses[item] == 200 for item in ordinary)
        self.record.write(
            f"{self.copies} copies, {len(self.crashes)} crashes; retries sent by hosts in touch"
            f" later than contact after the third that reached workers: {len(late)} (at most"
            f" {MAX_RETRIES}); orders of others that were running at crashes: {len(self.lost)};"
            f" {served} of {len(ordinary)} orders served"
        )
        return int(len(late) > MAX_RETRIES)


async def main():
    record = wire.Record(FOLDER / "record.txt")
    return await deployment.run_case(Case, ZONES, HOSTS, record)


if __name__ == "__main__":
    result = asyncio.run(main())
    print({0: "the rule held", 1: "the rule was broken", 2: "could not run"}[result])
    sys.exit(result)
