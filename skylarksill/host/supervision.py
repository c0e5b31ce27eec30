"""Runs the tasks of a host so that an exception neither ends one for good nor goes unnoticed.

Exceptions that a task expects are its own business. Any other one is a fault of the program: it is
logged and counted as host.exception, and what the host does for others goes on.
"""

import collections
import time

import eventlet

# Pause before a task that an exception has ended runs again.
RESTART_PAUSE_S = 0.5
# So many faults of the hub within this time show that it can't go on.
MAX_HUB_FAULTS, HUB_FAULTS_WINDOW_S = 20, 10.0


def attempt(log, task, function, *arguments):
    """Calls a function; returns its result, or None after an exception, which is logged.

    Args:
      log: The EventLog.
      task: Name of the task, for the log.
      function: The function.
      arguments: Its arguments.
    """
    try:
        return function(*arguments)
    except Exception as error:
        log.write_exception(task, error)
        return None


def keep_running(log, task, function, *arguments):
    """Calls a function again after each exception, until it returns; see ``attempt``."""
    while True:
        try:
            function(*arguments)
            return
        except Exception as error:
            log.write_exception(task, error)
        eventlet.sleep(RESTART_PAUSE_S)


def repeat(log, task, interval_s, function):
    """Calls a function for ever, with a pause of ``interval_s`` before each call."""
    while True:
        eventlet.sleep(interval_s)
        attempt(log, task, function)


def spawn(log, task, function, *arguments):
    """Calls a function once in a green thread of its own, which it returns; see ``attempt``."""
    return eventlet.spawn(attempt, log, task, function, *arguments)


def spawn_lasting(log, task, function, *arguments):
    """Keeps a function running in a green thread of its own, which it returns."""
    return eventlet.spawn(keep_running, log, task, function, *arguments)


def spawn_repeated(log, task, interval_s, function):
    """Repeats a function in a green thread of its own, which it returns."""
    return eventlet.spawn(repeat, log, task, interval_s, function)


def wait_through_faults(log, thread):
    """Waits in the main green thread until another one has ended.

    An exception in the hub itself comes out of the main green thread. It is logged, and waiting on
    starts the hub anew, with all that others wait for.

    Args:
      log: The EventLog.
      thread: The green thread.
    Raises:
      Exception: That of the hub, if it is the last of too many in a row.
    """
    faults = collections.deque(maxlen=MAX_HUB_FAULTS)
    while True:
        try:
            thread.wait()
            return
        except Exception as error:
            faults.append(time.monotonic())
            if len(faults) == MAX_HUB_FAULTS and faults[-1] - faults[0] < HUB_FAULTS_WINDOW_S:
                raise
            log.write_exception("host.hub", error)
