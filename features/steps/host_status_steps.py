"""Steps of host_status.feature."""

import time

import eventlet
from behave import given, then, when

from features import host_builders, host_world, wire_builders
from skylarksill import limits
from skylarksill import records as shared
from skylarksill.host import _upstreamhttp, eventlog
from standins import platformdata, rawpeer

# Pause between portions, and the time for which an upstream keeps its connection open after them:
# longer than the requests have.
PAUSE_S = 0.1
OPEN_S = 1.4
HIDDEN = b"hidden"
STORE_BODY = b'{"items": [], "hasMore": false, "storeRevision": 1}'


def _format_invalid(status):
    head = b"HTTP/1.1 %b Odd\r\n" % status.encode()
    fields = wire_builders.ID + b"r1\r\n" + wire_builders.SEAL
    return head + fields + b"Content-Length: %d\r\n\r\n" % len(HIDDEN) + HIDDEN


def _format_portions(status, rest):
    """Returns the portions of bytes that an upstream sends."""
    match rest:
        case "a body":
            return [_format_invalid(status)]
        case "a body and a valid answer":
            return [_format_invalid(status), wire_builders.format_answer("a length", HIDDEN)]
        case "a head that does not end":
            return [b"HTTP/1.1 %b Odd\r\nX: x\r\n" % status.encode()]
        case "the own answer at once":
            interim = b"HTTP/1.1 %b Odd\r\n\r\n" % status.encode()
            return [interim + wire_builders.format_answer("a length")]
        case "an earlier answer before it":
            earlier = wire_builders.format_answer("a length", request_id=b"r0")
            return [earlier + _format_invalid(status)]
    raise ValueError(rest)


def _send_slowly(portions):
    for portion in portions:
        yield portion
        time.sleep(PAUSE_S)
    time.sleep(OPEN_S)


@given("an upstream whose answer has the status {status} and {rest}")
def step_upstream(context, status, rest):
    peer = rawpeer.RawPeer(_send_slowly(_format_portions(status, rest)))
    context.add_cleanup(peer.join)
    context.buffers = limits.BufferLimit(64 * 1024 * 1024)
    context.connection = wire_builders.build_connection(peer.own_end, context.buffers)


@then("its outcome is a malformed answer within {seconds:g} s")
def step_malformed(context, seconds):
    assert context.outcome == _upstreamhttp.MayHaveRun("malformed_answer"), context.outcome
    assert context.taken_s <= seconds, context.taken_s
    assert not context.connection.is_reusable
    assert context.buffers.used_bytes == 0


class _OddUpstream:
    """Answers each request with prepared bytes and keeps its connections open.

    Attributes:
      requests: Number of requests other than health checks that have arrived.
      closed: Number of connections with such a request that the host has closed.
    """

    def __init__(self, portions):
        self.requests = 0
        self.closed = 0
        self.runs = []
        self._portions = portions
        self._listener = eventlet.listen(("127.0.0.1", 0))
        self.address = self._listener.getsockname()
        self._thread = eventlet.spawn(eventlet.serve, self._listener, self._answer)

    def stop(self):
        self._thread.kill()
        self._listener.close()

    def _answer(self, client, _):
        has_request = False
        try:
            while data := client.recv(65_536):
                if b"/health" not in data.partition(b"\r\n")[0]:
                    has_request = True
                    self.requests += 1
                for portion in self._portions:
                    client.sendall(portion)
                    eventlet.sleep(0.02)
        except OSError:
            # The host has reset the connection.
            pass
        self.closed += has_request


@given(
    "a host whose {count:d} upstreams answer with the status {status}, a body and a valid answer"
)
def step_host(context, count, status):
    portions = _format_portions(status, "a body and a valid answer")
    workers = {f"u{number}": _OddUpstream(portions) for number in range(count)}
    context.world = host_world.HostWorld([], workers)
    context.add_cleanup(context.world.stop)


@when("a client sends a {kind} request to the host")
def step_send(context, kind):
    line = {"non-idempotent": "POST /order/1", "idempotent": "GET /read/1"}[kind]
    client = context.world.connect()
    context.add_cleanup(client.close)
    client.sendall(platformdata.format_request(line, "r1"))
    started_at = time.monotonic()
    context.answer = platformdata.AnswerReader(client).read()
    context.taken_s = time.monotonic() - started_at


@then("the client gets {status:d} and nothing of the upstreams' answers within {seconds:g} s")
def step_gets(context, status, seconds):
    assert context.answer[0] == status and HIDDEN not in context.answer[2], context.answer
    assert context.taken_s <= seconds, context.taken_s


@then("the upstreams have received the request {count:d} times")
def step_received(context, count):
    requests = sum(item.requests for item in context.world.workers.values())
    assert requests == count, requests


@then("each connection on which it was sent has been closed")
def step_closed(context):
    workers = context.world.workers.values()
    host_world.wait_until(1.0, lambda: all(item.closed == item.requests for item in workers))


@then("the upstreams that received it have failures")
def step_failures(context):
    now = time.monotonic()
    for name, item in context.world.workers.items():
        share = context.world.fleet.find(name).estimate_failure_share(now)
        assert (share > 0.0) == (item.requests > 0), (name, share, item.requests)


def _format_store_answer():
    return wire_builders.OK + b"Content-Length: %d\r\n\r\n" % len(STORE_BODY) + STORE_BODY


@given("a store that answers with the status {status}, a body and a valid answer")
def step_store(context, status):
    _serve_store(context, [_format_invalid(status), _format_store_answer()])


@given("a store that sends the status {status} before its answer")
def step_interim_store(context, status):
    interim = b"HTTP/1.1 %b Odd\r\nX: x\r\n\r\n" % status.encode()
    _serve_store(context, [interim + _format_store_answer()])


def _serve_store(context, portions):
    peer = _OddUpstream(portions)
    context.add_cleanup(peer.stop)
    _, _, store = host_builders.import_platform()
    log = eventlog.EventLog("test", len)
    context.client = store.PlatformStore(peer.address, {"north-a": "north"}, log)


@then("its outcome at the store is unknown")
def step_store_unknown(context):
    assert context.error.verdict is shared.Verdict.MAY_HAVE_RUN, context.error
