"""Simple policies that the product's policy is compared with."""

import collections
import itertools

TRY_TIMEOUT_S = 1.0
MAX_TRIES = 3


class RoundRobin:
    """Sends jobs to all upstreams in turn, and again elsewhere when a try takes too long."""

    def __init__(self, simulator, place, upstreams):
        self._simulator = simulator
        self._place = place
        self._turns = itertools.cycle(upstreams)

    def submit(self, job):
        """Takes a job."""
        self._try(job, 1)

    def _try(self, job, tries):
        upstream = next(self._turns)
        job.runs += 1
        delay_s = self._place.compute_delay(job.zone, upstream.site.zone)
        self._simulator.schedule(delay_s, self._arrive, job, upstream, delay_s)
        if tries < MAX_TRIES:
            self._simulator.schedule(TRY_TIMEOUT_S, self._retry, job, tries + 1)

    def _retry(self, job, tries):
        if job.finished is None:
            self._try(job, tries)

    def _arrive(self, job, upstream, delay_s):
        upstream.submit(job.work_s, lambda: self._simulator.schedule(delay_s, self._finish, job))

    def _finish(self, job):
        if job.finished is None:
            job.finished = self._simulator.now


class LeastOutstanding:
    """Sends each job to the upstream with the fewest jobs a slot; upstreams queue the rest."""

    def __init__(self, simulator, place, upstreams):
        self._simulator = simulator
        self._place = place
        self._upstreams = upstreams
        self._sent = collections.Counter()

    def submit(self, job):
        """Takes a job."""
        upstream = min(
            self._upstreams,
            key=lambda item: (
                self._sent[item.site.upstream] / item.site.slots,
                self._place.compute_delay(job.zone, item.site.zone),
            ),
        )
        job.runs += 1
        self._sent[upstream.site.upstream] += 1
        delay_s = self._place.compute_delay(job.zone, upstream.site.zone)
        self._simulator.schedule(delay_s, self._arrive, job, upstream, delay_s)

    def _arrive(self, job, upstream, delay_s):
        def end():
            self._sent[upstream.site.upstream] -= 1
            self._simulator.schedule(delay_s, self._finish, job)

        upstream.submit(job.work_s, end)

    def _finish(self, job):
        job.finished = self._simulator.now


class PerfectQueue:
    """One queue in order of arrival over all slots without delays: the physical limit."""

    def __init__(self, simulator, place, upstreams):
        self._simulator = simulator
        self._upstreams = upstreams
        self._waiting = collections.deque()

    def submit(self, job):
        """Takes a job."""
        self._waiting.append(job)
        self._start()

    def _start(self):
        for upstream in self._upstreams:
            while self._waiting and upstream.count < upstream.site.slots:
                job = self._waiting.popleft()
                job.runs += 1
                upstream.submit(job.work_s, lambda job=job: self._finish(job))

    def _finish(self, job):
        job.finished = self._simulator.now
        self._start()
