"""Counters, gauges and timings that are sent to statsd over UDP."""

import collections

import statsd

MAX_BUFFERED_TIMINGS = 1_000


class Metrics:
    """Sends the metrics of one program; does nothing without a statsd address.

    Args:
      program: Component of each metric's name after "skylarksill", for example "entry".
      address: IP address and port of statsd, or None.
    """

    def __init__(self, program, address=None):
        self._client = None
        if address is not None:
            self._client = statsd.StatsClient(*address, prefix=f"skylarksill.{program}")

    def count(self, name, amount=1):
        """Adds ``amount`` to a counter."""
        if self._client:
            self._client.incr(name, amount)

    def time(self, name, milliseconds):
        """Reports a duration in milliseconds."""
        if self._client:
            self._client.timing(name, milliseconds)

    def gauge(self, name, value):
        """Reports the current value of a gauge."""
        if self._client:
            self._client.gauge(name, value)

    def send_batch(self, counts, timings):
        """Sends several metrics together, in as few packets as possible.

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
    """Buffers the metrics of a busy program, so that they are sent in few packets.

    Args:
      metrics: The Metrics that sends them.
    """

    def __init__(self, metrics):
        self._metrics = metrics
        self._counts = collections.Counter()
        self._timings = []

    def count(self, name, amount=1):
        """Adds ``amount`` to a counter."""
        self._counts[name] += amount

    def time(self, name, milliseconds):
        """Adds a duration in milliseconds; drops it if MAX_BUFFERED_TIMINGS are buffered."""
        if len(self._timings) < MAX_BUFFERED_TIMINGS:
            self._timings.append((name, milliseconds))

    def flush(self):
        """Sends and clears the buffered metrics."""
        counts, self._counts = self._counts, collections.Counter()
        timings, self._timings = self._timings, []
        self._metrics.send_batch(counts, timings)
