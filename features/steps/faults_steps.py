"""Steps of faults.feature."""

from behave import then, when

from bench import _plants, faults, random_runs
from skylarksill import tickets

SEED = 1


def list_violations(run_name, fault):
    violations_by_row = faults.run_column(run_name, fault, SEED)
    assert violations_by_row, f"{fault} was not triggered in {run_name}"
    return [text for violations in violations_by_row.values() for text in violations]


@when("a home reports each lost run as not run")
def step_plant(context):
    original = tickets.HomeTable.complete
    context.add_cleanup(setattr, tickets.HomeTable, "complete", original)
    _plants.report_loss_as_not_run()


@then('the scenario "{run_name}" holds under the fault "{fault}"')
def step_holds(context, run_name, fault):
    violations = list_violations(run_name, fault)
    assert not violations, violations


@then('the scenario "{run_name}" does not hold under the fault "{fault}"')
def step_does_not_hold(context, run_name, fault):
    assert list_violations(run_name, fault)


@then("{count:d} random runs from seed {seed:d} violate no invariant")
def step_random(context, count, seed):
    for number in range(seed, seed + count):
        steps, violations, shortest = random_runs.run_seed(number)
        assert not violations, (number, violations, shortest)
        assert steps > 0
