"""A process with many clients that keep to no limits: slow, silent, and back after each refusal.

It is a process of its own, as its memory and its processor time must not count for the program
under test or delay its stand-ins.
"""

import collections
import dataclasses
import enum
import errno
import itertools
import os
import socket
import subprocess
import sys
import time

from standins import platformdata

# Interval at which each client sends and reads.
TICK_S = 0.05
# Pause of a client whose connection has ended before it opens the next one, and that of one which
# takes each place that gets free.
REOPEN_S = 0.3
QUICK_REOPEN_S = 0.02
# Bytes of one client that wait to be sent; the rest of what it sends is made later.
MAX_WAITING_BYTES = 262_144
# Bytes that a slow reader reads in a tick, and the kernel's buffer for it.
SLOW_READ_BYTES = 1_024
SLOW_BUFFER_BYTES = 4_096
LARGE_CHUNK_BYTES = 65_536
# Repetitions of a chunk of one byte in one portion.
SMALL_CHUNKS = 4_096
# Size of the answers that slow readers and those that read nothing ask for, in KiB.
LONG_ANSWER_KB = 4_000
PIPELINED_ANSWER_KB = 60
PIPELINED_REQUESTS = 64
# Answers of one client that asks for many, their size in KiB, and the bytes it reads in a tick.
MANY_ANSWERS = 16
MANY_ANSWER_KB = 15
MANY_ANSWERS_READ_BYTES = 512
# Requests in a row with as many fields as their heads may hold, and the smallest field.
FIELD_REQUESTS = 16
SMALLEST_FIELD = b"a:\r\n"
# Bytes of a head that are no such fields, at most.
OTHER_HEAD_BYTES = 500
EXTENSION_BYTES = 12_000
CUT_BODY_BYTES, DECLARED_BODY_BYTES = 16_000, 17_000
SMALLEST_REQUESTS = 1_500
WAITING_UPLOADS = 16
WAITING_BODY_BYTES = 60_000
DATAGRAM_BYTES = 1_200
DATAGRAMS_PER_TICK = 20


class Habit(enum.Enum):
    """What the clients of a crowd do."""

    LARGE_CHUNKS = "bodies in large chunks without their end"
    SMALL_CHUNKS = "bodies in chunks of one byte without their end"
    SLOW_READING = "long answers that are read slowly"
    GROWING_HEADS = "heads that grow slowly"
    IDLE = "nothing"
    UNREAD_PIPELINES = "pipelines whose answers are not read"
    LONG_UPLOADS = "whole bodies whose long answers are read slowly"
    FIELDS = "heads of many fields and bodies without their end"
    CUT_FIELDS = "heads of many fields without their end"
    TRAILERS = "trailers of many fields without their end"
    FIELD_PIPELINES = "whole requests with many fields in a row"
    EXTENSIONS = "chunks with long extensions"
    CUT_BODIES = "bodies that stop short of their end"
    MANY_ANSWERS = "requests for many answers that are read slowly"
    SMALLEST_REQUESTS = "the smallest requests in a row"
    WAITING_UPLOADS = "whole uploads that wait for their upstream"
    GARBAGE = "bytes that mean nothing"
    CUT_MESSAGES = "messages of hosts without their end"
    DATAGRAMS = "datagrams that mean nothing"


# Clients that read slowly, with the bytes that they read in a tick.
_SLOW_READS = {
    Habit.SLOW_READING: SLOW_READ_BYTES,
    Habit.LONG_UPLOADS: SLOW_READ_BYTES,
    Habit.MANY_ANSWERS: MANY_ANSWERS_READ_BYTES,
}
# Clients that come back at once.
_QUICK = frozenset(
    (
        Habit.FIELDS,
        Habit.CUT_FIELDS,
        Habit.TRAILERS,
        Habit.FIELD_PIPELINES,
        Habit.EXTENSIONS,
        Habit.CUT_BODIES,
        Habit.MANY_ANSWERS,
        Habit.SMALLEST_REQUESTS,
        Habit.WAITING_UPLOADS,
    )
)


@dataclasses.dataclass(frozen=True, slots=True)
class Sizes:
    """Limits of the program under test, up to which the clients go.

    Attributes:
      body_bytes: Largest body of a request.
      head_bytes: Largest head of a request.
    """

    body_bytes: int
    head_bytes: int


class Crowd:
    """Runs the process.

    Args:
      groups: List of tuples of an address, a Habit and the number of clients.
      sizes: The Sizes.
      sources: IP addresses from which the clients connect in turn.
    """

    def __init__(self, groups, sizes, sources):
        arguments = [str(sizes.body_bytes), str(sizes.head_bytes), ",".join(sources)]
        for (host, port), habit, count in groups:
            arguments += [f"{host}:{port}", habit.name, str(count)]
        self._process = subprocess.Popen([sys.executable, "-m", "standins.crowd", *arguments])

    def stop(self):
        """Ends the process; fails if it has ended before."""
        has_ended = self._process.poll() is not None
        self._process.kill()
        self._process.wait()
        assert not has_ended, "the crowd has ended by itself"


def _make_portions(habit, sizes, number):
    """Yields the portions of bytes that a client sends; an empty one is a pause of one tick."""
    chunked = (
        f"POST /order/{number} HTTP/1.1\r\nHost: {platformdata.SITE}\r\n"
        "Transfer-Encoding: chunked\r\n\r\n"
    ).encode()
    match habit:
        case Habit.LARGE_CHUNKS:
            yield chunked
            chunk = b"%x\r\n%b\r\n" % (LARGE_CHUNK_BYTES, bytes(LARGE_CHUNK_BYTES))
            yield from itertools.repeat(chunk, sizes.body_bytes // LARGE_CHUNK_BYTES)
        case Habit.SMALL_CHUNKS:
            yield chunked
            portion = b"1\r\nx\r\n" * SMALL_CHUNKS
            yield from itertools.repeat(portion, sizes.body_bytes // SMALL_CHUNKS)
        case Habit.SLOW_READING:
            yield _format(f"GET /read/{number}/{LONG_ANSWER_KB}kb/", number)
        case Habit.GROWING_HEADS:
            yield f"GET /read/{number} HTTP/1.1\r\nHost: {platformdata.SITE}\r\n".encode()
            line = b"X-Field: " + b"x" * 100 + b"\r\n"
            for _ in range(sizes.head_bytes // len(line) - 1):
                yield line
                yield b""
        case Habit.UNREAD_PIPELINES:
            for index in range(PIPELINED_REQUESTS):
                target = f"GET /read/{number}/{PIPELINED_ANSWER_KB}kb/{index}"
                yield _format(target, f"{number}-{index}")
        case Habit.LONG_UPLOADS:
            body = bytes(sizes.body_bytes)
            yield _format(f"POST /order/{number}/{LONG_ANSWER_KB}kb/", number, body)
        case Habit.FIELDS:
            yield chunked.removesuffix(b"\r\n") + _make_fields(sizes) + b"\r\n1\r\nx\r\n"
        case Habit.CUT_FIELDS:
            yield chunked.removesuffix(b"\r\n") + _make_fields(sizes)
        case Habit.TRAILERS:
            yield chunked + b"1\r\nx\r\n0\r\n" + _make_fields(sizes)
        case Habit.FIELD_PIPELINES:
            for index in range(FIELD_REQUESTS):
                request = _format(f"GET /read/{number}/{index}", f"{number}-{index}")
                yield request.removesuffix(b"\r\n") + _make_fields(sizes) + b"\r\n"
        case Habit.EXTENSIONS:
            yield chunked
            chunk = b"1;" + b"e" * EXTENSION_BYTES + b"\r\nx\r\n"
            yield from itertools.repeat(chunk, sizes.body_bytes - 1)
        case Habit.CUT_BODIES:
            request = _format(f"POST /order/{number}", number, bytes(DECLARED_BODY_BYTES))
            yield request[: CUT_BODY_BYTES - DECLARED_BODY_BYTES]
        case Habit.MANY_ANSWERS:
            for index in range(MANY_ANSWERS):
                target = f"GET /read/{number}/{MANY_ANSWER_KB}kb/{index}"
                yield _format(target, f"{number}-{index}")
        case Habit.SMALLEST_REQUESTS:
            request = f"GET /read/1 HTTP/1.1\r\nHost:{platformdata.SITE}\r\n\r\n".encode()
            yield request * SMALLEST_REQUESTS
        case Habit.WAITING_UPLOADS:
            for index in range(WAITING_UPLOADS):
                line = f"POST /order/{number}/900ms/{index}"
                yield _format(line, f"{number}-{index}", bytes(WAITING_BODY_BYTES))
        case Habit.GARBAGE:
            while True:
                yield os.urandom(LARGE_CHUNK_BYTES)
        case Habit.CUT_MESSAGES:
            yield (200).to_bytes(4, "big") + bytes(190)
        case Habit.IDLE | Habit.DATAGRAMS:
            return


def _make_fields(sizes):
    """Returns as many of the smallest fields as a head may hold."""
    # Hosts count a field's line end and its separator as four bytes.
    counted_bytes = len(SMALLEST_FIELD) + 1
    return SMALLEST_FIELD * ((sizes.head_bytes - OTHER_HEAD_BYTES) // counted_bytes)


def _format(line, number, body=None):
    # An id of its own for each connection: a repeated one would be another case.
    request_id = f"crowd-{number}-{time.monotonic_ns()}"
    return platformdata.format_request(line, request_id, body, deadline_ms=900, key=str(number))


class _Client:
    """One client, which opens a new connection when its own has ended."""

    def __init__(self, address, habit, sizes, source, number):
        self._address = address
        self._habit = habit
        self._sizes = sizes
        self._source = source
        self._number = number
        self._socket = None
        self._opens_at = 0.0
        self._portions = iter(())
        self._waiting = collections.deque()

    def step(self, now):
        """Sends and reads what is due."""
        try:
            if self._socket is None:
                if now >= self._opens_at:
                    self._open()
                return
            if self._habit is Habit.DATAGRAMS:
                for _ in range(DATAGRAMS_PER_TICK):
                    self._socket.send(os.urandom(DATAGRAM_BYTES))
                return
            self._send()
            self._read()
        except BlockingIOError:
            return
        except OSError as error:
            if error.errno == errno.EMFILE:
                raise
            self._close(now)

    def _open(self):
        is_datagram = self._habit is Habit.DATAGRAMS
        kind = socket.SOCK_DGRAM if is_datagram else socket.SOCK_STREAM
        self._socket = socket.socket(socket.AF_INET, kind)
        if self._habit in _SLOW_READS:
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_BUFFER_BYTES)
        self._socket.setblocking(False)
        self._socket.bind((self._source, 0))
        self._portions = _make_portions(self._habit, self._sizes, self._number)
        self._waiting.clear()
        self._socket.connect_ex(self._address)

    def _send(self):
        size = sum(len(item) for item in self._waiting)
        while size < MAX_WAITING_BYTES:
            portion = next(self._portions, None)
            if not portion:
                break
            self._waiting.append(portion)
            size += len(portion)
        while self._waiting:
            portion = self._waiting[0]
            try:
                sent = self._socket.send(portion)
            except BlockingIOError:
                return
            self._waiting.popleft()
            if sent < len(portion):
                self._waiting.appendleft(portion[sent:])
                return

    def _read(self):
        if self._habit in _SLOW_READS:
            data = self._socket.recv(_SLOW_READS[self._habit])
        else:
            data = self._socket.recv(1, socket.MSG_PEEK)
        if not data:
            raise ConnectionError("closed")

    def _close(self, now):
        self._socket.close()
        self._socket = None
        self._opens_at = now + (QUICK_REOPEN_S if self._habit in _QUICK else REOPEN_S)


def main():
    """Runs a crowd until the process is ended."""
    body_bytes, head_bytes, sources, *groups = sys.argv[1:]
    sizes = Sizes(int(body_bytes), int(head_bytes))
    turns = itertools.cycle(sources.split(","))
    clients = []
    for target, name, count in zip(groups[::3], groups[1::3], groups[2::3], strict=True):
        host, _, port = target.rpartition(":")
        for _ in range(int(count)):
            address = (host, int(port))
            clients.append(_Client(address, Habit[name], sizes, next(turns), len(clients)))
    while True:
        started_at = time.monotonic()
        for client in clients:
            client.step(time.monotonic())
        time.sleep(max(0.0, started_at + TICK_S - time.monotonic()))


if __name__ == "__main__":
    main()
