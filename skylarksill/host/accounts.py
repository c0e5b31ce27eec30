"""Accounts of clients, and why a request of one is refused."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class CreditRefusal:
    """A request is refused because its account is out of credit.

    Attributes:
      retry_after_s: Seconds after which the account is expected to have credit again.
      reason: Why there is none, for the log and the metrics.
    """

    retry_after_s: float
    reason: str
