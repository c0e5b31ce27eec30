"""Head-of-line blocking: 3% of the jobs take 50 times as long as the others."""

from bench import _figures, _runs, steered

LOAD = 0.70
LONG_SHARE = 0.03
MAX_DEADLINE_MS = 60_000
MAX_RATIO = 1.5


def measure(deployment):
    """Returns the figures of the case for one deployment."""
    parsed, place = _runs.load_place(deployment, MAX_DEADLINE_MS)
    plan = steered.Plan(parsed, deadline_ms=MAX_DEADLINE_MS)
    short_jobs = _runs.make_jobs(parsed, place, LOAD)
    calm, _, _ = _runs.run_ours(place, short_jobs, plan)
    jobs = _runs.make_jobs(parsed, place, LOAD, long_share=LONG_SHARE)
    perfect = _runs.run_baseline(place, jobs)
    figures = []
    series = {"perfect queue": _list_short(perfect)}
    for name, has_own_routes in (("own_route", True), ("shared_route", False)):
        routed = steered.Plan(parsed, deadline_ms=MAX_DEADLINE_MS, has_own_routes=has_own_routes)
        ours, _, _ = _runs.run_ours(place, jobs, routed)
        for service in parsed.services:
            figures += _compare(deployment, service.service_id, name, calm, ours)
        series[f"ours, {name.replace('_', ' ')}"] = _list_short(ours)
    _draw(deployment, series)
    return figures


def _compare(deployment, service, name, calm, ours):
    calm = [job for job in calm if job.service == service]
    short = [job for job in ours if job.service == service and not job.is_long]
    long = [job for job in ours if job.service == service and job.is_long]
    prefix = f"blocking:{service}:{name}"
    deadline_s = MAX_DEADLINE_MS / 1000
    return [
        _figures.compare_ratio(
            f"{prefix}:short_p99_ms",
            deployment,
            _runs.find_percentile(calm, 99, deadline_s),
            _runs.find_percentile(short, 99, deadline_s),
            MAX_RATIO,
        ),
        _figures.compare_ratio(
            f"{prefix}:long_mean_s",
            deployment,
            _average(job.work_s for job in long),
            _average(_runs.list_latencies(long, deadline_s)),
            MAX_RATIO,
        ),
        _figures.Figure(
            f"{prefix}:unanswered", deployment, None, sum(job.finished is None for job in ours)
        ),
    ]


def _average(values):
    values = list(values)
    return sum(values) / len(values)


def _list_short(jobs):
    latencies = sorted(1000 * job.latency_s for job in jobs if job.finished and not job.is_long)
    step = max(1, len(latencies) // 200)
    x_values = range(0, len(latencies), step)
    return [100 * x / len(latencies) for x in x_values], [latencies[x] for x in x_values]


def _draw(deployment, series):
    _figures.draw_lines(
        f"blocking-{deployment}",
        f"{deployment}: short work beside 3% of stragglers",
        "percentile",
        "latency (ms)",
        series,
    )
