"""Steps of upstreams.feature."""

import dataclasses
import json
import time

import eventlet
from behave import given, then, when

from features import builders
from skylarksill import upstreams
from standins import upstream as standin_upstream

ADDRESS = "127.0.13.200"
TIMEOUT_S = 10.0
HANG_TIMEOUT_S = 0.2


@given("a stand-in upstream")
def step_upstream(context):
    worker = standin_upstream.Worker("worker", ADDRESS, 0, slots=3, mean_ms=1, down_s=60.0)
    context.server = standin_upstream.WorkerServer(worker)
    context.server.start()
    context.add_cleanup(context.server.stop)
    record = builders.build_configuration().upstreams[0]
    context.upstream = dataclasses.replace(record, address=ADDRESS, port=worker.port, slots=3)
    context.client = upstreams.UpstreamClient()
    context.add_cleanup(context.client.close)


def send(context, action=None, timeout_s=TIMEOUT_S, may_send=lambda: True, sending=None, **fields):
    headers = (("Work-Id", fields.get("request_id", "w")),)
    if action:
        headers += (("Standin-Do", action),)
    request = builders.build_request(headers=headers, **fields)
    deadline_ms = 1000 * (time.time() + TIMEOUT_S)
    return context.client.send(context.upstream, request, deadline_ms, timeout_s, may_send, sending)


@when("a request asks the upstream to {action}")
def step_action(context, action):
    timeout_s = HANG_TIMEOUT_S if action == "hang" else TIMEOUT_S
    context.outcome = send(context, action, timeout_s)


@when("the upstream is down and gets a request")
def step_down(context):
    context.server.stop()
    context.outcome = send(context)


@when("a request is no longer permitted when its first byte is to be sent")
def step_permission(context):
    context.outcome = send(context, may_send=lambda: False)


@when("a request whose deadline has passed reaches the upstream")
def step_deadline_passed(context):
    request = builders.build_request()
    deadline_ms = 1000 * (time.time() - 1)
    context.outcome = context.client.send(
        context.upstream, request, deadline_ms, TIMEOUT_S, lambda: True
    )


@when("a request that hangs is cancelled")
def step_cancel(context):
    sending = upstreams.Sending()
    thread = eventlet.spawn(send, context, "hang", sending=sending)
    while not context.server.record.in_flight:
        eventlet.sleep(0.005)
    sending.cancel()
    context.outcome = thread.wait()


@when("the upstream is leaving and gets a request")
def step_leaving(context):
    context.server.worker.leaving = True
    context.outcome = send(context)


@when("60 requests are sent 3 at a time and every fifth is cancelled")
def step_many(context):
    context.outcomes = []
    pool = eventlet.GreenPool(3)
    for number in range(60):
        pool.spawn_n(send_numbered, context, f"n{number}", number % 5 == 0)
    pool.waitall()


def send_numbered(context, request_id, is_cancelled):
    sending = upstreams.Sending()
    if is_cancelled:
        eventlet.spawn_n(sending.cancel)
    outcome = send(context, sending=sending, request_id=request_id)
    context.outcomes.append((request_id, outcome))


@when("a request with the path {path} is sent")
def step_path(context, path):
    context.outcome = send(context, path=path.replace("\\r\\n", "\r\n"))


@then("the send ends as {verdict} because of {reason}")
def step_outcome(context, verdict, reason):
    assert context.outcome.verdict.value == verdict, context.outcome
    assert context.outcome.reason == reason, context.outcome


@then("the upstream has run it {runs:d} times")
def step_runs(context, runs):
    assert context.server.record.counts["begun"] == runs, context.server.record.counts


@then("the answer has status {status:d}")
def step_status(context, status):
    assert context.outcome.answer.status == status


@then("the upstream has no request in progress")
def step_idle(context):
    assert context.server.record.in_flight == 0


@then("the outcome marks the upstream as leaving")
def step_reports_leaving(context):
    assert context.outcome.is_leaving


@then("each answer names its own request")
def step_own_answers(context):
    answered = [
        (request_id, json.loads(outcome.answer.body)["request_id"])
        for request_id, outcome in context.outcomes
        if isinstance(outcome, upstreams.Answered)
    ]
    assert len(answered) >= 48
    assert all(sent == received for sent, received in answered)


@then("at most {count:d} idle connections are kept")
def step_idle_connections(context, count):
    assert context.client.count_idle(context.upstream.upstream_id) <= count
    assert context.server.record.max_in_flight <= count
