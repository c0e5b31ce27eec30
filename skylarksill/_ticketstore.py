"""Bounded storage of ticket records, used by the home table and the arbiter table."""

import collections
import dataclasses
import enum
import heapq

from skylarksill import records

MAX_RECORDS = 100_000
MAX_KEPT_ANSWER_BYTES = 32 * 1024 * 1024
MAX_WAITERS = 64
RECORD_RETENTION_MS = 15 * 60 * 1_000  # after the expiry of the ticket
ANSWER_RETENTION_MS = 10 * 60 * 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class TableLimits:
    """Limits of a ticket table: records, bytes of kept answers, waiters for one ticket."""

    records: int = MAX_RECORDS
    kept_bytes: int = MAX_KEPT_ANSWER_BYTES
    waiters: int = MAX_WAITERS


class UnrecordedStatus(enum.Enum):
    """Status of a ticket that has no record."""

    NEW = "new"
    EXPIRED = "expired"
    FORGOTTEN = "forgotten"
    FULL = "full"


@dataclasses.dataclass(slots=True)
class TicketRecord:
    """A ticket and its state; ``answer`` is None without an answer or if it was not kept."""

    ticket: records.Ticket
    state: enum.Enum
    fingerprint: str
    answer: records.Answer | None = None
    refusal: records.Refusal | None = None
    waiters: list = dataclasses.field(default_factory=list)


def is_other_request(record, fingerprint):
    """Returns True if both fingerprints are known and the record is of another request."""
    return bool(record.fingerprint and fingerprint and record.fingerprint != fingerprint)


class TicketStore:
    """Ticket records by id, limited in number and in bytes of kept answers.

    Args:
      limits: The TableLimits.
      is_active: Function of a record that returns True if it must outlast its retention time.
    """

    def __init__(self, limits, is_active):
        self._limits = limits
        self._is_active = is_active
        self._records = {}
        self._removal_times = []
        self._kept = collections.OrderedDict()
        self._kept_bytes = 0
        self._now_unix_ms = 0
        self._max_refused_expiry_ms = 0

    def __len__(self):
        return len(self._records)

    @property
    def kept_bytes(self):
        """Total size of the kept answers in bytes."""
        return self._kept_bytes

    def advance_time(self, now_unix_ms):
        """Advances the table's time and removes records and answers past their retention time.

        The table's time never goes backwards: a ticket that was reported as expired must not
        become valid again after the wall clock is set back.
        """
        self._now_unix_ms = max(self._now_unix_ms, now_unix_ms)
        self._evict_answers(lambda kept_until: kept_until <= self._now_unix_ms)
        while self._removal_times and self._removal_times[0][0] <= self._now_unix_ms:
            self._remove_record(heapq.heappop(self._removal_times)[1])

    def find(self, ticket_id):
        """Returns the record of a ticket or None."""
        return self._records.get(ticket_id)

    def has_expired(self, ticket):
        """Returns True if a ticket is past its expiry."""
        return ticket.expiry_unix_ms <= self._now_unix_ms

    def classify_unrecorded(self, ticket):
        """Returns the UnrecordedStatus of a ticket without a record.

        A refusal because the table is full is final: the table keeps the latest expiry that it
        has refused, and accepts no ticket up to that expiry even after it has room again.
        """
        if ticket.expiry_unix_ms + RECORD_RETENTION_MS <= self._now_unix_ms:
            return UnrecordedStatus.FORGOTTEN
        if self.has_expired(ticket):
            return UnrecordedStatus.EXPIRED
        if len(self._records) >= self._limits.records:
            self._max_refused_expiry_ms = max(self._max_refused_expiry_ms, ticket.expiry_unix_ms)
        if ticket.expiry_unix_ms <= self._max_refused_expiry_ms:
            return UnrecordedStatus.FULL
        return UnrecordedStatus.NEW

    def add(self, ticket, state, fingerprint):
        """Adds and returns the record of a ticket whose UnrecordedStatus is NEW.

        Args:
          ticket: The Ticket.
          state: Initial state of the record.
          fingerprint: Digest of the request; empty if unknown.
        """
        record = TicketRecord(ticket, state, fingerprint)
        self._records[ticket.ticket_id] = record
        end_unix_ms = ticket.expiry_unix_ms + RECORD_RETENTION_MS
        heapq.heappush(self._removal_times, (end_unix_ms, ticket.ticket_id))
        return record

    def keep_answer(self, record, answer, size):
        """Keeps an answer of ``size`` bytes and evicts the oldest answers beyond the limit.

        An answer that alone exceeds the limit is not kept.
        """
        if size > self._limits.kept_bytes:
            return
        record.answer = answer
        self._kept[record.ticket.ticket_id] = (size, self._now_unix_ms + ANSWER_RETENTION_MS)
        self._kept_bytes += size
        self._evict_answers(lambda kept_until: self._kept_bytes > self._limits.kept_bytes)

    def _evict_answers(self, should_evict):
        while self._kept:
            ticket_id, (size, kept_until_unix_ms) = next(iter(self._kept.items()))
            if not should_evict(kept_until_unix_ms):
                return
            self._remove_answer(ticket_id, size)

    def _remove_answer(self, ticket_id, size):
        del self._kept[ticket_id]
        self._kept_bytes -= size
        self._records[ticket_id].answer = None

    def _remove_record(self, ticket_id):
        record = self._records[ticket_id]
        if self._is_active(record):
            heapq.heappush(
                self._removal_times, (self._now_unix_ms + RECORD_RETENTION_MS, ticket_id)
            )
            return
        if ticket_id in self._kept:
            self._remove_answer(ticket_id, self._kept[ticket_id][0])
        del self._records[ticket_id]
