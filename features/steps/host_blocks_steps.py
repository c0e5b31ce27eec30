"""Steps of host_blocks.feature."""

import time

import eventlet
import msgpack
from behave import given, then, when

from features import block_builders, host_builders, host_world, key_builders
from skylarksill.host import _peercodec, blocks, briefing, exchange, peers, poison, records

OTHER_FINGERPRINT = b"other"
PAUSE_S = 0.5
STATES = {
    "serving": records.HostState.SERVING,
    "starting": records.HostState.STARTING,
    "unknown": None,
}


# Hosts over loopback.


@given('hosts "{names}" that send each other heartbeats over loopback')
def step_loopback(context, names):
    context.ring = key_builders.build_keyring("k1")
    now = time.monotonic()
    names = block_builders.split_names(names)
    context.hosts = key_builders.build_loopback_hosts(names, context.ring, now)
    context.addresses = {name: host.table.own.gossip for name, host in context.hosts.items()}
    context.add_cleanup(lambda: [host.gossip.stop() for host in context.hosts.values()])
    hosts = list(context.hosts.values())

    def know_each_other():
        return all(len(host.list_alive(time.monotonic())) == len(names) - 1 for host in hosts)

    host_world.wait_until(3.0, know_each_other)


def _report_crashes(host, upstream_ids):
    """Records crashes in the past, which the host's peers are told of from now on."""
    now = time.monotonic()
    for index, upstream_id in enumerate(upstream_ids):
        at = now - len(upstream_ids) + index
        crash = poison.Crash(block_builders.FINGERPRINT, upstream_id, 1, at, at - 0.5)
        host.poisons.record_crash(crash, now)


@when('host "{name}" notices that a request has crashed {count} upstreams')
def step_crashes(context, name, count):
    upstream_ids = ["u1", "u2", "u3"][: {"two": 2, "three": 3}[count]]
    _report_crashes(context.hosts[name], upstream_ids)


@when('host "{name}" notices that the request has crashed a third upstream')
def step_third_crash(context, name):
    _report_crashes(context.hosts[name], ["u3"])


@when("the hosts run on for {seconds:g} s")
def step_pass(context, seconds):
    eventlet.sleep(seconds)


@when('hosts "{names}" start again one after the other, {how}')
def step_start_again(context, names, how):
    for name in block_builders.split_names(names):
        context.hosts[name].gossip.stop()
        if how == "after 4 s without any datagram":
            eventlet.sleep(4.0)
        incarnation = int(time.monotonic() * 1000)
        now = time.monotonic()
        host = key_builders.start_host(name, context.addresses, context.ring, now, incarnation)
        context.hosts[name] = host
        if how == "and lose the first two that they send":
            _lose_datagrams(host.gossip, 2)
        host_world.wait_until(3.0, lambda host=host: host.list_alive(time.monotonic()))
        eventlet.sleep(PAUSE_S)


@when('host "{name}" starts again and waits for {seconds:g} s')
def step_start_and_wait(context, name, seconds):
    context.hosts[name].gossip.stop()
    now = time.monotonic()
    incarnation = int(now * 1000)
    context.restarted = key_builders.start_host(
        name, context.addresses, context.ring, now, incarnation
    )
    context.hosts[name] = context.restarted
    eventlet.sleep(seconds)


@then("it has been told what is blocked")
def step_told(context):
    own_briefing = context.restarted.gossip.briefing
    assert own_briefing.is_over(time.monotonic()) and not own_briefing.is_asking(time.monotonic())


def _lose_datagrams(own_gossip, count):
    send = own_gossip._send_datagram
    lost = []

    def lose(*arguments):
        if len(lost) < count:
            lost.append(arguments)
        else:
            send(*arguments)

    own_gossip._send_datagram = lose


@then('hosts "{names}" block the request within {seconds:g} s')
def step_block(context, names, seconds):
    hosts = [context.hosts[name] for name in block_builders.split_names(names)]

    def is_blocked():
        now = time.monotonic()
        return all(host.poisons.is_blocked(block_builders.FINGERPRINT, now) for host in hosts)

    host_world.wait_until(seconds, is_blocked)


# A host that starts.


@given('a host that starts with seeds "{seeds}"')
@given('a host that starts with seeds ""')
def step_briefing(context, seeds=""):
    context.briefing = briefing.Briefing(block_builders.split_names(seeds), 0.0)


@when('it gets answers of "{answers}" within 0.2 s')
@when('it gets answers of "" within 0.2 s')
def step_answers(context, answers=""):
    for answer in block_builders.split_names(answers):
        address, state = answer.split()
        context.briefing.record_answer(address, STATES[state])


@then("it {state} at 0.3 s and is ready at 1.0 s, and at {asking} s it asks for all blocks")
def step_ready(context, state, asking):
    assert context.briefing.is_over(0.3) == (state == "is ready")
    assert context.briefing.is_over(1.0)
    assert context.briefing.is_asking(0.3) == (asking != "none")
    if asking != "none":
        assert context.briefing.is_asking(float(asking))
        assert not context.briefing.is_asking(float(asking) + 0.2)


@given("a host program with a seed that has all that the store tells")
def step_program(context):
    context.host = host_builders.build_program(context)
    context.host.belief.accept_configuration(host_builders.build_configuration())
    context.host.belief.replace_upstreams({}, time.monotonic())
    context.host.belief.replace_evacuated(frozenset(), time.monotonic())
    assert context.host.belief.is_complete
    context.host._gossip.briefing = briefing.Briefing([("127.0.0.1", 9)], time.monotonic())


@then("it is not ready, and is ready once the seed has told what is blocked")
def step_program_ready(context):
    context.host._begin_serving()
    assert context.host.state is records.HostState.STARTING
    sender = key_builders.build_host("seed", key_builders.build_keyring("k1"))
    sender.table.increment_heartbeat(records.HostState.SERVING, 1.0)
    digest = _peercodec.Digest([sender.table.own_peer], [], [], known_blocks=[])
    context.host._gossip._apply_blocks(digest, sender.record, ("127.0.0.1", 9), time.monotonic())
    assert context.host.state is records.HostState.SERVING


# Hosts in virtual time.


@given('the hosts "{names}", which share blocks')
def step_hosts(context, names):
    names = block_builders.split_names(names)
    context.hosts = {name: block_builders.build_host(name) for name in names}


@when('the request crashes upstreams "{upstream_ids}" at host "{name}" from {at:g} s on')
def step_crash(context, upstream_ids, name, at, fingerprint=block_builders.FINGERPRINT):
    for index, upstream_id in enumerate(block_builders.split_names(upstream_ids)):
        context.hosts[name].crash(upstream_id, at - 1.0 + index / 2, fingerprint)


@when('another request crashes upstreams "{upstream_ids}" at host "{name}" from {at:g} s on')
def step_other_crash(context, upstream_ids, name, at):
    step_crash(context, upstream_ids, name, at, OTHER_FINGERPRINT)


@when('{count:d} other requests crash upstream "{upstream_id}" at host "{name}" at {at:g} s')
def step_many_suspects(context, count, upstream_id, name, at):
    for number in range(count):
        crash = poison.Crash(b"many%d" % number, upstream_id, 1, at)
        context.hosts[name].poisons.record_crash(crash, at)


@when('{count:d} other requests crash 3 upstreams each at host "{name}" from {at:g} s on')
def step_many_blocked(context, count, name, at):
    for number in range(count):
        for index in range(3):
            context.hosts[name].crash(f"u{index}", at + number / 100 + index, b"often%d" % number)


@when('the hosts tell each other "{pairs}" from {at:g} s on, each message {late:g} s late')
@when('the hosts tell each other "" from {at:g} s on, each message {late:g} s late')
def step_tell(context, at, late, pairs=""):
    for index, pair in enumerate(block_builders.split_names(pairs)):
        asking, asked = pair.split("-")
        context.hosts[asking].ask(context.hosts[asked], at + index / 10, late)


@when('the request is answered at host "{name}" at {at:g} s')
def step_answered(context, name, at):
    context.hosts[name].poisons.record_answer(block_builders.FINGERPRINT, at)


@when('host "{name}" gets reports at {now:g} s of crashes of "{upstream_ids}" from {at:g} s on')
def step_late_reports(context, name, now, upstream_ids, at):
    for index, upstream_id in enumerate(block_builders.split_names(upstream_ids)):
        crash = poison.Crash(block_builders.FINGERPRINT, upstream_id, 1, at + index)
        context.hosts[name].poisons.record_crash(crash, now)


@then(
    'the request is blocked for the {ordinal} time at hosts "{names}" from {first:g} s to {end:g} s'
)
def step_blocked_until(context, ordinal, names, first, end):
    for name in block_builders.split_names(names):
        poisons = context.hosts[name].poisons
        block = poisons.blocks.find(block_builders.FINGERPRINT)
        assert block is not None and block.round == int(ordinal[0]), (name, block)
        assert poisons.is_blocked(block_builders.FINGERPRINT, first), name
        assert poisons.is_blocked(block_builders.FINGERPRINT, end - 2.0), (name, block)
        later = end + blocks.TRIAL_SPREAD_S + 22.0
        assert not poisons.is_blocked(block_builders.FINGERPRINT, later), (name, block)


@then('the request is blocked at hosts "{names}" at {now:g} s')
@then('the request is blocked at hosts "" at {now:g} s')
def step_blocked_hosts(context, now, names=""):
    blocked = [
        name
        for name, host in context.hosts.items()
        if host.poisons.is_blocked(block_builders.FINGERPRINT, now)
    ]
    assert blocked == block_builders.split_names(names), blocked


@then("each host admits no copy before {end:g} s and one at a time from then on")
def step_admitted(context, end):
    for name, host in context.hosts.items():
        table = host.poisons.blocks
        times = [at / 10 for at in range(200, 2_000)]
        admitted = [at for at in times if table.admit(block_builders.FINGERPRINT, at)]
        assert admitted[0] >= end - 0.5, (name, admitted)
        pauses = [second - first for first, second in zip(admitted, admitted[1:], strict=False)]
        assert min(pauses) >= blocks.TRIAL_INTERVAL_S, (name, pauses)
        assert len(admitted) >= 2, (name, admitted)
        context.trials = {**getattr(context, "trials", {}), name: admitted[0]}


@then("the hosts begin the trial {least:g} s or more apart within {span:g} s")
def step_trials(context, least, span):
    times = sorted(context.trials.values())
    assert times[-1] - times[0] <= span, times
    assert all(b - a >= least for a, b in zip(times, times[1:], strict=False)), times


@then('the request is suspected at host "{name}" at {now:g} s')
def step_suspected(context, name, now):
    poisons = context.hosts[name].poisons
    assert not poisons.is_blocked(block_builders.FINGERPRINT, now)
    assert poisons.is_suspect(block_builders.FINGERPRINT)


@then(
    'host "{name}" knows at most {most:d} blocks, and tells a new host of both in a datagram of'
    " {size:d} bytes"
)
def step_tells_new_host(context, name, most, size):
    now = 170.0
    host = context.hosts[name]
    assert len(host.poisons.blocks) == most, len(host.poisons.blocks)
    newcomer = block_builders.build_host("new")
    answer = newcomer.ask(host, now, summary=blocks.UNINFORMED)
    assert len(answer) <= size < _peercodec.MAX_DATAGRAM_BYTES, len(answer)
    assert newcomer.poisons.is_blocked(block_builders.FINGERPRINT, now)
    assert len(newcomer.poisons.blocks) == most
    newcomer.crash("u3", now, OTHER_FINGERPRINT)
    assert newcomer.poisons.is_blocked(OTHER_FINGERPRINT, now + 1.0)


@then("a digest for a host that knows others takes at most {size:d} bytes")
def step_small_answer(context, size):
    answer = context.hosts["b"].ask(context.hosts["a"], 170.0)
    assert len(answer) <= size, len(answer)
    assert 1 <= len(context.hosts["b"].poisons.blocks) <= blocks.MAX_SENT_BLOCKS


@then('what "{name}" sends to a host that has not asked has the fields of the version before')
def step_version_before(context, name):
    host = context.hosts[name]
    now = 20.0
    host.table.increment_heartbeat(records.HostState.SERVING, now)
    summary = host.poisons.blocks.summarize(now)
    seeds = [("127.0.0.1", 9)]
    messages = exchange.make_messages(host.table, [], seeds, now, block_summary=summary)
    ((digest, _),) = messages
    datagram = _peercodec.encode_digest(digest, now)
    version, entries, beats, crashes, wanted, restart_items = msgpack.unpackb(datagram)
    assert version == 9 and len(entries) == 1 and beats == b"" and not crashes + restart_items
    # Keys of unknown hosts, which decoders of before look up and don't find.
    keys = [wanted[at : at + peers.KEY_BYTES] for at in range(0, len(wanted), peers.KEY_BYTES)]
    assert len(keys) == 2 and not host.table.find_wanted(keys, now)


@then("a datagram of the version before is understood, and one with further fields as well")
def step_version_after(context):
    now = 20.0
    host = context.hosts["a"]
    crashes = [poison.Crash(b"request", "u1", 7, 19.5)]
    digest = _peercodec.Digest([host.table.own_peer], [], crashes, [b"wantd"])
    content = msgpack.unpackb(_peercodec.encode_digest(digest, now))
    decoded = _peercodec.decode_digest(msgpack.packb(content), now)
    assert decoded.wanted == [b"wantd"], decoded
    assert decoded.block_summary is None and decoded.known_blocks is None
    entries, crash_items = content[1], content[3]
    extended = [*content, [[b"f", 1, 100, None, "new"]], "new"]
    extended[1] = [[*entry, "new"] for entry in entries]
    extended[3] = [[*item, "new"] for item in crash_items]
    decoded = _peercodec.decode_digest(msgpack.packb(extended), now)
    assert decoded.peers == digest.peers and decoded.crashes == crashes
    assert decoded.known_blocks == [blocks.Block(b"f", 1, now - 0.1)]
