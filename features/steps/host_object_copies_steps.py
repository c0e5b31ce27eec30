"""Steps of host_object_copies.feature."""

import dataclasses
import random

from behave import given, then, when

from features import host_builders
from skylarksill.host import objectcopies, placement, records, steering

SERVICE = "catalogue"
SLOTS = 4
WARM_S = 0.1
CHANGES = {"incarnation": 2, "cold_s": 3.0, "address": ("127.0.0.1", 9)}


@given("a host that sees {count:d} upstreams, on which cold runs take {factor:g} times as long")
def step_host(context, count, factor):
    upstreams = [host_builders.build_upstream(f"u{index}", slots=SLOTS) for index in range(count)]
    context.fleet = host_builders.build_fleet(upstreams)
    context.rng = random.Random(1)
    context.steering = steering.Steering(context.fleet, 0.15, context.rng)
    context.route = host_builders.build_route(is_sticky=True)
    context.now = 1.0
    context.cold_s = factor * WARM_S
    for index in range(40):
        is_known = index % 2 == 0
        context.steering.service_times.add_sample(
            context.route, SERVICE, is_known, WARM_S if is_known else context.cold_s
        )


@given("it is one of {hosts:d} hosts that carry the region, and {count:d} other objects are in use")
def step_carriers(context, hosts, count):
    context.steering.set_carrier_count(hosts)
    for index in range(count):
        _choose(context, b"%d" % index)


@given("its route isn't sticky")
def step_not_sticky(context):
    context.route = dataclasses.replace(context.route, is_sticky=False)


@when('"{name}" gets {rate:d} requests a second for {seconds:d} s')
def step_requests(context, name, rate, seconds):
    context.counts = [1]
    for index in range(rate * seconds):
        _choose(context, name.encode())
        context.now += 1.0 / rate
        if (index + 1) % max(1, rate // 4) == 0:
            context.counts.append(_count_copies(context, name))


@when('"{name}" gets {rate:d} requests a second for {seconds:d} s, and "{other}" one a second')
def step_moves(context, name, rate, seconds, other):
    for _ in range(seconds):
        step_requests(context, name, rate, 1)
        _choose(context, other.encode())


@when("nothing is asked for in {seconds:d} s")
def step_wait(context, seconds):
    context.now += seconds


@then('"{name}" has {low:d} to {high:d} copies')
def step_copies(context, name, low, high):
    assert low <= _count_copies(context, name) <= high, _count_copies(context, name)


@then(
    '"{name}" has {low:d} to {high:d} copies, and never got more than {factor:g} times as many,'
    " plus 1, in 0.25 s"
)
def step_small_steps(context, name, low, high, factor):
    step_copies(context, name, low, high)
    for before, after in zip(context.counts, context.counts[1:], strict=False):
        assert after <= factor * before + 1, context.counts


@then('the demand of {count:d} objects is kept after a request for "{name}"')
def step_kept(context, count, name):
    _choose(context, name.encode())
    assert len(context.steering.object_copies) == count


@then(
    "{few:d} copies are the first {first:d} upstreams of the ranking,"
    " and {many:d} copies the first {all_first:d}"
)
def step_shared_copies(context, few, first, many, all_first):
    ranking = context.fleet.rank(SERVICE, ("north",), b"a")
    for copies, count in ((few, first), (many, all_first)):
        chosen = {_choose_copy(context, copies).record.upstream_id for _ in range(200)}
        assert chosen == {state.record.upstream_id for state in ranking[:count]}, chosen


@then(
    "of {count:d} copies with random loads none with more than {factor:g} times their mean load is"
    " chosen"
)
def step_bounded_load(context, count, factor):
    copies = context.fleet.rank(SERVICE, ("north",), b"a")[:count]
    for _ in range(300):
        for state in copies:
            running = context.rng.randrange(SLOTS + 1)
            state.apply_report(records.LoadReport(running, 0, SLOTS, 1.0), context.now)
        mean = sum(state.estimate_load(context.now) for state in copies) / count
        load = _choose_copy(context, count).estimate_load(context.now)
        # A single request is permitted, or idle copies could get none.
        assert load <= max(1.0, factor * mean), (load, mean)


@then(
    '{count:d} requests for "{name}" avoid its first copy if that fails, and use at least'
    " {least:d} others"
)
def step_avoids_failed(context, count, name, least):
    first = context.fleet.rank(SERVICE, ("north",), name.encode())[0]
    for _ in range(10):
        first.record_result(True, context.now)
    chosen = {_choose(context, name.encode()).upstream for _ in range(count)}
    assert first not in chosen and len(chosen) >= least


@then("an object is not taken for known after the entry of its upstream changes in {field}")
def step_not_known(context, field):
    fleet = host_builders.build_fleet([host_builders.build_upstream("u")])
    fleet.find("u").record_object(b"a")
    assert fleet.find("u").find_object_rank(b"a") == 0
    changed = host_builders.build_upstream("u", **{field: CHANGES[field]})
    services = {SERVICE: host_builders.build_service()}
    fleet.apply({"u": changed}, services, (), host_builders.BOUNDS, 1.0)
    assert fleet.find("u").find_object_rank(b"a") is None


@when("{runs:d} runs of {objects:d} objects are timed, of which the upstream remembers {count:d}")
def step_timed(context, runs, objects, count):
    state = next(iter(context.fleet))
    report = records.LoadReport(1, 0, SLOTS, 1.0)
    cache = []
    for _ in range(runs):
        key = b"%d" % min(context.rng.randrange(objects), context.rng.randrange(objects))
        query = host_builders.build_query(key, context.route)
        placed = placement.estimate_completion(
            context.steering.service_times, query, state, context.now
        )
        run_s = (WARM_S if key in cache else context.cold_s) * context.rng.uniform(0.83, 1.17)
        cache = [key, *(other for other in cache if other != key)][:count]
        context.steering.record_success(query, placed, report, run_s, context.now)


@then("{low:d} to {high:d} objects are taken for remembered")
def step_remembered(context, low, high):
    count = context.steering.object_copies.remembered.get_count(SERVICE)
    assert low <= count <= high, count


@when("{objects:d} objects and {services:d} services are in use within a second")
def step_many(context, objects, services):
    copies = context.steering.object_copies
    for index in range(objects):
        copies.count_request(SERVICE, b"%d" % index, context.now + index / objects)
    for index in range(services):
        copies.remembered.add_run(f"s{index}", 0, WARM_S, WARM_S, context.cold_s)
    context.now += 1.0


@then("{count:d} gauges tell of copies and remembered objects")
def step_gauges(context, count):
    assert len(context.steering.list_copy_gauges()) == count


def _choose(context, key):
    return context.steering.choose(host_builders.build_query(key, context.route), context.now)


def _count_copies(context, name):
    found = context.steering.service_times.find_run_times(context.route, SERVICE)
    supply = found and objectcopies.Supply(*found, SLOTS, len(list(context.fleet)))
    return context.steering.object_copies.adjust(SERVICE, name.encode(), supply, context.now).count


def _choose_copy(context, count):
    """Returns the upstream of a request for "a", which has a fixed number of copies."""

    class FixedCopies:
        """Test double of ObjectCopies."""

        def adjust(self, service_id, key, supply, now):
            """Returns the plan with the fixed number."""
            return objectcopies.CopyPlan(count, count)

    query = host_builders.build_query(b"a", context.route)
    times = context.steering.service_times
    return placement.choose_upstream(
        context.fleet, times, query, ("north",), context.now, context.rng, FixedCopies()
    ).upstream
