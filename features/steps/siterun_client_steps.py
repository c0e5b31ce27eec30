"""Steps of siterun_clients.feature."""

import contextlib
import random
import struct
from unittest import mock

import eventlet
from behave import given, then, when
from eventlet.green import socket

from bench.siterun import connections, endings, endviews, links, records
from bench.siterun.conditions import Condition
from bench.soak import channels, hosts

# Outside the networks of real runs.
HOST = "127.1.9.10"
RELAY = f"127.1.9.{links.RELAY_NUMBER}"
REQUEST = b"GET /check/1 HTTP/1.1\r\n\r\n"


def _listen(context):
    listener = eventlet.listen((HOST, hosts.FIRST_PORT))
    context.add_cleanup(listener.close)
    return listener


def _connect(context, client_links):
    """Returns a client's Connection to the host, and the host's socket."""
    listener = _listen(context)
    connection = connections.Connection(HOST, 0.0, False, None, client_links)
    context.add_cleanup(connection.leave)
    host, _ = listener.accept()
    context.add_cleanup(host.close)
    return connection, host


@given("a host behind a relay that {stands_still}")
def step_relay(context, stands_still):
    share = 1.0 if stands_still == "often stands still" else 0.0
    patch = mock.patch.multiple(links, STANDSTILL_SHARE=share, STANDSTILLS_S=(0.05, 0.1))
    patch.start()
    context.add_cleanup(patch.stop)
    if stands_still == "connects slowly":
        connect = links.Relay._connect
        patch = mock.patch.object(
            links.Relay, "_connect", lambda *args: eventlet.sleep(0.1) or connect(*args)
        )
        patch.start()
        context.add_cleanup(patch.stop)
    else:
        assert stands_still in ("never stands still", "often stands still"), stands_still
    context.relay = links.Relay(random.Random(1), [(HOST, "east-a")])
    context.links = links.ClientLinks(random.Random(1), (), context.relay)


def _connect_to_relay(context):
    client = socket.create_connection(context.links.find_address(HOST))
    client.settimeout(2.0)
    context.add_cleanup(client.close)
    context.client = client
    context.receiver = channels.Receiver(client, False)


@when("a client sends 4 bytes through it and ends its sending side")
def step_send(context):
    context.listener = _listen(context)
    _connect_to_relay(context)
    context.client.sendall(b"sent")
    context.receiver.end_sending()


@when("the host reads them and {does}")
def step_answer(context, does):
    host, context.address = context.listener.accept()
    context.read = b""
    while data := host.recv(9):
        context.read += data
    if does == "resets the connection":
        host.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    else:
        host.sendall(b"bytes")
    host.close()


@then("the host has seen the relay's address and the end of the stream")
def step_seen(context):
    assert (context.address[0], context.read) == (RELAY, b"sent")


@when("the host is down and a client connects")
def step_down(context):
    _connect_to_relay(context)


@when("the host is down, which takes {seconds:g} s to tell, and a client connects")
def step_down_late(context, seconds):
    connect = context.relay._connect

    def connect_late(*arguments):
        eventlet.sleep(seconds)
        return connect(*arguments)

    context.relay._connect = connect_late
    _connect_to_relay(context)


@then("the client reads {what}, and {known} known")
def step_reads(context, what, known):
    data = b""
    try:
        while part := context.receiver.recv(9):
            data += part
    except ConnectionResetError:
        data = b"reset"
    assert data == {"the 5 bytes": b"bytes", "a reset": b"reset"}[what], data
    pauses_s = sum(end - begin for begin, end in context.links.find_pauses(context.client))
    assert (pauses_s > 0.04) == (known == "standstills are"), pauses_s


def _send(connection, request_id, half_close=endings.HalfClose.NONE):
    attempt = records.Attempt(request_id, "lookup", HOST, False, False, 2.0, 0.0)
    connection.send(attempt, [REQUEST], random.Random(1), lambda _: half_close)
    return attempt


@given("a host that a client has sent 2 requests")
def step_sent_two(context):
    client_links = links.ClientLinks(random.Random(1), ())
    context.connection, context.host = _connect(context, client_links)
    context.attempts = [_send(context.connection, name) for name in ("r1", "r2")]
    eventlet.sleep(0.02)
    assert context.host.recv(999) == 2 * REQUEST


@when("the client gives up as one that {way}")
def step_give_up(context, way):
    context.connection.leave(endings.Way[way])
    eventlet.sleep(0.02)


@then("the host reads {first}, and what it sends then is {fate} within 0.05 s")
def step_ends_first(context, first, fate):
    try:
        read = {b"": "the end"}[context.host.fd.recv(9)]
    except BlockingIOError:
        read = "nothing"
    except ConnectionResetError:
        read = "a reset"
    assert read == first, read
    with contextlib.suppress(OSError):
        context.host.fd.send(b"bytes")
    eventlet.sleep(0.05)
    assert _is_closed(context.host) == (fate == "refused")


def _is_closed(host):
    return host.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] == channels.TCP_CLOSE


@then("its connection is closed after 0.3 s, and both requests were left by their client")
def step_left(context):
    eventlet.sleep(0.3)
    assert _is_closed(context.host)
    assert [item.end for item in context.attempts] == 2 * [records.End.CLIENT_LEFT]
    assert all(item.ended_at for item in context.attempts)


@given("a host that a client has sent 1 request with its end {how}")
def step_sent_with_end(context, how):
    client_links = links.ClientLinks(random.Random(1), ())
    context.connection, context.host = _connect(context, client_links)
    context.attempt = _send(context.connection, "r1", endings.HalfClose[how])
    eventlet.sleep(0.02)


@then("the host reads the request and the end at once")
def step_read_at_once(context):
    assert [context.host.fd.recv(999), context.host.fd.recv(999)] == [REQUEST, b""]


@then("the request is known as half-closed and complete")
def step_known(context):
    attempt = context.attempt
    assert attempt.is_half_closed and attempt.completed_at, attempt
    assert not context.connection.is_open


@then(
    "{least:d} to {most:d}% of {count:d} first requests are half-closed with {often}, and none with"
    " {seldom}"
)
def step_half_closes(context, least, most, count, often, seldom):
    attempt = records.Attempt("r1", "lookup", HOST, False, False, 2.0, 0.0)
    shares = []
    for name in (often, seldom):
        drawn = endings.Endings(random.Random(1), [Condition(name)])
        none = sum(drawn.draw_half_close(attempt) is endings.HalfClose.NONE for _ in range(count))
        shares.append(100 * (count - none) / count)
    assert least <= shares[0] <= most and not shares[1], shares


@then(
    "clients give up {least:d} to {most:d}% of {count:d} requests with give-up in {ways:d} ways,"
    " and otherwise in one"
)
def step_give_ups(context, least, most, count, ways):
    giving_up = endings.Endings(random.Random(1), [Condition.GIVE_UP])
    usual = endings.Endings(random.Random(1), [])
    early = sum(giving_up.draw_patience_s(2.0) < 2.0 for _ in range(count))
    assert least <= 100 * early / count <= most, early
    assert len({giving_up.draw_way() for _ in range(count)}) == ways
    assert {usual.draw_way() for _ in range(count)} == {endings.Way.CLOSE}


@when("a client with small segments connects")
def step_small(context):
    played = [Condition.SMALL_SEGMENTS]
    _, context.host = _connect(context, links.ClientLinks(random.Random(1), played))


@then("the host's segments have {least:d} to {most:d} bytes")
def step_segments(context, least, most):
    size = context.host.getsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG)
    assert least <= size <= most, size


@when("requests have ended as")
def step_ended(context):
    context.attempts, sides = [], {}
    for number, row in enumerate(context.table):
        attempt = records.Attempt(f"r{number}", "lookup", HOST, True, False, 2.0, 0.0)
        attempt.end = records.End[row["end"]]
        context.attempts.append(attempt)
        if row["host"] != "none":
            sides[attempt.request_id] = row["host"]
    context.counts, context.differing = endviews.compare_ends(context.attempts, sides)


@then("the ends are counted as {pairs}")
def step_counted(context, pairs):
    names = pairs.replace(" and ", ", ").split(", ")
    assert context.counts == dict.fromkeys(names, 1), context.counts


@then("those of the second and the third differ")
def step_differ(context):
    assert context.differing == context.attempts[1:3], context.differing
