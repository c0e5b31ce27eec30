"""Steps of heartbeat_model.feature."""

from behave import given, then, when

from bench import heartbeat_model

SEED = 1


@given("{count:d} hosts in {regions:d} regions of which {lost:d} of 100 datagrams are lost")
def step_model(context, count, regions, lost):
    context.model = heartbeat_model.Model(count, lost / 100, SEED)
    assert len(context.model.list_regions()) == regions


@when('the scenario "{name}" is played')
def step_play(context, name):
    context.result = context.model.run(heartbeat_model.Scenario(name))


@then("all lists are right within {seconds:g} s")
def step_noticed(context, seconds):
    noticed_s = context.result.noticed_s
    assert noticed_s is not None and noticed_s <= seconds, context.result


@then("no live host was taken for a dead one")
def step_no_false_deaths(context):
    assert context.result.checks and not context.result.false_deaths, context.result


@then("live hosts were taken for dead ones")
def step_false_deaths(context):
    assert context.result.false_deaths, context.result
