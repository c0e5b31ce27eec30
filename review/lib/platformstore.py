"""Stand-in of the platform's metadata store (PROTOCOL.md, "The platform's metadata store")."""

import asyncio
import json
import math
import random
import urllib.parse

from lib import wire

PAGE_SIZE = 50


class Store:
    """Serves objects by kind and name with revisions, lists in pages and watches."""

    def __init__(self):
        self.objects = {}
        self.revision = 10
        self.history = []
        # Range of the seconds after which a waiting watch is cut off, or None.
        self.watch_cut_s = None
        self.cut_count = 0
        # Bytes that stand for a text in the answers, as another writer has written them.
        self.raw_values = {}
        self._rng = random.Random(5)
        self._changed = asyncio.Event()
        self._server = None

    async def start(self, ip, port):
        """Listens on a loopback address."""
        self._server = await asyncio.start_server(self._serve, ip, port)

    def put(self, kind, name, spec):
        """Writes an object as its owner would with a call."""
        known = self.objects.get((kind, name))
        if known is not None and known["spec"] == spec:
            return
        self.revision += 1
        created = known["metadata"]["created"] if known else self.revision
        metadata = {
            "name": name,
            "revision": self.revision,
            "created": created,
            "finalizers": [],
            "deleteRequested": False,
        }
        self.objects[kind, name] = {"metadata": metadata, "spec": spec, "status": None}
        self._record(kind, self.objects[kind, name], False)

    def delete(self, kind, name):
        """Removes an object; does nothing if there is none."""
        found = self.objects.pop((kind, name), None)
        if found is not None:
            self.revision += 1
            found = {**found, "metadata": {**found["metadata"], "revision": self.revision}}
            self._record(kind, found, True)

    def _record(self, kind, item, is_deleted):
        self.history.append((self.revision, kind, {"object": item, "deleted": is_deleted}))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _serve(self, reader, writer):
        try:
            while True:
                head, fields = await wire.read_head(reader)
                body = await reader.readexactly(int(fields.get("content-length", "0")))
                method, target = head.split(" ")[:2]
                status, answer = await self._answer(method, target, body)
                data = json.dumps(answer).encode()
                for text, raw in self.raw_values.items():
                    data = data.replace(text.encode(), raw)
                writer.write(
                    f"HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode() + data
                )
                await writer.drain()
        except (OSError, EOFError):
            # A watch that is cut off: its connection is closed without an answer.
            return
        finally:
            writer.close()

    async def _answer(self, method, target, body):
        path, _, query_text = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query_text))
        parts = [urllib.parse.unquote(part) for part in path.split("/")[3:]]
        kind = parts[0]
        if method == "GET" and "watch" in query:
            return await self._watch(kind, int(query["watch"]), int(query["waitMs"]) / 1000)
        if method == "GET" and len(parts) == 1:
            after = query.get("after", "")
            names = sorted(name for known, name in self.objects if known == kind and name > after)
            items = [self.objects[kind, name] for name in names[:PAGE_SIZE]]
            has_more = len(names) > PAGE_SIZE
            return 200, {"items": items, "hasMore": has_more, "storeRevision": self.revision}
        if method == "GET":
            found = self.objects.get((kind, parts[1]))
            return (200, found) if found else (404, None)
        message = json.loads(body)
        name = message["metadata"]["name"] if method == "POST" else parts[1]
        known = self.objects.get((kind, name))
        if method == "POST" and known is not None:
            return 409, known
        if method == "PUT" and known is None:
            return 404, None
        revision = message["metadata"].get("revision")
        if revision is not None and known and revision != known["metadata"]["revision"]:
            return 409, known
        self.put(kind, name, message["spec"])
        return 200, self.objects[kind, name]

    async def _watch(self, kind, revision, wait_s):
        deadline = asyncio.get_running_loop().time() + wait_s
        cut_at = math.inf
        if self.watch_cut_s is not None:
            cut_at = deadline - wait_s + self._rng.uniform(*self.watch_cut_s)
        while True:
            events = [item for at, known, item in self.history if at > revision and known == kind]
            left = deadline - asyncio.get_running_loop().time()
            if events or left <= 0.0:
                return 200, {"events": events, "storeRevision": self.revision}
            if asyncio.get_running_loop().time() >= cut_at:
                self.cut_count += 1
                raise EOFError("the watch is cut off")
            try:
                await asyncio.wait_for(self._changed.wait(), min(left, cut_at - deadline + left))
            except TimeoutError:
                continue
