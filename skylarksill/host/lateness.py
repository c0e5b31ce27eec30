"""Estimate of how late a process runs what is due. Performs no I/O.

Answers the load of a processor that others use too: what is ready waits until the process has
worked off all that was ready before, and each step of a request waits so again.
"""

import math

# Time constant with which the estimate follows what is observed.
SMOOTHING_S = 0.5


class Lateness:
    """Estimates the delay of each step from the delays of a task that is due again and again.

    A single delay, as after a freeze, says nothing about the steps that follow it.
    """

    def __init__(self):
        self._average_s = 0.0
        self._previous_s = 0.0
        self._observed_at = None

    def observe(self, due_at, now):
        """Records that a task that was due has run; both times are monotonic seconds."""
        delay_s = max(0.0, now - due_at)
        span_s = now - (due_at if self._observed_at is None else self._observed_at)
        weight = 1.0 - math.exp(-max(0.0, span_s) / SMOOTHING_S)
        self._average_s += weight * (min(delay_s, self._previous_s) - self._average_s)
        self._previous_s = delay_s
        self._observed_at = now

    def estimate_s(self):
        """Returns how late the next step is expected to run, in seconds."""
        return self._average_s
