"""Runs all behave features and closes with one line that counts scenarios."""

import sys

from behave import configuration, runner
from behave.runner_util import reset_runtime


def count_scenarios(features):
    """Counts the scenarios that ran.

    Args:
      features: The features that behave has run.
    Returns:
      A pair of passed and failed counts.
    """
    passed = 0
    failed = 0
    for feature in features:
        for scenario in feature.walk_scenarios():
            if scenario.status.name == "passed":
                passed += 1
            elif scenario.status.name not in ("skipped", "untested"):
                failed += 1
    return passed, failed


def main():
    """Runs the features; exits with 1 if one failed or none ran."""
    reset_runtime()
    config = configuration.Configuration(
        ["--format", "progress", "--no-timings", "features", *sys.argv[1:]]
    )
    behave_runner = runner.Runner(config)
    has_failed = behave_runner.run()
    passed, failed = count_scenarios(behave_runner.features)
    print(f"{passed} passed, {failed} failed")
    sys.exit(1 if has_failed or failed or not passed else 0)


if __name__ == "__main__":
    main()
