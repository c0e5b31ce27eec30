"""A small deployment: host processes of the deploy file on loopback addresses, and clients."""

import asyncio
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import tomllib

from lib import platformstore, wire

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
READY_TIMEOUT_S = 20.0
HOST_NAME = "jepu9.example"


class CaseError(Exception):
    """The case could not run."""


class Deployment:
    """The store, the host processes and their settings.

    Args:
      zones: Dict of region by zone.
      hosts: List of the zone of each host.
      folder: Temporary folder of the run.
      record: The wire.Record.
    """

    def __init__(self, zones, hosts, folder, record):
        self.zones = zones
        self.folder = pathlib.Path(folder)
        self.record = record
        self.network = f"127.{random.randrange(64, 250)}.{random.randrange(1, 240)}"
        self.ips = [f"{self.network}.{10 + index}" for index in range(len(hosts))]
        self.host_zones = hosts
        self.store = platformstore.Store()
        self.store_address = (f"{self.network}.2", self.find_port())
        internal = random.randrange(20_000, 28_000)
        names = ("front", "ready", "control", "directory")
        self.ports = {name: internal + 20 + index for index, name in enumerate(names)}
        self.ports["internal"] = internal
        self.processes = [None] * len(hosts)
        self.worker_count = 0
        with open(ROOT / "deploy" / "system.toml", "rb") as file:
            self.command = tomllib.load(file)["roles"]["host"]["run"].split()

    def find_port(self):
        """Returns a free port of the loopback network."""
        with socket.socket() as probe:
            probe.bind((f"{self.network}.2", 0))
            return probe.getsockname()[1]

    def next_worker_address(self):
        """Returns an address for a worker."""
        self.worker_count += 1
        first, second, third = self.network.split(".")
        number = self.worker_count
        return f"{first}.{second}.{int(third) + 1 + number // 200}.{10 + number % 200}", 8080

    async def start(self, store_addresses=None):
        """Starts the store and all hosts, and waits until they are ready.

        Args:
          store_addresses: The address at which each host reaches the store; its own if None.
        """
        await self.store.start(*self.store_address)
        for index in range(len(self.ips)):
            self.start_host(index, store_addresses[index] if store_addresses else None)
        await asyncio.gather(*(self.wait_ready(index) for index in range(len(self.ips))))

    def start_host(self, index, store=None):
        """Starts the process of a host with the command of the deploy file."""
        path = self.folder / f"host-{index}.conf"
        settings = wire.build_settings(
            f"edge-{index}",
            self.ips[index],
            self.host_zones[index],
            self.zones,
            self.ports,
            store or self.store_address,
            self.ips[:3],
        )
        path.write_text(settings, encoding="utf-8")
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment = {
            **kept,
            "SKYLARKSILL_BOOT": str(path),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
        }
        with open(self.folder / f"host-{index}.log", "ab") as log:
            self.processes[index] = subprocess.Popen(
                self.command, cwd=ROOT, env=environment, stdout=log, stderr=subprocess.STDOUT
            )
        self.record.write(f"start of host {index} as process {self.processes[index].pid}")

    def signal(self, index, number):
        """Sends a signal to a host's process."""
        self.record.write(f"signal {signal.Signals(number).name} to host {index}")
        self.processes[index].send_signal(number)

    async def is_ready(self, index):
        """Returns True if a host answers its readiness check with 200."""
        try:
            reader, writer = await asyncio.open_connection(self.ips[index], self.ports["ready"])
        except OSError:
            return False
        try:
            writer.write(b"GET /v1/readiness HTTP/1.1\r\nHost: host\r\nConnection: close\r\n\r\n")
            status, _, _ = await wire.read_answer(reader)
            return status == 200
        except (OSError, EOFError):
            return False
        finally:
            writer.close()

    async def wait_ready(self, index):
        """Waits until a host is ready.

        Raises:
          CaseError: If it takes too long.
        """
        for _ in range(int(READY_TIMEOUT_S / 0.1)):
            if await self.is_ready(index):
                return
            await asyncio.sleep(0.1)
        raise CaseError(f"host {index} did not become ready")

    def stop(self):
        """Ends all processes that were started."""
        for process in self.processes:
            if process is not None and process.poll() is None:
                process.kill()
                process.wait()

    async def send(
        self, index, request_id, target, method="GET", body=None, key="17", deadline_ms=2000
    ):
        """Sends one request on a new connection.

        Returns:
          The pair of status and body; the status is None if the connection ends without an answer.
        """
        writer = None
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.ips[index], self.ports["front"]), 1.0
            )
            writer.write(format_request(request_id, target, method, body, key, deadline_ms))
            limit_s = deadline_ms / 1000 + 0.5
            status, fields, data = await asyncio.wait_for(wire.read_answer(reader), limit_s)
            return status, data
        except (OSError, EOFError, TimeoutError):
            return None, b""
        finally:
            if writer is not None:
                writer.close()


async def run_case(make_case, zones, hosts, record):
    """Runs a case in a temporary folder.

    Args:
      make_case: Function of the record and the Deployment that returns an object with a coroutine
        ``run``, which returns 1 if the rule was broken and else 0.
      zones: Dict of region by zone.
      hosts: List of the zone of each host.
      record: The wire.Record.
    Returns:
      The exit code; 2 if the case could not run.
    """
    with tempfile.TemporaryDirectory() as folder:
        target = Deployment(zones, hosts, folder, record)
        try:
            result = await make_case(record, target).run()
        except (CaseError, OSError) as error:
            record.write(f"could not run: {error!r}")
            result = 2
        finally:
            target.stop()
            if "KEEP_LOGS" in os.environ:
                shutil.copytree(folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
    record.write(f"exit {result}")
    return result


def format_request(request_id, target, method="GET", body=None, key="17", deadline_ms=2000):
    """Returns the bytes of a client's request."""
    lines = [
        f"{method} {target} HTTP/1.1",
        f"Host: {HOST_NAME}",
        f"X-Skylarksill-Request-Id: {request_id}",
        f"Cookie: X-Skylarksill-Affinity-Key={key}",
        f"X-Skylarksill-Deadline-Ms: {deadline_ms}",
    ]
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + (body or b"")
