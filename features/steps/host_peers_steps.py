"""Steps of host_peers.feature."""

import dataclasses
import json
import random

from behave import given, then, when

from features import host_builders
from skylarksill.host import (
    _peercodec,
    blocks,
    eventlog,
    exchange,
    hostload,
    lookup,
    peers,
    poison,
    records,
)


@given('a peer table that received a heartbeat of "{name}" at {now:g} s')
def step_peer_table(context, name, now):
    context.peers = peers.PeerTable(host_builders.build_host_record("own"), 0.0)
    context.peers.merge(_build_peer(name, 5, sent_at=now), now)


@when('the same heartbeat of "{name}" arrives again at {now:g} s')
def step_repeated_heartbeat(context, name, now):
    context.peers.merge(_build_peer(name, 5, sent_at=now), now)


@when('heartbeat {number:d} of "{name}" arrives at {now:g} s, {age:g} s after it was sent')
def step_late_heartbeat(context, number, name, now, age):
    beat = peers.Heartbeat(
        peers.compute_key(host_builders.build_host_record(name)),
        number,
        records.HostState.SERVING,
        False,
        age,
    )
    context.peers.merge_heartbeat(beat, now)


@when('incarnation {number:d} of "{name}" sends its first heartbeat at {now:g} s')
def step_incarnation(context, number, name, now):
    context.peers.merge(_build_peer(name, 1, number, now), now)


@given('a peer table that received a heartbeat of incarnation {number:d} of "{name}" at {now:g} s')
def step_peer_incarnation(context, number, name, now):
    context.peers = peers.PeerTable(host_builders.build_host_record("own"), 0.0)
    context.peers.merge(_build_peer(name, 50, number, now), now)


@when('"{name}" restarts as incarnation {number:d} and receives a digest with its previous one')
def step_restart(context, name, number):
    record = host_builders.build_host_record(name, incarnation=number)
    context.restarted = peers.PeerTable(record, 1.2)
    context.restarted.increment_heartbeat(records.HostState.SERVING, 1.3)
    _send(context.peers, context.restarted, 1.4)


@when('the heartbeat of "{name}" arrives at {now:g} s')
def step_heartbeat(context, name, now):
    context.restarted.increment_heartbeat(records.HostState.SERVING, now)
    _send(context.restarted, context.peers, now)


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


@then("a digest of {count:d} hosts is the same after encoding and decoding")
def step_codec(context, count):
    context.digest = [_build_peer(f"h{index}", 7, sent_at=99.6) for index in range(count)]
    beats = [
        peers.Heartbeat(b"k%04d" % index, 9, records.HostState.LEAVING, True, 0.8, 0xA7)
        for index in range(count)
    ]
    crashes = [poison.Crash(b"request", "u1", 7, 99.5)]
    wanted = [b"w%04d" % index for index in range(count)]
    known_blocks = [blocks.Block(b"request", 2, 90.5), blocks.Block(b"other", 1, 60.0, 70.5)]
    context.whole = _peercodec.Digest(
        context.digest, beats, crashes, wanted, [], b"summa", known_blocks
    )
    datagram = _peercodec.encode_digest(context.whole, 100.0)
    assert _peercodec.decode_digest(datagram, 100.0) == context.whole


@then("{count:d} random or damaged datagrams are rejected or harmless")
def step_fuzz(context, count):
    rng = random.Random(5)
    whole = _peercodec.encode_digest(context.whole, 100.0)
    rejected = 0
    for index in range(count):
        datagram = bytearray(whole if index % 2 else rng.randbytes(rng.randrange(80)))
        if index % 2:
            datagram[rng.randrange(len(datagram))] = rng.randrange(256)
        try:
            found = _peercodec.decode_digest(bytes(datagram), 100.0)
            poisons = poison.PoisonTable()
            for crash in found.crashes:
                assert not poisons.record_crash(crash, 100.0)
            for peer in found.peers:
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


@then("a client in north-b gets the hosts of north-b and north-a")
def step_lookup(context):
    own = host_builders.build_host_record("own", "south-a", "south")
    hosts = lookup.choose_hosts(context.serving, own, "north", "north-b")
    assert [host.host_id for host in hosts] == ["north-b", "north-a"]


@given("an event log whose output accepts no bytes")
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


@then("less than 2 MB are buffered and the next line reports how many were dropped")
def step_dropped(context):
    context.is_blocked = False
    context.log.flush()
    assert len(context.written) < 2_000_000
    written = len(context.written.splitlines())
    context.now += 10.0
    context.log.write("next")
    context.log.flush()
    lines = [json.loads(line) for line in context.written.splitlines()]
    assert lines[-2] == lines[-2] | {"event": "log.dropped", "lines": 10_000 - written}, lines[-2]


@given("{count:d} hosts of which one, {name}, has restarted")
def step_restarted(context, count, name):
    built = [host_builders.build_host_record(f"h{index}") for index in range(count)]
    tables = [peers.PeerTable(record, 0.0) for record in built]
    for number in range(count):
        for other in tables:
            if other is not tables[number]:
                _send(other, tables[number], 1.0)
    context.others = tables
    context.joining = peers.PeerTable(host_builders.build_host_record(name, incarnation=2), 1.0)


@when("{name} gets the heartbeats of another host at {now:g} s")
def step_gets_heartbeats(context, name, now):
    rng = random.Random(1)
    sender = context.others[1]
    digest = _peercodec.Digest(*sender.make_digest(now, rng), [])
    context.request = exchange.receive_digest(context.joining, digest, now, rng).reply
    context.answer = exchange.receive_digest(sender, context.request, now, rng).reply
    exchange.receive_digest(context.joining, context.answer, now, rng)
    context.repeated = exchange.receive_digest(context.joining, digest, now + 0.1, rng).reply
    context.now = now


@then("it asks for {asked:d} records and then knows at least {known:d} other hosts")
def step_asks(context, asked, known):
    assert len(context.request.wanted) == asked, context.request.wanted
    assert context.request.beats == [] and len(context.request.peers) == 1
    found = len(context.joining.list_alive(context.now)) - 1
    assert found >= known, found


@then("the same heartbeats soon after make it ask for {asked:d} records")
def step_asks_again(context, asked):
    found = len(context.repeated.wanted) if context.repeated else 0
    assert found == asked, found


@when('it has heard nothing of "{name}" until {now:g} s')
def step_heard_nothing(context, name, now):
    context.peers.increment_heartbeat(records.HostState.SERVING, now)
    context.messages = exchange.make_messages(context.peers, [], [], now, random.Random(1))
    context.now = now


@then('it asks "{name}" for its own record')
def step_probe(context, name):
    record = host_builders.build_host_record(name)
    probes = [
        addresses
        for digest, addresses in context.messages
        if digest.wanted == [peers.compute_key(record)]
    ]
    assert probes == [[record.gossip]], context.messages


@then("it asks no host for its own record")
def step_no_probe(context):
    assert not any(digest.wanted for digest, _ in context.messages), context.messages


@then('the answer of "{name}" keeps it listed at {now:g} s')
def step_probe_answered(context, name, now):
    probed = peers.PeerTable(host_builders.build_host_record(name), 0.0)
    for number in range(9):
        probed.increment_heartbeat(records.HostState.SERVING, 0.3 * number)
    probe = next(digest for digest, _ in context.messages if digest.wanted)
    reply = exchange.receive_digest(probed, probe, context.now).reply
    exchange.receive_digest(context.peers, reply, context.now)
    assert name in [peer.record.host_id for peer in context.peers.list_serving(now)]


@given("{count:d} hosts in 3 regions that know each other from the store")
def step_hosts(context, count):
    context.tables = []
    names = [f"h{index}" for index in range(count)]
    capacity = host_builders.build_capacity()
    built = [
        records.HostRecord(
            name, 1, f"z{index % 9}", f"r{index % 3}", (name, 80), (name, 81), capacity
        )
        for index, name in enumerate(names)
    ]
    for record in built:
        table = peers.PeerTable(record, 0.0)
        for other in built:
            if other is not record:
                table.add_candidate(other, 0.0)
        context.tables.append(table)
    context.by_address = dict(zip([(name, 81) for name in names], context.tables, strict=True))


@when("they exchange heartbeats for {seconds:d} s and 1 of 20 datagrams is lost")
def step_exchange(context, seconds):
    rng = random.Random(4)
    context.bytes_far = context.bytes_all = 0
    context.missed = 0
    for number in range(int(seconds / peers.ROUND_S)):
        now = number * peers.ROUND_S
        for table in context.tables:
            _send_round(context, table, now, rng)
        if now >= 8.0:
            for table in context.tables:
                context.missed += len(context.tables) - len(table.list_serving(now))
    context.now = float(seconds)


@then("all hosts know the load of the others of their region within {seconds:g} s of a change")
def step_load_spread(context, seconds):
    rng = random.Random(5)
    changed = context.tables[0]
    load = hostload.round_load(records.HostLoad(300.0, 0.8, 0.4, 0.2, 0.1))
    for number in range(int(seconds / peers.ROUND_S)):
        now = context.now + number * peers.ROUND_S
        for table in context.tables:
            _send_round(context, table, now, rng, load if table is changed else None)
    context.now += seconds
    for table in context.tables:
        if table.own.region == changed.own.region:
            (peer,) = table.find_serving([changed.own.host_id], context.now)
            assert dataclasses.replace(peer.load, requests_per_s=300.0) == load, peer.load


@when("a host of each region stops, and the others go on for {seconds:d} s")
def step_stop_hosts(context, seconds):
    rng = random.Random(6)
    context.stopped = {table.own.host_id: table for table in context.tables[:3]}
    context.named_at = 0.0
    for number in range(int(seconds / peers.ROUND_S)):
        now = context.now + number * peers.ROUND_S
        for table in context.tables:
            if table.own.host_id not in context.stopped:
                _send_round(context, table, now, rng)
                named = {peer.record.host_id for peer in table.list_serving(now)}
                if named & context.stopped.keys():
                    context.named_at = now - context.now


@then("no host names a stopped one later than {seconds:g} s after its stop")
def step_not_named(context, seconds):
    assert 0.0 < context.named_at <= seconds, context.named_at


@then("from 8 s on no host counts a live one as dead")
def step_no_live_host_dead(context):
    assert context.missed == 0, context.missed


@then("a host sends at most {most:d} bytes a second, {most_far:d} of them to other regions")
def step_bytes(context, most, most_far):
    seconds = 20 * len(context.tables)
    assert context.bytes_all / seconds <= most, context.bytes_all / seconds
    assert context.bytes_far / seconds <= most_far, context.bytes_far / seconds


def _send_round(context, table, now, rng, load=None):
    """Sends a PeerTable's datagrams of a round and counts their bytes; 1 of 20 is lost."""
    table.set_own_load(load or records.HostLoad(150.0, 0.3, 0.1, 0.05, 0.02))
    table.increment_heartbeat(records.HostState.SERVING, now, {"catalogue": 0.3})
    for digest, addresses in exchange.make_messages(table, [], [], now, rng):
        for address in addresses:
            _transmit(context, table, context.by_address[address], digest, now, rng)


def _transmit(context, sender, receiver, digest, now, rng):
    """Sends a digest, counts its bytes, and sends the reply back unless one of them is lost."""
    size = len(_peercodec.encode_digest(digest, now))
    context.bytes_all += size
    context.bytes_far += size * (receiver.own.region != sender.own.region)
    if rng.randrange(20):
        reply = exchange.receive_digest(receiver, digest, now, rng).reply
        if reply is not None:
            _transmit(context, receiver, sender, reply, now, rng)


def _send(sender, receiver, now, digest=None):
    """Merges a digest of one PeerTable into another."""
    whole, beats = digest or sender.make_digest(now)
    for peer in whole:
        receiver.merge(peer, now)
    for beat in beats:
        receiver.merge_heartbeat(beat, now)


def _build_peer(name, heartbeat, incarnation=1, sent_at=0.0):
    record = host_builders.build_host_record(name, incarnation=incarnation)
    record = dataclasses.replace(record, capacity=host_builders.build_capacity())
    load = hostload.round_load(records.HostLoad(40.0, 0.3, 0.02, 0.0, None))
    shares = {"catalogue": 0.25}
    return peers.Peer(record, heartbeat, records.HostState.SERVING, sent_at, shares, load=load)
