"""Reports of upstreams that may have restarted, which hosts pass on to each other. Performs no I/O.

Answers a restart under the same id that the store doesn't tell: hosts with connections to the
upstream notice it, hosts that have none, such as those that have just started, learn it from them.
"""

import collections
import dataclasses

# A report is passed on for this long; upstreams are cold for seconds after a restart.
REPORT_TTL_S = 4.0
MAX_SENT_REPORTS = 16
MAX_REPORTS = 256
# Reports of several hosts about one restart differ by less than this.
SAME_RESTART_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class RestartReport:
    """A host's connection to an upstream has ended early, or the upstream accepts them again.

    Attributes:
      incarnation: The incarnation that the host knew; the store may have named another to others.
      at: Monotonic time at which the host noticed it.
      alive_at: Monotonic time of the last answer before, or of the last refused connection. A host
        that knows the same process to have run before and after it knows better.
    """

    upstream_id: str
    incarnation: int
    at: float
    alive_at: float


class RestartReports:
    """The recent reports that a host has made or got."""

    def __init__(self):
        self._reports = collections.OrderedDict()

    def add(self, report):
        """Adds a report; returns True if it is news."""
        known = self._reports.get(report.upstream_id)
        if (
            known is not None
            and report.at <= known.at + SAME_RESTART_S
            and report.alive_at <= known.at
        ):
            return False
        self._reports[report.upstream_id] = report
        self._reports.move_to_end(report.upstream_id)
        if len(self._reports) > MAX_REPORTS:
            self._reports.popitem(last=False)
        return True

    def list_recent(self, now):
        """Returns the newest reports, for the peers."""
        while self._reports and next(iter(self._reports.values())).at < now - REPORT_TTL_S:
            self._reports.popitem(last=False)
        recent = [report for report in self._reports.values() if report.at >= now - REPORT_TTL_S]
        return recent[-MAX_SENT_REPORTS:]
