"""Forwarding of requests: admission, placement, sends to upstreams, and the end of each request.

The steps of a request are in ``_admission``, ``_sending`` and ``_endings``; this module leads a
request through them, and decides whether it is sent again.
"""

import time

from skylarksill import records as shared
from skylarksill.host import (
    _admission,
    _endings,
    _sending,
    _upstreamhttp,
    placement,
    poison,
    priorities,
    records,
    retrybudgets,
)

# A request that may have run is retried only if it is idempotent and more than this share of the
# expected service time remains.
MIN_RETRY_TIME_SHARE = 0.5
# Number of retries of one request after upstreams have rejected it without running it. Sends that
# may have run are bounded by the route's ``max_attempts``.
MAX_REJECTED_SENDS = 3
MIN_RETRY_AFTER_S = 0.02


class Forwarder:
    """Forwards requests of clients to upstreams and retries them within the budgets.

    Args:
      belief: The host's Belief.
      fleet: The Fleet.
      steering: The Steering.
      pool: The ConnectionPool.
      names: The HeaderNames.
      log: The EventLog.
      counters: The Counters.
      bounds: The records.Bounds.
      lateness: The lateness.Lateness of the process.

    Attributes:
      poisons: PoisonTable of requests that crash upstreams.
      restart_reports: The restarts.RestartReports.
    """

    def __init__(self, belief, fleet, steering, pool, names, log, counters, bounds, lateness):
        self.poisons = poison.PoisonTable()
        self._belief = belief
        self._steering = steering
        self._log = log
        self._endings = _endings.Endings(belief, log, counters)
        self._budgets = retrybudgets.RetryBudgets(fleet, bounds)
        self._admission = _admission.Admission(
            belief, lateness, self.poisons, self._budgets, self._endings, bounds
        )
        self._sender = _sending.Sender(
            fleet, steering, pool, names, log, counters, self._handle_upstream_down
        )
        self.restart_reports = self._sender.restart_reports
        self._ranks = priorities.PriorityRanks(None)

    @property
    def bounds(self):
        """The records.Bounds; may be replaced at any time."""
        return self._admission.bounds

    @bounds.setter
    def bounds(self, bounds):
        self._admission.bounds = self._budgets.bounds = bounds

    @property
    def ends_at(self):
        """Monotonic time by which all answers must be given, as the host stops; else infinity."""
        return self._admission.ends_at

    @ends_at.setter
    def ends_at(self, ends_at):
        self._admission.ends_at = ends_at

    def serve(self, request, cancellation):
        """Serves a request.

        Args:
          request: The records.Request.
          cancellation: The Cancellation, which is cancelled when the client has gone.
        Returns:
          The records.Answer, or None if the request was cancelled.
        """
        progress = None
        try:
            progress = self._admission.begin(request)
            if isinstance(progress, records.Answer):
                return progress
            answer = self._place_and_send(request, progress, cancellation)
        except Exception as error:
            # The request still ends with an answer, and releases what it holds.
            self._log.write_exception("request", error)
            if not cancellation.is_cancelled:
                return self._endings.end_failed(request, progress)
        if cancellation.is_cancelled:
            self._endings.record_end(request, progress, 0, "client_gone")
            return None
        return answer

    def _place_and_send(self, request, progress, cancellation):
        """Returns the answer to the client, or None if the request was cancelled."""
        while not cancellation.is_cancelled:
            now = time.monotonic()
            query = self._make_query(request, progress, now)
            choice = self._steering.choose(query, now)
            if isinstance(choice, placement.Rejection):
                return self._endings.end_unplaced(request, progress, choice)
            outcome = self._sender.send(request, progress, query, choice, cancellation)
            if cancellation.is_cancelled:
                break
            answer = self._handle_outcome(request, progress, choice, outcome)
            if answer is not None:
                return answer
        return None

    def _make_query(self, request, progress, now):
        return placement.Query(
            progress.route,
            progress.service_id,
            self._find_ranks().find_rank(progress.route, progress.service_id),
            request.affinity_key,
            progress.deadline_at - now,
            progress.excluded,
        )

    def _handle_outcome(self, request, progress, choice, outcome):
        """Returns the answer to the client, or None if the request is to be placed again."""
        is_idempotent = progress.route.kind is shared.WorkKind.IDEMPOTENT
        progress.excluded.add(choice.upstream.record.upstream_id)
        match outcome:
            case _upstreamhttp.Answered(answer):
                progress.attempts += 1
                progress.last_answer = answer
                self.poisons.record_answer(progress.fingerprint, time.monotonic())
                if (
                    answer.status >= 500
                    and is_idempotent
                    and self._take_retry_after_run(progress, choice)
                ):
                    return None
                return self._endings.end_run(request, progress, answer.status, "answered")
            case _upstreamhttp.NotRun(is_unreachable=True) | _upstreamhttp.NotRun(is_unsent=True):
                return None
            case _upstreamhttp.NotRun(reason):
                progress.rejected_sends += 1
                has_sends = progress.rejected_sends <= MAX_REJECTED_SENDS
                if has_sends and self._take_retry(progress):
                    return None
                rejection = placement.Rejection(reason, max(MIN_RETRY_AFTER_S, choice.wait_s))
                return self._endings.end_unplaced(request, progress, rejection)
            case _upstreamhttp.MayHaveRun(reason, is_broken):
                progress.attempts += 1
                if is_broken:
                    upstream = choice.upstream.record
                    self.poisons.record_broken(progress.fingerprint, upstream, time.monotonic())
                if is_idempotent and self._take_retry_after_run(progress, choice):
                    return None
                return self._endings.end_run(request, progress, 502, reason)
            case _upstreamhttp.TimedOut(reason):
                return self._endings.end_run(request, progress, 504, reason)
        raise TypeError(f"unknown outcome {outcome!r}")

    def _take_retry_after_run(self, progress, choice):
        """Takes a retry from the budget for a request that may have run.

        Returns:
          True if the request is to be sent again.
        """
        remaining_s = progress.deadline_at - time.monotonic()
        return (
            progress.attempts < progress.route.max_attempts
            and not self.poisons.is_suspect(progress.fingerprint)
            and remaining_s > MIN_RETRY_TIME_SHARE * choice.service_time_s
            and self._take_retry(progress)
        )

    def _handle_upstream_down(self, upstream):
        """Blocks the requests that have crashed several upstreams, now that another one is down."""
        for fingerprint in self.poisons.record_down(upstream, time.monotonic()):
            self._log.write("request.blocked", fingerprint=fingerprint.hex())

    def _take_retry(self, progress):
        return self._budgets.take_retry(progress.service_id)

    def _find_ranks(self):
        configuration = self._belief.configuration
        if self._ranks.configuration is not configuration:
            self._ranks = priorities.PriorityRanks(configuration)
        return self._ranks
