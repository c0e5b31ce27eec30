"""Steps of examples.feature."""

import contextlib
import io
import runpy

from behave import then, when


@when("the example {name} is run")
def step_run(context, name):
    output = io.StringIO()
    with contextlib.redirect_stdout(output):
        runpy.run_path(f"examples/{name}.py", run_name="__main__")
    context.lines = output.getvalue().splitlines()


@then('it prints "{line}"')
def step_prints(context, line):
    assert line in context.lines, context.lines
