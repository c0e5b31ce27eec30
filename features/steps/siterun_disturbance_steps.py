"""Steps of siterun_disturbances.feature."""

import contextlib
import json
import random
import time
from unittest import mock

import eventlet
from behave import given, then, when
from eventlet.green import socket

from bench.siterun import (
    conditions,
    disturbances,
    records,
    rig,
    shape,
    storewriter,
    troubles,
    upstreams,
    windows,
)
from bench.soak import proxies
from standins import metadatastore, platformdata

SITE = shape.THREE_REGIONS


@given("an upstream that {fate}")
def step_breaking_upstream(context, fate):
    context.runs = []
    disturbed = mock.create_autospec(troubles.Troubles, instance=True)
    disturbed.find_pace.return_value = 1.0
    disturbed.empties_cache.return_value = False
    disturbed.draw_status.return_value = 200
    kinds = {f"breaks {kind.name}": kind for kind in troubles.Break}
    disturbed.draw_break.return_value = kinds.get(fate)
    requests = {request.prefix: request for request in SITE.requests}
    context.upstream = upstreams.SiteUpstream(
        "u1", SITE.services[2], requests, "east-a", random.Random(1), context.runs.append, disturbed
    )
    context.add_cleanup(context.upstream.shut_down)
    if fate == "crashes":
        eventlet.spawn_after(0.05, context.upstream.crash)


@when("it gets a request")
@when("it comes back as {upstream_id} and gets a request")
def step_break(context, upstream_id=None):
    if upstream_id:
        context.upstream.come_back(upstream_id)
    expected = f"{platformdata.EXPECTED_UPSTREAM_FIELD}: {upstream_id or 'u1'}"
    client = socket.create_connection(context.upstream.address)
    client.sendall(platformdata.format_request("GET /check/1", "r1", headers=[expected]))
    context.received = b""
    try:
        while b"\r\n\r\n....." not in context.received and (data := client.recv(65536)):
            context.received += data
    except ConnectionResetError:
        # What arrived before is what counts.
        return
    finally:
        client.close()


@when("it crashes as a request has arrived and was not read")
def step_crash_unread(context):
    client = socket.create_connection(context.upstream.address)
    eventlet.sleep(0.02)
    expected = f"{platformdata.EXPECTED_UPSTREAM_FIELD}: u1"
    # Past the green socket, so that the upstream doesn't run before it crashes.
    client.fd.send(platformdata.format_request("GET /check/1", "r1", headers=[expected]))
    context.upstream.crash()
    eventlet.sleep(0.1)
    client.close()


@then("no request has reached it")
def step_none_reached(context):
    assert context.runs == [], context.runs


@then("its connection ends with {what}, and the request is broken off")
def step_broken(context, what):
    received = context.received
    head, separator, body = received.partition(b"\r\n\r\n")
    fits = {
        "no byte": received == b"",
        "a part of a head": received.startswith(b"H") and not separator,
        "a part of a body": len(body)
        < int(platformdata.parse_fields(head).get("content-length", 0)),
        "bytes without a status": bool(received) and not received.startswith(b"HTTP/"),
    }
    assert fits[what], received
    assert [run.end for run in context.runs] == [records.RunEnd.BROKEN_OFF], context.runs


@then("1 request is broken off, and {upstream_id} has answered the other")
def step_back(context, upstream_id):
    first, second = context.runs
    assert (first.end, second.end) == (records.RunEnd.BROKEN_OFF, records.RunEnd.ANSWERED)
    assert second.upstream_id == upstream_id and context.received.startswith(b"HTTP/1.1 200")


@then(
    "{a:g} to {b:g}% of {spells:d} spells are slow, and {c:g} to {d:g}% of {count:d} requests fail"
)
def step_noise(context, a, b, spells, c, d, count):
    disturbed = troubles.Troubles("noise", [conditions.Condition.NOISE])
    slow = sum(disturbed.find_pace(troubles.SPELL_S * (i + 0.5)) > 2.0 for i in range(spells))
    failed = sum(disturbed.draw_status() == 500 for _ in range(count))
    assert a <= 100 * slow / spells <= b and c <= 100 * failed / count <= d, (slow, failed)


@when("a client with a small window reads {size:d} bytes")
def step_read_window(context, size):
    begin = time.monotonic()
    source = mock.Mock(recv=bytes)
    context.receiver = windows.WindowReceiver(source, 4000, 0.001, random.Random(3))
    context.parts = []
    while sum(context.parts) < size:
        context.parts.append(len(context.receiver.recv(65536)))
    context.seconds = time.monotonic() - begin


@then(
    "no part exceeds {most:d} bytes, and it has paused for the time that it took beyond its parts"
)
def step_pauses(context, most):
    assert max(context.parts) <= most
    pauses_s = sum(end - begin for begin, end in context.receiver.pauses)
    assert pauses_s > 0.0 and pauses_s + 0.001 * len(context.parts) <= context.seconds


@given(
    "a run with hosts a to c at a store, to which b, then c and then a have written, and b again"
)
def step_writing_hosts(context):
    context.store = metadatastore.MetadataStore()
    context.add_cleanup(context.store.stop)
    context.rig = mock.Mock(spec=rig.Rig, observations=records.Observations())
    context.rig.hosts = []
    for index, name in enumerate("abc"):
        proxy = proxies.Proxy(context.store.address)
        context.add_cleanup(proxy.stop)
        host = mock.Mock(ip=name, store_proxy=proxy)
        host.index, host.process.poll.return_value = index, None
        context.rig.hosts.append(host)
    context.rig._metadata_store = context.store
    context.rig.claim.return_value = contextlib.nullcontext(True)
    for method in ("list_writers", "refuse_calls"):
        getattr(context.rig, method).side_effect = getattr(rig.Rig, method).__get__(context.rig)
    statuses = [_register(context, index) for index in (1, 2, 0, 1)]
    assert statuses == [200, 200, 200, 409], statuses


def _register(context, index):
    """Returns the status that a host gets as it registers, or None if it gets none."""
    body = json.dumps({"metadata": {"name": f"host-{index}"}, "spec": {}})
    address = context.rig.hosts[index].store_proxy.address
    with socket.create_connection(address) as client:
        client.settimeout(0.1)
        client.sendall(
            b"POST /v1/objects/hosts HTTP/1.1\r\nHost: store\r\n"
            + f"Content-Length: {len(body)}\r\n\r\n{body}".encode()
        )
        try:
            return platformdata.AnswerReader(client).read()[0]
        except TimeoutError:
            return None


@when("{name} is played with {held} held back")
def step_play_event(context, name, held):
    disturber = disturbances.Disturber(context.rig)
    modes = [proxies.Mode.TOWARD_TARGET] if held == "what a sends" else []
    event = getattr(disturbances, name)(0.4, *modes)
    context.playing = eventlet.spawn(disturber.apply, event)
    eventlet.sleep(0.02)


@then("meanwhile {state}, and {what} counts as disturbed")
def step_meanwhile(context, state, what):
    first, statuses = context.rig.hosts[1], [_register(context, index) for index in range(3)]
    fits = {
        "a gets no answers of the store": statuses == [None, 409, 409],
        "b is down until the end of it": first.process.kill.called
        and not context.rig.start_host.called,
        "the store answers all hosts by 503": statuses == [503, 503, 503],
    }
    assert fits[state], statuses
    (disturbance,) = context.rig.observations.disturbances
    assert disturbance.host == (None if what == "the store" else what)
    assert disturbance.ends_at == float("inf")
    context.playing.wait()
    assert 0.4 <= disturbance.ends_at - disturbance.begins_at < 2.0
    started = [call.args[0] for call in context.rig.start_host.call_args_list]
    assert started == ([first] if what == "b" else [])


@then("afterwards all hosts have the store's answers")
def step_afterwards(context):
    statuses = [_register(context, index) for index in range(3)]
    assert statuses == [409, 409, 409], statuses


@given("a store whose writers have written u1 and u2")
def step_writers(context):
    context.store = metadatastore.MetadataStore()
    context.add_cleanup(context.store.stop)
    context.writer = storewriter.StoreWriter(context.store)
    for name in ("u1", "u2"):
        context.writer.write("servers", name, platformdata.build_upstream_spec())


@when("it is copied, u1 drains, u2 is deleted and u3 is written")
def step_write_after_copy(context):
    context.copy = context.writer.copy()
    drains = platformdata.build_upstream_spec(state="draining")
    context.writer.write("servers", "u1", drains)
    context.writer.delete("servers", "u2")
    context.writer.write("servers", "u3", platformdata.build_upstream_spec())


@when("it returns from the copy, which differs in {count:d} objects")
def step_return(context, count):
    assert context.writer.return_from_copy(context.copy, random.Random(1)) == count


@then("it holds u1 as {state} and {held}, but not {missing}")
@then("after {seconds:g} s it holds u1 as {state} and {held}, but not {missing}")
def step_holds(context, state, held, missing, seconds=0.0):
    if seconds:
        eventlet.sleep(seconds)
    assert context.store.read("servers", "u1")["state"] == state
    assert context.store.list_names("servers") == {"u1", held}, missing
