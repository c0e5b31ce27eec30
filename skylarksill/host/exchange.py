"""What a host sends to its peers, learns from their datagrams, and answers. Performs no I/O.

Handles all hosts of a large deployment that restart together, and heartbeats that are lost: a host
asks those that know more for the records that it lacks, and a host that it has not heard of for
long for that one's own record.
"""

import dataclasses
import random

from skylarksill.host import _peercodec, blocks, peers


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


def make_introduction(table, block_summary=None):
    """Makes the answer to a sender that doesn't know this process: the own record.

    Args:
      table: The peers.PeerTable.
      block_summary: Summary of the own blocks to ask for others with, or None not to ask.
    """
    return _peercodec.Digest([table.own_peer], [], [], block_summary=block_summary)


def answer_blocks(table, poisons, digest, reply, is_asking, now):
    """Adds to the answer to a digest the blocks of requests that the sender lacks.

    Args:
      table: The peers.PeerTable.
      poisons: The poison.PoisonTable.
      digest: The _peercodec.Digest received, whose blocks the table knows already.
      reply: The _peercodec.Digest to send back, or None.
      is_asking: True if this host has just started and asks for all that the sender knows.
      now: Monotonic seconds.
    Returns:
      The _peercodec.Digest to send back, or None.
    """
    known = poisons.blocks
    own_summary = blocks.UNINFORMED if is_asking else known.summarize(now)
    found = told = summary = None
    if digest.block_summary == blocks.UNINFORMED:
        found, told = known.list_all(), poisons.list_told_crashes(now)
    elif digest.block_summary not in (None, known.summarize(now)):
        found = known.list_some()
    # An answer is not answered, unless it comes before this host has asked.
    if digest.known_blocks is None and (is_asking or found is not None):
        summary = own_summary
    if found is None and summary is None:
        return reply
    reply = reply or make_introduction(table)
    return dataclasses.replace(reply, crashes=told or [], block_summary=summary, known_blocks=found)


def make_messages(table, crashes, seeds, now, rng=random, restarts=(), block_summary=None):
    """Makes what a host sends in a round.

    Args:
      table: The peers.PeerTable.
      crashes: List of recent poison.Crash.
      seeds: Addresses to send to while no peer is known.
      now: Monotonic seconds.
      rng: Source of randomness.
      restarts: Recent restarts.RestartReport.
      block_summary: Summary of the own blocks of requests, or None.
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
            digest = _peercodec.Digest(whole, beats, crashes, [], list(restarts), block_summary)
            messages.append((digest, addresses))
    return messages
