"""Steps of host_poison.feature."""

import dataclasses
import json
import time

import eventlet
from behave import given, then, when

from features import host_builders, host_world
from skylarksill.host import poison
from standins import platformdata, worker

FINGERPRINT = b"fingerprint"
# Age of a connection as it breaks, unless a step says when it was opened.
CONNECTION_AGE_S = 0.5
RESTART_TIMEOUT_S = 5.0


@given("a table of suspected requests")
def step_poison_table(context):
    context.poisons = poison.PoisonTable()
    context.peer_poisons = poison.PoisonTable()


@when('upstream "{name}" crashes at {at:g} s while it runs the request')
def step_crashes(context, name, at):
    _break_and_find_down(context, name, at, at + 0.1)


@when(
    'the request\'s connection to upstream "{name}" breaks at {at:g} s'
    " and it is found down at {down:g} s"
)
def step_breaks(context, name, at, down):
    _break_and_find_down(context, name, at, down)


@when('a peer reports that upstream "{name}" crashed at {at:g} s while it ran the request')
def step_peer_reports(context, name, at):
    context.poisons.record_crash(poison.Crash(FINGERPRINT, name, 1, at), at + 0.2)


@when("{count:d} upstreams crash within {span:g} s from {at:g} s on, all running the request")
def step_power_cut(context, count, span, at):
    for index in range(count):
        broken_at = at + span * index / count
        _break_and_find_down(context, f"u{index}", broken_at, broken_at + 0.4)


@when("the request is answered at {at:g} s")
def step_answered(context, at):
    context.poisons.record_answer(FINGERPRINT, at)


@then("the request is blocked at {at:g} s")
def step_blocked(context, at):
    assert context.poisons.is_blocked(FINGERPRINT, at)


@then("the request is not blocked at {at:g} s")
def step_not_blocked(context, at):
    assert not context.poisons.is_blocked(FINGERPRINT, at)


@then("the request is not suspected")
def step_not_suspected(context):
    assert not context.poisons.is_suspect(FINGERPRINT)


@then('the crashes to send to peers at {at:g} s name upstreams "a", "b" and "c"')
def step_crashes_to_send(context, at):
    names = sorted(crash.upstream_id for crash in context.poisons.list_recent_crashes(at))
    assert names == ["a", "b", "c"], names


@given("a host whose {count:d} upstreams crash when they run a request")
def step_crashing_host(context, count):
    context.world = host_world.HostWorld([f"u{index}" for index in range(count)])
    context.add_cleanup(context.world.stop)
    for item in context.world.workers.values():
        item.fault = worker.Fault.CRASH


@when("the client sends the same non-idempotent request {count:d} times, {pause:g} s apart")
def step_send_same(context, count, pause):
    context.statuses = []
    for index in range(count):
        client = context.world.connect()
        client.sendall(platformdata.format_request("POST /order/1", f"r{index}", b"same"))
        context.statuses.append(platformdata.AnswerReader(client).read()[0])
        client.close()
        eventlet.sleep(pause)


@then("{runs:d} upstreams have run it, and the last {rejected:d} answers are 503")
def step_stopped(context, runs, rejected):
    assert context.world.count_runs() == runs, context.world.count_runs()
    assert context.statuses == [502] * runs + [503] * rejected, context.statuses


@then("the host logs that the request is blocked")
def step_logged(context):
    context.world.log.flush()
    lines = [json.loads(line) for line in context.world.log_bytes.splitlines()]
    assert sum(line["event"] == "request.blocked" for line in lines) == 1


@when(
    "it is back at {back_at:g} s and crashes at {at:g} s under the name of incarnation"
    " {incarnation:d}"
)
def step_crashes_again(context, back_at, at, incarnation):
    _send_to_peer(context, back_at)
    upstream = host_builders.build_upstream("a", incarnation=incarnation)
    context.poisons.record_broken(FINGERPRINT, upstream, back_at + 0.1, at)
    context.poisons.record_down(upstream, at + 0.1)


@when("it is back at {back_at:g} s and crashes at {at:g} s under the same name")
def step_crashes_under_same_name(context, back_at, at):
    step_crashes_again(context, back_at, at, 1)


@when('the connection to "a", open since {opened_at:g} s, breaks at {broken_at:g} s as "a" crashes')
def step_breaks_late(context, opened_at, broken_at):
    upstream = host_builders.build_upstream("a")
    context.poisons.record_broken(FINGERPRINT, upstream, opened_at, broken_at)
    context.poisons.record_down(upstream, broken_at + 0.1)


@when("a peer reports the crash at {at:g} s under the name of incarnation {incarnation:d}")
@when("another peer reports the crash at {at:g} s under the name of incarnation {incarnation:d}")
def step_peer_reports_name(context, at, incarnation):
    for table in (context.poisons, context.peer_poisons):
        table.record_crash(poison.Crash(FINGERPRINT, "a", incarnation, at), at + 0.2)


@when('a peer that knows the crash of "a" at {at:g} s has not told of it')
def step_peer_knows(context, at):
    context.peer_poisons.record_crash(poison.Crash(FINGERPRINT, "a", 1, at), at + 0.1)


@when(
    "the peer gets the reports and tells of the crash at {at:g} s under the same name at {now:g} s"
)
def step_peer_tells(context, at, now):
    _send_to_peer(context, now)
    context.poisons.record_crash(poison.Crash(FINGERPRINT, "a", 1, at), now)


@then("the request is blocked at {at:g} s, also at a peer that has got the reports")
def step_blocked_at_peer(context, at):
    _send_to_peer(context, at)
    assert context.poisons.is_blocked(FINGERPRINT, at)
    assert context.peer_poisons.is_blocked(FINGERPRINT, at)


@when('the request breaks at incarnation 1 of "a", which is found down {how}')
def step_down_otherwise(context, how):
    upstream = host_builders.build_upstream("a")
    context.poisons.record_broken(FINGERPRINT, upstream, 0.5, 1.0)
    match how:
        case "as incarnation 2":
            found = dataclasses.replace(upstream, incarnation=2)
        case "at another address":
            found = dataclasses.replace(upstream, incarnation=2, address=("127.0.0.1", 2))
        case _:
            raise ValueError(how)
    context.poisons.record_down(found, 1.1)


@when(
    'the request\'s connections to "a" break at {first:g} s and {second:g} s'
    " and it is found down at {down:g} s"
)
def step_breaks_twice(context, first, second, down):
    upstream = host_builders.build_upstream("a")
    context.poisons.record_broken(FINGERPRINT, upstream, first - CONNECTION_AGE_S, first)
    context.poisons.record_broken(FINGERPRINT, upstream, first + 0.1, second)
    context.poisons.record_down(upstream, down)


@then("the request is suspected")
def step_suspected(context):
    assert context.poisons.is_suspect(FINGERPRINT)


@when(
    "the client sends the same request {count:d} times, and the upstream is back after each crash"
)
def step_send_to_restarted(context, count):
    context.run_count = 0
    for index in range(count):
        (name,) = context.world.workers
        item = context.world.workers[name]
        _send_order(context.world, f"r{index}", b"same")
        context.run_count += len(item.runs)
        if item.runs:
            state = context.world.fleet.find(name)
            # A crash on a kept connection is found by the next request.
            _send_order(context.world, f"n{index}", b"next")
            host_world.wait_until(RESTART_TIMEOUT_S, lambda state=state: state.is_unreachable)
            eventlet.sleep(poison.CRASH_SEPARATION_S)
            item = worker.Worker(name, address=item.address)
            item.fault = worker.Fault.CRASH
            context.world.workers[name] = item
            host_world.wait_until(RESTART_TIMEOUT_S, lambda state=state: not state.is_unreachable)


@then("{runs:d} requests have run, and the host logs that the request is blocked")
def step_runs_of_restarted(context, runs):
    assert context.run_count == runs, context.run_count
    step_logged(context)


@given("a host whose {count:d} upstreams are sound")
def step_sound_host(context, count):
    context.world = host_world.HostWorld([f"u{index}" for index in range(count)])
    context.add_cleanup(context.world.stop)


@when("a request is blocked while the host opens a connection for it")
def step_block_meanwhile(context):
    forwarder = context.world.forwarder
    connector, admission = forwarder._sender._connector, forwarder._admission
    connect, begin = connector.connect, admission.begin
    begun = []

    def begin_and_note(request):
        begun.append(begin(request))
        return begun[-1]

    def block_and_connect(*arguments):
        forwarder.poisons.blocks.begin(begun[-1].fingerprint, time.monotonic())
        return connect(*arguments)

    admission.begin, connector.connect = begin_and_note, block_and_connect
    context.status = _send_order(context.world, "r0", b"same")


@then("its client gets {status:d}, and no upstream has run it")
def step_not_run(context, status):
    assert context.status == status, context.status
    assert context.world.count_runs() == 0


@given("a host with a kept connection to its only upstream")
def step_kept_connection(context):
    context.world = host_world.HostWorld(("a",))
    context.add_cleanup(context.world.stop)
    _send_order(context.world, "r0", b"sound")


@when("the upstream crashes as it runs an order on that connection")
def step_crash_on_kept(context):
    (item,) = context.world.workers.values()
    item.fault = worker.Fault.CRASH
    connections = item.connections
    _send_order(context.world, "r1", b"same")
    assert item.runs == ["r0", "r1"] and item.connections == connections


@then("the order is suspected within {seconds:g} s")
def step_suspected_soon(context, seconds):
    poisons = context.world.forwarder.poisons
    host_world.wait_until(seconds, lambda: poisons._crashes)


def _send_order(world, request_id, body):
    client = world.connect()
    client.sendall(platformdata.format_request("POST /order/1", request_id, body))
    status = platformdata.AnswerReader(client).read()[0]
    client.close()
    return status


def _break_and_find_down(context, name, broken_at, down_at):
    upstream = host_builders.build_upstream(name)
    opened_at = broken_at - CONNECTION_AGE_S
    context.poisons.record_broken(FINGERPRINT, upstream, opened_at, broken_at)
    context.poisons.record_down(upstream, down_at)


def _send_to_peer(context, now):
    """Passes on the crashes that the table sends to peers."""
    for crash in context.poisons.list_recent_crashes(now):
        report = poison.Crash(crash.fingerprint, crash.upstream_id, crash.incarnation, crash.at)
        context.peer_poisons.record_crash(report, now)
