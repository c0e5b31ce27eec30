"""Counters, gauges and timings that are sent to statsd over UDP."""

import collections

import statsd

MAX_KEPT_TIMINGS = 1_000


class Metrics:
    """Sends metrics of one part; does nothing without a statsd address.

    Args:
      part: First component of each metric's name after "skylarksill".
      address: IP address and port of statsd, or None.
    """

    def __init__(self, part, address=None):
        self._client = None
        if address is not None:
            self._client = statsd.StatsClient(*address, prefix=f"skylarksill.{part}")

    def count(self, name, amount=1):
        """Adds ``amount`` to a counter."""
        if self._client:
            self._client.incr(name, amount)

    def time(self, name, milliseconds):
        """Reports a duration in milliseconds."""
        if self._client:
            self._client.timing(name, milliseconds)

    def gauge(self, name, value):
        """Reports the present value of a quantity."""
        if self._client:
            self._client.gauge(name, value)

    def send_batch(self, counts, timings):
        """Sends many metrics in few packets.

        Args:
          counts: Maps names of counters to amounts.
          timings: Pairs of name and milliseconds.
        """
        if not self._client:
            return
        with self._client.pipeline() as batch:
            for name, amount in counts.items():
                batch.incr(name, amount)
            for name, milliseconds in timings:
                batch.timing(name, milliseconds)


class MetricBuffer:
    """Collects metrics of a busy part, so that they are sent in few packets.

    Args:
      metrics: The Metrics that send them.
    """

    def __init__(self, metrics):
        self._metrics = metrics
        self._counts = collections.Counter()
        self._timings = []

    def count(self, name, amount=1):
        """Adds ``amount`` to a counter."""
        self._counts[name] += amount

    def time(self, name, milliseconds):
        """Keeps a duration in milliseconds; past MAX_KEPT_TIMINGS it is left out."""
        if len(self._timings) < MAX_KEPT_TIMINGS:
            self._timings.append((name, milliseconds))

    def flush(self):
        """Sends what was collected."""
        counts, self._counts = self._counts, collections.Counter()
        timings, self._timings = self._timings, []
        self._metrics.send_batch(counts, timings)
