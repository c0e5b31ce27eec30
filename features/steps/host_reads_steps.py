"""Steps of host_reads.feature."""

import errno
import time
import types
from unittest import mock

import eventlet
from behave import given, then, when
from eventlet.green import socket
from eventlet.patcher import original

from features import host_builders, wire_builders
from skylarksill import limits
from skylarksill.host import _fairreads, _upstreamhttp, boundedpool
from standins import rawpeer

_, wire, _ = host_builders.import_platform()
# The unpatched sleep blocks all green threads, like a process that gets no processor time.
_block = original("time").sleep


@given("a green thread that waits {seconds:g} s for bytes")
def step_reader(context, seconds):
    context.peer, own = socket.socketpair()
    reader = _fairreads.FairReader(own)
    context.thread = eventlet.spawn(_read, reader, time.monotonic() + seconds)
    eventlet.sleep(0)


def _read(reader, deadline):
    try:
        return reader.receive(deadline)
    except TimeoutError:
        return None


@when("the bytes arrive at once and the process gets no processor time for {seconds:g} s")
def step_late(context, seconds):
    _block_while_reading(seconds, lambda: context.peer.sendall(b"request"))


@when("the process gets no processor time for {seconds:g} s")
def step_blocked(context, seconds):
    _block_while_reading(seconds, lambda: None)


def _block_while_reading(seconds, function):
    """Blocks in a green thread that bytes have woken, after which the hub runs timers first."""
    peer, own = socket.socketpair()

    def run():
        own.recv(1)
        function()
        _block(seconds)

    thread = eventlet.spawn(run)
    eventlet.sleep(0)
    peer.sendall(b"x")
    thread.wait()


@then("it has read the bytes")
def step_read(context):
    assert context.thread.wait() == b"request"


@then("its read has timed out")
def step_timed_out(context):
    assert context.thread.wait() is None


@given("an upstream that answers with {size:d} bytes after {seconds:g} s")
def step_upstream(context, size, seconds):
    def answer():
        _block(seconds)
        yield wire_builders.format_answer("a length", b"x" * size)

    # The peer has a thread of its own, which the blocked green threads don't hold up.
    context.peer = rawpeer.RawPeer(answer())
    context.add_cleanup(context.peer.join)
    buffers = limits.BufferLimit(1_000_000)
    context.connection = wire_builders.build_connection(context.peer.own_end, buffers)


@when(
    "a request with {left:g} s left is sent to it"
    " and the process gets no processor time for {seconds:g} s"
)
def step_exchange(context, left, seconds):
    request = wire_builders.build_request()
    deadline = time.monotonic() + left
    thread = eventlet.spawn(context.connection.exchange, request, wire_builders.REQUEST, deadline)
    eventlet.sleep(0)
    _block_while_reading(seconds, lambda: None)
    context.outcome = thread.wait()


@then("the client gets {size:d} bytes")
def step_delivered(context, size):
    assert isinstance(context.outcome, _upstreamhttp.Answered), context.outcome
    assert len(context.outcome.answer.body) == size


@given("an upstream that accepts a connection 1 s after it was asked to")
def step_slow_accept(context):
    plain = original("socket")
    context.listener = plain.socket()
    context.add_cleanup(context.listener.close)
    context.listener.bind(("127.0.0.1", 0))
    context.listener.listen(0)
    # Fills the queue, so that the kernel sees the host's second attempt only, 1 s after the first.
    first = plain.create_connection(context.listener.getsockname())
    context.add_cleanup(first.close)

    def accept():
        _block(0.3)
        context.listener.accept()[0].close()

    thread = original("threading").Thread(target=accept)
    thread.start()
    context.add_cleanup(thread.join)


@when(
    "a host connects with a time-out of {timeout_s:g} s"
    " and gets no processor time from {start:g} to {end:g} s"
)
def step_connect(context, timeout_s, start, end):
    upstream = types.SimpleNamespace(address=context.listener.getsockname())
    buffers = limits.BufferLimit(1_000_000)

    def connect():
        try:
            return _upstreamhttp.connect(upstream, wire.HEADER_NAMES, buffers, timeout_s)
        except OSError:
            return None

    thread = eventlet.spawn(connect)
    eventlet.sleep(start)
    _block_while_reading(end - start, lambda: None)
    context.connection = thread.wait()


@then("the host is connected")
def step_connected(context):
    assert context.connection is not None
    context.connection.close()


@given("a socket whose reads fail with ETIMEDOUT")
def step_given_up(context):
    plain = types.SimpleNamespace(recv=_raise_timed_out)
    context.reader = _fairreads.FairReader(types.SimpleNamespace(fd=plain))


def _raise_timed_out(size):
    raise OSError(errno.ETIMEDOUT, "Connection timed out")


@when("it is read with {left:g} s left")
def step_read_given_up(context, left):
    try:
        context.error = context.reader.receive(time.monotonic() + left)
    except OSError as error:
        context.error = error


@then("the read has failed with an error of the connection")
def step_lost(context):
    assert isinstance(context.error, OSError), context.error
    assert not isinstance(context.error, TimeoutError), repr(context.error)


@given("a connection whose bytes take {seconds:g} s to parse, all of it without the processor")
def step_preempted(context, seconds):
    context.parsed = []

    def feed(data):
        _block(seconds)
        context.parsed.append(data)

    context.parsing = _fairreads.FairParsing(feed)


@when("it parses them {count:d} times while the turn to parse is taken")
def step_parse(context, count):
    context.count = count
    _fairreads._turn.acquire()
    context.add_cleanup(_fairreads._turn.release)
    for _ in range(count):
        try:
            context.parsing.parse(b"request", time.monotonic() + 0.1)
        except TimeoutError:
            return


@then("all of them are parsed")
def step_parsed(context):
    assert len(context.parsed) == context.count, len(context.parsed)


@given("an idle connection to the store that {state}")
def step_idle_store_connection(context, state):
    listener = eventlet.listen(("127.0.0.1", 0))
    context.add_cleanup(lambda: listener.close())
    context.idle = boundedpool.BoundedConnection(*listener.getsockname(), timeout=1.0)
    context.idle.connect()
    context.add_cleanup(context.idle.close)
    accepted, _ = listener.accept()
    context.accepted = accepted
    context.add_cleanup(lambda: accepted.close())
    if state == "the store has closed":
        accepted.shutdown(socket.SHUT_RDWR)
    elif state == "has unexpected bytes":
        accepted.sendall(b"x")
    eventlet.sleep(0.05)


@when("it is checked while a wait for a socket ends with an event of another one")
def step_check_idle(context):
    woken = TypeError("cannot unpack non-iterable int object")
    with mock.patch("urllib3.connection.wait_for_read", side_effect=woken):
        context.is_connected = context.idle.is_connected


@then("the connection counts as {result}")
def step_idle_result(context, result):
    assert context.is_connected is (result == "open")
