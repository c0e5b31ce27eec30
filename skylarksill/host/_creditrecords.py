"""Records of the credit of accounts, and the token bucket that a quota stands for."""

import dataclasses

from skylarksill.host import _creditborrowing, records

# Part of the permitted tolerance that is dealt. The rest covers hosts whose views differ, and
# requests that arrive at upstreams closer together than they were permitted.
TOLERANCE_SHARE = 0.5


@dataclasses.dataclass(slots=True, eq=False)
class Permit:
    """Permission to send one request.

    Attributes:
      account_id: The account; None if it has no limit.
      taken_at: Time at which it was taken.
      loan: The Loan of a borrowed permit, or None.
      is_held: False once it is given back.
    """

    account_id: records.AccountId | None
    taken_at: float = 0.0
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


@dataclasses.dataclass(frozen=True, slots=True)
class Quota:
    """What the holders of an account may spend and lend together.

    Attributes:
      rate: Permits a second that come in.
      depth: Most permits that are kept.
    """

    rate: float
    depth: float


NO_QUOTA = Quota(0.0, 0.0)


def compute_quota(account, bounds):
    """Returns the Quota of a records.Account.

    A permit is used at most LOAN_S after it was taken. So the requests of a window are at most the
    depth and what came in during the window and LOAN_S, which has to be within the bound.
    """
    window_s = bounds.quota_window_s
    factor = 1.0 + bounds.quota_overage
    span_s = window_s + _creditborrowing.LOAN_S
    rate = min(account.rate, factor * account.rate * window_s / span_s)
    bound = factor * (account.rate * window_s + account.burst)
    depth = bound + TOLERANCE_SHARE * bounds.quota_tolerance - rate * span_s
    return Quota(rate, max(1.0, depth))
