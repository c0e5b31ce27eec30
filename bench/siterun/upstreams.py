"""The upstreams of a run: a few slots each, a queue, and work whose time is drawn."""

import collections
import contextlib
import struct
import time

import eventlet
from eventlet import semaphore
from eventlet.green import socket

from bench.siterun import records, troubles
from standins import platformdata, worker

KEEP_ALIVE_S = 10
# An upstream that recently handled an object needs this share of the time.
KNOWN_OBJECT_SHARE = 0.3
KNOWN_OBJECTS = 63
# Shares of the answers after which the upstream closes the connection, with a header that says so
# and without one, of those that end with their connection, and of those that come in two parts.
CLOSING_SHARE = 0.01
SILENTLY_CLOSING_SHARE = 0.003
UNFRAMED_SHARE = 0.01
PARTED_SHARE = 0.1
PART_PAUSE_S = 0.01
# Share of the ends without a complete answer that are resets.
RESET_SHARE = 0.5
_NO_ANSWER = b"\x00\x01 no answer\r\n\r\n"


class SiteUpstream:
    """An upstream on a loopback address.

    Args:
      upstream_id: Its id.
      shape: The shape.ServiceShape.
      requests: Dict of shape.RequestShape by path prefix.
      zone: Its availability zone.
      rng: Random generator for work, sizes and ends.
      on_run: Function of a records.Run that is called when it arrives.
      disturbed: The troubles.Troubles of the upstream.
    """

    def __init__(self, upstream_id, shape, requests, zone, rng, on_run, disturbed):
        self.upstream_id = upstream_id
        self.service = shape
        self.zone = zone
        self.is_leaving = False
        self._requests = requests
        self._rng = rng
        self._on_run = on_run
        self._disturbed = disturbed
        self._slots = semaphore.Semaphore(shape.slots)
        self._running = 0
        self._waiting = 0
        self._known = collections.OrderedDict()
        self._idle = set()
        # The records.Run under way, or None, by connection.
        self._exchanges = {}
        # Connections that the upstream has ended as it crashed; it reads nothing more from them.
        self._crashed = set()
        self._listen(("127.0.0.1", 0))

    def _listen(self, address):
        self._socket = eventlet.listen(address, backlog=512)
        self.address = self._socket.getsockname()
        self._thread = eventlet.spawn(self._accept)

    def crash(self):
        """Ends all connections at once and stops listening; what runs is broken off."""
        exchanges = dict(self._exchanges)
        self._crashed.update(exchanges)
        for run in exchanges.values():
            if run is not None:
                _note_break(run)
        self._known.clear()
        self._thread.kill()
        self._socket.close()
        is_reset = self._rng.random() < RESET_SHARE
        for client in exchanges:
            # The host may have ended it.
            with contextlib.suppress(OSError):
                if is_reset:
                    _reset_on_close(client)
                client.shutdown(socket.SHUT_RDWR)

    def come_back(self, upstream_id):
        """Listens again on the address of before, under an id."""
        self.upstream_id = upstream_id
        self._listen(self.address)

    def shut_down(self):
        """Stops listening, lets requests end and closes the connections."""
        self._thread.kill()
        self._socket.close()
        self.is_leaving = True
        for client in list(self._idle):
            client.shutdown(socket.SHUT_RDWR)

    def _accept(self):
        while True:
            client, _ = self._socket.accept()
            client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            eventlet.spawn_n(self._serve_connection, client)

    def _serve_connection(self, client):
        data = b""
        self._exchanges[client] = None
        try:
            while True:
                self._idle.add(client)
                client.settimeout(KEEP_ALIVE_S)
                while b"\r\n\r\n" not in data:
                    received = client.recv(65536)
                    if not received:
                        return
                    data += received
                if client in self._crashed:
                    return
                self._idle.discard(client)
                head, _, data = data.partition(b"\r\n\r\n")
                fields = platformdata.parse_fields(head)
                size = int(fields.get("content-length", "0"))
                while len(data) < size:
                    received = client.recv(65536)
                    if not received:
                        return
                    data += received
                data = data[size:]
                if not self._serve_request(client, head.split()[1].decode(), fields):
                    return
                self._exchanges[client] = None
        except OSError:
            # The host has closed the connection, or has been idle for too long.
            return
        finally:
            self._idle.discard(client)
            self._crashed.discard(client)
            del self._exchanges[client]
            client.close()

    def _serve_request(self, client, target, fields):
        if fields.get(platformdata.EXPECTED_UPSTREAM_FIELD) != self.upstream_id:
            return self._send(client, fields, 421)
        run = records.Run(fields[platformdata.REQUEST_ID_FIELD], self.upstream_id)
        self._on_run(run)
        self._exchanges[client] = run
        broken = self._disturbed.draw_break()
        if broken is troubles.Break.UNREAD:
            return self._break_off(client, run)
        deadline = time.monotonic() + int(fields[platformdata.DEADLINE_FIELD]) / 1000
        if self._slots.locked() and self._waiting >= self.service.queue:
            return self._refuse(client, fields, run)
        self._waiting += 1
        try:
            self._slots.acquire()
        finally:
            self._waiting -= 1
        self._running += 1
        try:
            return self._run(client, target, fields, deadline, run, broken)
        finally:
            self._running -= 1
            self._slots.release()

    def _refuse(self, client, fields, run):
        run.end, run.ended_at = records.RunEnd.REFUSED, time.monotonic()
        return self._send(client, fields, 503, [platformdata.NOT_RUN_HEADER])

    def _break_off(self, client, run, data=b""):
        """Sends some bytes and ends the connection by its close, or by a reset."""
        _note_break(run)
        client.sendall(data)
        if self._rng.random() < RESET_SHARE:
            _reset_on_close(client)
        return False

    def _run(self, client, target, fields, deadline, run, broken):
        if run.end is records.RunEnd.BROKEN_OFF:
            # The upstream has crashed while the request waited.
            return False
        now = time.monotonic()
        status = self._disturbed.draw_status()
        if now >= deadline or status == 503:
            return self._refuse(client, fields, run)
        run.began_at = now
        request = self._requests[f"/{target.split('/')[1]}/"]
        work_s = request.work_s.draw(self._rng) * self._disturbed.find_pace(now)
        if self._disturbed.empties_cache(now):
            self._known.clear()
        if target in self._known:
            work_s *= KNOWN_OBJECT_SHARE
        wait_s = min(work_s, deadline - now)
        if broken is troubles.Break.AT_WORK:
            wait_s *= self._rng.random()
        is_connected = _wait_while_connected(client, wait_s)
        if run.end is records.RunEnd.BROKEN_OFF:
            return False
        if not is_connected:
            run.end, run.ended_at = records.RunEnd.HOST_LEFT, time.monotonic()
            return False
        if broken is troubles.Break.AT_WORK:
            return self._break_off(client, run)
        if broken is troubles.Break.NO_ANSWER:
            return self._break_off(client, run, _NO_ANSWER)
        status = 504 if now + work_s > deadline else status
        size = int(request.answer_bytes.draw(self._rng))
        if broken is not None:
            return self._break_answer(client, fields, run, broken, size)
        self._remember(target)
        run.end, run.ended_at = records.RunEnd.ANSWERED, time.monotonic()
        return self._send(client, fields, status, [worker.SIGNATURE_HEADER], b"." * size)

    def _break_answer(self, client, fields, run, broken, size):
        """Sends an answer up to a point within its head or its body."""
        lines = self._format_head(fields, 200, [worker.SIGNATURE_HEADER])
        head = "\r\n".join([*lines, f"Content-Length: {size + 1}"]).encode() + b"\r\n\r\n"
        if broken is troubles.Break.IN_HEAD:
            data = head[: self._rng.randrange(1, len(head))]
        else:
            data = head + b"." * self._rng.randint(0, size)
        return self._break_off(client, run, data)

    def _remember(self, target):
        self._known[target] = True
        self._known.move_to_end(target)
        if len(self._known) > KNOWN_OBJECTS:
            self._known.popitem(last=False)

    def _send(self, client, fields, status, headers=(), body=b""):
        """Sends an answer; returns whether the connection is kept."""
        lines = self._format_head(fields, status, headers)
        if self.is_leaving:
            lines.append("Server-Leaving: 1")
        drawn = self._rng.random()
        is_unframed = body and drawn < UNFRAMED_SHARE
        is_last = self.is_leaving or drawn < UNFRAMED_SHARE + CLOSING_SHARE
        if not is_unframed:
            lines.append(f"Content-Length: {len(body)}")
        lines.append("Connection: close" if is_last else f"Keep-Alive: timeout={KEEP_ALIVE_S}")
        data = "\r\n".join(lines).encode() + b"\r\n\r\n" + body
        if self._rng.random() < PARTED_SHARE:
            cut = self._rng.randrange(len(data))
            client.sendall(data[:cut])
            eventlet.sleep(PART_PAUSE_S)
            data = data[cut:]
        client.sendall(data)
        return not is_last and self._rng.random() >= SILENTLY_CLOSING_SHARE

    def _format_head(self, fields, status, headers):
        """Returns the lines of an answer's head that don't concern its framing."""
        pace = self._disturbed.find_pace(time.monotonic())
        slots = self.service.slots
        return [
            f"HTTP/1.1 {status} Status",
            *headers,
            f"{platformdata.REQUEST_ID_FIELD}: {fields.get(platformdata.REQUEST_ID_FIELD, '')}",
            platformdata.format_load(self._running, self._waiting, slots, pace),
        ]


def _note_break(run):
    """Notes the end of a run whose answer is not complete, unless the upstream has not run it."""
    if run.end in (records.RunEnd.RUNNING, records.RunEnd.ANSWERED):
        run.end, run.ended_at = records.RunEnd.BROKEN_OFF, time.monotonic()


def _reset_on_close(client):
    client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


def _wait_while_connected(client, seconds):
    """Waits; returns False as soon as the host has closed the connection."""
    client.settimeout(max(0.001, seconds))
    try:
        client.recv(1, socket.MSG_PEEK)
        return False
    except TimeoutError:
        return True
    except OSError:
        return False
