"""Steps of publication.feature."""

import dataclasses

import hypothesis
from behave import given, then, when
from hypothesis import strategies

from features import builders, stores
from skylarksill import clock, configuration, drains, publication, records

TARGET = drains.Target(drains.TargetKind.ZONE, "north-a")


def make_store():
    store = stores.FakeStore()
    empty = publication.read_published(store)
    publication.publish_configuration(
        store, empty, builders.build_configuration(), "w-1", clock.FakeClock()
    )
    return store


def publish_drain(store, faults):
    """Publishes a drain with one fault for each write of the head, and returns the outcome."""
    base = publication.read_published(store)
    changed, _ = drains.change_state(base.configuration, TARGET, records.LifecycleState.LEAVING)
    new_shards = len(configuration.split_shards(changed)[1].keys() - dict(list_digests(base)))
    store.faults = ["ok"] * new_shards + list(faults)
    try:
        publication.publish_configuration(store, base, changed, "w-2", clock.FakeClock())
    except records.SkylarksillError as error:
        return f"{type(error).__name__} {error.verdict.value}"
    return "published"


def list_digests(published):
    return [(digest, name) for name, digest in published.head.shards]


def count_own_heads(store):
    return sum(
        key == configuration.HEAD_KEY and b"write_id = w-2" in value for key, value in store.history
    )


@given("a store with a published configuration")
def step_store(context):
    context.store = make_store()
    context.base = publication.read_published(context.store)


@when("a drain is published")
def step_publish(context):
    context.store.history.clear()
    context.outcome = publish_drain(context.store, [])


@when('a drain is published while writes of the head meet the faults "{faults}"')
def step_publish_faults(context, faults):
    context.outcome = publish_drain(context.store, faults.split(", "))


@when("a shard in the store is {damage}")
def step_damage_shard(context, damage):
    key = configuration.SHARD_PREFIX + context.base.head.shards[0][1]
    if damage == "removed":
        context.store.remove(key)
    else:
        context.store.write(key, b"[deployment]\nname = other\n")


@when("the configuration is published again over the damaged one")
def step_publish_again(context):
    damaged = dataclasses.replace(context.base, configuration=None)
    publication.publish_configuration(
        context.store, damaged, context.base.configuration, "w-2", clock.FakeClock()
    )


@then("the store holds the drain as generation 2")
def step_drain_stored(context):
    published = publication.read_published(context.store)
    assert context.outcome == "published"
    assert published.generation == published.configuration.generation == 2
    states = {host.host_id: host.state for host in published.configuration.hosts}
    assert states["host-0"] is records.LifecycleState.LEAVING


@then("the last write is the head and only changed shards were written")
def step_write_order(context):
    keys = [key for key, _ in context.store.history]
    assert keys[-1] == configuration.HEAD_KEY and len(keys) == 2, keys


@then("the outcome is {outcome}")
def step_outcome(context, outcome):
    assert context.outcome == outcome, context.outcome


@then("200 random sequences of faults give correct reports")
def step_random_faults(context):
    names = strategies.sampled_from(["ok", "down", "lost", "dropped", "late", "rival"])

    @hypothesis.settings(max_examples=200, derandomize=True, deadline=None, database=None)
    @hypothesis.given(strategies.lists(names, max_size=8))
    def check(faults):
        store = make_store()
        outcome = publish_drain(store, faults)
        store.apply_late_writes()
        own_heads = count_own_heads(store)
        allowed = {"published": (1,), "MAY_HAVE_RUN": (0, 1), "NOT_RUN": (0,)}
        assert own_heads in allowed[outcome.split()[-1]], (outcome, own_heads)

    check()


@then('reading it fails with "{reason}"')
def step_read_fails(context, reason):
    try:
        publication.read_published(context.store)
    except publication.DamagedConfigurationError as error:
        assert error.problems[0].reason == reason
        return
    raise AssertionError("damage was not found")


@then("the store holds the same content as generation 2")
def step_repaired(context):
    published = publication.read_published(context.store)
    assert published.generation == 2
    assert (
        configuration.diff_configurations(published.configuration, context.base.configuration) == ()
    )
