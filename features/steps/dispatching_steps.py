"""Steps of dispatching.feature."""

import dataclasses
import random

from behave import given, when

from features import builders, dispatch_runs, dispatch_world
from skylarksill import dispatching, records

NORTH_HOSTS = ("host-0", "host-1")
POISON = "/poison"
FIRST_UPSTREAM = "own-0"


def create_world(context, configuration, hosts, **fields):
    context.world = dispatch_world.World(configuration, hosts, **fields)
    context.world.advance(10)
    context.requests = []
    context.marked_at = context.world.now


def send(context, host="host-0", count=1, seconds=0.0, work_s=None, **fields):
    sent = []
    for _ in range(count):
        request_id = f"r{len(context.requests)}"
        if work_s is not None:
            context.world.work_durations[request_id] = work_s
        context.world.send(host, request_id, **fields)
        sent.append(request_id)
        context.requests.append(request_id)
        if seconds:
            context.world.advance(seconds / count)
    return sent


@given("dispatchers of the north region that have served for 10 s")
def step_region(context):
    create_world(context, builders.build_configuration(), NORTH_HOSTS)
    context.world.advance(0.5)


@given("a dispatcher with {count:d} upstream of its own")
@given("a dispatcher with {count:d} upstreams of its own")
def step_own_upstreams(context, count):
    create_world(context, dispatch_runs.build_owned_slots(count), ("host-0",))


@given("a dispatcher with 1 upstream of its own that ignores cancellation")
def step_ignores_cancellation(context):
    create_world(context, dispatch_runs.build_owned_slots(1), ("host-0",), confirms_cancel=False)


@given("a dispatcher with 5 upstreams of its own and a region limit of {limit:d}")
def step_limited(context, limit):
    create_world(context, dispatch_runs.build_owned_slots(5, limit), ("host-0",))


@when("{host} gets {count:d} deposits of {work_s:g} s")
def step_deposits(context, host, count, work_s):
    send(context, host, count, work_s=work_s, service="deposits", method="POST", deadline_ms=4000)


@when("{host} gets {count:d} requests of {work_s:g} s")
def step_timed(context, host, count, work_s):
    send(context, host, count, work_s=work_s, deadline_ms=4000)


@when("{host} gets {count:d} requests of {work_s:g} s with a deadline of {deadline_s:g} s")
def step_deadline(context, host, count, work_s, deadline_s):
    send(context, host, count, work_s=work_s, deadline_ms=int(1000 * deadline_s))


@when("{host} gets {count:d} requests of {work_s:g} s to the route {route}")
def step_route(context, host, count, work_s, route):
    for index in range(count):
        context.routed = getattr(context, "routed", [])
        path = f"{route}/{index}"
        context.routed += send(context, host, work_s=work_s, path=path, deadline_ms=4000)


@when("host-0 gets {count:d} requests")
def step_plain(context, count):
    send(context, count=count)


@when("host-0 gets {count:d} requests in {seconds:g} s")
def step_spread(context, count, seconds):
    context.spread_requests = send(context, count=count, seconds=seconds)


@when("host-0 gets {count:d} requests in {seconds:g} s with a deadline of {deadline_s:g} s")
def step_spread_deadline(context, count, seconds, deadline_s):
    send(context, count=count, seconds=seconds, deadline_ms=int(1000 * deadline_s))


@when("host-0 gets 10 requests every 0.1 s for {seconds:g} s")
def step_steady_requests(context, seconds):
    send_steadily(context, ("host-0",), seconds)


@when("host-0 and host-1 get 10 requests every 0.1 s for {seconds:g} s")
def step_steady_requests_both(context, seconds):
    send_steadily(context, NORTH_HOSTS, seconds)


def send_steadily(context, hosts, seconds):
    context.stream_started_at = context.world.now
    for _ in range(int(seconds * 10)):
        for host in hosts:
            for number in range(10):
                send(context, host, work_s=0.2, service=("catalogue", "deposits")[number % 2])
        context.world.advance(0.1)


@when("the dispatchers run on for {seconds:g} s")
def step_advance(context, seconds):
    context.world.advance(seconds)


@when("host-0 is killed and started again")
def step_restart(context):
    context.world.kill("host-0")
    context.world.start("host-0")
    context.marked_at = context.world.now


@when("host-0 and host-1 are cut off from each other")
@when("host-0 is cut off")
def step_cut(context):
    context.world.cut(*NORTH_HOSTS)
    context.marked_at = context.world.now


@when("host-0 is paused before its requests are written")
def step_pause(context):
    context.world.pause("host-0")


@when("host-0 resumes")
def step_resume(context):
    context.world.resume("host-0")
    context.world.advance(1)


@when("generation 2 gives the upstreams of host-0 to host-1")
def step_move_upstreams(context):
    context.moved = dispatch_runs.move_upstreams(builders.build_configuration(), 2, "host-1")
    context.world.accept("host-1", context.moved)


@when("host-0 skips to a generation 3 that gives them back, which host-1 does not get")
def step_skip_generation(context):
    context.world.accept(
        "host-0", dispatch_runs.move_upstreams(builders.build_configuration(), 3, "host-0")
    )
    context.world.heal()


@when("host-1 skips to a generation 4 that takes them again")
def step_skip_another_generation(context):
    context.world.accept(
        "host-1", dispatch_runs.move_upstreams(builders.build_configuration(), 4, "host-1")
    )


@when("the network is restored and host-0 accepts generation 2")
def step_heal(context):
    context.world.heal()
    context.world.accept("host-0", context.moved)


@when("host-0 gets 100 requests in 2 s whose home is south, unknown and south in turns")
def step_foreign(context):
    for index in range(100):
        send(context, home_region=("south", None, "south")[index % 3])
        context.world.advance(0.02)


@when("host-0 gets 30 requests of south at once")
def step_foreign_burst(context):
    send(context, count=30, home_region="south")
    context.world.advance(1)


@when("host-0 gets 10 requests of south a second while all slots are busy for 2 s")
def step_foreign_waiting(context):
    context.world.work_s = 2.0
    send(context, count=10, home_region="south", deadline_ms=4_000)
    context.world.advance(0.1)
    context.world.work_s = 0.01
    context.world.advance(1.0)
    send(context, count=10, home_region="south", deadline_ms=4_000)
    context.world.advance(2.5)


@when("host-0 gets a poison request 100 times at once")
def step_poison(context):
    context.world.poison_paths.add(POISON)
    send(context, count=100, path=POISON)


@when("host-0 gets a poison request 100 times, each after the end of the previous one")
def step_poison_again(context):
    context.world.poison_paths.add(POISON)
    for _ in range(100):
        (request_id,) = send(context, path=POISON)
        while not context.world.find_verdict(request_id):
            context.world.advance(0.01)


@when("host-0 gets 15 requests of 0.2 s, one of them a poison request")
def step_mixed_poison(context):
    context.world.poison_paths.add(POISON)
    context.harmless = send(context, count=14, work_s=0.2)
    send(context, path=POISON)


@when("host-0 gets a deposit that takes its upstream down")
def step_poison_deposit(context):
    context.world.poison_paths.add(POISON)
    send(context, service="deposits", method="POST", path=POISON)


def fail_send(context, verdict):
    core = context.world.nodes["host-0"].core
    request = builders.build_request("deposits", request_id="d1")
    now = context.world.now
    (sent,) = [a for a in core.handle(dispatching.Arrived(request), now) if is_send(a)]
    context.first_upstream = sent.upstream.upstream_id
    context.actions = core.handle(dispatching.SendFailed(sent.send_id, verdict, "test"), now)


def is_send(action):
    return isinstance(action, dispatching.Send)


@when("a send of a deposit fails as not run")
def step_fail_not_run(context):
    fail_send(context, records.Verdict.NOT_RUN)


@when("a send of a deposit fails as may have run")
def step_fail_may_have_run(context):
    fail_send(context, records.Verdict.MAY_HAVE_RUN)


def find_first_send(context):
    """Sends requests until one goes to the first upstream."""
    core = context.world.nodes["host-0"].core
    for number in range(10):
        request = builders.build_request(request_id=f"f{number}", path=f"/f/{number}")
        for action in core.handle(dispatching.Arrived(request), context.world.now):
            if is_send(action) and action.upstream.upstream_id == FIRST_UPSTREAM:
                return action.send_id
    raise AssertionError("the first upstream got no request")


def build_sign(context, sign):
    match sign:
        case "the host list":
            return dispatching.UpstreamLeaving(FIRST_UPSTREAM, "host list", True)
        case "the configuration":
            configuration = dispatch_runs.build_owned_slots(2)
            leaving = dataclasses.replace(
                configuration.upstreams[0], state=records.LifecycleState.LEAVING
            )
            upstreams = (leaving, *configuration.upstreams[1:])
            return dispatching.ConfigurationAccepted(
                dataclasses.replace(configuration, generation=2, upstreams=upstreams)
            )
        case "an answer":
            answer = records.Answer(200, (), b"")
            return dispatching.Answered(find_first_send(context), answer, is_leaving=True)
        case "a refusal":
            return dispatching.SendFailed(
                find_first_send(context), records.Verdict.NOT_RUN, "drain", is_leaving=True
            )


@when("{sign} says that the first upstream is leaving")
def step_leaving(context, sign):
    context.world.handle("host-0", build_sign(context, sign))
    context.marked_at = context.world.now


@when("host-0 has learned that the route {route} takes {work_s:g} s")
def step_learned_route(context, route, work_s):
    send(context, work_s=work_s, path=f"{route}/first", deadline_ms=4000)
    context.world.advance(work_s + 0.1)


@when("the first upstream becomes 20 times slower")
def step_slow_upstream(context):
    context.world.slowdown_factors[FIRST_UPSTREAM] = 20.0
    context.marked_at = context.world.now


@when("the first upstream was down and a probe finds it healthy")
def step_recover(context):
    for is_healthy in (False, True):
        context.world.handle("host-0", dispatching.UpstreamProbed(FIRST_UPSTREAM, is_healthy))


@given("dispatchers of the north region with two hosts in each zone")
def step_two_hosts(context):
    context.hosts = [f"host-{index}" for index in range(4)]


@when("{steps:d} random faults, changes and requests happen with seed {seed:d}")
def step_random(context, steps, seed):
    context.world = dispatch_runs.run_random(random.Random(seed), context.hosts, steps)
