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
# Run for one deployment only, since the measured cost does not depend on the deployment's sizes.
SINGLE_CASES = ("lookup", "added_latency", "cost")
TIMED_CASES = ("lookup", "added_latency")
MAX_PROCESSES = 6


def run_case(case, deployment):
    """Runs a case for one deployment and returns its figures."""
    return importlib.import_module(f"bench._case{case}").measure(deployment)


def measure_all(cases, deployments):
    """Runs cases and prints their figures in the order of ``cases``.

    Args:
      cases: Names out of CASES.
      deployments: Names out of places.DEPLOYMENTS.
    Returns:
      The numbers of ok and red cases; a case counts once for each deployment.
    """
    tasks = [
        (case, deployment)
        for case in cases
        for deployment in (deployments[:1] if case in SINGLE_CASES else deployments)
    ]
    counts = {True: 0, False: 0}
    # Cases that measure real time run alone after the others, which would compete for the CPUs.
    timed = [task for task in tasks if task[0] in TIMED_CASES]
    with concurrent.futures.ProcessPoolExecutor(MAX_PROCESSES) as pool:
        # The longest cases start first, so that none is left running alone at the end.
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
