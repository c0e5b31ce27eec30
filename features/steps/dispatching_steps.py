"""Steps of dispatching.feature."""

import dataclasses
import random

from behave import given, then, when

from features import builders, dispatch_world
from skylarksill import dispatching, records

REGION_HOSTS = ("host-0", "host-1")
POISON = "/poison"
FIRST = "own-0"


def build_own(count, limit=1000):
    """Builds a configuration in which host-0 owns all slots of its upstreams."""
    configuration = builders.build_configuration()
    upstreams = [
        dataclasses.replace(upstream, upstream_id=f"{prefix}-{index}", standby=None)
        for upstream in configuration.upstreams
        if upstream.home == "host-0"
        for index in range(count)
        for prefix in ["own" if upstream.service_id == "catalogue" else "own-deposits"]
    ]
    region = records.Region("north", limit, 1000)
    return dataclasses.replace(
        configuration,
        upstreams=tuple(upstreams),
        regions=(region, configuration.regions[1]),
    )


def open_world(context, configuration, hosts, **fields):
    context.world = dispatch_world.World(configuration, hosts, **fields)
    context.world.advance(10)
    context.requests = []
    context.mark = context.world.now


def send(context, host="host-0", count=1, seconds=0.0, work_s=None, **fields):
    sent = []
    for _ in range(count):
        request_id = f"r{len(context.requests)}"
        if work_s is not None:
            context.world.durations[request_id] = work_s
        context.world.send(host, request_id, **fields)
        sent.append(request_id)
        context.requests.append(request_id)
        if seconds:
            context.world.advance(seconds / count)
    return sent


def list_outcomes(context, requests):
    return [context.world.find_verdict(request_id) for request_id in requests]


def count_most(starts, window_s):
    times = sorted(starts)
    return max(
        (sum(time <= other < time + window_s for other in times) for time in times), default=0
    )


@given("dispatchers of the north region that have served for 10 s")
def step_region(context):
    open_world(context, builders.build_configuration(), REGION_HOSTS)
    context.world.advance(0.5)


@given("a dispatcher with {count:d} upstream of its own")
@given("a dispatcher with {count:d} upstreams of its own")
def step_own(context, count):
    open_world(context, build_own(count), ("host-0",))


@given("a dispatcher with 1 upstream of its own that ignores cancellation")
def step_ignoring(context):
    open_world(context, build_own(1), ("host-0",), confirms_cancel=False)


@given("a dispatcher with 5 upstreams of its own and a region limit of {limit:d}")
def step_limited(context, limit):
    open_world(context, build_own(5, limit), ("host-0",))


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
    context.spread = send(context, count=count, seconds=seconds)


@when("host-0 gets {count:d} requests in {seconds:g} s with a deadline of {deadline_s:g} s")
def step_spread_deadline(context, count, seconds, deadline_s):
    send(context, count=count, seconds=seconds, deadline_ms=int(1000 * deadline_s))


@when("host-0 gets 10 requests every 0.1 s for {seconds:g} s")
def step_stream(context, seconds):
    stream(context, ("host-0",), seconds)


@when("host-0 and host-1 get 10 requests every 0.1 s for {seconds:g} s")
def step_both_stream(context, seconds):
    stream(context, REGION_HOSTS, seconds)


def stream(context, hosts, seconds):
    context.stream_mark = context.world.now
    for _ in range(int(seconds * 10)):
        for host in hosts:
            for number in range(10):
                send(context, host, work_s=0.2, service=("catalogue", "deposits")[number % 2])
        context.world.advance(0.1)


@when("the dispatchers run on for {seconds:g} s")
def step_pass(context, seconds):
    context.world.advance(seconds)


@when("host-0 is killed and started again")
def step_restart(context):
    context.world.kill("host-0")
    context.world.start("host-0")
    context.mark = context.world.now


@when("host-0 and host-1 are cut off from each other")
@when("host-0 is cut off")
def step_cut(context):
    context.world.cut(*REGION_HOSTS)
    context.mark = context.world.now


@when("host-0 is paused before its requests are written")
def step_pause(context):
    context.world.pause("host-0")


@when("host-0 resumes")
def step_resume(context):
    context.world.resume("host-0")
    context.world.advance(1)


def move_upstreams(configuration, generation, home):
    standby = {"host-0": "host-1", "host-1": "host-0"}[home]
    upstreams = [
        (
            dataclasses.replace(upstream, home=home, standby=standby)
            if upstream.zone_id == "north-a"
            else upstream
        )
        for upstream in configuration.upstreams
    ]
    return dataclasses.replace(configuration, generation=generation, upstreams=tuple(upstreams))


@when("generation 2 gives the upstreams of host-0 to host-1")
def step_move(context):
    context.moved = move_upstreams(builders.build_configuration(), 2, "host-1")
    context.world.accept("host-1", context.moved)


@when("host-0 skips to a generation 3 that gives them back, which host-1 does not get")
def step_skip(context):
    context.world.accept("host-0", move_upstreams(builders.build_configuration(), 3, "host-0"))
    context.world.heal()


@when("host-1 skips to a generation 4 that takes them again")
def step_skip_again(context):
    context.world.accept("host-1", move_upstreams(builders.build_configuration(), 4, "host-1"))


@when("the network is whole and host-0 accepts generation 2")
def step_heal(context):
    context.world.heal()
    context.world.accept("host-0", context.moved)


@when("host-0 gets 100 requests in 2 s whose home is south, unknown and south in turns")
def step_foreign(context):
    for index in range(100):
        send(context, home_region=("south", None, "south")[index % 3])
        context.world.advance(0.02)


@when("host-0 gets 30 requests of south in a moment")
def step_foreign_burst(context):
    send(context, count=30, home_region="south")
    context.world.advance(1)


@when("host-0 gets a poison request 100 times at once")
def step_poison(context):
    context.world.poison.add(POISON)
    send(context, count=100, path=POISON)


@when("host-0 gets a poison request 100 times, each after the end of the last")
def step_poison_again(context):
    context.world.poison.add(POISON)
    for _ in range(100):
        (request_id,) = send(context, path=POISON)
        while not context.world.find_verdict(request_id):
            context.world.advance(0.01)


@when("host-0 gets 15 requests of 0.2 s and among them a poison request")
def step_mixed_poison(context):
    context.world.poison.add(POISON)
    context.innocent = send(context, count=14, work_s=0.2)
    send(context, path=POISON)


@when("host-0 gets a deposit that takes its upstream down")
def step_poison_deposit(context):
    context.world.poison.add(POISON)
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
            if is_send(action) and action.upstream.upstream_id == FIRST:
                return action.send_id
    raise AssertionError("the first upstream got no request")


def make_sign(context, sign):
    match sign:
        case "the host list":
            return dispatching.UpstreamLeaving(FIRST, "host list", True)
        case "the configuration":
            configuration = build_own(2)
            leaving = dataclasses.replace(
                configuration.upstreams[0], state=records.LifeState.LEAVING
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
    context.world.handle("host-0", make_sign(context, sign))
    context.mark = context.world.now


@when("host-0 has learned that the route {route} takes {work_s:g} s")
def step_learn(context, route, work_s):
    send(context, work_s=work_s, path=f"{route}/first", deadline_ms=4000)
    context.world.advance(work_s + 0.1)


@when("the first upstream becomes 20 times slower")
def step_slow(context):
    context.world.speeds[FIRST] = 20.0
    context.mark = context.world.now


@when("the first upstream was down and a probe finds it healthy")
def step_recover(context):
    for is_healthy in (False, True):
        context.world.handle("host-0", dispatching.UpstreamProbed(FIRST, is_healthy))


@given("dispatchers of the north region with two hosts in each zone")
def step_two_hosts(context):
    context.hosts = [f"host-{index}" for index in range(4)]


@when("{steps:d} random faults, changes and requests happen with seed {seed:d}")
def step_random(context, steps, seed):
    context.world = run_random(random.Random(seed), context.hosts, steps)


def run_random(rng, hosts, steps):
    world = dispatch_world.World(build_random(rng, 1), hosts, confirms_cancel=rng.random() < 0.5)
    world.advance(7)
    latest = world.nodes[hosts[0]].configuration
    for _ in range(steps):
        latest = disturb(rng, world, hosts, latest)
        for _ in range(rng.randrange(40)):
            send_random(rng, world, hosts)
        world.advance(rng.choice([0.05, 0.3, 1, 3]))
    world.advance(20)
    return world


def build_random(rng, generation):
    """Builds a configuration with random homes and standbys in the north region."""
    configuration = builders.build_configuration(generation, hosts_per_zone=2)
    upstreams = []
    for upstream in configuration.upstreams[:2] + configuration.upstreams[4:6]:
        homes = [h.host_id for h in configuration.hosts if h.zone_id == upstream.zone_id]
        home = rng.choice(homes)
        others = [f"host-{index}" for index in range(4) if f"host-{index}" != home]
        upstreams.append(dataclasses.replace(upstream, home=home, standby=rng.choice(others)))
    region = records.Region("north", 9, 20)
    return dataclasses.replace(
        configuration, upstreams=tuple(upstreams), regions=(region, configuration.regions[1])
    )


def disturb(rng, world, hosts, latest):
    host = rng.choice(hosts)
    fault = rng.randrange(9)
    match fault:
        case 0:
            world.kill(host)
        case 1 if not world.nodes[host].is_up:
            world.start(host)
        case 2:
            world.pause(host)
        case 3:
            world.resume(host)
        case 4:
            world.cut(*rng.sample(hosts, 2))
        case 5:
            world.heal()
        case 6 | 7:
            if fault == 6:
                latest = build_random(rng, latest.generation + 1)
            for other in hosts:
                if fault == 7 or rng.random() < 0.6:
                    world.accept(other, latest)
        case 8:
            world.heal()
            for other in hosts:
                if not world.nodes[other].is_up:
                    world.start(other)
                world.resume(other)
    return latest


def send_random(rng, world, hosts):
    request_id = world.send(
        rng.choice(hosts),
        service=rng.choice(["catalogue", "deposits"]),
        deadline_ms=rng.choice([500, 4000]),
        home_region=rng.choice(["north", "north", "south", None]),
    )
    if rng.random() < 0.5:
        world.durations[request_id] = rng.choice([0.5, 3, 10])


@then("no upstream ran more requests than its slots")
@then("no invariant was broken")
def step_no_violation(context):
    assert context.world.runs, "nothing ran"
    assert not context.world.violations, context.world.violations


@then("host-0 started nothing between 0.1 s and 4.5 s after its start")
def step_nothing_early(context):
    early = [time for time, host, _, _ in context.world.starts if host == "host-0"]
    assert not [time for time in early if 0 < time - context.mark < 4.5], early
    assert [time for time in early if time > context.mark]


@then("{host} ran requests at {upstream}")
def step_ran_at(context, host, upstream):
    places = {(by, up) for time, by, up, _ in context.world.starts if time > context.stream_mark}
    assert (host, upstream) in places, places


@then("host-0 started nothing on a borrowed slot after 2 s")
def step_no_loan(context):
    owned = 2
    late = [
        (time, up)
        for time, host, up, _ in context.world.starts
        if host == "host-0" and time > context.mark + 2.3
    ]
    # Each request takes 0.2 s, so that owned slots start at most this many in any 0.2 s.
    for upstream in ("catalogue-north-a", "deposits-north-a"):
        times = [time for time, up in late if up == upstream]
        assert times and count_most(times, 0.199) <= owned


@then("no upstream has run a request")
def step_no_run(context):
    assert not context.world.runs


@then("host-0 admitted at most {count:d} foreign requests in any second")
def step_shift(context, count):
    times = [time for time, _, _, request_id in context.world.starts if request_id[0] == "r"]
    assert 0 < count_most(times, 0.999) <= count, count_most(times, 0.999)


@then("the excess was reported as not run with the limit {limit}")
def step_limit(context, limit):
    refusals = list_refusals(context)
    assert refusals and all(
        refusal.limit == limit and refusal.verdict is records.Verdict.NOT_RUN
        for refusal in refusals
    )


def list_refusals(context):
    ended = (context.world.outcomes.get(request_id, [None])[0] for request_id in context.requests)
    return [action.refusal for action in ended if isinstance(action, dispatching.Refuse)]


@then("at most 2 upstreams died")
def step_deaths(context):
    assert 1 <= len(context.world.deaths) <= 2, context.world.deaths


@then("each request has ended once")
def step_all_ended(context):
    assert all(len(context.world.outcomes[request_id]) == 1 for request_id in context.requests)


@then("the last request was reported as not run because of {reason}")
def step_last_reason(context, reason):
    outcome = context.world.find_verdict(context.requests[-1])
    assert outcome == (records.Verdict.NOT_RUN, reason), outcome


@then("all requests but the poison request were answered")
def step_innocent(context):
    outcomes = list_outcomes(context, context.innocent)
    assert all(outcome == (records.Verdict.RAN, None) for outcome in outcomes), outcomes


@then("the deposit was reported as may have run and ran once")
def step_deposit_may_have_run(context):
    assert context.world.find_verdict("r0")[0] is records.Verdict.MAY_HAVE_RUN
    assert context.world.runs["r0"] == 1


@then("the first 3 requests were reported as may have run")
def step_first_may_have_run(context):
    outcomes = list_outcomes(context, context.requests[:3])
    assert all(outcome[0] is records.Verdict.MAY_HAVE_RUN for outcome in outcomes), outcomes


@then("each answer belongs to its request")
def step_own_answers(context):
    answered = 0
    for request_id in context.requests:
        for action in context.world.outcomes[request_id]:
            if isinstance(action, dispatching.Reply):
                answered += 1
                assert action.answer.body.decode() == request_id
    assert answered
    assert not context.world.violations, context.world.violations


@then("the deposit is sent to the other upstream")
def step_other_upstream(context):
    sends = [action for action in context.actions if is_send(action)]
    assert [send.upstream.upstream_id != context.first_upstream for send in sends] == [True]


@then("the deposit is reported as may have run")
def step_reported(context):
    assert not [action for action in context.actions if is_send(action)]
    (refusal,) = [a.refusal for a in context.actions if isinstance(a, dispatching.Refuse)]
    assert refusal.verdict is records.Verdict.MAY_HAVE_RUN


@then("the first upstream got no request after the sign")
def step_no_work(context):
    late = [up for time, _, up, _ in context.world.starts if time > context.mark + 0.002]
    assert late and FIRST not in late


@then("requests were refused with the limit {limit} when they arrived")
def step_refused_limit(context, limit):
    assert any(refusal.limit == limit for refusal in list_refusals(context))


@then("at least {count:d} requests were answered")
def step_answered(context, count):
    outcomes = list_outcomes(context, context.requests)
    answered = sum(outcome == (records.Verdict.RAN, None) for outcome in outcomes)
    assert answered >= count, answered


@then("at most {count:d} requests passed their deadline")
def step_passed_deadline(context, count):
    outcomes = list_outcomes(context, context.requests)
    late = [outcome for outcome in outcomes if "deadline" in str(outcome[1])]
    assert len(late) <= count, len(late)


@then("at most {count:d} requests ran at the same time")
def step_most(context, count):
    context.world.advance(0.01)
    running = sum(context.world.count_running(f"own-{index}") for index in range(5))
    assert 0 < running <= count, running


@then("at most {count:d} requests of the route {route} ran at the same time")
def step_most_long(context, count, route):
    times = [
        time for time, _, _, request_id in context.world.starts if is_routed(context, request_id)
    ]
    assert 0 < count_most(times, 1.999) <= count, count_most(times, 1.999)


def is_routed(context, request_id):
    return request_id in context.routed


@then("the other requests took at most 0.2 s")
def step_short_fast(context):
    context.world.advance(0.2)
    outcomes = list_outcomes(context, context.spread)
    assert all(outcome == (records.Verdict.RAN, None) for outcome in outcomes), outcomes
    starts = {request_id: time for time, _, _, request_id in context.world.starts}
    first = min(starts[request_id] for request_id in context.spread)
    for position, request_id in enumerate(context.spread):
        assert starts[request_id] - first - position * 0.01 <= 0.15


@then("hedges were sent, at most {count:d}")
def step_hedges(context, count):
    assert 0 < context.world.decisions["hedge"] <= count, context.world.decisions


@then("no hedges were sent")
def step_no_hedges(context):
    assert context.world.decisions["hedge"] == 0


@then("the slowed upstream ran at most {count:d} more requests")
def step_slowed(context, count):
    late = [up for time, _, up, _ in context.world.starts if time > context.mark and up == FIRST]
    assert len(late) <= count, len(late)


@then("the first upstream runs {count:d} requests")
def step_running(context, count):
    context.world.advance(0.01)
    assert context.world.count_running(FIRST) == count, context.world.count_running(FIRST)
