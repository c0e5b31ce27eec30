"""Acceptance of configuration generations by one agent.

A generation goes through the states of Offer: it is offered with some of its shards, completed,
checked, held while it is passed on to a peer, and then put in force. Only a higher mark replaces
what is in force, so that nothing reverts.
"""

import dataclasses
import enum

from skylarksill import _packing, configuration, messages, records

# A head that has been refused is remembered, so that it is not fetched and checked every second.
MAX_REFUSED = 64
# Heads that a peer may still hold; their changes are sent instead of all shard names.
MAX_RECENT = 8


class Source(enum.Enum):
    """Where a generation was offered from."""

    STORE = "store"
    PEER = "peer"


class Offer(enum.Enum):
    """Outcome of an offer.

    OLD: not higher than what is in force or held. INCOMPLETE: shards are missing. INVALID: the
    shards do not pass the checks. HELD: complete and valid, to be passed to a peer before it is in
    force. IN_FORCE: in force now.
    """

    OLD = "old"
    INCOMPLETE = "incomplete"
    INVALID = "invalid"
    HELD = "held"
    IN_FORCE = "in force"


@dataclasses.dataclass(frozen=True, slots=True)
class Generation:
    """A complete and valid generation; its configuration leaves out the client blocks."""

    mark: messages.HeadMark
    head: records.ConfigurationHead
    shards: _packing.PackedShards
    configuration: records.Configuration


class AcceptedConfiguration:
    """What an agent has accepted.

    Attributes:
      in_force: The Generation in force, or None.
      held: A higher Generation that is being passed on, or None.
      problems: Problems of the last invalid offer.
    """

    def __init__(self):
        self.in_force = None
        self.held = None
        self.problems = ()
        self._reader = configuration.ShardReader(has_blocks=False)
        self._refused = {}
        self._recent = {}

    @property
    def newest(self):
        """The highest Generation that this agent holds, or None."""
        return self.held or self.in_force

    @property
    def mark(self):
        """HeadMark of the highest generation that this agent holds, or None."""
        return self.newest.mark if self.newest else None

    def is_wanted(self, mark):
        """Says whether a mark is higher than all that is held and has not been refused."""
        return mark is not None and mark not in self._refused and is_higher(mark, self.mark)

    def list_missing(self, head):
        """Returns the digests of a head's shards that this agent does not hold."""
        known = self.list_shards()
        return tuple(digest for _, digest in head.shards if digest not in known)

    def list_shards(self):
        """Returns all shards that this agent holds as PackedShards."""
        shards = _packing.PackedShards()
        for generation in (self.in_force, self.held):
            if generation:
                shards.packed.update(generation.shards.packed)
        return shards

    def shorten_head(self, base):
        """Makes the newest head short for an agent that holds a former one.

        Args:
          base: The other agent's HeadMark, or None.
        Returns:
          A ConfigurationHead that names only what differs from the base's head, with an empty
          digest for a shard that is gone, and the base; or the whole head and None.
        """
        head = self.newest.head
        known = self._recent.get(base)
        if known is None:
            return head, None
        before, after = dict(known.shards), dict(head.shards)
        changes = [(name, digest) for name, digest in head.shards if before.get(name) != digest]
        changes += [(name, "") for name in before if name not in after]
        return dataclasses.replace(head, shards=tuple(changes)), base

    def complete_head(self, head, base):
        """Undoes ``shorten_head``.

        Returns:
          The whole ConfigurationHead, or None if the base is not known here.
        """
        if base is None:
            return head
        if base not in self._recent:
            return None
        shards = {**dict(self._recent[base].shards), **dict(head.shards)}
        kept = sorted((name, digest) for name, digest in shards.items() if digest)
        return dataclasses.replace(head, shards=tuple(kept))

    def offer(self, mark, head, texts, source):
        """Offers a generation.

        A generation from the store is held until ``put_in_force``, because a restart of this host
        could lose it; one from a peer is held by that peer already and is in force at once.

        Args:
          mark: Its HeadMark.
          head: Its ConfigurationHead.
          texts: Shard texts by digest; those that are held already may be left out.
          source: A Source.
        Returns:
          An Offer.
        """
        if not self.is_wanted(mark) or not _fits_mark(mark, head):
            return Offer.OLD
        known = self.list_shards().packed
        known.update((digest, _packing.pack_shard(text)) for digest, text in texts.items())
        if not all(digest in known for _, digest in head.shards):
            return Offer.INCOMPLETE
        shards = _packing.PackedShards({digest: known[digest] for _, digest in head.shards})
        joined = self._check(mark, head, shards)
        if joined is None:
            return Offer.INVALID
        self.held = Generation(mark, head, shards, joined)
        if source is Source.PEER:
            self.put_in_force(mark)
            return Offer.IN_FORCE
        return Offer.HELD

    def put_in_force(self, mark):
        """Puts the held generation in force if it still has this mark.

        Returns:
          True if it is in force now.
        """
        if self.held is None or self.held.mark != mark:
            return False
        self.in_force = self.held
        self.held = None
        self._recent[mark] = self.in_force.head
        while len(self._recent) > MAX_RECENT:
            del self._recent[next(iter(self._recent))]
        return True

    def _check(self, mark, head, shards):
        joined, problems = self._reader.read(head, shards)
        if not problems:
            return joined
        self.problems = problems
        self._refused[mark] = problems
        while len(self._refused) > MAX_REFUSED:
            del self._refused[next(iter(self._refused))]
        return None


def is_higher(mark, other):
    """Compares two HeadMarks; None is the lowest.

    Of two heads of one generation the one with the higher version of the store's object wins, on
    every host alike, because the store has replaced the other one.
    """
    if other is None:
        return mark is not None
    if mark is None:
        return False
    if (mark.generation, mark.write_id) == (other.generation, other.write_id):
        return False
    own = (mark.generation, mark.store_version)
    return own > (other.generation, other.store_version)


def find_highest(marks):
    """Returns the highest of HeadMarks, or None without any."""
    highest = None
    for mark in marks:
        if is_higher(mark, highest):
            highest = mark
    return highest


def _fits_mark(mark, head):
    return (head.generation, head.write_id) == (mark.generation, mark.write_id)
