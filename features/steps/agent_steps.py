"""Steps of agent.feature."""

import dataclasses

import eventlet
from behave import given, then, when

from features import builders, platforms
from skylarksill import (
    _agentstate,
    _agentwatch,
    clock,
    membership,
    messages,
    objectstore,
    records,
    rpc,
    viewer,
)
from standins import platform

LEAVING = records.LifecycleState.LEAVING


def run_rounds(context, count):
    for _ in range(count):
        context.cluster.step()
        context.rounds += 1
        for host, generation in context.cluster.list_generations().items():
            context.highest[host] = max(context.highest.get(host, 0), generation)
            context.reverted |= generation < context.highest[host]
        if context.viewer:
            context.viewer.poll()


def list_shown_states(context, host_id):
    shown = []
    for other, running in context.cluster.agents.items():
        if other != host_id:
            status = running.state.make_status(context.cluster.clock.monotonic())
            peer = next(peer for peer in status.peers if peer.entry.host == host_id)
            shown.append((peer.entry.state, peer.is_alive))
    return set(shown)


@given("{count:d} agents with generation {generation:d}")
def step_agents(context, count, generation):
    context.cluster = platforms.Cluster()
    context.highest, context.reverted, context.viewer, context.rounds = {}, False, None, 0
    context.cluster.write(generation)
    context.cluster.start()
    run_rounds(context, 3)
    context.cluster.platform.client_counts.clear()
    context.rounds = 0
    assert context.cluster.list_generations() == {f"host-{n}": generation for n in range(count)}


@given("a viewer of {host}")
def step_viewer(context, host):
    address = next(h for h in context.cluster.configuration.hosts if h.host_id == host)
    client = platforms.Client(context.cluster, host, (address.address, address.agent_port))
    context.viewer = viewer.AgentViewClient(
        None, context.cluster.clock, "entry", "1", client=client
    )
    context.viewer.poll()


@when("generation {generation:d} is written")
def step_write(context, generation):
    context.cluster.write(generation)


@when('generation {generation:d} is written by "{write_id}"')
def step_write_by(context, generation, write_id):
    context.cluster.write(generation, write_id)


@when("generation 2 is written and the reply is lost")
def step_write_lost(context):
    context.cluster.platform.faults.lost_replies = 1
    try:
        context.cluster.write(2)
    except objectstore.StoreError as error:
        context.verdict = error.verdict


@then("the writer is told MAY_HAVE_RUN")
def step_writer_verdict(context):
    assert context.verdict is records.Verdict.MAY_HAVE_RUN


@when("watches are stale")
def step_stale_watches(context):
    context.cluster.platform.faults.stale_watches = True


@when("the store has an outage")
def step_outage(context):
    context.cluster.platform.faults.outage = True


@when("the store's outage ends")
def step_outage_ends(context):
    context.cluster.platform.faults.outage = False


@when("{count:d} rounds pass")
def step_rounds_pass(context, count):
    run_rounds(context, count)


@when("all agents but {host} are cut off from the store")
def step_cut_off(context, host):
    context.cluster.platform.faults.cut_off = [h for h in context.cluster.agents if h != host]


@when("two operators write generation 2 from the same version")
def step_two_writers(context):
    version = context.cluster.read_version()
    context.cluster.write(2, "first")
    context.cluster.read_version = lambda: version
    try:
        context.cluster.write(2, "second")
    except objectstore.ConflictError as error:
        context.conflict = error


@then("the second writer gets a conflict")
def step_conflict(context):
    assert context.conflict.verdict is records.Verdict.NOT_RUN


@then("all agents have the first writer's generation 2 after {count:d} rounds")
def step_first_writer(context, count):
    step_all_have_write(context, 2, "first", count)


@then('all agents have generation {generation:d} by "{write_id}" after {count:d} rounds')
def step_all_have_write(context, generation, write_id, count):
    run_rounds(context, count)
    marks = [running.state.accepted.in_force.mark for running in context.cluster.agents.values()]
    assert {(mark.generation, mark.write_id) for mark in marks} == {(generation, write_id)}, marks


@then("all agents have generation {generation:d} after {count:d} rounds")
def step_all_have(context, generation, count):
    run_rounds(context, count)
    generations = context.cluster.list_generations()
    assert set(generations.values()) == {generation}, generations


@then("the status of each agent names the shards of generation {generation:d}")
def step_status(context, generation):
    for running in context.cluster.agents.values():
        status = running.state.make_status(0.0)
        assert status.generation == generation
        assert status.head is not None and status.head.shards


@when("the network is partitioned and only the first half reaches the store")
def step_partition(context):
    second = list(context.cluster.agents)[4:]
    context.cluster.groups = dict.fromkeys(second, 1)
    context.cluster.platform.faults.cut_off = second


@when("the network partition is healed")
def step_heal_partition(context):
    context.cluster.groups = {}


@then("the first half has generation 2 and the second half generation 1")
def step_halves(context):
    generations = list(context.cluster.list_generations().values())
    assert generations == [2] * 4 + [1] * 4, generations


@then("no agent ever reverted to a lower generation")
def step_no_revert(context):
    assert not context.reverted


@when("{host} is stopped")
def step_stop(context, host):
    context.cluster.stop(host)


@when("{host} is restarted")
def step_restart(context, host):
    context.cluster.clock.advance(0.5)
    context.cluster.start(host)


@then("{host} has generation {generation:d} at once")
def step_has_generation(context, host, generation):
    assert context.cluster.agents[host].state.generation == generation


@when("a head of generation 2 names {fault}")
def step_bad_head(context, fault):
    texts = {
        "a missing shard": "not written",
        "a shard that is not INI": "no section",
        "an unknown zone": "[deployment]\nname = test\n[host x]\nzone = nowhere\n",
    }
    context.cluster.write(2, text=texts[fault], has_shards=fault != "a missing shard")
    context.cluster.platform.client_counts.clear()
    context.rounds = 0


@then("a host makes fewer than 2 store calls a second")
def step_store_call_rate(context):
    # Each round of a watcher includes one of these waits, which the platform stand-in skips.
    seconds = context.rounds * min(_agentwatch.WATCH_TIMEOUT_S, _agentwatch.RETRY_DELAY_S)
    counts = context.cluster.platform.client_counts
    rates = {client: sum(calls.values()) / seconds for client, calls in counts.items()}
    rates.pop("operator", None)
    assert rates and max(rates.values()) < 2, rates


@when("host-0 reads generation 2 and is stopped as soon as it is in force")
def step_read_and_stop(context):
    context.cluster.write(2)
    running = context.cluster.agents["host-0"]
    running.step()
    assert running.state.generation == 2
    context.cluster.stop("host-0")


@when("{host} publishes that it is leaving")
def step_leave(context, host):
    context.cluster.agents[host].publish_state(LEAVING)


@then("all other agents show {host} as leaving and alive")
def step_shown_leaving(context, host):
    assert list_shown_states(context, host) == {(LEAVING, True)}, list_shown_states(context, host)


@then("all other agents show {host} as down")
def step_shown_down(context, host):
    assert {is_alive for _, is_alive in list_shown_states(context, host)} == {False}


@then("all other agents show {host} as serving and alive")
def step_shown_serving(context, host):
    assert list_shown_states(context, host) == {(records.LifecycleState.SERVING, True)}


@when("the platform lists {host} as leaving")
def step_platform_lists(context, host):
    text = f'{{"hosts": {{"{host}": "leaving"}}, "upstreams": {{}}}}'
    context.cluster.platform.write(platform.INSTANCES_KEY, text.encode())


@when("a daemon of host-2 reports a suspect with 2 deaths")
def step_suspect(context):
    suspect = messages.SuspectEntry("f" * 64, 2, 600_000)
    call = make_call(0, (suspect,))
    context.cluster.agents["host-2"].handlers["view"](messages.encode_message(call), None)
    for _ in range(60):
        eventlet.sleep(0)


def make_call(version, suspects=()):
    return messages.ViewCall(
        "entry", "1", records.LifecycleState.SERVING, version, (), (), suspects
    )


@then("the view of each agent holds the suspect")
def step_has_suspect(context):
    for host, running in context.cluster.agents.items():
        body = running.handlers["view"](messages.encode_message(make_call(0)), None)
        result = messages.decode_message(messages.ViewResult, body)
        assert [suspect.deaths for suspect in result.suspects] == [2], host


@then("the viewer has generation {generation:d} and shows {host} as down")
def step_viewer_down(context, generation, host):
    peers = {peer.entry.host: peer.is_alive for peer in context.viewer.view.peers}
    shown = {peer.entry.generation for peer in context.viewer.view.peers if peer.is_alive}
    assert context.viewer.configuration.generation == generation and shown == {generation}, shown
    assert not peers.pop(host) and all(peers.values()) and len(peers) == 7, peers


@then("the viewer has generation {generation:d} and shows {count:d} live hosts")
def step_viewer_live_hosts(context, generation, count):
    assert context.viewer.configuration.generation == generation
    live = [peer for peer in context.viewer.view.peers if peer.is_alive]
    assert len(live) == count, live


@when("no call is answered for {count:d} rounds")
def step_unanswered_calls(context, count):
    context.cluster.is_silent = True
    run_rounds(context, count)
    context.cluster.is_silent = False


@then("each agent has closed connections")
def step_connections_closed(context):
    assert {source for source, _ in context.cluster.closed} == set(context.cluster.agents)


def make_entry(host, heartbeat=1, state=records.LifecycleState.SERVING):
    return messages.PeerEntry(host, "north-a", "1", heartbeat, 1, state, ())


@given("2 agent states that hold different updates of host-2 and host-3")
def step_two_states(context):
    topology = membership.build_topology(builders.build_configuration(hosts_per_zone=2), "north-a")
    context.states = [_agentstate.AgentState(make_entry(f"host-{n}"), 1.0) for n in range(2)]
    for state, newer in zip(context.states, ("host-2", "host-3"), strict=True):
        state.table.set_topology(topology)
        for host in ("host-2", "host-3"):
            state.table.merge_entry(make_entry(host), 1.0)
        state.table.merge_entry(make_entry(newer, 2, LEAVING), 1.0)


@when("they exchange once")
def step_exchange(context):
    asking, answering = context.states
    answer = answering.make_answer(asking.make_digest_message("north-a", 1.0), 1.0)
    asking.merge_message(answer, 1.0)
    completion = asking.make_completion(answer, 1.0)
    answering.merge_message(completion, 1.0)
    asking.merge_message(answering.make_answer(completion, 1.0), 1.0)


@then("both show host-2 and host-3 as leaving")
def step_both_leaving(context):
    for state in context.states:
        shown = {peer.entry.host: peer.entry.state for peer in state.make_status(1.0).peers}
        assert shown["host-2"] is shown["host-3"] is LEAVING, shown


@when("a daemon of host-6 reports {free:d} free slots and {count:d} rounds pass")
def step_load(context, free, count):
    # The first reports also change the host's parts; the last ones change only the load.
    for reported in [free + 1] * 3 + [free] * count:
        load = messages.LoadEntry("host-6", "catalogue", 9, reported, 0, 2)
        call = dataclasses.replace(make_call(0), part="dispatch", loads=(load,))
        context.cluster.agents["host-6"].handlers["view"](messages.encode_message(call), None)
        run_rounds(context, 1)


@then("the viewer shows {free:d} free slots of host-6 with an age below 3 s")
def step_shows_load(context, free):
    (load,) = context.viewer.view.loads
    assert (load.host, load.free) == ("host-6", free)
    assert load.age_ms + context.viewer.load_age_offset_ms < 3000, load


class RestartingClient:
    """Client of an agent that restarts during the second call; both have version 5 and one peer."""

    def __init__(self):
        self.peer = None
        self.is_unreachable = False
        self._calls = 0

    def call(self, method, body, timeout_s):
        if self.is_unreachable:
            raise rpc.CallNotSentError("refused")
        self._calls += 1
        self.peer = "first" if self._calls == 1 else "second"
        call = messages.decode_message(messages.ViewCall, body)
        peers = () if call.version == 5 else (self._make_peer(),)
        return messages.encode_message(
            messages.ViewResult(5, None, (), peers, (), (), (), -1, (), call.version == 5)
        )

    def _make_peer(self):
        entry = messages.PeerEntry(
            self.peer, "north-a", "1", 1, 1, records.LifecycleState.SERVING, ()
        )
        return messages.PeerView(entry, True, 0)


@given("a viewer whose agent restarts during its second poll and reports the same version")
def step_restarting(context):
    context.clock = clock.FakeClock()
    context.client = RestartingClient()
    context.viewer = viewer.AgentViewClient(
        None, context.clock, "entry", "1", client=context.client
    )


@when("it polls {count:d} times")
def step_polls(context, count):
    for _ in range(count):
        context.viewer.poll()


@when("its agent stops answering for 3 s")
def step_stops_answering(context):
    context.client.is_unreachable = True
    context.clock.advance(3)
    try:
        context.viewer.poll()
    except rpc.RpcError:
        return
    raise AssertionError("the poll did not fail")


@then("it shows the peers of the restarted agent")
def step_restarted_agent(context):
    assert [peer.entry.host for peer in context.viewer.view.peers] == ["second"]


@then("it shows the peers of the first agent and is stale")
def step_first_agent(context):
    assert [peer.entry.host for peer in context.viewer.view.peers] == ["first"]
    assert context.viewer.is_stale and context.viewer.age_s == 3
