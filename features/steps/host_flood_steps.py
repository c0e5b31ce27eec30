"""Steps of host_wire.feature about many connections that send without end."""

import gc
import time

import eventlet
from behave import then, when
from eventlet.green import socket

from features import wire_builders
from skylarksill import limits
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
    for number in range(count):
        client = context.world.connect()
        started_at = time.monotonic()
        client.sendall(platformdata.format_request("GET /read/1", f"other-{number}"))
        status = platformdata.AnswerReader(client).read()[0]
        context.answers.append((status, time.monotonic() - started_at))
        client.close()
        eventlet.sleep(GAP_S)


@then("each of them is answered with {status:d} within {seconds:g} s")
def step_all_answered(context, status, seconds):
    slow = [item for item in context.answers if item[0] != status or item[1] > seconds]
    assert not slow, slow
