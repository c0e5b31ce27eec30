"""Steps of experiment.feature."""

import dataclasses
import pathlib
import tempfile

from behave import given, then, when

from bench import experiment, fleet_model
from skylarksill.host import placement

SEEDS = (1, 2, 3)
NO_WAIT = experiment.Policy(
    "no wait",
    ((placement, "COMPLETION_TARGET_SHARE", 0.0), (placement, "MIN_WAIT_TARGET_SHARE", 0.0)),
)
CURRENT = experiment.POLICIES[0]


@given('the load "{name}" for {seconds:g} s')
def step_load(context, name, seconds):
    # At a high rate, so that some requests have to wait.
    context.load = dataclasses.replace(fleet_model.LOADS[name], length_s=seconds, rate=500.0)


@when("it is played with a policy that accepts no wait, and then with the current one")
def step_play(context):
    context.changed = experiment.run_policy(NO_WAIT, context.load, SEEDS)
    context.current = experiment.run_policy(CURRENT, context.load, SEEDS)


@then("the first results differ from the second, which are those of the model alone")
def step_differ(context):
    assert context.changed != context.current
    assert context.current == [fleet_model.Model(context.load, seed).run() for seed in SEEDS]


@when("a policy whose second constant doesn't exist is played")
def step_broken_policy(context):
    context.before = placement.COMPLETION_TARGET_SHARE
    changes = ((placement, "COMPLETION_TARGET_SHARE", 0.0), (placement, "NO_SUCH_NAME", 1.0))
    context.error = None
    try:
        experiment.run_policy(experiment.Policy("broken", changes), context.load, SEEDS)
    except AttributeError as error:
        context.error = error


@then("it fails, and its first constant is as before")
def step_restored(context):
    assert "NO_SUCH_NAME" in str(context.error)
    assert context.before == placement.COMPLETION_TARGET_SHARE > 0.0


@then("the table has the shares of {count:d} policies over {seeds:d} seeds, which sum to 1")
def step_table(context, count, seeds):
    context.rows = [
        experiment.summarise(
            "calm", policy, experiment.run_policy(policy, context.load, SEEDS[:seeds])
        )
        for policy in (CURRENT, NO_WAIT)
    ]
    for row in context.rows:
        assert abs(row.in_time + row.late + row.rejected + row.failed - 1.0) < 1e-9, row
    lines = experiment.format_table(context.rows).splitlines()[2:]
    assert len(lines) == count
    assert all(
        f"| {row.in_time:.3f} ±" in line for row, line in zip(context.rows, lines, strict=True)
    )


@then("the chart of them is drawn twice with the same bytes and names both policies")
def step_chart(context):
    with tempfile.TemporaryDirectory() as folder:
        paths = [pathlib.Path(folder) / f"{name}.svg" for name in ("first", "second")]
        for path in paths:
            experiment.draw_chart(context.rows, path)
        first, second = (path.read_bytes() for path in paths)
    assert first == second and first.startswith(b"<?xml")
    assert b"<!-- current -->" in first and b"<!-- no wait -->" in first
