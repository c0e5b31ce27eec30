"""What a host has learned about one upstream.

A load report is as old as the answer that carried it, so the load of an upstream is estimated as
the host's own requests in flight plus the load of other hosts at the time of the report, which
counts less as the report ages.
"""

import collections

from skylarksill import limits
from skylarksill.host import objectcopies

# The load of other hosts counts in full up to the first age of a report and not at all from the
# second on. Requests run for 0.1 to 1.8 s, so an older report says little about the current ones.
FRESH_REPORT_S = 0.4
STALE_REPORT_S = 2.0
# Reported paces change many times a second, so one that is older than this is replaced by the
# moving mean of the reported paces.
FRESH_PACE_S = 0.3
PACE_WEIGHT = 0.1
# Weight of a new sample of an upstream's slowness, and the half-life of its decay to normal speed.
SLOWNESS_WEIGHT = 0.25
SLOWNESS_HALF_LIFE_S = 4.0
MAX_SLOWNESS = 12.0
MAX_SAMPLE_FACTOR = 2.0
FAILURE_WEIGHT = 0.15
FAILURE_HALF_LIFE_S = 3.0
# Least load of an upstream that sheds requests because it is full, as a multiple of its slots.
FULL_LOAD_FACTOR = 2.0
# Pause before an unreachable upstream is probed again; it doubles up to the maximum.
INITIAL_DOWN_S = 0.3
MAX_DOWN_S = 2.0
# Longest time by which the store names a process after it has begun to listen, unless the store is
# away. A pause that may be another process's is not kept for longer.
MAX_UNNAMED_S = 10.0
# Longest window in which sends are counted.
MAX_SEND_WINDOW_S = 4.0


class UpstreamUse:
    """What this host sends to an upstream's id, whichever process runs under it.

    Requests reach a process before the store names it, so that limits on what a process gets count
    across names.

    Attributes:
      sends: The limits.SlidingCount of the sends.
      open_requests: Number of requests that have not ended; each may have a connection.
    """

    __slots__ = ("sends", "open_requests")

    def __init__(self):
        self.sends = limits.SlidingCount(MAX_SEND_WINDOW_S)
        self.open_requests = 0


class TrackedUpstream:
    """Learned state of one incarnation of an upstream.

    Args:
      record: The records.Upstream.
      cold_until: Monotonic time until which the upstream is treated as cold.
      use: The UpstreamUse of the incarnation before, or None without one.

    Attributes:
      record: The records.Upstream.
      use: The UpstreamUse, which all incarnations share.
      begun_at: Monotonic time from which connections lead to this incarnation.
      unchecked_since: Monotonic time of the first list or the last freeze of the host; None
        if the upstream was named later, or has said since whether it is cold.
      health_answer: The eventlet Event of a question for its health that is under way, or None.
      restarted_at: Monotonic time of the last sign that another process may have taken over before
        the store names it, None without one. Connections that were opened later may lead to it.
      in_flight: Number of this host's requests to it that have not ended.
      cold_until: Monotonic time until which the upstream is treated as cold.
      down_until: Monotonic time of the next probe while the upstream is unreachable.
      down_s: Pause before the next probe in seconds.
      is_misdirected: True once another upstream answered at its address.
      is_unreachable: True from a failed connection until one succeeds.
      refused_at: Monotonic time of the last refused connection, when no process listened; None
        without one since the upstream became unreachable.
      is_probed: True while probes try to connect to the upstream in the background.
      suspected_at: Monotonic time of the last sign that the upstream may have restarted unnoticed.
      suspect_until: Monotonic time until which the upstream may have restarted unnoticed, so that
        requests on connections that may be younger than the restart are limited as if it were cold.
      proven_at: Monotonic time of the last request that the process which this host knows has
        answered, 0 without one; the answer may have been read much later.
      proven_since: Monotonic time since which that is known to be the same process.
      leaving_since: Monotonic time at which an answer said so first; None without one.
      paused_until: Monotonic time until which the upstream takes nothing from this host.
      paused_at: Monotonic time of the answer that asked for the pause.
      rate_limit: Requests a second that the upstream takes from all hosts together, as its last
        answer says; None without a limit.
      limited_at: Monotonic time of the last answer that stated the limit.
      limit_probe_at: Monotonic time from which a host without a part of the limit may send one
        request, whose answer tells whether the limit still holds.
      cold_part: Requests that this host may send within a window while the upstream is cold.
      limit_part: Requests that this host may send within a window of the limit.
      part_view: The quotas.HostView from which the parts were computed, or None.
      connection_part: Connections that this host may have to the upstream.
      connection_view: The quotas.HostView from which that was computed, or None.
      connection_service: The records.Service from which that was computed, or None.
    """

    __slots__ = (
        "record",
        "use",
        "begun_at",
        "restarted_at",
        "unchecked_since",
        "health_answer",
        "in_flight",
        "cold_until",
        "down_until",
        "down_s",
        "leaving_since",
        "is_misdirected",
        "is_probed",
        "is_unreachable",
        "refused_at",
        "_waiting_since",
        "_answered_at",
        "_other_load",
        "_reported_at",
        "_pace",
        "_pace_mean",
        "_slowness",
        "_slowness_at",
        "_failure_share",
        "_failure_at",
        "_recent_objects",
        "suspect_until",
        "suspected_at",
        "paused_until",
        "paused_at",
        "rate_limit",
        "limited_at",
        "limit_probe_at",
        "cold_part",
        "limit_part",
        "part_view",
        "connection_part",
        "connection_view",
        "connection_service",
        "proven_at",
        "proven_since",
    )

    def __init__(self, record, cold_until, use=None):
        self.record = record
        self.use = use or UpstreamUse()
        self.begun_at = float("-inf")
        self.restarted_at = None
        self.unchecked_since = None
        self.health_answer = None
        self.in_flight = 0
        self.cold_until = cold_until
        self.down_until = 0.0
        self.down_s = INITIAL_DOWN_S
        self.leaving_since = None
        self.is_misdirected = False
        self.is_probed = False
        self.is_unreachable = False
        self.refused_at = None
        self._waiting_since = 0.0
        self._answered_at = 0.0
        self._other_load = 0.0
        self._reported_at = 0.0
        self._pace = 1.0
        self._pace_mean = 1.0
        self._slowness = 1.0
        self._slowness_at = 0.0
        self._failure_share = 0.0
        self._failure_at = 0.0
        self._recent_objects = collections.OrderedDict()
        self.suspect_until = 0.0
        self.suspected_at = 0.0
        self.paused_until = 0.0
        self.paused_at = 0.0
        self.rate_limit = None
        self.limited_at = 0.0
        self.limit_probe_at = 0.0
        self.cold_part = 0
        self.limit_part = 0
        self.part_view = None
        self.connection_part = 0
        self.connection_view = None
        self.connection_service = None
        self.proven_at = 0.0
        self.proven_since = 0.0

    def make_successor(self, record, cold_until, now):
        """Returns the TrackedUpstream of the incarnation that the store names after this one.

        Its process may have run for a while, so what counts against the limits of an upstream goes
        on. What this host has learned since the process took over holds for it too.

        Args:
          record: The records.Upstream of the new incarnation.
          cold_until: Monotonic time until which it is treated as cold.
          now: Monotonic seconds.
        """
        successor = TrackedUpstream(record, max(cold_until, self.cold_until), self.use)
        successor.suspect_until = self.suspect_until
        successor.suspected_at = self.suspected_at
        has_sign = self.restarted_at is not None and self.restarted_at >= now - MAX_UNNAMED_S
        begun_at = successor.begun_at = self.restarted_at if has_sign else now
        if self.proven_at >= begun_at:
            successor.proven_at = self.proven_at
            successor.proven_since = max(self.proven_since, begun_at)
        kept_until = now + MAX_UNNAMED_S
        if self.paused_at >= begun_at:
            successor.paused_until = min(self.paused_until, kept_until)
            successor.paused_at = self.paused_at
        if self.leaving_since is not None and self.leaving_since >= begun_at:
            # Nothing that is sent would correct it, so it is tried again.
            successor.paused_until = kept_until
            successor.paused_at = self.leaving_since
        if self.limited_at >= begun_at:
            successor.rate_limit, successor.limited_at = self.rate_limit, self.limited_at
            successor.limit_probe_at = self.limit_probe_at
        return successor

    @property
    def is_leaving(self):
        """True once an answer of the upstream has said that it leaves."""
        return self.leaving_since is not None

    def estimate_load(self, now):
        """Returns the estimated number of requests that run or wait at the upstream."""
        age = now - self._reported_at
        if age <= FRESH_REPORT_S:
            return self.in_flight + self._other_load
        if age >= STALE_REPORT_S:
            return float(self.in_flight)
        report_weight = (STALE_REPORT_S - age) / (STALE_REPORT_S - FRESH_REPORT_S)
        return self.in_flight + self._other_load * report_weight

    def get_report_age_s(self, now):
        """Returns the age of the last load report in seconds."""
        return now - self._reported_at

    def estimate_pace(self, now):
        """Returns the factor by which requests take longer than usual on the upstream's machine."""
        return self._pace if now - self._reported_at <= FRESH_PACE_S else self._pace_mean

    def estimate_slowness(self, now):
        """Returns the factor by which requests take longer than the reported pace explains."""
        return _decay(self._slowness, 1.0, now - self._slowness_at, SLOWNESS_HALF_LIFE_S)

    def estimate_silence_s(self, now):
        """Returns the seconds without any answer while requests are in flight, or 0 without any."""
        return now - self._waiting_since if self.in_flight else 0.0

    def record_send(self, now):
        """Counts a request as in flight."""
        if self.in_flight == 0:
            self._waiting_since = now
        self.in_flight += 1
        self.use.open_requests += 1

    def record_end(self, has_answered, now):
        """Counts the end of a request; ``has_answered`` if the upstream answered it."""
        self.in_flight -= 1
        self.use.open_requests -= 1
        if has_answered:
            self._waiting_since = now
            self._answered_at = now

    def has_answered_since(self, begun):
        """Returns True if the upstream has answered any request since a monotonic time."""
        return self._answered_at >= begun

    def estimate_failure_share(self, now):
        """Returns the share of recent answers that were failures."""
        return _decay(self._failure_share, 0.0, now - self._failure_at, FAILURE_HALF_LIFE_S)

    def find_object_rank(self, key):
        """Returns how many other objects the upstream has handled since this one, or None.

        Counts requests of this host only; None if the object is none of the last ones.
        """
        if key not in self._recent_objects:
            return None
        for rank, other in enumerate(reversed(self._recent_objects)):
            if other == key:
                return rank
        return None

    def is_cold(self, now):
        """Returns True while only a limited rate of requests may be sent to the upstream."""
        return now < self.cold_until or now < self.suspect_until

    def is_proven(self, opened_at):
        """Returns True if a connection leads to the process that this host knows.

        A connection can only reach the process that accepted it, and that process has answered
        since. So a request on it can't reach one that has started later.

        Args:
          opened_at: Monotonic time at which the connection was opened.
        """
        return opened_at <= self.proven_at

    def record_restart_sign(self, now):
        """Records that connections which are opened from now on may lead to another process."""
        self.restarted_at = now

    def suspect(self, at, until):
        """Limits sends until a time as if the upstream were cold, as it may have restarted."""
        self.suspected_at = at
        self.suspect_until = max(self.suspect_until, until)

    def record_alive(self, opened_at, sent_at):
        """Records an answer, which may show whether a suspected restart happened.

        Args:
          opened_at: Monotonic time at which the connection was opened.
          sent_at: Monotonic time at which the answered request was sent. The process ran then; it
            may have ended before the answer was read.
        """
        if self.is_proven(opened_at):
            if sent_at < self.proven_since:
                # An earlier process gave it.
                return
            self.proven_since = min(self.proven_since, opened_at)
            if sent_at >= self.suspected_at:
                self.suspect_until = 0.0
            if self.restarted_at is not None and self.proven_at < self.restarted_at <= sent_at:
                self.restarted_at = None
        elif sent_at >= self.suspect_until:
            # Another process may have answered before.
            self.proven_since = opened_at
        if sent_at >= self.suspect_until:
            self.proven_at = max(self.proven_at, sent_at)

    def ran_at(self, at):
        """Returns True if answers show that the known process ran at a monotonic time."""
        return self.proven_since <= at <= self.proven_at

    def apply_report(self, report, now):
        """Applies the LoadReport of an answer.

        The report and ``in_flight`` both still count the answered request.
        """
        self._other_load = max(0.0, report.running + report.waiting - self.in_flight)
        self._reported_at = now
        self._pace = report.pace
        self._pace_mean += PACE_WEIGHT * (report.pace - self._pace_mean)

    def mark_full(self, load, now):
        """Marks the slots and the queue of the upstream as full, because it shed a request.

        Args:
          load: The LoadReport of the answer that says so, or None.
          now: Monotonic seconds.
        """
        reported = load.running + load.waiting if load is not None else 0
        full_load = max(FULL_LOAD_FACTOR * self.record.slots, reported)
        self._other_load = max(0.0, full_load - self.in_flight)
        self._reported_at = now

    def record_slowness(self, ratio, now):
        """Adds a sample of the ratio of the actual to the expected service time."""
        current = self.estimate_slowness(now)
        # A single request that runs many times longer than usual says little about the upstream.
        sample = min(MAX_SLOWNESS, MAX_SAMPLE_FACTOR * current + 1.0, max(0.5, ratio))
        self._slowness = current + SLOWNESS_WEIGHT * (sample - current)
        self._slowness_at = now

    def record_result(self, has_failed, now):
        """Counts an answer as a success or a failure."""
        current = self.estimate_failure_share(now)
        self._failure_share = current + FAILURE_WEIGHT * (float(has_failed) - current)
        self._failure_at = now

    def record_object(self, key):
        """Records that the upstream handled an object."""
        self._recent_objects[key] = None
        self._recent_objects.move_to_end(key)
        if len(self._recent_objects) > objectcopies.MAX_REMEMBERED:
            self._recent_objects.popitem(last=False)

    def forget_objects(self):
        """Clears the recently handled objects, which a cold upstream no longer remembers."""
        self._recent_objects.clear()


def _decay(value, baseline, age, half_life_s):
    if age <= 0.0 or value == baseline:
        return value
    return baseline + (value - baseline) * 0.5 ** (age / half_life_s)
