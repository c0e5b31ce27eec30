"""Steps of rpc.feature."""

import eventlet
from behave import given, then, when
from eventlet.green import socket

from features import builders
from skylarksill import frames, rpc

CLIENT = rpc.Identity("entry", "host-1", "c1")
SERVER = rpc.Identity("dispatch", "host-0", "s1")
TIMEOUT_S = 5.0


class RecordingHandlers:
    """Handlers of the test server, which count calls and signal a cancellation."""

    def __init__(self):
        self.executed = 0
        self.cancelled = eventlet.event.Event()

    def wait(self, milliseconds, call_context):
        self.executed += 1
        call_context.on_cancel(lambda: self.cancelled.send(True))
        eventlet.sleep(milliseconds / 1000)
        return milliseconds

    def answer_long(self, body, call_context):
        return b"x" * (frames.MAX_FRAME_BYTES + 1)

    def fail(self, body, call_context):
        raise RuntimeError("internal text")


def open_client(context, key=builders.SHARED_KEY):
    return rpc.RpcClient(("127.0.0.1", context.server.port), key, CLIENT)


def capture_error(context, function, *arguments):
    try:
        context.result = function(*arguments)
        context.error = None
    except rpc.RpcError as error:
        context.error = error


@given("a server with the shared key")
def step_server(context):
    context.handlers = RecordingHandlers()
    methods = {
        "wait": context.handlers.wait,
        "long": context.handlers.answer_long,
        "fail": context.handlers.fail,
    }
    context.server = rpc.RpcServer(("127.0.0.1", 0), builders.SHARED_KEY, SERVER, methods)
    context.add_cleanup(context.server.close)
    eventlet.spawn(context.server.serve)
    context.client = open_client(context)
    context.add_cleanup(context.client.close)


@when("calls that take 30, 10 and 20 ms are made concurrently")
def step_concurrent_calls(context):
    pool = eventlet.GreenPool()
    context.values = list(
        pool.imap(lambda value: context.client.call("wait", value, TIMEOUT_S), [30, 10, 20])
    )


@when("a call that takes 50 ms times out after 10 ms")
def step_call_times_out(context):
    context.client.call("wait", 0, TIMEOUT_S)
    context.handlers.cancelled = eventlet.event.Event()
    capture_error(context, context.client.call, "wait", 50, 0.01)


@when("the client closes its connection during a call")
def step_client_closes(context):
    call = eventlet.spawn(capture_error, context, context.client.call, "wait", 10_000, TIMEOUT_S)
    wait_until_executed(context)
    context.client.close()
    call.wait()


@when("the server closes during a call")
def step_server_closes(context):
    call = eventlet.spawn(capture_error, context, context.client.call, "wait", 10_000, TIMEOUT_S)
    wait_until_executed(context)
    context.server.close()
    call.wait()


def wait_until_executed(context):
    with eventlet.Timeout(TIMEOUT_S):
        while not context.handlers.executed:
            eventlet.sleep(0.001)


@when("a call is made to a port where nothing listens")
def step_nothing_listens(context):
    listener = eventlet.listen(("127.0.0.1", 0))
    address = listener.getsockname()
    listener.close()
    client = rpc.RpcClient(address, builders.SHARED_KEY, CLIENT)
    capture_error(context, client.call, "wait", 0, TIMEOUT_S)


@when("a call is made with a wrong shared key")
def step_wrong_key(context):
    client = open_client(context, key=b"another key of thirty-two bytes.")
    capture_error(context, client.call, "wait", 0, TIMEOUT_S)


@when("a client with a different protocol version connects")
def step_other_version(context):
    hello = {
        "version": frames.PROTOCOL_VERSION + 1,
        "nonce": b"n" * frames.NONCE_BYTES,
        "proof": b"",
        "part": "entry",
        "host": "host-1",
        "incarnation": "c1",
    }
    payload = frames.pack_payload(hello)
    send_raw(context, len(payload).to_bytes(2, "big") + payload)


@when("a connected client sends bytes that are not a frame")
def step_not_a_frame(context):
    capture_error(context, context.client.call, "fail", 0, TIMEOUT_S)
    stream = context.client._stream
    stream._connection.sendall(b"\x00" * 200)
    with eventlet.Timeout(TIMEOUT_S):
        while context.client.peer is not None:
            eventlet.sleep(0.001)
    context.received = b""


def send_raw(context, data):
    connection = socket.create_connection(("127.0.0.1", context.server.port))
    connection.sendall(data)
    connection.settimeout(TIMEOUT_S)
    context.received = connection.recv(1)
    connection.close()


@when("a call is made whose answer is longer than a frame")
def step_long_answer(context):
    capture_error(context, context.client.call, "long", None, TIMEOUT_S)


@when("a call is made to an unknown method")
def step_unknown_method(context):
    capture_error(context, context.client.call, "none", None, TIMEOUT_S)


@when("a call is made whose handler raises an exception")
def step_handler_raises(context):
    capture_error(context, context.client.call, "fail", None, TIMEOUT_S)


@then("each call returns its own value")
def step_own_values(context):
    assert context.values == [30, 10, 20], context.values


@then("the call may have been executed")
def step_may_have_run(context):
    assert isinstance(context.error, rpc.CallLostError), context.error


@then("the call was not executed")
def step_not_run(context):
    assert isinstance(context.error, rpc.CallNotSentError), context.error


@then("the next call on the connection returns its own value")
def step_next_call(context):
    assert context.client.call("wait", 60, TIMEOUT_S) == 60


@then("the handler is notified of the cancellation")
def step_cancelled(context):
    with eventlet.Timeout(TIMEOUT_S):
        assert context.handlers.cancelled.wait()


@then("the server has executed nothing")
def step_executed_nothing(context):
    assert context.handlers.executed == 0


@then("the server closes the connection without an answer")
def step_closed(context):
    assert context.received == b"", context.received


@then('the call fails with "{reason}"')
def step_fails(context, reason):
    assert isinstance(context.error, rpc.CallFailedError), context.error
    assert context.error.reason == reason, context.error


@then("the error does not contain the exception's text")
def step_no_text(context):
    assert "internal text" not in str(context.error)
