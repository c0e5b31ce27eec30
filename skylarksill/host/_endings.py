"""Ends of requests: the answer to the client, the counters and the log line."""

import math
import time

from skylarksill.host import accountloads, accounts, answers, placement

# Clients honour a Retry-After of up to this share of the time until their deadline.
MAX_RETRY_AFTER_SHARE = 1 / 3
# A client whose key may be in force, though this host doesn't know it, is to try another host at
# once.
UNCERTAIN_KEY_RETRY_AFTER_S = 0.02
_CHALLENGE = (b"www-authenticate", b"Bearer")
# Characters of an id, a host name or a path in the log.
MAX_LOGGED_NAME = 100
# Reason of the end of a request on which the host itself has failed.
FAILED_REASON = "host_failed"
# An account that can't be read is so on all hosts, so that asking another one at once is of no use.
_UNCERTAIN_DELAYS_S = {accounts.DenialReason.UNREADABLE: placement.UNAVAILABLE_RETRY_AFTER_S}


class Endings:
    """Ends requests.

    Args:
      belief: The host's Belief.
      log: The EventLog.
      counters: The Counters.

    Attributes:
      account_loads: The accountloads.AccountLoads.
    """

    def __init__(self, belief, log, counters):
        self._belief = belief
        self._log = log
        self._counters = counters
        self.account_loads = accountloads.AccountLoads()

    def end_unplaced(self, request, progress, rejection):
        """Ends a request that can't be placed, or rejects it if no send may have run."""
        if progress.attempts:
            return self.end_run(request, progress, 502, rejection.reason)
        return self.reject(request, rejection.reason, rejection.retry_after_s, progress, rejection)

    def end_failed(self, request, progress):
        """Ends a request on which the host itself has failed."""
        if progress is not None and progress.trace:
            return self.end_run(request, progress, 502, FAILED_REASON)
        retry_after_s = placement.UNAVAILABLE_RETRY_AFTER_S
        return self.reject(request, FAILED_REASON, retry_after_s, progress)

    def end_run(self, request, progress, status, reason):
        """Ends a request that may have run.

        The latest answer of an upstream, if there is one, is delivered instead of the host's own.
        """
        answer = progress.last_answer
        if answer is None:
            self.record_end(request, progress, status, reason)
            return answers.make_answer(status, b"upstream failed\n")
        self.record_end(request, progress, answer.status, "answered")
        return answer

    def deny(self, request, denial, progress=None):
        """Ends a request that may not run, or must not be sent again.

        Args:
          request: The records.Request.
          denial: The accounts.Denial.
          progress: The Progress of an admitted request, or None.
        Returns:
          The records.Answer.
        """
        reason = denial.reason.value
        self._counters.count("refused_keys", reason)
        if progress is not None and progress.attempts:
            return self.end_run(request, progress, 502, reason)
        if not denial.is_certain:
            delay_s = _UNCERTAIN_DELAYS_S.get(denial.reason, UNCERTAIN_KEY_RETRY_AFTER_S)
            return self.reject(request, reason, delay_s, progress)
        self.record_end(request, progress, 401, reason)
        return answers.make_answer(401, b"no valid key\n", (_CHALLENGE,))

    def refuse_credit(self, request, progress, refusal):
        """Ends a request whose account has used up its quota.

        Args:
          request: The records.Request.
          progress: The Progress.
          refusal: The accounts.CreditRefusal.
        Returns:
          The records.Answer.
        """
        self._counters.count("account_refusals", refusal.reason)
        if progress.attempts:
            return self.end_run(request, progress, 502, refusal.reason)
        # The client is told when there is credit, also if it can't wait that long.
        delay_s = refusal.retry_after_s
        self.record_end(request, progress, 429, refusal.reason, retry_after_s=round(delay_s, 3))
        return answers.make_answer(429, b"not run\n", (_format_retry_after(delay_s),))

    def reject(self, request, reason, retry_after_s, progress=None, rejection=None):
        """Answers that the request was not run and may be retried after a delay in seconds."""
        remaining_s = request.deadline_s
        if remaining_s is not None:
            remaining_s -= time.monotonic() - request.received_at
            retry_after_s = min(retry_after_s, max(0.0, remaining_s) * MAX_RETRY_AFTER_SHARE)
        self.record_end(
            request,
            progress,
            503,
            reason,
            retry_after_s=round(retry_after_s, 3),
            wait_s=round(rejection.wait_s, 3) if rejection else None,
        )
        return answers.make_answer(503, b"not run\n", (_format_retry_after(retry_after_s),))

    def record_end(self, request, progress, status, reason, **fields):
        """Counts and logs an ended request."""
        now = time.monotonic()
        service_id = progress.service_id if progress else ""
        self._counters.count("requests", f"{service_id} {status} {reason}")
        self._counters.observe_duration("latency", service_id, now - request.received_at)
        configuration = self._belief.configuration
        if progress is not None and not isinstance(progress.identity, accounts.Unrestricted):
            account = accounts.find_account(progress.identity)
            fields["account"] = account.account_id if account else None
            if account is not None:
                self.account_loads.count(account.account_id, status == 429)
        if progress is None:
            fields |= self._describe_target(request, now)
        self._log.write(
            "request",
            id=(request.request_id or b"")[:MAX_LOGGED_NAME].decode("latin-1"),
            route=progress.route.route_id if progress else None,
            service=service_id,
            status=status,
            reason=reason,
            ms=int((now - request.received_at) * 1000),
            sends=progress.trace if progress else [],
            generation=configuration.generation if configuration else None,
            **fields,
        )

    def _describe_target(self, request, now):
        """Returns what a request without a route asked for and what the host knew, for the log."""
        configuration = self._belief.configuration
        age_s = self._belief.get_configuration_age_s(now)
        return {
            "site": request.site[:MAX_LOGGED_NAME],
            "path": request.path[:MAX_LOGGED_NAME],
            "routes": len(configuration.routes) if configuration else 0,
            "configuration_age_ms": int(age_s * 1000) if math.isfinite(age_s) else None,
        }


def _format_retry_after(seconds):
    return b"retry-after", b"%.3f" % seconds
