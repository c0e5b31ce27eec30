"""Credit of accounts: the limits that all hosts share, request by request.

Handles an account whose requests arrive at hosts that hold no share of its limit and move between
hosts within a second, at 2,000 hosts and 1,000 accounts. The quota of an account is dealt to
holders, each of which has a token bucket with its share. Hosts ask holders for permits, each of
which lets one request pass. The permits of all holders stay within the quota, whatever messages
are lost:

* A bucket is empty when a process starts, so it yields nothing that a former process has used.
* A bucket fills only while the other holders count this host: once it is settled, or once it has
  listed the hosts if it was registered before it started.
* A permit, own or borrowed, ends LOAN_S after it was taken out of a bucket at the latest.

All times are seconds of a clock that also counts while the machine is suspended. Performs no I/O.
"""

import collections
import dataclasses
import random

from skylarksill.host import (
    _creditborrowing,
    _creditbucket,
    _creditholders,
    _creditlending,
    _creditrecords,
    creditcodec,
    quotas,
)

LOAN_S = _creditborrowing.LOAN_S
compute_key = _creditholders.compute_key
Permit = _creditrecords.Permit
# After a shorter freeze a host is still counted by all others, which forget a dead one after 120 s:
# it only has to learn of new hosts.
MAX_KNOWN_PAUSE_S = 60.0
# Time after a freeze in which the view of the hosts may be that of before.
RESUME_S = 1.0
# Accounts that are removed are remembered for this long, in case they come back.
REMOVED_S = 10.0
# Requests of an account that wait at a host; more are refused at once.
MAX_WAITING = 256
# Retry-After of refusals: the least, and the one while no holder has stated a time.
MIN_RETRY_AFTER_S = 0.05
UNKNOWN_RETRY_AFTER_S = 0.25


@dataclasses.dataclass(slots=True, eq=False)
class _Account:
    """State of an account.

    Attributes:
      quota: The Quota of all holders together; NO_QUOTA once it is removed.
      bucket: The PermitBucket of this host's share.
      debtor: The Debtor.
      removed_at: Time at which it lost its limit, or None.
    """

    quota: _creditrecords.Quota
    bucket: _creditbucket.PermitBucket
    debtor: _creditborrowing.Debtor
    removed_at: float | None = None


class CreditTable:
    """The credit of all accounts at one host.

    Args:
      own_id: Name of this host.
      now: Seconds.
      rng: Source of randomness.
      holders: The HolderTable, a new one if None.
    """

    def __init__(self, own_id, now, rng=random, holders=None):
        self._own_id = own_id
        self._rng = rng
        self._seen_at = now
        # When this host woke from its last freeze.
        self._resumed_at = float("-inf")
        self._is_settled = self._is_counted = False
        # When the own buckets began to fill, or None while they don't.
        self._usable_since = None
        self._accounts = {}
        self._by_key = {}
        self._hungry = {}
        self._holders = holders or _creditholders.HolderTable(own_id)
        self._borrower = _creditborrowing.Borrower(rng)
        self._lender = _creditlending.Lender()

    def configure(self, accounts, bounds, now):
        """Takes over the limits in force.

        Args:
          accounts: Dict of records.Account by id; empty for none.
          bounds: The records.Bounds.
          now: Seconds.
        """
        for account in accounts.values():
            if account.is_limited:
                self._put(account.account_id, _creditrecords.compute_quota(account, bounds), now)
        for account_id, state in list(self._accounts.items()):
            known = accounts.get(account_id)
            if (known is None or not known.is_limited) and state.removed_at is None:
                state.quota = _creditrecords.NO_QUOTA
                state.removed_at = now
        self._drop_removed(now)

    def _put(self, account_id, quota, now):
        state = self._accounts.get(account_id)
        if state is not None:
            state.quota = quota
            state.removed_at = None
            return
        key = _creditholders.compute_key(account_id)
        debtor = _creditborrowing.Debtor(account_id, key, _creditbucket.DemandMeter())
        bucket = _creditbucket.PermitBucket(now)
        self._accounts[account_id] = self._by_key[key] = _Account(quota, bucket, debtor)

    def _drop_removed(self, now):
        """Forgets accounts that were removed some time ago."""
        for account_id, state in list(self._accounts.items()):
            is_removed = state.removed_at is not None
            if is_removed and now - state.removed_at > REMOVED_S:
                del self._accounts[account_id]
                self._by_key.pop(state.debtor.key, None)
                self._hungry.pop(account_id, None)
                self._holders.forget_account(account_id)

    def update_view(self, view, reachable_ids, now):
        """Takes over the known hosts.

        Args:
          view: The quotas.HostView.
          reachable_ids: Frozenset of the hosts that are alive and don't leave.
          now: Seconds.
        """
        self.observe(now)
        self._is_settled = view.is_settled
        self._is_counted = view.is_counted
        self._holders.update(view.all_ids, view.region_ids, now)
        self._borrower.reachable_ids = reachable_ids
        self._borrower.region_ids = view.region_ids
        # Notes since when the buckets fill.
        self._is_usable(now)
        self._drop_removed(now)

    def observe(self, now):
        """Notes that the process runs; after a freeze the own buckets don't fill for a while."""
        pause_s = now - self._seen_at
        self._seen_at = now
        if pause_s > quotas.SettleTimer.MAX_PAUSE_S:
            self._is_settled = self._is_counted = False
            self._resumed_at = now
            if pause_s > MAX_KNOWN_PAUSE_S:
                for state in self._accounts.values():
                    state.bucket.empty()

    def is_limited(self, account_id):
        """Returns True if the account has a limit."""
        state = self._accounts.get(account_id)
        return state is not None and state.removed_at is None

    @property
    def is_hungry(self):
        """True if ``poll`` has to be called soon, as an account lacks permits."""
        return bool(self._hungry)

    def take(self, account_id, now):
        """Spends a permit; returns the Permit, or None if there is none at this host."""
        self.observe(now)
        state = self._accounts.get(account_id)
        if state is None or state.removed_at is not None:
            return Permit(None)
        loan = state.debtor.take(now)
        if loan is not None:
            permit = Permit(account_id, loan=loan)
        elif self._count_free(state, now) > 0:
            state.bucket.take()
            permit = Permit(account_id, now)
        else:
            return None
        if self._is_low(state, now):
            self._hungry[account_id] = None
        return permit

    def note_demand(self, account_id, now):
        """Counts a request, which may be refused later, towards the expected demand."""
        state = self._accounts.get(account_id)
        if state is not None:
            state.debtor.demand.add(now)

    def confirm(self, permit, now):
        """Returns True if a request may be sent now; False if its permit has ended."""
        self.observe(now)
        if permit.account_id is None:
            return True
        if not permit.is_held:
            return False
        if permit.loan is not None:
            return now < permit.loan.expires_at
        return now < permit.taken_at + LOAN_S

    def give_back(self, permit, now):
        """Returns a permit whose request was not run; later calls change nothing."""
        if permit.account_id is None or not permit.is_held:
            return
        permit.is_held = False
        if permit.loan is not None:
            if permit.loan.expires_at > now:
                permit.loan.free += 1
                state = self._accounts.get(permit.account_id)
                if state is not None and permit.loan not in state.debtor.loans:
                    state.debtor.loans.append(permit.loan)
            return
        state = self._accounts.get(permit.account_id)
        if state is not None:
            self._fill(state, now)
            state.bucket.give_back(permit.taken_at)

    def count_free(self, account_id, now):
        """Returns the permits that are left of the own share."""
        return self._count_free(self._accounts[account_id], now)

    def set_waiting(self, account_id, count):
        """Sets the number of requests of an account that wait for a permit."""
        state = self._accounts.get(account_id)
        if state is not None:
            state.debtor.waiting = count
            if count:
                self._hungry[account_id] = None

    def can_borrow(self, account_id, now):
        """Returns True if a credit request is outstanding, or a holder may have credit."""
        state = self._accounts[account_id]
        if self._borrower.count_pending(state.debtor, now):
            return True
        deal = self._find_deal(state)
        return self._borrower.choose_holder(state.debtor, deal, now) is not None

    def estimate_retry_after_s(self, account_id, now):
        """Returns a Retry-After in seconds: the time until credit is expected, and a spread."""
        state = self._accounts.get(account_id)
        times = []
        if state is not None:
            deal = self._find_deal(state)
            empty_until = state.debtor.empty_until
            asked_ids = deal.local_ids + deal.remote_ids
            times = [empty_until[host] - now for host in asked_ids if host in empty_until]
            if self._fill(state, now):
                times.append(state.bucket.estimate_wait_s())
        credit_s = max(MIN_RETRY_AFTER_S, min(times, default=UNKNOWN_RETRY_AFTER_S))
        return credit_s * (1.0 + self._rng.random())

    def poll(self, now):
        """Ends what has expired and chooses whom to ask.

        Returns:
          A list of pairs of a host id and the creditcodec.CreditRequest for it.
        """
        self.observe(now)
        self._borrower.expire(now)
        self._lender.expire(now)
        chosen = collections.defaultdict(list)
        for account_id in list(self._hungry):
            state = self._accounts[account_id]
            debtor = state.debtor
            # Permits that came in after the request began to wait are taken when it wakes.
            free = debtor.count_free(now) + self._count_free(state, now)
            waiting = max(0, debtor.waiting - free)
            expected = debtor.demand.measure(now) * _creditborrowing.AHEAD_S
            ahead = max(0, round(expected) - max(0, free - debtor.waiting))
            if not debtor.waiting:
                del self._hungry[account_id]
            deal = self._find_deal(state)
            for ask in self._borrower.choose_asks(debtor, deal, waiting, ahead, now):
                holder_id, for_waiting, for_ahead = ask
                chosen[holder_id].append((debtor, for_waiting, for_ahead))
        return self._borrower.make_requests(chosen, now)

    def accept(self, sender_id, grant, now):
        """Takes the permits of a creditcodec.CreditGrant; returns the ids of the accounts."""
        self.observe(now)
        return [debtor.account_id for debtor in self._borrower.accept(sender_id, grant, now)]

    def answer(self, sender, request, now):
        """Lends permits.

        Args:
          sender: The envelope.Sender, whose incarnation tells a restarted host apart.
          request: The creditcodec.CreditRequest.
          now: Seconds.
        Returns:
          The creditcodec.CreditGrant, or None if nothing is asked for or it was answered before.
        """
        self.observe(now)
        self._lender.apply_reports(sender, request.reports)
        if not request.wanted or not self._lender.is_new(sender, request.number):
            return None
        granted = tuple(self._grant(sender, request.number, item, now) for item in request.wanted)
        return creditcodec.CreditGrant(request.number, granted)

    def _grant(self, sender, number, wanted, now):
        state = self._by_key.get(wanted.key)
        if state is None:
            return creditcodec.Granted(wanted.key, 0, UNKNOWN_RETRY_AFTER_S)
        free = self._count_free(state, now)
        demand = state.debtor.demand.measure(now) * _creditborrowing.AHEAD_S
        count = _creditlending.choose_count(wanted.waiting, wanted.ahead, free, demand)
        if count:
            self._lender.lend(sender, number, wanted.key, state.bucket, count, now)
        is_short = count < wanted.waiting or free == count
        retry_s = self._estimate_own_wait_s(state, now) if is_short else 0.0
        return creditcodec.Granted(wanted.key, count, retry_s)

    def _estimate_own_wait_s(self, state, now):
        if not self._fill(state, now):
            return UNKNOWN_RETRY_AFTER_S
        return max(MIN_RETRY_AFTER_S, state.bucket.estimate_wait_s())

    def _find_deal(self, state):
        return self._holders.find_deal(state.debtor.account_id, int(state.quota.depth))

    def _is_usable(self, now):
        """Returns True if the other holders count this host, so that its buckets fill."""
        pause_s = now - self._resumed_at
        is_usable = (self._is_settled and pause_s >= quotas.SETTLE_S) or (
            self._is_counted and pause_s >= RESUME_S
        )
        if not is_usable:
            self._usable_since = None
        elif self._usable_since is None:
            self._usable_since = now
        return is_usable

    def _fill(self, state, now):
        """Fills the bucket of an account; returns True if this host may use it."""
        quota = state.quota
        share = self._find_deal(state).share if quota.rate else 0.0
        if not share or not self._is_usable(now):
            state.bucket.skip(now)
            return False
        state.bucket.fill(self._usable_since, now, quota.rate * share, quota.depth * share)
        return True

    def _count_free(self, state, now):
        """Returns the permits that are left of the own share."""
        return max(0, int(state.bucket.level)) if self._fill(state, now) else 0

    def _is_low(self, state, now):
        """Returns True if the credit at this host won't last for the demand that is expected."""
        expected = round(state.debtor.demand.measure(now) * _creditborrowing.LOW_S)
        return expected > state.debtor.count_free(now) + self._count_free(state, now)

    def compute_totals(self, now):
        """Returns the _creditrecords.CreditTotals."""
        held = sum(max(0, int(state.bucket.level)) for state in self._accounts.values())
        return _creditrecords.CreditTotals(
            held,
            self._lender.count_lent(),
            self._borrower.count_loans(),
            self._borrower.expired,
        )
