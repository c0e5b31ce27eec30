"""Latency of each service against one perfect queue over all slots of the service."""

from bench import _figures, _runs, steered

LOADS = (0.30, 0.60, 0.85)
PERCENTS = (50, 99, 99.9)
MAX_RATIO = 1.15


def measure(deployment):
    """Returns the figures of the case for one deployment."""
    parsed, place = _runs.load_place(deployment)
    figures = []
    curves = {}
    for load in LOADS:
        jobs = _runs.make_jobs(parsed, place, load)
        perfect = _runs.run_baseline(place, jobs)
        ours, _, _ = _runs.run_ours(place, jobs, steered.Plan(parsed))
        for service in parsed.services:
            figures += _compare(deployment, service.service_id, load, perfect, ours)
            _add_points(curves, service.service_id, load, perfect, ours)
    _figures.draw_lines(
        f"latency-{deployment}",
        f"{deployment}: p99 against one perfect queue",
        "load (share of slots)",
        "p99 (ms)",
        curves,
    )
    return figures


def _compare(deployment, service, load, perfect, ours):
    perfect = [job for job in perfect if job.service == service]
    ours = [job for job in ours if job.service == service]
    name = f"latency:{service}:{load * 100:.0f}%"
    figures = []
    for percent in PERCENTS:
        baseline = _runs.find_percentile(perfect, percent)
        figure = (f"{name}:p{percent:g}_ms", deployment, baseline)
        found = _runs.find_percentile(ours, percent)
        if percent == 99:
            figures.append(_figures.compare_ratio(*figure, found, MAX_RATIO))
        else:
            figures.append(_figures.Figure(*figure, found))
    for zone in sorted({job.zone for job in ours}):
        # The same jobs on both sides: the service times of a few hundred jobs differ by chance.
        baseline = _runs.find_percentile([job for job in perfect if job.zone == zone], 99)
        found = _runs.find_percentile([job for job in ours if job.zone == zone], 99)
        figures.append(
            _figures.compare_ratio(f"{name}:{zone}:p99_ms", deployment, baseline, found, MAX_RATIO)
        )
    return figures


def _add_points(curves, service, load, perfect, ours):
    for label, jobs in (("perfect", perfect), ("ours", ours)):
        part = [job for job in jobs if job.service == service]
        x_values, y_values = curves.setdefault(f"{service} {label}", ([], []))
        x_values.append(load)
        y_values.append(_runs.find_percentile(part, 99))
