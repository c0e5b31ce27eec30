"""Tail latency while 3 upstreams of each service in turn are 10 times slower."""

import collections

from bench import _figures, _runs, baselines, queue_model, steered

LOAD = 0.70
MAX_RATIO = 1.5
MAX_ROUND_ROBIN_RATIO = 1 / 3


def measure(deployment):
    """Returns the figures of the case for one deployment."""
    parsed, place = _runs.load_place(deployment)
    jobs = _runs.make_jobs(parsed, place, LOAD)
    plan = steered.Plan(parsed)
    calm, _, _ = _runs.run_ours(place, jobs, plan)
    slowed, fleet, _ = _runs.run_ours(place, jobs, plan, _runs.slow_each_service)
    turns = _runs.run_baseline(place, jobs, baselines.RoundRobin, _runs.slow_each_service)
    figures = []
    for service in parsed.services:
        parts = [_select(run, service.service_id) for run in (calm, slowed, turns)]
        is_idempotent = service.service_id in _runs.list_idempotent(parsed)
        figures += _compare(deployment, service.service_id, is_idempotent, *parts)
    figures.append(_figures.bound_most("slowed:repeated", deployment, fleet.repeated, 0))
    _draw(deployment, _runs.list_idempotent(parsed)[0], calm, slowed, turns)
    return figures


def _compare(deployment, service, is_idempotent, calm, slowed, turns):
    found = _runs.find_percentile(slowed, 99)
    calm_ms = _runs.find_percentile(calm, 99)
    turns_ms = _runs.find_percentile(turns, 99)
    unanswered = sum(job.finished is None for job in slowed)
    reported = _figures.Figure(f"slowed:{service}:unanswered", deployment, None, unanswered)
    against_calm = f"slowed:{service}:p99_ms:none_slowed"
    against_turns = f"slowed:{service}:p99_ms:round_robin"
    if not is_idempotent:
        return [
            _figures.Figure(against_calm, deployment, calm_ms, found),
            _figures.Figure(against_turns, deployment, turns_ms, found),
            reported,
        ]
    return [
        _figures.compare_ratio(against_calm, deployment, calm_ms, found, MAX_RATIO),
        _figures.compare_ratio(against_turns, deployment, turns_ms, found, MAX_ROUND_ROBIN_RATIO),
        reported,
    ]


def _select(jobs, service):
    return [job for job in jobs if job.service == service]


def _draw(deployment, service, calm, slowed, turns):
    runs = {"none slowed": calm, "slowed": slowed, "slowed, round robin": turns}
    series = {label: _list_seconds(_select(jobs, service)) for label, jobs in runs.items()}
    _figures.draw_lines(
        f"slowed-{deployment}",
        f"{deployment}: {service} while 3 upstreams are 10 times slower",
        "time (s)",
        "p99 of the jobs that arrived in a second (ms)",
        series,
    )


def _list_seconds(jobs):
    seconds = collections.defaultdict(list)
    for job, latency_s in zip(jobs, _runs.list_latencies(jobs), strict=True):
        seconds[int(job.arrival)].append(1000 * latency_s)
    x_values = sorted(seconds)
    return x_values, [queue_model.compute_percentile(seconds[x], 99) for x in x_values]
