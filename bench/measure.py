"""Measures the policy against baselines and bounds: ``python -m bench.measure``."""

import argparse
import concurrent.futures
import importlib
import sys

from bench import places

CASES = (
    "latency",
    "slowed",
    "blocking",
    "overload",
    "headroom",
    "drain",
    "stale",
    "split",
    "lookup",
    "added_latency",
    "cost",
)
# These measure modules or processes whose cost does not depend on the deployment's sizes.
SINGLE_CASES = ("lookup", "added_latency", "cost")
TIMED_CASES = ("lookup", "added_latency")
MAX_PROCESSES = 6


def run_case(case, deployment):
    """Returns the figures of a case for one deployment."""
    return importlib.import_module(f"bench._case{case}").measure(deployment)


def measure_all(cases, deployments):
    """Prints the figures of cases in their order.

    Args:
      cases: Names out of CASES.
      deployments: Names out of places.DEPLOYMENTS.
    Returns:
      The numbers of cases that are ok and red; a case counts once for each deployment.
    """
    tasks = [
        (case, deployment)
        for case in cases
        for deployment in (deployments[:1] if case in SINGLE_CASES else deployments)
    ]
    counts = {True: 0, False: 0}
    # Cases in real time run alone after the others, which would take their processors.
    timed = [task for task in tasks if task[0] in TIMED_CASES]
    with concurrent.futures.ProcessPoolExecutor(MAX_PROCESSES) as pool:
        # The cases that take longest start first, so that they do not run on alone.
        order = sorted(tasks, key=lambda task: task[0] not in SINGLE_CASES)
        futures = {task: pool.submit(run_case, *task) for task in order if task not in timed}
        results = {task: future.result() for task, future in futures.items()}
    for task in tasks:
        figures = run_case(*task) if task in timed else results[task]
        for figure in figures:
            print(figure, flush=True)
        counts[all(figure.is_ok for figure in figures)] += 1
    return counts[True], counts[False]


def main(arguments=None):
    """Runs the chosen cases; exits with 1 if one is red."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--case", choices=CASES, action="append")
    parser.add_argument("--deployment", choices=places.DEPLOYMENTS, action="append")
    options = parser.parse_args(arguments)
    ok, red = measure_all(options.case or CASES, options.deployment or places.DEPLOYMENTS)
    print(f"measure: cases={ok + red} ok={ok} red={red}")
    sys.exit(1 if red else 0)


if __name__ == "__main__":
    main()
