"""Helpers that run the queueing model for the measured cases."""

import functools

from bench import baselines, places, queue_model, steered
from skylarksill import records

JOB_COUNT = 12_000
DEADLINE_S = 4.0


@functools.cache
def load_place(deployment, max_deadline_ms=None):
    """Returns the Configuration and the Place of a deployment."""
    parsed = places.load_configuration(deployment, max_deadline_ms)
    return parsed, places.make_place(parsed)


def make_jobs(parsed, place, load, count=JOB_COUNT, **fields):
    """Generates jobs of all services at the same load.

    Args:
      parsed: The Configuration.
      place: Its Place.
      load: Average share of busy slots.
      count: Total number of jobs of all services.
      **fields: Further fields of queue_model.Load.
    Returns:
      A list of jobs in order of arrival; the first arrives after all slots have become usable.
    """
    start_s = steered.compute_start(parsed)
    lists = []
    for seed, service in enumerate(parsed.services, start=1):
        selected = place.select_service(service.service_id)
        share = count * selected.slots // place.slots
        offered = queue_model.Load(load, share, seed=seed, start_s=start_s, **fields)
        lists.append(queue_model.make_jobs(selected, offered))
    return queue_model.merge_jobs(*lists)


def run_ours(place, jobs, plan, disturb=None, prepare=None):
    """Runs copies of the jobs with the decision modules of the product.

    Args:
      place: The Place.
      jobs: Jobs of all services.
      plan: A steered.Plan.
      disturb: See queue_model.run_model.
      prepare: Function that is called with the steered.Fleet before the run, or None.
    Returns:
      The copies, the steered.Fleet and the upstreams after the run.
    """
    copies = queue_model.merge_jobs(jobs)

    def make_policy(simulator, modelled, upstreams):
        fleet = steered.Fleet(simulator, modelled, upstreams, plan)
        if prepare:
            prepare(fleet)
        return fleet

    fleet, upstreams = queue_model.run_model(place, copies, make_policy, disturb)
    return copies, fleet, upstreams


def run_baseline(place, jobs, make_policy=baselines.PerfectQueue, disturb=None):
    """Runs copies of the jobs under a baseline, each service separately.

    Returns:
      The copies, grouped by service.
    """
    done = []
    for service in sorted({job.service for job in jobs}):
        selected = place.select_service(service)
        copies = queue_model.merge_jobs([job for job in jobs if job.service == service])
        queue_model.run_model(selected, copies, make_policy, disturb)
        done += copies
    return done


def list_latencies(jobs, deadline_s=DEADLINE_S):
    """Returns latencies in seconds; an unanswered job counts as ``deadline_s``."""
    return [deadline_s if job.finished is None else job.latency_s for job in jobs]


def find_percentile(jobs, percent, deadline_s=DEADLINE_S):
    """Returns a percentile of the latencies in milliseconds."""
    return 1000 * queue_model.compute_percentile(list_latencies(jobs, deadline_s), percent)


def list_idempotent(parsed):
    """Returns the ids of the services whose requests are idempotent."""
    return [
        service.service_id
        for service in parsed.services
        if service.kind is records.WorkKind.IDEMPOTENT
    ]


def slow_each_service(simulator, upstreams, end):
    """Slows 3 random upstreams of each service at a time, as ``slow_in_turns`` does."""
    services = sorted({upstream.site.service for upstream in upstreams})
    for service in services:
        selected = [upstream for upstream in upstreams if upstream.site.service == service]
        queue_model.slow_in_turns(simulator, selected, end)
