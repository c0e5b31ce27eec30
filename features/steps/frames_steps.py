"""Steps of frames.feature."""

import json
import struct

from behave import given, then, when

from features import builders
from skylarksill import frames

CLIENT_NONCE = b"c" * frames.NONCE_BYTES
SERVER_NONCE = b"s" * frames.NONCE_BYTES


def derive_key(direction):
    return frames.derive_key(builders.SHARED_KEY, CLIENT_NONCE, SERVER_NONCE, direction)


def make_reader(data):
    position = 0

    def read_exactly(count):
        nonlocal position
        if position + count > len(data):
            raise frames.StreamEndError("end of test data")
        position += count
        return data[position - count : position]

    return frames.FrameReader(derive_key(b"client"), read_exactly)


@given("a frame writer and reader with the same key")
def step_same_key(context):
    context.writer = frames.FrameWriter(derive_key(b"client"))


@given("a frame writer with the key of the other direction")
def step_other_direction(context):
    context.writer = frames.FrameWriter(derive_key(b"server"))


@when("the value {text} is sent")
def step_send(context, text):
    context.value = json.loads(text)
    context.reader = make_reader(context.writer.encode(context.value))


@when("two frames are sent and the stream is {damage}")
def step_damage(context, damage):
    first = context.writer.encode({"id": 1})
    second = context.writer.encode({"id": 2})
    damaged = {
        "forged": first[:-1] + b"x" + second,
        "reordered": second + first,
        "replayed": first + first,
        "truncated": first + second[:-1],
        "oversized": struct.pack(">I", frames.MAX_FRAME_BYTES + 1) + first[4:],
    }
    context.reader = make_reader(damaged[damage])


@then("the reader returns the same value")
def step_same_value(context):
    assert context.reader.read() == context.value


@then("the reader raises {error_name}")
def step_raises(context, error_name):
    expected = getattr(frames, error_name)
    try:
        context.reader.read()
        context.reader.read()
    except expected:
        return
    raise AssertionError(f"no {error_name} was raised")
