"""Steps of membership.feature."""

import random

from behave import given, then, when

from bench import gossip
from features import builders
from skylarksill import frames, membership, messages, records

NOW = 1000.0
SERVING = records.LifecycleState.SERVING


def make_entry(host, heartbeat, state=SERVING, incarnation="1", zone="north-a"):
    part = messages.ProgramEntry("entry", "7", SERVING)
    return messages.PeerEntry(host, zone, incarnation, heartbeat, 1, state, (part,))


def make_table(host="host-0"):
    return membership.PeerTable(make_entry(host, 100), NOW)


def set_topology(table, configuration=None):
    configuration = configuration or builders.build_configuration(hosts_per_zone=2)
    table.set_topology(membership.build_topology(configuration, table.zone))


def measure_message(message_fields, sender="host-0000", zone="zone-00"):
    message = messages.ExchangeMessage(sender, zone, **message_fields)
    return len(frames.pack_payload(messages.encode_message(message)))


@given("a table that has an entry of {host} with heartbeat {heartbeat:d}")
def step_table_with_entry(context, host, heartbeat):
    context.now = NOW
    context.peers = make_table()
    if host != "host-99":
        set_topology(context.peers)
    context.peers.merge_entry(make_entry(host, heartbeat), NOW)


@when("{seconds:g} s pass")
def step_time_passes(context, seconds):
    # The agent checks its peers every second; a longer gap means that its process was paused.
    whole, rest = divmod(seconds, 1.0)
    for interval in [1.0] * int(whole) + [rest]:
        context.now += interval
        context.peers.mark_down(context.now)


@when("{seconds:d} s pass while the process is paused")
def step_paused(context, seconds):
    context.now += seconds
    context.peers.mark_down(context.now)


@when("heartbeat {heartbeat:d} of {host} is received")
def step_received(context, heartbeat, host):
    context.peers.merge_entry(make_entry(host, heartbeat), getattr(context, "now", NOW))


@when("{host} is reported with heartbeat {heartbeat:d} and state {state}")
def step_reported_state(context, host, heartbeat, state):
    entry = make_entry(host, heartbeat, records.LifecycleState(state))
    context.peers.merge_entry(entry, context.now)


@when("an entry of another incarnation of its own host is received with heartbeat {heartbeat:d}")
def step_own_host_received(context, heartbeat):
    context.peers.merge_entry(make_entry("host-0", heartbeat, incarnation="0"), context.now)


@then("its own next heartbeat is {heartbeat:d}")
def step_own_next_heartbeat(context, heartbeat):
    context.peers.increment_heartbeat(context.now)
    assert context.peers.own_entry.heartbeat == heartbeat, context.peers.own_entry


@when("a heartbeat with number {beat:d} for another entry of host-1 is merged")
def step_other_entry_heartbeat(context, beat):
    topology = context.peers.topology
    wrong = context.peers.peers["host-1"].checksum ^ 1
    beats = (messages.HostHeartbeat(topology.positions["host-1"], wrong, beat, 1, 0, ()),)
    membership.merge_delta(
        context.peers, messages.PeerDelta(topology.checksum, beats=beats), context.now + 1
    )


@then("{host} is alive")
def step_alive(context, host):
    assert context.peers.is_alive(host)


@then("{host} is down")
def step_down(context, host):
    assert not context.peers.is_alive(host)


@then("{host} is leaving")
def step_leaving(context, host):
    assert context.peers.peers[host].entry.state is records.LifecycleState.LEAVING


@when("the configuration is applied")
def step_configuration(context):
    set_topology(context.peers)


@then("{host} is not in the table")
def step_not_in_table(context, host):
    assert host not in context.peers.peers


@when("{count:d} unknown hosts are reported")
def step_unknown_hosts(context, count):
    context.peers = make_table()
    for index in range(count):
        context.peers.merge_entry(make_entry(f"host-{index}", 5), NOW)


@then("the table holds at most {count:d} hosts")
def step_bounded(context, count):
    assert len(context.peers.peers) <= count


@then("{count:d} random sequences of entries end in the same table in any order")
def step_any_order(context, count):
    for seed in range(count):
        rng = random.Random(seed)
        entries = [
            # A heartbeat number always has one state, because only the host's agent increments it.
            make_entry(f"host-{rng.randrange(1, 8)}", beat, list(records.LifecycleState)[beat % 3])
            for beat in (rng.randrange(1, 40) for _ in range(60))
        ]
        tables = []
        for _ in range(3):
            table = make_table()
            set_topology(table)
            rng.shuffle(entries)
            for entry in entries:
                table.merge_entry(entry, NOW)
            tables.append({host: peer.entry for host, peer in table.peers.items()})
        assert tables[0] == tables[1] == tables[2], seed


@when("it exchanges with a table of another configuration")
def step_other_configuration(context):
    other = make_table("host-2")
    set_topology(other, builders.build_configuration(hosts_per_zone=1))
    answer = membership.answer_digest(
        other, membership.make_digest(context.peers, other.zone), context.peers.zone, NOW
    )
    membership.merge_delta(context.peers, answer, NOW)
    completion = membership.make_delta(context.peers, answer, other.zone, NOW)
    membership.merge_delta(other, completion, NOW)
    context.other = other


@then("both know host-1 and host-2")
def step_both_known(context):
    for table in (context.peers, context.other):
        assert {"host-1", "host-2"} <= set(table.peers), table.peers


def make_small_table():
    table = make_table()
    set_topology(table)
    for index in range(1, 7):
        zone = table.topology.zone_of[f"host-{index}"]
        table.merge_entry(make_entry(f"host-{index}", 5, zone=zone), NOW)
    return table


@when("peers are chosen {count:d} times among 7 hosts of which {down} is down")
def step_choose(context, count, down):
    table = make_small_table()
    table.peers[down].is_alive = False
    choice = membership.PeerChoice(random.Random(1))
    rounds = [choice.choose_peers(table, NOW) for _ in range(count)]
    assert all(len(set(chosen)) == len(chosen) <= 4 for chosen in rounds), rounds
    context.chosen = {host for chosen in rounds for host in chosen}


@then("in {count:d} random orders the one of 7 hosts that has been silent for 2 s is chosen next")
def step_probe(context, count):
    for seed in range(count):
        table = make_small_table()
        table.peers["host-4"].heard_at = NOW - 2.0
        assert "host-4" in membership.PeerChoice(random.Random(seed)).choose_peers(table, NOW), seed


@then("each host holds the entries of its region and no others")
def step_region_entries(context):
    for table in context.fleet.tables.values():
        assert set(table.peers) == set(table.topology.scope), table.host


@then("each other host was chosen at least once")
def step_each_chosen(context):
    assert context.chosen >= {f"host-{index}" for index in range(1, 7)}, context.chosen


@given("a fleet of {count:d} hosts that ran for {seconds:d} s")
def step_fleet(context, count, seconds):
    context.fleet = gossip.Fleet(gossip.build_fleet(count, per_zone=14), seed=3)
    context.fleet.run(seconds)


@when("{count:d} hosts are disconnected and {seconds:d} s pass")
def step_disconnect(context, count, seconds):
    context.fleet.cut = set(list(context.fleet.tables)[:count])
    context.fleet.run(seconds)


@when("the {count:d} hosts are connected again and {seconds:d} s pass")
def step_reconnect(context, count, seconds):
    context.fleet.cut = set()
    context.fleet.run(seconds)


@then("all tables show the right hosts as alive")
def step_all_correct(context):
    assert context.fleet.count_wrong() == 0, context.fleet.count_wrong()


@then("no live host was ever marked as down")
def step_no_false_down(context):
    assert context.fleet.false_downs == 0, context.fleet.false_downs


@given("two tables of a fleet of {count:d} hosts that hold all zone summaries")
def step_large_fleet(context, count):
    fleet = gossip.Fleet(gossip.build_fleet(count), seed=1)
    context.tables = [fleet.tables["host-0000"], fleet.tables["host-0063"]]
    assert context.tables[0].zone == context.tables[1].zone
    topology = context.tables[0].topology
    for table in context.tables:
        for zone in range(len(topology.zones)):
            table.merge_summary(make_summary(zone, 1), NOW)
        for host in topology.scope:
            zone = topology.zone_of[host]
            table.merge_entry(make_entry(host, 1, zone=zone), NOW)


def make_summary(position, version):
    loads = [number for service in range(3) for number in (service, 6400, 1234, 50, 5000)]
    return messages.ZoneSummary(position, version, 1_000, (5, 900), (7,), 900, tuple(loads))


@then(
    "a digest has at most {question:d} bytes and an answer without changes at most {answer:d} bytes"
)
def step_message_sizes(context, question, answer):
    asking, answering = context.tables
    digest = membership.make_digest(asking, answering.zone)
    assert measure_message({"digest": digest}) <= question, measure_message({"digest": digest})
    for table in context.tables:
        table.merge_entry(make_entry("host-0000", 1), NOW)
    asking.merge_entry(answering.own_entry, NOW)
    answering.merge_entry(asking.own_entry, NOW)
    digest = membership.make_digest(asking, answering.zone)
    delta = membership.answer_digest(answering, digest, asking.zone, NOW)
    assert measure_message({"delta": delta}) <= answer, delta


@then("an answer with changes of {hosts:d} hosts and {zones:d} zones has at most {size:d} bytes")
def step_answer_size(context, hosts, zones, size):
    asking, answering = context.tables
    digest = membership.make_digest(asking, answering.zone)
    for host in [h for h in answering.topology.near if h not in ("host-0000", "host-0063")][:hosts]:
        peer = answering.peers[host]
        answering.apply_heartbeat(peer, 2, 1, NOW)
        loads = [messages.LoadEntry(host, name, 200, 20, 3, 180) for name in gossip.SERVICES]
        answering.set_loads(peer, tuple(loads), NOW)
    for zone in range(zones):
        answering.merge_summary(make_summary(zone, 2), NOW)
    delta = membership.answer_digest(answering, digest, asking.zone, NOW)
    assert (len(delta.beats), len(delta.zones)) == (hosts, zones), delta
    assert measure_message({"delta": delta}) <= size, measure_message({"delta": delta})


@then("each table holds at most {count:d} individual hosts")
def step_table_size(context, count):
    assert all(len(table.peers) <= count for table in context.tables)
