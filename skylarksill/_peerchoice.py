"""Choice of the peers for the next exchange."""

OWN_ZONE_PEERS = 2
OTHER_ZONE_PEERS = 1
MIN_PEERS = 3
# Hosts of far zones that an agent keeps connections to. A new one each second would cost a
# handshake of about 1 KB each time.
FAR_SAMPLE = 6
FAR_RENEWAL_S = 60.0
# A living peer is asked directly before DOWN_AFTER_S has passed, since gossip reaches 32 hosts
# within 3 s only nearly always.
PROBE_AFTER_S = 1.8
MAX_PROBES = 3


class PeerChoice:
    """Chooses peers in shuffled turns, so that each is asked again after one turn at most.

    Args:
      random: A random.Random.
    """

    def __init__(self, random):
        self._random = random
        self._turns = {"own": [], "other": [], "down": []}
        self._sample = []
        self._sampled_at = float("-inf")

    def choose_peers(self, table, now):
        """Chooses the hosts to exchange with now.

        Args:
          table: The PeerTable.
          now: Monotonic seconds.
        Returns:
          A list of hosts: living peers of the own zone, peers of other zones, near peers whose
          heartbeat is about to be overdue, and one that is down, so that a healed partition shows.
        """
        own, other, down = self._sort_hosts(table, now)
        chosen = self._probe(table, own + other, now)
        chosen += self._draw("own", own, OWN_ZONE_PEERS, chosen)
        wanted = max(OTHER_ZONE_PEERS, MIN_PEERS - min(len(own), OWN_ZONE_PEERS))
        chosen += self._draw("other", other, wanted, chosen)
        return chosen + self._draw("down", down, 1, chosen)

    def choose_targets(self, table, count, excluded=()):
        """Chooses living peers to push news to: other zones first, so that news leaves the zone.

        Returns:
          A list of at most ``count`` hosts.
        """
        own, other, _ = self._sort_hosts(table, self._sampled_at)
        own = [host for host in own if host not in excluded]
        other = [host for host in other if host not in excluded]
        self._random.shuffle(own)
        self._random.shuffle(other)
        return (other[: (count + 1) // 2] + own + other[(count + 1) // 2 :])[:count]

    def _sort_hosts(self, table, now):
        near = table.topology.near if table.topology else list(table.peers)
        near = [host for host in near if host != table.host]
        living = [host for host in near if table.is_alive(host)]
        down = [host for host in near if not table.is_alive(host)]
        zone_of = table.topology.zone_of if table.topology else None
        own, other = [], []
        for host in living:
            zone = zone_of[host] if zone_of else table.peers[host].entry.zone
            (own if zone == table.zone else other).append(host)
        return own, other + self._sample_far(table, now), down

    def _sample_far(self, table, now):
        topology = table.topology
        if topology is None or topology.is_small:
            return []
        is_due = now - self._sampled_at > FAR_RENEWAL_S
        if is_due or not all(host in topology.zone_of for host in self._sample):
            self._sampled_at = now
            self._sample = self._draw_sample(table)
        usable = [host for host in self._sample if not self._is_known_down(table, host)]
        return usable or self._sample

    def _draw_sample(self, table):
        """Draws a host of each other zone of the region, for its entries, and of some zones."""
        topology = table.topology
        zones = [z for z in topology.zones if z != table.zone and topology.zone_hosts[z]]
        region = topology.region_of_zone.get(table.zone)
        sibling = [zone for zone in zones if topology.region_of_zone[zone] == region]
        far = [zone for zone in zones if zone not in sibling]
        drawn = sibling + self._random.sample(far, min(FAR_SAMPLE, len(far)))
        return [self._draw_host(table, zone) for zone in drawn]

    def _draw_host(self, table, zone):
        return self._random.choice(table.list_living(zone) or table.topology.zone_hosts[zone])

    def _is_known_down(self, table, host):
        return table.topology.zone_of[host] in table.zones and not table.is_alive(host)

    def _probe(self, table, hosts, now):
        overdue = [
            (peer.heard_at, host)
            for host in hosts
            if (peer := table.peers.get(host)) is not None
            and table.is_near(host)
            and now - peer.heard_at > PROBE_AFTER_S
        ]
        return [host for _, host in sorted(overdue)[:MAX_PROBES]]

    def _draw(self, kind, hosts, count, excluded):
        drawn = []
        candidates = set(hosts) - set(excluded)
        for _ in range(min(count, len(candidates))):
            turn = [host for host in self._turns[kind] if host in candidates]
            if not turn:
                turn = sorted(candidates)
                self._random.shuffle(turn)
            host = turn.pop()
            self._turns[kind] = turn
            candidates.discard(host)
            drawn.append(host)
        return drawn
