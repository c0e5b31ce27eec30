"""Numbers of requests by account on one host, for the metrics. Performs no I/O.

Handles 10,000 accounts of which the metrics show the busiest: the names of accounts come from the
operators, so that a label for each of them would have no bound.
"""

import dataclasses

# Accounts that the metrics name.
MAX_SHOWN = 20
# Accounts that are counted at a time; twice as many as a configuration is designed for, since
# accounts that were removed are counted until there are this many.
MAX_COUNTED = 20_000


@dataclasses.dataclass(slots=True)
class AccountLoad:
    """Numbers of ended requests of one account since it was first seen.

    Attributes:
      requests: All of them.
      refusals: Those that were refused since the account had no credit.
    """

    requests: int = 0
    refusals: int = 0


class AccountLoads:
    """Numbers of requests of the accounts that have sent some to this host."""

    def __init__(self):
        self._loads = {}

    def count(self, account_id, is_refused):
        """Counts an ended request of an account.

        Args:
          account_id: The records.AccountId.
          is_refused: True if the account had no credit for it.
        """
        load = self._loads.get(account_id)
        if load is None:
            if len(self._loads) >= MAX_COUNTED:
                self._loads = dict(self._rank(MAX_COUNTED // 2))
            load = self._loads[account_id] = AccountLoad()
        load.requests += 1
        load.refusals += is_refused

    def list_busiest(self):
        """Returns a dict of AccountLoad by account id, of those with the most requests."""
        return dict(self._rank(MAX_SHOWN))

    def _rank(self, count):
        ranked = sorted(self._loads.items(), key=lambda item: -item[1].requests)
        return ranked[:count]
