"""Steps of host_halfclose.feature."""

import dataclasses
import struct
import time

import eventlet
from behave import given, then, when
from eventlet.green import socket

from features import client_builders, host_world
from skylarksill.host import _clientconnection, answers, halfclose

STEP_S = 0.001
END_S = 9.9
# Probes come up to a step late each.
TOLERANCE_S = 0.01


@when("a client sends a request that asks to close and ends its sending side")
def step_close_and_end(context):
    context.client = client_builders.connect(context)
    request = client_builders.format_request(10).replace(
        b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"
    )
    context.client.sendall(request)
    context.client.shutdown(socket.SHUT_WR)


@when(
    "a client of HTTP/1.0 sends requests that take {first:g}, {second:g} and {third:g} s"
    " and ends its sending side"
)
def step_old_client(context, first, second, third):
    context.client = client_builders.connect(context)
    for seconds in (first, second, third):
        request = client_builders.format_request(10, seconds)
        request = request.replace(b"HTTP/1.1", b"HTTP/1.0")
        context.client.sendall(request.replace(b"\r\n\r\n", b"\r\nConnection: keep-alive\r\n\r\n"))
    context.client.shutdown(socket.SHUT_WR)


@when("{seconds:g} s later it closes its connection")
def step_close(context, seconds):
    eventlet.sleep(seconds)
    context.client.close()


@when(
    "a slow client sends requests for {first:d} bytes"
    " and behind it for {second:d} bytes that takes {seconds:g} s"
)
def step_slow_client(context, first, second, seconds):
    context.client = client_builders.connect(context, 4096)
    context.client.sendall(client_builders.format_request(first))
    context.client.sendall(client_builders.format_request(second, seconds))


@when(
    "a client sends a request for {size:d} bytes, ends its sending side and pauses for {pause:g} s"
)
def step_pause(context, size, pause):
    context.client = client_builders.connect(context, 4096)
    context.client.sendall(client_builders.format_request(size))
    context.client.shutdown(socket.SHUT_WR)
    eventlet.sleep(pause)


@then("the server logs no failure")
def step_no_failure(context):
    assert not context.server.list_lines("host.exception")


@when("it ends its sending side and reads {count:d} bytes each {pause:g} s")
def step_read_slowly(context, count, pause):
    context.client.shutdown(socket.SHUT_WR)
    context.received = bytearray()
    while True:
        eventlet.sleep(pause)
        part = _receive_up_to(context.client, count)
        if not part:
            return
        context.received += part


def _receive_up_to(client, count):
    received = b""
    while len(received) < count:
        data = client.recv(count - len(received))
        if not data:
            break
        received += data
    return received


@then("it has read answers of {first:d} and {second:d} bytes")
def step_two_answers(context, first, second):
    rest = bytes(context.received)
    for size in (first, second):
        head, _, rest = rest.partition(b"\r\n\r\n")
        status = int(head.split()[1])
        body, rest = rest[:size], rest[size:]
        assert (status, body) == (200, b"x" * size), (status, size, len(body))
    assert not rest, rest[:100]


@given("a kernel that gets no acknowledgement of what it sends after {seconds:g} s")
def step_unreachable(context, seconds):
    observe = _clientconnection.Connection._observe_delivery
    unreachable_at = time.monotonic() + seconds

    def observe_or_miss(connection):
        is_reachable = time.monotonic() < unreachable_at
        return observe(connection) if is_reachable else ON_ITS_WAY

    _clientconnection.Connection._observe_delivery = observe_or_miss
    context.add_cleanup(setattr, _clientconnection.Connection, "_observe_delivery", observe)


@given("a kernel that gets each acknowledgement after {seconds:g} s")
def step_long_round_trip(context, seconds):
    observe = _clientconnection.Connection._observe_delivery
    sent = {}

    def observe_late(connection):
        delivery = dataclasses.replace(observe(connection), round_trip_s=seconds)
        since = sent.setdefault((connection, connection._begun_bytes), time.monotonic())
        if time.monotonic() < since + seconds:
            delivery = dataclasses.replace(delivery, is_in_flight=True, is_complete=False)
        return dataclasses.replace(delivery, acknowledged_bytes=0)

    _clientconnection.Connection._observe_delivery = observe_late
    context.add_cleanup(setattr, _clientconnection.Connection, "_observe_delivery", observe)


@then("its round trip is found to take between {least:f} and {most:g} s")
def step_round_trip(context, least, most):
    (connection,) = context.server.server.connections
    found = connection._observe_delivery().round_trip_s
    assert least <= found <= most, found


@given("a kernel that tells of no reset")
def step_no_reset(context):
    observe = _clientconnection.Connection._observe_delivery
    _clientconnection.Connection._observe_delivery = lambda connection: DELIVERED
    context.add_cleanup(setattr, _clientconnection.Connection, "_observe_delivery", observe)


@when("{seconds:g} s later it resets its connection")
def step_reset_connection(context, seconds):
    eventlet.sleep(seconds)
    # Without a wait for what is left, the close resets the connection.
    linger = struct.pack("ii", 1, 0)
    context.client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    context.client.close()


@then("the connection ends within the next answer")
def step_ends_within(context):
    rest = context.client.recv(client_builders.READ_BYTES)
    assert answers.ANSWER_START.startswith(rest), rest
    assert not rest or context.client.recv(client_builders.READ_BYTES) == b""


@then("{count:d} bytes of the answer have arrived after {seconds:g} s")
def step_begun(context, count, seconds):
    eventlet.sleep(seconds)
    received = context.client.recv(client_builders.READ_BYTES, socket.MSG_PEEK)
    assert received == answers.ANSWER_START[:count], received


@then("all that the client reads is an answer of {size:d} bytes")
def step_only_answer(context, size):
    received = b""
    while data := context.client.recv(client_builders.READ_BYTES):
        received += data
    head, _, body = received.partition(b"\r\n\r\n")
    assert head.split(b"\r\n")[0] == b"HTTP/1.1 200 OK" and body == b"x" * size, received


@then("a client that acknowledges is probed once for each byte of the beginning of an answer")
def step_probe_count(context):
    client = halfclose.HalfClosedClient(0.0)
    decisions = [client.decide(STEP_S * count, DELIVERED) for count in range(30_000)]
    assert decisions.count(halfclose.Decision.PROBE) == len(answers.ANSWER_START)


@then("the server counts a half-closed connection as {outcome}")
def step_counted(context, outcome):
    counters = context.server.counters
    host_world.wait_until(1.0, lambda: counters.get("connections_half_closed", outcome) == 1)


# Clients in simulated time: each step gets the time since the last probe, or None, and returns what
# is known of the delivery.
DELIVERED = halfclose.Delivery()
ON_ITS_WAY = halfclose.Delivery(is_in_flight=True, is_complete=False)


@given("a half-closed client")
def step_client(context):
    context.half_closed = halfclose.HalfClosedClient(0.0)


@when("it acknowledges at once")
def step_acknowledge(context):
    context.respond = lambda now, probed_s: DELIVERED


@when("it resets {seconds:g} s after it is probed")
def step_reset(context, seconds):
    def respond(now, probed_s):
        return halfclose.Delivery(is_reset=probed_s is not None and probed_s >= seconds)

    context.respond = respond


@when("it acknowledges nothing")
def step_silent(context):
    context.respond = lambda now, probed_s: DELIVERED if probed_s is None else ON_ITS_WAY


@when("it acknowledges {seconds:g} s after it is probed")
def step_acknowledge_late(context, seconds):
    def respond(now, probed_s):
        return ON_ITS_WAY if probed_s is not None and probed_s < seconds else DELIVERED

    context.respond = respond


@when("it acknowledges {seconds:g} s after it is probed, as always")
def step_acknowledge_as_always(context, seconds):
    step_acknowledge_late(context, seconds)
    _add_round_trip(context, seconds)


@when("it acknowledges nothing, and took {seconds:g} s before")
def step_silent_after_slow(context, seconds):
    step_silent(context)
    _add_round_trip(context, seconds)


def _add_round_trip(context, seconds):
    respond = context.respond
    context.respond = lambda *times: dataclasses.replace(respond(*times), round_trip_s=seconds)


@when("it receives {part:d} bytes each {pause:g} s of {size:d} bytes")
def step_receive(context, part, pause, size):
    def respond(now, probed_s):
        received = min(size, part * int(now / pause))
        is_due = received < size
        return halfclose.Delivery(False, received, is_in_flight=is_due, is_complete=not is_due)

    context.respond = respond


@when("it is always sent more before it acknowledges, {part:d} bytes each {pause:g} s")
def step_receive_for_ever(context, part, pause):
    def respond(now, probed_s):
        return halfclose.Delivery(False, part * int(now / pause), True, False)

    context.respond = respond


@when("it receives nothing of {size:d} bytes")
def step_receive_nothing(context, size):
    context.respond = lambda now, probed_s: ON_ITS_WAY


@when("it has no room for {size:d} bytes")
def step_no_room(context, size):
    context.respond = lambda now, probed_s: halfclose.Delivery(is_complete=False)


@when("a host that is {seconds:g} s late looks as an answer has just been sent")
def step_late_look(context, seconds):
    context.half_closed.decide(0.0, DELIVERED)
    context.decision = context.half_closed.decide(seconds, ON_ITS_WAY)


@then("it goes on waiting")
def step_goes_on(context):
    assert context.decision is halfclose.Decision.WAIT, context.decision


@then("it is probed at {probes} s and is {fate} at {at:g} s")
@then("it is probed at {probes} s and is {fate} for {at:g} s")
def step_fate(context, probes, fate, at):
    probed_at, decision, now = _simulate(context.half_closed, context.respond)
    expected = [] if probes == "no" else [float(text) for text in probes.split(", ")]
    assert len(probed_at) == len(expected), probed_at
    for actual, item in zip(probed_at, expected, strict=True):
        assert abs(actual - item) < STEP_S + TOLERANCE_S, probed_at
    decisions = {
        "kept": halfclose.Decision.WAIT,
        "left": halfclose.Decision.LEAVE,
        "dropped": halfclose.Decision.DROP,
    }
    assert decision is decisions[fate], (decision, now)
    assert abs(now - at) < 2 * STEP_S + TOLERANCE_S, (decision, now)


def _simulate(client, respond):
    """Returns the times of the probes, the last decision and its time."""
    probed_at = []
    now = 0.0
    while now < END_S:
        probed_s = now - probed_at[-1] if probed_at else None
        decision = client.decide(now, respond(now, probed_s))
        if decision is halfclose.Decision.PROBE:
            probed_at.append(now)
        elif decision is not halfclose.Decision.WAIT:
            return probed_at, decision, now
        now += STEP_S
    return probed_at, halfclose.Decision.WAIT, now
