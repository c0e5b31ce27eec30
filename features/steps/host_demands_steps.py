"""Steps of host_demands.feature."""

import random

import eventlet
from behave import given, then, when

from features import host_builders, host_world
from skylarksill.host import quotas
from standins import platformdata, worker

STEP_S = 0.1
LENGTH_S = 40.0
WINDOW_S = 4.0
# Time from the first answer that states a limit until the limit holds, see Bounds.contact_s.
CONTACT_S = host_builders.BOUNDS.contact_s
# Time in which a new host becomes known to the others.
LONGEST_NEWS_S = 3.0
# Steps between two updates of what a host knows about the others.
VIEW_STEPS = 5
# Requests that each host would send in a step.
DEMAND = 2


class _LimitedHost:
    """A host that sends all it may to one upstream.

    Attributes:
      start: Time of its start in seconds.
      knows_limit: True once it has got an answer that states the limit.
    """

    def __init__(self, name, start, rng):
        self.name = name
        self.start = start
        self.knows_limit = False
        self.fleet = host_builders.build_fleet([host_builders.build_upstream("a")], rng=rng)
        self.state = self.fleet.find("a")
        self._news_s = rng.uniform(0.0, LONGEST_NEWS_S)

    def update_view(self, hosts, now):
        known = {other.name for other in hosts if other.start + self._news_s <= now}
        is_settled = now - self.start >= quotas.SETTLE_S
        view = host_builders.build_view(self.name, known | {self.name}, is_settled)
        if view != self.fleet.view:
            self.fleet.view = view

    def send_requests(self, stated_limit, now):
        """Sends what is permitted; returns the number of requests, each answered at once."""
        sent = 0
        for _ in range(DEMAND):
            if not self.fleet.admit_send(self.state, now):
                break
            sent += 1
        if sent:
            self.knows_limit = stated_limit is not None
            self.fleet.set_rate_limit(self.state, stated_limit, now)
        return sent


@given("{count:d} hosts that send all they may to an upstream with a limit of {rate:g} a second")
def step_limited(context, count, rate):
    context.rng = random.Random(count)
    context.rate = rate
    context.sent = []
    context.total = 0
    context.hosts = [_LimitedHost(f"h{index}", -10.0, context.rng) for index in range(count)]


def _run(context, length_s, find_limit, change_hosts=lambda now: None):
    for step in range(int(length_s / STEP_S)):
        now = step * STEP_S
        change_hosts(now)
        for host in context.rng.sample(context.hosts, len(context.hosts)):
            if host.start > now:
                continue
            if step % VIEW_STEPS == 0 or host.fleet.view.own_id != host.name:
                host.update_view(context.hosts, now)
            is_counted = host.knows_limit
            sent = host.send_requests(find_limit(now), now)
            context.total += sent
            context.sent += [now] * (sent if is_counted else 0)


@when("some of the hosts restart and others join within {seconds:d} s")
def step_churn(context, seconds):
    rng = context.rng
    count = len(context.hosts)
    restarts = {round(rng.uniform(5.0, seconds), 1): index for index in range(count // 10)}
    for index in range(count // 10):
        context.hosts.append(_LimitedHost(f"new{index}", rng.uniform(0.0, seconds), rng))

    def change_hosts(now):
        index = restarts.get(round(now, 1))
        if index is not None:
            context.hosts[index] = _LimitedHost(f"h{index}", now + STEP_S, rng)

    _run(context, seconds, lambda now: context.rate, change_hosts)


@then("the upstream gets at most {most:d} requests in any 4 s from hosts that know the limit")
def step_most(context, most):
    starts = [step * STEP_S for step in range(int((LENGTH_S - WINDOW_S) / STEP_S))]
    counts = [
        sum(start <= at < start + WINDOW_S for at in context.sent)
        for start in starts
        if start >= CONTACT_S
    ]
    assert max(counts) <= most, max(counts)


@then("it gets at least half of its limit over the whole time")
def step_least(context):
    assert context.total >= 0.5 * context.rate * LENGTH_S, context.total


@when("the upstream states no limit from {begin:g} s on")
def step_lifted(context, begin):
    _run(context, begin + 5.0, lambda now: context.rate if now < begin else None)


@then("each host may send without a limit at {now:g} s")
def step_unlimited(context, now):
    assert all(host.state.rate_limit is None for host in context.hosts)


@given("a host with an upstream that states a limit of {rate:d} a second")
def step_limited_world(context, rate):
    context.workers = {"a": worker.Worker("a")}
    context.workers["a"].extra_headers = [f"Server-Limit: {rate}.0"]
    context.world = host_world.HostWorld(("a",), context.workers)
    context.add_cleanup(context.world.stop)


@when("the host gets {count:d} requests in turn")
def step_requests(context, count):
    client = context.world.connect()
    reader = platformdata.AnswerReader(client)
    context.answers = []
    for index in range(count):
        client.sendall(platformdata.format_request("GET /read/1", f"r{index}"))
        context.answers.append(reader.read())


@then(
    "{count:d} of them are served, and the others get 503 with a Retry-After of at most {most:g} s"
)
def step_rejected(context, count, most):
    statuses = [status for status, _, _ in context.answers]
    assert statuses == [200] * count + [503] * (len(statuses) - count), statuses
    for _, headers, _ in context.answers[count:]:
        assert 0.0 < float(headers["retry-after"]) <= most, headers


@given('each answer of upstream "{name}" has the header "{line}"')
def step_header(context, name, line):
    context.world.workers[name].extra_headers = [line]


@when("the client sends {count:d} requests for different objects")
def step_send_objects(context, count):
    context.answers = []
    for index in range(count):
        client = context.world.connect()
        client.sendall(platformdata.format_request("GET /read/1", f"r{index}", key=str(index)))
        context.answers.append(platformdata.AnswerReader(client).read())
        client.close()


@then('upstream "{name}" has got {some:d} request, and all {count:d} are answered with {status:d}')
def step_got(context, name, some, count, status):
    assert [answer[0] for answer in context.answers] == [status] * count, context.answers
    assert len(context.world.workers[name].heads) == some, context.world.workers[name].heads


@when('the entry of upstream "{name}" vanishes and comes back')
def step_back(context, name):
    world = context.world
    upstreams = dict(world.belief.upstreams)
    removed = upstreams.pop(name)
    for current in (upstreams, {**upstreams, name: removed}):
        world.belief.replace_upstreams(current, 0.0)
        host_builders.apply_belief(world.fleet, world.belief, 0.0)


@when("the clients wait for {seconds:g} s")
def step_pass(context, seconds):
    eventlet.sleep(seconds)


def _use_up_limit(upstream_fleet, state):
    upstream_fleet.set_rate_limit(state, 1.0, 9.9)
    while upstream_fleet.admit_send(state, 9.9):
        pass


def _use_up_cold_rate(upstream_fleet, state):
    upstream_fleet.mark_cold(state, 5.0, 9.9)
    while upstream_fleet.admit_send(state, 9.9):
        pass


UPSTREAM_STATES = {
    "asked for a pause of 5 s": lambda fleet, state: fleet.pause(state, 5.0, 9.9),
    "has got all that its limit permits": _use_up_limit,
    "has got all that it tolerates while it is cold": _use_up_cold_rate,
    "was unreachable": lambda fleet, state: fleet.mark_unreachable(state, 9.9),
}


@given("a host that knows an upstream which {description}")
def step_known_upstream(context, description):
    context.upstream = host_builders.build_upstream("a")
    context.fleet = host_builders.build_fleet([context.upstream])
    UPSTREAM_STATES[description](context.fleet, context.fleet.find("a"))


@when("the entry of the upstream vanishes at {gone:g} s and comes back at {back:g} s")
def step_entry_away(context, gone, back):
    services = {"catalogue": host_builders.build_service()}
    for upstreams, now in (({}, gone), ({"a": context.upstream}, back)):
        context.fleet.apply(upstreams, services, (), host_builders.BOUNDS, now)


@then("the host sends nothing to the upstream at {now:g} s")
def step_nothing(context, now):
    assert not context.fleet.admit_send(context.fleet.find("a"), now)


@then("the host takes the upstream for reachable and cold at {now:g} s")
def step_reachable(context, now):
    state = context.fleet.find("a")
    assert not state.is_unreachable and state.is_cold(now)
