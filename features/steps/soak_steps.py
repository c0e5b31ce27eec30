"""Steps of soak.feature."""

import pathlib
import tempfile

from behave import given, then, when

from bench.soak import __main__ as soak
from bench.soak import checks, records, schedule

HOSTS, UPSTREAMS, ZONES = 4, 8, 4
# A calm run: requests are sent at 100 s, and nothing has happened for long before.
NOW = 100.0


@then("the schedules of seeds 1 to {last:d} are the same twice, and differ from each other")
def step_schedules(context, last):
    def make_all():
        return [
            schedule.make_schedule(seed, 10.0, HOSTS, UPSTREAMS, ZONES)
            for seed in range(1, last + 1)
        ]

    context.schedules = make_all()
    assert make_all() == context.schedules
    assert len({repr(item) for item in context.schedules}) == last


@then("each kind of fault occurs in them")
def step_kinds(context):
    kinds = {type(event) for events in context.schedules for _, event in events}
    assert len(kinds) == 12, kinds
    assert all(0.0 < at < 10.0 for events in context.schedules for at, _ in events)


@given('a run in which upstream "u1.1" served an idempotent and a non-idempotent request')
def step_calm(context):
    context.seen = records.Observations(generations={1: NOW - 50.0}, recovered={3: True})
    _add_served(context.seen, "read", "/read/1", True)
    _add_served(context.seen, "order", "/order/1", False)


@when("a second run of the non-idempotent request is planted")
def step_second_run(context):
    _add_run(context.seen, "order", NOW + 0.2)


@when("a rejection of a request that has run is planted")
def step_false_rejection(context):
    send = _add_served(context.seen, "order-2", "/order/1", False)
    send.status, send.body, send.is_signed = 503, b"", False


@when("an answer of another request is planted")
def step_foreign(context):
    _add_served(context.seen, "read-2", "/read/1", True).body = b"u1.1:read"


@when("an answer without a signature is planted")
def step_unsigned(context):
    _add_served(context.seen, "read-2", "/read/1", True).is_signed = False


@when("a run outside the home region is planted")
def step_outside_home(context):
    send = _add_served(context.seen, "home", "/home/1", True)
    context.seen.runs.pop()
    _add_run(context.seen, "home", NOW, "south-a")
    assert send.status == 200


@when("a request {late:g} s after its upstream left is planted")
def step_late(context, late):
    context.seen.leaves["u1.1"] = NOW + 1.0
    _add_served(context.seen, "late", "/read/1", True, NOW + 1.0 + late)


@when("its host had trouble with {trouble} meanwhile")
def step_trouble(context, trouble):
    kind = records.Trouble(trouble)
    host = None if kind is records.Trouble.STORE else 3
    context.seen.disturbances.append(records.Disturbance(kind, host, NOW + 0.5, NOW + 1.5))


@when("a request {late:g} s after an evacuation is planted")
def step_evacuated(context, late):
    context.seen.evacuations.append(records.Evacuation("north-a", NOW + 1.0))
    _add_served(context.seen, "late", "/read/1", True, NOW + 1.0 + late)


@when("a 404 of a generation {late:g} s after its write is planted")
def step_lacks(context, late):
    context.seen.generations[2] = NOW
    _add_missing(context.seen, "gen", NOW + late)


@when("a 404 of a generation that was served is planted")
def step_gave_up(context):
    context.seen.generations[2] = NOW
    _add_served(context.seen, "gen", "/gen-2/x", True, NOW + 0.2)
    _add_missing(context.seen, "gen-again", NOW + 1.0)


@when("a stop that cuts off a request is planted")
def step_cut_off(context):
    send = _add_served(context.seen, "cut", "/read/1", True, NOW + 1.0)
    send.status, send.body, send.is_signed = None, b"", False
    context.seen.stops.append(records.Stop(3, NOW + 0.9, NOW + 1.5, 0))


@when("a stop that takes {seconds:g} s is planted")
def step_slow_stop(context, seconds):
    context.seen.stops.append(records.Stop(3, NOW, NOW + seconds, 0))


@when("{count:d} repeated sends for 2 requests are planted")
@when("{count:d} repeated sends for 2 requests is planted")
def step_repeats(context, count):
    for index in range(count):
        _add_run(context.seen, "read", NOW + 0.5 + index / 100)


@when("a host that serves no more is planted")
def step_not_recovered(context):
    context.seen.recovered[3] = False


@when("a traceback of a host is planted")
def step_traceback(context):
    context.seen.crashes.append("host 3: ValueError: planted")


@then("no promise is violated")
def step_none(context):
    step_count(context, 0)


@then("{count:d} promises are violated")
def step_count(context, count):
    violations = checks.list_violations(context.seen)
    assert len(violations) == count, violations


@then("exactly the promise about {promise} is violated")
def step_exactly(context, promise):
    violations = checks.list_violations(context.seen)
    assert len(violations) == 1 and promise in violations[0], violations


@when("the soak plays seed {seed:d} with {seconds:g} s of faults")
def step_play(context, seed, seconds):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.result = soak.run_in_process(seed, pathlib.Path(folder.name), seconds)


@then("it served requests under faults and no promise is violated")
def step_short_run(context):
    result = context.result
    assert result["violations"] == [], result
    assert result["faults"] >= 2 and result["served"] > 50, result


def _add_served(seen, request_id, target, is_idempotent, at=NOW):
    """Adds a request that host 3 sent to upstream u1.1 and answered; returns its Send."""
    _add_run(seen, request_id, at)
    send = records.Send(
        request_id,
        target,
        is_idempotent,
        3,
        at - 0.01,
        at + 0.1,
        200,
        f"u1.1:{request_id}".encode(),
        True,
    )
    seen.sends.append(send)
    return send


def _add_run(seen, request_id, at, zone="north-a"):
    region = zone.partition("-")[0]
    seen.runs.append(records.Run(request_id, "u1.1", zone, region, at))


def _add_missing(seen, request_id, at):
    seen.sends.append(
        records.Send(request_id, "/gen-2/x", True, 3, at, at + 0.01, 404, b"no route")
    )
