"""Steps of host_relay.feature about hosts that the store refused while it answered others."""

from behave import then, when

from skylarksill.host import belief, relay

# The simulated time of one update and one ask of the source.
UPDATE_INTERVAL_S = 0.7
ASK_INTERVAL_S = 1.0
FIRST_S = 90.0


@when(
    "until {until:g} s the follower gets updates {delay:g} s after their request from a {kind}"
    " source, which the store answers each second except from {first:g} s to {second:g} s"
)
def step_followed(context, until, delay, kind, first, second):
    asks = [FIRST_S + count * ASK_INTERVAL_S for count in range(int(until - FIRST_S) + 1)]
    answered = [at for at in asks if not first <= at < second]
    asked_at = FIRST_S
    while asked_at + delay <= until:
        context.source.confirmed_at = max(at for at in answered if at <= asked_at)
        update = relay.make_update(context.source, -1, 0, kind == "lost", asked_at)
        now = asked_at + delay
        relay.record_store_answer(context.follower, update, asked_at, now)
        relay.apply_update(context.follower, update, now)
        asked_at += UPDATE_INTERVAL_S


@when("the store is lost and regained at the follower at {now:g} s")
def step_regained(context, now):
    context.follower.record_outage()
    context.follower.record_contact(now)


@when('the follower reads from the store at {now:g} s that "{name}" is removed')
def step_reads_removal(context, now, name):
    context.follower.remove_upstream(name, now)


@then('the follower has {outcome} "{name}"')
def step_outcome(context, outcome, name):
    assert (name in context.follower.upstreams) == (outcome == "kept"), outcome


@when("the follower starts anew with its upstreams")
def step_starts_anew(context):
    upstreams = context.follower.upstreams
    context.follower = belief.Belief()
    context.follower.replace_upstreams(upstreams, FIRST_S)
