"""Steps of quota_model.feature."""

from behave import given, then, when

from bench import _quotaworld, quota_model

SEED = 1


@given("{hosts:d} hosts with {accounts:d} accounts")
def step_model(context, hosts, accounts):
    context.model = quota_model.Model(hosts, accounts, SEED)


@given('{hosts:d} hosts with {accounts:d} accounts and the planted fault "{name}"')
def step_planted(context, hosts, accounts, name):
    plant = _quotaworld.Plant(name)
    context.model = quota_model.Model(hosts, accounts, SEED, plant)


@when('the quota scenario "{name}" is played')
def step_play(context, name):
    context.result = context.model.run(quota_model.Scenario(name))


@then("no account exceeds its bound")
def step_bound(context):
    assert 0.5 < context.result.worst <= 1.0 and not context.result.over, context.result


@then("an account exceeds its bound")
def step_over(context):
    assert context.result.over and context.result.worst > 1.0, context.result


@then("at most {most:g} of 100 requests below the quota are refused in calm")
def step_calm(context, most):
    assert context.result.calm_refused <= most / 100, context.result


@then("at most {most:g} of 100 soon after a change")
def step_change(context, most):
    assert context.result.change_refused <= most / 100, context.result


@then("more than {least:g} of 100 requests below the quota are refused")
def step_refused(context, least):
    assert context.result.calm_refused > least / 100, context.result
