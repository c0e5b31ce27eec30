"""Keeps blocks of requests in the platform's store, for hosts that all lose them at once.

Hosts learn of blocks from their peers. What all hosts lose at the same moment no peer can tell, so
the host that blocks a request writes that down, and each host reads what is there once, as it
starts. Neither keeps a host from serving or from blocking: while the store is away, both wait.
"""

import collections
import dataclasses
import random
import time

import eventlet
from eventlet import event

from skylarksill import objectstore
from skylarksill.host import blocks, supervision

FIRST_RETRY_S = 1.0
MAX_RETRY_S = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class StoredBlock:
    """A block as the store has it; see blocks.Block.

    Attributes:
      began_at: Unix time in seconds.
      answered_at: Unix time in seconds, or None without an answer.
    """

    fingerprint: bytes
    round: int
    began_at: float
    answered_at: float | None


class StoredBlocks:
    """Reads the stored blocks once, and writes those that this host begins or ends.

    Args:
      store: The watching.StoreClient.
      poisons: The poison.PoisonTable.
      log: The EventLog.
      count_hosts: Function that returns the number of known hosts.
      rng: Source of randomness.
    """

    def __init__(self, store, poisons, log, count_hosts, rng=random):
        self._store = store
        self._poisons = poisons
        self._log = log
        self._count_hosts = count_hosts
        self._random = rng
        self._unsaved = collections.OrderedDict()
        self._wakeup = event.Event()

    def start(self):
        """Starts reading, and writing what ``save`` names."""
        supervision.spawn_lasting(self._log, "blocks.store", self.run)

    def save(self, fingerprint):
        """Writes what this host knows of a block, as soon as the store answers."""
        self._unsaved[fingerprint] = None
        self._unsaved.move_to_end(fingerprint)
        if len(self._unsaved) > blocks.MAX_BLOCKS:
            self._unsaved.popitem(last=False)
        if not self._wakeup.ready():
            self._wakeup.send()

    def run(self):
        """Reads the stored blocks, and then writes without end."""
        self._repeat_until_done(self._read)
        while True:
            if not self._unsaved:
                self._wakeup.wait()
                self._wakeup = event.Event()
            self._repeat_until_done(self._write_next)

    def _repeat_until_done(self, step):
        """Repeats a step, with pauses that grow, until the store answers."""
        pause_s = FIRST_RETRY_S
        while True:
            try:
                return step()
            except objectstore.StoreError as error:
                self._log.write("blocks.store_failed", error=str(error))
            eventlet.sleep(pause_s * (0.5 + self._random.random()))
            pause_s = min(MAX_RETRY_S, 2 * pause_s)

    def _read(self):
        now = time.monotonic()
        since_epoch_s = time.time() - now
        ended = []
        found = []
        for stored in self._store.list_blocks():
            block = _load_block(stored, now, since_epoch_s)
            (found if block.is_kept(now) else ended).append(block)
        for block in self._poisons.merge_blocks(found, now):
            event_name = "request.unblocked" if block.is_refuted else "request.blocked"
            fingerprint = block.fingerprint.hex()
            self._log.write(event_name, fingerprint=fingerprint, round=block.round, source="store")
        for block in ended:
            # All hosts may start together; about one of them removes what no longer matters.
            if self._random.random() * max(1, self._count_hosts()) < 1.0:
                self._store.remove_block(block.fingerprint)

    def _write_next(self):
        if not self._unsaved:
            return
        fingerprint, _ = self._unsaved.popitem(last=False)
        block = self._poisons.blocks.find(fingerprint)
        if block is None:
            return
        try:
            self._store.write_block(_store_block(block, time.time() - time.monotonic()))
        except objectstore.StoreError:
            self._unsaved[fingerprint] = None
            raise


def _load_block(stored, now, since_epoch_s):
    """Returns the Block of a StoredBlock; clocks of hosts differ by seconds."""
    answered_at = stored.answered_at
    return blocks.Block(
        stored.fingerprint,
        stored.round,
        min(now, stored.began_at - since_epoch_s),
        float("-inf") if answered_at is None else min(now, answered_at - since_epoch_s),
    )


def _store_block(block, since_epoch_s):
    has_answer = block.answered_at != float("-inf")
    return StoredBlock(
        block.fingerprint,
        block.round,
        block.began_at + since_epoch_s,
        block.answered_at + since_epoch_s if has_answer else None,
    )
