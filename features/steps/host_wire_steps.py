"""Steps of host_wire.feature."""

import time
import tracemalloc

import eventlet
import hypothesis
from behave import given, then, when
from hypothesis import strategies

from features import ticker, wire_builders
from skylarksill import limits
from skylarksill.host import _upstreamhttp, belief, eventlog, following, keyring
from standins import rawpeer

BUFFER_BYTES = 64 * 1024 * 1024


def _serve(context, portions, **options):
    context.peer = rawpeer.RawPeer(portions, **options)
    context.add_cleanup(context.peer.join)
    if not hasattr(context, "buffers"):
        context.buffers = limits.BufferLimit(BUFFER_BYTES)
    context.connection = wire_builders.build_connection(context.peer.own_end, context.buffers)


def _exchange(context, seconds):
    deadline = time.monotonic() + seconds
    started_at = time.monotonic()
    context.outcome = context.connection.exchange(
        wire_builders.build_request(), wire_builders.REQUEST, deadline
    )
    context.taken_s = time.monotonic() - started_at


@given("an upstream that sends {name} without end")
def step_endless(context, name):
    context.endless = wire_builders.ENDLESS[name]
    _serve(context, rawpeer.repeat_without_end(*context.endless))


@given("an upstream that sends a byte of {name} each {seconds:g} s")
def step_dribble(context, name, seconds):
    head, unit = wire_builders.ENDLESS[name]
    data = head + unit * 100
    _serve(context, (data[index : index + 1] for index in range(len(data))), pause_s=seconds)


@given("an upstream that answers with {name}")
def step_answer(context, name):
    _serve(context, [wire_builders.ANSWERS[name]], pause_s=2.0)


@when("a request with {seconds:g} s left is sent to it")
def step_exchange(context, seconds):
    context.ticker = ticker.Ticker()
    _exchange(context, seconds)
    context.ticker.stop()


@when(
    "a request with {seconds:g} s left is sent to another such upstream and its memory is measured"
)
def step_measured_exchange(context, seconds):
    _serve(context, rawpeer.repeat_without_end(*context.endless))
    tracemalloc.start()
    _exchange(context, seconds)
    context.peak_bytes = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()


@then("its outcome is unknown within {seconds:g} s")
def step_unknown(context, seconds):
    unknown = (_upstreamhttp.MayHaveRun, _upstreamhttp.TimedOut)
    assert isinstance(context.outcome, unknown), context.outcome
    assert context.taken_s <= seconds, context.taken_s
    assert not context.connection.is_reusable


@then("other green threads never waited for {seconds:g} s")
def step_ticks(context, seconds):
    assert context.ticker.longest_wait_s < seconds, context.ticker.longest_wait_s


@then("less than {count:d} MB were in use")
def step_buffered(context, count):
    assert context.peak_bytes < count * 1024 * 1024, context.peak_bytes
    assert context.buffers.used_bytes == 0


@then('it is answered with "{body}"')
def step_answered(context, body):
    assert isinstance(context.outcome, _upstreamhttp.Answered), context.outcome
    assert context.outcome.answer.body == body.encode()


@given("an upstream whose answer has {count:d} chunks of one byte")
def step_small_chunks(context, count):
    head, unit = wire_builders.ENDLESS["a chunked body"]
    _serve(context, [head + unit * count + b"0\r\n\r\n"], pause_s=2.0)


@then("it is answered with {count:d} bytes")
def step_answered_whole(context, count):
    assert isinstance(context.outcome, _upstreamhttp.Answered), context.outcome
    assert len(context.outcome.answer.body) == count


@then("the connection is not used again")
def step_not_reused(context):
    assert not context.connection.is_reusable


@given("an upstream that refused a request and repeats the refusal when the next one arrives")
def step_repeated_refusal(context):
    refusal = wire_builders.format_refusal(b"r0")

    def answer():
        yield refusal
        eventlet.patcher.original("time").sleep(0.2)
        yield refusal
        yield wire_builders.format_answer("a length")

    _serve(context, answer())
    first = wire_builders.build_request(request_id=b"r0")
    outcome = context.connection.exchange(first, wire_builders.REQUEST, time.monotonic() + 1.0)
    assert isinstance(outcome, _upstreamhttp.NotRun) and context.connection.is_reusable, outcome


@then('the next request on the connection is answered with "{body}"')
def step_next_answered(context, body):
    _exchange(context, 1.0)
    step_answered(context, body)


@given("an answer with {framing}")
def step_framed_answer(context, framing):
    context.whole = wire_builders.format_answer(framing)


def _list_outcomes(whole, lengths, end):
    for length in lengths:
        portions = [whole[:length]] if length else []
        peer = rawpeer.RawPeer(portions, ends_by_reset=end == "reset")
        buffers = limits.BufferLimit(BUFFER_BYTES)
        connection = wire_builders.build_connection(peer.own_end, buffers)
        deadline = time.monotonic() + 1.0
        request = wire_builders.build_request()
        yield length, connection.exchange(request, wire_builders.REQUEST, deadline)
        peer.join()


@then("after each of its bytes an end by {end} gives no answer but for the whole one")
def step_cut_anywhere(context, end):
    whole = context.whole
    for length, outcome in _list_outcomes(whole, range(len(whole)), end):
        assert isinstance(outcome, _upstreamhttp.MayHaveRun), (whole[:length], outcome)
    ((_, outcome),) = _list_outcomes(whole, [len(whole)], "close")
    assert isinstance(outcome, _upstreamhttp.Answered), outcome
    assert outcome.answer.body == b"whole body"


@then("after each byte of its head an end by {end} gives no answer")
def step_cut_head(context, end):
    head_length = context.whole.index(b"\r\n\r\n") + 4
    for length, outcome in _list_outcomes(context.whole, range(head_length), end):
        assert isinstance(outcome, _upstreamhttp.MayHaveRun), (context.whole[:length], outcome)


@then("after each of its bytes an end by reset gives no answer")
def step_reset_anywhere(context):
    for length, outcome in _list_outcomes(context.whole, range(len(context.whole) + 1), "reset"):
        assert isinstance(outcome, _upstreamhttp.MayHaveRun), (context.whole[:length], outcome)


@given("buffers of answers that hold {most:d} bytes of which {held:d} are held")
def step_buffers(context, most, held):
    context.buffers = limits.BufferLimit(most)
    context.buffers.hold(held)


@given("an upstream whose answer has a body of {size:d} bytes")
def step_body(context, size):
    _serve(context, [wire_builders.format_answer("a length", b"x" * size)])


@then("{size:d} bytes are held")
def step_held(context, size):
    assert context.buffers.used_bytes == size


@then("{count:d} random sequences of portions give an outcome within {seconds:g} s")
def step_fuzz(context, count, seconds):
    fragments = strategies.sampled_from(wire_builders.FRAGMENTS) | strategies.binary(max_size=40)

    @hypothesis.settings(max_examples=count, derandomize=True, deadline=None, database=None)
    @hypothesis.given(strategies.lists(fragments, max_size=12))
    def check(portions):
        context.buffers = limits.BufferLimit(10_000)
        peer = rawpeer.RawPeer(portions)
        context.connection = wire_builders.build_connection(peer.own_end, context.buffers)
        _exchange(context, seconds - 0.1)
        peer.join()
        assert context.taken_s <= seconds, context.taken_s
        assert context.buffers.used_bytes == 0
        match context.outcome:
            case _upstreamhttp.Answered(answer, _):
                ids = {
                    value for name, value in answer.headers if name == b"x-skylarksill-request-id"
                }
                assert ids == {b"r1"}, answer
            case _upstreamhttp.NotRun():
                stated = b"".join(portions)
                assert b"r1" in stated, portions
            case _:
                assert not context.connection.is_reusable

    check()


def _connect_endless_client(context, head, unit):
    context.ticker = ticker.Ticker()
    context.client = wire_builders.EndlessClient(context.world.server.address, head, unit)
    context.add_cleanup(context.client.stop)


@when("a client goes on sending line breaks after a malformed request")
def step_endless_after_answer(context):
    _connect_endless_client(context, b"GET\r\n\r\n", b"\r\n")


@when("a client sends {name} without end")
def step_endless_client(context, name):
    head = wire_builders.CLIENT_HEADS[name]
    _connect_endless_client(context, head, wire_builders.ENDLESS[name][1])


@then("its connection ends within {seconds:g} s")
def step_connection_ends(context, seconds):
    _wait_for(context, seconds, lambda: context.client.has_ended)


@then("it gets the status {status:d} within {seconds:g} s")
def step_client_status(context, status, seconds):
    _wait_for(context, seconds, lambda: b"HTTP/1.1 %d " % status in bytes(context.client.received))


def _wait_for(context, seconds, is_reached):
    deadline = time.monotonic() + seconds
    while not is_reached():
        assert time.monotonic() < deadline, bytes(context.client.received)
        eventlet.sleep(0.02)
    context.ticker.stop()


@given("a source of belief")
def step_source(context):
    log = eventlog.EventLog("test", len)
    context.source = following.BeliefServer(
        ("127.0.0.1", 0), belief.Belief(), log, lambda: False, keyring.Keyring
    )
    context.source.start()
    context.add_cleanup(context.source.stop)


@when("a follower sends a byte of its request each {seconds:g} s")
def step_slow_follower(context, seconds):
    context.ticker = ticker.Ticker()
    portions = (b"\0" for _ in range(100))
    context.client = wire_builders.EndlessClient(
        context.source.address, b"", b"\0", pause_s=seconds, portions=portions
    )
    context.add_cleanup(context.client.stop)


@then("the source ends the stream within {seconds:g} s")
def step_stream_ends(context, seconds):
    _wait_for(context, seconds, lambda: context.client.has_ended)
