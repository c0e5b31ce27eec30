"""Learned service times of routes, kept apart for objects that the upstream knows and others."""

SAMPLE_WEIGHT = 0.05
# Some requests run many times longer than the rest; a sample counts at most this multiple of the
# mean.
MAX_SAMPLE_FACTOR = 3.0
# Share of the target latency that is taken as the service time until answers have been measured.
INITIAL_TARGET_SHARE = 0.7


class ServiceTimes:
    """Moving means of service times at the usual pace of an upstream."""

    def __init__(self):
        self._route_means = {}
        self._service_means = {}

    def estimate(self, route, service_id, is_known):
        """Returns the expected service time of a route's request in seconds."""
        mean = self._route_means.get((route.route_id, service_id, is_known))
        if mean is None:
            mean = self._route_means.get((route.route_id, service_id, not is_known))
        return INITIAL_TARGET_SHARE * route.target_latency_s if mean is None else mean

    def estimate_service(self, service_id, default_s):
        """Returns the mean service time over all routes of a service in seconds."""
        return self._service_means.get(service_id, default_s)

    def add_sample(self, route, service_id, is_known, seconds):
        """Adds a service time, already divided by the upstream's pace."""
        key = (route.route_id, service_id, is_known)
        _update_mean(self._route_means, key, seconds)
        _update_mean(self._service_means, service_id, seconds)


def _update_mean(means, key, seconds):
    mean = means.get(key)
    if mean is None:
        means[key] = seconds
        return
    means[key] = mean + SAMPLE_WEIGHT * (min(seconds, MAX_SAMPLE_FACTOR * mean) - mean)
