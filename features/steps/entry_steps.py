"""Steps of entry.feature."""

import json
import random
import time

import eventlet
from behave import then, when
from eventlet.green import socket
from eventlet.green.http import client as http_client

from features import builders, steering_builders
from skylarksill import records, routes, tickets

MAX_POLLS = 500
MIB = 1024 * 1024
TOO_LONG_CHUNKED = b"100001\r\n" + b"x" * (MIB + 1) + b"\r\n0\r\n\r\n"


def wait_until(condition):
    for _ in range(MAX_POLLS):
        if condition():
            return
        eventlet.sleep(0.01)
    raise AssertionError("the awaited condition did not come true")


def send(context, method, path, body=None, region="north", **headers):
    route = routes.mint_route(builders.SHARED_KEY, region, int(time.time()) + 100)
    request_headers = {"Skylarksill-Route": route, "X-Client": "c"}
    request_headers.update({name.replace("_", "-"): str(value) for name, value in headers.items()})
    store_answer(
        context, steering_builders.send_http(context.address, method, path, body, request_headers)
    )


def store_answer(context, answer):
    context.status, context.headers, context.body = answer
    assert context.headers["skylarksill-request-id"]
    context.verdict = context.headers["skylarksill-verdict"]
    context.refusal = {}
    if context.headers.get("content-type") == "application/json":
        context.refusal = json.loads(context.body)
        assert context.refusal["verdict"] == context.verdict


def sign_ticket(service="deposits", key=builders.SHARED_KEY, arbiter="host-1", age_ms=0):
    ticket = tickets.new_ticket(
        f"ticket-{service}-{age_ms}",
        service,
        ("host-0", "dispatch-host-0"),
        arbiter and (arbiter, f"dispatch-{arbiter}"),
        1000 * time.time() - age_ms,
    )
    return tickets.sign_ticket(key, ticket)


@when("a client sends {method} {path} with body {body:w}")
def step_send(context, method, path, body):
    send(context, method, path, body)


@when("a client sends {method} {path} with body of {size:d} bytes")
def step_send_size(context, method, path, size):
    send(context, method, path, b"x" * size)


@when("a client sends {method} {path} with timeout header {timeout}")
def step_send_timeout(context, method, path, timeout):
    headers = {} if timeout == "none" else {"Skylarksill_Timeout_Ms": timeout}
    send(context, method, path, **headers)


@when("a client sends a deposit with a valid ticket and a timeout of {timeout:d} ms")
def step_deposit_timeout(context, timeout):
    headers = {"Skylarksill_Ticket": sign_ticket(), "Skylarksill_Timeout_Ms": timeout}
    send(context, "POST", "/v1/deposits/boats/1", "amount=1", **headers)


@when("a client sends a deposit with {ticket}")
def step_deposit(context, ticket):
    headers = {
        "no ticket": {},
        "only an Idempotency-Key": {"Idempotency_Key": "k1"},
        "a forged ticket": {"Skylarksill_Ticket": sign_ticket(key=b"another key")},
        "a ticket of another service": {"Skylarksill_Ticket": sign_ticket("catalogue")},
        "a ticket of no format": {"Skylarksill_Ticket": "x/y"},
        "an expired ticket": {"Skylarksill_Ticket": sign_ticket(age_ms=120_000)},
        "a ticket without arbiter": {"Skylarksill_Ticket": sign_ticket(arbiter=None)},
        "a valid ticket": {"Skylarksill_Ticket": sign_ticket()},
    }[ticket]
    send(context, "POST", "/v1/deposits/boats/1", "amount=1", **headers)


@when("a client of {region} sends a GET to the catalogue")
def step_send_region(context, region):
    send(context, "GET", "/v1/catalogue/x", region=region)


@when("a client of {region} sends a deposit with a valid ticket")
def step_deposit_region(context, region):
    ticket = sign_ticket()
    send(context, "POST", "/v1/deposits/x", "1", region=region, Skylarksill_Ticket=ticket)


@then("the home of the new ticket is in {region}")
def step_fresh_region(context, region):
    ticket, _ = tickets.verify_ticket(builders.SHARED_KEY, context.refusal["ticket"])
    homes = [host for host in context.configuration.hosts if host.host_id == ticket.home]
    assert homes[0].zone_id.startswith(region), ticket


@when("a client sends a {kind} body")
def step_send_broken(context, kind):
    announced = f"Content-Length: {MIB + 1}"
    head, body = {
        "truncated": ("Content-Length: 100", b"ten bytes."),
        "truncated chunked": ("Transfer-Encoding: chunked", b"64\r\nten bytes."),
        "malformed chunked": ("Transfer-Encoding: chunked", b"zz\r\nten bytes.\r\n0\r\n\r\n"),
        "announced 1 MiB + 1": (announced, b""),
        "chunked 1 MiB + 1": ("Transfer-Encoding: chunked", TOO_LONG_CHUNKED),
    }[kind]
    connection = socket.create_connection(context.address)
    context.add_cleanup(connection.close)
    request = f"POST /v1/catalogue/x HTTP/1.1\r\nHost: entry\r\n{head}\r\n\r\n"
    connection.sendall(request.encode() + body)
    if not kind.startswith("announced"):
        connection.shutdown(socket.SHUT_WR)
    response = http_client.HTTPResponse(connection)
    response.begin()
    headers = {name.lower(): value for name, value in response.getheaders()}
    assert headers["connection"] == "close"
    store_answer(context, (response.status, headers, response.read()))


@when("a client sends a body of 1 MiB to the catalogue")
def step_send_mib(context):
    context.sent = random.Random(5).randbytes(MIB - 3)
    send(context, "PUT", "/v1/catalogue/x", context.sent)


@when("a client sends {count:d} requests to the catalogue")
def step_send_many(context, count):
    context.outcomes = []
    for _ in range(count):
        send(context, "GET", "/v1/catalogue/x")
        context.outcomes.append((context.status, context.refusal.get("limit")))


@when("{count:d} clients send different requests at once")
def step_send_at_once(context, count):
    def ask(number):
        path = f"/v1/catalogue/{number}"
        body = str(number) * 100
        answer = steering_builders.send_http(context.address, "POST", path, body)
        return answer[2] == f"/{number}|{body}".encode()

    threads = [eventlet.spawn(ask, number) for number in range(count)]
    context.outcomes = [thread.wait() for thread in threads]


@when("a client closes its connection before the answer")
def step_close(context):
    connection = socket.create_connection(context.address)
    connection.sendall(b"GET /v1/catalogue/x HTTP/1.1\r\nHost: entry\r\n\r\n")
    wait_until(lambda: context.fakes["host-0"].requests)
    connection.close()


@when("the entry daemon leaves while a request is in flight")
def step_leave(context):
    path = "/v1/catalogue/long"
    in_flight = eventlet.spawn(steering_builders.send_http, context.address, "GET", path)
    wait_until(lambda: context.fakes["host-0"].requests)
    leaving = eventlet.spawn(context.daemon.leave)
    wait_until(lambda: context.daemon._is_refusing)
    context.state = context.viewer.state
    send(context, "GET", "/v1/catalogue/new")
    context.in_flight = in_flight.wait()
    leaving.wait()


@when("the entry daemon leaves while a body is incomplete")
def step_leave_incomplete(context):
    connection = socket.create_connection(context.address)
    context.add_cleanup(connection.close)
    connection.sendall(b"POST /v1/catalogue/x HTTP/1.1\r\nContent-Length: 9\r\n\r\nhalf")
    wait_until(lambda: context.daemon._in_flight)
    leaving = eventlet.spawn(context.daemon.leave)
    wait_until(lambda: leaving.dead)


@then("the entry daemon stopped and no dispatcher got the request")
def step_stopped(context):
    assert context.daemon._is_refusing
    step_no_request_received(context)


@then("the entry answers {status:d} with verdict {verdict} and body {body}")
def step_answer(context, status, verdict, body):
    assert (context.status, context.verdict) == (status, verdict), context.body
    assert context.body == body.encode(), context.body


@then("the entry answers {status:d} with verdict {verdict} and reason {reason}")
def step_refused(context, status, verdict, reason):
    actual = (context.status, context.verdict, context.refusal.get("reason", "none"))
    assert actual == (status, verdict, reason), (actual, context.body)
    assert b"Traceback" not in context.body


@then("the entry answers {status:d} with the limit {limit}")
def step_limit(context, status, limit):
    assert (context.status, context.refusal["limit"]) == (status, limit), context.body


@then("the entry answers 200 with the same body")
def step_same_body(context):
    assert context.body == b"/x|" + context.sent


@then("only {host} got the request, as POST with the client's headers and home region {region}")
def step_only_host_received(context, host, region):
    assert [len(fake.requests) for fake in context.fakes.values()] == [1, 0, 0, 0]
    request = context.fakes[host].requests[0]
    names = {name.lower() for name, _ in request.headers}
    assert "x-client" in names and not names & {"host", "skylarksill-route", "content-length"}
    assert (request.method, request.home_region, request.ticket) == ("POST", region, None)
    assert request.client.startswith("127.") and request.hops == 0


@then("the answer has the upstream's headers without those of its connection")
def step_headers(context):
    assert context.headers["x-upstream"] == "u-1"
    assert "x-hop" not in context.headers
    assert int(context.headers["content-length"]) == len(context.body)


@then("no dispatcher got the request")
def step_no_request_received(context):
    assert not any(fake.requests for fake in context.fakes.values())


@then("no other dispatcher ran the deposit")
def step_no_other(context):
    others = [fake for host, fake in context.fakes.items() if host != "host-0"]
    assert not any(fake.requests for fake in others)
    assert len(context.fakes["host-0"].requests) <= 1


@then("the answer contains a new ticket")
def step_fresh(context):
    ticket, problem = tickets.verify_ticket(builders.SHARED_KEY, context.refusal["ticket"])
    assert problem is None and ticket.service_id == "deposits"
    assert ticket.expiry_unix_ms > 1000 * time.time()


@then("the deposit runs once with the new ticket of the answer")
def step_fresh_runs(context):
    step_fresh(context)
    ticket = context.refusal["ticket"]
    send(context, "POST", "/v1/deposits/boats/1", "amount=1", Skylarksill_Ticket=ticket)
    step_answer(context, 200, "RAN", "/boats/1|amount=1")
    assert [fake.requests[0].ticket for fake in context.fakes.values() if fake.requests] == [ticket]


@then("{first} got {count:d} request and {second} got {other:d}")
@then("{first} got {count:d} requests and {second} got {other:d}")
def step_request_counts(context, first, count, second, other):
    actual = len(context.fakes[first].requests), len(context.fakes[second].requests)
    assert actual == (count, other), actual


@then("the dispatcher's deadline was between {low:d} and {high:d} ms")
def step_deadline(context, low, high):
    assert low <= context.fakes["host-0"].requests[0].deadline_ms <= high


@then("{count:d} of them ran and the others were refused by the limit {limit}")
def step_budget(context, count, limit):
    assert context.outcomes.count((200, None)) == count, context.outcomes
    assert context.outcomes.count((503, limit)) == len(context.outcomes) - count


@then("each of them got the answer to its own request")
def step_own_answers(context):
    assert all(context.outcomes)


@then("the call at {host} is cancelled and nothing is in flight")
def step_cancelled(context, host):
    wait_until(lambda: context.fakes[host].cancelled)
    wait_until(lambda: not context.daemon._in_flight)
    assert context.daemon.describe_in_flight() == "0 requests: none"


@then("the request in flight was answered completely")
def step_in_flight_answered(context):
    status, headers, body = context.in_flight
    assert (status, body) == (200, b"/long|")
    assert headers["skylarksill-verdict"] == "RAN"


@then("a new request was refused as leaving before the daemon stopped")
def step_left(context):
    step_refused(context, 503, "NOT_RUN", "leaving")
    assert context.state is records.LifecycleState.LEAVING and context.viewer.polls == 1
    probe = socket.socket()
    try:
        assert probe.connect_ex(context.address) != 0
    finally:
        probe.close()
