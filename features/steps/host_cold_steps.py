"""Steps of host_cold.feature."""

import dataclasses
import time

import eventlet
from behave import given, then, when

from features import host_builders, host_world
from skylarksill.host import _peercodec, belief, relay, restarts
from standins import platformdata, worker

WINDOW_S = 1.0
# Less than the deadline of the requests, and more than a window of the limit.
LATE_CONNECTION_S = 1.4


def _start_hosts(context, count, routes=None):
    """Starts hosts that share one upstream and know each other."""
    context.workers = {"a": worker.Worker("a")}
    names = [f"h{index}" for index in range(count)]
    context.hosts = []
    for name in names:
        host = host_world.HostWorld(("a",), context.workers, routes)
        host.fleet.view = host_builders.build_view(name, names)
        context.add_cleanup(host.stop)
        context.hosts.append(host)


def _send(host, request_id):
    """Sends one request on a connection of its own; returns the status of the answer."""
    client = host.connect()
    try:
        client.sendall(platformdata.format_request("GET /read/1", request_id))
        return platformdata.AnswerReader(client).read()[0]
    finally:
        client.close()


def _record_runs(context):
    context.run_times = []
    context.workers["a"].on_run = lambda request_id: context.run_times.append(time.monotonic())


def _spawn_all(jobs):
    """Runs (function, *arguments) jobs concurrently and waits until all have ended."""
    threads = [eventlet.spawn(*job) for job in jobs]
    for thread in threads:
        thread.wait()


@given(
    '{count:d} hosts with kept connections to upstream "a", which permits 21 a second while cold'
)
def step_connected_hosts(context, count):
    _start_hosts(context, count)
    for host in context.hosts:
        assert _send(host, "warm-up") == 200


@when("the upstream restarts under its id, unknown to the store")
def step_restart(context):
    address = context.workers["a"].address
    context.workers["a"].shut_down()
    eventlet.sleep(0.05)
    context.workers["a"] = worker.Worker("a", address=address)
    _record_runs(context)


@when("the upstream closes one of {count:d} connections of each host")
def step_close_one(context, count):
    item = context.workers["a"]
    item.work_s = 0.1
    for host in context.hosts:
        _spawn_all([(_send, host, f"open-{index}") for index in range(count)])
    item.work_s = 0.0
    item.close_newest()
    eventlet.sleep(0.05)
    _record_runs(context)


@when("each host gets {count:d} requests within a second")
def step_send_many(context, count):
    def send_in_turn(host, name):
        for index in range(count):
            _send(host, f"{name}-{index}")

    begun = time.monotonic()
    _spawn_all([(send_in_turn, host, f"h{i}") for i, host in enumerate(context.hosts)])
    assert time.monotonic() - begun < 2.0


@then("the upstream runs at most {most:d} of them within any second")
def step_most_runs(context, most):
    times = context.run_times
    counts = [sum(begin <= at <= begin + WINDOW_S for at in times) for begin in times]
    assert 0 < max(counts) <= most, max(counts)


@then("the upstream runs {count:d} of them")
def step_all_runs(context, count):
    assert len(context.run_times) == count, len(context.run_times)


@given('a host with a cold upstream "a" that permits 21 requests a second')
def step_cold_host(context):
    route = host_builders.build_route(timeout_s=4.0, target_latency_s=3.0)
    _start_hosts(context, 1, (route,))
    _record_runs(context)
    host = context.hosts[0]
    host.fleet.mark_cold(host.fleet.find("a"), 60.0, time.monotonic())
    context.workers["a"].work_s = 0.0


@when("connections stay unopened while {count:d} requests arrive in each of two seconds")
def step_late_connections(context, count):
    host = context.hosts[0]
    released = eventlet.event.Event()
    open_connection = host.pool.open

    def open_late(upstream, timeout_s):
        released.wait()
        return open_connection(upstream, timeout_s)

    host.pool.open = open_late
    state = host.fleet.find("a")
    state.record = dataclasses.replace(state.record, slots=100)
    threads = []
    for second in range(2):
        threads += [eventlet.spawn(_send, host, f"s{second}-{index}") for index in range(count)]
        eventlet.sleep(LATE_CONNECTION_S - 0.1 - second)
    released.send()
    for thread in threads:
        thread.wait()


@given('a host that sent {count:d} requests to upstream "a" at {now:g} s')
def step_sent_before(context, count, now):
    context.upstream = host_builders.build_upstream("a")
    context.fleet = host_builders.build_fleet([context.upstream])
    for _ in range(count):
        assert context.fleet.admit_send(context.fleet.find("a"), now)


@when("the entry of the same incarnation states at {now:g} s that it is cold for {cold_s:g} s")
def step_colder_entry(context, now, cold_s):
    upstream = dataclasses.replace(context.upstream, cold_s=cold_s)
    services = {"catalogue": host_builders.build_service()}
    context.fleet.apply({"a": upstream}, services, (), host_builders.BOUNDS, now)


@then("it gets nothing from the host at {early:g} s, then {count:d} requests at {late:g} s")
def step_may_send(context, early, count, late):
    state = context.fleet.find("a")
    assert not context.fleet.admit_send(state, early)
    admitted = sum(context.fleet.admit_send(state, late) for _ in range(count + 20))
    assert admitted == count, admitted


@given("a host that learns of evacuations from {origin}")
def step_origin(context, origin):
    context.origin = origin
    context.belief = belief.Belief()
    upstream = host_builders.build_upstream("a")
    context.belief.replace_upstreams({"a": upstream}, 0.0)
    context.fleet = host_builders.build_fleet([upstream])


@when('an evacuation of "{zone}" begins and ends between two updates of the host')
def step_short_evacuation(context, zone):
    now = time.monotonic()
    if context.origin == "the store":
        context.belief.replace_evacuated({zone}, now)
        context.belief.replace_evacuated(set(), now)
    else:
        source = belief.Belief()
        source.accept_configuration(host_builders.build_configuration())
        source.replace_upstreams(context.belief.upstreams, now)
        source.replace_evacuated({zone}, now - 6.0)
        source.replace_evacuated(set(), now - 1.0)
        update = relay.make_update(source, relay.UNKNOWN_SEQUENCE, 0, False, now)
        relay.apply_update(context.belief, update, now)
    host_builders.apply_belief(context.fleet, context.belief, now)


@then('the upstreams of "{zone}" are cold for the host')
def step_zone_cold(context, zone):
    now = time.monotonic()
    states = [state for state in context.fleet if state.record.zone == zone]
    assert states and all(state.is_cold(now) for state in states)


@given('a host that has never sent to upstream "a"')
def step_inexperienced(context):
    context.fleet = host_builders.build_fleet([host_builders.build_upstream("a")])


@given('a host that got an answer of upstream "a" at {at:g} s')
def step_experienced(context, at):
    step_inexperienced(context)
    context.fleet.find("a").record_alive(8.0, at)


@when('a peer reports at {at:g} s that "a" ended a connection and had answered at {last:g} s')
def step_report(context, at, last):
    digest = _peercodec.Digest([], [], [], [], [restarts.RestartReport("a", 1, at, last)])
    decoded = _peercodec.decode_digest(_peercodec.encode_digest(digest, at + 0.1), at + 0.1)
    reports = restarts.RestartReports()
    (report,) = decoded.restart_reports
    assert reports.add(report) and not reports.add(report)
    assert reports.list_recent(at + 0.2) == [report]
    context.fleet.apply_restart_report(report, at + 0.1)


@then("the upstream counts as {state} for requests on new connections at {now:g} s")
def step_state(context, state, now):
    assert context.fleet.find("a").is_cold(now) == (state == "cold")
