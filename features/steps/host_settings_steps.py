"""Steps of host_settings.feature."""

import subprocess
import sys
import tempfile

from behave import given, then

from features import host_builders
from standins import platformdata

START_SCRIPT = host_builders.PLATFORM_FOLDER / "start.py"
REQUIRED_FIELDS = (
    "self.node",
    "self.ip",
    "self.zone",
    "self.limits.memoryMb",
    "platform.platform.address",
    "terms.bounds.grace",
)


@given("the platform's settings file")
def step_settings(context):
    context.lines = platformdata.build_settings_lines("127.0.0.1", ("127.0.0.1", 9), 7200, 7300)


@then("the settings name the zone, the store and the bounds")
def step_settings_read(context):
    settings = _load(context.lines)
    assert settings.zone == "north-a" and settings.region == "north"
    assert settings.store == ("127.0.0.1", 9)
    assert settings.bounds.drain_s == 2.5 and settings.bounds.retry_extra == 58


@then("without each required field the error names its field")
def step_settings_missing(context):
    hostfile, _, _ = host_builders.import_platform()
    for name in REQUIRED_FIELDS:
        lines = [line for line in context.lines if not line.startswith(f"{name}=")]
        try:
            _load(lines)
        except hostfile.SettingsError as error:
            assert name in str(error)
        else:
            raise AssertionError(f"settings without {name} were accepted")


@then("with {name} set to {value} the error names the field")
def step_settings_malformed(context, name, value):
    hostfile, _, _ = host_builders.import_platform()
    lines = [line for line in context.lines if not line.startswith(f"{name}=")]
    try:
        _load([*lines, f"{name}={value}"])
    except hostfile.SettingsError as error:
        assert name in str(error), error
    else:
        raise AssertionError(f"{name}={value} was accepted")


@then("checking it exits with code {code:d} and names the host")
def step_check_valid(context, code):
    result = _check_settings(context.lines)
    assert result.returncode == code and "edge-1" in result.stdout, result


@then("checking it without its zone exits with code {code:d} and names the field")
def step_check_invalid(context, code):
    lines = [line for line in context.lines if not line.startswith("self.zone=")]
    result = _check_settings(lines)
    assert result.returncode == code and "self.zone" in result.stderr, result


def _load(lines):
    hostfile, _, _ = host_builders.import_platform()
    with tempfile.NamedTemporaryFile("w", suffix=".conf") as file:
        file.write("\n".join(lines))
        file.flush()
        return hostfile.load_settings(file.name)


def _check_settings(lines):
    with tempfile.NamedTemporaryFile("w", suffix=".conf") as file:
        file.write("\n".join(lines))
        file.flush()
        command = [sys.executable, str(START_SCRIPT), "--check", file.name]
        return subprocess.run(command, capture_output=True, text=True, timeout=30)
