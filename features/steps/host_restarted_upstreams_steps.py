"""Steps of host_restarted_upstreams.feature."""

from behave import given, then, when

from features import host_builders


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


@given('a host that found upstream "a" unreachable at {at:g} s')
def step_unreachable(context, at):
    step_host_knows(context)
    context.fleet.mark_unreachable(context.fleet.find("a"), at)
    context.sent_times = []


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
