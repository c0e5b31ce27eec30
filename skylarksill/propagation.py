"""Acceptance of configuration generations by one agent.

A generation is offered with some or all of its shards, validated, held while it is replicated to a
peer, and then put in force. OfferOutcome lists the outcomes. Only a generation with a higher
HeadMark replaces the one in force, so that an agent never reverts to an older configuration.
"""

import dataclasses
import enum

from skylarksill import _packing, configuration, messages, records

# Marks of rejected heads are kept, so that they are not fetched and validated again every second.
MAX_REJECTED_MARKS = 64
# Previous heads kept as bases for deltas; a peer that holds one is sent only the changed shards.
MAX_RECENT_HEADS = 8


class Source(enum.Enum):
    """Where a generation was offered from."""

    STORE = "store"
    PEER = "peer"


class OfferOutcome(enum.Enum):
    """Outcome of an offer.

    OLD: not higher than the generation in force or held, rejected before, or a head that does not
    match its mark. INCOMPLETE: shards are missing. INVALID: the shards fail validation. HELD:
    complete and valid, to be replicated to a peer before it is put in force. IN_FORCE: in force.
    """

    OLD = "old"
    INCOMPLETE = "incomplete"
    INVALID = "invalid"
    HELD = "held"
    IN_FORCE = "in force"


@dataclasses.dataclass(frozen=True, slots=True)
class Generation:
    """A complete and valid generation; its configuration is without the client blocks."""

    mark: messages.HeadMark
    head: records.ConfigurationHead
    shards: _packing.CompressedShards
    configuration: records.Configuration


class AcceptedConfiguration:
    """The configuration generations that an agent has accepted.

    Attributes:
      in_force: The Generation in force, or None.
      held: A higher Generation that is being replicated to a peer, or None.
      problems: Validation problems of the last invalid offer.
    """

    def __init__(self):
        self.in_force = None
        self.held = None
        self.problems = ()
        self._reader = configuration.ShardReader(includes_blocks=False)
        self._rejected_marks = {}
        self._recent_heads = {}

    @property
    def newest(self):
        """The highest Generation that this agent holds, or None."""
        return self.held or self.in_force

    @property
    def mark(self):
        """HeadMark of the highest generation that this agent holds, or None."""
        return self.newest.mark if self.newest else None

    def is_wanted(self, mark):
        """Returns True if a mark is higher than all generations held here and was not rejected."""
        return mark is not None and mark not in self._rejected_marks and is_higher(mark, self.mark)

    def list_missing(self, head):
        """Returns the digests of a head's shards that this agent does not hold."""
        known = self.list_shards()
        return tuple(digest for _, digest in head.shards if digest not in known)

    def list_shards(self):
        """Returns the shards of the generations in force and held as CompressedShards."""
        shards = _packing.CompressedShards()
        for generation in (self.in_force, self.held):
            if generation:
                shards.packed.update(generation.shards.packed)
        return shards

    def make_head_delta(self, base):
        """Encodes the newest head as a delta to a head that another agent holds.

        Args:
          base: The other agent's HeadMark, or None.
        Returns:
          A pair of a ConfigurationHead with only the shards that differ from the base's head (a
          removed shard has an empty digest) and the base; or of the whole head and None if the
          base is unknown.
        """
        head = self.newest.head
        base_head = self._recent_heads.get(base)
        if base_head is None:
            return head, None
        old_shards, new_shards = dict(base_head.shards), dict(head.shards)
        changes = [(name, digest) for name, digest in head.shards if old_shards.get(name) != digest]
        changes += [(name, "") for name in old_shards if name not in new_shards]
        return dataclasses.replace(head, shards=tuple(changes)), base

    def apply_head_delta(self, head, base):
        """Restores the whole head from the result of ``make_head_delta``.

        Returns:
          The whole ConfigurationHead, or None if this agent does not know the base.
        """
        if base is None:
            return head
        if base not in self._recent_heads:
            return None
        shards = {**dict(self._recent_heads[base].shards), **dict(head.shards)}
        kept = sorted((name, digest) for name, digest in shards.items() if digest)
        return dataclasses.replace(head, shards=tuple(kept))

    def offer(self, mark, head, texts, source):
        """Offers a generation.

        A generation from the store is held until ``put_in_force``, because it could be lost if this
        host restarts while no other host has it. A generation from a peer is already held by that
        peer and is put in force at once.

        Args:
          mark: Its HeadMark.
          head: Its ConfigurationHead.
          texts: Shard texts by digest; shards that this agent already holds may be left out.
          source: A Source.
        Returns:
          An OfferOutcome.
        """
        if not self.is_wanted(mark) or not _matches_mark(mark, head):
            return OfferOutcome.OLD
        known = self.list_shards().packed
        known.update((digest, _packing.compress_shard(text)) for digest, text in texts.items())
        if not all(digest in known for _, digest in head.shards):
            return OfferOutcome.INCOMPLETE
        shards = _packing.CompressedShards({digest: known[digest] for _, digest in head.shards})
        joined = self._validate(mark, head, shards)
        if joined is None:
            return OfferOutcome.INVALID
        self.held = Generation(mark, head, shards, joined)
        if source is Source.PEER:
            self.put_in_force(mark)
            return OfferOutcome.IN_FORCE
        return OfferOutcome.HELD

    def put_in_force(self, mark):
        """Puts the held generation in force if it still has this mark.

        Returns:
          True if the generation was put in force.
        """
        if self.held is None or self.held.mark != mark:
            return False
        self.in_force = self.held
        self.held = None
        self._recent_heads[mark] = self.in_force.head
        while len(self._recent_heads) > MAX_RECENT_HEADS:
            del self._recent_heads[next(iter(self._recent_heads))]
        return True

    def _validate(self, mark, head, shards):
        joined, problems = self._reader.read(head, shards)
        if not problems:
            return joined
        self.problems = problems
        self._rejected_marks[mark] = problems
        while len(self._rejected_marks) > MAX_REJECTED_MARKS:
            del self._rejected_marks[next(iter(self._rejected_marks))]
        return None


def is_higher(mark, other):
    """Compares two HeadMarks; None is the lowest.

    Of two heads of the same generation, the one with the higher object version in the store wins on
    every host, because the store has replaced the other one.
    """
    if other is None:
        return mark is not None
    if mark is None:
        return False
    if (mark.generation, mark.write_id) == (other.generation, other.write_id):
        return False
    rank = (mark.generation, mark.store_version)
    return rank > (other.generation, other.store_version)


def find_highest(marks):
    """Returns the highest of some HeadMarks, or None if there are none."""
    highest = None
    for mark in marks:
        if is_higher(mark, highest):
            highest = mark
    return highest


def _matches_mark(mark, head):
    return (head.generation, head.write_id) == (mark.generation, mark.write_id)
