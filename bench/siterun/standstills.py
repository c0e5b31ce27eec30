"""Times in which a process got no processor time, which delay what it observes."""

import time

import eventlet

WATCH_INTERVAL_S = 0.05


def watch_standstills(standstills):
    """Adds pairs of begin and end of the times in which this process got no processor time."""
    while True:
        due = time.monotonic() + WATCH_INTERVAL_S
        eventlet.sleep(WATCH_INTERVAL_S)
        standstills.append((due, time.monotonic()))


def sum_standstills(standstills, attempt):
    """Returns for how many seconds the process stood still between a last byte and the end."""
    if attempt.completed_at is None:
        return 0.0
    return sum(
        max(0.0, min(end, attempt.ended_at) - max(begin, attempt.completed_at))
        for begin, end in standstills
        if end > attempt.completed_at and begin < attempt.ended_at
    )
