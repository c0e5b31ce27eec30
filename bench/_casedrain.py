"""Planned drains of an upstream, a host, a zone and a region."""

import dataclasses

from bench import _figures, _runs, steered
from skylarksill import drains

LOAD = 0.45
JOB_COUNT = 14_000
DRAIN_AT_S = 3.0
MAX_LAST_START_S = 3.0
MIN_HEADROOM = 0.10
SETTLED_S = 4.0


def measure(deployment):
    """Returns the figures of the case for one deployment."""
    parsed, place = _runs.load_place(deployment)
    jobs = _runs.make_jobs(parsed, place, LOAD, JOB_COUNT)
    figures = []
    series = {}
    for kind, name in _list_targets(parsed):
        target = drains.Target(kind, name)
        found, points = _drain(deployment, parsed, place, jobs, target)
        figures += found
        series[f"{kind.value} {name}"] = points
    _figures.draw_lines(
        f"drain-{deployment}",
        f"{deployment}: answers of the drained upstreams",
        "time since the drain (s)",
        "answers within 0.2 s",
        series,
    )
    return figures


def _list_targets(parsed):
    region = parsed.regions[1].region_id
    zone = next(zone.zone_id for zone in parsed.zones if zone.region_id == region)
    host = next(host.host_id for host in parsed.hosts if host.zone_id == zone)
    upstream = next(item.upstream_id for item in parsed.upstreams if item.home == host)
    kinds = drains.TargetKind
    return (
        (kinds.UPSTREAM, upstream),
        (kinds.HOST, host),
        (kinds.ZONE, zone),
        (kinds.REGION, region),
    )


def _drain(deployment, parsed, place, jobs, target):
    drain_at = jobs[0].arrival + DRAIN_AT_S
    previews = []

    def prepare(fleet):
        fleet.simulator.schedule(drain_at, _apply, fleet, target, previews)

    ours, fleet, _ = _runs.run_ours(place, jobs, steered.Plan(parsed), prepare=prepare)
    preview = previews[0]
    left = _list_left(parsed, preview.configuration)
    last = max((fleet.last_starts.get(name, drain_at) for name in left), default=drain_at)
    cut_off = [job for job in ours if job.finished is None and job.verdict != "NOT_RUN"]
    refused = sum(job.finished is None for job in ours) - len(cut_off)
    prefix = f"drain:{target.kind.value}"
    usage, is_announced = _find_usage(place, preview, ours, drain_at)
    figures = [
        _figures.bound_most(
            f"{prefix}:last_new_work_s", deployment, last - drain_at, MAX_LAST_START_S
        ),
        _figures.bound_most(f"{prefix}:cut_off", deployment, len(cut_off), 0),
        _figures.Figure(f"{prefix}:refused", deployment, None, refused),
        _figures.Figure(f"{prefix}:p99_ms", deployment, None, _find_p99(ours, drain_at)),
        _figures.Figure(
            f"{prefix}:least_headroom",
            deployment,
            None,
            1 - usage,
            f">={MIN_HEADROOM:g}_or_announced",
            1 - usage >= MIN_HEADROOM or is_announced,
        ),
    ]
    return figures, _list_answers(ours, left, drain_at)


def _apply(fleet, target, previews):
    host = next(iter(fleet.drivers))
    loads = fleet.gossip.list_loads(host)
    parsed = fleet.configuration
    preview = drains.preview_drain(parsed, target, loads)
    previews.append(preview)
    generation = parsed.generation + 1
    fleet.apply_configuration(dataclasses.replace(preview.configuration, generation=generation))


def _list_left(before, after):
    """Returns the names of the hosts and upstreams whose state has changed."""
    pairs = [
        *zip(before.hosts, after.hosts, strict=True),
        *zip(before.upstreams, after.upstreams, strict=True),
    ]
    names = [getattr(new, "host_id", None) or new.upstream_id for old, new in pairs if old != new]
    homed = [item.upstream_id for item in before.upstreams if item.home in names]
    # A drained host's upstreams may go on with the slot of their standby.
    return [name for name in names if name not in homed] or names


def _find_usage(place, preview, jobs, drain_at):
    """Returns the greatest usage of a service's remaining slots and whether it was announced."""
    begin = drain_at + SETTLED_S
    end = jobs[-1].arrival
    worst = 0.0
    is_announced = bool(preview.faults)
    for service in sorted({job.service for job in jobs}):
        rows = [row for row in preview.headrooms if row.service == service]
        slots = sum(row.slots_after for row in rows)
        done = [
            job
            for job in jobs
            if job.service == service and job.finished and begin <= job.finished < end
        ]
        usage = sum(job.work_s for job in done) / ((end - begin) * slots)
        if usage > worst:
            worst = usage
            free = sum(row.free_after or 0 for row in rows)
            is_announced |= free < MIN_HEADROOM * slots
    return worst, is_announced


def _find_p99(jobs, drain_at):
    return _runs.find_percentile([job for job in jobs if job.arrival >= drain_at], 99)


def _list_answers(jobs, left, drain_at):
    counts = {}
    for job in jobs:
        if job.finished is not None and job.upstream in left:
            bucket = round((job.finished - drain_at) / 0.2)
            counts[bucket] = counts.get(bucket, 0) + 1
    buckets = sorted(counts)
    return [0.2 * bucket for bucket in buckets], [counts[bucket] for bucket in buckets]
