"""Steps of host_quotas.feature."""

import random

import hypothesis
from behave import given, then, when
from hypothesis import strategies

from features import host_builders
from skylarksill.host import fleet, quotas, records

HOST_COUNTS = strategies.integers(1, 1_000)
TOTALS = strategies.integers(0, 400)
SEEDS = strategies.integers(0, 1 << 30)
STEP_S = 0.05
# A large deployment's rule: 2 requests a second, exceeded by the factor 1.5 and 10 more.
COLD_SERVICE = records.Service("catalogue", 3_600, 3.0, 2.0)
LONGEST_NEWS_S = 3.0


def _name_hosts(count):
    return [f"h{index}" for index in range(count)]


def _run_property(count, check):
    settings = hypothesis.settings(
        max_examples=count, derandomize=True, deadline=None, database=None
    )
    settings(hypothesis.given(HOST_COUNTS, TOTALS, SEEDS)(check))()


def _sum_sampled(deal, host_count, total, seed):
    """Returns the sum of the parts of all hosts that have the same view."""
    hosts = _name_hosts(host_count)
    return sum(deal(total, host, hosts, f"u{seed}") for host in hosts)


@then("for {count:d} random limits of 1 to 1000 hosts the parts sum to the limit")
def step_sums(context, count):
    def check(host_count, total, seed):
        host_count = host_count % 150 + 1 if seed % 10 else host_count
        assert _sum_sampled(quotas.deal_units, host_count, total, seed) == total

    _run_property(count, check)


def _check_views(deal, host_count, total, seed):
    rng = random.Random(seed)
    users = _name_hosts(host_count % 150 + 1)
    others = [f"x{index}" for index in range(rng.randrange(40))]
    used = 0
    for user in users:
        known = [*users, *rng.sample(others, rng.randrange(len(others) + 1))]
        used += deal(total, user, known, f"u{seed}")
    assert used <= total, (used, total)


@then("for {count:d} random sets of hosts with different views the parts sum to at most the limit")
def step_views(context, count):
    def check(host_count, total, seed):
        _check_views(quotas.deal_units, host_count, total, seed)

    _run_property(count, check)


@when("each host gets an equal part of at least one")
def step_plant(context):
    def deal_at_least_one(total, own_id, host_ids, subject):
        return max(1, total // len(host_ids))

    context.deal = deal_at_least_one


@then("the check of the parts fails")
def step_check_fails(context):
    try:
        _check_views(context.deal, 25, 10, 7)
    except AssertionError:
        return
    raise AssertionError("the check accepts a part of one for each of 26 hosts")


@then("{count:d} hosts of which a third are dead use half of the limits of {upstreams:d} or more")
def step_least_used(context, count, upstreams):
    hosts = _name_hosts(count)
    alive = hosts[count // 3 :]
    total = 10
    used = sum(
        quotas.deal_units(total, host, hosts, f"u{index}")
        for host in alive
        for index in range(upstreams)
    )
    assert used >= total * upstreams / 2, used


class _Member:
    """A host that is up from ``start`` to ``end`` and learns of the others late."""

    def __init__(self, name, start, end, rng):
        self.name = name
        self.start = start
        self.end = end
        self.fleet = fleet.Fleet("north")
        upstreams = {"a": host_builders.build_upstream("a", cold_s=100.0)}
        services = {"catalogue": COLD_SERVICE}
        self.fleet.apply(upstreams, services, (), LARGE_BOUNDS, 0.0)
        self._rng = rng
        self._news_at = {}

    def is_up(self, now):
        return self.start <= now < self.end

    def update(self, members, now):
        known = {other.name for other in members if other is self or self._knows(other, now)}
        is_settled = now - self.start >= quotas.SETTLE_S
        self.fleet.view = host_builders.build_view(self.name, known, is_settled)

    def _knows(self, other, now):
        # The store has listed the first hosts; news of later ones take a while.
        if other.start <= self.start:
            return True
        if other not in self._news_at:
            self._news_at[other] = other.start + self._rng.uniform(0.0, LONGEST_NEWS_S)
        return self._news_at[other] <= now


LARGE_BOUNDS = records.Bounds(5.0, 4.0, 10.0, 0.2, 10.0, 430, 1.5, 10.0, 5.0, 0.15, 4.0)


@given("{count:d} hosts of which some die, restart and join within {seconds:d} s")
def step_churn(context, count, seconds):
    rng = random.Random(count)
    context.rng = rng
    context.seconds = seconds
    context.members = []
    for name in _name_hosts(count):
        end = rng.uniform(5.0, 20.0) if rng.random() < 0.3 else 1e9
        context.members.append(_Member(name, -10.0, end, rng))
        if end < 1e9:
            context.members.append(_Member(name, end + 0.5, 1e9, rng))
    for index in range(max(1, count // 5)):
        context.members.append(_Member(f"new{index}", rng.uniform(0.0, 15.0), 1e9, rng))


@when("they send as much as they may to a cold upstream")
def step_send_all(context):
    context.sent = []
    for step in range(int(context.seconds / STEP_S)):
        now = step * STEP_S
        live = [member for member in context.members if member.is_up(now)]
        context.rng.shuffle(live)
        for member in live:
            if step % 10 == 0 or member.fleet.view.own_id != member.name:
                member.update(context.members, now)
            if member.fleet.admit_send(member.fleet.find("a"), now):
                context.sent.append(now)


@then("it gets at most {most:d} requests in any second, and {least:d} or more in most of them")
def step_cold_windows(context, most, least):
    counts = []
    for step in range(int((context.seconds - 1) / STEP_S)):
        start = step * STEP_S - STEP_S / 2
        counts.append(sum(start <= at < start + 1.0 for at in context.sent))
    assert max(counts) <= most, max(counts)
    assert sum(count >= least for count in counts) > len(counts) / 2, counts


@given("a host that is settled at {now:g} s")
def step_settled(context, now):
    context.timer = quotas.SettleTimer(0.0)
    context.timer.is_listed = True
    for step in range(int(now)):
        assert not context.timer.observe(float(step))
    context.timer.observe(now)
    assert context.timer.is_settled(now)


@when("it is frozen until {now:g} s")
def step_frozen(context, now):
    assert context.timer.observe(now)


@then("it is not settled at {early:g} s, and at {late:g} s only if the store has listed the hosts")
def step_not_settled(context, early, late):
    assert not context.timer.is_settled(late)
    context.timer.is_listed = True
    assert not context.timer.is_settled(early)
    assert context.timer.is_settled(late)


@then("{hosts:d} hosts open at most {most:d} connections to an upstream, and {some:d} of them may")
def step_connections(context, hosts, most, some):
    names = _name_hosts(hosts)
    upstream_fleet = host_builders.build_fleet([host_builders.build_upstream("a")])
    state = upstream_fleet.find("a")
    permitted = 0
    for name in names:
        upstream_fleet.view = host_builders.build_view(name, names)
        permitted += upstream_fleet.has_connection_capacity(state)
    assert permitted == some <= most, permitted
