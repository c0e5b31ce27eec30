"""Which hosts of the system live, learned from heartbeats that peers pass on.

Each host raises its own heartbeat and sends what it knows to a few random peers at a time. News
reach all hosts in a number of rounds that grows with the logarithm of their count, and the traffic
of a host does not depend on it.
"""

import collections
import dataclasses
import random

from skylarksill.host import records

ROUND_S = 0.5
FANOUT = 3
# Six rounds without news. Clients may be named a dead host for `contact` + 3 s at most, 6 to 7 s.
DEAD_AFTER_S = 3.0
# Dead peers are kept and tried again now and then, so that two halves find each other again.
FORGET_AFTER_S = 120.0
# One datagram carries at most this many entries, which keeps it under 4 kB.
MAX_ENTRIES = 40


@dataclasses.dataclass(slots=True)
class Peer:
    """What is known of one host.

    Attributes:
      heard_at: Monotonic time of its last new heartbeat.
      spill_shares: Share of the objects that it sends to other regions, by service.
      is_store_lost: True if it can't reach the platform's store.
    """

    record: records.HostRecord
    heartbeat: int
    state: records.HostState
    heard_at: float
    spill_shares: dict = dataclasses.field(default_factory=dict)
    is_store_lost: bool = False


class PeerTable:
    """The hosts that this host knows.

    Args:
      own: The own records.HostRecord.
      now: Monotonic seconds.
    """

    def __init__(self, own, now):
        self._own = own.host_id
        self._peers = {own.host_id: Peer(own, 1, records.HostState.STARTING, now)}

    def beat(self, state, now, spill_shares=None, is_store_lost=False):
        """Raises the own heartbeat; see Peer for the arguments."""
        peer = self._peers[self._own]
        peer.heartbeat += 1
        peer.state = state
        peer.heard_at = now
        peer.spill_shares = spill_shares or {}
        peer.is_store_lost = is_store_lost

    def add_candidate(self, record, now):
        """Adds a host that the store names; it counts as dead until a heartbeat arrives."""
        known = self._peers.get(record.host_id)
        if known is None or known.record.incarnation < record.incarnation:
            heard_at = now - DEAD_AFTER_S
            self._peers[record.host_id] = Peer(record, 0, records.HostState.STARTING, heard_at)

    def merge(self, entry, now):
        """Takes over a peer's entry if it is newer than the known one.

        Args:
          entry: A Peer as another host knows it; its ``heard_at`` is ignored.
          now: Monotonic seconds.
        Returns:
          True if the host was unknown or dead before.
        """
        host_id = entry.record.host_id
        if host_id == self._own:
            self._outdate(entry)
            return False
        known = self._peers.get(host_id)
        was_alive = known is not None and now - known.heard_at < DEAD_AFTER_S
        if known is not None and not _is_newer(entry, known, was_alive):
            return False
        self._peers[host_id] = dataclasses.replace(entry, heard_at=now)
        return not was_alive

    def _outdate(self, former):
        """Raises the own incarnation above that of a former one.

        Incarnations follow the clock of the host, and peers would ignore one that went back.
        """
        own = self._peers[self._own]
        incarnation = former.record.incarnation
        if incarnation > own.record.incarnation:
            own.record = dataclasses.replace(own.record, incarnation=incarnation + 1)

    def list_alive(self, now):
        """Returns the Peers with a recent heartbeat, the own host included."""
        return [peer for peer in self._peers.values() if now - peer.heard_at < DEAD_AFTER_S]

    def list_serving(self, now):
        """Returns the live Peers that take requests."""
        serving = records.HostState.SERVING
        return [peer for peer in self.list_alive(now) if peer.state is serving]

    def count_known(self, region=None):
        """Returns the number of known hosts, dead ones included, in a region or in all."""
        return sum(region in (None, peer.record.region) for peer in self._peers.values())

    def average_spill_shares(self, region, now):
        """Returns the mean share by service that a region's other serving hosts state."""
        shares = collections.defaultdict(list)
        for peer in self.list_serving(now):
            if peer.record.region == region and peer.record.host_id != self._own:
                for service_id, share in peer.spill_shares.items():
                    shares[service_id].append(share)
        return {service_id: sum(found) / len(found) for service_id, found in shares.items()}

    def choose_targets(self, now, rng=random):
        """Returns the gossip addresses of this round, one of a dead host among them at most."""
        alive, dead = [], []
        for host_id, peer in list(self._peers.items()):
            age = now - peer.heard_at
            if host_id == self._own:
                continue
            if age > FORGET_AFTER_S:
                del self._peers[host_id]
                continue
            (alive if age < DEAD_AFTER_S else dead).append(peer.record.gossip)
        targets = rng.sample(alive, min(FANOUT, len(alive)))
        return targets + rng.sample(dead, min(FANOUT if not alive else 1, len(dead)))

    def make_digest(self, now, rng=random):
        """Returns the Peers to pass on: the own one and others with recent heartbeats."""
        others = [peer for peer in self.list_alive(now) if peer.record.host_id != self._own]
        if len(others) > MAX_ENTRIES - 1:
            others = rng.sample(others, MAX_ENTRIES - 1)
        return [self._peers[self._own], *others]


def _is_newer(entry, known, was_alive):
    """Returns True if an entry replaces the known one of the same host."""
    if entry.record.incarnation == known.record.incarnation:
        return entry.heartbeat > known.heartbeat
    # A host whose clock went back restarts as an earlier incarnation. Nobody passes on heartbeats
    # of an incarnation that has ended, so it is the living one if the known one is dead.
    return entry.record.incarnation > known.record.incarnation or not was_alive
