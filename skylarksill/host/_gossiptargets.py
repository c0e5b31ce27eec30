"""Choice of the peers that get a datagram, and of the heartbeats that it carries. No I/O.

Handles large deployments, where a host can't send to all others in a round, nor name all of them in
a datagram: schedules reach each host equally often, and samples prefer news.
"""

import math

GOLDEN_RATIO = (math.sqrt(5.0) - 1.0) / 2.0


def choose_local(region_peers, position, round_number, fanout, rng):
    """Returns the Peers of the own region that get a datagram in a round.

    The first is as far behind the sender as a power of two, so that a heartbeat reaches all hosts
    in as many rounds as a binary number has digits; the other ones are random.
    """
    count = len(region_peers)
    if count == 1:
        return []
    step = 2 ** (round_number % max(1, math.ceil(math.log2(count))))
    scheduled = region_peers[(position + step) % count]
    own = region_peers[position]
    rest = [peer for peer in region_peers if peer is not scheduled and peer is not own]
    return [scheduled, *rng.sample(rest, min(fanout - 1, len(rest)))]


def choose_remote(far_peers, share, round_number):
    """Returns the Peer of another region that gets a datagram in a round.

    Args:
      far_peers: The live Peers of that region.
      share: Place of the sender in its region, from 0 to 1.
      round_number: Number of earlier rounds in which this region was the target.
    """
    # Steps of the golden ratio spread the senders of successive rounds evenly.
    place = (share + round_number * GOLDEN_RATIO) % 1.0
    return far_peers[int(place * len(far_peers))]


def sample_remote(remote, most):
    """Returns the Peers of other regions whose heartbeats are sent, half of them the newest ones.

    Args:
      remote: Peers in random order.
    """
    newest = sorted(remote, key=lambda peer: -peer.last_heartbeat_at)
    chosen = newest[: most // 2]
    chosen_ids = {peer.record.host_id for peer in chosen}
    rest = [peer for peer in remote if peer.record.host_id not in chosen_ids]
    return chosen + rest[: most - len(chosen)]
