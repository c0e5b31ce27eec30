"""Learned service times of routes, kept apart for objects that the upstream knows and others.

Handles a load that hundreds of hosts send to the same upstreams: a host's first request for an
object mostly runs warm there, because others have sent the object before. So what a cold run takes
is learned from the times themselves, not from what this host knows.
"""

import dataclasses

SAMPLE_WEIGHT = 0.05
# Some requests run many times longer than the rest; a sample counts at most this multiple of the
# mean.
MAX_SAMPLE_FACTOR = 3.0
# Share of the target latency that is taken as the service time until answers have been measured.
INITIAL_TARGET_SHARE = 0.7
# Runs that take longer than this multiple of a warm run are taken for cold until a mean of cold
# runs is known; upstreams run objects that they know 3 to 4 times faster.
FIRST_COLD_FACTOR = 2.0
# Weight of a new sample of a warm or cold run; a host with a request a second follows in 10 s.
RUN_WEIGHT = 0.1
# Runs that a gain has to be measured with: cold ones, and runs of objects that this host knows.
MIN_COLD_RUNS = 2
MIN_KNOWN_RUNS = 3
# Largest share of cold runs among those of known objects with which a gain counts as measured.
MAX_KNOWN_COLD_SHARE = 0.5


@dataclasses.dataclass(slots=True)
class _RunTimes:
    """Service times of a route's warm and cold runs, told apart by their length."""

    warm_s: float
    cold_s: float | None = None
    cold_runs: int = 0
    known_runs: int = 0
    known_cold_share: float = 0.0

    def add(self, seconds, is_known):
        """Adds a run; ``is_known`` if this host has sent the object there recently."""
        is_cold = self.is_cold(seconds)
        if is_cold:
            self.cold_runs += 1
            if self.cold_s is None:
                self.cold_s = seconds
            longest_s = MAX_SAMPLE_FACTOR * self.cold_s
            self.cold_s += RUN_WEIGHT * (min(seconds, longest_s) - self.cold_s)
        else:
            self.warm_s += RUN_WEIGHT * (seconds - self.warm_s)
        if is_known:
            self.known_runs += 1
            weight = max(RUN_WEIGHT, 1.0 / self.known_runs)
            self.known_cold_share += weight * (is_cold - self.known_cold_share)

    def is_cold(self, seconds):
        """Returns True if a run of this length is closer to a cold than to a warm one."""
        if self.cold_s is None:
            return seconds > FIRST_COLD_FACTOR * self.warm_s
        # The two means differ by a factor, so their geometric mean is halfway.
        return seconds * seconds > self.warm_s * self.cold_s

    @property
    def is_measured(self):
        """True if enough runs of both kinds are known, and known objects mostly run warm."""
        return (
            self.cold_runs >= MIN_COLD_RUNS
            and self.known_runs >= MIN_KNOWN_RUNS
            and self.known_cold_share <= MAX_KNOWN_COLD_SHARE
        )


class ServiceTimes:
    """Moving means of service times at the usual pace of an upstream."""

    def __init__(self):
        self._route_means = {}
        self._service_means = {}
        self._run_times = {}

    def estimate(self, route, service_id, is_known):
        """Returns the expected service time of a route's request in seconds."""
        mean = self._route_means.get((route.route_id, service_id, is_known))
        if mean is None:
            mean = self._route_means.get((route.route_id, service_id, not is_known))
        return INITIAL_TARGET_SHARE * route.target_latency_s if mean is None else mean

    def find_run_times(self, route, service_id):
        """Returns the measured service times of a route's warm and cold runs.

        Args:
          route: The records.Route.
          service_id: The service.
        Returns:
          A pair of seconds, or None until both have been measured.
        """
        found = self._run_times.get((route.route_id, service_id))
        return (found.warm_s, found.cold_s) if found is not None and found.is_measured else None

    def estimate_service(self, service_id, default_s):
        """Returns the mean service time over all routes of a service in seconds."""
        return self._service_means.get(service_id, default_s)

    def add_sample(self, route, service_id, is_known, seconds):
        """Adds a service time, already divided by the upstream's pace."""
        key = (route.route_id, service_id, is_known)
        _update_mean(self._route_means, key, seconds)
        _update_mean(self._service_means, service_id, seconds)
        found = self._run_times.get(key[:2])
        if found is None:
            found = self._run_times[key[:2]] = _RunTimes(seconds)
        found.add(seconds, is_known)


def _update_mean(means, key, seconds):
    mean = means.get(key)
    if mean is None:
        means[key] = seconds
        return
    means[key] = mean + SAMPLE_WEIGHT * (min(seconds, MAX_SAMPLE_FACTOR * mean) - mean)
