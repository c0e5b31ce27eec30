"""Steps of host_reads.feature."""

import time

import eventlet
from behave import given, then, when
from eventlet.green import socket
from eventlet.patcher import original

from skylarksill.host import _fairreads

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
