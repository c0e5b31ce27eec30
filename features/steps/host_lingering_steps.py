"""Steps of host_endings.feature on clients that receive their last answer slowly."""

import eventlet
from behave import then, when

from bench.soak import channels
from features import client_builders

PART_BYTES = 2_000
PART_PAUSE_S = 0.1


@when("the client reads {count:d} bytes slowly, pauses for {seconds:g} s and sends another request")
def step_read_and_pause(context, count, seconds):
    context.receiver = channels.Receiver(context.client, False)
    context.received = b""
    while len(context.received) < count:
        context.received += context.receiver.recv(PART_BYTES)
        eventlet.sleep(PART_PAUSE_S)
    eventlet.sleep(seconds)
    context.client.sendall(client_builders.format_request(10))
    # A reset would arrive within a round trip.
    eventlet.sleep(PART_PAUSE_S)


@then("it reads the rest of an answer of {size:d} bytes that says that it is the last one")
def step_read_rest(context, size):
    while len(context.received.partition(b"\r\n\r\n")[2]) < size:
        data = context.receiver.recv(client_builders.READ_BYTES)
        assert data, len(context.received)
        context.received += data
    head, _, body = context.received.partition(b"\r\n\r\n")
    assert b"connection: close" in head and body == size * b"x", (head, len(body))


@when("a client has received an answer of {size:d} bytes and has not read it")
def step_receive_unread(context, size):
    context.client = client_builders.connect(context)
    context.client.sendall(client_builders.format_request(size))
    context.receiver = channels.Receiver(context.client, False)
    context.received = b""
    eventlet.sleep(PART_PAUSE_S)


@when("the client sends another request {seconds:g} s later")
def step_send_on(context, seconds):
    eventlet.sleep(seconds)
    context.client.sendall(client_builders.format_request(10))
    eventlet.sleep(PART_PAUSE_S)


@then("it reads an answer of {size:d} bytes and the end")
def step_read_to_end(context, size):
    while data := context.receiver.recv(client_builders.READ_BYTES):
        context.received += data
    body = context.received.partition(b"\r\n\r\n")[2]
    assert body == size * b"x", len(body)
