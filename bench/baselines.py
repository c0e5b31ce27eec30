"""Baseline policies of the queueing model, for comparison with the product's policy."""

import collections
import itertools

ATTEMPT_TIMEOUT_S = 1.0
MAX_ATTEMPTS = 3


class RoundRobin:
    """Sends jobs to the upstreams in turn; a job that exceeds the timeout is sent to the next, too.

    Earlier attempts are not cancelled, so a job may run up to MAX_ATTEMPTS times.
    """

    def __init__(self, simulator, place, upstreams):
        self._simulator = simulator
        self._place = place
        self._rotation = itertools.cycle(upstreams)

    def submit(self, job):
        """Accepts a job at its arrival."""
        self._send_attempt(job, 1)

    def _send_attempt(self, job, attempt):
        upstream = next(self._rotation)
        job.runs += 1
        delay_s = self._place.compute_delay(job.zone, upstream.site.zone)
        self._simulator.schedule(delay_s, self._arrive, job, upstream, delay_s)
        if attempt < MAX_ATTEMPTS:
            self._simulator.schedule(ATTEMPT_TIMEOUT_S, self._retry_unfinished, job, attempt + 1)

    def _retry_unfinished(self, job, attempt):
        if job.finished is None:
            self._send_attempt(job, attempt)

    def _arrive(self, job, upstream, delay_s):
        upstream.submit(job.work_s, lambda: self._simulator.schedule(delay_s, self._finish, job))

    def _finish(self, job):
        if job.finished is None:
            job.finished = self._simulator.now


class LeastOutstanding:
    """Sends each job to the upstream with the fewest outstanding jobs per slot.

    The nearest one wins a tie; upstreams queue jobs that find no free slot.
    """

    def __init__(self, simulator, place, upstreams):
        self._simulator = simulator
        self._place = place
        self._upstreams = upstreams
        self._outstanding = collections.Counter()

    def submit(self, job):
        """Accepts a job at its arrival."""
        upstream = min(
            self._upstreams,
            key=lambda item: (
                self._outstanding[item.site.upstream] / item.site.slots,
                self._place.compute_delay(job.zone, item.site.zone),
            ),
        )
        job.runs += 1
        self._outstanding[upstream.site.upstream] += 1
        delay_s = self._place.compute_delay(job.zone, upstream.site.zone)
        self._simulator.schedule(delay_s, self._arrive, job, upstream, delay_s)

    def _arrive(self, job, upstream, delay_s):
        def end():
            self._outstanding[upstream.site.upstream] -= 1
            self._simulator.schedule(delay_s, self._finish, job)

        upstream.submit(job.work_s, end)

    def _finish(self, job):
        job.finished = self._simulator.now


class PerfectQueue:
    """A single FIFO queue for all slots, without network delays: the theoretical limit."""

    def __init__(self, simulator, place, upstreams):
        self._simulator = simulator
        self._upstreams = upstreams
        self._waiting = collections.deque()

    def submit(self, job):
        """Accepts a job at its arrival."""
        self._waiting.append(job)
        self._start_waiting()

    def _start_waiting(self):
        for upstream in self._upstreams:
            while self._waiting and upstream.count < upstream.site.slots:
                job = self._waiting.popleft()
                job.runs += 1
                upstream.submit(job.work_s, lambda job=job: self._finish(job))

    def _finish(self, job):
        job.finished = self._simulator.now
        self._start_waiting()
