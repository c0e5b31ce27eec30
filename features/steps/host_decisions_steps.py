"""Steps of host_decisions.feature."""

import dataclasses
import random
import time

from behave import given, then, when

from features import host_builders
from skylarksill import retries
from skylarksill.host import (
    belief,
    placement,
    records,
    routes,
    steering,
)

WORK_S = 0.2


@given('routes with the prefixes "{first}", "{second}" and "{third}"')
def step_routes(context, first, second, third):
    context.route_table = routes.RouteTable(
        [host_builders.build_route(prefix=prefix) for prefix in (first, second, third)]
    )


@given("a route whose prefix has {count:d} slashes")
def step_deep_route(context, count):
    context.prefix = "/" * count
    context.route_table = routes.RouteTable([host_builders.build_route(prefix=context.prefix)])


@then(
    "a path of {first:d} slashes is routed within {first_ms:g} ms, and one of {second:d} within"
    " {second_ms:g} ms"
)
def step_routing_time(context, first, first_ms, second, second_ms):
    for count, most_ms in ((first, first_ms), (second, second_ms)):
        path = "/" * count
        started_at = time.process_time()
        route = context.route_table.find("shop.example", path)
        taken_ms = 1000 * (time.process_time() - started_at)
        assert (route is not None) == (count >= len(context.prefix))
        assert taken_ms <= most_ms, (count, taken_ms)


@then('the path "{path}" is routed by "{prefix}"')
def step_route_found(context, path, prefix):
    assert context.route_table.find("shop.example", path).prefix == prefix


@then("a path of another site matches no route")
def step_no_route(context):
    assert context.route_table.find("other.example", "/a/b") is None


@given("a route that is split {first:d} to {second:d}")
def step_split(context, first, second):
    shares = (records.Share("big", first), records.Share("small", second))
    context.route = host_builders.build_route(shares=shares)


@then("any {count:d} consecutive requests give the smaller part {low:d} to {high:d}")
def step_split_share(context, count, low, high):
    table = routes.SplitTable()
    chosen = [table.choose(context.route) for _ in range(10 * count)]
    for start in range(len(chosen) - count):
        assert low <= chosen[start : start + count].count("small") <= high


@given("a belief with configuration {generation:d}")
def step_belief_configuration(context, generation):
    context.belief = belief.Belief()
    context.belief.accept_configuration(host_builders.build_configuration(generation))


@when("configuration {generation:d} arrives")
def step_configuration_arrives(context, generation):
    context.belief.accept_configuration(host_builders.build_configuration(generation))


@then("configuration {generation:d} is in force")
def step_in_force(context, generation):
    assert context.belief.configuration.generation == generation


@given('a belief with upstream "{name}"')
def step_belief_upstream(context, name):
    context.belief = belief.Belief()
    context.belief.set_upstream(host_builders.build_upstream(name))


@when("the store is lost and regained at {now:g} s")
def step_store_outage(context, now):
    context.belief.record_outage()
    context.belief.record_contact(now)


@when('the entry of "{name}" is removed at {now:g} s')
def step_entry_removed(context, name, now):
    context.belief.remove_upstream(name, now)


@when('the entry of "{name}" is added again')
def step_entry_added(context, name):
    context.belief.set_upstream(host_builders.build_upstream(name))


@then('"{name}" is not known')
def step_not_known(context, name):
    assert name not in context.belief.upstreams


@then('"{name}" is still known at {first:g} s and not at {second:g} s')
def step_known_until(context, name, first, second):
    context.belief.expire_lapsed(first)
    assert name in context.belief.upstreams
    context.belief.expire_lapsed(second)
    assert name not in context.belief.upstreams


@then('"{name}" is still known at {now:g} s')
def step_known(context, name, now):
    context.belief.expire_lapsed(now)
    assert name in context.belief.upstreams


@given("{count:d} hosts that see a cold upstream")
def step_hosts_with_cold(context, count):
    upstream = host_builders.build_upstream("a", cold_s=3.0)
    context.fleets = [host_builders.build_fleet([upstream]) for _ in range(count)]
    ids = [f"h{index}" for index in range(count)]
    for own_id, upstream_fleet in zip(ids, context.fleets, strict=True):
        upstream_fleet.view = host_builders.build_view(own_id, ids)


@then("together they send it at most {count:d} requests in any second")
def step_cold_rate(context, count):
    rng = random.Random(1)
    sent = []
    for step in range(2_000):
        now = step * 0.001
        upstream_fleet = rng.choice(context.fleets)
        if upstream_fleet.admit_send(upstream_fleet.find("a"), now):
            sent.append(now)
    assert len(sent) > count
    for start in sent:
        assert sum(start <= at < start + 1.0 for at in sent) <= count


@given("a host of another region that sees a cold upstream")
def step_other_region_cold(context):
    upstream = host_builders.build_upstream("a", cold_s=3.0)
    context.steering = _make_steering(host_builders.build_fleet([upstream], "south"))


@then("it places no request on that upstream")
def step_places_nothing(context):
    choice = context.steering.choose(host_builders.build_query(), 0.1)
    assert isinstance(choice, placement.Rejection)


@given("a draining, an evacuated and a serving upstream")
def step_upstream_states(context):
    draining = records.UpstreamState.DRAINING
    upstreams = {
        "draining": host_builders.build_upstream("draining", state=draining),
        "evacuated": host_builders.build_upstream("evacuated", zone="north-b"),
        "serving": host_builders.build_upstream("serving", slots=100),
    }
    upstream_fleet = host_builders.build_fleet([])
    services = {"catalogue": host_builders.build_service()}
    upstream_fleet.apply(upstreams, services, {"north-b"}, host_builders.BOUNDS, 0.0)
    context.steering = _make_steering(upstream_fleet)


@then("{count:d} requests all go to the serving one")
def step_serving_only(context, count):
    for index in range(count):
        query = host_builders.build_query(b"%d" % index)
        assert context.steering.choose(query, 0.1).upstream.record.upstream_id == "serving"


@given("{hosts:d} hosts that see {count:d} upstreams")
def step_hosts(context, hosts, count):
    names = [f"u{index}" for index in range(count)]
    context.steerings = []
    for _ in range(hosts):
        random.shuffle(names)
        upstreams = [host_builders.build_upstream(name) for name in names]
        context.steerings.append(_make_steering(host_builders.build_fleet(upstreams)))


@then("each of {count:d} objects is placed on the same upstream by all of them")
def step_same_upstream(context, count):
    for index in range(count):
        query = host_builders.build_query(b"%d" % index)
        chosen = {item.choose(query, 0.1).upstream.record.upstream_id for item in context.steerings}
        assert len(chosen) == 1, chosen


@given("a host that sees {count:d} upstreams")
def step_host(context, count):
    upstreams = [host_builders.build_upstream(f"u{index}") for index in range(count)]
    context.fleet = host_builders.build_fleet(upstreams)
    context.steering = _make_steering(context.fleet)
    context.query = host_builders.build_query(b"object")
    for state in context.fleet:
        state.apply_report(records.LoadReport(0, 0, 4, 1.0), 0.0)
    _add_service_time(context, 0.1)


@given("a host among {hosts:d} that sees {count:d} upstreams with {most:d} connections")
def step_host_among(context, hosts, count, most):
    upstreams = [host_builders.build_upstream(f"u{index}", slots=50) for index in range(count)]
    context.fleet = host_builders.build_fleet(upstreams)
    context.fleet.view = host_builders.build_view("h0", [f"h{index}" for index in range(hosts)])
    context.steering = _make_steering(context.fleet)
    assert host_builders.build_service().max_connections == most


@then("it has at most {most:d} requests in flight at the upstream")
def step_in_flight_limit(context, most):
    placed = 0
    for _ in range(20):
        choice = context.steering.choose(host_builders.build_query(), 1.0)
        if isinstance(choice, placement.Placement):
            choice.upstream.record_send(1.0)
            placed += 1
    assert placed == most, placed


@when("the preferred upstream of an object reports {count:d} running and waiting")
def step_preferred_full(context, count):
    preferred = context.fleet.rank("catalogue", ("north",), b"object")[0]
    preferred.apply_report(records.LoadReport(4, count - 4, 4, 1.0), 1.0)


@then("{count:d} requests for the object use at most {most:d} upstreams")
def step_few_upstreams(context, count, most):
    chosen = set()
    for _ in range(count):
        choice = context.steering.choose(context.query, 1.0)
        if isinstance(choice, placement.Placement):
            choice.upstream.record_send(1.0)
            chosen.add(choice.upstream.record.upstream_id)
    assert 1 <= len(chosen) <= most, chosen


@when("all upstreams report {count:d} running and waiting")
def step_all_full(context, count):
    for state in context.fleet:
        state.apply_report(records.LoadReport(4, count - 4, 4, 1.0), 1.0)


@when(
    "the preferred upstream of an object sheds a request and reports {count:d} running and waiting"
)
def step_preferred_sheds(context, count):
    choice = context.steering.choose(context.query, 1.0)
    report = records.LoadReport(min(4, count), max(0, count - 4), 4, 1.0)
    context.steering.record_shed(choice, report, 1.0)


@when(
    "{rate:d} requests a second arrive for {seconds:d} s"
    " and each upstream sheds {sheds:d} of 100 with slots to spare"
)
def step_random_sheds(context, rate, seconds, sheds):
    rng = random.Random(5)
    running = []
    context.rejections = []
    for number in range(rate * seconds):
        now = number / rate
        for _, query, choice in [item for item in running if item[0] <= now]:
            load = records.LoadReport(choice.upstream.in_flight, 0, 4, 1.0)
            context.steering.record_success(query, choice, load, WORK_S, now)
            choice.upstream.record_end(True, now)
        running = [item for item in running if item[0] > now]
        query = host_builders.build_query(b"object-%d" % rng.randrange(24), rank=1)
        choice = context.steering.choose(query, now)
        if isinstance(choice, placement.Rejection):
            context.rejections.append((now, choice))
            continue
        choice.upstream.record_send(now)
        if rng.randrange(100) >= sheds:
            running.append((now + WORK_S, query, choice))
            continue
        load = records.LoadReport(choice.upstream.in_flight - 1, 0, 4, 1.0)
        context.steering.record_shed(choice, load, now)
        choice.upstream.record_end(False, now)


@then("no request is rejected before it was offered to an upstream")
def step_no_rejection(context):
    assert not context.rejections, (len(context.rejections), context.rejections[0])


@then("a request is rejected with a retry delay above 0 s")
def step_rejected(context):
    choice = context.steering.choose(context.query, 1.0)
    assert isinstance(choice, placement.Rejection) and choice.retry_after_s > 0.0, choice


@then("a request of priority rank 0 is placed and one of rank 2 is rejected")
def step_ranks(context):
    urgent = context.steering.choose(dataclasses.replace(context.query, rank=0), 1.0)
    third = context.steering.choose(dataclasses.replace(context.query, rank=2), 1.0)
    assert isinstance(urgent, placement.Placement), urgent
    assert isinstance(third, placement.Rejection), third


@when("the preferred upstream of an object has answered nothing for {seconds:g} s")
def step_silent(context, seconds):
    context.preferred = context.fleet.rank("catalogue", ("north",), b"object")[0]
    context.preferred.record_send(0.0)
    context.now = seconds


@then("a request for the object goes to the other one")
def step_other_upstream(context):
    choice = context.steering.choose(context.query, context.now)
    assert choice.upstream is not context.preferred


@then("{count:d} requests for the object use at most {most:d} upstreams, and not the preferred one")
def step_few_others(context, count, most):
    preferred = context.fleet.rank("catalogue", ("north",), b"object")[0]
    step_few_upstreams(context, count, most)
    assert preferred.in_flight == 0


@when("the preferred upstream of an object fails {count:d} times")
def step_preferred_fails(context, count):
    preferred = context.fleet.rank("catalogue", ("north",), b"object")[0]
    for _ in range(count):
        preferred.record_result(True, 1.0)


@when("the preferred upstream of an object takes {factor:g} times as long twice")
def step_preferred_slow(context, factor):
    preferred = context.fleet.rank("catalogue", ("north",), b"object")[0]
    for _ in range(2):
        preferred.record_slowness(factor, 1.0)


@then("a request for the object is rejected")
def step_object_rejected(context):
    choice = context.steering.choose(context.query, 1.0)
    assert isinstance(choice, placement.Rejection) and choice.reason == "busy", choice


@given("a host of a region with few upstreams whose peers serve {share:g} of the objects elsewhere")
def step_peers_share(context, share):
    upstreams = [host_builders.build_upstream("a")]
    upstreams += [host_builders.build_upstream(f"b{index}", "south") for index in range(5)]
    context.fleet = host_builders.build_fleet(upstreams)
    context.steering = steering.Steering(context.fleet, 0.15, random.Random(1))
    context.steering.set_peer_averages({"catalogue": share})


@then("its initial spill share is {share:g}")
def step_initial_share(context, share):
    context.steering.choose(host_builders.build_query(b"object"), 1.0)
    assert context.steering.list_spill_shares() == {"catalogue": share}


@then("{hosts:d} hosts with {count:d} requests each retry at most {most:d} times in 10 s")
def step_budget(context, hosts, count, most):
    bounds = host_builders.BOUNDS
    total = 0
    for _ in range(hosts):
        budget = retries.RetryBudget(bounds.retry_ratio, 10.0, bounds.retry_extra / hosts)
        for _ in range(count):
            budget.count_request(1.0)
        total += sum(budget.take_retry(1.0 + index * 0.05) for index in range(100))
    assert 0 < total <= most, total


def _make_steering(upstream_fleet):
    return steering.Steering(upstream_fleet, host_builders.BOUNDS.max_shift, random.Random(1))


def _add_service_time(context, seconds):
    for is_known in (True, False):
        context.steering.service_times.add_sample(
            context.query.route, "catalogue", is_known, seconds
        )
