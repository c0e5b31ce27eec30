"""Steps of host_storecontact.feature."""

import dataclasses
import random

from behave import given, then, when

from features import host_builders, store_simulation


@given(
    "a host in a deployment with `contact` {contact:g} s, `drain` {drain:g} s and"
    " `configApply` {apply:g} s"
)
def step_host(context, contact, drain, apply):
    context.bounds = dataclasses.replace(
        host_builders.BOUNDS, contact_s=contact, drain_s=drain, apply_s=apply
    )
    context.simulation = store_simulation.StoreSimulation(context.bounds)


@then(
    "after {count:d} silences of {shortest:g} to {longest:g} s it has asked again within `contact`"
)
def step_silences(context, count, shortest, longest):
    context.silences = []
    rng = random.Random(29)
    for seed in range(count):
        simulation = store_simulation.StoreSimulation(context.bounds, seed)
        begin = rng.uniform(2.0, 4.0)
        end = begin + rng.uniform(shortest, longest) ** rng.choice((0.5, 1.0))
        simulation.silence = (begin, end)
        simulation.run(end + context.bounds.contact_s)
        asked = [sent for sent, answered in simulation.answered_at if sent >= end]
        assert asked and not simulation.contact.is_lost, (seed, begin, end)
        context.silences.append((begin, end, simulation))


@then("in each silence longer than that it has lost the store within `drain`")
def step_silences_noticed(context):
    drain_s = context.bounds.drain_s
    long = [item for item in context.silences if item[1] - item[0] > context.bounds.contact_s]
    assert len(long) > 20
    for begin, end, simulation in long:
        assert any(begin <= at <= begin + drain_s for at in simulation.lost_at), (begin, end)


@when("each ask is answered after {latency:g} s for {seconds:g} s")
def step_latency(context, latency, seconds):
    context.simulation.latency_s = latency
    context.simulation.run(seconds)


@then("it has never lost the store and has asked at most {count:d} times")
def step_never_lost(context, count):
    assert not context.simulation.lost_at
    assert 10 < len(context.simulation.asked_at) <= count, len(context.simulation.asked_at)


@when("its bounds change to a `drain` of {drain:g} s")
def step_bounds(context, drain):
    context.simulation.contact.set_bounds(dataclasses.replace(context.bounds, drain_s=drain))


@then("it has asked at least {count:d} times")
def step_asked_often(context, count):
    assert len(context.simulation.asked_at) >= count, len(context.simulation.asked_at)


@when("each ask is refused")
def step_refused(context):
    context.simulation.is_refusing = True
    context.simulation.run(5.0)


@when("its asks are answered, but its reads of all objects are not")
def step_incomplete(context):
    context.simulation.is_complete = False
    context.simulation.run(5.0)


@then("it has lost the store within {seconds:g} s of its first ask")
def step_lost_soon(context, seconds):
    assert context.simulation.lost_at[0] <= context.simulation.asked_at[0] + seconds


@when("peers keep it current for {seconds:g} s")
def step_source(context, seconds):
    context.simulation.has_source = True
    context.simulation.run(seconds)


@when("peers no longer keep it current")
def step_no_source(context):
    context.simulation.has_source = False
    context.left_at = context.simulation.now
    context.simulation.run(2.0)


@then("it has asked {count:d} times")
def step_asked(context, count):
    assert len(context.simulation.asked_at) == count


@then("it asks within {seconds:g} s")
def step_asks(context, seconds):
    assert context.simulation.asked_at[0] <= context.left_at + seconds
