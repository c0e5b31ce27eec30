"""Steps of host_relay.feature about lapsed upstreams, which hosts keep for a while."""

from behave import then, when

from features import host_builders
from skylarksill.host import records, relay


@when("the store is lost and regained at the source at {now:g} s")
def step_source_outage(context, now):
    context.source.record_outage()
    context.source.record_contact(now)


@when('"{name}" is removed at the source at {now:g} s and revision {revision:d}')
def step_removed(context, name, now, revision):
    context.source.remove_upstream(name, now)
    _set_revision(context.source, revision)


@when('the follower learns elsewhere that "{name}" is gone at revision {revision:d}')
def step_learns(context, name, revision):
    context.follower.forget_upstream(name)
    _set_revision(context.follower, revision)


@when("the follower connects anew and is updated")
def step_connects_anew(context):
    context.sequence = relay.UNKNOWN_SEQUENCE
    context.execute_steps("When the follower is updated")


@when('"{name}" registers again at the source at revision {revision:d}')
def step_registers(context, name, revision):
    context.source.set_upstream(host_builders.build_upstream(name))
    _set_revision(context.source, revision)


@then('the follower still knows "{name}" after {first:g} s and no longer after {second:g} s')
def step_known_until(context, name, first, second):
    # The follower's clock stands at 0 when it is updated.
    context.follower.expire_lapsed(first)
    assert name in context.follower.upstreams
    context.follower.expire_lapsed(second)
    assert name not in context.follower.upstreams


@then('the follower still knows "{name}" after {seconds:g} s')
def step_still_known(context, name, seconds):
    context.follower.expire_lapsed(seconds)
    assert name in context.follower.upstreams


def _set_revision(local_belief, revision, era=0):
    for kind in records.ObjectKind:
        local_belief.revisions[kind] = records.Revision(era, revision)
