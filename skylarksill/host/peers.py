"""Membership of hosts, learned from heartbeats that peers spread by gossip.

Each host increments its own heartbeat and sends what it knows to a few random peers in each round,
mostly of its own region. A change reaches all hosts in a number of rounds that grows with the
logarithm of their count. Keeps the traffic of a large deployment low: while most hosts are known, a
datagram holds only their heartbeats, and full records only of new hosts.
"""

import collections
import dataclasses
import random

from skylarksill import records as shared
from skylarksill.host import records

ROUND_S = 0.5
# Number of hosts in the own region and in other regions that get a datagram in a round. Bytes
# between regions cost most, and what reaches one host of a region spreads within that region.
OWN_REGION_FANOUT = 2
OTHER_REGION_FANOUT = 1
# Six rounds without a new heartbeat. Look-up answers may name a dead host for at most `contact` +
# 3 s, which is 6 to 7 s.
DEAD_AFTER_S = 3.0
# Dead peers are kept for this long and get a datagram now and then, so that the two sides of a
# network partition find each other again.
FORGET_AFTER_S = 120.0
# Number of full records in a datagram besides the own one: those of hosts that have been known for
# less than NEW_HOST_S, and one of an older host, for receivers that have missed it.
MAX_FULL_RECORDS = 6
NEW_HOST_S = 3.0
# Number of heartbeats in a datagram; each takes about 30 bytes.
MAX_HEARTBEATS = 100


@dataclasses.dataclass(slots=True)
class Peer:
    """What this host knows about one host.

    Attributes:
      last_heartbeat_at: Monotonic time of its last new heartbeat.
      known_at: Monotonic time at which this incarnation became known.
      spill_shares: Share of objects that the host sends to other regions, by service.
      is_store_lost: True if the host can't reach the platform's store.
    """

    record: records.HostRecord
    heartbeat: int
    state: records.HostState
    last_heartbeat_at: float
    spill_shares: dict = dataclasses.field(default_factory=dict)
    is_store_lost: bool = False
    known_at: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """A heartbeat of a host whose record the receiver probably knows."""

    host_id: shared.HostId
    incarnation: int
    heartbeat: int
    state: records.HostState
    is_store_lost: bool


class PeerTable:
    """The hosts that this host knows, the own one included.

    Args:
      own: The own records.HostRecord.
      now: Monotonic seconds.
    """

    def __init__(self, own, now):
        self._own_id = own.host_id
        self._peers = {own.host_id: Peer(own, 1, records.HostState.STARTING, now)}

    @property
    def own(self):
        """The own HostRecord."""
        return self._peers[self._own_id].record

    def increment_heartbeat(self, state, now, spill_shares=None, is_store_lost=False):
        """Increments the own heartbeat and updates the own entry; see Peer for the arguments."""
        peer = self._peers[self._own_id]
        peer.heartbeat += 1
        peer.state = state
        peer.last_heartbeat_at = now
        peer.spill_shares = spill_shares or {}
        peer.is_store_lost = is_store_lost

    def add_candidate(self, record, now):
        """Adds a host that the store lists; it counts as dead until a heartbeat arrives."""
        known = self._peers.get(record.host_id)
        if known is None or known.record.incarnation < record.incarnation:
            last_heartbeat_at = now - DEAD_AFTER_S
            self._peers[record.host_id] = Peer(
                record, 0, records.HostState.STARTING, last_heartbeat_at
            )

    def merge(self, entry, now):
        """Replaces the known entry of a host by a received one if that is newer.

        Args:
          entry: A Peer as another host knows it; its ``last_heartbeat_at`` is ignored.
          now: Monotonic seconds.
        Returns:
          True if the host was unknown or dead before.
        """
        host_id = entry.record.host_id
        if host_id == self._own_id:
            self._supersede_earlier(entry)
            return False
        known = self._peers.get(host_id)
        was_alive = known is not None and now - known.last_heartbeat_at < DEAD_AFTER_S
        if known is not None and not _is_newer(entry, known, was_alive):
            return False
        is_same_record = known is not None and known.record == entry.record
        known_at = known.known_at if is_same_record else now
        self._peers[host_id] = dataclasses.replace(entry, last_heartbeat_at=now, known_at=known_at)
        return not was_alive

    def merge_heartbeat(self, beat, now):
        """Applies a heartbeat of a known incarnation if it is newer.

        Returns:
          True if the host was dead before.
        """
        known = self._peers.get(beat.host_id)
        if known is None or beat.host_id == self._own_id:
            return False
        if known.record.incarnation != beat.incarnation or known.heartbeat >= beat.heartbeat:
            return False
        was_alive = now - known.last_heartbeat_at < DEAD_AFTER_S
        known.heartbeat = beat.heartbeat
        known.state = beat.state
        known.is_store_lost = beat.is_store_lost
        known.last_heartbeat_at = now
        return not was_alive

    def _supersede_earlier(self, earlier):
        """Raises the own incarnation above that of an earlier process of this host.

        Incarnations follow the clock of the host. If the clock was set back, peers would ignore
        the lower incarnation.
        """
        own = self._peers[self._own_id]
        incarnation = earlier.record.incarnation
        if incarnation > own.record.incarnation:
            own.record = dataclasses.replace(own.record, incarnation=incarnation + 1)

    def list_alive(self, now):
        """Returns the Peers with a recent heartbeat, the own host included."""
        return [
            peer for peer in self._peers.values() if now - peer.last_heartbeat_at < DEAD_AFTER_S
        ]

    def list_serving(self, now):
        """Returns the live Peers that serve requests."""
        serving = records.HostState.SERVING
        return [peer for peer in self.list_alive(now) if peer.state is serving]

    def list_known_ids(self, region=None):
        """Returns the names of the known hosts, dead ones included, in a region or in all."""
        return frozenset(
            host_id for host_id, peer in self._peers.items() if region in (None, peer.record.region)
        )

    def average_spill_shares(self, region, now):
        """Returns the mean spill share by service of a region's other serving hosts."""
        shares = collections.defaultdict(list)
        for peer in self.list_serving(now):
            if peer.record.region == region and peer.record.host_id != self._own_id:
                for service_id, share in peer.spill_shares.items():
                    shares[service_id].append(share)
        return {service_id: sum(found) / len(found) for service_id, found in shares.items()}

    def choose_targets(self, now, rng=random):
        """Returns the gossip addresses that get a datagram in this round.

        At most one of them belongs to a dead host, unless no other host is known to be alive.
        """
        own_region = self.own.region
        local, remote, dead = [], [], []
        for host_id, peer in list(self._peers.items()):
            age = now - peer.last_heartbeat_at
            if host_id == self._own_id:
                continue
            if age > FORGET_AFTER_S:
                del self._peers[host_id]
            elif age >= DEAD_AFTER_S:
                dead.append(peer.record.gossip)
            else:
                (local if peer.record.region == own_region else remote).append(peer.record.gossip)
        targets = rng.sample(local, min(OWN_REGION_FANOUT, len(local)))
        unused_fanout = OWN_REGION_FANOUT - len(targets)
        targets += rng.sample(remote, min(OTHER_REGION_FANOUT + unused_fanout, len(remote)))
        dead_count = 1 if targets else OWN_REGION_FANOUT + OTHER_REGION_FANOUT
        return targets + rng.sample(dead, min(dead_count, len(dead)))

    def make_digest(self, now, rng=random):
        """Chooses what to send in a round.

        Returns:
          A list of Peers whose full record is sent, the own one first, and a list of Heartbeats.
        """
        own = self._peers[self._own_id]
        others = [peer for peer in self.list_alive(now) if peer is not own]
        rng.shuffle(others)
        new = [peer for peer in others if now - peer.known_at < NEW_HOST_S]
        known = [peer for peer in others if now - peer.known_at >= NEW_HOST_S]
        full = (new[: MAX_FULL_RECORDS - 1] + known[:1]) if known else new[:MAX_FULL_RECORDS]
        return [own, *full], [_make_heartbeat(peer) for peer in known[:MAX_HEARTBEATS]]


def _make_heartbeat(peer):
    record = peer.record
    return Heartbeat(
        record.host_id, record.incarnation, peer.heartbeat, peer.state, peer.is_store_lost
    )


def _is_newer(entry, known, was_alive):
    """Returns True if an entry replaces the known one of the same host."""
    if entry.record.incarnation == known.record.incarnation:
        return entry.heartbeat > known.heartbeat
    # A host whose clock was set back restarts with a lower incarnation. No host sends heartbeats of
    # an ended incarnation, so the lower one is the live one if the known one is dead.
    return entry.record.incarnation > known.record.incarnation or not was_alive
