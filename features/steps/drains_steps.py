"""Steps of drains.feature."""

from behave import given, then, when

from features import builders
from skylarksill import drains, messages, records


@given("a drain state with a grace period of {grace:g} s")
def step_state(context, grace):
    context.drain = drains.DrainState(grace)
    context.now = 0.0


@when('the events "{events}" happen')
def step_events(context, events):
    for item in events.split(", "):
        time, name = item.split()
        context.now = float(time)
        context.drain.handle(drains.DrainEvent(name), context.now)


@then("the state is {state} and new work is {work}")
def step_check_state(context, state, work):
    assert context.drain.state.value == state
    assert context.drain.accepts_work(context.now) is (work == "taken")


@given("a small configuration to drain with {hosts:d} hosts per zone")
def step_configuration(context, hosts):
    context.configuration = builders.build_configuration(hosts_per_zone=hosts)
    context.loads = ()


@given("{load:d} requests of catalogue in flight in each region, reported {age:d} ms ago")
def step_loads(context, load, age):
    context.loads = tuple(
        messages.LoadEntry(host, "catalogue", 6, 6 - load, 0, load, age)
        for host in ("host-0", "host-2")
    )


@when("the drain of {kind} {name} is previewed")
def step_preview(context, kind, name):
    target = drains.Target(drains.TargetKind(kind), name)
    context.target = target
    context.preview = drains.preview_drain(context.configuration, target, context.loads)


@then(
    "{count:d} records change and catalogue keeps {north:d} slots in north and {south:d} in south"
)
def step_slots(context, count, north, south):
    slots = {
        row.region: row.slots_after
        for row in context.preview.headrooms
        if row.service == "catalogue"
    }
    assert len(context.preview.changed) == count, context.preview.changed
    assert slots == {"north": north, "south": south}, slots


@then('the preview has the fault "{fault}" and ages of {age:d} ms')
def step_fault(context, fault, age):
    assert context.preview.shortfalls == (() if fault == "none" else (fault,)) or (
        fault in context.preview.shortfalls
    ), context.preview.shortfalls
    rows = [row for row in context.preview.headrooms if row.service == "catalogue"]
    assert all(row.age_ms == age for row in rows)


@then("undoing it restores the same configuration")
def step_undo(context):
    drained = context.preview.configuration
    assert drained != context.configuration
    undone, _ = drains.change_state(drained, context.target, records.LifecycleState.SERVING)
    assert undone == context.configuration


@then('draining {kind} {name} is rejected with "{reason}"')
def step_unknown(context, kind, name, reason):
    target = drains.Target(drains.TargetKind(kind), name)
    try:
        drains.preview_drain(context.configuration, target)
    except drains.UnknownTargetError as error:
        assert str(error) == reason
        return
    raise AssertionError("the target was accepted")
