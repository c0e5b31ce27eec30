"""Log lines on the process as a whole: what it uses, and what ended together with requests.

A process that is killed or ends by itself logs nothing about that; the last lines before tell how
near it was to its limits.
"""

import mmap

# Time between two lines on what the process uses.
USAGE_INTERVAL_S = 5.0
# Events before the end of connections that may have to do with it. Clients wait for seconds, and a
# configuration or a reload takes effect within some.
RECENT_S = 5.0
# Events of single requests and connections, and of the report itself.
_SINGLE_EVENTS = frozenset(("request", "client.closed", "client.ends", "host.usage"))
_STATM_PATH = "/proc/self/statm"


class ProcessReport:
    """Writes the lines ``client.ends`` and ``host.usage``.

    Args:
      log: The EventLog.
      ends: The connectionends.ConnectionEnds of all connections of clients.
      describe: Function that returns a dict of what the process holds, for the log.
    """

    def __init__(self, log, ends, describe):
        self._log = log
        self._ends = ends
        self._describe = describe

    def report_ends(self):
        """Logs what has ended since the previous call, if requests ended without an answer."""
        moment = self._ends.take_moment()
        if not moment.is_notable:
            return
        recent = self._log.list_recent(RECENT_S)
        self._log.write(
            "client.ends",
            connections=moment.connections,
            unanswered=moment.unanswered,
            cut=moment.cut,
            recent_ms={
                event: int(1000 * age_s)
                for event, age_s in recent.items()
                if event not in _SINGLE_EVENTS
            },
            **self._describe(),
            memory_mb=measure_memory_mb(),
        )

    def report_usage(self):
        """Logs what the process holds."""
        self._log.write("host.usage", **self._describe(), memory_mb=measure_memory_mb())


def measure_memory_mb():
    """Returns the resident memory of the process in MB, or None if the system doesn't tell it."""
    try:
        with open(_STATM_PATH, encoding="ascii") as file:
            pages = int(file.read().split()[1])
    except (OSError, ValueError, IndexError):
        # The line is of use without it.
        return None
    return round(pages * mmap.PAGESIZE / 1_048_576, 1)
