"""Seeded random runs with all invariants asserted after each step.

Usage: ``python -m bench.random_runs --runs N --seed S``. A violation is printed with the seed of
its run and the shortest list of steps that was found by removing steps.
"""

import argparse
import concurrent.futures
import sys

from bench import _plants, _randomsteps

PROCESSES = 4
MAX_TRIALS = 120


def run_steps(seed, steps):
    """Does the steps of a run until an invariant is violated.

    Args:
      seed: Seed of the network's delays.
      steps: The Steps.
    Returns:
      A pair of the number of steps done and the violations, which are empty if all held.
    """
    run = _randomsteps.RandomRun(seed)
    for count, step in enumerate(steps, start=1):
        violations = run.do(step)
        if violations:
            return count, violations
    return len(steps), run.settle()


def shorten_steps(seed, steps):
    """Removes steps as long as the run still violates an invariant."""
    size = max(1, len(steps) // 2)
    trials = 0
    while trials < MAX_TRIALS:
        position = 0
        while position < len(steps) and trials < MAX_TRIALS:
            shorter = steps[:position] + steps[position + size :]
            trials += 1
            if run_steps(seed, shorter)[1]:
                steps = shorter
            else:
                position += size
        if size == 1:
            break
        size //= 2
    return steps


def run_seed(seed):
    """Runs one seed; returns the steps done, the violations and the shortest steps found."""
    steps = _randomsteps.make_steps(seed)
    count, violations = run_steps(seed, steps)
    shortest = shorten_steps(seed, steps[:count]) if violations else []
    if shortest:
        violations = run_steps(seed, shortest)[1]
    return count, violations, shortest


def run_all(runs, seed, plant=None):
    """Runs the seeds ``seed`` to ``seed + runs - 1``.

    Returns:
      A list of (seed, steps done, violations, shortest steps).
    """
    seeds = range(seed, seed + runs)
    with concurrent.futures.ProcessPoolExecutor(
        PROCESSES, initializer=_plants.apply_plant, initargs=(plant,)
    ) as pool:
        return [
            (number, *result)
            for number, result in zip(seeds, pool.map(run_seed, seeds), strict=True)
        ]


def main():
    """Prints violations and the closing line; exits with 1 if there are any."""
    parser = argparse.ArgumentParser(prog="python -m bench.random_runs")
    parser.add_argument("--runs", type=int, default=20)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--plant", choices=sorted(_plants.PLANTS), help="rule to replace")
    arguments = parser.parse_args()
    results = run_all(arguments.runs, arguments.seed, arguments.plant)
    for seed, _, violations, shortest in results:
        if violations:
            print(f"seed {seed}: {violations[0]}")
            for step in shortest:
                print(f"  {step}")
    steps = sum(count for _, count, _, _ in results)
    failed = sum(bool(violations) for _, _, violations, _ in results)
    print(f"random: runs={len(results)} steps={steps} violations={failed} seed={arguments.seed}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
