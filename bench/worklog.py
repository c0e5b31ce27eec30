"""Sent requests, their outcomes and the totals from the records of the upstream stand-ins."""

import collections
import dataclasses
import hashlib
import json
import time

import urllib3

from bench import client, queue_model
from skylarksill import records


@dataclasses.dataclass(frozen=True, slots=True)
class SentRequest:
    """A request that a client sent, and its outcome."""

    work_id: str
    path: str
    body: bytes
    is_idempotent: bool
    outcome: client.Outcome


class UpstreamControl:
    """Client for the control interface of the upstream stand-ins."""

    def __init__(self, addresses):
        self._addresses = addresses
        self._pool = urllib3.PoolManager(retries=False)

    def read_records(self):
        """Returns the records of all workers by upstream id."""
        workers = {}
        for address, port in self._addresses:
            response = self._pool.request("GET", f"http://{address}:{port}/control/record")
            workers.update(json.loads(response.data))
        return workers


def is_matching_response(sent):
    """Tells whether the response echoes the work id, body digest and path of its request."""
    try:
        echo = json.loads(sent.outcome.body)
    except ValueError:
        return False
    digest = hashlib.sha256(sent.body).hexdigest()
    own = (sent.work_id, digest)
    return (echo.get("work_id"), echo.get("body_sha256")) == own and sent.path in echo["path"]


def is_answered(sent):
    """Tells whether the client received a successful response of the upstream."""
    return sent.outcome.verdict == "RAN" and sent.outcome.status == 200


def count_totals(results, workers, loaded, killed_host=None):
    """Counts the totals of the last line from the responses and the workers' records.

    Upstreams whose home or standby is the killed host are left out of ``cut_off``, since the kill
    itself cuts off the work that the host had in flight.
    """
    runs = collections.Counter()
    for worker in workers.values():
        runs.update(worker["work"])
    verdicts = collections.Counter(sent.outcome.verdict for sent in results)
    wrong = sum(is_answered(sent) and not is_matching_response(sent) for sent in results)
    false_not_run = sum(
        sent.outcome.verdict == "NOT_RUN" and not sent.is_idempotent and runs[sent.work_id] > 0
        for sent in results
    )
    kinds = {service.service_id: service.kind for service in loaded.services}
    cut_off = sum(
        workers[upstream.upstream_id]["counts"].get("begun", 0)
        - workers[upstream.upstream_id]["counts"].get("ended", 0)
        for upstream in loaded.upstreams
        if kinds[upstream.service_id] is records.WorkKind.NON_IDEMPOTENT
        and killed_host not in (upstream.home, upstream.standby)
    )
    return {
        "sent": len(results),
        "answered": sum(is_answered(sent) for sent in results),
        "not_run": verdicts["NOT_RUN"],
        "may_have_run": verdicts["MAY_HAVE_RUN"],
        "wrong": wrong + false_not_run,
        "repeated": sum(not sent.is_idempotent and runs[sent.work_id] > 1 for sent in results),
        "over_limit": sum(
            workers[upstream.upstream_id]["over_slots"]
            + (workers[upstream.upstream_id]["max_connections"] > upstream.max_connections)
            for upstream in loaded.upstreams
        ),
        "cut_off": cut_off,
    }


def sample_headroom(control, loaded, end, samples):
    """Samples the share of free slots of each service from the workers' records until ``end``."""
    while time.monotonic() < end:
        workers = control.read_records()
        for service in loaded.services:
            own = [item for item in loaded.upstreams if item.service_id == service.service_id]
            slots = sum(upstream.slots for upstream in own)
            busy = sum(workers[upstream.upstream_id]["in_flight"] for upstream in own)
            samples[service.service_id].append(1 - busy / slots)
        time.sleep(0.25)


def print_table(results, samples, loaded):
    """Prints one line for each service."""
    print(f"{'service':<12}{'sent':>7}{'answered':>10}{'p50 ms':>9}{'p99 ms':>9}{'headroom':>10}")
    for service in loaded.services:
        own = [sent for sent in results if sent.outcome.service == service.service_id]
        times = [1000 * sent.outcome.latency_s for sent in own if is_answered(sent)]
        headroom = min(samples[service.service_id], default=1.0)
        print(
            f"{service.service_id:<12}{len(own):>7}{len(times):>10}"
            f"{queue_model.compute_percentile(times, 50):>9.0f}"
            f"{queue_model.compute_percentile(times, 99):>9.0f}{headroom:>10.0%}"
        )


def print_failures(results):
    """Counts and prints the final failures by service, verdict and reason."""
    reasons = collections.Counter()
    for sent in results:
        if not is_answered(sent):
            reasons[(sent.outcome.service, sent.outcome.verdict, read_reason(sent))] += 1
    for (service, verdict, reason), count in sorted(reasons.items(), key=str):
        print(f"not answered: {service} {verdict} {reason} {count}")


def read_reason(sent):
    """Returns the reason in an error response, or its status if the body has none."""
    try:
        return json.loads(sent.outcome.body).get("reason", sent.outcome.status)
    except (ValueError, AttributeError):
        return sent.outcome.status
