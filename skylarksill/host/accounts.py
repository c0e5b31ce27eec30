"""Accounts of clients: who sends a request, and what follows from that. Performs no I/O.

Designed for some 10,000 accounts with several keys each, whose keys are added and removed while
requests run: one look-up takes the same time however many keys there are, and a request is
identified again whenever the configuration has changed.
"""

import dataclasses
import enum

from skylarksill.host import credentials, records


class DenialReason(enum.Enum):
    """Why a request may not run, for logs and counters, besides those of credentials.KeyFault.

    OUTDATED and UNREADABLE stand for keys that may be in force though this host doesn't know them.
    CHANGED says that the request now belongs to another account than as it was admitted.
    """

    UNKNOWN = "unknown_key"
    OUTDATED = "outdated_keys"
    UNREADABLE = "unreadable_account"
    CHANGED = "account_changed"


_UNCERTAIN_REASONS = frozenset(
    (DenialReason.OUTDATED, DenialReason.UNREADABLE, DenialReason.CHANGED)
)


@dataclasses.dataclass(frozen=True, slots=True)
class Unrestricted:
    """The configuration names no accounts, so requests belong to none."""


@dataclasses.dataclass(frozen=True, slots=True)
class Anonymous:
    """A request without a valid key, on a public route."""


@dataclasses.dataclass(frozen=True, slots=True)
class Identified:
    """A request of an account."""

    account: records.Account


@dataclasses.dataclass(frozen=True, slots=True)
class Denial:
    """A request that may not run."""

    reason: DenialReason | credentials.KeyFault

    @property
    def is_certain(self):
        """True if no host would run the request, as far as this one can know."""
        return self.reason not in _UNCERTAIN_REASONS


@dataclasses.dataclass(frozen=True, slots=True)
class CreditRefusal:
    """An account has used up its quota.

    Attributes:
      retry_after_s: Seconds after which the account has credit again.
      reason: For logs and counters.
    """

    retry_after_s: float
    reason: str


class AccountTable:
    """Finds the accounts of requests by the digests of their keys.

    A key that several accounts list proves none of them.

    Args:
      configuration: The records.Configuration, or None without one.

    Attributes:
      configuration: As above.
    """

    def __init__(self, configuration):
        self.configuration = configuration
        known = configuration.accounts if configuration else None
        self._is_required = known is not None
        self._has_unreadable = configuration is not None and configuration.has_unreadable_accounts
        self._by_digest = {}
        for account in (known or {}).values():
            for digest in account.key_digests:
                self._by_digest[digest] = None if digest in self._by_digest else account

    def identify(self, headers, is_public, is_outdated):
        """Identifies a request.

        Args:
          headers: Pairs of lower-case names and values.
          is_public: True if the route of the request needs no key.
          is_outdated: True if the configuration may not be the newest one.
        Returns:
          Unrestricted, Identified, Anonymous or Denial.
        """
        if not self._is_required:
            return Unrestricted()
        key = credentials.parse_key(headers)
        if isinstance(key, credentials.KeyFault):
            if is_public:
                return Anonymous()
            # A newer configuration may have made the route public.
            return Denial(DenialReason.OUTDATED if is_outdated else key)
        account = self._by_digest.get(key)
        if account is not None:
            return Identified(account)
        if is_outdated:
            # The key may be in force; then even on a public route the request is its account's.
            return Denial(DenialReason.OUTDATED)
        if is_public:
            return Anonymous()
        return Denial(DenialReason.UNREADABLE if self._has_unreadable else DenialReason.UNKNOWN)


def find_account(identity):
    """Returns the records.Account that a request belongs to, or None."""
    return identity.account if isinstance(identity, Identified) else None


def confirm_identity(before, now):
    """Compares the identity of an admitted request with that by a newer configuration.

    Args:
      before: Unrestricted, Identified or Anonymous.
      now: Unrestricted, Identified, Anonymous or Denial.
    Returns:
      The identity that counts from now on, or a Denial.
    """
    match before, now:
        case _, Denial():
            return now
        case Identified(old), Identified(new) if old.account_id == new.account_id:
            return now
        case (Unrestricted(), Unrestricted()) | (Anonymous(), Anonymous()):
            return now
    return Denial(DenialReason.CHANGED)


def find_regions(route, identity):
    """Returns the regions that may run a request.

    Args:
      route: The records.Route.
      identity: Unrestricted, Identified or Anonymous.
    Returns:
      A frozenset that is empty if all regions may, or None if none may.
    """
    account = find_account(identity)
    if account is None or not account.regions:
        return route.regions
    if not route.regions:
        return account.regions
    return route.regions & account.regions or None


def permits_region(route, identity, region):
    """Returns True if a region may run a request."""
    regions = find_regions(route, identity)
    return regions is not None and (not regions or region in regions)


def select_headers(headers, identity, names):
    """Returns the end-to-end headers of a client's request that its upstream gets.

    With accounts, the upstream learns the account from the host alone, and never sees a key.
    Programs that pass headers on as variables take ``_`` for ``-``, so both are compared as one.

    Args:
      headers: Pairs of lower-case names and values.
      identity: Unrestricted, Identified or Anonymous.
      names: The records.HeaderNames.
    """
    if isinstance(identity, Unrestricted):
        return tuple(headers)
    dropped = (names.account, credentials.AUTHORIZATION)
    kept = tuple(pair for pair in headers if pair[0].lower().replace(b"_", b"-") not in dropped)
    account = find_account(identity)
    if account is None:
        return kept
    return (*kept, (names.account, account.account_id.encode()))
