"""Steps of settings.feature."""

import pathlib
import tempfile

from behave import given, then, when

from skylarksill import settings


@given("a settings file")
def step_file(context):
    directory = tempfile.TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    context.path = pathlib.Path(directory.name) / "host.ini"
    context.path.write_text(context.text, encoding="utf-8")


@when("the settings are loaded")
def step_load(context):
    context.settings, context.problems = settings.load_settings(context.path)


@when('the settings are loaded with "{override}"')
def step_load_override(context, override):
    context.settings, context.problems = settings.load_settings(context.path, [override])


@when("settings are loaded from a missing file")
def step_load_missing(context):
    context.path = pathlib.Path("missing.ini")
    context.settings, context.problems = settings.load_settings(context.path)


@then("there are no problems")
def step_no_problems(context):
    assert context.problems == (), context.problems


@then("the agent port is 7004 and there are 2 peers")
def step_values(context):
    assert context.settings.agent_port == 7004
    assert context.settings.peers == (("127.0.1.2", 7004), ("127.0.1.3", 7004))


@then('the only problem is at "{section}" "{key}"')
def step_problem(context, section, key):
    problem_keys = [(problem.section, problem.key) for problem in context.problems]
    assert problem_keys == [(section, key)], context.problems
    assert context.settings is None


@then("the only problem names the file")
def step_problem_file(context):
    assert [problem.key for problem in context.problems] == ["missing.ini"]
