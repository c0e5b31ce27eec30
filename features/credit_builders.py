"""Builders of accounts, credit tables and hosts with brokers for the features on quotas."""

import dataclasses
import itertools

from features import key_builders
from skylarksill.host import (
    accountcredit,
    creditbroker,
    creditcodec,
    envelope,
    eventlog,
    quotas,
    records,
)

BOUNDS = records.Bounds(4.0, 4.0, 6.0, 0.1, 10.0, 0, 1.0, 0.0, 6.0, 0.1, 4.0, 5.0, 0.1, 20.0)
START_S = 1_000.0
# A host that has run for this long uses its share.
USABLE_AFTER_S = quotas.SETTLE_S
# A bucket is full after this long.
FULL_AFTER_S = 30.0
STEP_S = 0.5


def build_account(account_id="shop", rate=4.0, burst=0.0):
    """Builds a records.Account without keys."""
    return records.Account(account_id, frozenset(), 1, rate, burst, frozenset())


def build_view(own_id, host_ids):
    """Builds the HostView of a settled host whose region has all hosts."""
    ids = frozenset(host_ids)
    return quotas.HostView(own_id, ids, ids, True)


class CreditHosts:
    """Credit tables of hosts that know each other, without sockets.

    Args:
      names: Names of the hosts.
      accounts: The records.Accounts.

    Attributes:
      now: Virtual seconds.
    """

    def __init__(self, names, accounts):
        self.now = START_S
        self.accounts = {account.account_id: account for account in accounts}
        self.names = list(names)
        self._incarnations = itertools.count(1)
        self.tables = {}
        self._counted = {}
        self._started_at = {}
        self.incarnations = {"other": next(self._incarnations)}
        for name in names:
            self.start(name)

    def start(self, name, is_counted=False):
        """Starts or restarts a host with nothing remembered; see HostView for ``is_counted``."""
        self._counted[name] = is_counted
        self._started_at[name] = self.now
        table = self.tables[name] = accountcredit.CreditTable(name, self.now)
        self.incarnations[name] = next(self._incarnations)
        table.configure(self.accounts, BOUNDS, self.now)
        self.update(name)

    def update(self, name):
        """Tells a host which hosts there are."""
        view = build_view(name, self.names)
        is_settled = self.now - self._started_at[name] >= quotas.SETTLE_S
        view = dataclasses.replace(view, is_settled=is_settled, is_counted=self._counted[name])
        self.tables[name].update_view(view, frozenset(self.names), self.now)

    def advance(self, seconds):
        """Lets time pass while all hosts run, and drops their messages."""
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            for name, table in self.tables.items():
                self.update(name)
                table.poll(self.now)

    def take_all(self, name, account_id, most=10_000):
        """Spends permits of a host until there are none; returns them."""
        taken = iter(lambda: self.tables[name].take(account_id, self.now), None)
        return list(itertools.islice(taken, most))

    def ask(self, name, lender, account_id, waiting, number=None):
        """Asks a host for permits on behalf of another; returns the CreditGrant or None."""
        number = next(self._incarnations) if number is None else number
        wanted = creditcodec.Wanted(accountcredit.compute_key(account_id), waiting, 0)
        request = creditcodec.CreditRequest(number, (wanted,), ())
        return self.tables[lender].answer(self.get_sender(name), request, self.now)

    def get_sender(self, name):
        """Returns the envelope.Sender of a host."""
        return envelope.Sender(name, self.incarnations[name])

    def find_holder(self, account_id):
        """Returns the name of a host that holds a share."""
        return next(
            name
            for name, table in self.tables.items()
            if table.count_free(account_id, self.now) > 0
        )

    def list_requests(self, name, account_id, waiting):
        """Lets requests wait; returns the messages that the host sends."""
        self.tables[name].set_waiting(account_id, waiting)
        return self.tables[name].poll(self.now)


@dataclasses.dataclass
class BrokerHost:
    """A host with a broker over loopback."""

    loopback: key_builders.LoopbackHost
    broker: creditbroker.CreditBroker
    is_running: bool = True

    def stop(self):
        """Stops the broker and its socket, once."""
        if self.is_running:
            self.is_running = False
            self.broker.stop()
            self.loopback.gossip.stop()


def start_brokers(names, accounts, now):
    """Starts hosts that use their shares at once; returns the BrokerHosts by name.

    Args:
      names: Names of the hosts.
      accounts: The records.Accounts.
      now: Monotonic seconds.
    """
    ring = key_builders.build_keyring("one")
    configuration = records.Configuration(
        1, (), {}, records.ClientLimits(), accounts={found.account_id: found for found in accounts}
    )
    offset = [0.0]
    hosts = {}

    def read_clock():
        return creditbroker.read_clock() + offset[0]

    def handle(name):
        return lambda *message: hosts[name].broker.receive(*message)

    loopbacks = key_builders.build_loopback_hosts(names, ring, now, handle)
    for name, loopback in loopbacks.items():
        view = build_view(name, names)
        broker = creditbroker.CreditBroker(
            name,
            loopback.table,
            lambda view=view: view,
            eventlog.EventLog(name, len),
            loopback.counts,
            read_clock,
        )
        broker.configure(configuration, BOUNDS)
        hosts[name] = BrokerHost(loopback, broker)
    # The start of the hosts is moved into the past, in steps too short to be taken for a freeze.
    for _ in range(round(FULL_AFTER_S / STEP_S) + 1):
        offset[0] += STEP_S
        for host in hosts.values():
            host.broker.poll()
    for host in hosts.values():
        host.broker.start(host.loopback.gossip.send_payload)
    return hosts
