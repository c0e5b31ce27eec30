"""Steps of messages.feature."""

import dataclasses
import random

from behave import then, when

from features import builders
from skylarksill import frames, messages, records

SEED = 20261204


def build_message(name):
    """Builds an example of a message type, in which optional fields are set."""
    peer = messages.PeerEntry(
        "host-0",
        "north-a",
        "i1",
        7,
        3,
        records.LifecycleState.LEAVING,
        (messages.ProgramEntry("dispatch", "d1", records.LifecycleState.SERVING),),
    )
    examples = {
        "DispatchCall": messages.DispatchCall(builders.build_request(body=b"\x00\xff")),
        "DispatchResult": messages.DispatchResult(
            records.Verdict.RAN, records.Answer(200, (("A", "b"),), b"body"), None, "u1"
        ),
        "ViewResult": messages.ViewResult(
            4,
            records.ConfigurationHead(3, "w1", (("core", "digest"),)),
            (("digest", "text"),),
            (messages.PeerView(peer, True, 12),),
            (messages.LoadEntry("host-0", "catalogue", 5, 2, 0, 3, 10),),
            (messages.SuspectEntry("f1", 1, 600_000),),
            ("u1",),
            -1,
        ),
        "PeerEntry": peer,
    }
    return examples[name]


@when("a {name} is encoded, sent as msgpack and decoded")
def step_convert(context, name):
    context.message = build_message(name)
    payload = frames.pack_payload(messages.encode_message(context.message))
    value = frames.unpack_payload(payload)
    context.decoded = messages.decode_message(type(context.message), value)


@then("the decoded message equals the original")
def step_equal(context):
    assert context.decoded == context.message


@when("fields of a DispatchCall are replaced by random values")
def step_replace_fields(context):
    rng = random.Random(SEED)
    context.outcomes = []
    for _ in range(500):
        value = messages.encode_message(build_message("DispatchCall"))
        position = rng.randrange(len(value[0]))
        value[0][position] = rng.choice([None, 1, "x", b"x", [], {}, 1.5, True, [["x"]]])
        try:
            context.outcomes.append(messages.decode_message(messages.DispatchCall, value))
        except frames.FrameError:
            context.outcomes.append(None)


@then("each damaged message is rejected with FrameError or decodes to valid types")
def step_valid_types(context):
    decoded = [outcome.request for outcome in context.outcomes if outcome is not None]
    assert len(decoded) < len(context.outcomes)
    for request in decoded:
        assert isinstance(request.body, bytes)
        assert type(request.deadline_ms) is int and type(request.hops) is int
        assert all(len(header) == 2 for header in request.headers)
        assert [f.name for f in dataclasses.fields(request)][0] == "request_id"
        assert isinstance(request.request_id, str) and isinstance(request.path, str)
