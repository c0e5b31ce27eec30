"""Steps of host_exceptions.feature about requests."""

import errno
import json
import random
import re
import time

import greenlet
from behave import given, then, when

from features import host_chaos, host_world
from skylarksill.host import (
    _fairreads,
    _requestfields,
    _upstreamhttp,
    connector,
    eventlog,
    records,
)
from standins import platformdata

SETTLE_S = 1.0


class PlantedError(Exception):
    """The planted exception."""


def _fail(*arguments, **options):
    raise PlantedError("planted")


@given('the handler {fault} the request "{request_id}"')
def step_faulty_handler(context, fault, request_id):
    handle = context.world.server.handle
    context.world.expects_exceptions = True

    def handle_or_fail(request, cancellation):
        if request.request_id != request_id.encode():
            return handle(request, cancellation)
        return _fail() if fault.startswith("raises") else records.Answer(200, b"", (), None)

    context.world.server.handle = handle_or_fail


@given('the green thread of the request "{request_id}" is ended')
def step_end_thread(context, request_id):
    handle = context.world.server.handle

    def handle_or_end(request, cancellation):
        if request.request_id == request_id.encode():
            raise greenlet.GreenletExit
        return handle(request, cancellation)

    context.world.server.handle = handle_or_end


@given('sending the answer to the request "{request_id}" raises an exception')
def step_faulty_send(context, request_id):
    context.world.expects_exceptions = True
    context.planted_id = request_id


@given('reading the request "{request_id}" raises an exception {where}')
def step_faulty_read(context, request_id, where):
    context.world.expects_exceptions = True
    if where == "in the parser":
        build_request = _requestfields.build_request

        def build_or_fail(method, target, headers, body, names):
            request = build_request(method, target, headers, body, names)
            return _fail() if request.request_id == request_id.encode() else request

        _requestfields.build_request = build_or_fail
        context.add_cleanup(setattr, _requestfields, "build_request", build_request)
        return
    parse = _fairreads.FairParsing.parse

    def parse_and_fail(parsing, data, deadline=None):
        before, found, _ = data.partition(
            b"GET /read/1 HTTP/1.1\r\nHost: shop.example\r\n"
            b"X-Skylarksill-Request-Id: " + request_id.encode() + b"\r\n"
        )
        parse(parsing, before, deadline)
        if found:
            _fail()

    _fairreads.FairParsing.parse = parse_and_fail
    context.add_cleanup(setattr, _fairreads.FairParsing, "parse", parse)


@then("the answers have the status {first:d}, {second:d} and {third:d}")
def step_statuses(context, first, second, third):
    statuses = re.findall(rb"HTTP/1\.1 (\d+) ", context.received)
    assert [int(status) for status in statuses] == [first, second, third], context.received


@given("their connections can't be shut down")
def step_faulty_shutdown(context):
    connection_type = _upstreamhttp.Connection
    exchange = connection_type.exchange

    def exchange_on_faulty(connection, *arguments):
        connection._socket = _UnstoppableSocket(connection._socket)
        return exchange(connection, *arguments)

    connection_type.exchange = exchange_on_faulty
    context.add_cleanup(setattr, connection_type, "exchange", exchange)


class _UnstoppableSocket:
    """A green socket whose shutdown fails, though it takes effect."""

    def __init__(self, sock):
        self._sock = sock

    def shutdown(self, how):
        self._sock.shutdown(how)
        raise OSError(errno.EIO, "planted")

    def __getattr__(self, name):
        return getattr(self._sock, name)


@when("the client sends {count:d} requests at once and disconnects")
def step_pipeline_and_leave(context, count):
    client = context.world.connect()
    client.sendall(
        b"".join(platformdata.format_request("GET /read/1", f"r{index}") for index in range(count))
    )
    host_world.wait_until(SETTLE_S, lambda: context.world.count_runs() == count)
    client.close()


@then("its connection is closed")
def step_connection_closed(context):
    host_world.wait_until(SETTLE_S, lambda: not context.world.server.connections)


@given("a log whose output has no room for its first {count:d} lines")
def step_full_log(context, count):
    context.output = bytearray()
    context.has_room = False

    def write(data):
        if not context.has_room:
            raise OSError(errno.ENOSPC, "planted")
        context.output += data
        return len(data)

    context.log = eventlog.EventLog("test", write)
    for index in range(count):
        context.log.write("lost", number=index)
    context.log.flush()
    context.has_room = True


@when("{count:d} more lines are written")
def step_write_more(context, count):
    for index in range(count):
        context.log.write("kept", number=index)
    context.log.flush()


@then("the log has {count:d} lines and one that counts the {lost:d} lost ones")
def step_counted_lines(context, count, lost):
    events = [json.loads(line) for line in context.output.splitlines()]
    assert [event["event"] for event in events] == ["log.dropped"] + ["kept"] * count, events
    assert events[0]["lines"] == lost


@when("the client sends {count:d} requests at once until the connection ends")
def step_pipeline_to_end(context, count):
    client = context.world.connect()
    host_world.wait_until(SETTLE_S, lambda: context.world.server.connections)
    if hasattr(context, "planted_id"):
        (connection,) = context.world.server.connections
        connection._socket = _FaultySocket(connection._socket, context.planted_id.encode())
    client.sendall(
        b"".join(platformdata.format_request("GET /read/1", f"r{index}") for index in range(count))
    )
    context.received = b""
    try:
        while data := client.recv(65_536):
            context.received += data
        context.ended = True
    except TimeoutError:
        context.ended = False
    except ConnectionError:
        context.ended = True


class _FaultySocket:
    """A green socket that fails as it sends the answer to one request."""

    def __init__(self, sock, request_id):
        self._sock = sock
        self._request_id = request_id

    def send(self, data):
        if b": " + self._request_id + b"\r\n" in bytes(data):
            _fail()
        return self._sock.send(data)

    def __getattr__(self, name):
        return getattr(self._sock, name)


@given("the forwarder fails {when_it_fails}")
def step_faulty_forwarder(context, when_it_fails):
    world = context.world
    world.expects_exceptions = True
    forwarder = world.forwarder
    match when_it_fails:
        case "before it has chosen a route":
            world.belief.route_table.find = _fail
        case "while it chooses an upstream":
            forwarder._steering.choose = _fail
        case "while it connects":
            world.pool.open = _fail
        case "while it reads the answer":
            _fail_while_reading(context)
        case "while it learns from the answer":
            forwarder._steering.record_success = _fail
        case "after it has got the answer":
            forwarder.poisons.record_answer = _fail
        case "while it logs the end":
            forwarder._endings.record_end = _fail


def _fail_while_reading(context):
    read_answer = _upstreamhttp.Connection._read_answer

    def read_and_fail(connection, request, deadline):
        read_answer(connection, request, deadline)
        _fail()

    _upstreamhttp.Connection._read_answer = read_and_fail
    context.add_cleanup(setattr, _upstreamhttp.Connection, "_read_answer", read_answer)


@then('all {count:d} requests are answered, and "{request_id}" with {status:d}')
def step_all_answered(context, count, request_id, status):
    position = int(request_id.removeprefix("r"))
    expected = [200] * count
    expected[position] = status
    assert [answer[0] for answer in context.answers] == expected, context.answers


@then('the connection has ended, and the answer to "{request_id}" did not arrive')
def step_ended_without(context, request_id):
    assert context.ended
    assert b": " + request_id.encode() + b"\r\n" not in context.received, context.received


@then("nothing of the requests is left in the host")
def step_nothing_left(context):
    world = context.world

    def is_released():
        in_flight = sum(state.in_flight for state in world.fleet)
        return not (world.server.in_flight or world.server.buffered_bytes or in_flight)

    host_world.wait_until(SETTLE_S, is_released)


@then('the log has one exception of "{task}" with its traceback')
def step_one_exception(context, task):
    assert len(_list_exceptions(context, task)) == 1, bytes(context.world.log_bytes)


@then('the log has an exception of "{task}" with its traceback')
def step_exception(context, task):
    assert _list_exceptions(context, task), bytes(context.world.log_bytes)


def _list_exceptions(context, task):
    context.world.log.flush()
    events = [json.loads(line) for line in context.world.log_bytes.splitlines()]
    return [
        event
        for event in events
        if event["event"] == "host.exception"
        and event["task"] == task
        and "Traceback (most recent call last)" in event["traceback"]
    ]


@then("no connection to an upstream is kept")
def step_none_kept(context):
    assert not any(context.world.pool._idle.values())


@given("the answers of the upstreams state {header} as {value}")
def step_odd_header(context, header, value):
    for item in context.world.workers.values():
        item.extra_headers = [f"{header}: {_expand(value)}"]


@when("the client sends a request with a deadline of {value} ms")
def step_odd_deadline(context, value):
    client = context.world.connect()
    data = platformdata.format_request("GET /read/1", "r1")
    name = b"X-Skylarksill-Deadline-Ms: "
    client.sendall(data.replace(name + b"2000", name + _expand(value).encode()))
    context.answer = platformdata.AnswerReader(client).read()


def _expand(text):
    """Returns the text with the digits in place of each ``9 of N digits``."""
    return re.sub(r"9 of (\d+) digits", lambda match: "9" * int(match[1]), text)


@given("connections fail with {name}")
def step_no_connections(context, name):
    context.open = context.world.pool.open

    def fail(upstream, timeout_s):
        raise OSError(getattr(errno, name), "planted")

    context.world.pool.open = fail


@given("the host has an idle connection, and others fail with EMFILE until it is closed")
def step_idle_connection(context):
    world = context.world
    context.state = next(iter(world.fleet))
    world.pool.put_back(world.pool.open(context.state.record, 1.0))
    context.idle, _ = world.pool.pop_idle(context.state.record, True)
    world.pool.put_back(context.idle)
    open_connection = world.pool.open

    def fail_while_idle(upstream, timeout_s):
        if context.idle.is_reusable:
            raise OSError(errno.EMFILE, "planted")
        return open_connection(upstream, timeout_s)

    world.pool.open = fail_while_idle


@when("the host connects to an upstream")
def step_connect(context):
    connections = connector.Connector(
        context.world.fleet,
        context.world.pool,
        context.world.log,
        context.world.counters,
        None,
        None,
    )
    context.connection = connections.connect(context.state, time.monotonic() + 1.0)


@then("it has a connection and no idle one")
def step_connected(context):
    assert context.connection is not None and context.connection.is_reusable
    assert context.world.pool.pop_idle(context.state.record, True) == (None, False)


@when("connections succeed again")
def step_connections(context):
    context.world.pool.open = context.open


@then("no upstream is unreachable or cold")
def step_sound_upstreams(context):
    now = time.monotonic()
    assert not any(state.is_unreachable or state.is_cold(now) for state in context.world.fleet)


@given("a host whose upstreams, configuration and peers change at random with seed {seed:d}")
def step_chaos(context, seed):
    context.chaos = host_chaos.Chaos(random.Random(seed))
    context.world = context.chaos.world
    context.add_cleanup(context.world.stop)


@when("{clients:d} clients send requests {rounds:d} times each")
def step_run_chaos(context, clients, rounds):
    context.chaos.run(clients, rounds)


@then("each request got a final answer, at least {count:d} of them")
def step_no_silence(context, count):
    assert not context.chaos.silent, context.chaos.silent[:3]
    assert context.chaos.answered >= count, context.chaos.answered
