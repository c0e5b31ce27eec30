"""Steps of host_wire.feature about many connections that send without end."""

import dataclasses
import gc
import time
import tracemalloc

import eventlet
from behave import then, when
from eventlet.green import socket

from features import ticker, wire_builders
from skylarksill import limits
from skylarksill.host import _fairreads, records
from standins import flood, platformdata

BUFFER_BYTES = 64 * 1024 * 1024
# Time for which the exchanges with flooding upstreams go on.
FLOOD_S = 8.0
# Pause after an exchange that was given up, so that 100 upstreams get up to 100 requests a second.
AGAIN_AFTER_S = 1.0
# Pause between the requests of other clients.
GAP_S = 0.05


@when("{count:d} upstreams send {name} without end")
def step_flooding_upstreams(context, count, name):
    context.flood = flood.Flood(*wire_builders.ENDLESS[name])
    context.add_cleanup(context.flood.stop)
    _exclude_tests_from_collection(context)
    buffers = limits.BufferLimit(BUFFER_BYTES)
    deadline = time.monotonic() + FLOOD_S
    threads = [
        eventlet.spawn(_exchange_repeatedly, context.flood.address, buffers, deadline)
        for _ in range(count)
    ]
    for thread in threads:
        context.add_cleanup(thread.kill)


def _exchange_repeatedly(address, buffers, deadline):
    while time.monotonic() < deadline:
        connection = wire_builders.build_connection(socket.create_connection(address), buffers)
        connection.exchange(wire_builders.build_request(), wire_builders.REQUEST, deadline)
        connection.close()
        eventlet.sleep(AGAIN_AFTER_S)


@when("{count:d} clients send {name} without end")
def step_flooding_clients(context, count, name):
    head = wire_builders.CLIENT_HEADS[name]
    unit = wire_builders.ENDLESS[name][1]
    address = context.world.server.address
    context.flood = flood.Flood(head, unit, address, count)
    context.add_cleanup(context.flood.stop)
    _exclude_tests_from_collection(context)


def _exclude_tests_from_collection(context):
    """Keeps the test runner's objects, which a host doesn't have, out of garbage collections."""
    gc.collect()
    gc.freeze()
    context.add_cleanup(gc.unfreeze)


@when("{count:d} requests of other clients are sent one after the other")
def step_other_requests(context, count):
    context.answers = []
    context.processor_waits_s = []
    for number in range(count):
        client = context.world.connect()
        waited_s = ticker.read_processor_wait_s()
        started_at = time.monotonic()
        client.sendall(platformdata.format_request("GET /read/1", f"other-{number}"))
        status = platformdata.AnswerReader(client).read()[0]
        context.answers.append((status, time.monotonic() - started_at))
        context.processor_waits_s.append(ticker.read_processor_wait_s() - waited_s)
        client.close()
        eventlet.sleep(GAP_S)


@when("the turn to parse is taken")
def step_turn_taken(context):
    _fairreads._turn.acquire()
    context.add_cleanup(_fairreads._turn.release)


@when("{count:d} requests of one client are sent on a kept connection")
def step_kept_connection(context, count):
    context.answers = []
    client = context.world.connect()
    reader = platformdata.AnswerReader(client)
    for number in range(count):
        started_at = time.monotonic()
        client.sendall(platformdata.format_request("GET /read/1", f"kept-{number}"))
        context.answers.append((reader.read()[0], time.monotonic() - started_at))
    client.close()


@then("each of them is answered with {status:d} within {seconds:g} s")
def step_all_answered(context, status, seconds):
    slow = [item for item in context.answers if item[0] != status or item[1] > seconds]
    assert not slow, slow


@then("each of them is answered with {status:d} within {seconds:g} s with a processor")
def step_all_answered_by_host(context, status, seconds):
    """Leaves out the time in which other processes kept the host from running."""
    slow = [
        (answered, taken_s, waited_s)
        for (answered, taken_s), waited_s in zip(
            context.answers, context.processor_waits_s, strict=True
        )
        if answered != status or taken_s - waited_s > seconds
    ]
    assert not slow, slow


@when("a client sends {megabytes:g} MB in chunks of {size:d} bytes and its memory is measured")
def step_small_chunks(context, megabytes, size):
    head = platformdata.format_request("POST /order/1", "small-chunks")
    head = head.replace(b"\r\n\r\n", b"\r\n" + wire_builders.CHUNKED)
    chunk = b"%x\r\n" % size + b"x" * size + b"\r\n"
    body = chunk * int(megabytes * 1e6 / size) + b"0\r\n\r\n"
    known = context.world.belief.configuration
    changed = dataclasses.replace(
        known, generation=known.generation + 1, limits=records.ClientLimits()
    )
    context.world.belief.accept_configuration(changed)
    client = context.world.connect()
    tracemalloc.start()
    # A green thread, as the client's socket buffer is smaller than the body.
    sender = eventlet.spawn(client.sendall, head + body)
    context.status = platformdata.AnswerReader(client).read()[0]
    sender.wait()
    context.peak_bytes = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    client.close()


@then("the request is answered with {status:d}")
def step_status(context, status):
    assert context.status == status, context.status


@then("less than {count:d} MB were in use meanwhile")
def step_used(context, count):
    assert context.peak_bytes < count * 1024 * 1024, context.peak_bytes
