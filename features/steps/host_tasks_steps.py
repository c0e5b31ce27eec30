"""Steps of host_tasks.feature."""

import json
import os
import signal

import eventlet
from behave import given, then, when
from eventlet.green import socket

from features import host_builders, host_world
from skylarksill.host import _clientconnection
from standins import platformdata

FAULTY_HOST = host_builders.PLATFORM_FOLDER.parent / "standins" / "faulty_host.py"


class PlantedError(Exception):
    """The planted exception."""


@given("a host program that uses the store, with a fault in {fault}")
def step_faulty_program(context, fault):
    context.program = [str(FAULTY_HOST), fault]
    context.execute_steps("Given a host program that uses the store")


@then("it logs within {seconds:d} s that the planted fault is over")
def step_over(context, seconds):
    host_world.wait_until(seconds, lambda: "planted.over" in _list_events(context))


@given("a host program that uses the store, with a full pipe as standard output")
def step_full_output(context):
    context.log_output = _fill_pipe(context)
    context.execute_steps("Given a host program that uses the store")


def _fill_pipe(context):
    """Returns the descriptor to which a pipe that nobody reads is written."""
    reader, writer = os.pipe()
    context.add_cleanup(os.close, reader)
    context.add_cleanup(os.close, writer)
    os.set_blocking(writer, False)
    try:
        while True:
            os.write(writer, bytes(4_096))
    except BlockingIOError:
        os.set_blocking(writer, True)
    return writer


@given("a host program with a fault in {fault}, with a {pipe} pipe as standard error")
def step_faulty_program_errors(context, fault, pipe):
    context.error_output = _fill_pipe(context) if pipe == "full" else _open_closed_pipe(context)
    context.program = [str(FAULTY_HOST), fault]
    context.execute_steps("Given a host program that uses the store")


def _open_closed_pipe(context):
    """Returns the descriptor of a pipe whose reader has gone."""
    reader, writer = os.pipe()
    os.close(reader)
    context.add_cleanup(os.close, writer)
    return writer


@when("it is paused {count:d} times for {seconds:g} s")
def step_paused(context, count, seconds):
    for _ in range(count):
        context.process.send_signal(signal.SIGSTOP)
        eventlet.sleep(seconds)
        context.process.send_signal(signal.SIGCONT)
        eventlet.sleep(0.05)


@then("its metrics say that it is late by {seconds:g} s or more")
def step_late(context, seconds):
    lines = dict(line.split() for line in _read_metrics(context).splitlines() if "{" not in line)
    assert float(lines["skylarksill_lateness_seconds"]) >= seconds, lines


def _read_lines(context):
    text = context.log_path.read_text(encoding="utf-8")
    return [json.loads(line) for line in text.splitlines(keepends=True) if line.endswith("\n")]


def _list_events(context):
    return [line["event"] for line in _read_lines(context)]


@then('it has logged an exception of "{task}" with its traceback')
def step_logged(context, task):
    _await_exception(context, task, 1.0)


@then('it has logged within {seconds:d} s an exception of "{task}" with its traceback')
def step_logged_within(context, seconds, task):
    _await_exception(context, task, seconds)


def _await_exception(context, task, seconds):
    def is_logged():
        return any(
            line["event"] == "host.exception"
            and line["task"].startswith(task)
            and "PlantedError: planted" in line["traceback"]
            for line in _read_lines(context)
        )

    host_world.wait_until(seconds, is_logged)
    assert "Traceback" in context.error_path.read_text(encoding="utf-8")


@then('its metrics count the exceptions of "{task}"')
def step_counted(context, task):
    body = _read_metrics(context)
    assert f'skylarksill_exceptions_total{{label="{task}' in body, body


def _read_metrics(context):
    client = socket.create_connection(("127.0.0.1", context.ports[0] + 1))
    client.settimeout(host_world.ANSWER_TIMEOUT_S)
    client.sendall(b"GET /metrics HTTP/1.1\r\nHost: host\r\n\r\n")
    body = platformdata.AnswerReader(client).read()[2].decode()
    client.close()
    return body


@then("the program ends within {seconds:d} s with code {code:d} and no traceback")
def step_ended(context, seconds, code):
    host_world.wait_until(seconds, lambda: context.process.poll() is not None)
    errors = context.error_path.read_text(encoding="utf-8")
    assert context.process.returncode == code and "Traceback" not in errors, errors
    assert _list_events(context)[-1] == "host.stop"


@when("it gets signals to stop, reload and stop during a request")
def step_signals(context):
    _signal_during_request(context, (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM))


def _signal_during_request(context, numbers):
    for item in context.workers:
        item.work_s = 0.6
    client = socket.create_connection(("127.0.0.1", context.ports[1]))
    client.settimeout(host_world.ANSWER_TIMEOUT_S)
    client.sendall(platformdata.format_request("GET /read/1", "last"))
    for number in numbers:
        eventlet.sleep(0.1)
        context.process.send_signal(number)
    context.answer = platformdata.AnswerReader(client).read()


@when("it gets {name} during a request")
def step_signal_during_request(context, name):
    _signal_during_request(context, [signal.Signals[name]])


@then("that request is answered with {status:d} and the program runs on")
def step_runs_on(context, status):
    assert context.answer[0] == status, context.answer
    assert context.process.poll() is None, context.process.returncode


@then("it has logged that it ignored {name}")
def step_ignored(context, name):
    def is_logged():
        return any(
            line["event"] == "host.signal_ignored" and line["signal"] == name
            for line in _read_lines(context)
        )

    host_world.wait_until(1.0, is_logged)


@when("it is signaled to stop and gets {name} each {seconds:g} s until its end")
def step_signals_until_end(context, name, seconds):
    context.process.send_signal(signal.SIGTERM)
    while context.process.poll() is None:
        context.process.send_signal(signal.Signals[name])
        eventlet.sleep(seconds)


@given("a host whose handler of stop signals is interrupted by another one")
def step_interrupted_handler(context):
    context.host = host_builders.build_program(context)
    send = context.host._stopping.send
    context.stops = []

    def interrupt_and_send(value):
        if not context.stops:
            context.stops.append(value)
            context.host._on_stop(signal.SIGINT, None)
        send(value)

    context.host._stopping.send = interrupt_and_send


@when("it gets a stop signal")
def step_signal(context):
    context.host._on_stop(signal.SIGTERM, None)


@then("it stops once")
def step_stopped(context):
    assert context.host._stopping.ready() and len(context.stops) == 1


@given("the host fails on its next connection")
def step_faulty_connection(context):
    context.world.expects_exceptions = True
    original = _clientconnection.Connection.__init__

    def fail_once(connection, *arguments):
        _clientconnection.Connection.__init__ = original
        raise PlantedError("planted")

    _clientconnection.Connection.__init__ = fail_once
    context.add_cleanup(setattr, _clientconnection.Connection, "__init__", original)


@when("a client connects, and another one sends a request")
def step_two_clients(context):
    context.world.connect()
    # The host accepts again after a pause.
    client = context.world.connect()
    client.sendall(platformdata.format_request("GET /read/1", "r1"))
    context.answer = platformdata.AnswerReader(client).read()


@when("{count:d} clients send a request, and the end of the first connection's requests raises one")
def step_faulty_end(context, count):
    context.world.expects_exceptions = True
    context.clients = [context.world.connect() for _ in range(count)]
    for index, client in enumerate(context.clients):
        client.sendall(platformdata.format_request("GET /read/1", f"r{index}"))
    host_world.wait_until(1.0, lambda: context.world.server.in_flight == count)
    first = next(iter(context.world.server.connections))
    context.faulty_port = first._socket.getpeername()[1]

    def fail(status):
        raise PlantedError("planted")

    first.end_requests = fail
    context.world.server.end_requests(504)


@then("the other {count:d} are answered with {status:d}")
def step_others_answered(context, count, status):
    others = [
        client for client in context.clients if client.getsockname()[1] != context.faulty_port
    ]
    statuses = [platformdata.AnswerReader(client).read()[0] for client in others]
    assert statuses == [status] * count, statuses
