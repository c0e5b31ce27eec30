"""Forwarding of requests: admission, placement, sends to upstreams, and the end of each request.

The steps of a request are in ``_admission``, ``_sending`` and ``_endings``; this module leads a
request through them, and decides whether it is sent again.
"""

import time

from skylarksill import records as shared
from skylarksill.host import (
    _admission,
    _crediting,
    _endings,
    _progress,
    _sending,
    _upstreamhttp,
    accounts,
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

# No host can run a request whose route and account have no region in common, so that a client
# gains nothing by asking again soon.
NO_COMMON_REGION = placement.Rejection("no_common_region", placement.UNAVAILABLE_RETRY_AFTER_S)


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
      host_id: Name of this host.
      credit: The broker of the accounts' credit, see ``_crediting``; None without quotas.

    Attributes:
      poisons: PoisonTable of requests that crash upstreams.
      restart_reports: The restarts.RestartReports.
      on_block_change: Function of a fingerprint, called as this host begins or ends a block of that
        request, or None.
    """

    def __init__(
        self,
        belief,
        fleet,
        steering,
        pool,
        names,
        log,
        counters,
        bounds,
        lateness,
        *,
        host_id="",
        credit=None,
    ):
        self.poisons = poison.PoisonTable(host_id)
        self.on_block_change = None
        self._belief = belief
        self._steering = steering
        self._log = log
        self._counters = counters
        self._endings = _endings.Endings(belief, log, counters)
        self._budgets = retrybudgets.RetryBudgets(fleet, bounds)
        self._admission = _admission.Admission(
            belief, lateness, self.poisons, self._budgets, self._endings, bounds
        )
        self._crediting = _crediting.Crediting(credit, log)
        self._sender = _sending.Sender(
            fleet,
            steering,
            pool,
            names,
            log,
            counters,
            self._admission,
            self._crediting,
            self._handle_upstream_down,
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

    @property
    def credit(self):
        """The broker of the accounts' credit, or None without quotas; see ``_crediting``."""
        return self._crediting.credit

    @credit.setter
    def credit(self, credit):
        self._crediting.credit = credit

    def report_account_loads(self):
        """Sets the gauges of the busiest accounts."""
        busiest = self._endings.account_loads.list_busiest()
        for name, values in (
            ("account_requests", {key: load.requests for key, load in busiest.items()}),
            ("account_refused_requests", {key: load.refusals for key, load in busiest.items()}),
        ):
            self._counters.set_group(name, values)

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
        finally:
            if isinstance(progress, _progress.Progress):
                self._crediting.release(progress)
        if cancellation.is_cancelled:
            self._endings.record_end(request, progress, 0, cancellation.reason.value)
            return None
        return answer

    def _place_and_send(self, request, progress, cancellation):
        """Returns the answer to the client, or None if the request was cancelled."""
        while not cancellation.is_cancelled:
            answer = self._check_account(request, progress, cancellation)
            if answer is not None or cancellation.is_cancelled:
                return answer
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

    def _check_account(self, request, progress, cancellation):
        """Returns the Answer to a request that must not be sent, or not be sent again, or None."""
        answer = self._check_identity(request, progress)
        if answer is not None:
            return answer
        refusal = self._crediting.acquire(progress)
        if cancellation.is_cancelled:
            return None
        if refusal is not None:
            return self._endings.refuse_credit(request, progress, refusal)
        # The wait for credit may have been long enough for another configuration.
        return self._check_identity(request, progress)

    def _check_identity(self, request, progress):
        """Returns the Answer to a request that no region or no account permits, or None."""
        denial = self._admission.renew_identity(request, progress)
        if denial is not None:
            return self._endings.deny(request, denial, progress)
        if accounts.find_regions(progress.route, progress.identity) is None:
            return self._endings.end_unplaced(request, progress, NO_COMMON_REGION)
        return None

    def _make_query(self, request, progress, now):
        route = progress.route
        rank, rank_count = self._find_ranks().find_rank(
            route, progress.service_id, progress.identity
        )
        return placement.Query(
            route,
            progress.service_id,
            rank,
            request.affinity_key,
            progress.deadline_at - now,
            progress.excluded,
            accounts.find_regions(route, progress.identity),
            rank_count,
        )

    def _handle_outcome(self, request, progress, choice, outcome):
        """Returns the answer to the client, or None if the request is to be placed again."""
        is_idempotent = progress.route.kind is shared.WorkKind.IDEMPOTENT
        match outcome:
            case _upstreamhttp.NotRun(reason, is_withheld=True):
                progress.rejected_sends += 1
                if progress.rejected_sends <= MAX_REJECTED_SENDS:
                    return None
                rejection = placement.Rejection(reason, placement.UNAVAILABLE_RETRY_AFTER_S)
                return self._endings.end_unplaced(request, progress, rejection)
        progress.excluded.add(choice.upstream.record.upstream_id)
        match outcome:
            case _upstreamhttp.Answered(answer):
                progress.attempts += 1
                progress.last_answer = answer
                if self.poisons.record_answer(progress.fingerprint, time.monotonic()):
                    self._report_block_change("request.unblocked", progress.fingerprint)
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
            case _upstreamhttp.MayHaveRun(reason, is_broken, opened_at):
                progress.attempts += 1
                if is_broken:
                    upstream, now = choice.upstream.record, time.monotonic()
                    self.poisons.record_broken(progress.fingerprint, upstream, opened_at, now)
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
            self._report_block_change("request.blocked", fingerprint)

    def _report_block_change(self, event, fingerprint):
        self._log.write(event, fingerprint=fingerprint.hex())
        if self.on_block_change is not None:
            self.on_block_change(fingerprint)

    def _take_retry(self, progress):
        return self._budgets.take_retry(progress.service_id)

    def _find_ranks(self):
        configuration = self._belief.configuration
        if self._ranks.configuration is not configuration:
            self._ranks = priorities.PriorityRanks(configuration)
        return self._ranks
