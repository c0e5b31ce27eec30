"""Records of the credit of accounts, and the units of a limit."""

import dataclasses
import math

from skylarksill.host import _creditborrowing, records

# Part of the permitted excess that is dealt. The rest covers hosts whose views differ, and requests
# that arrive at upstreams closer together than they were permitted.
SLACK_SHARE = 0.5


@dataclasses.dataclass(slots=True, eq=False)
class Permit:
    """Permission to send one request.

    Attributes:
      account_id: The account; None if it has no limit.
      tick: Tick at which an own permit counts.
      loan: The Loan of a borrowed permit, or None.
      is_held: False once it is given back.
    """

    account_id: records.AccountId | None
    tick: int = 0
    loan: _creditborrowing.Loan | None = None
    is_held: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class CreditTotals:
    """Sums over all accounts.

    Attributes:
      held: Free units of the own share.
      lent: Permits that are lent and not reported.
      borrowed: Borrowed permits that are unspent.
      expired: Borrowed permits that have ended unspent since the start.
    """

    held: int
    lent: int
    borrowed: int
    expired: int


def compute_units(account, bounds):
    """Returns the units of a records.Account that are dealt to all holders."""
    quota = account.rate * bounds.quota_window_s + account.burst
    slack = bounds.quota_overage * quota + bounds.quota_tolerance
    return math.floor(quota + SLACK_SHARE * slack)
