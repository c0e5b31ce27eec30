"""Rate of one look-up process with 330,000 client blocks, measured in real time."""

import subprocess
import sys

from bench import _figures


def measure(deployment):
    """Returns the figures of the case; they do not depend on the deployment's sizes."""
    command = [sys.executable, "-m", "bench.lookup_rate"]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    lines = [line for line in done.stdout.splitlines() if line.startswith("measure: case=lookup")]
    if not lines:
        raise RuntimeError(f"bench.lookup_rate printed no figures: {done.stderr[-500:]}")
    fields = dict(word.split("=", 1) for word in lines[-1].split() if "=" in word)
    rate, baseline = float(fields["ours"]), float(fields["baseline"])
    bound_per_s, bound_ms = float(fields["bound"]), float(fields["p99_bound_ms"])
    _figures.draw_bars(
        f"lookup-{deployment}",
        "Answers per second of one process",
        {"bare WSGI answer": baseline, "look-up": rate},
    )
    p99_ms = float(fields["p99_ms"])
    return [
        _figures.bound_least("lookup:per_s", deployment, rate, bound_per_s, baseline),
        _figures.bound_most("lookup:p99_ms", deployment, p99_ms, bound_ms),
        _figures.Figure("lookup:rss_mb", deployment, None, float(fields["rss_mb"])),
    ]
