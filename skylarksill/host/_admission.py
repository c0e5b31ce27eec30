"""Admission of requests: their route, account, time, and the service that runs them."""

import math
import time

from skylarksill.host import _progress, accounts, answers, placement, poison, records, routes

# Time after a request's deadline before the host answers with a time-out itself, so that an answer
# which the upstream gives at the deadline arrives first. Clients expect an answer within 0.25 s
# after the deadline.
TIMEOUT_GRACE_S = 0.08
# A request that crashes upstreams may be retried, but only after a long delay.
BLOCKED_RETRY_AFTER_S = 60.0
# Steps of a request that each wait as long as the process is late: it arrives, is sent to an
# upstream, and is answered.
STEPS_OF_REQUEST = 3
# A client that asks a host which is too late to serve it is to try another host at once.
LATE_RETRY_AFTER_S = 0.02
# A client whose request arrives late in a stop is to try another host at once.
STOPPING_RETRY_AFTER_S = 0.02
# A client that asks a host which may be behind for an unknown route is to try another host at once.
OUTDATED_RETRY_AFTER_S = 0.02


class Admission:
    """Admits requests of clients, or ends those that go to no upstream.

    Args:
      belief: The host's Belief.
      lateness: The lateness.Lateness of the process.
      poisons: The PoisonTable.
      budgets: The RetryBudgets.
      endings: The Endings.
      bounds: The records.Bounds.

    Attributes:
      bounds: As above; may be replaced at any time.
      ends_at: Monotonic time by which all answers must be given, as the host stops; else infinity.
    """

    def __init__(self, belief, lateness, poisons, budgets, endings, bounds):
        self.bounds = bounds
        self.ends_at = math.inf
        self._belief = belief
        self._lateness = lateness
        self._poisons = poisons
        self._budgets = budgets
        self._endings = endings
        self._splits = routes.SplitTable()
        self._table = accounts.AccountTable(None)

    def begin(self, request):
        """Returns the Progress of a new request, or its Answer if it goes to no upstream."""
        belief = self._belief
        if not belief.is_complete:
            return self._endings.reject(
                request, "no_configuration", placement.UNAVAILABLE_RETRY_AFTER_S
            )
        route = belief.route_table.find(request.site, request.path)
        if route is None:
            return self._deny(request)
        if isinstance(route, records.UnreadableRoute):
            delay_s = placement.UNAVAILABLE_RETRY_AFTER_S
            return self._endings.reject(request, "unreadable_route", delay_s)
        identity = self._identify(request, route)
        if isinstance(identity, accounts.Denial):
            return self._endings.deny(request, identity)
        fingerprint = poison.fingerprint_request(request)
        if not self._poisons.blocks.admit(fingerprint, time.monotonic()):
            return self._endings.reject(request, "blocked", BLOCKED_RETRY_AFTER_S)
        remaining_s = route.timeout_s
        if request.deadline_s is not None:
            remaining_s = min(remaining_s, request.deadline_s)
        late_s = STEPS_OF_REQUEST * self._lateness.estimate_s()
        if request.received_at + remaining_s + TIMEOUT_GRACE_S + late_s > self.ends_at:
            return self._endings.reject(request, "stopping", STOPPING_RETRY_AFTER_S)
        if late_s > remaining_s:
            return self._endings.reject(request, "late", LATE_RETRY_AFTER_S)
        service_id = self._splits.choose(route)
        self._budgets.count_request(service_id, request.received_at)
        return _progress.Progress(
            route,
            service_id,
            request.received_at + remaining_s,
            fingerprint,
            identity,
            self._find_table(),
        )

    def is_blocked(self, progress):
        """Returns True if a request has been blocked since it began, as one that crashes upstreams.

        Args:
          progress: Its Progress.
        """
        return self._poisons.is_blocked(progress.fingerprint, time.monotonic())

    def renew_identity(self, request, progress):
        """Identifies a request again if the configuration has changed since.

        A key that was removed ends its use also for requests that wait or are to be repeated.

        Args:
          request: The records.Request.
          progress: Its Progress, which gets the identity that counts now.
        Returns:
          None, or the accounts.Denial of a request that must not be sent any more.
        """
        table = self._find_table()
        if table is progress.identified_by:
            return None
        identity = self._identify(request, progress.route)
        identity = accounts.confirm_identity(progress.identity, identity)
        if isinstance(identity, accounts.Denial):
            return identity
        progress.identity = identity
        progress.identified_by = table
        return None

    def _identify(self, request, route):
        return self._find_table().identify(request.headers, route.is_public, self._is_outdated())

    def _find_table(self):
        configuration = self._belief.configuration
        if self._table.configuration is not configuration:
            self._table = accounts.AccountTable(configuration)
        return self._table

    def _is_outdated(self):
        """Returns True if the configuration may not be the newest one."""
        age_s = self._belief.get_configuration_age_s(time.monotonic())
        return age_s > self.bounds.apply_s

    def _deny(self, request):
        """Answers a request that no route matches.

        A host whose configuration may be outdated can't know that no route exists.
        """
        if self._is_outdated():
            return self._endings.reject(request, "outdated", OUTDATED_RETRY_AFTER_S)
        self._endings.record_end(request, None, 404, "no_route")
        return answers.make_answer(404, b"no route\n")
