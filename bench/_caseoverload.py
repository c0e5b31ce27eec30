"""Overload: 150% of what the slots can serve."""

from bench import _figures, _runs, steered

LOAD = 1.5
MIN_GOODPUT = 0.95
MAX_REFUSAL_S = 0.05
SETTLED_S = 2.0


def measure(deployment):
    """Returns the figures of the case for one deployment."""
    parsed, place = _runs.load_place(deployment)
    jobs = _runs.make_jobs(parsed, place, LOAD)
    ours, _, _ = _runs.run_ours(place, jobs, steered.Plan(parsed))
    start, end = jobs[0].arrival + SETTLED_S, jobs[-1].arrival
    figures = []
    for service in parsed.services:
        part = [job for job in ours if job.service == service.service_id]
        figures += _judge(deployment, service.service_id, place, part, start, end)
    refused = [job for job in ours if job.finished is None]
    other = sum(job.verdict != "NOT_RUN" for job in refused)
    figures.append(_figures.bound_most("overload:refused_not_as_NOT_RUN", deployment, other, 0))
    _draw(deployment, parsed, ours)
    return figures


def _judge(deployment, service, place, jobs, start, end):
    done = [job for job in jobs if job.finished is not None and start <= job.finished < end]
    slots = place.select_service(service).slots
    goodput = sum(job.work_s for job in done) / ((end - start) * slots)
    refused = [job for job in jobs if job.refused is not None and job.arrival >= start]
    # The bound counts from the arrival at the dispatcher; a journey between regions takes longer.
    waits = [1000 * (job.refused - job.arrival - job.travel_s) for job in refused]
    whole_ms = max((1000 * (job.refused - job.arrival) for job in refused), default=0)
    prefix = f"overload:{service}"
    return [
        _figures.bound_least(f"{prefix}:goodput", deployment, goodput, MIN_GOODPUT, 1.0),
        _figures.bound_most(
            f"{prefix}:slowest_refusal_ms", deployment, max(waits, default=0), 1000 * MAX_REFUSAL_S
        ),
        _figures.Figure(f"{prefix}:slowest_refusal_with_travel_ms", deployment, None, whole_ms),
        _figures.Figure(f"{prefix}:p99_ms_of_answered", deployment, None, _find_p99(done)),
    ]


def _find_p99(jobs):
    return _runs.find_percentile(jobs, 99)


def _draw(deployment, parsed, jobs):
    series = {}
    for service in parsed.services:
        part = [job for job in jobs if job.service == service.service_id]
        answered = {}
        for job in part:
            if job.finished is not None:
                answered[int(job.finished)] = answered.get(int(job.finished), 0) + 1
        x_values = sorted(answered)
        series[service.service_id] = (x_values, [answered[x] for x in x_values])
    _figures.draw_lines(
        f"overload-{deployment}",
        f"{deployment}: answers at 150% load",
        "time (s)",
        "answers per second",
        series,
    )
