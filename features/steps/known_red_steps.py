"""Steps of known_red.feature."""

from behave import given, then, when

from bench import features


@given('KNOWN-RED.txt lists the scenario "{name}"')
def step_listed(context, name):
    text = f"Tests that fail\n\nfaults: row / fault | command\nfeatures: {name} | command | seen\n"
    context.known_red = features.read_known_red(text)
    assert context.known_red == {name}


@when('"{name}" ends as {status}')
def step_ends(context, name, status):
    context.sorted = features.sort_scenarios([(name, status)], context.known_red)


@then("it counts as {outcome}")
def step_counts(context, outcome):
    counts = dict(zip(("passed", "failed", "known"), map(len, context.sorted), strict=True))
    assert counts.pop(outcome) == 1 and not any(counts.values()), context.sorted
