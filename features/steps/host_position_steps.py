"""Steps of host_relay.feature about updates that a follower leaves out."""

from behave import given, then, when

from features import host_builders
from skylarksill.host import _beliefcodec, belief, records, relay

# The source and the follower need no more exchanges than these to agree.
MAX_EXCHANGES = 3
DRAINING = records.UpstreamState.DRAINING
READY = records.UpstreamState.READY


@given('a follower that knows "a" and "b" at revision {revision:d} from elsewhere')
def step_follower(context, revision):
    context.follower = _build_belief(revision)
    context.position = relay.StreamPosition()


@given('a source that has read "a" as draining in a list of revision {revision:d}')
def step_source(context, revision):
    context.source = _build_belief(revision)
    context.source.set_upstream(host_builders.build_upstream("a", state=DRAINING))


@when("the source reaches revision {revision:d} without a change")
def step_source_reaches(context, revision):
    _set_revision(context.source, revision)


@when("the follower is updated on its stream")
def step_update(context):
    _exchange(context)


@when("the follower is updated on its stream, until it asks for nothing again")
def step_update_again(context):
    for _ in range(MAX_EXCHANGES):
        if _exchange(context):
            return
    raise AssertionError("the follower asks for the same changes again and again")


@then('the follower knows "a" and "b" as ready')
def step_ready(context):
    states = {name: item.state for name, item in context.follower.upstreams.items()}
    assert states == {"a": READY, "b": READY}, states


@then('the follower knows that "a" drains at revision {revision:d}')
def step_drains(context, revision):
    assert context.follower.upstreams["a"].state is DRAINING
    kind = records.ObjectKind.UPSTREAMS
    assert context.follower.revisions[kind] == records.Revision(0, revision)


def _exchange(context):
    """Plays one request and its answer; returns True if the follower has taken the answer over."""
    own = context.follower
    sequence = context.position.sequence
    update = relay.make_update(context.source, sequence, own.configuration.generation, False, 0.0)
    update = _beliefcodec.decode_update(_beliefcodec.encode_update(update))
    takes_upstreams = context.position.advance(own, update)
    relay.apply_update(own, update, 0.0, takes_upstreams)
    return takes_upstreams


def _build_belief(revision):
    own = belief.Belief()
    own.accept_configuration(host_builders.build_configuration())
    own.replace_upstreams({name: host_builders.build_upstream(name) for name in "ab"}, 0.0)
    _set_revision(own, revision)
    return own


def _set_revision(own, revision):
    for kind in records.ObjectKind:
        own.revisions[kind] = records.Revision(0, revision)
