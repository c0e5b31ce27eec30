"""Steps of host_sends.feature."""

import dataclasses
import hashlib
import time

import eventlet
import urllib3
from behave import given, then, when

from features import host_builders, host_world, key_builders, wire_builders
from skylarksill import limits
from skylarksill import records as shared
from skylarksill.host import (
    _beliefcodec,
    _boundedsends,
    _upstreamhttp,
    accounts,
    belief,
    boundedpool,
    eventlog,
    following,
)
from standins import platformdata, slowpeer, worker

BUFFER_BYTES = 64 * 1024 * 1024
# Time for the test's own threads beyond the bounds that are tested.
SLACK_S = 0.3
MAX_BODY_BYTES = 1_000_000


def _format_order(size):
    """Returns a Request with a body, and its bytes."""
    unit = bytes(range(256))
    body = (unit * (size // len(unit) + 1))[:size]
    request = wire_builders.build_request(body=body)
    message = _upstreamhttp.format_request(
        request, "a", 1_000, wire_builders.NAMES, accounts.Unrestricted()
    )
    return request, message


def _list_bytes(request, message):
    is_joined = len(request.body) <= _upstreamhttp.MAX_JOINED_BYTES
    return message if is_joined else message + request.body


def _connect(context, size):
    """Connects to a peer with the habit of the scenario."""
    context.request, context.message = _format_order(size)
    whole = _list_bytes(context.request, context.message)
    context.whole_digest = hashlib.sha256(whole)
    context.habit = slowpeer.Habit(
        **context.habits,
        final=wire_builders.format_answer("a length"),
        request_bytes=len(whole),
    )
    context.peer = slowpeer.SlowPeer(context.habit)
    context.add_cleanup(context.peer.join)
    context.connection = wire_builders.build_connection(
        context.peer.own_end, limits.BufferLimit(BUFFER_BYTES)
    )


@given("an upstream that reads {count:d} bytes each {pause:g} s")
@given("a peer that reads {count:d} bytes each {pause:g} s")
def step_slow(context, count, pause):
    context.habits = {"read_bytes": count, "pause_s": pause}


@given("an upstream that answers the head with {answer} and {ending}")
def step_early(context, answer, ending):
    context.habits = {
        "early": wire_builders.EARLY_ANSWERS[answer],
        "ending": slowpeer.Ending(ending),
    }


@when("an order with a body of {size:d} bytes and {seconds:g} s left is sent to that upstream")
def step_send(context, size, seconds):
    _connect(context, size)
    started_at = time.monotonic()
    context.outcome = context.connection.exchange(
        context.request, context.message, started_at + seconds
    )
    context.taken_s = time.monotonic() - started_at
    if not context.connection.is_reusable:
        context.connection.close()


@then("the order has timed out after {seconds:g} s")
def step_timed_out(context, seconds):
    assert isinstance(context.outcome, _upstreamhttp.TimedOut), context.outcome
    assert seconds <= context.taken_s <= seconds + SLACK_S, context.taken_s


@then(
    "the upstream sees the end of the connection within {seconds:g} s and has not got the whole"
    " order"
)
def step_upstream_sees_end(context, seconds):
    assert context.peer.wait_for_end(seconds + context.habit.pause_s)
    assert context.peer.received_bytes < len(_list_bytes(context.request, context.message))


@then("the order {outcome} within {seconds:g} s, and the connection is not kept")
def step_outcome_in_time(context, outcome, seconds):
    assert context.taken_s <= seconds, (context.taken_s, context.outcome)
    assert not context.connection.is_reusable
    _check_outcome(context.outcome, outcome)


@then("the order is answered with 200, and the connection is kept")
def step_answered_and_kept(context):
    _check_outcome(context.outcome, "is answered with 200")
    assert context.connection.is_reusable


@then("the order is answered with 200")
def step_answered(context):
    _check_outcome(context.outcome, "is answered with 200")


def _check_outcome(outcome, expected):
    match outcome:
        case _upstreamhttp.NotRun(reason):
            found = "has not run" if reason == "shed" else reason
        case _upstreamhttp.Answered(answer):
            found = f"is answered with {answer.status}"
        case _upstreamhttp.MayHaveRun(_, is_broken):
            found = "may have run, broken" if is_broken else "may have run, unbroken"
        case _:
            found = repr(outcome)
    assert found == expected, outcome


@then("the upstream has got each byte of the order")
def step_whole(context):
    assert context.peer.received_bytes == context.habit.request_bytes, context.peer.received_bytes
    assert context.peer.digest.digest() == context.whole_digest.digest()


@when("an order of which {size:d} bytes are to be sent is cancelled after {seconds:g} s")
def step_cancel(context, size, seconds):
    _connect(context, size)
    started_at = time.monotonic()
    eventlet.spawn_after(seconds, context.connection.abort)
    context.connection.exchange(context.request, context.message, started_at + 5.0)
    context.taken_s = time.monotonic() - started_at


@then("the send has ended {seconds:g} s after it began")
def step_cancelled(context, seconds):
    assert context.taken_s <= seconds, context.taken_s


# Other connections.


def _send_bounded(sock, data, seconds):
    _boundedsends.send_all(sock, data, time.monotonic() + seconds)


def _send_to_store(sock, data, seconds):
    _replace(boundedpool.socket, "create_connection", lambda *_: sock)
    pool = boundedpool.BoundedPool("127.0.0.1", 9, maxsize=1)
    timeout = urllib3.Timeout(connect=seconds, read=seconds)
    pool.urlopen("POST", "/x", body=data, retries=False, timeout=timeout)


def _serve_follower(sock, data, seconds):
    ring = key_builders.build_keyring("k1")
    lost = []
    server = following.BeliefServer(
        ("127.0.0.1", 0),
        belief.Belief(),
        eventlog.EventLog("test", lost.append),
        lambda: False,
        lambda: ring,
    )
    server._encode_update = lambda *_: data
    request = _beliefcodec.Request(0, 0, 0.0, bytes(_beliefcodec.NONCE_BYTES))
    _replace(following, "ANSWER_TIMEOUT_S", seconds)
    _replace(following, "_read_message", lambda *_: b"")
    _replace(following.keyring, "unseal", lambda *_: b"")
    _replace(_beliefcodec, "decode_request", lambda _: request)
    server._serve(sock, ("127.0.0.1", 9))
    server._socket.close()
    server._log.flush()
    assert b"relay.follower_lost" in b"".join(lost)
    raise TimeoutError


def _follow_source(sock, data, seconds):
    ring = key_builders.build_keyring("k1")
    record = host_builders.build_host_record("source")
    stream = following._SourceStream(
        record, None, None, eventlog.EventLog("test", len), lambda: ring
    )
    _replace(following, "ANSWER_TIMEOUT_S", seconds)
    _replace(_beliefcodec, "encode_request", lambda _: data)
    request = _beliefcodec.Request(0, 0, 0.0, bytes(_beliefcodec.NONCE_BYTES))
    sock.settimeout(seconds)
    stream._exchange(sock, None, request)


_SENDERS = {
    "a bounded send": _send_bounded,
    "a client of the store": _send_to_store,
    "a source of belief": _serve_follower,
    "a follower of belief": _follow_source,
}
_replaced = []


def _replace(module, name, value):
    _replaced.append((module, name, getattr(module, name)))
    setattr(module, name, value)


def _restore():
    while _replaced:
        setattr(*_replaced.pop())


@when("{sender} sends it {size:d} bytes with {seconds:g} s left")
def step_other_sender(context, sender, size, seconds):
    context.add_cleanup(_restore)
    context.peer = slowpeer.SlowPeer(slowpeer.Habit(**context.habits))
    context.add_cleanup(context.peer.join)
    started_at = time.monotonic()
    try:
        _SENDERS[sender](context.peer.own_end, bytes(size), seconds)
    except (OSError, urllib3.exceptions.HTTPError):
        context.taken_s = time.monotonic() - started_at
    else:
        raise AssertionError("the whole message was sent")


@then("the sender has given up after {seconds:g} s")
def step_given_up(context, seconds):
    assert seconds <= context.taken_s <= seconds + SLACK_S, context.taken_s


# The data path of a host.


def _build_world(context, names):
    order = host_builders.build_route(
        route_id="order", prefix="/order/", kind=shared.WorkKind.NON_IDEMPOTENT
    )
    context.world = host_world.HostWorld(names, routes=(order,))
    context.add_cleanup(context.world.stop)
    known = context.world.belief.configuration
    longer = dataclasses.replace(known.limits, max_body_bytes=MAX_BODY_BYTES)
    context.world.belief.accept_configuration(
        dataclasses.replace(known, generation=2, limits=longer)
    )


@given("a host with an upstream that reads {count:d} bytes each {pause:g} s on a link with {what}")
def step_slow_world(context, count, pause, what):
    assert what == "a small window"
    _build_world(context, ("a",))
    (item,) = context.world.workers.values()
    item.read_bytes, item.read_pause_s = count, pause
    item.set_small_window()


@when("a client sends it an order of {size:d} bytes on a route with a time-out of {timeout:g} s")
def step_upload(context, size, timeout):
    started_at = time.monotonic()
    context.status = _send_order(context.world, "r1", bytes(size))
    context.taken_s = time.monotonic() - started_at


def _send_order(world, request_id, body):
    client = world.connect()
    message = platformdata.format_request("POST /order/1", request_id, body, deadline_ms=5_000)
    try:
        client.sendall(message)
        return platformdata.AnswerReader(client).read()[0]
    finally:
        client.close()


@then("the client gets {status:d} between {least:g} and {most:g} s after it")
def step_upload_ended(context, status, least, most):
    assert context.status == status, context.status
    assert least <= context.taken_s <= most, context.taken_s


@then("nothing of the order is held: no request, no connection, no body")
def step_nothing_held(context):
    state = context.world.fleet.find("a")

    def is_free():
        return state.in_flight == state.use.open_requests == context.world.server.in_flight == 0

    host_world.wait_until(0.5, is_free)
    assert context.world.pool.pop_idle(state.record, True) == (None, False)
    assert context.world.server.buffered_bytes == 0, context.world.server.buffered_bytes


@given("a host with an upstream that refuses long orders before they are read, and a sound one")
def step_refusing_world(context):
    _build_world(context, ("a", "b"))
    refusing = context.world.workers["a"]
    refusing.fault = worker.Fault.EARLY_REFUSAL
    refusing.set_small_window()
    context.refused = []
    refusing.on_refuse = context.refused.append


@when("a client sends it {count:d} orders of {size:d} bytes")
def step_long_orders(context, count, size):
    context.statuses = [_send_order(context.world, f"r{n}", bytes(size)) for n in range(count)]


@then("all are answered with 200, each has run once, and nothing is suspected of a crash")
def step_all_served(context):
    assert context.refused, "the refusing upstream got no order"
    assert set(context.statuses) == {200}, context.statuses
    assert context.world.count_runs() == len(context.statuses)
    poisons = context.world.forwarder.poisons
    assert not poisons._broken_requests and not poisons._crashes
