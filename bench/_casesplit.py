"""Headroom lost by splitting a region's limit over its dispatchers, against a shared counter.

A shared counter that is exact in a partition does not exist; it is the ideal that static shares
are compared with.
"""

import random

from bench import _figures, _runs
from skylarksill import _holdings

LOADS = (0.60, 0.70, 0.80, 0.85, 0.90, 0.95)
MEAN_S = 0.05
JOB_COUNT = 30_000


def measure(deployment):
    """Returns the figures of the case for one deployment."""
    parsed, _ = _runs.load_place(deployment)
    region = parsed.regions[0]
    limit = region.max_in_flight
    shares = _holdings.split_region(parsed, region.region_id, limit)
    figures = []
    curves = {"shared counter": ([], []), "static shares": ([], [])}
    for load in LOADS:
        shared = _count_refused(limit, shares, load, is_shared=True) / JOB_COUNT
        split = _count_refused(limit, shares, load, is_shared=False) / JOB_COUNT
        for label, value in (("shared counter", shared), ("static shares", split)):
            curves[label][0].append(load)
            curves[label][1].append(100 * value)
        lost = limit * load * (split - shared)
        prefix = f"split:{region.region_id}:{load * 100:.0f}%"
        figures += [
            _figures.Figure(f"{prefix}:refused_share", deployment, shared, split),
            _figures.Figure(f"{prefix}:lost_slots", deployment, None, lost),
        ]
    _figures.draw_lines(
        f"split-{deployment}",
        f"{deployment}: refusals of {region.region_id} without queues",
        "load (share of max_in_flight)",
        "refused requests (%)",
        curves,
    )
    return figures


def _count_refused(limit, shares, load, is_shared):
    """Counts the refusals of a region that keeps its limit but has no queues."""
    generator = random.Random(17)
    hosts = sorted(shares)
    weights = [shares[host] for host in hosts]
    ends = {host: [] for host in hosts}
    now = 0.0
    refused = 0
    for _ in range(JOB_COUNT):
        now += generator.expovariate(limit * load / MEAN_S)
        host = generator.choices(hosts, weights)[0]
        end = now + generator.expovariate(1 / MEAN_S)
        for name in hosts:
            ends[name] = [time for time in ends[name] if time > now]
        in_flight = sum(map(len, ends.values())) if is_shared else len(ends[host])
        if in_flight >= (limit if is_shared else shares[host]):
            refused += 1
        else:
            ends[host].append(end)
    return refused
