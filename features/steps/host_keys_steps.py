"""Steps of host_keys.feature."""

import dataclasses
import pathlib
import tempfile
import time

import eventlet
from behave import given, then, when
from cleo.testers import command_tester
from eventlet.green import socket

from features import host_builders, host_world, key_builders
from skylarksill.console import application
from skylarksill.host import (
    _beliefcodec,
    belief,
    envelope,
    eventlog,
    following,
    keyring,
    peers,
    records,
)

DIGITS = "ab" * keyring.KEY_BYTES
CONTENTS = {
    "no section": "[other]\n",
    "no key": "[peer-keys]\n",
    "five keys": "[peer-keys]\n" + "".join(f"k{n} = {n:064x}\n" for n in range(5)),
    "a short key": "[peer-keys]\nk1 = abababab\n",
    "a key of other digits": f"[peer-keys]\nk1 = {'xy' * keyring.KEY_BYTES}\n",
    "the same key twice": f"[peer-keys]\nk1 = {DIGITS}\nk2 = {DIGITS}\n",
    "two keys": f"[peer-keys]\nk1 = {DIGITS}\nk2 = {'cd' * keyring.KEY_BYTES}\n",
    "a long id": f"[peer-keys]\n{'k' * 17} = {DIGITS}\n",
    "no file": None,
}


@given('hosts "{first}" and "{second}" with the key "{key}" that know each other')
def step_hosts(context, first, second, key):
    context.ring = key_builders.build_keyring(key)
    names = (first, second, "c")
    context.hosts = {name: key_builders.build_host(name, context.ring) for name in names}
    for host in context.hosts.values():
        for other in context.hosts.values():
            if other is not host:
                host.table.merge(dataclasses.replace(other.table.own_peer), 0.0)


@when('"{sender}" sends a heartbeat to "{receiver}"')
def step_send(context, sender, receiver):
    context.sender = context.hosts[sender]
    context.datagram = context.sender.make_datagram(context.hosts[receiver].record, 0.0)


@when('that datagram arrives at "{name}"')
def step_arrives(context, name):
    context.outcomes = [_receive(context.hosts[name], context.datagram)]


@when('that datagram reaches "{name}" twice')
def step_arrives_twice(context, name):
    context.outcomes = [_receive(context.hosts[name], context.datagram) for _ in range(2)]


@when('that datagram reaches "{name}" after a later one')
def step_arrives_late(context, name):
    host = context.hosts[name]
    later = context.sender.make_datagram(host.record, 0.0)
    assert _receive(host, later).payload is not None
    context.outcomes = [_receive(host, context.datagram)]


@when('that datagram reaches "{name}" after it has restarted')
def step_arrives_restarted(context, name):
    context.hosts[name] = key_builders.build_host(name, context.ring, incarnation=2)
    context.outcomes = [_receive(context.hosts[name], context.datagram)]


@when('that datagram reaches "{name}" with any byte changed')
def step_arrives_changed(context, name):
    context.outcomes = []
    for place in range(len(context.datagram)):
        changed = bytearray(context.datagram)
        changed[place] ^= 0x01
        context.outcomes.append(_receive(context.hosts[name], bytes(changed)))


@when('"{name}" has the key "{key}" when that datagram arrives')
def step_arrives_other_key(context, name, key):
    context.hosts[name] = key_builders.build_host(name, key_builders.build_keyring(key))
    context.outcomes = [_receive(context.hosts[name], context.datagram)]


@when('"{name}" gets the same heartbeat sealed with no key')
def step_arrives_unsealed(context, name):
    forger = key_builders.build_host(context.sender.record.host_id, keyring.Keyring())
    datagram = forger.make_datagram(context.hosts[name].record, 0.0)
    context.outcomes = [_receive(context.hosts[name], datagram)]


@then('"{name}" applies it')
def step_applied(context, name):
    (opened,) = context.outcomes
    assert opened.payload is not None
    assert context.hosts[name].find_heartbeat("a") == 2


@then('"{name}" rejects it')
def step_rejected(context, name):
    assert [type(outcome) for outcome in context.outcomes] == [envelope.EnvelopeError]


@then('"{name}" rejects the second one')
def step_second_rejected(context, name):
    first, second = context.outcomes
    assert first.payload is not None and isinstance(second, envelope.EnvelopeError)


@then('"{name}" does not apply it')
def step_not_applied(context, name):
    (opened,) = context.outcomes
    assert opened.payload is None
    assert context.hosts[name].find_heartbeat("a") == 0


@then('"{name}" never applies it')
def step_never_applied(context, name):
    assert len(context.outcomes) == len(context.datagram)
    accepted = [item for item in context.outcomes if not isinstance(item, envelope.EnvelopeError)]
    assert not accepted, accepted
    assert context.hosts[name].find_heartbeat("a") == 1


@when('"{restarted}" restarts and "{sender}" sends heartbeats to it')
def step_restart(context, restarted, sender):
    receiver = key_builders.build_host(restarted, context.ring, incarnation=2)
    host = context.hosts[sender]
    context.first = receiver.receive(host.make_datagram(context.hosts["b"].record, 0.0), 0.0)
    host.receive(receiver.make_datagram(host.record, 0.0), 0.0)
    incarnation = host.table.find_incarnation(receiver.record.gossip)
    record = dataclasses.replace(receiver.record, incarnation=incarnation)
    context.second = receiver.receive(host.make_datagram(record, 0.0), 0.0)
    context.receiver = receiver


@then('"{name}" answers the first with its own record and applies the second')
def step_introduced(context, name):
    assert context.first.payload is None and context.first.sender.host_id == "a"
    assert context.second.payload is not None
    assert context.receiver.find_heartbeat("a") == 3


@given('hosts "{first}" and "{second}" over loopback with the keys {names}')
def step_loopback_hosts(context, first, second, names):
    ring = key_builders.build_keyring(names)
    context.hosts = key_builders.build_loopback_hosts((first, second), ring, time.monotonic())
    host_world.wait_until(3.0, lambda: _are_alive(context.hosts))


@when('"{name}" restarts with a clock that went back by {seconds:d} s')
def step_restart_back(context, name, seconds):
    host = context.hosts[name]
    context.former = host.table.own
    host.gossip.stop()
    addresses = {item.name: item.table.own.gossip for item in context.hosts.values()}
    incarnation = context.former.incarnation - 1000 * seconds
    context.hosts[name] = key_builders.start_host(
        name, addresses, host.ring, time.monotonic(), incarnation
    )


@then(
    'both count each other as alive within {seconds:g} s, "{name}" with a later incarnation'
    " than before"
)
def step_alive_again(context, seconds, name):
    def is_later():
        now = time.monotonic()
        known = [
            peer.record.incarnation
            for host in context.hosts.values()
            for peer in host.table.list_alive(now)
            if peer.record.host_id == name
        ]
        return len(known) == 2 and min(known) > context.former.incarnation

    host_world.wait_until(seconds, lambda: is_later() and _are_alive(context.hosts))


@when('"{name}" gets the keys {names}')
def step_change_keys(context, name, names):
    context.hosts[name].ring = key_builders.build_keyring(names)


@then("both count each other as alive after {seconds:g} s and have rejected nothing")
def step_stay_alive(context, seconds):
    eventlet.sleep(seconds)
    assert _are_alive(context.hosts)
    assert not any(_count_rejections(context.hosts))


@then("they have rejected datagrams and count each other as dead after {seconds:g} s")
def step_lose_each_other(context, seconds):
    eventlet.sleep(seconds)
    now = time.monotonic()
    assert not any(host.list_alive(now) for host in context.hosts.values())
    assert all(_count_rejections(context.hosts))


@given('a source with the key "{key}" that knows "{upstream_id}"')
def step_source(context, key, upstream_id):
    context.source = belief.Belief()
    upstreams = {upstream_id: host_builders.build_upstream(upstream_id)}
    context.source.accept_configuration(host_builders.build_configuration())
    context.source.replace_upstreams(upstreams, 0.0)
    for kind in records.ObjectKind:
        context.source.revisions[kind] = records.Revision(0, 5)
    log = eventlog.EventLog("test", len)
    ring = key_builders.build_keyring(key)
    context.server = following.BeliefServer(
        ("127.0.0.1", 0), context.source, log, lambda: False, lambda: ring
    )
    context.server.start()


@when('a follower with the key "{key}" follows it')
def step_follow(context, key):
    _follow(context, key_builders.build_keyring(key), context.server.address)


@when("a follower with no key follows it")
def step_follow_without_key(context):
    _follow(context, keyring.Keyring(), context.server.address)


@when('a follower with a recorded answer in place of the source, key "{key}" follows it')
def step_follow_recording(context, key):
    ring = key_builders.build_keyring(key)
    recorded = _record_answer(context.server.address, ring)
    listener = eventlet.listen(("127.0.0.1", 0))

    def replay():
        while True:
            stream, _ = listener.accept()
            stream.recv(_beliefcodec.MAX_REQUEST_BYTES)
            stream.sendall(recorded)

    eventlet.spawn_n(replay)
    _follow(context, ring, listener.getsockname())


@then("the follower knows {known} within {seconds:g} s")
def step_knows(context, known, seconds):
    if known == "nothing":
        eventlet.sleep(seconds)
        assert not context.follower.upstreams and context.follower.configuration is None
        return
    expected = [known.strip('"')]
    host_world.wait_until(seconds, lambda: list(context.follower.upstreams) == expected)


@given("a file of keys with {content}")
def step_file(context, content):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.path = pathlib.Path(folder.name) / "peer-keys.ini"
    if CONTENTS[content] is not None:
        context.path.write_text(CONTENTS[content], encoding="utf-8")


@then('reading the keys fails with "{message}"')
def step_read_fails(context, message):
    hostfile, _, _ = host_builders.import_platform()
    try:
        hostfile.load_keys(str(context.path))
    except hostfile.SettingsError as error:
        assert message in str(error) and str(context.path) in str(error), error
        assert DIGITS not in str(error)
        return
    raise AssertionError("the file was accepted")


@when('the keys are changed by "{first}", "{second}", "{third}" and "{fourth}"')
def step_change_keys_file(context, first, second, third, fourth):
    context.printed = []
    for options in (first, second, third, fourth):
        ended = _run_keys_command(context.path, options)
        assert ended.status_code == 0, ended.io.fetch_error()
        context.printed.append(" ".join(ended.io.fetch_output().split()))


@then('the command prints "{first}", "{second}", "{third}" and "{fourth}"')
def step_printed(context, first, second, third, fourth):
    assert context.printed == [first, second, third, fourth], context.printed


@then("only the owner may read the file of keys")
def step_file_mode(context):
    assert context.path.stat().st_mode & 0o777 == 0o600


@when('the command that changes the keys gets "{options}"')
def step_keys_command(context, options):
    context.content = context.path.read_text(encoding="utf-8")
    context.ended = _run_keys_command(context.path, options)


@then('it fails with "{message}" and the file is as before')
def step_keys_command_fails(context, message):
    error = context.ended.io.fetch_error()
    assert context.ended.status_code == 1 and message in error, error
    assert context.path.read_text(encoding="utf-8") == context.content
    assert DIGITS not in error


@then('the keys of "{path}" are read and not part of the settings\' text')
def step_example_keys(context, path):
    hostfile, _, _ = host_builders.import_platform()
    ring = hostfile.load_keys(path)
    assert len(ring.ids) == 1
    assert ring.keys[0][1].hex() not in repr(ring) and repr(ring.keys[0][1]) not in repr(ring)


def _run_keys_command(path, options):
    """Runs the command ``keys`` on a file; returns its tester."""
    tester = command_tester.CommandTester(application.make_application().find("keys"))
    tester.execute(f"{path} {options}")
    return tester


def _receive(host, datagram):
    """Returns the Opened of a datagram, or the EnvelopeError."""
    try:
        return host.receive(datagram, 0.0)
    except envelope.EnvelopeError as error:
        return error


def _are_alive(hosts):
    now = time.monotonic()
    return all(host.list_alive(now) for host in hosts.values())


def _count_rejections(hosts):
    return [host.counts.get("peer_rejections", "datagram") for host in hosts.values()]


def _follow(context, ring, address):
    """Starts a follower without the store whose only source has the given address."""
    context.follower = belief.Belief()
    now = time.monotonic()
    own = host_builders.build_host_record("own")
    table = peers.PeerTable(own, now)
    table.increment_heartbeat(records.HostState.SERVING, now, None, True)
    source = dataclasses.replace(host_builders.build_host_record("source"), gossip=address)
    table.merge(peers.Peer(source, 5, records.HostState.SERVING, now), now)
    follower = following.BeliefFollower(
        own,
        table,
        context.follower,
        eventlog.EventLog("test", len),
        lambda changes: None,
        lambda: True,
        lambda: ring,
    )
    follower.start()


def _record_answer(address, ring):
    """Returns the framed answer of a source to a request with a nonce of zeros."""
    request = _beliefcodec.Request(-1, 0, 0.1, bytes(_beliefcodec.NONCE_BYTES))
    payload = _beliefcodec.encode_request(request)
    sealed = keyring.seal(ring, (following.REQUEST_PURPOSE, *address), payload)
    with socket.create_connection(address) as stream:
        stream.sendall(_beliefcodec.frame(sealed))
        stream.settimeout(1.0)
        return stream.recv(65_536)
