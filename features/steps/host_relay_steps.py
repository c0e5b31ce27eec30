"""Steps of host_relay.feature."""

import random
import time

import eventlet
from behave import given, then, when
from eventlet.green import socket

from features import host_builders, host_world
from skylarksill.host import (
    _beliefcodec,
    belief,
    eventlog,
    following,
    peers,
    records,
    relay,
)

UPSTREAMS = records.ObjectKind.UPSTREAMS


@given("3 serving hosts in each of the zones north-a, north-b and south-a")
def step_hosts(context):
    context.peers = [
        _build_peer(f"{zone}-{index}", zone, index)
        for zone in ("north-a", "north-b", "south-a")
        for index in range(3)
    ]


@then("all hosts of region north agree on 2 sources in zones north-a and north-b")
def step_sources(context):
    context.sources = relay.choose_sources(context.peers, "north")
    for seed in range(5):
        shuffled = random.Random(seed).sample(context.peers, len(context.peers))
        assert relay.choose_sources(shuffled, "north") == context.sources
    assert {source.zone for source in context.sources} == {"north-a", "north-b"}
    assert len(context.sources) == 2


@when("one of them loses the store")
def step_one_lost(context):
    context.lost = context.sources[0]
    _lose_store(context, lambda record: record == context.lost)


@then("another host of its zone takes its place")
def step_replaced(context):
    sources = relay.choose_sources(context.peers, "north")
    assert context.lost not in sources and context.sources[1] in sources
    assert {source.zone for source in sources} == {"north-a", "north-b"}


@when("all hosts of region north lose the store")
def step_region_lost(context):
    _lose_store(context, lambda record: record.region == "north")


@then("the sources of region north are in south-a")
def step_foreign_sources(context):
    sources = relay.choose_sources(context.peers, "north")
    assert [source.zone for source in sources] == ["south-a", "south-a"], sources


@given('a source with configuration {generation:d}, upstreams "a" and "b" at revision {revision:d}')
def step_source(context, generation, revision):
    context.source = _build_belief(("a", "b"), revision)
    context.source.accept_configuration(host_builders.build_configuration(generation))


@given("a follower that knows nothing")
def step_follower(context):
    context.follower = belief.Belief()
    context.sequence = relay.UNKNOWN_SEQUENCE


@given('an older source with upstream "a" at revision {revision:d}')
def step_older(context, revision):
    context.older = _build_belief(("a",), revision)


@when("the follower is updated")
def step_update(context):
    known = context.follower
    generation = known.configuration.generation if known.configuration else 0
    update = relay.make_update(context.source, context.sequence, generation, False)
    context.update = _beliefcodec.decode_update(
        _beliefcodec.encode_update(update)[_beliefcodec.HEADER_BYTES :]
    )
    relay.apply_update(known, context.update, 0.0)
    context.sequence = context.update.sequence


@when("the follower is updated by the older source")
def step_update_older(context):
    update = relay.make_update(context.older, relay.UNKNOWN_SEQUENCE, 0, False)
    assert relay.apply_update(context.follower, update, 0.0) == ()


@when('"a" drains, "b" is gone, "c" joins and zone north-a is evacuated at revision {revision:d}')
def step_change(context, revision):
    source = context.source
    drains = host_builders.build_upstream("a", state=records.UpstreamState.DRAINING)
    source.set_upstream(drains)
    source.remove_upstream("b", 100.0)
    source.set_upstream(host_builders.build_upstream("c"))
    source.replace_evacuated({"north-a"})
    _set_revisions(source, revision)
    if "server" in context:
        context.server.note_change()


@when(
    '{count:d} upstreams come and go at the source, then "c" joins at revision {revision:d}',
)
def step_many(context, count, revision):
    for index in range(count):
        context.source.set_upstream(host_builders.build_upstream(f"u{index}"))
        context.source.remove_upstream(f"u{index}", 100.0)
    context.source.set_upstream(host_builders.build_upstream("c"))
    _set_revisions(context.source, revision)


@then("the update held {count:d} upstreams")
def step_update_size(context, count):
    assert len(context.update.upstreams) == count, context.update.upstreams


@then("it believes in upstreams {names}, configuration {generation:d} and revision {revision:d}")
def step_believes(context, names, generation, revision):
    known = context.follower
    assert sorted(known.upstreams) == _parse_names(names), known.upstreams
    assert known.configuration == host_builders.build_configuration(generation)
    assert known.revisions[UPSTREAMS] == revision
    assert known.is_complete


@then('"a" drains and zone north-a is evacuated there')
def step_drains(context):
    assert context.follower.upstreams["a"].state is records.UpstreamState.DRAINING
    assert context.follower.evacuated == {"north-a"}


@then("an update is decoded to the same")
def step_codec(context):
    context.update = relay.make_update(context.source, relay.UNKNOWN_SEQUENCE, 0, True)
    payload = _beliefcodec.encode_update(context.update)[_beliefcodec.HEADER_BYTES :]
    assert _beliefcodec.decode_update(payload) == context.update


@then("{count:d} random or damaged updates and requests are rejected or harmless")
def step_fuzz(context, count):
    rng = random.Random(3)
    whole = _beliefcodec.encode_update(context.update)[_beliefcodec.HEADER_BYTES :]
    request = _beliefcodec.encode_request(5, 3, 0.7)[_beliefcodec.HEADER_BYTES :]
    rejected = 0
    for index in range(count):
        payload = bytearray((whole, request, rng.randbytes(rng.randrange(60)))[index % 3])
        if payload:
            payload[rng.randrange(len(payload))] = rng.randrange(256)
        for decode in (_beliefcodec.decode_update, _beliefcodec.decode_request):
            try:
                decoded = decode(bytes(payload))
            except _beliefcodec.CodecError:
                rejected += 1
                continue
            if decode is _beliefcodec.decode_update:
                relay.apply_update(belief.Belief(), decoded, 0.0)
    assert rejected > count


@given("a host without a store that follows it on a loopback address")
def step_following(context):
    log = eventlog.EventLog("test", len)
    context.is_store_lost = False
    context.server = following.BeliefServer(
        ("127.0.0.1", 0), context.source, log, lambda: context.is_store_lost
    )
    context.server.start()
    context.follower = belief.Belief()
    own = host_builders.build_host_record("own")
    table = peers.PeerTable(own, time.monotonic())
    source = records.HostRecord(
        "source", 1, "north-b", "north", ("127.0.0.1", 80), context.server.address
    )
    entry = peers.Peer(source, 5, records.HostState.SERVING, 0.0)
    # The own host can't be a source: it has lost the store.
    table.beat(records.HostState.SERVING, time.monotonic(), None, True)
    table.merge(entry, time.monotonic())
    context.following = following.Following(
        own, table, context.follower, log, lambda changes: None, lambda: True
    )
    context.following.start()


@then("that host believes in {names} within {seconds:g} s and is covered")
def step_learns_first(context, names, seconds):
    step_learns(context, names, seconds)
    assert context.following.is_covered()


@then("that host believes in {names} within {seconds:g} s")
def step_learns(context, names, seconds):
    host_world.wait_until(
        seconds, lambda: sorted(context.follower.upstreams) == _parse_names(names)
    )


@when("the source stops answering")
def step_silent(context):
    context.server.stop()
    context.server.note_change()
    context.server._wait_for_change = lambda wait_s: eventlet.sleep(10.0)


@then("that host is no longer covered within {seconds:g} s")
def step_uncovered(context, seconds):
    host_world.wait_until(seconds + 0.2, lambda: not context.following.is_covered())


@when("a follower connects to it and says nothing")
def step_silent_follower(context):
    log = eventlog.EventLog("test", len)
    context.server = following.BeliefServer(("127.0.0.1", 0), context.source, log, lambda: False)
    context.server.start()
    context.follower = socket.create_connection(context.server.address)


@then("the source closes the stream within {seconds:g} s")
def step_closed(context, seconds):
    context.follower.settimeout(seconds)
    assert context.follower.recv(1) == b""


@when("the source loses the store")
def step_source_lost(context):
    context.is_store_lost = True
    context.server.note_change()


def _parse_names(text):
    return sorted(name.strip(' "') for name in text.replace(" and ", ",").split(","))


def _build_peer(name, zone, index):
    record = host_builders.build_host_record(name, zone, zone.split("-")[0])
    return peers.Peer(record, 1, records.HostState.SERVING, 0.0)


def _build_belief(names, revision):
    known = belief.Belief()
    upstreams = {name: host_builders.build_upstream(name) for name in names}
    known.replace_upstreams(upstreams, 0.0)
    _set_revisions(known, revision)
    return known


def _set_revisions(known, revision):
    for kind in records.ObjectKind:
        known.revisions[kind] = revision


def _lose_store(context, is_lost):
    for peer in context.peers:
        peer.is_store_lost = peer.is_store_lost or is_lost(peer.record)
