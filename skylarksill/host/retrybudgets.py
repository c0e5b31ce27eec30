"""Retry budgets of the services of a host."""

import time

from skylarksill import retries

# Part of the permitted retries that the hosts use together.
RETRY_BUDGET_SHARE = 0.8


class RetryBudgets:
    """This host's part of the permitted retries, by service.

    Args:
      fleet: The Fleet.
      bounds: The records.Bounds.

    Attributes:
      bounds: As above; may be replaced at any time.
    """

    def __init__(self, fleet, bounds):
        self.bounds = bounds
        self._fleet = fleet
        self._budgets = {}

    def count_request(self, service_id, now):
        """Counts a request to a service; ``now`` is monotonic time in seconds."""
        self._find_budget(service_id).count_request(now)

    def take_retry(self, service_id):
        """Counts a retry if the budget of the service permits it; returns True if it does."""
        return self._find_budget(service_id).take_retry(time.monotonic())

    def _find_budget(self, service_id):
        budget = self._budgets.get(service_id)
        if budget is None:
            bounds = self.bounds
            budget = self._budgets[service_id] = retries.RetryBudget(
                RETRY_BUDGET_SHARE * bounds.retry_ratio, bounds.retry_window_s
            )
        view = self._fleet.view
        extra = RETRY_BUDGET_SHARE * self.bounds.retry_extra / len(view.all_ids)
        budget.extra = extra if view.is_settled else 0.0
        return budget
