"""Runs the fault soak: ``python -m bench.soak --seeds 50 --jobs 3``."""

import argparse
import concurrent.futures
import json
import pathlib
import subprocess
import sys
import tempfile

import skylarksill  # noqa: F401  silences eventlet's notice

import eventlet  # isort: skip

from bench.soak import checks, clients, schedule, world

FAULTS_S = 10.0
# A run takes about 20 s; one that hangs is ended and counts as violated.
RUN_TIMEOUT_S = 120


def run_seed(seed, folder, faults_s):
    """Plays the schedule of one seed.

    Args:
      seed: The seed.
      folder: Folder for settings and logs.
      faults_s: Time during which faults begin, in seconds.
    Returns:
      A dict with the counts of requests and faults, and the list of violations.
    """
    target = world.World(seed, folder)
    events = schedule.make_schedule(
        seed, faults_s, len(target.hosts), len(target.upstreams), len(world.ZONES)
    )
    load = clients.Clients(target, seed)
    try:
        target.start()
        load.start()
        threads = []
        for at, event in events:
            threads.append(eventlet.spawn_after(at, target.apply, event))
        for thread in threads:
            thread.wait()
        target.check_recovery(load.probe)
        load.finish()
    finally:
        target.stop()
    (folder / "schedule.txt").write_text("\n".join(map(repr, events)), encoding="utf-8")
    violations = checks.list_violations(target.seen)
    return {
        "seed": seed,
        "requests": len(target.seen.sends),
        "served": sum(send.status == 200 for send in target.seen.sends),
        "runs": len(target.seen.runs),
        "faults": len(events),
        "violations": violations,
        "folder": str(folder),
    }


def run_in_process(seed, folder, faults_s):
    """Plays one seed in a process of its own; returns the dict of ``run_seed``."""
    command = [sys.executable, "-m", "bench.soak", "--seed", str(seed), "--json"]
    command += ["--length", str(faults_s), "--folder", str(folder)]
    try:
        result = subprocess.run(command, capture_output=True, text=True, timeout=RUN_TIMEOUT_S)
        return json.loads(result.stdout.splitlines()[-1])
    except subprocess.TimeoutExpired:
        failure = f"the run took longer than {RUN_TIMEOUT_S} s"
    except (IndexError, json.JSONDecodeError):
        failure = f"the run failed: {result.stderr.strip()[-300:]}"
    empty = {"seed": seed, "requests": 0, "served": 0, "runs": 0, "faults": 0}
    return {**empty, "violations": [failure], "folder": str(folder)}


def main():
    """Runs one or more seeds; exits with 1 if a promise was violated."""
    parser = argparse.ArgumentParser(prog="python -m bench.soak")
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--seeds", type=int, default=0, help="number of seeds, each in a process")
    parser.add_argument("--jobs", type=int, default=2, help="seeds that run at the same time")
    parser.add_argument("--length", type=float, default=FAULTS_S, help="seconds of faults")
    parser.add_argument("--folder", help="folder for settings and logs")
    parser.add_argument("--json", action="store_true", help="print the result as JSON")
    options = parser.parse_args()
    folder = pathlib.Path(options.folder or tempfile.mkdtemp(prefix="soak-"))
    if options.seeds:
        results = _run_seeds(options, folder)
    else:
        folder.mkdir(parents=True, exist_ok=True)
        results = [run_seed(options.seed, folder, options.length)]
    if options.json:
        print(json.dumps(results[0]))
        return
    violated = sum(len(result["violations"]) for result in results)
    totals = {
        name: sum(item[name] for item in results) for name in ("requests", "served", "faults")
    }
    print(
        f"soak: seeds={len(results)} requests={totals['requests']} served={totals['served']}"
        f" faults={totals['faults']} violations={violated}"
    )
    sys.exit(1 if violated else 0)


def _run_seeds(options, folder):
    results = []
    with concurrent.futures.ThreadPoolExecutor(options.jobs) as executor:
        seeds = range(options.seed, options.seed + options.seeds)
        futures = [
            executor.submit(run_in_process, seed, folder / str(seed), options.length)
            for seed in seeds
        ]
        for future in concurrent.futures.as_completed(futures):
            result = future.result()
            results.append(result)
            for text in result["violations"]:
                print(f"seed {result['seed']}: {text}; logs in {result['folder']}", flush=True)
    return results


if __name__ == "__main__":
    main()
