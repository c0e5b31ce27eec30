"""Steps of propagation.feature."""

import dataclasses
import random

from behave import given, then, when

from features import builders
from skylarksill import configuration, messages, propagation

STORE = propagation.Source.STORE
PEER = propagation.Source.PEER


def make_generation(generation, write_id="w", store_version=None, built=None):
    built = built or builders.build_configuration()
    built = dataclasses.replace(built, generation=generation, deployment=f"test-{write_id}")
    head, texts = configuration.split_shards(built)
    version = generation * 10 if store_version is None else store_version
    mark = messages.HeadMark(generation, version, write_id)
    return mark, dataclasses.replace(head, write_id=write_id), texts


def make_unknown_zone_generation(generation):
    built = builders.build_configuration()
    moved = dataclasses.replace(built.hosts[0], zone_id="nowhere")
    built = dataclasses.replace(built, hosts=(moved, *built.hosts[1:]))
    return make_generation(generation, built=built)


def get_accepted(context):
    if not hasattr(context, "accepted"):
        context.accepted = propagation.AcceptedConfiguration()
    return context.accepted


@given("generation {generation:d} is in force")
def step_in_force(context, generation):
    outcome = get_accepted(context).offer(*make_generation(generation), PEER)
    assert outcome is propagation.OfferOutcome.IN_FORCE


@when("the store offers generation {generation:d}")
def step_store_offers(context, generation):
    context.mark, head, texts = make_generation(generation)
    context.outcome = context.accepted.offer(context.mark, head, texts, STORE)


@when("a peer offers generation {generation:d}")
@when("a peer offers generation {generation:d} unchanged")
def step_peer_offers(context, generation):
    context.outcome = context.accepted.offer(*make_generation(generation), PEER)


@when("a peer offers generation {generation:d} without its shards")
def step_without_shards(context, generation):
    mark, head, _ = make_generation(generation, "other")
    context.outcome = context.accepted.offer(mark, head, {}, PEER)


@when("a peer offers generation {generation:d} with a damaged shard")
def step_damaged_shard(context, generation):
    mark, head, texts = make_generation(generation, "other")
    texts = {digest: text + "\n" for digest, text in texts.items()}
    context.outcome = context.accepted.offer(mark, head, texts, PEER)


@when("a peer offers generation {generation:d} with a host in an unknown zone")
def step_unknown_zone(context, generation):
    context.outcome = context.accepted.offer(*make_unknown_zone_generation(generation), PEER)


@when("a peer offers generation {generation:d} under the mark of generation 4")
def step_wrong_mark(context, generation):
    mark, _, _ = make_generation(4)
    _, head, texts = make_generation(generation)
    context.outcome = context.accepted.offer(mark, head, texts, PEER)


@when("the held generation is put in force")
def step_put_in_force(context):
    context.accepted.put_in_force(context.mark)


@then("the offer is {outcome} and generation {generation:d} is in force")
def step_outcome(context, outcome, generation):
    assert context.outcome is propagation.OfferOutcome[outcome], context.outcome
    step_is_in_force(context, generation)


@then("generation {generation:d} is in force")
def step_is_in_force(context, generation):
    assert context.accepted.in_force.configuration.generation == generation


@then("generation {generation:d} is not wanted")
def step_not_wanted(context, generation):
    assert not context.accepted.is_wanted(make_generation(generation, "other")[0])


@then("generation {generation:d} is wanted")
def step_wanted(context, generation):
    assert context.accepted.is_wanted(make_generation(generation)[0])


@then("both orders of two heads of generation 2 end with the one of the higher store version")
def step_both_orders(context):
    replaced = make_generation(2, "replaced", 20)
    kept = make_generation(2, "kept", 21)
    for first, second in ((replaced, kept), (kept, replaced)):
        accepted = propagation.AcceptedConfiguration()
        accepted.offer(*first, PEER)
        accepted.offer(*second, PEER)
        assert accepted.in_force.mark.write_id == "kept", accepted.in_force.mark


@when("the head of generation 2 is sent as a delta with a changed, a new and a removed shard")
def step_head_delta(context):
    base, head, texts = make_generation(1)
    receiver = propagation.AcceptedConfiguration()
    receiver.offer(base, head, texts, PEER)
    mark, head, texts = make_generation(2, "other")
    # The block shard is replaced by another one; core differs because the deployment's name does.
    text = "10.9.0.0/16 north-a\n"
    digest = configuration.compute_digest(text)
    shards = [pair for pair in head.shards if pair[0] == "core"] + [("blocks-007", digest)]
    head = dataclasses.replace(head, shards=tuple(shards))
    sender = context.accepted
    sender.held = propagation.Generation(mark, head, None, None)
    delta, base = sender.make_head_delta(base)
    context.names = [name for name, _ in delta.shards]
    context.whole, context.head = receiver.apply_head_delta(delta, base), head
    context.without = propagation.AcceptedConfiguration().apply_head_delta(delta, base)


@then("the receiver restores the same head, and without the base it restores none")
def step_same_head(context):
    assert sorted(context.names) == ["blocks-007", "blocks-4-0", "core"], context.names
    assert dict(context.whole.shards) == dict(context.head.shards)
    assert context.without is None


@then("in {count:d} random sequences of offers the mark in force only rises")
def step_random_offers(context, count):
    offers = [make_generation(g, w, g * 10 + len(w)) for g in range(1, 5) for w in ("a", "bb")]
    for seed in range(count):
        rng = random.Random(seed)
        accepted = propagation.AcceptedConfiguration()
        before = None
        for _ in range(20):
            mark, head, texts = rng.choice(offers)
            texts = texts if rng.random() < 0.8 else {}
            accepted.offer(mark, head, texts, rng.choice((STORE, PEER)))
            accepted.put_in_force(rng.choice(offers)[0])
            after = accepted.in_force and accepted.in_force.mark
            assert after == before or propagation.is_higher(after, before), seed
            before = after
