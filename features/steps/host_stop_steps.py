"""Steps of host_platform.feature about requests during a planned stop."""

import signal

import eventlet
from behave import given, then, when
from eventlet.green import socket

from features import host_world
from standins import platformdata

HOST_EXIT_S = 4.0


@given("a host program that uses the store, with a grace period of {seconds:d} s")
def step_program(context, seconds):
    context.execute_steps("Given a host program that uses the store")
    text = context.settings_path.read_text(encoding="utf-8")
    text = text.replace("terms.bounds.grace=3s", f"terms.bounds.grace={seconds}s")
    context.settings_path.write_text(text, encoding="utf-8")
    # The host reads its settings each second.
    eventlet.sleep(1.5)


@given("its routes permit {seconds:d} s")
def step_timeouts(context, seconds):
    spec = platformdata.build_configuration_spec(8)
    for route in spec["routes"].values():
        route["timeout"] = f"{seconds}s"
    context.store.write("config", "main", spec)


def _open(context):
    client = socket.create_connection(("127.0.0.1", context.ports[1]))
    client.settimeout(host_world.ANSWER_TIMEOUT_S)
    return client


@when("its upstreams take {seconds:g} s, and it is signaled to stop during {what}")
def step_stop(context, seconds, what):
    for item in context.workers:
        item.work_s = seconds
    data = platformdata.format_request("POST /order/1", "late", b"deposit")
    context.client = _open(context)
    context.client.sendall(data if what == "a request" else data[:-1])
    context.rest = data[-1:]
    eventlet.sleep(0.1)
    context.process.send_signal(signal.SIGTERM)


@when("the upload completes {seconds:g} s later, with {left:g} s left of the grace period")
def step_complete(context, seconds, left):
    eventlet.sleep(seconds)
    context.client.sendall(context.rest)


@then("the client gets 503 and no upstream has run the request")
def step_refused(context):
    status, headers, _ = platformdata.AnswerReader(context.client).read()
    assert status == 503, status
    assert not any(item.runs for item in context.workers)


@then("the client gets {status:d} before the program ends")
def step_ended(context, status):
    answer = platformdata.AnswerReader(context.client).read()
    assert answer[0] == status, answer
    host_world.wait_until(HOST_EXIT_S, lambda: context.process.poll() is not None)
    assert context.process.returncode == 0


@then("its upstreams have run no request")
def step_no_runs(context):
    assert not any(item.runs for item in context.workers)
