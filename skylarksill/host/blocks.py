"""Blocks of requests that crash upstreams, as all hosts share them. Performs no I/O.

A request is blocked once, wherever that is noticed: hosts merge what they know of a block, so one
that arrives twice, late or by several ways counts once. A block ends by itself and is followed by a
trial, in which a host lets one copy through at a time. A crash on trial blocks the request again,
for longer; an answer on trial shows that it is sound, and that spreads like the block.
"""

import collections
import dataclasses
import hashlib
import random

# How long a request is blocked the first time, by which factor each further time is longer, and the
# longest time.
FIRST_BLOCK_S = 120.0
BLOCK_GROWTH = 4.0
MAX_BLOCK_S = 7_200.0
MAX_ROUND = 16
# Time after the end of a block for which a crash counts as one on trial.
KEPT_AFTER_END_S = 3_600.0
# Hosts begin the trial of a request at different times within this span, so that a crash on the
# first one blocks it before the others begin.
TRIAL_SPREAD_S = 30.0
# Pause between the copies that a host lets through on trial: the outcome of one is known by then.
TRIAL_INTERVAL_S = 10.0
# A request that was answered is not blocked for crashes within this time: upstreams have run copies
# of it.
MAX_ANSWER_AGE_S = 30.0
# Blocks that are kept. Each takes crashes of several upstreams, so there are few.
MAX_BLOCKS = 256
# Blocks sent to a peer that knows others; a host that has just started gets all.
MAX_SENT_BLOCKS = 16
SUMMARY_BYTES = 5
# Summary of a host that has just started, which is always answered.
UNINFORMED = bytes(SUMMARY_BYTES)


@dataclasses.dataclass(frozen=True, slots=True)
class Block:
    """A block of a request.

    Attributes:
      fingerprint: Identifies copies of the request.
      round: Number of times that the request has been blocked.
      began_at: Monotonic time of the crash that blocked it the last time.
      answered_at: Monotonic time of the last answer that shows it to be sound; -inf without one.
    """

    fingerprint: bytes
    round: int
    began_at: float
    answered_at: float = float("-inf")

    @property
    def ends_at(self):
        """Monotonic time at which the trial begins."""
        return self.began_at + compute_duration_s(self.round)

    @property
    def is_refuted(self):
        """True if an answer shows that the request does not crash upstreams."""
        return self.began_at < self.answered_at + MAX_ANSWER_AGE_S

    def is_kept(self, now):
        """Returns True until the block no longer matters."""
        return now < self.ends_at + KEPT_AFTER_END_S

    @property
    def over_at(self):
        """Monotonic time from which a crash is no part of what led to this block."""
        if self.is_refuted:
            return min(self.ends_at, self.answered_at + MAX_ANSWER_AGE_S)
        return self.ends_at

    def is_in_force(self, now):
        """Returns True until the trial begins, unless the request has been shown to be sound."""
        return not self.is_refuted and now < self.ends_at

    def find_next_end(self, now):
        """Returns the monotonic time at which the trial begins, or the block no longer matters."""
        return self.ends_at if self.is_in_force(now) else self.ends_at + KEPT_AFTER_END_S


def compute_duration_s(block_round):
    """Returns for how many seconds a request is blocked that is blocked for the nth time."""
    return min(MAX_BLOCK_S, FIRST_BLOCK_S * BLOCK_GROWTH ** (block_round - 1))


def merge_blocks(first, second):
    """Returns what two Blocks of one request, known to different hosts, say together."""
    earlier, later = sorted((first, second), key=lambda block: block.began_at)
    block_round = max(first.round, second.round)
    if later.began_at > earlier.over_at:
        # The host that knows the later one may not have known the earlier one.
        block_round = min(MAX_ROUND, max(block_round, earlier.round + 1))
        began_at = later.began_at
    elif first.round == second.round:
        # Each host computes the time from an age that grew on the way.
        began_at = earlier.began_at
    else:
        began_at = max(first, second, key=lambda block: block.round).began_at
    answered_at = max(first.answered_at, second.answered_at)
    return Block(first.fingerprint, block_round, began_at, answered_at)


class BlockTable:
    """The blocks that this host knows.

    Args:
      host_id: Name of this host, which decides when its trials begin; "" for no delay.
      rng: Source of randomness.
    """

    def __init__(self, host_id="", rng=random):
        self._host_id = host_id.encode()
        self._random = rng
        # The block that has changed last is the last one.
        self._blocks = collections.OrderedDict()
        self._next_trial_at = {}
        self._summary = None
        # Monotonic time until which the summary holds if no block changes.
        self._summary_ends_at = float("-inf")

    def __len__(self):
        return len(self._blocks)

    def find(self, fingerprint):
        """Returns the Block of a request, or None if it has not been blocked lately."""
        return self._blocks.get(fingerprint)

    def is_blocked(self, fingerprint, now):
        """Returns True if no upstream may run the request."""
        block = self._blocks.get(fingerprint)
        return (
            block is not None
            and not block.is_refuted
            and now < block.ends_at + self._delay_s(block)
        )

    def admit(self, fingerprint, now):
        """Returns True if an upstream may run a request that has arrived now.

        Of a request on trial, one copy is admitted at a time.
        """
        if self.is_blocked(fingerprint, now):
            return False
        block = self._blocks.get(fingerprint)
        if block is None or block.is_refuted:
            return True
        if now < self._next_trial_at.get(fingerprint, now):
            return False
        self._next_trial_at[fingerprint] = now + TRIAL_INTERVAL_S
        return True

    def is_on_trial(self, fingerprint, at):
        """Returns True if a single crash at a monotonic time blocks the request again."""
        block = self._blocks.get(fingerprint)
        return block is not None and not block.is_refuted and at >= block.ends_at

    def begin(self, fingerprint, at):
        """Blocks a request, because of a crash at a monotonic time."""
        known = self._blocks.get(fingerprint)
        if known is None:
            self._put(Block(fingerprint, 1, at))
        else:
            block_round = min(MAX_ROUND, known.round + 1)
            self._put(dataclasses.replace(known, round=block_round, began_at=at))

    def refute(self, fingerprint, at):
        """Records that an upstream has answered a request; returns True if it was blocked."""
        known = self._blocks.get(fingerprint)
        if known is None or at <= known.answered_at:
            return False
        block = dataclasses.replace(known, answered_at=at)
        if known.is_refuted:
            # Not news to other hosts.
            self._blocks[fingerprint] = block
            return False
        self._put(block)
        return True

    def merge(self, block, now):
        """Adds what another host knows of a block.

        Returns:
          The Block that this host knows now if that is news to it, else None.
        """
        known = self._blocks.get(block.fingerprint)
        merged = block if known is None else merge_blocks(known, block)
        if merged == known or not merged.is_kept(now):
            return None
        is_news = known is None or _describe(merged, now) != _describe(known, now)
        if is_news:
            self._put(merged)
        else:
            self._blocks[block.fingerprint] = merged
        return merged if is_news and block.fingerprint in self._blocks else None

    def list_all(self):
        """Returns all Blocks, for a host that has just started."""
        return list(self._blocks.values())

    def list_some(self):
        """Returns some Blocks for a peer that knows others: the last ones that have changed."""
        blocks = self.list_all()
        count = MAX_SENT_BLOCKS // 2
        older, newer = blocks[:-count], blocks[-count:]
        return newer + self._random.sample(older, min(MAX_SENT_BLOCKS - count, len(older)))

    def summarize(self, now):
        """Returns bytes that are the same on hosts that know the same blocks."""
        if self._summary is None or now >= self._summary_ends_at:
            self._expire(now)
            digest = hashlib.blake2b(b"blocks", digest_size=SUMMARY_BYTES)
            for block in sorted(self._blocks.values(), key=lambda block: block.fingerprint):
                digest.update(b"%b %d %d %d;" % (block.fingerprint, *_describe(block, now)))
            self._summary = digest.digest()
            ends = (block.find_next_end(now) for block in self._blocks.values())
            self._summary_ends_at = min(ends, default=float("inf"))
        return self._summary

    def _put(self, block):
        self._blocks[block.fingerprint] = block
        self._blocks.move_to_end(block.fingerprint)
        self._next_trial_at.pop(block.fingerprint, None)
        self._summary = None
        if len(self._blocks) > MAX_BLOCKS:
            # All hosts drop the same one.
            self._drop(min(self._blocks.values(), key=_rank))

    def _expire(self, now):
        for block in [block for block in self._blocks.values() if not block.is_kept(now)]:
            self._drop(block)

    def _drop(self, block):
        del self._blocks[block.fingerprint]
        self._next_trial_at.pop(block.fingerprint, None)
        self._summary = None

    def _delay_s(self, block):
        """Returns how long after the end of a block this host begins the trial, in seconds."""
        if not self._host_id:
            return 0.0
        digest = hashlib.blake2b(block.fingerprint + self._host_id, digest_size=4).digest()
        return TRIAL_SPREAD_S * int.from_bytes(digest) / 2**32


def _describe(block, now):
    """Returns what hosts agree on; each computes the times in its own clock."""
    return block.round, block.is_refuted, block.is_in_force(now)


def _rank(block):
    """Returns a key by which blocks that matter least come first."""
    return not block.is_refuted, block.round, block.began_at, block.fingerprint
