"""Steps of host_platform.feature about odd entries that another writer adds to the store."""

import json

import eventlet
from behave import then, when
from eventlet.green import socket

from features import host_world
from standins import platformdata

NESTING_DEPTH = 20_000
# Text of the entry that the stand-in of the store replaces with bytes that json.dumps can't write.
RAW_MARK = "raw value"
NESTED = b"[" * NESTING_DEPTH + b"]" * NESTING_DEPTH
# Fields of the entry, and the raw value of the one that holds RAW_MARK.
ODD_ENTRIES = {
    "a deeply nested field": ({"extra": RAW_MARK}, NESTED),
    "a number of 5000 digits": ({"slots": RAW_MARK}, b"9" * 5_000),
    "a start time of 30 digits": ({"born": 10**30}, b""),
    "a port out of range": ({"address": "127.0.0.1:99999"}, b""),
    "a line break in its name": ({}, b""),
    "a service that is no UTF-8": ({"service": RAW_MARK}, b'"\xff\xfe\xfd"'),
    "a raw control character": ({"service": RAW_MARK}, b'"a\x01b"'),
    "a lone surrogate as service": ({"service": "\ud800"}, b""),
}


@when("another writer adds an upstream's entry with {value}")
def step_odd_entry(context, value):
    changes, raw = ODD_ENTRIES[value]
    # Nothing listens at this address.
    spec = platformdata.build_upstream_spec(**{"address": "127.0.0.1:9", **changes})
    if raw:
        context.store.raw_values[RAW_MARK] = raw
    name = "u0\r\nX-Odd: 1" if value == "a line break in its name" else "u0-odd"
    context.store.write("servers", name, spec)
    eventlet.sleep(1.0)


@then("{count:d} requests through the host are answered with {status:d}")
def step_requests(context, count, status):
    for index in range(count):
        client = socket.create_connection(("127.0.0.1", context.ports[1]))
        client.settimeout(host_world.ANSWER_TIMEOUT_S)
        client.sendall(platformdata.format_request("GET /read/1", f"r{index}", key=str(index)))
        answer = platformdata.AnswerReader(client).read()
        assert answer[0] == status, answer
        client.close()


@when('upstream "{name}" drains')
def step_drain(context, name):
    context.store.write(
        "servers", name, platformdata.build_upstream_spec(address="127.0.0.1:1", state="draining")
    )


@then('the host logs that "{name}" drains within {seconds:g} s')
def step_logs(context, name, seconds):
    host_world.wait_until(seconds, lambda: _has_drained(context, name))


@then("the host has ended no green thread by an error")
def step_no_error(context):
    assert context.process.poll() is None
    assert "Traceback" not in context.error_path.read_text(encoding="utf-8")


def _has_drained(context, name):
    lines = context.log_path.read_text(encoding="utf-8").splitlines()
    events = [json.loads(line) for line in lines if line.endswith("}")]
    return any(
        event.get("event") == "belief.upstream"
        and event.get("subject") == name
        and event.get("value") == "draining"
        for event in events
    )
