"""Steps of host_store_answers.feature."""

import gc
import json
import time
import tracemalloc

import eventlet
from behave import given, then, when
from eventlet.green import socket

from features import host_builders, ticker, wire_builders
from skylarksill import objectstore
from skylarksill.host import eventlog
from standins import flood, platformdata

REGIONS = {"north-a": "north"}


def _build_store(address):
    _, _, store = host_builders.import_platform()
    return store.PlatformStore(address, REGIONS, eventlog.EventLog("test", len))


@given("a store that sends {name} without end")
def step_endless(context, name):
    context.flood = flood.Flood(*wire_builders.ENDLESS[name])
    context.add_cleanup(context.flood.stop)
    context.client = _build_store(context.flood.address)


@given("a store that sends a byte of its answer each {seconds:g} s")
def step_dribble(context, seconds):
    body = json.dumps({"items": [], "hasMore": False, "storeRevision": 1}).encode()
    data = wire_builders.OK + b"Content-Length: %d\r\n\r\n" % len(body) + body
    _listen(context, [data[index : index + 1] for index in range(len(data))], seconds)


@given("a store with {count:d} upstreams in one answer")
def step_large(context, count):
    items = [
        {"metadata": {"name": f"u{number}"}, "spec": platformdata.build_upstream_spec()}
        for number in range(count)
    ]
    body = json.dumps({"items": items, "hasMore": False, "storeRevision": 1}).encode()
    _listen(context, [wire_builders.OK + b"Content-Length: %d\r\n\r\n" % len(body) + body], 0.0)


@given("a store that answers with the revision {revision}")
def step_odd_revision(context, revision):
    body = b'{"items": [], "hasMore": false, "storeRevision": %b}' % revision.encode()
    _listen(context, [wire_builders.OK + b"Content-Length: %d\r\n\r\n" % len(body) + body], 0.0)


@given("a store that answers with the era {era}")
def step_odd_era(context, era):
    body = b'{"items": [], "hasMore": false, "storeRevision": 5}'
    head = f"{platformdata.ERA_HEADER}: {era}\r\nContent-Length: {len(body)}\r\n\r\n"
    _listen(context, [wire_builders.OK + head.encode() + body], 0.0)


def _listen(context, portions, pause_s):
    """Answers the first request with portions of bytes."""
    listener = eventlet.listen(("127.0.0.1", 0))
    context.add_cleanup(listener.close)

    def serve():
        client, _ = listener.accept()
        client.recv(65_536)
        try:
            for portion in portions:
                client.sendall(portion)
                eventlet.sleep(pause_s)
        except OSError:
            # The host has given the answer up.
            return
        finally:
            client.shutdown(socket.SHUT_WR)

    context.add_cleanup(eventlet.spawn(serve).kill)
    context.client = _build_store(listener.getsockname())


@when("a host lists the {kind}")
def step_list(context, kind):
    call = {
        "configuration": context.client.list_configuration,
        "upstreams": context.client.list_upstreams,
    }[kind]
    gc.collect()
    gc.freeze()
    context.add_cleanup(gc.unfreeze)
    context.ticker = ticker.Ticker()
    tracemalloc.start()
    started_at = time.monotonic()
    context.error = context.result = None
    try:
        context.result = call()
    except objectstore.StoreError as error:
        context.error = error
    context.taken_s = time.monotonic() - started_at
    context.peak_bytes = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    context.ticker.stop()


@then("the call fails within {seconds:g} s")
def step_fails(context, seconds):
    assert context.error is not None and context.taken_s <= seconds, context.taken_s


@then("the call used less than {count:d} MB")
def step_memory(context, count):
    assert context.peak_bytes < count * 1024 * 1024, context.peak_bytes


@then("it has listed {count:d} upstreams")
def step_knows(context, count):
    assert context.error is None and len(context.result[1]) == count, context.error
