"""Borrowed permits of a host: whom it asks, what it has, and what it reports to the lenders.

Handles demand that appears at hosts which hold no share, holders that are out of credit, dead or
slow, and answers that are lost or late. Outstanding credit requests of an account are bounded, and
each goes to another holder, so that the clients of an account may all be at one host. A loan ends
LOAN_S after its credit request was sent. Then the borrower reports what was not spent, which the
lender gets back; a lost report costs credit. Performs no I/O.
"""

import collections
import dataclasses
import random

from skylarksill import records as shared
from skylarksill.host import _creditbucket, creditcodec, records

# Lifetime of borrowed permits from the time at which the credit request was sent.
LOAN_S = 0.3
# Time after which another holder is asked: a few round trips within a region, one between regions.
LOCAL_ANSWER_S = 0.03
REMOTE_ANSWER_S = 0.13
# A holder that has not answered is asked after the others for this long.
SILENT_S = 1.0
# A holder that is out of credit is asked again after a time that doubles between these bounds with
# each answer without credit, as other hosts ask for what it gets back.
MIN_EMPTY_S = 0.1
MAX_EMPTY_S = 1.0
# Demand is expected to go on for this long, and is borrowed for when there is credit for less than
# the second time.
AHEAD_S = 0.2
LOW_S = 0.1
# A report waits this long for a credit request to the same lender, which takes it along.
REPORT_S = 0.5
# Reports that are kept; beyond that the oldest are dropped, which costs credit for a few seconds.
MAX_KEPT_REPORTS = 10_000
MAX_ASKS = 20_000
# Outstanding credit requests of an account. One alone yields the part of a holder in each round
# trip between regions, which is too little for an account whose clients are all at one host.
MAX_PENDING = 6


@dataclasses.dataclass(slots=True, eq=False)
class Loan:
    """Permits that a holder has lent to this host.

    Attributes:
      number: Number of the credit request.
      expires_at: Time at which they end.
      free: Permits that are not spent.
    """

    account_id: records.AccountId
    key: bytes
    lender_id: shared.HostId
    number: int
    expires_at: float
    free: int


@dataclasses.dataclass(slots=True, eq=False)
class Debtor:
    """State of one account at the host that borrows.

    Attributes:
      waiting: Requests that wait for a permit.
      loans: Loans that have permits left, the oldest first.
      pending: Permits that outstanding credit requests are expected to yield, by their numbers.
      empty_until: Times until which holders are out of credit.
      turn: Number of times that a holder was chosen; the next one is asked each time, as a holder
        that was asked recently has less left.
      denials: Answers without credit since the last one with all that was asked for.
    """

    account_id: records.AccountId
    key: bytes
    demand: _creditbucket.DemandMeter
    waiting: int = 0
    loans: collections.deque = dataclasses.field(default_factory=collections.deque)
    pending: dict = dataclasses.field(default_factory=dict)
    empty_until: dict = dataclasses.field(default_factory=dict)
    denials: int = 0
    turn: int = 0

    def count_free(self, now):
        """Returns the number of borrowed permits that can be spent."""
        while self.loans and (not self.loans[0].free or self.loans[0].expires_at <= now):
            self.loans.popleft()
        return sum(loan.free for loan in self.loans if loan.expires_at > now)

    def take(self, now):
        """Spends a borrowed permit, the first to end; returns its Loan, or None."""
        if not self.count_free(now):
            return None
        loan = next(loan for loan in self.loans if loan.free and loan.expires_at > now)
        loan.free -= 1
        return loan


@dataclasses.dataclass(slots=True)
class _Ask:
    """A credit request that was sent.

    Attributes:
      debtors: The Debtors by key.
      answer_by: Time at which another holder is asked.
    """

    holder_id: shared.HostId
    sent_at: float
    answer_by: float
    debtors: dict


class Borrower:
    """Asks holders, keeps the loans and reports on them.

    Args:
      rng: Source of randomness, which spreads repeated requests.

    Attributes:
      reachable_ids: Hosts that are alive and don't leave.
      region_ids: Hosts of the own region.
      expired: Number of borrowed permits that ended unspent.
    """

    def __init__(self, rng=random):
        self._rng = rng
        self._number = 0
        self._asks = collections.OrderedDict()
        self._loans = collections.deque()
        self._reports = collections.defaultdict(collections.deque)
        self._report_count = 0
        self._silent_until = {}
        self.reachable_ids = frozenset()
        self.region_ids = frozenset()
        self.expired = 0

    def choose_holder(self, debtor, deal, now, excluded=()):
        """Returns the holder to ask for an account, or None if none is expected to have credit."""
        fallback = None
        for host_id in _rotate(deal, debtor.turn):
            if debtor.empty_until.get(host_id, 0.0) > now or host_id in excluded:
                continue
            is_silent = self._silent_until.get(host_id, 0.0) > now
            if host_id in self.reachable_ids and not is_silent:
                return host_id
            if fallback is None and not (is_silent and host_id not in self.reachable_ids):
                fallback = host_id
        return fallback

    def choose_asks(self, debtor, deal, waiting, ahead, now):
        """Chooses the holders to ask for an account.

        Args:
          debtor: The Debtor.
          deal: The _creditholders.Deal.
          waiting: Permits that are lacking for requests that wait.
          ahead: Permits that are lacking for requests that are expected.
          now: Seconds.
        Returns:
          A list of tuples of a host id, and the waiting and ahead permits to ask it for.
        """
        pending = self.count_pending(debtor, now)
        covered = min(pending, waiting)
        waiting -= covered
        ahead = max(0, ahead - (pending - covered))
        excluded = {self._asks[number].holder_id for number in debtor.pending}
        part = max(1, deal.holder_depth // 2)
        asks = []
        while waiting + ahead and len(debtor.pending) + len(asks) < MAX_PENDING:
            holder_id = self.choose_holder(debtor, deal, now, excluded)
            if holder_id is None:
                break
            excluded.add(holder_id)
            debtor.turn += 1
            for_waiting = min(waiting, part)
            for_ahead = min(ahead, part - for_waiting)
            waiting -= for_waiting
            ahead -= for_ahead
            asks.append((holder_id, for_waiting, for_ahead))
        return asks

    def count_pending(self, debtor, now):
        """Returns the permits that are expected in time; holders that are late count as silent."""
        for number in list(debtor.pending):
            ask = self._asks.get(number)
            if ask is not None and now < ask.answer_by:
                continue
            del debtor.pending[number]
            if ask is not None:
                self._note_silent(ask.holder_id, now)
        return sum(debtor.pending.values())

    def _note_silent(self, host_id, now):
        if len(self._silent_until) > len(self.reachable_ids):
            self._silent_until = {
                host_id: until for host_id, until in self._silent_until.items() if until > now
            }
        self._silent_until[host_id] = now + SILENT_S

    def make_requests(self, chosen, now):
        """Makes the messages to holders.

        Args:
          chosen: Dict of lists of tuples (Debtor, waiting, ahead) by holder.
          now: Seconds.
        Returns:
          A list of pairs of a host id and a creditcodec.CreditRequest.
        """
        messages = []
        for holder_id, items in chosen.items():
            for start in range(0, len(items), creditcodec.MAX_ITEMS):
                part = items[start : start + creditcodec.MAX_ITEMS]
                messages.append((holder_id, self._ask(holder_id, part, now)))
        for lender_id in list(self._reports):
            loans = self._reports[lender_id]
            while loans and now - loans[0].expires_at >= REPORT_S:
                message = creditcodec.CreditRequest(0, (), self._take_reports(lender_id))
                messages.append((lender_id, message))
        return messages

    def _ask(self, holder_id, items, now):
        self._number += 1
        wait_s = LOCAL_ANSWER_S if holder_id in self.region_ids else REMOTE_ANSWER_S
        debtors = {debtor.key: debtor for debtor, _, _ in items}
        self._asks[self._number] = _Ask(holder_id, now, now + wait_s, debtors)
        if len(self._asks) > MAX_ASKS:
            self._asks.popitem(last=False)
        for debtor, waiting, ahead in items:
            debtor.pending[self._number] = waiting + ahead
        wanted = tuple(
            creditcodec.Wanted(debtor.key, waiting, ahead) for debtor, waiting, ahead in items
        )
        return creditcodec.CreditRequest(self._number, wanted, self._take_reports(holder_id))

    def accept(self, sender_id, grant, now):
        """Takes the permits of a creditcodec.CreditGrant.

        Returns:
          A list of the Debtors that were answered.
        """
        self._silent_until.pop(sender_id, None)
        ask = self._asks.get(grant.number)
        if ask is None or ask.holder_id != sender_id:
            return []
        answered = []
        for granted in grant.granted:
            # Each account of a request is answered once.
            debtor = ask.debtors.pop(granted.key, None)
            if debtor is None:
                continue
            debtor.pending.pop(grant.number, None)
            self._note_answer(debtor, sender_id, granted, now)
            if granted.count:
                self._add_loan(debtor, sender_id, grant.number, ask.sent_at, granted.count)
            answered.append(debtor)
        if not ask.debtors:
            del self._asks[grant.number]
        return answered

    def _note_answer(self, debtor, sender_id, granted, now):
        if not granted.retry_s:
            debtor.denials = 0
            return
        backoff_s = min(MAX_EMPTY_S, MIN_EMPTY_S * 2.0 ** min(debtor.denials, 8))
        if not granted.count:
            debtor.denials += 1
        wait_s = max(backoff_s, min(granted.retry_s, MAX_EMPTY_S))
        debtor.empty_until[sender_id] = now + wait_s * self._rng.uniform(0.75, 1.25)

    def _add_loan(self, debtor, lender_id, number, sent_at, count):
        loan = Loan(debtor.account_id, debtor.key, lender_id, number, sent_at + LOAN_S, count)
        debtor.loans.append(loan)
        self._loans.append(loan)

    def expire(self, now):
        """Ends loans and old credit requests; the ended loans are reported to their lenders."""
        while self._loans and self._loans[0].expires_at <= now:
            loan = self._loans.popleft()
            self.expired += loan.free
            if self._report_count < MAX_KEPT_REPORTS:
                self._report_count += 1
                self._reports[loan.lender_id].append(loan)
        while self._asks:
            number, ask = next(iter(self._asks.items()))
            if now - ask.sent_at < LOAN_S:
                break
            del self._asks[number]

    def count_loans(self):
        """Returns the number of borrowed permits that are unspent and have not been ended."""
        return sum(loan.free for loan in self._loans)

    def _take_reports(self, lender_id):
        loans = self._reports.get(lender_id)
        if not loans:
            return ()
        reports = []
        while loans and len(reports) < creditcodec.MAX_REPORTS:
            loan = loans.popleft()
            reports.append(creditcodec.Report(loan.number, loan.key, loan.free))
        self._report_count -= len(reports)
        if not loans:
            del self._reports[lender_id]
        return tuple(reports)


def _rotate(deal, turn):
    """Yields the holders of the own region from one on, then those of other regions."""
    for group in (deal.local_ids, deal.remote_ids):
        start = turn % len(group) if group else 0
        yield from group[start:]
        yield from group[:start]
