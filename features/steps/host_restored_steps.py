"""Steps of host_restored_store.feature."""

import json
import subprocess
import sys

from behave import given, then, when

from features import host_builders, host_world
from skylarksill.host import belief, eventlog, records, relay, watching

LIMIT_S = 120
LATER_ERA = 2
RETURNED_AT = 100.0
UPSTREAMS = records.ObjectKind.UPSTREAMS


@then("the store lists the host's entry within {seconds:g} s")
def step_entry(context, seconds):
    host_world.wait_until(seconds, lambda: context.store.list_names("skylarksill-hosts"))


@when("its watches wait and the store is copied")
def step_copy(context):
    host_world.wait_until(4.0, lambda: context.store.count_waiting() == 3)
    context.copy = context.store.make_copy()


@when("the store returns from the copy without the host's entry")
def step_return(context):
    context.highest_revision = context.store.revision
    context.store.return_from_copy(context.copy)
    for name in context.store.list_names("skylarksill-hosts"):
        context.store.delete("skylarksill-hosts", name)


@when('"{name}" drains, and the store\'s revision rises above the one before')
def step_drain_again(context, name):
    spec = dict(context.store.read("servers", name), state="draining")
    context.store.write("servers", name, spec)
    while context.store.revision <= context.highest_revision:
        context.store.write("others", "other", {})


@then('the host logs within {seconds:g} s that "{name}" drains')
def step_logs_drain(context, seconds, name):
    host_world.wait_until(
        seconds, lambda: (name, "draining") in _list_changes(context, "belief.upstream")
    )


@then(
    "the host has logged neither configuration {generation:d} again"
    ' nor that "{name}" is ready again'
)
def step_not_again(context, generation, name):
    generations = [value for _, value in _list_changes(context, "belief.configuration")]
    assert generations.count(str(generation)) == 1 and generations[-1] != str(generation)
    states = [
        value for subject, value in _list_changes(context, "belief.upstream") if subject == name
    ]
    assert states.count("ready") == 1 and states[-1] != "ready", states
    assert ("store", str(LATER_ERA)) in _list_changes(context, "belief.era")


def _list_changes(context, event):
    lines = [json.loads(line) for line in context.log_path.read_text().splitlines()]
    return [(line["subject"], line["value"]) for line in lines if line["event"] == event]


# Followers.


@when('the source reads upstreams "{first}" and "{second}" at revision {revision:d} of a later era')
def step_source_reads(context, first, second, revision):
    _read_upstreams(context.source, (first, second), records.Revision(LATER_ERA, revision))


@when(
    'a source of the earlier era names upstreams "{first}" and "{second}" at revision {revision:d}'
)
def step_earlier_source(context, first, second, revision):
    source = belief.Belief()
    source.accept_configuration(host_builders.build_configuration(3))
    _read_upstreams(source, (first, second), records.Revision(0, revision))
    update = relay.make_update(source, relay.UNKNOWN_SEQUENCE, 0, False, RETURNED_AT)
    relay.apply_update(context.follower, update, RETURNED_AT)


@then('the follower knows "{first}" and "{second}" at revision {revision:d} of the later era')
def step_follower_knows(context, first, second, revision):
    # Missing upstreams are kept for a while.
    context.follower.expire_lapsed(RETURNED_AT)
    assert sorted(context.follower.upstreams) == [first, second], context.follower.upstreams
    assert context.follower.revisions[UPSTREAMS] == records.Revision(LATER_ERA, revision)


@when("the follower reads configuration {generation:d} at revision {revision:d} of a later era")
def step_follower_reads(context, generation, revision):
    context.follower.enter_era(LATER_ERA, 0.0)
    context.follower.accept_configuration(host_builders.build_configuration(generation))
    for kind in records.ObjectKind:
        context.follower.revisions[kind] = records.Revision(LATER_ERA, revision)


@then("the follower has configuration {generation:d}")
def step_follower_configuration(context, generation):
    assert context.follower.configuration.generation == generation


def _read_upstreams(own, names, revision):
    own.enter_era(revision.era, 0.0)
    own.replace_upstreams({name: host_builders.build_upstream(name) for name in names}, 0.0)
    own.expire_lapsed(RETURNED_AT)
    for kind in records.ObjectKind:
        own.revisions[kind] = revision


# What one host believes.


@given("a belief with upstreams {names}")
def step_belief(context, names):
    context.belief = belief.Belief()
    context.belief.enter_era(1, 0.0)
    context.older = {name: host_builders.build_upstream(name) for name in _parse_names(names)}
    context.belief.replace_upstreams(context.older, 0.0)


@when('"{name}" has left')
def step_left(context, name):
    context.belief.remove_upstream(name, 50.0)


@when('"{name}" drains')
def step_drains(context, name):
    changes = {"state": records.UpstreamState.DRAINING}
    context.belief.set_upstream(host_builders.build_upstream(name, **changes))


@when('"{name}" has started anew')
@when('"{name}" registers with a later incarnation')
def step_new_incarnation(context, name):
    context.belief.set_upstream(host_builders.build_upstream(name, incarnation=2))


@when("the store returns from an older copy that lists {names} as they were")
def step_older_copy(context, names):
    listed = {name: context.older[name] for name in _parse_names(names)}
    assert context.belief.enter_era(LATER_ERA, RETURNED_AT)
    context.belief.replace_upstreams(listed, RETURNED_AT)


@when('"{name}" is removed again')
def step_removed_again(context, name):
    context.belief.remove_upstream(name, RETURNED_AT + 1.0)


@then("only {names} are used for {seconds:g} s")
def step_used(context, names, seconds):
    context.belief.expire_lapsed(RETURNED_AT + seconds)
    assert _list_used(context.belief) == _parse_names(names), context.belief.upstreams


@then("{names} are used from {seconds:g} s on")
def step_used_later(context, names, seconds):
    context.belief.expire_lapsed(RETURNED_AT + seconds)
    assert _list_used(context.belief) == _parse_names(names), context.belief.upstreams


@when("zone {zone} is evacuated")
def step_evacuated(context, zone):
    context.belief.replace_evacuated({zone}, 50.0)


@when("the store returns from an older copy without evacuations")
def step_without_evacuations(context):
    context.belief.enter_era(LATER_ERA, RETURNED_AT)
    context.belief.replace_evacuated(set(), RETURNED_AT)


@then("zone {zone} is evacuated for {seconds:g} s")
def step_still_evacuated(context, zone, seconds):
    context.belief.expire_lapsed(RETURNED_AT + seconds)
    assert context.belief.evacuated == {zone}


@then("zone {zone} is no longer evacuated from {seconds:g} s on")
def step_ended(context, zone, seconds):
    context.belief.expire_lapsed(RETURNED_AT + seconds)
    assert zone not in context.belief.evacuated


def _list_used(own):
    ready = records.UpstreamState.READY
    return sorted(name for name, item in own.upstreams.items() if item.state is ready)


def _parse_names(text):
    return sorted(name.strip(' "') for name in text.replace(" and ", ",").split(","))


# The client of the store.


@when("the store returns from an older copy between two pages of a list")
def step_between_pages(context):
    _, _, store = host_builders.import_platform()
    log = eventlog.EventLog("test", len)
    context.client = store.PlatformStore(context.store.address, {"north-a": "north"}, log)
    older, call = context.store.make_copy(), context.client._call

    def call_and_return(*arguments):
        answer = call(*arguments)
        if context.store.era == 1:
            context.store.return_from_copy(older)
        return answer

    context.client._call = call_and_return


@then("listing the upstreams fails as the history is gone")
def step_list_fails(context):
    try:
        context.client.list_upstreams()
    except watching.HistoryGoneError:
        return
    raise AssertionError("pages of two eras were put together")


@then("listing the upstreams again returns {count:d}")
def step_list_again(context, count):
    revision, upstreams = context.client.list_upstreams()
    assert revision.era == LATER_ERA and len(upstreams) == count


# Many hosts, in virtual time.


@when("{runs:d} runs of returns of the store from older copies are played from seed {seed:d}")
def step_play(context, runs, seed):
    command = [sys.executable, "-W", "ignore", "-m", "bench.restored_store"]
    command += ["--seed", str(seed), "--runs", str(runs)]
    context.played = subprocess.run(command, capture_output=True, text=True, timeout=LIMIT_S)


@then("no host used what had left, or forgot what was there")
def step_nothing_outdated(context):
    assert context.played.returncode == 0, context.played.stdout + context.played.stderr
