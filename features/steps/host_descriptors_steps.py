"""Steps of host_descriptors.feature."""

import resource

from behave import given, then, when
from eventlet.green import socket

from features import host_world
from standins import platformdata


@given("a host program with {count:d} descriptors that uses the store")
def step_program(context, count):
    spec = platformdata.build_configuration_spec(8)
    spec["limits"]["idleTimeout"] = "20s"
    context.store.write("config", "main", spec)
    limits = resource.getrlimit(resource.RLIMIT_NOFILE)
    # The program inherits the limit.
    resource.setrlimit(resource.RLIMIT_NOFILE, (count, limits[1]))
    try:
        context.execute_steps("Given a host program that uses the store")
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, limits)


@when("{count:d} clients connect")
def step_connect(context, count):
    context.clients = []
    for _ in range(count):
        client = socket.create_connection(("127.0.0.1", context.ports[1]))
        context.add_cleanup(client.close)
        client.settimeout(host_world.ANSWER_TIMEOUT_S)
        context.clients.append(client)


def _send(client, number):
    """Sends a request; returns status and headers of its answer."""
    client.sendall(platformdata.format_request(f"GET /read/{number}", f"r{number}"))
    return platformdata.AnswerReader(client).read()[:2]


@then("the first {count:d} clients send a request each and get {status:d}")
def step_served(context, count, status):
    got = [_send(client, number)[0] for number, client in enumerate(context.clients[:count])]
    assert got == count * [status], got


@then(
    "the last {count:d} clients send a request each and get {status:d}"
    " with a Retry-After within {seconds:g} s each"
)
def step_refused(context, count, status, seconds):
    for number, client in enumerate(context.clients[-count:]):
        client.settimeout(seconds)
        got, headers = _send(client, f"late-{number}")
        assert (got, headers.get("connection")) == (status, "close"), (got, headers)
        assert float(headers["retry-after"]) > 0.0, headers
        client.close()
