"""Membership of hosts, learned from heartbeats that peers spread by gossip.

Each host increments its own heartbeat and sends what it knows to a few random peers in each round,
mostly of its own region. A change reaches all hosts in a number of rounds that grows with the
logarithm of their count. Keeps the traffic of a large deployment low: a datagram holds the
heartbeats of all hosts of the own region, those of a sample of the others, which are taken as dead
later, and few full records. A host that gets a heartbeat of an unknown incarnation asks the sender
for its record, so that all hosts know each other soon after they restart together. Each heartbeat
carries its age, so a dead host is noticed at the same time everywhere, no matter how long its last
heartbeat travels.
"""

import collections
import dataclasses
import math
import random

from skylarksill.host import _gossiptargets, _peerentries, fields, hostload, records

ROUND_S = 0.5
# Number of hosts in the own region and in other regions that get a datagram in a round. Bytes
# between regions cost most, and what reaches one host of a region spreads within that region.
OWN_REGION_FANOUT = 2
OTHER_REGION_FANOUT = 1
# Six rounds without a new heartbeat. Look-up answers may name a dead host for at most `contact` +
# 3 s, which is 6 to 8 s.
DEAD_AFTER_S = 3.0
# Added for each doubling of the hosts of a region beyond FAST_REGION_HOSTS.
DOUBLING_S = 0.3
FAST_REGION_HOSTS = 32
# For hosts of other regions, whose heartbeats are sampled.
REMOTE_DEAD_AFTER_S = 5.0
# Dead peers are kept for this long and get a datagram now and then, so that the two sides of a
# network partition find each other again.
FORGET_AFTER_S = 120.0
# Number of full records in a datagram besides the own one: those of hosts that have been known for
# less than NEW_HOST_S, and one of an older host, for receivers that have missed it.
MAX_FULL_RECORDS = 6
NEW_HOST_S = 3.0
# Number of records that a host asks a peer for at once, and the time after which it asks again for
# one that has not arrived. A record takes about 130 bytes.
MAX_WANTED_RECORDS = 40
WANTED_RETRY_S = 0.6
MAX_ASKED_KEYS = 4_096
# A host whose last heartbeat will be too old in this time is probed: it is asked for its own
# record, in case its heartbeats were lost on their way over others.
PROBE_BEFORE_DEAD_S = 1.2
MAX_PROBES = 6
# Heartbeats in a datagram of the own region and of other regions; each takes 9 bytes.
MAX_REGION_HEARTBEATS = 300
MAX_REMOTE_HEARTBEATS = 55
KEY_BYTES = _peerentries.KEY_BYTES
HEARTBEAT_CYCLE = _peerentries.HEARTBEAT_CYCLE


Peer = _peerentries.Peer
Heartbeat = _peerentries.Heartbeat
compute_key = _peerentries.compute_key


class PeerTable:
    """The hosts that this host knows, the own one included.

    Args:
      own: The own records.HostRecord.
      now: Monotonic seconds.
    """

    def __init__(self, own, now):
        self._own_id = own.host_id
        self._region = own.region
        self._peers = {}
        self._ids_by_key = {}
        self._ids_by_address = {}
        self._asked_at = collections.OrderedDict()
        self._round = 0
        self._put(Peer(own, 1, records.HostState.STARTING, now))

    @property
    def own(self):
        """The own HostRecord."""
        return self._peers[self._own_id].record

    @property
    def own_peer(self):
        """The own Peer."""
        return self._peers[self._own_id]

    def find_incarnation(self, address):
        """Returns the incarnation of the host with a gossip address; 0 if it is unknown."""
        host_id = self._ids_by_address.get(address)
        return self._peers[host_id].record.incarnation if host_id in self._peers else 0

    def increment_heartbeat(self, state, now, spill_shares=None, is_store_lost=False):
        """Increments the own heartbeat and updates the own entry; see Peer for the arguments."""
        peer = self._peers[self._own_id]
        peer.heartbeat += 1
        peer.state = state
        peer.last_heartbeat_at = now
        peer.spill_shares = spill_shares or {}
        peer.is_store_lost = is_store_lost

    def set_own_load(self, load):
        """Replaces the own HostLoad, rounded as other hosts receive it."""
        self._peers[self._own_id].load = hostload.round_load(load)

    def add_candidate(self, record, now):
        """Adds a host that the store lists; it counts as dead until a heartbeat arrives."""
        known = self._peers.get(record.host_id)
        if known is None or known.record.incarnation < record.incarnation:
            last_heartbeat_at = now - REMOTE_DEAD_AFTER_S
            self._put(Peer(record, 0, records.HostState.STARTING, last_heartbeat_at))

    def merge(self, entry, now):
        """Replaces the known entry of a host by a received one if that is newer.

        Args:
          entry: A Peer as another host knows it.
          now: Monotonic seconds.
        Returns:
          True if the host was unknown or dead before.
        """
        host_id = entry.record.host_id
        if host_id == self._own_id:
            self.supersede(entry.record.incarnation)
            return False
        known = self._peers.get(host_id)
        was_alive = known is not None and self._is_alive(known, now)
        if known is not None and not _is_newer(entry, known, was_alive):
            return False
        is_same_record = known is not None and known.record == entry.record
        known_at = known.known_at if is_same_record else now
        peer = dataclasses.replace(entry, known_at=known_at)
        self._put(peer)
        return not was_alive and self._is_alive(peer, now)

    def merge_heartbeat(self, beat, now):
        """Applies a heartbeat of a known incarnation if it is newer.

        Returns:
          The id of the host if it was dead before, else None.
        """
        host_id = self._ids_by_key.get(beat.key)
        known = self._peers.get(host_id)
        if known is None or host_id == self._own_id:
            return None
        steps = _peerentries.count_steps(known.heartbeat, beat.heartbeat)
        if steps <= 0:
            return None
        was_alive = self._is_alive(known, now)
        known.heartbeat += steps
        known.state = beat.state
        known.is_store_lost = beat.is_store_lost
        known.load = hostload.apply_byte(known.load, known.heartbeat, beat.load_byte)
        known.last_heartbeat_at = now - beat.age_s
        return host_id if not was_alive and self._is_alive(known, now) else None

    def list_wanted(self, beats, now, rng=random):
        """Returns the keys of the unknown incarnations whose records the sender is to be asked for.

        Args:
          beats: The Heartbeats that a peer has sent.
          now: Monotonic seconds.
          rng: Source of randomness; hosts that restart together ask for different records, so that
            they learn the rest from each other.
        """
        unknown = [beat.key for beat in beats if self._is_wanted(beat.key, now)]
        wanted = rng.sample(unknown, min(MAX_WANTED_RECORDS, len(unknown)))
        for key in wanted:
            self._asked_at[key] = now
            self._asked_at.move_to_end(key)
        while len(self._asked_at) > MAX_ASKED_KEYS:
            self._asked_at.popitem(last=False)
        return wanted

    def _is_wanted(self, key, now):
        asked_at = self._asked_at.get(key)
        return key not in self._ids_by_key and (
            asked_at is None or now - asked_at >= WANTED_RETRY_S
        )

    def find_wanted(self, keys, now):
        """Returns the live Peers whose records another host asks for, at most MAX_WANTED_RECORDS.

        Args:
          keys: Keys of incarnations, see ``compute_key``.
          now: Monotonic seconds.
        """
        ids = [self._ids_by_key[key] for key in keys if key in self._ids_by_key]
        found = [self._peers[host_id] for host_id in dict.fromkeys(ids)]
        return [peer for peer in found if self._is_alive(peer, now)][:MAX_WANTED_RECORDS]

    def list_overdue(self, now):
        """Returns the live Peers that count as dead soonest unless they are heard of."""
        overdue = [
            peer
            for peer in self._peers.values()
            if peer.record.host_id != self._own_id
            and self._is_alive(peer, now)
            and not self._is_alive(peer, now + PROBE_BEFORE_DEAD_S)
        ]
        overdue.sort(key=lambda peer: peer.last_heartbeat_at)
        return overdue[:MAX_PROBES]

    def supersede(self, incarnation):
        """Raises the own incarnation above that of an earlier process of this host.

        Incarnations follow the clock of the host. If the clock was set back, peers would ignore
        the lower incarnation.
        """
        own = self._peers[self._own_id]
        if own.record.incarnation < incarnation < fields.MAX_INTEGER:
            record = dataclasses.replace(own.record, incarnation=incarnation + 1)
            self._put(dataclasses.replace(own, record=record))

    def _put(self, peer):
        host_id = peer.record.host_id
        known = self._peers.get(host_id)
        if known is not None:
            self._ids_by_key.pop(compute_key(known.record), None)
        self._peers[host_id] = peer
        self._ids_by_key[compute_key(peer.record)] = host_id
        self._ids_by_address[peer.record.gossip] = host_id
        self._update_dead_after()

    def _is_alive(self, peer, now):
        is_local = peer.record.region == self._region
        limit_s = self._dead_after_s if is_local else REMOTE_DEAD_AFTER_S
        return now - peer.last_heartbeat_at < limit_s

    def _update_dead_after(self):
        count = sum(peer.record.region == self._region for peer in self._peers.values())
        self._dead_after_s = compute_dead_after_s(count)

    def list_alive(self, now):
        """Returns the Peers with a recent heartbeat, the own host included."""
        return [peer for peer in self._peers.values() if self._is_alive(peer, now)]

    def list_serving(self, now):
        """Returns the live Peers that serve requests."""
        serving = records.HostState.SERVING
        return [peer for peer in self.list_alive(now) if peer.state is serving]

    def find_serving(self, host_ids, now):
        """Returns the live Peers that serve requests among some hosts, in the order of the ids."""
        found = filter(None, map(self._peers.get, host_ids))
        serving = records.HostState.SERVING
        return [peer for peer in found if peer.state is serving and self._is_alive(peer, now)]

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

        One target in the own region and the one in another region follow a schedule by the order of
        the hosts' names, which reaches each host equally often; random targets alone leave some
        hosts without news for several rounds. At most one target is a dead host, unless no other
        host is known to be alive.

        Returns:
          A list of addresses in the own region, and one of addresses in other regions or of dead
          hosts.
        """
        self._forget_dead(now)
        self._round += 1
        by_region = collections.defaultdict(list)
        dead = []
        for peer in sorted(self._peers.values(), key=_get_name):
            if self._is_alive(peer, now):
                by_region[peer.record.region].append(peer)
            else:
                dead.append(peer)
        own_peer = self._peers[self._own_id]
        region_peers = by_region.pop(self._region)
        position = region_peers.index(own_peer)
        local = _gossiptargets.choose_local(
            region_peers, position, self._round, OWN_REGION_FANOUT, rng
        )
        remote = []
        if by_region:
            far_peers = by_region[sorted(by_region)[self._round % len(by_region)]]
            remote_round = self._round // len(by_region)
            share = position / len(region_peers)
            remote = [_gossiptargets.choose_remote(far_peers, share, remote_round)]
        unused_fanout = OWN_REGION_FANOUT - len(local)
        if unused_fanout and by_region:
            others = [peer for found in by_region.values() for peer in found if peer not in remote]
            remote += rng.sample(others, min(unused_fanout, len(others)))
        dead_count = 1 if local or remote else OWN_REGION_FANOUT + OTHER_REGION_FANOUT
        remote += rng.sample(dead, min(dead_count, len(dead)))
        return [[peer.record.gossip for peer in targets] for targets in (local, remote)]

    def make_digest(self, now, rng=random, is_local=True):
        """Chooses what to send in a round.

        Args:
          now: Monotonic seconds.
          rng: Source of randomness.
          is_local: True for receivers in the own region, False for those in others, which learn of
            further regions from these regions themselves.
        Returns:
          A list of Peers whose full record is sent, the own one first, and a list of Heartbeats.
        """
        own = self._peers[self._own_id]
        others = [peer for peer in self.list_alive(now) if peer is not own]
        rng.shuffle(others)
        new = [peer for peer in others if now - peer.known_at < NEW_HOST_S]
        known = [peer for peer in others if now - peer.known_at >= NEW_HOST_S]
        full = (new[: MAX_FULL_RECORDS - 1] + known[:1]) if known else new[:MAX_FULL_RECORDS]
        sent_whole = {peer.record.host_id for peer in full}
        rest = [peer for peer in others if peer.record.host_id not in sent_whole]
        beating = [peer for peer in rest if peer.record.region == self._region]
        beating = beating[:MAX_REGION_HEARTBEATS]
        if is_local:
            remote = [peer for peer in rest if peer.record.region != self._region]
            beating += _gossiptargets.sample_remote(remote, MAX_REMOTE_HEARTBEATS)
        return [own, *full], [_peerentries.make_heartbeat(peer, now) for peer in beating]

    def _forget_dead(self, now):
        for host_id, peer in list(self._peers.items()):
            if host_id != self._own_id and now - peer.last_heartbeat_at > FORGET_AFTER_S:
                del self._peers[host_id]
                self._ids_by_key.pop(compute_key(peer.record), None)
                self._ids_by_address.pop(peer.record.gossip, None)


def compute_dead_after_s(host_count):
    """Returns the age in seconds at which the last heartbeat of a host of the own region is old.

    A heartbeat reaches all hosts of a region in a time that grows with the logarithm of their
    count.
    """
    doublings = math.log2(max(1.0, host_count / FAST_REGION_HOSTS))
    return min(REMOTE_DEAD_AFTER_S, DEAD_AFTER_S + DOUBLING_S * doublings)


def _get_name(peer):
    return peer.record.host_id


def _is_newer(entry, known, was_alive):
    """Returns True if an entry replaces the known one of the same host."""
    if entry.record.incarnation == known.record.incarnation:
        return entry.heartbeat > known.heartbeat
    # A host whose clock was set back restarts with a lower incarnation. No host sends heartbeats of
    # an ended incarnation, so the lower one is the live one if the known one is dead.
    return entry.record.incarnation > known.record.incarnation or not was_alive
