"""What a host sends to its peers, learns from their datagrams, and answers. Performs no I/O.

Handles all hosts of a large deployment that restart together, and heartbeats that are lost: a host
asks those that know more for the records that it lacks, and a host that it has not heard of for
long for that one's own record.
"""

import dataclasses
import random

from skylarksill.host import _peercodec, peers


@dataclasses.dataclass(frozen=True, slots=True)
class Reception:
    """Outcome of a received datagram.

    Attributes:
      newly_alive: Ids of the hosts that were unknown or dead before.
      reply: The _peercodec.Digest to send back, or None.
    """

    newly_alive: tuple[str, ...]
    reply: _peercodec.Digest | None


def receive_digest(table, digest, now, rng=random):
    """Applies the hosts and heartbeats of a digest to the table of peers.

    Args:
      table: The peers.PeerTable.
      digest: The _peercodec.Digest.
      now: Monotonic seconds.
      rng: Source of randomness.
    Returns:
      A Reception.
    """
    newly_alive = [peer.record.host_id for peer in digest.peers if table.merge(peer, now)]
    newly_alive += filter(None, (table.merge_heartbeat(beat, now) for beat in digest.beats))
    found = table.find_wanted(digest.wanted, now)
    wanted = table.list_wanted(digest.beats, now, rng)
    reply = None
    if found or wanted:
        others = [peer for peer in found if peer is not table.own_peer]
        reply = _peercodec.Digest([table.own_peer, *others], [], [], wanted)
    return Reception(tuple(newly_alive), reply)


def make_introduction(table):
    """Makes the answer to a sender that doesn't know this process: the own record."""
    return _peercodec.Digest([table.own_peer], [], [])


def make_messages(table, crashes, seeds, now, rng=random, restarts=()):
    """Makes what a host sends in a round.

    Args:
      table: The peers.PeerTable.
      crashes: List of recent poison.Crash.
      seeds: Addresses to send to while no peer is known.
      now: Monotonic seconds.
      rng: Source of randomness.
      restarts: Recent restarts.RestartReport.
    Returns:
      A list of pairs of a _peercodec.Digest and the list of the addresses that get it.
    """
    messages = [
        (
            _peercodec.Digest([table.own_peer], [], [], [peers.compute_key(peer.record)]),
            [peer.record.gossip],
        )
        for peer in table.list_overdue(now)
    ]
    local, remote = table.choose_targets(now, rng)
    if not local and not remote:
        remote = seeds
    for is_local, addresses in ((True, local), (False, remote)):
        if addresses:
            whole, beats = table.make_digest(now, rng, is_local)
            digest = _peercodec.Digest(whole, beats, crashes, [], list(restarts))
            messages.append((digest, addresses))
    return messages
