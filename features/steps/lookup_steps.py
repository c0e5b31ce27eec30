"""Steps of lookup.feature."""

import dataclasses
import json

import eventlet
from behave import given, then, when
from eventlet.green import socket

from features import builders, steering_builders
from skylarksill import clock, lookup, records, routes, tickets

ADDRESS = "127.0.12.1"


def start_daemon(context):
    context.configuration = builders.build_configuration()
    context.viewer = steering_builders.FakeViewer(context.configuration)
    context.clock = clock.SystemClock()
    context.daemon = lookup.LookupDaemon(
        steering_builders.build_settings(ADDRESS), context.clock, context.viewer
    )
    context.address = context.daemon.start()
    context.add_cleanup(context.daemon._server.stop)
    context.add_cleanup(context.daemon._refresh_thread.kill)


@given("a lookup daemon without a configuration")
def step_without_configuration(context):
    start_daemon(context)


@given("a lookup daemon with a configuration in force")
def step_with_configuration(context):
    start_daemon(context)
    context.daemon.source.accept_configuration(context.configuration, None)


@given("the lookup daemon sees {hosts} as {state}")
@when("the lookup daemon sees {hosts} as {state}")
def step_show_state(context, hosts, state):
    context.viewer.show(**{state: set(hosts.split(","))})
    context.daemon.source.refresh()


@when("a client looks up {query}")
def step_look_up(context, query):
    send(context, "GET", f"/v1/lookup?{query}")


@when("a client sends {method} to {path} of the lookup daemon")
def step_send(context, method, path):
    send(context, method, path)


def send(context, method, path):
    status, headers, body = steering_builders.send_http(context.address, method, path)
    assert headers["content-type"] == "application/json"
    context.status = status
    context.answer = json.loads(body)


@then("the lookup answers {status:d} with the hosts {first} and {second} first")
def step_hosts_first(context, status, first, second):
    assert context.status == status
    host_ids = [host["host"] for host in context.answer["hosts"]]
    assert host_ids[:2] == [first, second] and len(host_ids) == 4, host_ids
    assert context.answer["hosts"][0] == {
        "host": "host-0",
        "address": "127.0.1.1",
        "port": 7002,
        "zone": "north-a",
    }


@then("the lookup answers {status:d} without {host}")
def step_hosts_without(context, status, host):
    assert context.status == status
    host_ids = [item["host"] for item in context.answer["hosts"]]
    assert len(host_ids) == 3 and host not in host_ids, host_ids


@then("the lookup names generation {generation:d}, a lifetime and no ticket")
def step_generation(context, generation):
    assert context.answer["generation"] == generation
    assert context.answer["lifetime_ms"] > 0
    assert context.answer["ticket"] is None
    assert context.answer["service"] == "catalogue"


@then("the lookup's route names the region {region}")
def step_route(context, region):
    region_id = routes.verify_route(
        builders.SHARED_KEY, context.answer["route"], context.clock.unix()
    )
    assert region_id == region


@then("the lookup's ticket is valid for {service} at {home} with arbiter {arbiter}")
def step_ticket(context, service, home, arbiter):
    ticket, problem = tickets.verify_ticket(builders.SHARED_KEY, context.answer["ticket"])
    assert problem is None
    assert (ticket.service_id, ticket.home, ticket.arbiter) == (service, home, arbiter)
    assert ticket.home_incarnation == f"dispatch-{home}"
    remaining_ms = ticket.expiry_unix_ms - 1000 * context.clock.unix()
    assert 0 < remaining_ms <= tickets.TICKET_LIFETIME_MS


@then("a second lookup gives another ticket")
def step_other_ticket(context):
    first = context.answer["ticket"]
    send(context, "GET", "/v1/lookup?service=deposits&client=10.1.0.1")
    assert context.answer["ticket"] != first


@then("the lookup answers {status:d} with reason {reason}")
def step_refused(context, status, reason):
    assert (context.status, context.answer["reason"]) == (status, reason), context.answer
    assert context.answer["verdict"] == "NOT_RUN"
    assert "Traceback" not in json.dumps(context.answer)


@when("the lookup daemon receives generation 2 with a malformed block")
def step_malformed_configuration(context):
    block = records.Block("10.0.0.0/40", "north-a")
    changed = dataclasses.replace(context.configuration, generation=2, blocks=(block,))
    context.daemon.source.accept_configuration(changed, None)


@when("the lookup daemon receives generation 2 with the same blocks")
def step_same_blocks(context):
    context.blocks = context.daemon.source.table.blocks
    changed = dataclasses.replace(context.configuration, generation=2, shifts=())
    context.daemon.source.accept_configuration(changed, None)


@then("the lookup daemon serves generation 2 with the same block table")
def step_same_table(context):
    table = context.daemon.source.table
    assert table.generation == 2 and table.blocks is context.blocks


@when("the lookup daemon leaves while a client looks up")
def step_leaves(context):
    leaving = eventlet.spawn(context.daemon.leave)
    eventlet.sleep(0)
    context.state_at_lookup = context.viewer.state
    send(context, "GET", "/v1/lookup?service=catalogue&client=10.0.0.1")
    leaving.wait()


@then("the client was answered, the leaving state was published and the port is closed")
def step_stopped_cleanly(context):
    assert context.status == 200
    assert context.state_at_lookup is records.LifecycleState.LEAVING and context.viewer.polls == 1
    probe = socket.socket()
    try:
        assert probe.connect_ex(context.address) != 0
    finally:
        probe.close()


@given("a signed route of {region}")
def step_signed_route(context, region):
    context.key = builders.SHARED_KEY
    context.now_unix = 1_700_000_000
    context.expiry = routes.choose_expiry(context.now_unix)
    context.route = routes.mint_route(context.key, region, context.expiry)


@when("the route is {change}")
def step_change_route(context, change):
    later = str(context.expiry + 86_400)
    changed = {
        "unchanged": context.route,
        "renamed to south": context.route.replace("north", "south"),
        "extended by a day": context.route.replace(str(context.expiry), later),
        "signed with another key": routes.mint_route(b"another key", "north", context.expiry),
        "read after its expiry": context.route,
        "truncated": context.route[:-1],
        "missing": None,
    }
    context.now_unix += 86_400 * (change == "read after its expiry")
    context.route = changed[change]


@then("the route names {region}")
def step_route_names(context, region):
    region_id = routes.verify_route(context.key, context.route, context.now_unix)
    assert region_id == (None if region == "none" else region), region_id
