"""Runs of the queueing model that several cases share."""

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
    """Draws jobs of all services at the same load.

    Args:
      parsed: The Configuration.
      place: Its Place.
      load: Share of the slots that is busy on average.
      count: Number of jobs over all services.
      **fields: Further fields of queue_model.Load.
    Returns:
      A list of jobs in order of arrival; they arrive once all slots are usable.
    """
    start_s = steered.compute_start(parsed)
    lists = []
    for seed, service in enumerate(parsed.services, start=1):
        part = place.select_service(service.service_id)
        share = count * part.slots // place.slots
        offered = queue_model.Load(load, share, seed=seed, start_s=start_s, **fields)
        lists.append(queue_model.make_jobs(part, offered))
    return queue_model.merge_jobs(*lists)


def run_ours(place, jobs, plan, disturb=None, prepare=None):
    """Runs fresh copies of the jobs under the product's decisions.

    Args:
      place: The Place.
      jobs: Jobs of all services.
      plan: A steered.Plan.
      disturb: See queue_model.run_model.
      prepare: Function of the steered.Fleet that is called before the run, or None.
    Returns:
      The jobs, the steered.Fleet and the upstreams after the run.
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
    """Runs fresh copies of the jobs under a baseline, each service by itself.

    Returns:
      The jobs.
    """
    done = []
    for service in sorted({job.service for job in jobs}):
        part = place.select_service(service)
        copies = queue_model.merge_jobs([job for job in jobs if job.service == service])
        queue_model.run_model(part, copies, make_policy, disturb)
        done += copies
    return done


def list_latencies(jobs, deadline_s=DEADLINE_S):
    """Returns latencies in seconds; a job that was not answered counts as ``deadline_s``."""
    return [deadline_s if job.finished is None else job.latency_s for job in jobs]


def find_percentile(jobs, percent, deadline_s=DEADLINE_S):
    """Returns a percentile of the latencies of jobs in milliseconds."""
    return 1000 * queue_model.compute_percentile(list_latencies(jobs, deadline_s), percent)


def list_idempotent(parsed):
    """Returns the ids of the services whose requests may be repeated."""
    return [
        service.service_id
        for service in parsed.services
        if service.kind is records.WorkKind.IDEMPOTENT
    ]


def slow_each_service(simulator, upstreams, end):
    """Slows 3 upstreams of each service at a time in turns."""
    services = sorted({upstream.site.service for upstream in upstreams})
    for service in services:
        part = [upstream for upstream in upstreams if upstream.site.service == service]
        queue_model.slow_in_turns(simulator, part, end)
