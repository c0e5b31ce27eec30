"""Steps of host_object_copies.feature."""

import dataclasses
import random

from behave import given, then, when

from features import host_builders
from skylarksill.host import objectcopies, placement, records, steering

SERVICE = "catalogue"
SLOTS = 4
WARM_S = 0.1
STEP_S = 0.25
POPULAR, OTHER = b"popular", b"other"


@given("a host that sees {count:d} upstreams, on which cold runs take {factor:g} times as long")
def step_host(context, count, factor):
    upstreams = [host_builders.build_upstream(f"u{index}", slots=SLOTS) for index in range(count)]
    context.fleet = host_builders.build_fleet(upstreams)
    context.steering = steering.Steering(context.fleet, 0.15, random.Random(1))
    context.route = host_builders.build_route(is_sticky=True)
    context.now = 1.0
    context.rng = random.Random(4)
    context.counts = []
    for index in range(40):
        is_known = index % 2 == 0
        context.steering.service_times.add_sample(
            context.route, SERVICE, is_known, WARM_S if is_known else factor * WARM_S
        )


@given("it is one of {count:d} hosts that carry the region")
def step_carriers(context, count):
    context.steering.set_carrier_count(count)


@given("its clients ask for {count:d} other objects")
def step_other_objects(context, count):
    for index in range(count):
        context.steering.choose(_build_query(context, b"%d" % index), context.now)


@when("an object gets {rate:d} requests a second for {seconds:d} s")
def step_requests(context, rate, seconds):
    _send(context, POPULAR, rate, seconds)


@when("another object gets {rate:d} requests a second for {seconds:d} s")
def step_moves(context, rate, seconds):
    # The first one still gets a request now and then.
    for _ in range(seconds):
        _send(context, OTHER, rate, 1)
        _send(context, POPULAR, 1, 0)


@when("none of them gets requests for {seconds:d} s")
def step_goes(context, seconds):
    context.now += seconds
    context.steering.choose(_build_query(context, b"third"), context.now)


@then("neither takes memory any more")
def step_forgotten(context):
    assert len(context.steering.object_copies) == 1


@then("it has {low:d} to {high:d} copies")
def step_copies(context, low, high):
    assert low <= _plan(context, POPULAR).count <= high, _plan(context, POPULAR)


@then("that one has {low:d} to {high:d} copies, and the first one 1")
def step_moved(context, low, high):
    assert low <= _plan(context, OTHER).count <= high
    assert _plan(context, POPULAR).count == 1, _plan(context, POPULAR)


@then("at no time had it more than half as many again, plus 1, as {seconds:g} s before")
def step_small_steps(context, seconds):
    assert seconds == STEP_S
    pairs = list(zip(context.counts, context.counts[1:], strict=False))
    assert pairs and all(after <= 1.5 * before + 1 for before, after in pairs), context.counts


@given("two hosts that see {count:d} upstreams, and whose object has {few:d} and {many:d} copies")
def step_two_hosts(context, count, few, many):
    context.used = []
    for copies in (few, many):
        step_host(context, count, 4.0)
        _send(context, POPULAR, 60, 4)
        plan = objectcopies.CopyPlan(copies, copies)
        context.used.append({_choose_copy(context, plan) for _ in range(200)})
    context.ranking = context.fleet.rank(SERVICE, ("north",), POPULAR)


@then(
    "the upstreams that the first one uses are the first {few:d} of those that the second one uses"
)
def step_shared_copies(context, few):
    names = [state.record.upstream_id for state in context.ranking]
    assert context.used[0] == set(names[:few]), context.used
    assert context.used[1] == set(names[: len(context.used[1])])
    assert len(context.used[1]) > few


@when("an object of a route that isn't sticky gets {rate:d} requests a second for {seconds:d} s")
def step_not_sticky(context, rate, seconds):
    context.route = dataclasses.replace(context.route, is_sticky=False)
    _send(context, POPULAR, rate, seconds)


@then("no demand was counted")
def step_no_demand(context):
    assert len(context.steering.object_copies) == 0


@when("loads of its copies vary at random")
def step_random_loads(context):
    rng = random.Random(2)
    count = _plan(context, POPULAR).count
    context.chosen = []
    for _ in range(300):
        copies = context.fleet.rank(SERVICE, ("north",), POPULAR)[:count]
        for state in copies:
            running = rng.randrange(SLOTS + 1)
            state.apply_report(records.LoadReport(running, 0, SLOTS, 1.0), context.now)
        mean = sum(state.estimate_load(context.now) for state in copies) / count
        plan = objectcopies.CopyPlan(count, count)
        chosen = context.fleet.find(_choose_copy(context, plan))
        context.chosen.append((chosen.estimate_load(context.now), mean))


@then("no request goes to a copy with more than {factor:g} times their mean load")
def step_bounded_load(context, factor):
    # A single request is permitted, or idle copies could get none.
    assert all(load <= max(1.0, factor * mean) for load, mean in context.chosen)


@when("its first copy fails")
def step_copy_fails(context):
    context.failed_copy = context.fleet.rank(SERVICE, ("north",), POPULAR)[0]
    for _ in range(10):
        context.failed_copy.record_result(True, context.now)


@then("{count:d} requests for it avoid that copy and use at least {least:d} others")
def step_avoids_failed(context, count, least):
    chosen = {
        context.steering.choose(_build_query(context, POPULAR), context.now).upstream
        for _ in range(count)
    }
    assert context.failed_copy not in chosen and len(chosen) >= least


@given('a host that has sent an object to upstream "{name}"')
def step_sent(context, name):
    context.fleet = host_builders.build_fleet([host_builders.build_upstream(name)])
    context.name = name
    context.fleet.find(name).record_object(POPULAR)
    assert context.fleet.find(name).find_object_rank(POPULAR) == 0


@when('"{name}" restarts')
def step_restarts(context, name):
    _apply(context, host_builders.build_upstream(name, incarnation=2))


@when('"{name}" becomes cold')
def step_cold(context, name):
    _apply(context, host_builders.build_upstream(name, cold_s=3.0))


@when('"{name}" moves to another address')
def step_address(context, name):
    _apply(context, host_builders.build_upstream(name, address=("127.0.0.1", 9)))


@then("the object is not taken for known there")
def step_not_known(context):
    assert context.fleet.find(context.name).find_object_rank(POPULAR) is None


@given("upstreams that remember {count:d} objects of each host")
def step_memory(context, count):
    context.cold_s = 4.0 * WARM_S
    context.remembered = count


@given("upstreams that remember {count:d} objects of each host, to no gain")
def step_memory_without_gain(context, count):
    step_memory(context, count)
    context.cold_s = 1.2 * WARM_S


@when("{runs:d} runs of {objects:d} objects have been timed")
def step_timed(context, runs, objects):
    """Plays an upstream with a cache beside the order that a host keeps, with noise of a third."""
    rng = random.Random(3)
    cold_s = context.cold_s
    step_host(context, 1, cold_s / WARM_S)
    state = next(iter(context.fleet))
    cache = []
    for _ in range(runs):
        key = b"%d" % min(rng.randrange(objects), rng.randrange(objects))
        query = _build_query(context, key)
        placed = placement.estimate_completion(
            context.steering.service_times, query, state, context.now
        )
        run_s = (WARM_S if key in cache else cold_s) * rng.uniform(0.83, 1.17)
        cache = [key] + [other for other in cache if other != key][: context.remembered - 1]
        report = records.LoadReport(1, 0, SLOTS, 1.0)
        context.steering.record_success(query, placed, report, run_s, context.now)


@then("{low:d} to {high:d} objects are taken for remembered")
def step_remembered(context, low, high):
    count = context.steering.object_copies.remembered.get_count(SERVICE)
    assert low <= count <= high, count


@when("{count:d} objects get a request each within a second")
def step_many_objects(context, count):
    copies = context.steering.object_copies
    for index in range(count):
        copies.count_request(SERVICE, b"%d" % index, context.now + index / count)


@then("the demand of {count:d} objects is kept, with those of the last ones")
def step_bounded_memory(context, count):
    copies = context.steering.object_copies
    assert len(copies) == count
    supply = objectcopies.Supply(WARM_S, 4 * WARM_S, SLOTS, 20)
    assert copies.adjust(SERVICE, b"19999", supply, context.now).count == 1
    assert not copies.has_demand(SERVICE, b"0") and copies.has_demand(SERVICE, b"19999")


@given("what {count:d} services remember has been learned")
def step_many_services(context, count):
    context.steering = steering.Steering(host_builders.build_fleet([]), 0.15)
    for index in range(count):
        context.steering.object_copies.remembered.add_run(f"s{index}", 0, 0.1, 0.1, 0.4)


@then("at most {count:d} gauges tell of copies and remembered objects")
def step_gauges(context, count):
    assert len(context.steering.list_copy_gauges()) == count


def _build_query(context, key):
    return host_builders.build_query(key, context.route)


def _send(context, key, rate, seconds):
    """Sends requests that end at once; one without a length in seconds."""
    for index in range(max(1, rate * seconds)):
        context.steering.choose(_build_query(context, key), context.now)
        context.now += 1.0 / rate if seconds else 0.0
        if key == POPULAR and index % max(1, int(STEP_S * rate)) == 0:
            context.counts.append(_plan(context, key).count)


def _plan(context, key):
    supply = None
    run_times = context.steering.service_times.find_run_times(context.route, SERVICE)
    if run_times is not None:
        supply = objectcopies.Supply(*run_times, SLOTS, len(list(context.fleet)))
    return context.steering.object_copies.adjust(SERVICE, key, supply, context.now)


def _choose_copy(context, plan):
    """Returns the id of the upstream that a plan leads to."""

    class FixedCopies:
        """Test double of ObjectCopies with the same plan for each object."""

        def adjust(self, service_id, key, supply, now):
            """Returns the plan."""
            return plan

    return placement.choose_upstream(
        context.fleet,
        context.steering.service_times,
        _build_query(context, POPULAR),
        ("north",),
        context.now,
        context.rng,
        FixedCopies(),
    ).upstream.record.upstream_id


def _apply(context, upstream):
    services = {SERVICE: host_builders.build_service()}
    context.fleet.apply({context.name: upstream}, services, (), host_builders.BOUNDS, 1.0)
