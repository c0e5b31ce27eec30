"""Stand-in of a worker (PROTOCOL.md, "Workers" and "Service discovery")."""

import asyncio
import collections
import time

from lib import wire

HEARTBEAT_S = 1.5
SEAL = "3e1b.07.5a2.600.0.c9f2a4d1"
IDLE_CLOSE_S = 10


class Worker:
    """One worker with slots, a short queue, kept connections and heartbeats to the store.

    Attributes:
      on_run: Function of this worker, a request id, a target and the headers as a run begins; the
        worker crashes if it returns True.
      runs: Ids of the requests that run now.
    """

    def __init__(self, store, service, zone, ip, port, worker_id, record, work_s, slots=3, queue=9):
        self.store = store
        self.service = service
        self.zone = zone
        self.address = (ip, port)
        self.worker_id = worker_id
        self.record = record
        self.work_s = work_s
        self.slots = slots
        self.queue = queue
        self.state = "ready"
        self.cold_s = 0.0
        self.extra_headers = []
        self.on_run = None
        self.on_arrival = None
        self.runs = set()
        self.is_up = False
        self.born = 0
        self.entry = {}
        self._sequence = 0
        self._waiting = collections.deque()
        self._server = None
        self._heart = None
        self._connections = {}
        self._started_at = 0.0

    async def start(self, cold_s=0.0):
        """Starts an incarnation and registers it."""
        self._server = await asyncio.start_server(self._serve, *self.address, backlog=256)
        self.born = int(time.time() * 1000)
        self.cold_s = cold_s
        self._started_at = time.monotonic()
        self._sequence = 0
        self.is_up = True
        self.beat()
        self._heart = asyncio.create_task(self._beat_repeatedly())

    def beat(self):
        """Writes the entry, which changes when more than the sequence changes."""
        left_s = max(0.0, self.cold_s - (time.monotonic() - self._started_at))
        spec = {
            "service": self.service,
            "address": f"{self.address[0]}:{self.address[1]}",
            "zone": self.zone,
            "configVersion": "v1",
            "slots": self.slots,
            "state": self.state,
            "coldRemaining": f"{int(left_s * 1000)}ms",
            "sequence": self._sequence,
            "born": self.born,
        }
        self._sequence += 1
        self.entry = spec
        known = self.store.objects.get(("servers", self.worker_id))
        if known is None or {**known["spec"], "sequence": 0} != {**spec, "sequence": 0}:
            self.store.put("servers", self.worker_id, spec)

    async def _beat_repeatedly(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.beat()

    def stop_beating(self):
        """Sends no more heartbeats."""
        self._heart.cancel()

    def crash(self):
        """Ends the process: connections are reset, new ones are refused, no more heartbeats."""
        lost = sorted(self.runs)
        self.record.write(f"crash of {self.worker_id} with {len(lost)} running: {' '.join(lost)}")
        self.is_up = False
        self._heart.cancel()
        self._server.close()
        for writer, task in list(self._connections.items()):
            writer.transport.abort()
            task.cancel()
        self._connections.clear()
        self._waiting.clear()
        self.runs.clear()
        return lost

    async def stop(self):
        """Ends the worker at the end of a case."""
        if self.is_up:
            self.crash()

    async def _serve(self, reader, writer):
        self._connections[writer] = asyncio.current_task()
        try:
            while True:
                head, fields = await asyncio.wait_for(wire.read_head(reader), IDLE_CLOSE_S)
                body = await reader.readexactly(int(fields.get("content-length", "0")))
                await self._serve_request(reader, writer, head, fields, body)
        except (OSError, EOFError, TimeoutError):
            return
        finally:
            self._connections.pop(writer, None)
            writer.close()

    async def _serve_request(self, reader, writer, head, fields, body):
        method, target = head.split(" ")[:2]
        request_id = fields.get("x-skylarksill-request-id", "")
        if self.on_arrival is not None:
            self.on_arrival(self, request_id, target, fields)
        if fields.get("x-skylarksill-expect-instance", self.worker_id) != self.worker_id:
            self._answer(writer, 421, request_id, b"", [])
            return
        if len(self.runs) >= self.slots:
            if len(self._waiting) >= self.queue:
                self._answer(writer, 503, request_id, b"", ["X-Skylarksill-Not-Executed: 1"])
                return
            turn = asyncio.get_running_loop().create_future()
            self._waiting.append(turn)
            await turn
        self.runs.add(request_id)
        self.record.write(f"run {request_id} {method} {target} at {self.worker_id}")
        if self.on_run is not None and self.on_run(self, request_id, target, fields):
            self.crash()
            raise ConnectionResetError
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.runs.discard(request_id)
            while self._waiting and len(self.runs) < self.slots:
                turn = self._waiting.popleft()
                if not turn.done():
                    turn.set_result(None)
                    break
        body = f"{self.worker_id}:{request_id}".encode()
        self._answer(writer, 200, request_id, body, [f"X-Skylarksill-Response-Seal: {SEAL}"])
        await writer.drain()

    def _answer(self, writer, status, request_id, body, headers):
        load = f"{len(self.runs)},{len(self._waiting)},{self.slots},100"
        lines = [
            f"HTTP/1.1 {status} Status",
            f"X-Skylarksill-Request-Id: {request_id}",
            f"X-Skylarksill-Server-Load: {load}",
            f"Keep-Alive: timeout={IDLE_CLOSE_S}",
            f"Content-Length: {len(body)}",
            *headers,
            *self.extra_headers,
        ]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
