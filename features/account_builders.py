"""Builders of accounts, and a broker of credit that notes what it is asked."""

import dataclasses
import math
import time
import types

import eventlet

from features import host_builders
from skylarksill.host import accounts, credentials, records


def build_account(account_id="acme", keys=("k-acme",), **changes):
    """Builds an Account; ``changes`` replace its fields."""
    digests = frozenset(credentials.compute_key_digest(key.encode()) for key in keys)
    fields = {"priority": 1, "rate": 0.0, "burst": 0.0, "regions": frozenset()}
    return records.Account(account_id, digests, **{**fields, **changes})


def build_configuration(generation, *known, route=None, problems=()):
    """Builds a Configuration with accounts, a route for them and a public one."""
    open_route = host_builders.build_route(route_id="open", prefix="/open/", is_public=True)
    base = host_builders.build_configuration(
        generation, (route or host_builders.build_route(), open_route)
    )
    by_id = {account.account_id: account for account in known}
    return dataclasses.replace(base, accounts=by_id, problems=problems)


class FakeCredit:
    """A broker that grants some permits and refuses after that.

    Args:
      count: Number of permits.
      wait_s: Seconds that each answer takes.
      lifetime_s: Seconds for which the permits are valid.

    Attributes:
      granted: The permits that it has granted.
      returned: The permits that came back.
    """

    def __init__(self, count, wait_s=0.0, lifetime_s=math.inf):
        self.granted = []
        self.returned = []
        self._count = count
        self._wait_s = wait_s
        self._lifetime_s = lifetime_s

    def acquire(self, account, wait_s):
        """Grants a permit or refuses it."""
        eventlet.sleep(self._wait_s)
        if len(self.granted) == self._count:
            return accounts.CreditRefusal(1.5, "no_credit")
        expires_at = time.clock_gettime(time.CLOCK_BOOTTIME) + self._lifetime_s
        permit = types.SimpleNamespace(account_id=account.account_id, expires_at=expires_at)
        self.granted.append(permit)
        return permit

    def confirm(self, permit):
        """Returns True if a permit still permits a send."""
        return time.clock_gettime(time.CLOCK_BOOTTIME) < permit.expires_at

    def give_back(self, permit):
        """Takes back a permit that was not used."""
        self.returned.append(permit)
