"""Steps of host_restarted_upstreams.feature."""

import dataclasses
import time

import eventlet
from behave import given, then, when

from features import host_builders, host_world
from skylarksill.host import restarts
from standins import platformdata, worker

PAUSE_S = 500.0


def _build_entry(incarnation, upstream_id="a", **changes):
    changes = {"incarnation": incarnation, "cold_s": 3.0, **changes}
    return host_builders.build_upstream(upstream_id, **changes)


def _apply_entries(context, now, *upstreams):
    by_id = {upstream.upstream_id: upstream for upstream in upstreams}
    services = {"catalogue": host_builders.build_service()}
    context.fleet.apply(by_id, services, (), host_builders.BOUNDS, now)


def _return_upstream(context, now):
    state = context.fleet.find("a")
    # The entry of a new incarnation shows that the upstream runs; its port may still be closed.
    context.fleet.mark_unreachable(state, now)
    context.fleet.mark_reachable(state, now)


def _lose_entry(context, incarnation, now):
    _apply_entries(context, now)
    _apply_entries(context, now, _build_entry(incarnation))


_NEWS = {
    "the upstream accepts connections": _return_upstream,
    **{
        f"the entry of incarnation {number} comes": (
            lambda context, now, number=number: _apply_entries(context, now, _build_entry(number))
        )
        for number in (1, 2, 3)
    },
    **{
        f"the entry goes and incarnation {number} comes": (
            lambda context, now, number=number: _lose_entry(context, number, now)
        )
        for number in (2, 3)
    },
    "incarnation 2 comes at another address": lambda context, now: _apply_entries(
        context, now, _build_entry(2, address=("127.0.0.1", 2))
    ),
}


@given('a host that knows upstream "a"')
def step_host_knows(context):
    context.fleet = host_builders.build_fleet([_build_entry(1, cold_s=0.0)], now=5.0)


@given('a host that knows incarnation {incarnation:d} of upstream "a"')
def step_host_knows_incarnation(context, incarnation):
    context.fleet = host_builders.build_fleet([_build_entry(incarnation, cold_s=0.0)], now=5.0)


@given('a host that found upstream "a" unreachable at {at:g} s')
def step_unreachable(context, at):
    step_host_knows(context)
    context.fleet.mark_unreachable(context.fleet.find("a"), at)
    context.sent_times = []


@given('a host that found upstream "a" unreachable at {at:g} s and reachable at {back:g} s')
def step_returned(context, at, back):
    step_unreachable(context, at)
    context.former = context.fleet.find("a")
    context.fleet.mark_reachable(context.former, back)
    context.returned_at = back


@when("{news} at {now:g} s and the host sends what it may")
def step_news(context, news, now):
    _NEWS[news](context, now)
    _send_all(context, now)


def _send_all(context, now):
    state = context.fleet.find("a")
    while context.fleet.admit_send(state, now):
        context.sent_times.append(now)
        assert len(context.sent_times) < 1_000, "no limit"


@then("the host has sent {count:d} requests by {now:g} s and sends {more:d} more at {later:g} s")
def step_sent(context, count, now, more, later):
    _send_all(context, now)
    assert len(context.sent_times) == count, context.sent_times
    _send_all(context, later)
    assert len(context.sent_times) == count + more, context.sent_times


@when('the entry of incarnation {incarnation:d} of upstream "{name}" comes without a cold time')
def step_entry_without_cold_time(context, incarnation, name):
    entries = {"a": _build_entry(1, cold_s=0.0)}
    entries[name] = _build_entry(incarnation, name, cold_s=0.0)
    _apply_entries(context, 10.0, *entries.values())


@when('the entries of incarnations 2, 1, 2 and 1 of "a" come 0.1 s apart')
def step_alternating(context):
    for index, incarnation in enumerate((2, 1, 2, 1)):
        _apply_entries(context, 9.7 + 0.1 * index, _build_entry(incarnation, cold_s=0.0))


@then('upstream "{name}" is {expected} for {length_s:g} s')
def step_state_lasts(context, name, expected, length_s):
    state = context.fleet.find(name)
    for now in (10.01, 9.99 - 0.3 + length_s):
        assert state.is_cold(now) == (expected == "cold"), now
    assert not state.is_cold(10.01 + length_s)


@when("an answer at {at:g} s {demand}")
def step_demand(context, at, demand):
    state = context.fleet.find("a")
    context.demand = demand
    match demand:
        case "states a rate limit":
            context.fleet.set_rate_limit(state, 2.0, at)
        case "asks for a pause":
            context.fleet.pause(state, PAUSE_S, at)
        case "says that it leaves":
            context.fleet.mark_leaving(state, at)
        case _:
            raise ValueError(demand)


@when("the entry of incarnation {incarnation:d} comes at {now:g} s")
def step_entry(context, incarnation, now):
    context.named_at = now
    _apply_entries(context, now, _build_entry(incarnation))


@then("what it asked for {fate}, and 10 s later it gets requests")
def step_demand_fate(context, fate):
    state = context.fleet.find("a")
    assert state.record.incarnation == 2
    is_limit = context.demand == "states a rate limit"
    assert (state.rate_limit is not None) == (is_limit and fate == "holds")
    is_paused = context.fleet.compute_wait_s(state, context.named_at) > 0.0
    assert is_paused == (not is_limit and fate == "holds")
    assert context.fleet.is_available(state)
    assert context.fleet.compute_wait_s(state, context.named_at + 10.0) == 0.0


@when("a restart shows at {at:g} s, as {sign}")
def step_sign(context, sign, at):
    state = context.fleet.find("a")
    match sign:
        case "the upstream accepts connections":
            _return_upstream(context, at)
        case "the upstream ends a connection":
            context.fleet.suspect_restart(state, at)
        case "a peer reports a restart":
            report = restarts.RestartReport("a", 1, at, at - 1.0)
            assert context.fleet.apply_restart_report(report, at)
        case _:
            raise ValueError(sign)


@when("the entry of incarnation 2 comes at {now:g} s and says that it is cold for {cold_s:g} s")
def step_entry_with_cold_time(context, now, cold_s):
    _apply_entries(context, now, _build_entry(2, cold_s=cold_s))


@when("the host gets no other answer")
def step_no_answer(context):
    assert context.fleet.find("a").restarted_at is not None


@when("the host gets an answer on the connection opened at {opened_at:g} s")
def step_older_answer(context, opened_at):
    context.fleet.find("a").record_alive(opened_at, 10.3)


@when("its entry goes and comes back at ports 2, 1, 2, 1, 2 and 1 in turn")
def step_other_ports(context):
    for index, port in enumerate((2, 1) * 3):
        _apply_entries(context, 10.0 + index)
        _apply_entries(context, 10.5 + index, _build_entry(1, address=("127.0.0.1", port)))
        _apply_entries(context, 10.6 + index, _build_entry(1, address=("127.0.0.1", 3 - port)))
        _apply_entries(context, 10.7 + index, _build_entry(1, address=("127.0.0.1", port)))


@then('the host knows upstream "a" at port {port:d}')
def step_port(context, port):
    assert context.fleet.find("a").record.address == ("127.0.0.1", port)


@when(
    "it reads at {at:g} s the answer to a request sent at {sent_at:g} s on a connection opened at "
    "{opened_at:g} s"
)
def step_late_answer(context, at, sent_at, opened_at):
    context.fleet.find("a").record_alive(opened_at, sent_at)


@when("the host was frozen until {at:g} s")
def step_thaw(context, at):
    context.thawed_at = at
    context.fleet.recheck_all(at)


@then('it asks on a connection opened at {opened_at:g} s whether upstream "a" is cold')
def step_asks(context, opened_at):
    state = context.fleet.find("a")
    target = context.fleet.find_health_target(state, opened_at, context.thawed_at)
    assert target == platformdata.HEALTH_PATH.encode()


@then("a connection opened at {opened_at:g} s leads to incarnation {incarnation:d}")
def step_connection_leads(context, opened_at, incarnation):
    state = context.fleet.find_process(context.former, opened_at)
    assert state.record.incarnation == incarnation, state.record


@when('{count:d} requests are in flight as the entry of incarnation 2 of "a" comes')
def step_in_flight(context, count):
    context.former = context.fleet.find("a")
    for _ in range(count):
        context.former.record_send(9.9)
    assert not context.fleet.has_connection_capacity(context.former)
    _apply_entries(context, 10.0, _build_entry(2))


@then('the host has no connection left for "a" until one ends')
def step_no_connection(context):
    state = context.fleet.find("a")
    assert state is not context.former and not context.fleet.has_connection_capacity(state)
    context.former.record_end(False, 10.1)
    assert context.fleet.has_connection_capacity(state)


@when('a peer reports a restart of incarnation {incarnation:d} of upstream "a"')
def step_report_of_incarnation(context, incarnation):
    report = restarts.RestartReport("a", incarnation, 9.8, 9.0)
    context.fleet.apply_restart_report(report, 9.9)


@when("it got an answer at {at:g} s on a connection opened at {opened_at:g} s")
def step_answer(context, at, opened_at):
    context.fleet.find("a").record_alive(opened_at, at)


@given('a host whose only upstream "a" is unreachable')
def step_only_unreachable(context):
    context.world = host_world.HostWorld(("a",))
    context.add_cleanup(context.world.stop)
    context.world.workers["a"].shut_down()
    assert _send_request(context.world) in (502, 503)
    assert context.world.fleet.find("a").is_unreachable


@when("the upstream accepts connections again")
def step_accepts_again(context):
    address = context.world.workers["a"].address
    context.world.workers["a"] = worker.Worker("a", address=address)
    state = context.world.fleet.find("a")
    host_world.wait_until(3.0, lambda: not state.is_unreachable)


@then('the host reports a restart of "a" to its peers')
def step_reported(context):
    (report,) = context.world.forwarder.restart_reports.list_recent(time.monotonic())
    assert report.upstream_id == "a"
    assert report.at >= context.world.fleet.find("a").cold_until - 3.0 - 0.001


def _send_request(world):
    client = world.connect()
    try:
        client.sendall(platformdata.format_request("GET /read/1", "lost"))
        return platformdata.AnswerReader(client).read()[0]
    finally:
        client.close()


@given("a running upstream that {condition}")
def step_upstream(context, condition):
    context.worker = worker.Worker("b" if "another one" in condition else "a")
    match condition:
        case "is cold":
            context.worker.cold_until = time.monotonic() + 60.0
        case "doesn't answer health checks":
            context.worker.answers_health = False
        case "is warm" | "is another one at the same address":
            pass
        case _:
            raise ValueError(condition)


@when("a host starts and {count:d} requests arrive at once")
def step_start_host(context, count):
    _send_to_new_host(context, 0.0, count)


@given("its service's upstreams are cold for {seconds:g} s")
def step_cold_time(context, seconds):
    context.cold_s = seconds


def _build_cold_service(context):
    return dataclasses.replace(host_builders.build_service(), cold_s=context.cold_s)


@then("another host that {knows} suspects the upstream {suspects}")
def step_told_cold(context, knows, suspects):
    now = time.monotonic()
    fleet = host_builders.build_fleet([_build_entry(1, cold_s=0.0)], now=now - 100.0)
    fleet.apply(
        {"a": _build_entry(1, cold_s=0.0)},
        {"catalogue": _build_cold_service(context)},
        (),
        host_builders.BOUNDS,
        now - 100.0,
    )
    state = fleet.find("a")
    match knows:
        case "had an answer 1 s before":
            state.record_alive(now - 50.0, now - 1.0)
        case "had an answer 11 s before":
            state.record_alive(now - 50.0, now - 11.0)
        case "has got answers of one process for 20 s":
            state.record_alive(now - 20.0, now - 20.0)
            state.record_alive(now - 20.0, now)
        case _:
            raise ValueError(knows)
    reports = context.world.forwarder.restart_reports.list_recent(now)
    for report in reports:
        fleet.apply_restart_report(report, now)
    assert state.is_cold(now) == (suspects == "at once"), reports


@then("{count:d} messages have arrived there")
def step_arrivals(context, count):
    assert len(context.worker.heads) == count, context.worker.heads


@when("a host that started {age_s:g} s ago gets {count:d} requests at once")
def step_send_later(context, age_s, count):
    _send_to_new_host(context, age_s, count)


def _send_to_new_host(context, age_s, count):
    world = host_world.HostWorld(("a",), {"a": context.worker}, listed_at=time.monotonic() - age_s)
    context.world = world
    context.add_cleanup(world.stop)
    state = world.fleet.find("a")
    state.record = dataclasses.replace(state.record, slots=2 * count)
    if hasattr(context, "cold_s"):
        world.fleet._services = {"catalogue": _build_cold_service(context)}
    threads = [eventlet.spawn(_send_request, world) for _ in range(count)]
    for thread in threads:
        thread.wait()


@then("the upstream runs {count:d} of them after {checks:d} health checks")
def step_runs(context, count, checks):
    assert context.worker.health_checks == checks, context.worker.health_checks
    assert len(context.worker.runs) == count, len(context.worker.runs)


@when("the upstream {event} while the host is frozen")
def step_frozen(context, event):
    assert event in ("runs on", "starts again")
    if event == "starts again":
        address = context.worker.address
        context.worker.shut_down()
        # Not told to the host, as if it had closed the connection itself.
        context.world.pool.release_idle()
        context.worker = worker.Worker("a", address=address)
        context.add_cleanup(context.worker.stop)
    context.world.fleet.recheck_all(time.monotonic())


@when("{count:d} further requests arrive one by one")
def step_further_requests(context, count):
    for _ in range(count):
        assert _send_request(context.world) == 200


@then("the upstream has run {count:d} requests after {checks:d} health checks")
def step_has_run(context, count, checks):
    step_runs(context, count, checks)


@given('a report at {at:g} s that "a" ended a connection and had answered at {last:g} s')
def step_known_report(context, at, last):
    context.reports = restarts.RestartReports()
    assert context.reports.add(restarts.RestartReport("a", 1, at, last))


@when('another host reports at {at:g} s that "a" is back and refused a connection at {last:g} s')
def step_second_report(context, at, last):
    context.is_news = context.reports.add(restarts.RestartReport("a", 1, at, last))


@then("that is {expected}")
def step_is_news(context, expected):
    assert context.is_news == (expected == "news")


@given('a host program that knows upstream "a" and has run for {age_s:g} s')
def step_program(context, age_s):
    context.host = host_builders.build_program(context)
    context.now = time.monotonic()
    upstream = _build_entry(1, cold_s=0.0)
    services = {"catalogue": host_builders.build_service()}
    arguments = ({"a": upstream}, services, (), host_builders.BOUNDS, context.now - age_s)
    context.host.fleet.apply(*arguments)
    context.host._update_view()
    assert not _asks_health(context)


def _asks_health(context):
    state = context.host.fleet.find("a")
    return context.host.fleet.find_health_target(state, context.now, context.now) is not None


@when("it runs on after {seconds:g} s without processor time")
def step_run_on(context, seconds):
    # What follows a freeze in the store has tests of its own.
    context.host._register = lambda: None
    context.host._settling._seen_at -= seconds
    context.host._update_view()


@then('it asks whether upstream "a" is cold')
def step_asks_again(context):
    assert _asks_health(context)
