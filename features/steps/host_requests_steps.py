"""Steps of host_requests.feature."""

import dataclasses
import json
import time

import eventlet
from behave import given, then, when

from features import host_builders, host_world
from skylarksill.host import _requestfields, records, steering
from standins import platformdata, worker

_, wire, _ = host_builders.import_platform()
REQUEST_LINES = {"idempotent": "GET /read/1", "non-idempotent": "POST /order/1"}
HOST_HEADER = b"Host: shop.example\r\n"
RAW_REQUESTS = {
    "two lengths": b"POST /order/1 HTTP/1.1\r\n"
    + HOST_HEADER
    + b"Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
    "length and chunks": b"POST /order/1 HTTP/1.1\r\n"
    + HOST_HEADER
    + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "folded header": b"GET /read/1 HTTP/1.1\r\n" + HOST_HEADER + b"X: a\r\n b\r\n\r\n",
    "bare line feeds": b"GET /read/1 HTTP/1.1\nHost: shop.example\n\n",
    "space before colon": b"GET /read/1 HTTP/1.1\r\nHost : shop.example\r\n\r\n",
    "no host": b"GET /read/1 HTTP/1.1\r\n\r\n",
    "long head": b"GET /read/1 HTTP/1.1\r\n" + HOST_HEADER + b"X: " + b"x" * 3_000 + b"\r\n\r\n",
    "announced long body": b"POST /order/1 HTTP/1.1\r\n"
    + HOST_HEADER
    + b"Content-Length: 10001\r\n\r\n",
    "long chunked body": b"POST /order/1 HTTP/1.1\r\n"
    + HOST_HEADER
    + b"Transfer-Encoding: chunked\r\n\r\n2711\r\n"
    + b"x" * 10_001
    + b"\r\n0\r\n\r\n",
    "slow head": b"GET /read/1 HTTP/1.1\r\nHost: sh",
}


@given('a host with upstreams "{first}" and "{second}"')
def step_host(context, first, second):
    context.world = host_world.HostWorld((first, second))
    context.add_cleanup(context.world.stop)


@given("the host has no configuration")
def step_no_configuration(context):
    context.world.belief.configuration = None


@given("the host's configuration was last confirmed {seconds:g} s ago")
def step_outdated(context, seconds):
    context.world.belief.confirmed_at = time.monotonic() - seconds


@given("the upstreams take {seconds:g} s")
def step_run_time(context, seconds):
    for item in context.world.workers.values():
        item.work_s = seconds


@given("both upstreams have the fault {fault}")
def step_faults(context, fault):
    for item in context.world.workers.values():
        item.fault = worker.Fault(fault)


@given('upstream "{name}" has the fault {fault}')
def step_fault(context, name, fault):
    context.world.workers[name].fault = worker.Fault(fault)


@given('upstream "{name}" refuses connections')
def step_refuses(context, name):
    context.refusing = context.world.workers[name]
    context.refusing.stop()


@when('upstream "{name}" accepts connections again')
def step_accepts(context, name):
    context.world.workers[name] = worker.Worker(name, address=context.refusing.address)


@when('the client sends "{line}" with the body "{body}"')
def step_send_body(context, line, body):
    _send(context, platformdata.format_request(line, "r1", body.encode()))


@when('the client sends "{line}" without a body')
def step_send_line(context, line):
    _send(context, platformdata.format_request(line, "r1"))


@when("the client sends a request with white space after the values of its headers")
def step_send_white_space(context):
    line, *headers = platformdata.format_request("GET /read/1", "r1").split(b"\r\n")[:-2]
    _send(context, b"\r\n".join([line, *(header + b" \t" for header in headers), b"", b""]))


@when('the client sends the body "{body}" in chunks')
def step_send_chunks(context, body):
    headers = ("Transfer-Encoding: chunked",)
    head = platformdata.format_request("POST /order/1", "r1", headers=headers)
    chunks = b"".join(b"1\r\n%c\r\n" % byte for byte in body.encode())
    _send(context, head + chunks + b"0\r\n\r\n")


@when("the client sends a {kind} request")
@when("the client sends an {kind} request")
def step_send_kind(context, kind):
    body = b"deposit" if kind == "non-idempotent" else None
    _send(context, platformdata.format_request(REQUEST_LINES[kind], "r1", body))


@when("the client sends the raw bytes {name}")
def step_send_raw(context, name):
    _send(context, RAW_REQUESTS[name])


@when("the client sends {count:d} requests at once")
def step_pipeline(context, count):
    client = context.world.connect()
    context.begun = time.monotonic()
    client.sendall(
        b"".join(platformdata.format_request("GET /read/1", f"r{index}") for index in range(count))
    )
    reader = platformdata.AnswerReader(client)
    context.answers = [reader.read() for _ in range(count)]
    context.taken_s = time.monotonic() - context.begun


@when("the client sends {count:d} requests in turn")
def step_in_turn(context, count):
    client = context.world.connect()
    reader = platformdata.AnswerReader(client)
    context.answers = []
    for index in range(count):
        client.sendall(platformdata.format_request("GET /read/1", f"r{index}"))
        context.answers.append(reader.read())


@when("the client sends an idempotent request and disconnects after {seconds:g} s")
def step_disconnect(context, seconds):
    client = context.world.connect()
    client.sendall(platformdata.format_request("GET /read/1", "r1"))
    eventlet.sleep(seconds)
    assert context.world.count_runs() == 1
    client.close()


@when("the client sends an idempotent request and the host is stopped before the answer")
def step_stop_before_answer(context):
    client = context.world.connect()
    client.sendall(platformdata.format_request("GET /read/1", "r1"))
    eventlet.sleep(0.1)
    context.world.server.begin_shutdown()
    context.world.server.close_idle()
    context.world.server.stop_listening()
    context.reader = platformdata.AnswerReader(client)
    context.answer = context.reader.read()


@then("the answer is {status:d} with a signature")
def step_signed(context, status):
    answer_status, headers, _ = context.answer
    assert answer_status == status, context.answer
    assert headers["x-skylarksill-response-seal"] == "test.seal"
    assert headers["x-skylarksill-request-id"] == "r1"


@then('the log names the path "{path}", the routes and the age of the configuration')
def step_logs_denial(context, path):
    context.world.log.flush()
    line = json.loads(context.world.log_bytes.splitlines()[-1])
    routes = context.world.belief.configuration.routes
    assert (line["reason"], line["site"], line["path"]) == ("no_route", "shop.example", path), line
    assert line["routes"] == len(routes) and 0 <= line["configuration_age_ms"] < 5_000, line


@then("the answer is {status:d}")
def step_status(context, status):
    assert context.answer[0] == status, context.answer


@then("the answer is {status:d} with a retry delay")
def step_status_retry(context, status):
    assert context.answer[0] == status, context.answer
    assert float(context.answer[1]["retry-after"]) > 0.0


@then("the answer is {status:d} within {least:g} to {most:g} s")
def step_status_time(context, status, least, most):
    assert context.answer[0] == status, context.answer
    assert least <= context.taken_s <= most, context.taken_s


@then("the answer is {status:d} and the connection closes")
def step_status_close(context, status):
    assert context.answer[0] == status, context.answer
    assert context.answer[1].get("connection") == "close"
    assert context.reader.is_at_end()


@then('the log names the site "{site}" and the path "{path}" of the refusal "{reason}"')
def step_logs_unrouted(context, site, path, reason):
    context.world.log.flush()
    line = json.loads(context.world.log_bytes.splitlines()[-1])
    assert (line["reason"], line["site"], line["path"]) == (reason, site, path), line


@then('the log names the target "{target}" and the reason "{reason}"')
def step_logs_refusal(context, target, reason):
    context.world.log.flush()
    lines = [json.loads(line) for line in context.world.log_bytes.splitlines()]
    refused = [line for line in lines if line["event"] == "client.refused"]
    assert len(refused) == 1 and refused[0]["target"] == target, refused
    assert reason in refused[0]["reason"], refused


@then('one upstream got "{line}" with the body "{body}"')
def step_upstream_got(context, line, body):
    heads = [head for item in context.world.workers.values() for head in item.heads]
    bodies = [item for worker_ in context.world.workers.values() for item in worker_.bodies]
    assert len(heads) == 1 and heads[0].startswith(f"{line} HTTP/1.1\r\n"), heads
    assert bodies == [body.encode()]


@then("the upstream got the deadline and its own id")
def step_upstream_headers(context):
    for name, item in context.world.workers.items():
        for head in item.heads:
            fields = platformdata.parse_fields(head.encode())
            assert 0 < int(fields["x-skylarksill-deadline-ms"]) <= 1000
            assert fields["x-skylarksill-expect-instance"] == name


@then("all {count:d} answers arrive in order within {seconds:g} s")
def step_in_order(context, count, seconds):
    ids = [headers["x-skylarksill-request-id"] for _, headers, _ in context.answers]
    assert ids == [f"r{index}" for index in range(count)]
    assert context.taken_s <= seconds, context.taken_s


@then("the upstreams ran it {count:d} times")
def step_runs(context, count):
    assert context.world.count_runs() == count


@then("the upstreams ran nothing")
def step_ran_nothing(context):
    assert context.world.count_runs() == 0


@then("all of them are answered with {status:d}")
def step_all_status(context, status):
    assert {answer[0] for answer in context.answers} == {status}


@then("all of them are answered with {status:d} and their own bodies")
def step_own_bodies(context, status):
    for index, (answer_status, headers, body) in enumerate(context.answers):
        assert answer_status == status
        assert headers["x-skylarksill-request-id"] == f"r{index}"
        assert body.decode().endswith(f":r{index}"), body


@then("{seconds:g} s later no upstream runs it")
def step_no_upstream_runs(context, seconds):
    eventlet.sleep(seconds)
    states = [state.in_flight for state in context.world.fleet]
    assert states == [0, 0], states
    eventlet.sleep(0.6)
    assert not any(item.ended for item in context.world.workers.values())


@then("that upstream is reachable and cold")
def step_reachable_and_cold(context):
    state = context.world.fleet.find("a")
    for _ in range(100):
        if not state.is_unreachable:
            break
        eventlet.sleep(0.05)
    assert not state.is_unreachable
    assert state.is_cold(time.monotonic())


def _send(context, data):
    client = context.world.connect()
    begun = time.monotonic()
    client.sendall(data)
    context.reader = platformdata.AnswerReader(client)
    context.answer = context.reader.read()
    context.taken_s = time.monotonic() - begun


@then("no upstream counts as failing")
def step_not_failing(context):
    now = time.monotonic()
    assert {state.estimate_failure_share(now) for state in context.world.fleet} == {0.0}


@then("its upstream gets another connection within {seconds:g} s")
def step_new_connection(context, seconds):
    eventlet.sleep(seconds)
    assert sum(item.connections for item in context.world.workers.values()) == 2


@when('the client sends an order in chunks with the trailer "{trailer}"')
def step_trailer(context, trailer):
    client = context.world.connect()
    head = platformdata.format_request(
        "POST /order/1", "r1", headers=["Transfer-Encoding: chunked", "Trailer: Host"]
    )
    client.sendall(head + b"3\r\nabc\r\n0\r\n" + trailer.encode() + b"\r\n\r\n")
    context.answers = [platformdata.AnswerReader(client).read()]


@then('one upstream has run it and got neither the trailer nor "{text}"')
def step_no_trailer(context, text):
    (head,) = [head for item in context.world.workers.values() for head in item.heads]
    assert text not in head and "trailer" not in head.lower(), head
    assert f"Host: {platformdata.SITE}".lower() in head.lower(), head


@then("names of objects of {kept:d} bytes are kept, and those of {size:d} bytes as {most:d} each")
def step_object_names(context, kept, size, most):
    def build(name):
        cookie = wire.HEADER_NAMES.affinity_cookie + b"=" + name
        fields = [(b"host", b"shop.example"), (b"cookie", cookie)]
        return _requestfields.build_request(b"GET", b"/", fields, b"", wire.HEADER_NAMES)

    assert build(b"k" * kept).affinity_key == b"k" * kept
    first, again, other = (build(letter * size).affinity_key for letter in (b"a", b"a", b"b"))
    assert len(first) == len(other) == most
    assert first == again != other


@given("the host may buffer {size:d} bytes of bodies")
def step_max_buffered(context, size):
    context.world.server.max_buffered_bytes = size


@when("{count:d} clients send bodies of {size:d} bytes at once")
def step_concurrent_bodies(context, count, size):
    clients = [context.world.connect() for _ in range(count)]
    for index, client in enumerate(clients):
        body = b"x" * size
        client.sendall(platformdata.format_request("POST /order/1", f"r{index}", body))
    context.answers = [platformdata.AnswerReader(client).read() for client in clients]


@then("{first:d} are answered with {good:d} and {second:d} with {bad:d}")
def step_two_statuses(context, first, good, second, bad):
    statuses = [answer[0] for answer in context.answers]
    assert statuses.count(good) == first and statuses.count(bad) == second, statuses


@then("no bytes of bodies are buffered")
def step_nothing_buffered(context):
    assert context.world.server.buffered_bytes == 0


@when("the client sends {size:d} bytes of a header that does not end")
def step_endless_head(context, size):
    context.world.belief.accept_configuration(
        dataclasses.replace(
            context.world.belief.configuration,
            generation=2,
            limits=records.ClientLimits(2_000, 10_000, 30.0, 2.0),
        )
    )
    client = context.world.connect()
    client.sendall(b"GET /read/1 HTTP/1.1\r\n" + HOST_HEADER + b"X: ")
    for _ in range(size // 20_000):
        client.sendall(b"x" * 20_000)
        eventlet.sleep(0.01)
    context.reader = platformdata.AnswerReader(client)
    context.answer = context.reader.read()


@given("one upstream answers 500 and the other one resets")
def step_two_faults(context):
    first, second = context.world.workers.values()
    first.fault, second.fault = worker.Fault.ERROR, worker.Fault.RESET_AFTER_RUN


@given("the upstreams swap their faults")
def step_swap_faults(context):
    first, second = context.world.workers.values()
    first.fault, second.fault = second.fault, first.fault


@when('the delay before the next probe of "{name}" is over')
def step_probe_due(context, name):
    context.state = context.world.fleet.find(name)
    assert context.state.is_unreachable
    context.now = context.state.down_until + 0.001


@then('nothing is placed on "{name}"')
def step_nothing_placed(context, name):
    host_steering = steering.Steering(context.world.fleet, host_builders.BOUNDS.max_shift)
    # With a short service time, the object's preferred upstream is chosen whatever the others cost.
    host_steering.service_times.add_sample(host_builders.build_route(), "catalogue", False, 0.01)
    for index in range(50):
        query = host_builders.build_query(b"%d" % index)
        choice = host_steering.choose(query, context.now)
        assert choice.upstream.record.upstream_id != name
