"""How fast blocks of requests reach all hosts, and at what cost: ``python -m bench.block_spread``.

Hosts ask each other in rounds, two of their region and one of another, as peers.PeerTable chooses
them, here at random. Messages are encoded and decoded; heartbeats beside them are left out.
"""

import argparse
import random

from skylarksill.host import _peercodec, blocks, exchange, peers, poison, records

REGION_HOSTS = 74
LOSS = 0.03
ROUND_S = peers.ROUND_S
OWN_REGION_FANOUT = peers.OWN_REGION_FANOUT
OTHER_REGION_FANOUT = peers.OTHER_REGION_FANOUT
# Datagrams of digests go out without this model, so only what blocks add to them counts.
ASK_BYTES = peers.KEY_BYTES + blocks.SUMMARY_BYTES


class ModelHost:
    """What one host knows of blocks; ``sent_bytes`` counts what they make it send."""

    def __init__(self, index):
        region = f"region-{index // REGION_HOSTS}"
        address = (f"10.{index // 250}.{index % 250}.1", 7200)
        record = records.HostRecord(f"host-{index}", 1, f"{region}-a", region, address, address)
        self.region = index // REGION_HOSTS
        self.table = peers.PeerTable(record, 0.0)
        self.table.increment_heartbeat(records.HostState.SERVING, 0.0)
        self.poisons = poison.PoisonTable(record.host_id)
        self.sent_bytes = 0

    def receive(self, datagram, now):
        """Applies a datagram; returns the encoded answer, or None."""
        digest = _peercodec.decode_digest(datagram, now)
        if digest.known_blocks is not None:
            self.poisons.merge_blocks(digest.known_blocks, now)
        reply = exchange.answer_blocks(self.table, self.poisons, digest, None, False, now)
        if reply is None:
            return None
        answer = _peercodec.encode_digest(reply, now)
        self.sent_bytes += len(answer)
        return answer


def play(host_count, block_count, restarts_all_but_one, seed):
    """Plays rounds until all hosts know the same blocks.

    Args:
      host_count: Number of hosts.
      block_count: Number of blocks that one host knows at first.
      restarts_all_but_one: True if the other hosts have just started and ask for all.
      seed: Seed of the choice of hosts and of lost messages.
    Returns:
      A tuple of the seconds until all hosts know all blocks, the mean and the largest number of
      bytes that a host has sent for them.
    """
    rng = random.Random(seed)
    hosts = [ModelHost(index) for index in range(host_count)]
    for number in range(block_count):
        hosts[0].poisons.blocks.begin(b"%012d" % number, 0.0)
    rounds = 0
    while any(len(host.poisons.blocks) < block_count for host in hosts):
        rounds += 1
        now = rounds * ROUND_S
        for host in hosts:
            for other in _choose_targets(host, hosts, rng):
                _ask(host, other, restarts_all_but_one, now, rng)
    sent = [host.sent_bytes for host in hosts]
    return rounds * ROUND_S, sum(sent) / host_count, max(sent)


def _choose_targets(host, hosts, rng):
    first = host.region * REGION_HOSTS
    own = hosts[first : first + REGION_HOSTS]
    chosen = rng.choices(own, k=OWN_REGION_FANOUT) + rng.choices(hosts, k=OTHER_REGION_FANOUT)
    return [other for other in chosen if other is not host]


def _ask(host, other, restarts, now, rng):
    own = host.poisons.blocks
    is_new = restarts and not len(own)
    summary = blocks.UNINFORMED if is_new else own.summarize(now)
    message = exchange.make_introduction(host.table, summary)
    host.sent_bytes += ASK_BYTES
    sender, receiver, datagram = host, other, _peercodec.encode_digest(message, now)
    while datagram is not None and rng.random() >= LOSS:
        datagram = receiver.receive(datagram, now)
        sender, receiver = receiver, sender


def main():
    """Prints a line for each number of hosts and blocks."""
    parser = argparse.ArgumentParser(prog="python -m bench.block_spread")
    parser.add_argument("--hosts", type=int, default=300)
    parser.add_argument("--blocks", type=int, default=1)
    parser.add_argument(
        "--restart", action="store_true", help="all hosts but one have just started"
    )
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    seconds, mean, most = play(options.hosts, options.blocks, options.restart, options.seed)
    print(
        f"{options.hosts} hosts, {options.blocks} blocks, restart={options.restart}: all know them"
        f" after {seconds:.1f} s; a host sends {mean:.0f} bytes for them, {most} at most"
    )


if __name__ == "__main__":
    main()
