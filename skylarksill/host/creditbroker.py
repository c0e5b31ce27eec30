"""Credit of accounts for the requests of a host: wakes those that wait, and talks to the holders.

Handles bursts of requests of accounts whose credit is at other hosts: they wait for a bounded time
and in bounded number, and the credit requests of one instant share datagrams. Messages travel in
sealed datagrams through the socket of gossip. While no configuration has accounts with limits,
nothing is sent.
"""

import collections
import dataclasses
import enum
import time

import eventlet
from eventlet import event

from skylarksill.host import accountcredit, accounts, creditcodec, records, supervision

# Longest time for which a request waits for credit: two round trips between regions.
MAX_WAIT_S = 0.25
# Time in which credit requests are gathered for common datagrams.
BATCH_S = 0.002
# Pauses between looks at what has timed out, with waiting requests and without.
WAITING_POLL_S = 0.02
IDLE_POLL_S = 0.1
# Interval at which the hosts that can be asked are listed, and at which metrics are updated.
VIEW_INTERVAL_S = 0.5
METRICS_INTERVAL_S = 5.0
# Accounts in a log line about those that are short of credit, and accounts counted for it.
MAX_LOGGED_ACCOUNTS = 20
MAX_COUNTED_ACCOUNTS = 1_000


class Reason(enum.Enum):
    """Why a request got no permit."""

    OVER_QUOTA = "over_quota"
    NO_ANSWER = "no_answer"
    TOO_MANY_WAITING = "too_many_waiting"


@dataclasses.dataclass(slots=True, eq=False)
class _Waiter:
    """A request that waits.

    Attributes:
      woken: Sent when the wait ends early.
      permit: The Permit, or None.
    """

    woken: event.Event = dataclasses.field(default_factory=event.Event)
    permit: accountcredit.Permit | None = None


def read_clock():
    """Returns seconds of the clock that also counts while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class CreditBroker:
    """Gives requests permits of their accounts.

    Args:
      own_id: Name of this host.
      table: The peers.PeerTable.
      get_view: Function that returns the quotas.HostView.
      log: The EventLog.
      counters: The Counters.
      clock: Function that returns seconds, see ``read_clock``.
    """

    def __init__(self, own_id, table, get_view, log, counters, clock=read_clock):
        self._own_id = own_id
        self._peers = table
        self._get_view = get_view
        self._log = log
        self._counters = counters
        self._clock = clock
        self._credit = accountcredit.CreditTable(own_id, clock())
        self._send = None
        self._thread = None
        self._has_limits = False
        self._waiting = {}
        self._wakeup = event.Event()
        self._records = {}
        self._viewed_at = self._measured_at = float("-inf")
        self._refused = collections.Counter()

    def start(self, send):
        """Starts asking and lending.

        Args:
          send: Function of a payload and a gossip address.
        """
        self._send = send
        self._thread = supervision.spawn_lasting(self._log, "credit", self._run)

    def stop(self):
        """Stops asking; what waits times out."""
        if self._thread is not None:
            self._thread.kill()

    def configure(self, configuration, bounds):
        """Takes over the limits of a records.Configuration, or None, and the records.Bounds."""
        found = (configuration.accounts if configuration else None) or {}
        self._has_limits = any(account.is_limited for account in found.values())
        self._credit.configure(found, bounds, self._clock())

    def acquire(self, account, wait_s):
        """Returns a permit for one request, borrowed if need be.

        Args:
          account: The records.Account, or None for a request that belongs to none.
          wait_s: Longest time to wait in seconds; MAX_WAIT_S is the limit.
        Returns:
          An accountcredit.Permit or an accounts.CreditRefusal.
        """
        if account is None or not account.is_limited:
            return accountcredit.Permit(None)
        account_id = account.account_id
        now = self._clock()
        self._credit.note_demand(account_id, now)
        queue = self._waiting.get(account_id)
        permit = None if queue else self._credit.take(account_id, now)
        if permit is not None:
            if self._credit.is_hungry:
                self._notify()
            return permit
        if queue and len(queue) >= accountcredit.MAX_WAITING:
            return self._refuse(account_id, Reason.TOO_MANY_WAITING)
        if wait_s <= 0.0 or not self._credit.can_borrow(account_id, now):
            return self._refuse(account_id, Reason.OVER_QUOTA)
        return self._wait(account_id, min(wait_s, MAX_WAIT_S))

    def confirm(self, permit):
        """Notes that the request of a permit is sent now; to be called before each send.

        Returns:
          False if the permit has ended, so that the request needs another one.
        """
        return self._credit.confirm(permit, self._clock())

    def give_back(self, permit):
        """Returns a permit whose request was not run; later calls change nothing."""
        self._credit.give_back(permit, self._clock())
        if permit.account_id in self._waiting:
            self._wake([permit.account_id])

    def receive(self, sender, payload, address):
        """Handles a message of another host.

        Args:
          sender: The envelope.Sender.
          payload: The bytes of the message.
          address: Address from which it came.
        Raises:
          creditcodec.CreditCodecError: If it is malformed.
        """
        message = creditcodec.decode(payload)
        now = self._clock()
        match message:
            case creditcodec.CreditRequest():
                grant = self._credit.answer(sender, message, now)
                if grant is not None:
                    self._transmit(creditcodec.encode(grant), address)
            case creditcodec.CreditGrant():
                self._wake(self._credit.accept(sender.host_id, message, now))

    def _wait(self, account_id, wait_s):
        waiter = _Waiter()
        queue = self._waiting.setdefault(account_id, collections.deque())
        queue.append(waiter)
        self._credit.set_waiting(account_id, len(queue))
        self._notify()
        is_ended = False
        try:
            with eventlet.Timeout(wait_s, False):
                waiter.woken.wait()
            is_ended = True
        finally:
            self._leave_queue(account_id, waiter)
            if not is_ended and waiter.permit is not None:
                # The request was cancelled in the same instant.
                self.give_back(waiter.permit)
        if waiter.permit is not None:
            return waiter.permit
        was_answered = waiter.woken.ready()
        return self._refuse(account_id, Reason.OVER_QUOTA if was_answered else Reason.NO_ANSWER)

    def _leave_queue(self, account_id, waiter):
        queue = self._waiting.get(account_id)
        if queue is None or waiter not in queue:
            return
        queue.remove(waiter)
        self._note_queue(account_id, queue)

    def _note_queue(self, account_id, queue):
        self._credit.set_waiting(account_id, len(queue))
        if not queue:
            self._waiting.pop(account_id, None)

    def _wake(self, account_ids):
        """Gives waiting requests the permits that there are, the oldest first."""
        now = self._clock()
        for account_id in account_ids:
            queue = self._waiting.get(account_id)
            if not queue:
                continue
            while queue:
                permit = self._credit.take(account_id, now)
                if permit is None:
                    break
                waiter = queue.popleft()
                waiter.permit = permit
                waiter.woken.send()
            if queue and not self._credit.can_borrow(account_id, now):
                while queue:
                    queue.popleft().woken.send()
            self._note_queue(account_id, queue)
            if queue:
                self._notify()

    def _refuse(self, account_id, reason):
        self._counters.count("credit_refusals", reason.value)
        if account_id in self._refused or len(self._refused) < MAX_COUNTED_ACCOUNTS:
            self._refused[account_id] += 1
        retry_after_s = self._credit.estimate_retry_after_s(account_id, self._clock())
        return accounts.CreditRefusal(retry_after_s, reason.value)

    def _notify(self):
        if not self._wakeup.ready():
            self._wakeup.send()

    def _run(self):
        while True:
            pause_s = WAITING_POLL_S if self._waiting else IDLE_POLL_S
            with eventlet.Timeout(pause_s, False):
                self._wakeup.wait()
            eventlet.sleep(BATCH_S)
            self._wakeup = event.Event()
            self.poll()

    def poll(self):
        """Asks holders, and ends what has expired; runs again and again once started."""
        now = self._clock()
        if now - self._viewed_at >= VIEW_INTERVAL_S:
            self._viewed_at = now
            self._update_view(now)
        if now - self._measured_at >= METRICS_INTERVAL_S:
            self._measured_at = now
            self._report(now)
        self._wake(list(self._waiting))
        for host_id, message in self._credit.poll(now):
            record = self._records.get(host_id)
            # A host that is dead gets nothing; the credit request times out.
            if record is not None:
                self._transmit(creditcodec.encode(message), record.gossip)

    def _update_view(self, now):
        reachable = frozenset()
        if self._has_limits:
            alive = self._peers.list_alive(time.monotonic())
            self._records = {peer.record.host_id: peer.record for peer in alive}
            leaving = records.HostState.LEAVING
            reachable = frozenset(
                peer.record.host_id for peer in alive if peer.state is not leaving
            )
        self._credit.update_view(self._get_view(), reachable, now)

    def _transmit(self, payload, address):
        if self._send is not None:
            self._counters.count("credit_messages")
            self._send(payload, address)

    def _report(self, now):
        """Updates the metrics, and logs the accounts that were refused since the last time."""
        if self._has_limits:
            totals = self._credit.compute_totals(now)
            for field in dataclasses.fields(totals):
                self._counters.set(f"credit_{field.name}", getattr(totals, field.name))
        self._counters.set("credit_short_accounts", len(self._refused))
        if self._refused:
            short = self._refused.most_common(MAX_LOGGED_ACCOUNTS)
            self._log.write(
                "credit.short",
                accounts=[account_id for account_id, _ in short],
                refusals=[count for _, count in short],
                all_accounts=len(self._refused),
            )
            self._refused.clear()
