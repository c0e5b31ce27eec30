"""Learned service times of routes, apart for objects that the upstream knows and for others."""

SAMPLE_WEIGHT = 0.05
# A few jobs run many times longer than the rest; they count as this multiple of the mean at most.
MAX_SAMPLE_FACTOR = 3.0
# Share of the target latency taken as the service time until answers are known.
FIRST_GUESS = 0.7


class WorkTimes:
    """Moving means of service times at the usual pace of an upstream."""

    def __init__(self):
        self._means = {}
        self._services = {}

    def estimate(self, route, service_id, is_known):
        """Returns the expected service time of a route's request in seconds."""
        mean = self._means.get((route.route_id, service_id, is_known))
        if mean is None:
            mean = self._means.get((route.route_id, service_id, not is_known))
        return FIRST_GUESS * route.target_latency_s if mean is None else mean

    def estimate_service(self, service_id, default_s):
        """Returns the mean service time over all routes of a service in seconds."""
        return self._services.get(service_id, default_s)

    def note(self, route, service_id, is_known, seconds):
        """Adds a service time, already divided by the upstream's pace."""
        key = (route.route_id, service_id, is_known)
        _add_sample(self._means, key, seconds)
        _add_sample(self._services, service_id, seconds)


def _add_sample(means, key, seconds):
    mean = means.get(key)
    if mean is None:
        means[key] = seconds
        return
    means[key] = mean + SAMPLE_WEIGHT * (min(seconds, MAX_SAMPLE_FACTOR * mean) - mean)
