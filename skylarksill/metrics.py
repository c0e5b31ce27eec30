"""Counters, gauges and timings that are sent to statsd over UDP."""

import statsd


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
