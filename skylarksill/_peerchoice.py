"""Selection of the peers that an agent exchanges membership with in each round."""

OWN_ZONE_PEERS_PER_ROUND = 2
OTHER_ZONE_PEERS_PER_ROUND = 1
MIN_PEERS_PER_ROUND = 3
# Number of hosts of other regions that an agent keeps connections to. Choosing a new host every
# second would cost a handshake of about 1 KB each time.
FAR_SAMPLE_SIZE = 6
FAR_SAMPLE_INTERVAL_S = 60.0
# A live peer is contacted directly before DOWN_AFTER_S has passed, because gossip alone nearly
# always, but not always, reaches 32 hosts within 3 s.
PROBE_AFTER_S = 1.8
MAX_PROBES = 3


class PeerChoice:
    """Chooses peers from shuffled queues, so that each peer is chosen once per pass of a queue.

    Args:
      random: A random.Random.
    """

    def __init__(self, random):
        self._random = random
        self._queues = {"own": [], "other": [], "down": []}
        self._far_sample = []
        self._far_sampled_at = float("-inf")

    def choose_peers(self, table, now):
        """Chooses the hosts to exchange with now.

        Args:
          table: The PeerTable.
          now: Monotonic seconds.
        Returns:
          A list of hosts: live peers of the own zone, peers of other zones, near peers whose
          heartbeat is almost overdue, and one peer that is down, to detect a healed partition.
        """
        own, other, down = self._group_hosts(table, now)
        chosen = self._find_overdue(table, own + other, now)
        chosen += self._draw_from_queue("own", own, OWN_ZONE_PEERS_PER_ROUND, chosen)
        wanted = max(
            OTHER_ZONE_PEERS_PER_ROUND,
            MIN_PEERS_PER_ROUND - min(len(own), OWN_ZONE_PEERS_PER_ROUND),
        )
        chosen += self._draw_from_queue("other", other, wanted, chosen)
        return chosen + self._draw_from_queue("down", down, 1, chosen)

    def choose_targets(self, table, count, excluded=()):
        """Chooses live peers to push updates to.

        The first half is taken from other zones if possible, so that updates leave the own zone.

        Returns:
          A list of at most ``count`` hosts.
        """
        own, other, _ = self._group_hosts(table, self._far_sampled_at)
        own = [host for host in own if host not in excluded]
        other = [host for host in other if host not in excluded]
        self._random.shuffle(own)
        self._random.shuffle(other)
        return (other[: (count + 1) // 2] + own + other[(count + 1) // 2 :])[:count]

    def _group_hosts(self, table, now):
        near = table.topology.near if table.topology else list(table.peers)
        near = [host for host in near if host != table.host]
        live = [host for host in near if table.is_alive(host)]
        down = [host for host in near if not table.is_alive(host)]
        zone_of = table.topology.zone_of if table.topology else None
        own, other = [], []
        for host in live:
            zone = zone_of[host] if zone_of else table.peers[host].entry.zone
            (own if zone == table.zone else other).append(host)
        return own, other + self._get_far_sample(table, now), down

    def _get_far_sample(self, table, now):
        topology = table.topology
        if topology is None or topology.is_small:
            return []
        is_due = now - self._far_sampled_at > FAR_SAMPLE_INTERVAL_S
        if is_due or not all(host in topology.zone_of for host in self._far_sample):
            self._far_sampled_at = now
            self._far_sample = self._draw_far_sample(table)
        usable = [host for host in self._far_sample if not self._is_known_down(table, host)]
        return usable or self._far_sample

    def _draw_far_sample(self, table):
        """Draws one host of each other zone of the region and of FAR_SAMPLE_SIZE other zones.

        The hosts of the region are needed because entries are exchanged only within a region.
        """
        topology = table.topology
        zones = [z for z in topology.zones if z != table.zone and topology.zone_hosts[z]]
        region = topology.region_of_zone.get(table.zone)
        same_region = [zone for zone in zones if topology.region_of_zone[zone] == region]
        far = [zone for zone in zones if zone not in same_region]
        drawn = same_region + self._random.sample(far, min(FAR_SAMPLE_SIZE, len(far)))
        return [self._draw_host(table, zone) for zone in drawn]

    def _draw_host(self, table, zone):
        return self._random.choice(table.list_live_hosts(zone) or table.topology.zone_hosts[zone])

    def _is_known_down(self, table, host):
        return table.topology.zone_of[host] in table.zones and not table.is_alive(host)

    def _find_overdue(self, table, hosts, now):
        overdue = [
            (peer.heard_at, host)
            for host in hosts
            if (peer := table.peers.get(host)) is not None
            and table.is_near(host)
            and now - peer.heard_at > PROBE_AFTER_S
        ]
        return [host for _, host in sorted(overdue)[:MAX_PROBES]]

    def _draw_from_queue(self, kind, hosts, count, excluded):
        drawn = []
        candidates = set(hosts) - set(excluded)
        for _ in range(min(count, len(candidates))):
            queue = [host for host in self._queues[kind] if host in candidates]
            if not queue:
                queue = sorted(candidates)
                self._random.shuffle(queue)
            host = queue.pop()
            self._queues[kind] = queue
            candidates.discard(host)
            drawn.append(host)
        return drawn
