"""Steps of host_endings.feature."""

import errno
import os
import resource
import struct
import time
from unittest import mock

import eventlet
from behave import given, then, when
from eventlet import patcher
from eventlet.green import select, socket

from features import client_builders, host_builders, host_world
from skylarksill.host import (
    _answersending,
    _clientconnection,
    _fairreads,
    answers,
    clientserver,
    records,
)
from standins import platformdata

_, wire, _ = host_builders.import_platform()
# Segments of a network; those of loopback are so large that the kernel buffers whole answers.
SEGMENT_BYTES = 1400
# Resets the connection when it is closed.
RESETTING = struct.pack("ii", 1, 0)
# State of a connection, as the first byte of the kernel's TCP_INFO tells it.
ESTABLISHED = b"\x01"


@given("a client server that answers with as many bytes as its target says, after {seconds:g} s")
def step_server(context, seconds):
    context.server = client_builders.Server(seconds)
    context.add_cleanup(context.server.server.stop_listening)


@when("a client sends a request and {what} its connection before the answer")
def step_leave(context, what):
    client = client_builders.connect(context)
    client.sendall(client_builders.format_request(10))
    eventlet.sleep(0.1)
    if what == "resets":
        client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESETTING)
    client.close()


@then("the server logs that a connection ended by {cause} with {count:d} unanswered requests")
@then("the server logs that a connection ended by {cause} with {count:d} unanswered request")
def step_logged(context, cause, count):
    host_world.wait_until(2.0, lambda: context.server.list_lines("client.closed"))
    (line,) = context.server.list_lines("client.closed")
    assert (line["cause"], line["unanswered"]) == (cause, count), line
    assert context.server.counters.get("requests_unanswered", cause) == count
    assert context.server.counters.get("connections_ended", cause) == 1


@then("the line says that the {side} ended it, with {amount} time after the end of its stream")
def step_logged_side(context, side, amount):
    (line,) = context.server.list_lines("client.closed")
    assert line["ended_by"] == side, line
    assert (line["half_closed_ms"] is None) == (amount == "no"), line


@then("the line names the request")
def step_logged_request(context):
    (line,) = context.server.list_lines("client.closed")
    assert line["requests"] == ["bytes-10"], line


@given("clients may be idle for {seconds:g} s")
def step_idle_timeout(context, seconds):
    context.server.limits = records.ClientLimits(idle_timeout_s=seconds)


@when("a slow client sends a request for {size:d} bytes")
def step_slow_client(context, size):
    context.size = size
    context.client = client_builders.connect(context, buffer_bytes=4096)
    context.client.sendall(client_builders.format_request(size))
    eventlet.sleep(0.1)


@when("a client sends a request for {size:d} bytes and reads the answer")
def step_first_request(context, size):
    context.client = client_builders.connect(context)
    context.client.sendall(client_builders.format_request(size))
    _read_answer(context, size)


@when("a client sends a request with a body in chunks of one byte and reads the answer")
def step_small_chunks(context):
    context.client = client_builders.connect(context)
    head = b"POST /bytes/10 HTTP/1.1\r\nHost: shop.example\r\nTransfer-Encoding: chunked\r\n\r\n"
    context.client.sendall(head + b"1\r\nx\r\n" * 50_000 + b"0\r\n\r\n")
    _read_answer(context, 10)


@when("it sends another one and the server closes idle connections before it has read it")
def step_send_and_close(context):
    eventlet.sleep(_clientconnection.MIN_IDLE_S)
    # Neither call lets the server's green threads run.
    context.client.sendall(client_builders.format_request(10))
    context.server.server.close_idle()


@when("it sends another one and the server closes idle connections {seconds:g} s later")
def step_send_and_close_later(context, seconds):
    eventlet.sleep(_clientconnection.MIN_IDLE_S)
    context.client.sendall(client_builders.format_request(10))
    eventlet.sleep(seconds)
    context.server.server.close_idle()


@when("the turn to parse is taken for {seconds:g} s")
def step_take_turn(context, seconds):
    _fairreads._turn.acquire()
    eventlet.spawn_after(seconds, _fairreads._turn.release)


@when("{seconds:g} s later it sends another one")
def step_send_later(context, seconds):
    eventlet.sleep(seconds)
    context.client.sendall(client_builders.format_request(10))


@when("the server begins to stop")
def step_begin_stop(context):
    context.server.server.begin_shutdown()


@when("the server begins to stop and closes idle connections each {seconds:g} s")
def step_stop(context, seconds):
    context.server.server.begin_shutdown()

    def close_idle():
        while True:
            context.server.server.close_idle()
            eventlet.sleep(seconds)

    context.add_cleanup(eventlet.spawn(close_idle).kill)


@when("the client sends another request {seconds:g} s after the answer has begun")
def step_send_on(context, seconds):
    context.client.recv(1, socket.MSG_PEEK)
    eventlet.sleep(seconds)
    context.client.sendall(client_builders.format_request(10))
    eventlet.sleep(0.1)


@when("the process ends when another request has arrived, {seconds:g} s after the answer has begun")
def step_end(context, seconds):
    context.client.recv(1, socket.MSG_PEEK)
    eventlet.sleep(seconds)
    # Neither call lets the server's green threads run.
    context.client.sendall(client_builders.format_request(10))
    context.server.server.end()


@when(
    "{count:d} slow clients send a request that takes {seconds:g} s"
    " and behind it one for {size:d} bytes"
)
def step_slow_clients(context, count, seconds, size):
    for _ in range(count):
        client_builders.connect(context, 4096).sendall(
            client_builders.format_request(10, seconds) + client_builders.format_request(size, 0)
        )


@when("another client sends a request that takes {seconds:g} s")
def step_other_client(context, seconds):
    context.client = client_builders.connect(context)
    context.client.sendall(client_builders.format_request(10, seconds))
    eventlet.sleep(0.2)


@when("a client sends all but the last byte of a request")
def step_part(context):
    context.client = client_builders.connect(context)
    context.client.sendall(client_builders.format_request(10)[:-1])
    eventlet.sleep(0.1)


@when("the client sends the last byte")
def step_last_byte(context):
    eventlet.sleep(0.1)
    context.client.sendall(client_builders.format_request(10)[-1:])


@when("a client sends a request that takes {first:g} s and behind it one that takes {second:g} s")
def step_pipelined(context, first, second):
    context.client = client_builders.connect(context)
    context.client.sendall(
        client_builders.format_request(10, first) + client_builders.format_request(10, second)
    )
    eventlet.sleep(0.1)


@then("the client reads {count:d} answers, of which only the last one says that it is the last")
@then("the client reads {count:d} answer, which says that it is the last one, and the end")
def step_only_last(context, count):
    reader = platformdata.AnswerReader(context.client)
    closes = [reader.read()[1].get("connection") for _ in range(count)]
    assert closes == [None] * (count - 1) + ["close"], closes
    assert reader.is_at_end()


@when("a client connects and sends a request, and the server stops listening before it accepts")
def step_stop_listening(context):
    # Neither call lets the server's green threads run.
    plain = patcher.original("socket").create_connection(context.server.server.address)
    plain.sendall(client_builders.format_request(10))
    context.server.server.begin_shutdown()
    context.server.server.stop_listening()
    context.client = socket.socket(plain)


def _use_up_descriptors(context):
    """Lowers the process's limit of descriptors to those that it has; cleanup restores it."""
    limits = resource.getrlimit(resource.RLIMIT_NOFILE)
    lowest_free = os.dup(0)
    os.close(lowest_free)
    resource.setrlimit(resource.RLIMIT_NOFILE, (lowest_free, limits[1]))
    context.restore_descriptors = lambda: resource.setrlimit(resource.RLIMIT_NOFILE, limits)
    context.add_cleanup(context.restore_descriptors)


def _connect_and_send(context, count):
    """Connects clients, which send requests, without letting green threads run."""
    context.plain_clients = []
    for _ in range(count):
        plain = patcher.original("socket").create_connection(context.server.server.address)
        context.add_cleanup(plain.close)
        plain.sendall(client_builders.format_request(10))
        context.plain_clients.append(plain)


@when("{count:d} clients connect and send requests")
def step_connect_many(context, count):
    _connect_and_send(context, count)


@when("the server accepts the first of them")
def step_accept_first(context):
    while not context.server.server.connections:
        eventlet.sleep(0)


@when("the server stops listening")
def step_stop_listening_at_once(context):
    context.address = context.server.server.address
    context.server.server.begin_shutdown()
    context.server.server.stop_listening()


@then("between {least:d} and {most:d} of them are accepted")
def step_accepted(context, least, most):
    assert least <= len(context.server.server.connections) <= most


@then("a client that connects meanwhile is not connected within {seconds:g} s")
def step_not_connected(context, seconds):
    late = patcher.original("socket").socket()
    context.add_cleanup(late.close)
    late.setblocking(False)
    assert late.connect_ex(context.address) == errno.EINPROGRESS
    eventlet.sleep(seconds)
    assert late.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1) != ESTABLISHED


@then("each of these clients reads {status:d} within {seconds:g} s")
def step_each_reads_status(context, status, seconds):
    for plain in context.plain_clients:
        client = socket.socket(plain)
        client.settimeout(seconds)
        assert platformdata.AnswerReader(client).read()[0] == status


@then("the server has had {count:d} connections and has ended listening")
def step_ended_listening(context, count):
    assert len(context.server.handled) == count, len(context.server.handled)
    try:
        socket.create_connection(context.address, 0.3).close()
    except ConnectionRefusedError:
        return
    raise AssertionError("the server listens on")


@when(
    "{count:d} clients connect and send requests,"
    " and all descriptors but {unused:d} unused ones are taken"
)
def step_take_descriptors(context, count, unused):
    _connect_and_send(context, count)
    context.server.unused = [os.dup(0) for _ in range(unused)]
    _use_up_descriptors(context)
    eventlet.sleep(2 * clientserver.ACCEPT_RETRY_S)


@then("each of these clients reads an answer within {seconds:g} s")
def step_each_answered(context, seconds):
    # A green socket takes no descriptor of its own.
    context.restore_descriptors()
    for plain in context.plain_clients:
        plain.settimeout(seconds)
        assert platformdata.AnswerReader(plain).read()[0] == 200


@when(
    "{count:d} clients connect and send requests,"
    " and the server stops listening without descriptors"
)
def step_stop_listening_without(context, count):
    # None of these calls lets the server's green threads run.
    _connect_and_send(context, count)
    _use_up_descriptors(context)
    context.server.server.begin_shutdown()
    context.server.server.stop_listening()


@when("{seconds:g} s later there are descriptors again")
def step_descriptors_again(context, seconds):
    eventlet.sleep(seconds)
    context.restore_descriptors()
    eventlet.sleep(2 * clientserver.ACCEPT_RETRY_S)


@when("the process ends while it has as many descriptors as connections")
def step_end_without(context):
    context.server.server.end()


@then("each of these clients reads {status:d} and that it is the last answer within {seconds:g} s")
def step_each_reads(context, status, seconds):
    if hasattr(context, "restore_descriptors"):
        context.restore_descriptors()
    for plain in context.plain_clients:
        client = socket.socket(plain)
        client.settimeout(seconds)
        got, headers, _ = platformdata.AnswerReader(client).read()
        assert (got, headers.get("connection")) == (status, "close"), (got, headers)


@then("the server has {count:d} connection")
def step_connections(context, count):
    assert len(context.server.server.connections) == count


@when("a client connects and sends its first request {seconds:g} s later")
def step_first_later(context, seconds):
    context.client = client_builders.connect(context)
    eventlet.sleep(seconds)
    context.client.sendall(client_builders.format_request(10))


@when("{seconds:g} s later the process is paused for {pause:g} s as another request arrives")
def step_pause(context, seconds, pause):
    first, second = socket.socketpair()
    eventlet.spawn_after(seconds, second.sendall, b"x")
    # After a green thread that was woken by bytes, the hub runs timers before it looks for bytes.
    first.recv(1)
    # Neither call lets the server's green threads run.
    context.client.sendall(client_builders.format_request(10))
    patcher.original("time").sleep(pause)


@when("a client sends a request that asks to close, and {what} behind it")
def step_behind_close(context, what):
    context.client = client_builders.connect(context)
    behind = {
        "another request": client_builders.format_request(10),
        "bytes that are no request": b"x" * 100,
    }
    closing = client_builders.format_request(10, 0.1).replace(
        b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"
    )
    context.client.sendall(closing + behind[what])


@when("after the answer the client sends {count:d} requests with bodies")
def step_bodies(context, count):
    _read_answer(context, 10)
    head = b"POST /bytes/10 HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 1000\r\n\r\n"
    context.client.sendall((head + b"x" * 1000) * count)
    context.client.close()


@then("the server holds no bytes of bodies once the connection has ended")
def step_no_bodies(context):
    host_world.wait_until(3.0, lambda: not context.server.server.connections)
    assert context.server.server.buffered_bytes == 0, context.server.server.buffered_bytes


@when("the server ends what runs with {status:d}")
def step_end_requests(context, status):
    started_at = time.monotonic()
    context.server.server.end_requests(status)
    context.taken_s = time.monotonic() - started_at


PARTS = {
    "a part of a head": client_builders.format_request(10)[:20],
    "a request without the rest of its body": (
        b"POST /bytes/10 HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 5\r\n\r\nhe"
    ),
    "a request for 10 bytes and a part of one behind it": (
        client_builders.format_request(10) + client_builders.format_request(10)[:20]
    ),
}


@when("a client has sent {what} and no more")
def step_send_part(context, what):
    context.client = client_builders.connect(context)
    context.client.sendall(PARTS[what])
    eventlet.sleep(0.1)


@then("the client gets {statuses}, the last of which says so")
def step_read_statuses(context, statuses):
    reader = platformdata.AnswerReader(context.client)
    expected = [int(status) for status in statuses.split(" and ")]
    got = [reader.read() for _ in expected]
    assert [status for status, _, _ in got] == expected, got
    closes = [headers.get("connection") for _, headers, _ in got]
    assert closes == [None] * (len(expected) - 1) + ["close"], closes
    assert reader.is_at_end()
    context.client.close()


@when("the server ends what runs with {status:d}, and then its connections")
def step_end_all(context, status):
    context.server.server.end_requests(status)
    context.server.server.end()


@then("ending what runs took less than {seconds:g} s")
def step_taken(context, seconds):
    assert context.taken_s < seconds, context.taken_s


@then("the client reads {status:d} and that it is the last answer within {seconds:g} s")
def step_read_status(context, status, seconds):
    context.client.settimeout(seconds)
    got, headers, _ = platformdata.AnswerReader(context.client).read()
    assert (got, headers.get("connection")) == (status, "close"), (got, headers)


@then("after {seconds:g} s the client reads an answer of {size:d} bytes")
def step_read_later(context, seconds, size):
    eventlet.sleep(seconds)
    _read_answer(context, size)


@then("within {seconds:g} s the server has closed its connection")
def step_closed(context, seconds):
    end = time.monotonic() + seconds
    while context.server.server.connections and time.monotonic() < end:
        eventlet.sleep(0.1)
    assert not context.server.server.connections


@then(
    "with a pause of {seconds:g} s after each {part:d} bytes the client reads an answer of"
    " {size:d} bytes"
)
def step_read_with_pauses(context, seconds, part, size):
    received = pauses = 0
    # The head of the answer comes on top.
    while received < size:
        data = context.client.recv(client_builders.READ_BYTES)
        assert data, f"the connection ended after {received} bytes"
        received += len(data)
        if received // part > pauses:
            pauses += 1
            eventlet.sleep(seconds)


@then(
    "after {seconds:g} s the client reads an answer of {size:d} bytes"
    " that says that it is the last one"
)
def step_read_last_later(context, seconds, size):
    eventlet.sleep(seconds)
    headers = _read_answer(context, size)
    assert headers.get("connection") == "close", headers


@then("the client reads an answer of {size:d} bytes")
def step_read(context, size):
    _read_answer(context, size)


@then("its connection has ended by {cause} within {seconds:g} s")
def step_ended(context, cause, seconds):
    counts = context.server.counters
    host_world.wait_until(seconds, lambda: counts.get("connections_ended", cause) == 1)
    assert not context.server.server.connections


_POST = b"POST /bytes/10 HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 5\r\n"
BYTES_BEHIND = {
    "bytes that are no request": b"no request\r\n\r\n",
    "a head that asks to go on": _POST + b"Expect: 100-continue\r\n\r\n",
    "two requests with bodies": 2 * (_POST + b"\r\nhello"),
}


@when("a client sends a request for {size:d} bytes")
def step_client(context, size):
    context.size = size
    context.client = client_builders.connect(context)
    context.client.sendall(client_builders.format_request(size))
    eventlet.sleep(0.1)


@when("the client sends {what} behind it, {seconds:g} s after the answer has begun")
def step_send_behind(context, what, seconds):
    context.client.recv(1, socket.MSG_PEEK)
    eventlet.sleep(seconds)
    context.client.sendall(BYTES_BEHIND[what])
    eventlet.sleep(0.1)
    context.client.sendall(client_builders.format_request(10))
    eventlet.sleep(0.1)


@given("a client may accept nothing of an answer for {seconds:g} s")
def step_write_timeout(context, seconds):
    patch = mock.patch.object(_answersending, "WRITE_TIMEOUT_S", seconds)
    patch.start()
    context.add_cleanup(patch.stop)


@given("it reads on for at most {seconds:g} s after the last answer")
def step_max_linger(context, seconds):
    patch = mock.patch.object(_clientconnection, "MAX_LINGER_S", seconds)
    patch.start()
    context.add_cleanup(patch.stop)


@when("the client reads {size:d} bytes each {seconds:g} s and sends on")
def step_read_slowly(context, size, seconds):
    context.received = b""
    while len(context.received) < context.size and (data := context.client.recv(size)):
        context.received += data
        eventlet.sleep(seconds)
        context.client.sendall(client_builders.format_request(10))


@then("it has read an answer of {size:d} bytes")
def step_received(context, size):
    body = context.received.partition(b"\r\n\r\n")[2]
    assert len(body) >= size, len(body)


@given("a client server whose handler waits for an upstream")
def step_upstream(context):
    step_server(context, 0.0)
    context.upstream, own_end = socket.socketpair()

    def handle(request, cancellation):
        size = int(request.target.rpartition(b"/")[2])
        body = b""
        while len(body) < size:
            body += own_end.recv(4096)
            eventlet.sleep(0)
        return answers.make_answer(200, body)

    context.server.server.handle = handle


@when(
    "the upstream answers while the process is paused for {seconds:g} s,"
    " and what runs is ended with {status:d}"
)
def step_answer_late(context, seconds, status):
    waker, woken = socket.socketpair()

    def pause():
        woken.recv(1)
        context.upstream.sendall(b"x" * context.size)
        patcher.original("time").sleep(seconds)

    thread = eventlet.spawn(pause)
    ending = eventlet.spawn_after(seconds / 2, context.server.server.end_requests, status)
    eventlet.sleep(0)
    waker.sendall(b"x")
    thread.wait()
    ending.wait()


@then("no bytes of bodies are counted once the connection has ended")
def step_uncounted(context):
    server = context.server.server
    context.client.close()
    host_world.wait_until(3.0, lambda: not server.connections)
    assert server.buffered_bytes == 0, server.buffered_bytes


def _read_answer(context, size):
    """Reads the next answer; returns its headers."""
    status, headers, body = platformdata.AnswerReader(context.client).read()
    assert (status, len(body)) == (200, size), (status, headers, len(body))
    return headers


@when("another request of it waits unread as the server refuses such requests and ends")
def step_refuse_waiting(context):
    # None of these calls lets the server's green threads run.
    context.client.sendall(client_builders.format_request(10))
    context.server.server.begin_shutdown()
    context.server.server.refuse_unread()
    context.server.server.end()


@when("the server refuses requests that wait unread")
def step_refuse(context):
    context.server.server.refuse_unread()


@then("the server has handled {count:d} requests and refused {refused:d} unread")
@then("the server has handled {count:d} request and refused {refused:d} unread")
def step_handled(context, count, refused):
    assert len(context.server.handled) == count, context.server.handled
    assert context.server.counters.get("requests_refused_unread") == refused


@when("another request of it waits unread as the server can't send a refusal")
def step_refuse_in_vain(context):
    (connection,) = context.server.server.connections
    refused = mock.Mock(wraps=connection._socket.fd)
    refused.send.side_effect = BlockingIOError()
    context.client.sendall(client_builders.format_request(10))
    with mock.patch.object(connection._socket, "fd", refused):
        context.server.server.refuse_unread()
    assert refused.send.called


@when("{seconds:g} s later another request of it waits unread as the server refuses such requests")
def step_refuse_one(context, seconds):
    eventlet.sleep(seconds)
    # Neither call lets the server's green threads run.
    context.client.sendall(client_builders.format_request(10))
    context.server.server.refuse_unread()


@given("the server has {seconds:g} s for answers that have arrived")
def step_finish_ready(context, seconds):
    patched = mock.patch.object(clientserver, "FINISH_READY_S", seconds)
    patched.start()
    context.add_cleanup(patched.stop)


@when("a client sends a request for {size:d} bytes and ends its sending side {seconds:g} s later")
def step_half_close(context, size, seconds):
    context.client = client_builders.connect(context)
    context.client.sendall(client_builders.format_request(size))
    eventlet.sleep(seconds)
    context.client.shutdown(socket.SHUT_WR)
    eventlet.sleep(0.05)


@when(
    "a client sends requests that take {first:g}, {second:g} and {third:g} s"
    " and ends its sending side"
)
def step_half_close_pipelined(context, first, second, third):
    context.client = client_builders.connect(context)
    for seconds in (first, second, third):
        context.client.sendall(client_builders.format_request(10, seconds))
    context.client.shutdown(socket.SHUT_WR)


@then("the connection ends without another answer")
def step_no_other(context):
    assert context.client.recv(1) == b""


@then("the server holds no bytes of answers")
def step_no_answers(context):
    buffers = context.server.server.answer_buffers
    host_world.wait_until(1.0, lambda: not buffers.used_bytes)


@then("the request is cancelled within {seconds:g} s")
def step_cancelled(context, seconds):
    (cancellation,) = context.server.cancellations
    host_world.wait_until(seconds, lambda: cancellation.is_cancelled)


@when(
    "a client sends a request that takes {seconds:g} s"
    " and behind it the head of an upload that asks to go on"
)
def step_upload_behind(context, seconds):
    context.client = client_builders.connect(context)
    head = BYTES_BEHIND["a head that asks to go on"]
    context.client.sendall(client_builders.format_request(10, seconds) + head)


@then("the client reads an answer of {size:d} bytes and behind it that it is to go on")
def step_go_on(context, size):
    expected = b"x" * size + b"HTTP/1.1 100 Continue\r\n\r\n"
    received = b""
    while len(received.partition(b"\r\n\r\n")[2]) < len(expected):
        data = context.client.recv(client_builders.READ_BYTES)
        assert data, received
        received += data
    head, _, rest = received.partition(b"\r\n\r\n")
    assert (head.split()[1], rest) == (b"200", expected), received


@when("the client sends the body")
def step_send_body(context):
    context.client.sendall(b"hello")


@when("a client sends a part of an upload each {seconds:g} s")
def step_upload_parts(context, seconds):
    context.client = client_builders.connect(context)
    context.client.sendall(_POST.replace(b"Length: 5", b"Length: 9000") + b"\r\n")

    def send_parts():
        # A client that has read an answer sends nothing more.
        while not select.select([context.client], [], [], seconds)[0]:
            context.client.sendall(b"x")

    context.add_cleanup(eventlet.spawn(send_parts).kill)
    eventlet.sleep(0.1)


@when("the process ends")
def step_process_ends(context):
    context.server.server.end()


@when("it sends bytes that are no request and resets its connection")
def step_malformed(context):
    context.client.sendall(b"none\r\n\r\n")
    host_world.wait_until(1.0, lambda: context.server.list_lines("client.refused"))
    context.client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    context.client.close()


@then("the line says that they are younger than {seconds:g} s")
def step_logged_ages(context, seconds):
    (line,) = context.server.list_lines("client.closed")
    assert all(0 <= age_ms < 1000 * seconds for age_ms in line["ages_ms"]), line


@when("the host has no memory to read what follows")
def step_no_memory(context):
    host_world.wait_until(1.0, lambda: context.server.handled)
    error = OSError(errno.ENOBUFS, os.strerror(errno.ENOBUFS))
    with mock.patch.object(_fairreads.FairReader, "receive", side_effect=error):
        context.client.sendall(b"G")
        host_world.wait_until(1.0, lambda: not context.server.server.connections)


@when("a client with a slow network sends a request for {size:d} bytes")
def step_slow_network(context, size):
    context.client = client_builders.connect(context, 4096, SEGMENT_BYTES)
    context.client.sendall(client_builders.format_request(size))
    eventlet.sleep(0.1)


@when("the process ends {seconds:g} s later")
def step_process_ends_later(context, seconds):
    eventlet.sleep(seconds)
    context.server.server.end()


@when(
    "the process is paused for {seconds:g} s as another request arrives,"
    " and idle connections are closed"
)
def step_pause_and_close(context, seconds):
    # The connection has sent its last answer.
    eventlet.sleep(0.05)
    # None of these calls lets the server's green threads run.
    context.client.sendall(client_builders.format_request(10))
    patcher.original("time").sleep(seconds)
    context.server.server.close_idle()


@then("{seconds:g} s later the connection is still open")
def step_still_open(context, seconds):
    eventlet.sleep(seconds)
    assert context.server.server.connections
