"""Counters, gauges and latency histograms, served as text on the metrics address."""

import bisect
import collections
import math

# Upper bounds of the histogram buckets in seconds.
BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 0.8, 1.2, 2.0, 4.0, 8.0)


class Counters:
    """Counters and histograms of durations by name and label, and gauges by name and label."""

    def __init__(self):
        self._counts = collections.Counter()
        self._gauges = {}
        self._groups = {}
        self._histograms = {}

    def count(self, name, label="", amount=1):
        """Adds to a counter."""
        self._counts[name, label] += amount

    def get(self, name, label=""):
        """Returns a counter's value."""
        return self._counts[name, label]

    def set(self, name, value, label=""):
        """Sets a gauge."""
        self._gauges[name, label] = value

    def set_group(self, name, values):
        """Replaces the gauges of a group.

        Args:
          name: Name of the gauges.
          values: Dict of values by label, of bounded size.
        """
        self._groups[name] = values

    def observe_duration(self, name, label, seconds):
        """Adds a duration in seconds to a histogram."""
        histogram = self._histograms.get((name, label))
        if histogram is None:
            histogram = self._histograms[name, label] = [0] * (len(BUCKETS_S) + 1) + [0.0]
        histogram[bisect.bisect_left(BUCKETS_S, seconds)] += 1
        histogram[-1] += seconds

    def format(self):
        """Returns all values in the Prometheus text format."""
        lines = []
        for (name, label), value in sorted(self._counts.items()):
            lines.append(f"skylarksill_{name}_total{_format_label(label)} {value}")
        for (name, label), value in sorted(self._gauges.items()):
            lines.append(f"skylarksill_{name}{_format_label(label)} {_format_value(value)}")
        for name, values in sorted(self._groups.items()):
            for label, value in values.items():
                lines.append(f"skylarksill_{name}{_format_label(label)} {_format_value(value)}")
        for (name, label), histogram in sorted(self._histograms.items()):
            lines += _format_histogram(name, label, histogram)
        return "\n".join(lines) + "\n"


def _format_histogram(name, label, histogram):
    lines = []
    total = 0
    bounds = [str(bound) for bound in BUCKETS_S] + ["+Inf"]
    for bound, count in zip(bounds, histogram[:-1], strict=True):
        total += count
        labels = f'{{label="{label}",le="{bound}"}}'
        lines.append(f"skylarksill_{name}_seconds_bucket{labels} {total}")
    lines.append(f"skylarksill_{name}_seconds_sum{_format_label(label)} {histogram[-1]:.6f}")
    lines.append(f"skylarksill_{name}_seconds_count{_format_label(label)} {total}")
    return lines


def _format_value(value):
    return "+Inf" if value == math.inf else str(value)


def _format_label(label):
    return f'{{label="{_escape_label(label)}"}}' if label else ""


def _escape_label(label):
    """Returns a label as the text format has it; names of accounts may hold any character."""
    return label.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
