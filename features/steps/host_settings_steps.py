"""Steps of host_settings.feature."""

import subprocess
import sys
import tempfile

from behave import given, then

from features import host_builders
from standins import platformdata

START_SCRIPT = host_builders.PLATFORM_FOLDER / "start.py"
EXAMPLE_KEYS = host_builders.PLATFORM_FOLDER.parent / "deploy" / "peer-keys.example.ini"
# Runs the start script and sends SIGHUP to it when it imports its first library.
SIGNALED_START = """
import os, runpy, signal, sys

class Signaler:
    def find_spec(self, name, path, target=None):
        if name == "eventlet":
            os.kill(os.getpid(), signal.SIGHUP)

script = sys.argv[1]
sys.argv = sys.argv[1:]
sys.path.insert(0, os.path.dirname(script))
sys.meta_path.insert(0, Signaler())
runpy.run_path(script, run_name="__main__")
"""
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


@then("a reload signal during its imports doesn't end it")
def step_reload_while_starting(context):
    ended = _check_settings(context.lines, "-c", SIGNALED_START, str(START_SCRIPT))
    assert ended.returncode == 0 and "are valid" in ended.stdout, ended


@then("checking it with the example keys exits with code 0 and names the key that seals")
def step_check_keys(context):
    ended = _check_settings(context.lines, str(START_SCRIPT), "--peer-keys", str(EXAMPLE_KEYS))
    assert ended.returncode == 0 and "seals with example-1" in ended.stdout, ended


@then("checking it with a missing file of keys exits with code 2 and names that file")
def step_check_missing_keys(context):
    ended = _check_settings(context.lines, str(START_SCRIPT), "--peer-keys", "/missing/keys.ini")
    assert ended.returncode == 2 and "/missing/keys.ini" in ended.stderr, ended


def _load(lines):
    hostfile, _, _ = host_builders.import_platform()
    with tempfile.NamedTemporaryFile("w", suffix=".conf") as file:
        file.write("\n".join(lines))
        file.flush()
        return hostfile.load_settings(file.name)


def _check_settings(lines, *arguments):
    """Runs the start script with ``--check`` on a settings file.

    Args:
      lines: Lines of the settings file.
      arguments: Arguments of the interpreter that name the script; the script alone by default.
    Returns:
      The ended process.
    """
    with tempfile.NamedTemporaryFile("w", suffix=".conf") as file:
        file.write("\n".join(lines))
        file.flush()
        command = [sys.executable, *(arguments or [str(START_SCRIPT)]), "--check", file.name]
        return subprocess.run(command, capture_output=True, text=True, timeout=30)
