"""Runs the fault soak: ``python -m bench.soak --seeds 50 --jobs 3``."""

import argparse
import concurrent.futures
import json
import pathlib
import pickle
import subprocess
import sys
import tempfile

import skylarksill  # noqa: F401  silences eventlet's notice

import eventlet  # isort: skip

from bench.soak import checks, clients, frail, schedule, upstreams, world

FAULTS_S = 10.0
# A run takes about 35 s; one that hangs is killed and reported as a violation.
RUN_TIMEOUT_S = 120


def run_seed(seed, folder, faults_s, load_factor=1):
    """Runs the schedule of one seed.

    Args:
      seed: The seed.
      folder: Folder for settings and logs.
      faults_s: Time during which faults start, in seconds.
      load_factor: Number of clients as a multiple of the usual one.
    Returns:
      A dict with the counts of requests and faults, and the list of violations.
    """
    soak_world = world.World(seed, folder)
    events = schedule.make_schedule(
        seed, faults_s, len(soak_world.hosts), len(soak_world.upstreams), len(upstreams.ZONES)
    )
    events += schedule.make_partial_phase(seed, faults_s, len(soak_world.hosts))
    load = clients.Clients(soak_world, seed, load_factor)
    frail_load = frail.FrailClients(soak_world, seed)
    try:
        soak_world.start()
        load.start()
        frail_load.start()
        key_changes = eventlet.spawn(soak_world.replace_keys)
        threads = []
        for at, event in events:
            threads.append(eventlet.spawn_after(at, soak_world.apply, event))
        for thread in threads:
            thread.wait()
        key_changes.kill()
        soak_world.check_recovery(load.probe)
        load.finish()
        frail_load.finish()
    finally:
        soak_world.stop()
    (folder / "schedule.txt").write_text("\n".join(map(repr, events)), encoding="utf-8")
    unanswered = [item for item in soak_world.observations.client_requests if item.status is None]
    (folder / "unanswered.txt").write_text("\n".join(map(repr, unanswered)), encoding="utf-8")
    violations = checks.list_violations(soak_world.observations)
    if violations:
        # For tracing: what the checks have seen.
        (folder / "observations.pickle").write_bytes(pickle.dumps(soak_world.observations))
    return {
        "seed": seed,
        "requests": len(soak_world.observations.client_requests),
        "served": sum(request.status == 200 for request in soak_world.observations.client_requests),
        "runs": len(soak_world.observations.runs),
        "crashes": len(soak_world.observations.crash_runs),
        "uploads": len(soak_world.observations.uploads),
        "versions": len(soak_world.observations.versions),
        "faults": sum(not isinstance(event, schedule.EditRoutes) for _, event in events),
        "standstill_s": max((e - b for b, e in soak_world.observations.client_delays), default=0.0),
        "violations": violations,
        "folder": str(folder),
    }


def run_in_process(seed, folder, faults_s, load_factor=1):
    """Runs one seed in a process of its own; returns the dict of ``run_seed``."""
    command = [sys.executable, "-m", "bench.soak", "--seed", str(seed), "--json"]
    command += ["--length", str(faults_s), "--folder", str(folder), "--load", str(load_factor)]
    try:
        result = subprocess.run(command, capture_output=True, text=True, timeout=RUN_TIMEOUT_S)
        return json.loads(result.stdout.splitlines()[-1])
    except subprocess.TimeoutExpired:
        failure = f"the run took longer than {RUN_TIMEOUT_S} s"
    except (IndexError, json.JSONDecodeError):
        failure = f"the run failed: {result.stderr.strip()[-300:]}"
    empty = {"seed": seed, "requests": 0, "served": 0, "runs": 0, "versions": 0, "faults": 0}
    empty.update(crashes=0, uploads=0)
    empty["standstill_s"] = 0.0
    return {**empty, "violations": [failure], "folder": str(folder)}


def main():
    """Runs one or more seeds; exits with 1 if a promise was violated."""
    parser = argparse.ArgumentParser(prog="python -m bench.soak")
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--seeds", type=int, default=0, help="number of seeds, each in a process")
    parser.add_argument("--jobs", type=int, default=2, help="seeds that run at the same time")
    parser.add_argument("--length", type=float, default=FAULTS_S, help="seconds of faults")
    parser.add_argument("--load", type=int, default=1, help="multiple of the usual clients")
    parser.add_argument("--folder", help="folder for settings and logs")
    parser.add_argument("--json", action="store_true", help="print the result as JSON")
    options = parser.parse_args()
    folder = pathlib.Path(options.folder or tempfile.mkdtemp(prefix="soak-"))
    if options.seeds:
        results = _run_seeds(options, folder)
    else:
        folder.mkdir(parents=True, exist_ok=True)
        results = [run_seed(options.seed, folder, options.length, options.load)]
        if options.json:
            print(json.dumps(results[0]))
            return
        _print_violations(results[0])
    violated = sum(len(result["violations"]) for result in results)
    totals = " ".join(
        f"{name}={sum(item[name] for item in results)}"
        for name in ("requests", "served", "versions", "faults", "crashes", "uploads")
    )
    print(f"soak: seeds={len(results)} {totals} violations={violated}")
    sys.exit(1 if violated else 0)


def _run_seeds(options, folder):
    results = []
    with concurrent.futures.ThreadPoolExecutor(options.jobs) as executor:
        seeds = range(options.seed, options.seed + options.seeds)
        futures = [
            executor.submit(run_in_process, seed, folder / str(seed), options.length, options.load)
            for seed in seeds
        ]
        for future in concurrent.futures.as_completed(futures):
            result = future.result()
            results.append(result)
            _print_violations(result)
    return results


def _print_violations(result):
    for text in result["violations"]:
        print(f"seed {result['seed']}: {text}; logs in {result['folder']}", flush=True)
    if result["violations"] and result["standstill_s"]:
        # What the clients have seen late may explain a violation.
        print(f"seed {result['seed']}: clients stood still for {result['standstill_s']:.2f} s")


if __name__ == "__main__":
    main()
