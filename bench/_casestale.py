"""Results of ``slowed`` and ``latency`` with load figures that are frozen, zero or old."""

from bench import _figures, _runs, steered

LATENCY_LOAD = 0.85
SLOWED_LOAD = 0.70
JOB_COUNT = 8_000
MAX_CHANGE = 0.10


def measure(deployment):
    """Returns the figures of the case for one deployment."""
    parsed, place = _runs.load_place(deployment)
    runs = (
        ("latency", _runs.make_jobs(parsed, place, LATENCY_LOAD, JOB_COUNT), None),
        ("slowed", _runs.make_jobs(parsed, place, SLOWED_LOAD, JOB_COUNT), _runs.slow_each_service),
    )
    figures = []
    curves = {}
    for name, jobs, disturb in runs:
        found = {}
        for report in steered.Report:
            plan = steered.Plan(parsed, report=report)
            ours, _, _ = _runs.run_ours(place, jobs, plan, disturb)
            found[report] = _find_all(parsed, ours)
        for service, fresh_ms in found[steered.Report.FRESH].items():
            values = [found[report][service] for report in steered.Report]
            curves[f"{name} {service}"] = ([report.value for report in steered.Report], values)
            for report, value in zip(list(steered.Report)[1:], values[1:], strict=True):
                label = f"stale:{name}:{service}:{report.value}:p99_ms"
                figures.append(_judge(label, deployment, fresh_ms, value))
    _figures.draw_lines(
        f"stale-{deployment}", f"{deployment}: p99 with bad figures", "figures", "p99 (ms)", curves
    )
    return figures


def _judge(label, deployment, fresh_ms, value):
    # A result that is much better with bad figures means that good ones do harm.
    is_ok = abs(value / fresh_ms - 1) <= MAX_CHANGE
    bound = f"{1 - MAX_CHANGE:g}x..{1 + MAX_CHANGE:g}x"
    return _figures.Figure(label, deployment, fresh_ms, value, bound, is_ok)


def _find_all(parsed, jobs):
    return {
        service.service_id: _runs.find_percentile(
            [job for job in jobs if job.service == service.service_id], 99
        )
        for service in parsed.services
    }
