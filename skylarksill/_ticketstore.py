"""Bounded records of tickets, shared by the home table and the arbiter table."""

import collections
import dataclasses
import enum
import heapq

from skylarksill import records

MAX_RECORDS = 100_000
MAX_KEPT_BYTES = 32 * 1024 * 1024
MAX_WAITERS = 64
RECORD_GRACE_MS = 15 * 60 * 1_000
ANSWER_KEPT_MS = 10 * 60 * 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class TableLimits:
    """Bounds of a ticket table: records, bytes of kept answers, waiters of one ticket."""

    records: int = MAX_RECORDS
    kept_bytes: int = MAX_KEPT_BYTES
    waiters: int = MAX_WAITERS


class Standing(enum.Enum):
    """What is known of a ticket that has no record."""

    NEW = "new"
    EXPIRED = "expired"
    FORGOTTEN = "forgotten"
    FULL = "full"


@dataclasses.dataclass(slots=True)
class TicketRecord:
    """A ticket with its state; ``answer`` is None if there is none or it was not kept."""

    ticket: records.Ticket
    state: enum.Enum
    fingerprint: str
    answer: records.Answer | None = None
    refusal: records.Refusal | None = None
    waiters: list = dataclasses.field(default_factory=list)


def is_other_request(record, fingerprint):
    """Tells whether a fingerprint is known to differ from that of a record's request."""
    return bool(record.fingerprint and fingerprint and record.fingerprint != fingerprint)


class TicketStore:
    """Records of tickets by id, bounded in number and in bytes of kept answers.

    Args:
      limits: The TableLimits.
      is_active: Function that tells whether a record is still needed past its expiry.
    """

    def __init__(self, limits, is_active):
        self._limits = limits
        self._is_active = is_active
        self._records = {}
        self._ends = []
        self._kept = collections.OrderedDict()
        self._kept_bytes = 0
        self._now_unix_ms = 0
        self._refused_expiry_ms = 0

    def __len__(self):
        return len(self._records)

    @property
    def kept_bytes(self):
        """Bytes of all kept answers."""
        return self._kept_bytes

    def move_time(self, now_unix_ms):
        """Moves the table's time on and drops what is past its time.

        The time never steps back: a ticket that was reported as expired must not become valid
        again after the wall clock is set back.
        """
        self._now_unix_ms = max(self._now_unix_ms, now_unix_ms)
        self._drop_answers(lambda kept_until: kept_until <= self._now_unix_ms)
        while self._ends and self._ends[0][0] <= self._now_unix_ms:
            self._drop_record(heapq.heappop(self._ends)[1])

    def find(self, ticket_id):
        """Returns the record of a ticket or None."""
        return self._records.get(ticket_id)

    def has_expired(self, ticket):
        """Tells whether a ticket is past its expiry."""
        return ticket.expiry_unix_ms <= self._now_unix_ms

    def judge_absent(self, ticket):
        """Returns the Standing of a ticket without a record.

        A refusal because of a full table is final: the highest expiry that was refused stays, and
        no ticket up to that expiry is accepted later, also not when there is room again.
        """
        if ticket.expiry_unix_ms + RECORD_GRACE_MS <= self._now_unix_ms:
            return Standing.FORGOTTEN
        if self.has_expired(ticket):
            return Standing.EXPIRED
        if len(self._records) >= self._limits.records:
            self._refused_expiry_ms = max(self._refused_expiry_ms, ticket.expiry_unix_ms)
        if ticket.expiry_unix_ms <= self._refused_expiry_ms:
            return Standing.FULL
        return Standing.NEW

    def add(self, ticket, state, fingerprint):
        """Adds and returns the record of a ticket whose Standing is NEW."""
        record = TicketRecord(ticket, state, fingerprint)
        self._records[ticket.ticket_id] = record
        end_unix_ms = ticket.expiry_unix_ms + RECORD_GRACE_MS
        heapq.heappush(self._ends, (end_unix_ms, ticket.ticket_id))
        return record

    def keep_answer(self, record, answer, size):
        """Keeps an answer of ``size`` bytes; the oldest kept answers make room for it."""
        if size > self._limits.kept_bytes:
            return
        record.answer = answer
        self._kept[record.ticket.ticket_id] = (size, self._now_unix_ms + ANSWER_KEPT_MS)
        self._kept_bytes += size
        self._drop_answers(lambda kept_until: self._kept_bytes > self._limits.kept_bytes)

    def _drop_answers(self, must_drop):
        while self._kept:
            ticket_id, (size, kept_until_unix_ms) = next(iter(self._kept.items()))
            if not must_drop(kept_until_unix_ms):
                return
            self._forget_answer(ticket_id, size)

    def _forget_answer(self, ticket_id, size):
        del self._kept[ticket_id]
        self._kept_bytes -= size
        self._records[ticket_id].answer = None

    def _drop_record(self, ticket_id):
        record = self._records[ticket_id]
        if self._is_active(record):
            heapq.heappush(self._ends, (self._now_unix_ms + RECORD_GRACE_MS, ticket_id))
            return
        if ticket_id in self._kept:
            self._forget_answer(ticket_id, self._kept[ticket_id][0])
        del self._records[ticket_id]
