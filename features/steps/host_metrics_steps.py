"""Steps of host_metrics.feature."""

from behave import then, when

from skylarksill.host import counters


@when("a gauge is set to {value}")
def step_set(context, value):
    context.counters = counters.Counters()
    context.counters.set("load", int(value) if value.isdigit() else float(value))


@then('the metrics show "{text}" for it')
def step_shown(context, text):
    assert context.counters.format() == f"skylarksill_load {text}\n", context.counters.format()
