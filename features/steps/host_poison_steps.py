"""Steps of host_poison.feature."""

import json

import eventlet
from behave import given, then, when

from features import host_builders, host_world
from skylarksill.host import poison
from standins import platformdata, worker

FINGERPRINT = b"fingerprint"


@given("a table of suspected requests")
def step_poison_table(context):
    context.poisons = poison.PoisonTable()


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


def _break_and_find_down(context, name, broken_at, down_at):
    upstream = host_builders.build_upstream(name)
    context.poisons.record_broken(FINGERPRINT, upstream, broken_at)
    context.poisons.record_down(upstream, down_at)
