"""Steps of known_red.feature."""

from behave import given, then, when

from bench import features


@given('KNOWN-RED.txt lists the scenario "{name}"')
def step_listed(context, name):
    text = f"Tests that fail\n\nfaults: row / fault | command\nfeatures: {name} | command | seen\n"
    context.known_red = features.read_known_red(text)
    assert context.known_red == {name}


@given('KNOWN-RED.txt lists "{step}" of "{name}" at times')
def step_listed_at_times(context, step, name):
    text = f"Tests that fail\n\nfeatures at times: {name} / {step} | command | seen\n"
    context.occasional = features.read_occasional(text)
    assert context.occasional == {(name, step)} and not features.read_known_red(text)


@when('"{name}" ends as {status}')
def step_ends(context, name, status):
    results = [features.Result(name, status)]
    context.sorted = features.sort_scenarios(results, context.known_red)


@when('the step "{step}" of "{name}" ends as {status}')
def step_ends_in_step(context, step, name, status):
    results = [features.Result(name, status, step)]
    context.sorted = features.sort_scenarios(results, set(), context.occasional)


@then("it counts as {outcome}")
def step_counts(context, outcome):
    counts = dict(zip(("passed", "failed", "known"), map(len, context.sorted), strict=True))
    assert counts.pop(outcome) == 1 and not any(counts.values()), context.sorted
