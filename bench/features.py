"""Runs all behave features and closes with one line that counts scenarios.

Scenarios that KNOWN-RED.txt lists as "features: NAME | ..." have to fail. They are printed and do
not count as failures; one that passes is a failure, as its entry has to go.
"""

import pathlib
import sys

from behave import configuration, runner
from behave.runner_util import reset_runtime

KNOWN_RED = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"
ENTRY_PREFIX = "features: "


def read_known_red(text):
    """Returns the set of scenario names that the text of KNOWN-RED.txt lists for the features."""
    return {
        line.removeprefix(ENTRY_PREFIX).partition(" | ")[0]
        for line in text.splitlines()
        if line.startswith(ENTRY_PREFIX)
    }


def sort_scenarios(results, known_red):
    """Sorts the scenarios that ran by their outcome.

    Args:
      results: Pairs of the name of a scenario and the name of its status.
      known_red: Names of the scenarios that have to fail.
    Returns:
      Lists of the names that passed, failed, and failed as KNOWN-RED.txt says.
    """
    passed, failed, known = [], [], []
    for name, status in results:
        if status == "skipped":
            continue
        has_passed = status == "passed"
        if name in known_red:
            (failed if has_passed else known).append(name)
        else:
            (passed if has_passed else failed).append(name)
    return passed, failed, known


def main():
    """Runs the features; exits with 1 if one failed unexpectedly or none ran."""
    reset_runtime()
    config = configuration.Configuration(
        ["--format", "progress", "--no-timings", "features", *sys.argv[1:]]
    )
    behave_runner = runner.Runner(config)
    has_failed = behave_runner.run()
    results = [
        (scenario.name, scenario.status.name)
        for feature in behave_runner.features
        for scenario in feature.walk_scenarios()
    ]
    known_red = read_known_red(KNOWN_RED.read_text(encoding="utf-8"))
    passed, failed, known = sort_scenarios(results, known_red)
    for name in known:
        print(f"known red: {name}")
    for name in known_red.intersection(failed):
        print(f"passed although KNOWN-RED.txt lists it: {name}")
    print(f"{len(passed)} passed, {len(failed)} failed")
    is_explained = known or not has_failed
    sys.exit(0 if passed and not failed and is_explained else 1)


if __name__ == "__main__":
    main()
