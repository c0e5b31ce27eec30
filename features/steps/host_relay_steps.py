"""Steps of host_relay.feature."""

import random
import time
import zlib

import eventlet
import msgpack
from behave import given, then, when
from eventlet.green import socket

from features import host_builders, host_world
from skylarksill.host import (
    _beliefcodec,
    belief,
    eventlog,
    following,
    keyring,
    peers,
    records,
    relay,
)

UPSTREAMS = records.ObjectKind.UPSTREAMS


@given("3 serving hosts in each of the zones north-a, north-b and south-a")
def step_serving_hosts(context):
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


@when("one of them loses its connection to the store")
def step_source_loses_store(context):
    context.lost_source = context.sources[0]
    _lose_store(context, lambda record: record == context.lost_source)


@then("another host of its zone replaces it as a source")
def step_source_replaced(context):
    sources = relay.choose_sources(context.peers, "north")
    assert context.lost_source not in sources and context.sources[1] in sources
    assert {source.zone for source in sources} == {"north-a", "north-b"}


@when("all hosts of region north lose their connection to the store")
def step_region_loses_store(context):
    _lose_store(context, lambda record: record.region == "north")


@then("the sources of region north are in south-a")
def step_sources_elsewhere(context):
    sources = relay.choose_sources(context.peers, "north")
    assert [source.zone for source in sources] == ["south-a", "south-a"], sources


@given('a source with configuration {generation:d}, upstreams "a" and "b" at revision {revision:d}')
def step_source(context, generation, revision):
    context.source = _build_belief(("a", "b"), revision)
    context.source.accept_configuration(host_builders.build_configuration(generation))


@given("a follower without any state")
def step_follower(context):
    context.follower = belief.Belief()
    context.sequence = relay.UNKNOWN_SEQUENCE


@given('an older source with upstream "a" at revision {revision:d}')
def step_older_source(context, revision):
    context.older = _build_belief(("a",), revision)


@when("the follower is updated")
def step_update(context):
    local_belief = context.follower
    generation = local_belief.configuration.generation if local_belief.configuration else 0
    update = relay.make_update(context.source, context.sequence, generation, False, 100.0)
    context.update = _beliefcodec.decode_update(_beliefcodec.encode_update(update))
    relay.apply_update(local_belief, context.update, 0.0)
    context.sequence = context.update.sequence


@when("the follower is updated by the older source")
def step_update_older(context):
    update = relay.make_update(context.older, relay.UNKNOWN_SEQUENCE, 0, False, 100.0)
    assert relay.apply_update(context.follower, update, 0.0) == ()


@when(
    '"a" drains, "b" is removed, "c" is added and zone north-a is evacuated'
    " at revision {revision:d}"
)
def step_change(context, revision):
    source = context.source
    drains = host_builders.build_upstream("a", state=records.UpstreamState.DRAINING)
    source.set_upstream(drains)
    source.remove_upstream("b", 100.0)
    source.set_upstream(host_builders.build_upstream("c"))
    source.replace_evacuated({"north-a"}, 100.0)
    _set_revisions(source, revision)
    if "server" in context:
        context.server.wake_followers()


@when(
    "{count:d} upstreams are added and removed at the source,"
    ' then "c" is added at revision {revision:d}',
)
def step_many_changes(context, count, revision):
    for index in range(count):
        context.source.set_upstream(host_builders.build_upstream(f"u{index}"))
        context.source.remove_upstream(f"u{index}", 100.0)
    context.source.set_upstream(host_builders.build_upstream("c"))
    _set_revisions(context.source, revision)


@then("the update held {count:d} upstreams")
def step_update_size(context, count):
    assert len(context.update.upstreams) == count, context.update.upstreams


@then("it knows upstreams {names}, configuration {generation:d} and revision {revision:d}")
def step_follower_state(context, names, generation, revision):
    local_belief = context.follower
    assert sorted(local_belief.upstreams) == _parse_names(names), local_belief.upstreams
    assert local_belief.configuration == host_builders.build_configuration(generation)
    assert local_belief.revisions[UPSTREAMS] == records.Revision(0, revision)
    assert local_belief.is_complete


@then('the follower knows that "a" drains and zone north-a is evacuated')
def step_follower_knows_drain(context):
    assert context.follower.upstreams["a"].state is records.UpstreamState.DRAINING
    assert context.follower.evacuated == {"north-a"}


@then("an encoded update is decoded to the same update")
def step_codec(context):
    context.update = relay.make_update(context.source, relay.UNKNOWN_SEQUENCE, 0, True, 100.0)
    payload = _beliefcodec.encode_update(context.update)
    assert _beliefcodec.decode_update(payload) == context.update


@given("a source with {count:d} upstreams")
def step_large_source(context, count):
    # Ids of upstreams are random on the platform, so they compress badly.
    rng = random.Random(8)
    context.source = _build_belief([f"i-{rng.randbytes(5).hex()}" for _ in range(count)], 20)
    context.source.accept_configuration(host_builders.build_configuration(3))


@then("it takes less than half of the bytes that it takes without compression")
def step_compressed(context):
    compressed = len(_beliefcodec.encode_update(context.update))
    plain = len(_beliefcodec._pack_update(context.update))
    assert 2 * compressed < plain, (compressed, plain)


@then("updates that decompress to {size:d} MB or are cut off are rejected")
def step_bomb(context, size):
    bomb = zlib.compress(bytes(size * 1024 * 1024))
    whole = zlib.compress(_beliefcodec._pack_update(context.update))
    for packed in (bomb, whole[:-1], whole[: len(whole) // 2]):
        try:
            _beliefcodec.decode_update(msgpack.packb((True, packed)))
        except _beliefcodec.CodecError:
            continue
        raise AssertionError(f"accepted {len(packed)} bytes")


@then("{count:d} random or damaged updates and requests are rejected or harmless")
def step_fuzz(context, count):
    rng = random.Random(3)
    whole = _beliefcodec.encode_update(context.update)
    request = _beliefcodec.encode_request(_beliefcodec.Request(5, 3, 0.7, bytes(16)))
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


@given("a host without the store that follows the source over loopback")
def step_following(context):
    log = eventlog.EventLog("test", len)
    context.is_store_lost = False
    context.server = following.BeliefServer(
        ("127.0.0.1", 0),
        context.source,
        log,
        lambda: context.is_store_lost,
        keyring.Keyring,
    )
    context.server.start()
    context.follower = belief.Belief()
    own = host_builders.build_host_record("own")
    table = peers.PeerTable(own, time.monotonic())
    source = records.HostRecord(
        "source", 1, "north-b", "north", ("127.0.0.1", 80), context.server.address
    )
    entry = peers.Peer(source, 5, records.HostState.SERVING, time.monotonic())
    # The own host can't be a source: it has lost the store.
    table.increment_heartbeat(records.HostState.SERVING, time.monotonic(), None, True)
    table.merge(entry, time.monotonic())
    context.belief_follower = following.BeliefFollower(
        own,
        table,
        context.follower,
        log,
        lambda changes, source: None,
        lambda: True,
        keyring.Keyring,
    )
    context.belief_follower.start()


@then("that host knows {names} within {seconds:g} s and has a live source")
def step_knows_with_source(context, names, seconds):
    step_knows(context, names, seconds)
    assert context.belief_follower.has_current_source()


@then("that host knows {names} within {seconds:g} s")
def step_knows(context, names, seconds):
    host_world.wait_until(
        seconds, lambda: sorted(context.follower.upstreams) == _parse_names(names)
    )


@when("the source stops answering")
def step_source_silent(context):
    context.server.stop()
    context.server.wake_followers()
    context.server._wait_for_change = lambda wait_s: eventlet.sleep(10.0)


@then("that host no longer has a live source within {seconds:g} s")
def step_no_live_source(context, seconds):
    host_world.wait_until(seconds + 0.2, lambda: not context.belief_follower.has_current_source())


@when("a follower connects to it and sends nothing")
def step_silent_follower(context):
    log = eventlog.EventLog("test", len)
    context.server = following.BeliefServer(
        ("127.0.0.1", 0), context.source, log, lambda: False, keyring.Keyring
    )
    context.server.start()
    context.follower = socket.create_connection(context.server.address)


@then("the source closes the stream within {seconds:g} s")
def step_stream_closed(context, seconds):
    context.follower.settimeout(seconds)
    assert context.follower.recv(1) == b""


@when(
    "the source's configuration was confirmed {age:g} s ago and is not confirmed for {seconds:g} s"
)
def step_not_confirmed(context, age, seconds):
    context.source.confirmed_at = time.monotonic() - age
    context.follower.confirmed_at = float("-inf")
    eventlet.sleep(seconds)


@then("that host's configuration was confirmed {least:g} to {most:g} s ago")
def step_confirmed_between(context, least, most):
    age_s = context.follower.get_configuration_age_s(time.monotonic())
    assert least <= age_s <= most, age_s


@when("the store holds nothing that the follower lacks at {now:g} s")
def step_nothing_new(context, now):
    context.follower.record_confirmation(now)


@when(
    "the source's configuration was confirmed at {at:g} s and the follower is updated at {now:g} s"
)
def step_update_at(context, at, now):
    context.source.record_confirmation(at)
    update = relay.make_update(context.source, relay.UNKNOWN_SEQUENCE, 0, False, now)
    relay.apply_update(context.follower, update, now)


@then("the follower's configuration is {age:g} s old at {now:g} s")
def step_age_at(context, age, now):
    assert context.follower.get_configuration_age_s(now) == age


@when("the source loses its connection to the store")
def step_source_without_store(context):
    context.is_store_lost = True
    context.server.wake_followers()


def _parse_names(text):
    return sorted(name.strip(' "') for name in text.replace(" and ", ",").split(","))


def _build_peer(name, zone, index):
    record = host_builders.build_host_record(name, zone, zone.split("-")[0])
    return peers.Peer(record, 1, records.HostState.SERVING, 0.0)


def _build_belief(names, revision):
    local_belief = belief.Belief()
    upstreams = {name: host_builders.build_upstream(name) for name in names}
    local_belief.replace_upstreams(upstreams, 0.0)
    _set_revisions(local_belief, revision)
    return local_belief


def _set_revisions(local_belief, revision, era=0):
    for kind in records.ObjectKind:
        local_belief.revisions[kind] = records.Revision(era, revision)


def _lose_store(context, loses_store):
    for peer in context.peers:
        peer.is_store_lost = peer.is_store_lost or loses_store(peer.record)
