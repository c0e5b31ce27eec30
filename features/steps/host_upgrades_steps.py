"""Steps of host_upgrades.feature."""

import collections

import eventlet
from behave import given, then, when
from eventlet.green import socket

from features import host_world
from standins import platformdata

OFFERS = {
    "no": (),
    "h2c": (
        "Connection: Upgrade, HTTP2-Settings",
        "Upgrade: h2c",
        "HTTP2-Settings: AAMAAABkAAQAAP__",
    ),
    "websocket": (
        "Connection: keep-alive, Upgrade",
        "Upgrade: websocket",
        "Sec-WebSocket-Version: 13",
        "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==",
    ),
    "several": ("Upgrade: h2c, TLS/1.0", "Connection: upgrade", "Upgrade: other"),
}
# Fields of an offer that concern one connection only.
CONNECTION_FIELDS = ("upgrade:", "http2-settings:", "connection:")
# A further answer would arrive within this time.
QUIET_S = 0.3


@given("a host with two upstreams, and a client")
def step_host(context):
    context.world = host_world.HostWorld(("a", "b"))
    context.add_cleanup(context.world.stop)
    context.client = context.world.connect()
    context.add_cleanup(context.client.close)
    context.reader = platformdata.AnswerReader(context.client)
    context.expected = []


@given("the upstreams offer another protocol in their answers")
def step_offering_upstreams(context):
    for item in context.world.workers.values():
        item.extra_headers = ["Connection: Upgrade", "Upgrade: h2c"]


def _format_order(context, offer, framing):
    """Returns an order with a body that names it, and notes that its answer is due."""
    request_id = f"r{len(context.expected)}"
    body = f"order {request_id}".encode() * 9
    context.expected.append((request_id, body))
    fields = list(OFFERS[offer])
    if framing == "chunks":
        parts = (body[:10], body[10:])
        body = b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts) + b"0\r\n\r\n"
        fields.append("Transfer-Encoding: chunked")
    else:
        fields.append(f"Content-Length: {len(body)}")
    if framing == "an expected continue":
        fields.append("Expect: 100-continue")
    head = platformdata.format_request(f"POST /order/{request_id}", request_id, headers=fields)
    return head, body


@when("the client sends an order with {offer} and {framing}, in pieces of {size:d} bytes")
def step_send(context, offer, framing, size):
    offer = offer.removesuffix(" offer")
    head, body = _format_order(context, offer, framing)
    if framing == "an expected continue":
        context.client.sendall(head)
        data = b""
        while b"\r\n\r\n" not in data:
            data += context.client.recv(1)
        assert data.startswith(b"HTTP/1.1 100 "), data
        head = b""
    data = head + body
    for start in range(0, len(data), size):
        context.client.sendall(data[start : start + size])
        eventlet.sleep(0)


@when("a second order and a request without a body on the same connection")
def step_send_more(context):
    context.client.sendall(b"".join(_format_order(context, "no", "a length")))
    request_id = f"r{len(context.expected)}"
    context.expected.append((request_id, b""))
    fields = OFFERS["h2c"]
    context.client.sendall(
        platformdata.format_request("GET /read/1", request_id, headers=list(fields))
    )


@when("the client sends {count:d} orders with offers at once")
def step_pipeline(context, count):
    orders = [b"".join(_format_order(context, "h2c", "a length")) for _ in range(count)]
    context.client.sendall(b"".join(orders))


@then("each has one answer of an upstream, in order, and no further one")
def step_answers(context):
    for request_id, _ in context.expected:
        status, headers, body = context.reader.read()
        assert status == 200, (request_id, status, body)
        assert request_id.encode() in body, (request_id, body)
        assert "upgrade" not in headers, headers
    _check_quiet(context)


def _check_quiet(context):
    context.client.settimeout(QUIET_S)
    try:
        data = context.client.recv(1)
    except TimeoutError:
        return
    raise AssertionError(f"further bytes or an end: {data!r}")


@then("the upstreams got the bodies, and no field of the offer")
def step_bodies(context):
    workers = context.world.workers.values()
    got = collections.Counter(body for item in workers for body in item.bodies)
    assert got == collections.Counter(body for _, body in context.expected), got
    for head in (head for item in workers for head in item.heads):
        lines = [line for line in head.lower().split("\r\n") if line.startswith(CONNECTION_FIELDS)]
        assert not lines, lines


@when("the client asks for a tunnel")
def step_tunnel(context):
    context.client.sendall(b"CONNECT shop.example:80 HTTP/1.1\r\nHost: shop.example\r\n\r\nbytes")


@when("the client sends an order with an offer and a body above the limit")
def step_too_long(context):
    fields = [*OFFERS["h2c"], "Content-Length: 10000000"]
    context.client.sendall(platformdata.format_request("POST /order/1", "r0", headers=fields))


@then("the client gets one answer with {status:d}, and no upstream gets anything")
def step_refused(context, status):
    answer = context.reader.read()
    assert answer[0] == status, answer
    context.client.settimeout(2.0)
    try:
        rest = context.client.recv(100)
    except OSError:
        # Reset with the bytes that the host has not read.
        rest = b""
    assert rest == b"", rest
    assert not any(item.heads for item in context.world.workers.values())


@then("the host holds no byte of them")
def step_nothing_held(context):
    server = context.world.server
    host_world.wait_until(1.0, lambda: server.buffered_bytes == 0)
    context.client.shutdown(socket.SHUT_WR)
    host_world.wait_until(1.0, lambda: not server.connections)
