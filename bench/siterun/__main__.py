"""Plays planned work in the shape of a site: ``python -m bench.siterun --seed 7 --busy 12``."""

import argparse
import collections
import json
import pathlib
import pickle
import subprocess
import sys
import tempfile

import skylarksill  # noqa: F401  silences eventlet's notice
from bench.siterun import (
    conditions,
    crowd,
    disturbances,
    endviews,
    hostlogs,
    keptcuts,
    losses,
    records,
    rig,
    schedule,
)
from bench.soak import hosts

LENGTH_S = 30.0
# A run takes its length and about 20 s; one that hangs is killed and reported as failed.
RUN_MARGIN_S = 60.0
# Times that clients observe are not judged if a process of the run was later than this itself.
MAX_LATENESS_S = 0.15


def run_seed(
    seed, folder, length_s=LENGTH_S, share=1.0, busy_count=0, checkout=hosts.ROOT, played=()
):
    """Plays the planned work of one seed.

    Args:
      seed: The seed.
      folder: Folder for settings and logs.
      length_s: Time during which planned work begins, in seconds.
      share: Share of the site's clients and requests.
      busy_count: Number of busy processes beside the hosts.
      checkout: Folder of the checkout whose host program is played.
      played: The conditions.Condition items that are played.
    Returns:
      A dict with counts, the losses as text and the folder.
    """
    site_rig = rig.Rig(seed, folder, share, busy_count, checkout, played)
    upstream_count = sum(sum(zone.upstreams.values()) for zone in site_rig.site.zones)
    events = schedule.make_schedule(
        seed, length_s, len(site_rig.hosts), upstream_count, len(rig.CHANGED_SETTINGS), played
    )
    events += disturbances.make_series(seed, length_s, len(site_rig.hosts), played)
    (folder / "schedule.txt").write_text("\n".join(map(repr, events)), encoding="utf-8")
    try:
        site_rig.start()
        site_rig.play(events, length_s)
    finally:
        site_rig.stop()
    observations = site_rig.observations
    (folder / "observations.pickle").write_bytes(pickle.dumps(observations))
    judgement = losses.judge(observations, site_rig.site)
    found = judgement.losses
    log_paths = sorted(folder.glob("host-*.log"))
    ends_at_hosts = hostlogs.read_ends(log_paths)
    kept_cuts, cut_together = keptcuts.count_cuts(observations, judgement.kept_cuts)
    sides = hostlogs.read_sides(log_paths)
    sides_of_ends, differing = endviews.compare_ends(observations.attempts, sides)
    clauses = collections.Counter(loss.clause.value for loss in found)
    ends = collections.Counter(
        str(attempt.status) if attempt.end is records.End.ANSWERED else attempt.end.value
        for attempt in observations.attempts
    )
    return {
        "seed": seed,
        "requests": len(observations.attempts),
        "stops": len(observations.stops),
        "kills": sum(stop.code is None for stop in observations.stops),
        "own_ends": len(observations.ended_hosts),
        "reloads": len(observations.reloads),
        "disturbances": len(observations.disturbances),
        "versions": len(observations.versions),
        "lateness_ms": int(1000 * observations.lateness_s),
        "crowd": observations.crowd_count,
        "burst_requests": sum(
            crowd.is_of_burst(attempt.request_id) for attempt in observations.attempts
        ),
        "half_closed": sum(attempt.is_half_closed for attempt in observations.attempts),
        "http_1_0": sum(attempt.is_old for attempt in observations.attempts),
        "said_last": sum(attempt.is_last for attempt in observations.attempts),
        "crashes": observations.crashes,
        "lost_writes": observations.lost_writes,
        "runs": dict(collections.Counter(run.end.value for run in observations.runs)),
        "ends": dict(ends.most_common()),
        "lost": len({loss.attempt.request_id for loss in found}),
        "clauses": dict(clauses),
        "excuses": {excuse.value: count for excuse, count in judgement.excuses.most_common()},
        "kept_cuts": kept_cuts,
        "cut_together": cut_together,
        "first_cuts": endviews.count_first_cuts(observations),
        "ended_by_rig_and_host": dict(sides_of_ends.most_common()),
        "causes_at_hosts": dict(hostlogs.count_causes(log_paths).most_common()),
        "record": keptcuts.format_cuts(
            observations, site_rig.site, judgement.kept_cuts, ends_at_hosts
        ),
        "differing": [
            f"{attempt.request_id} ({attempt.kind}) at {attempt.host}: {attempt.end.value},"
            f" host: {ends_at_hosts[attempt.request_id]}"
            for attempt in differing
        ],
        "losses": [f"{loss.describe()}{_find_end(loss, ends_at_hosts)}" for loss in found],
        "folder": str(folder),
    }


def _find_end(loss, ends_at_hosts):
    """Returns what the host has logged about the end of a lost request's connection."""
    text = ends_at_hosts.get(loss.attempt.request_id)
    return f"; host: {text}" if text else ""


def run_in_process(seed, folder, options):
    """Plays one seed in a process of its own; returns the dict of ``run_seed`` or None."""
    command = [sys.executable, "-m", "bench.siterun", "--seed", str(seed), "--json"]
    command += ["--length", str(options.length), "--share", str(options.share)]
    command += ["--busy", str(options.busy), "--checkout", str(options.checkout)]
    command += ["--folder", str(folder), "--with", ",".join(sorted(options.conditions))]
    limit_s = options.length + RUN_MARGIN_S
    try:
        result = subprocess.run(command, capture_output=True, text=True, timeout=limit_s)
        return json.loads(result.stdout.splitlines()[-1])
    except subprocess.TimeoutExpired:
        print(f"seed {seed}: the run took longer than {limit_s:g} s", flush=True)
    except (IndexError, json.JSONDecodeError):
        print(f"seed {seed}: the run failed: {result.stderr.strip()[-1500:]}", flush=True)
    return None


def parse_options(arguments=None):
    """Returns the options of a list of arguments, or of the command line."""
    parser = argparse.ArgumentParser(prog="python -m bench.siterun")
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds")
    parser.add_argument("--length", type=float, default=LENGTH_S, help="seconds of planned work")
    parser.add_argument("--share", type=float, default=1.0, help="share of clients and requests")
    parser.add_argument("--busy", type=int, default=0, help="busy processes beside the hosts")
    parser.add_argument("--checkout", default=hosts.ROOT, help="root of the host program")
    parser.add_argument(
        "--with",
        dest="conditions",
        type=conditions.parse_conditions,
        default=frozenset(),
        help=f"what is played beside planned work: {', '.join(conditions.Condition)}",
    )
    parser.add_argument("--folder", help="folder for settings and logs")
    parser.add_argument("--json", action="store_true", help="print the result as JSON")
    options = parser.parse_args(arguments)
    options.checkout = pathlib.Path(options.checkout).resolve()
    return options


def main():
    """Plays one or more seeds; exits with 1 if a request was lost, or a run or a host failed."""
    options = parse_options()
    folder = pathlib.Path(options.folder or tempfile.mkdtemp(prefix="siterun-"))
    if options.json:
        folder.mkdir(parents=True, exist_ok=True)
        result = run_seed(
            options.seed,
            folder,
            options.length,
            options.share,
            options.busy,
            options.checkout,
            options.conditions,
        )
        print(json.dumps(result))
        return
    results = []
    for seed in range(options.seed, options.seed + options.seeds):
        result = run_in_process(seed, folder / str(seed), options)
        results.append(result)
        if result is not None:
            _print_result(result)
    played = [result for result in results if result is not None]
    totals = " ".join(
        f"{name}={sum(result[name] for result in played)}"
        for name in ("requests", "stops", "kills", "own_ends", "reloads", "versions", "lost")
    )
    print(f"siterun: seeds={len(results)} played={len(played)} {totals}")
    has_failed = len(played) < len(results)
    has_failed = has_failed or any(item["lost"] or item["own_ends"] for item in played)
    sys.exit(1 if has_failed else 0)


def _print_result(result):
    for text in (*result.pop("losses"), *result.pop("differing"), *result.pop("record")):
        print(f"seed {result['seed']}: {text}", flush=True)
    is_late = result["lateness_ms"] > 1000 * MAX_LATENESS_S
    note = " (the run itself was late)" if is_late else ""
    print(f"{json.dumps(result)}{note}", flush=True)


if __name__ == "__main__":
    main()
