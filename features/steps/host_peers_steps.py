"""Steps of host_peers.feature."""

import json
import random

from behave import given, then, when

from features import host_builders
from skylarksill.host import _peercodec, eventlog, lookup, peers, poison, records


@given('a peer table that heard of "{name}" at {now:g} s')
def step_peers(context, name, now):
    context.peers = peers.PeerTable(host_builders.build_host_record("own"), 0.0)
    context.peers.merge(_build_peer(name, 5), now)


@when('the same heartbeat of "{name}" arrives again at {now:g} s')
def step_again(context, name, now):
    context.peers.merge(_build_peer(name, 5), now)


@when('incarnation {number:d} of "{name}" sends its first heartbeat at {now:g} s')
def step_incarnation(context, number, name, now):
    context.peers.merge(_build_peer(name, 1, number), now)


@given('a peer table that heard of incarnation {number:d} of "{name}" at {now:g} s')
def step_heard_incarnation(context, number, name, now):
    context.peers = peers.PeerTable(host_builders.build_host_record("own"), 0.0)
    context.peers.merge(_build_peer(name, 50, number), now)


@when('"{name}" restarts as incarnation {number:d} and hears of its former one')
def step_restart(context, name, number):
    record = host_builders.build_host_record(name, incarnation=number)
    context.restarted = peers.PeerTable(record, 1.2)
    context.restarted.beat(records.HostState.SERVING, 1.3)
    for peer in context.peers.make_digest(1.4):
        context.restarted.merge(peer, 1.4)


@when('the heartbeat of "{name}" arrives at {now:g} s')
def step_heartbeat(context, name, now):
    context.restarted.beat(records.HostState.SERVING, now)
    for peer in context.restarted.make_digest(now):
        context.peers.merge(peer, now)


@then('"{name}" is serving at {first:g} s and not at {second:g} s')
def step_serving(context, name, first, second):
    def list_names(now):
        return [peer.record.host_id for peer in context.peers.list_serving(now)]

    assert name in list_names(first)
    assert name not in list_names(second)


@then('"{name}" has incarnation {number:d}')
def step_has_incarnation(context, name, number):
    step_has_incarnation_at(context, name, number, 2.5)


@then('"{name}" has incarnation {number:d} at {now:g} s')
def step_has_incarnation_at(context, name, number, now):
    found = {
        peer.record.host_id: peer.record.incarnation for peer in context.peers.list_serving(now)
    }
    assert found.get(name) == number, found


@then("a digest of {count:d} hosts is decoded to the same")
def step_codec(context, count):
    context.digest = [_build_peer(f"h{index}", 7) for index in range(count)]
    crashes = [poison.Crash(b"request", "u1", 7, 99.5)]
    decoded = _peercodec.decode_digest(
        _peercodec.encode_digest(context.digest, crashes, 100.0), 100.0
    )
    assert decoded == (context.digest, crashes)


@then("{count:d} random or damaged datagrams are rejected or harmless")
def step_fuzz(context, count):
    rng = random.Random(5)
    crash = poison.Crash(b"request", "u1", 7, 99.5)
    whole = _peercodec.encode_digest(context.digest, [crash], 100.0)
    rejected = 0
    for index in range(count):
        datagram = bytearray(whole if index % 2 else rng.randbytes(rng.randrange(80)))
        if index % 2:
            datagram[rng.randrange(len(datagram))] = rng.randrange(256)
        try:
            found, crashes = _peercodec.decode_digest(bytes(datagram), 100.0)
            poisons = poison.PoisonTable()
            for crash in crashes:
                assert not poisons.note_crash(crash, 100.0)
            for peer in found:
                assert isinstance(peer.record.host_id, str) and isinstance(peer.heartbeat, int)
                assert isinstance(peer.state, records.HostState)
        except _peercodec.CodecError:
            rejected += 1
    assert rejected > count / 3


@given("serving hosts in zones north-a, north-b and south-a")
def step_zones(context):
    zones = ("north-a", "north-b", "south-a")
    context.serving = [
        peers.Peer(
            host_builders.build_host_record(zone, zone, zone.split("-")[0]),
            1,
            records.HostState.SERVING,
            0.0,
        )
        for zone in zones
    ]


@then("a client in north-b is named the hosts of north-b and north-a")
def step_named(context):
    own = host_builders.build_host_record("own", "south-a", "south")
    hosts = lookup.choose_hosts(context.serving, own, "north", "north-b")
    assert [host.host_id for host in hosts] == ["north-b", "north-a"]


@given("an event log whose output takes nothing")
def step_blocked_log(context):
    context.now = 0.0
    context.written = bytearray()
    context.is_blocked = True

    def write(data):
        if context.is_blocked:
            return 0
        context.written += data
        return len(data)

    context.log = eventlog.EventLog("h", write, lambda: context.now, lambda: 0.0)


@when("{count:d} lines are logged within 1 s")
def step_log(context, count):
    for index in range(count):
        context.now = index / count
        context.log.write("test", index=index, text="x" * 200)
        context.log.flush()


@then("less than 2 MB are kept and the next line tells how many were dropped")
def step_dropped(context):
    context.is_blocked = False
    context.log.flush()
    assert len(context.written) < 2_000_000
    kept = len(context.written.splitlines())
    context.now += 10.0
    context.log.write("next")
    context.log.flush()
    lines = [json.loads(line) for line in context.written.splitlines()]
    assert lines[-2] == lines[-2] | {"event": "log.dropped", "lines": 10_000 - kept}, lines[-2]


def _build_peer(name, heartbeat, incarnation=1):
    record = host_builders.build_host_record(name, incarnation=incarnation)
    return peers.Peer(record, heartbeat, records.HostState.SERVING, 0.0, {"catalogue": 0.25})
