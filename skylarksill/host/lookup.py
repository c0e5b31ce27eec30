"""Lookup: tells clients the entry addresses of the hosts that they should use.

Handles thousands of lookups a second: the hosts that are named are chosen at most four times a
second, and a lookup only leaves out those that have stopped serving since.
"""

import collections

from skylarksill.host import answers, entryhosts

MAX_ADDRESSES = 64
# Clients use an answer for its lifetime, and some use it for three times as long. A short lifetime
# moves them away from a dead host sooner, at the price of more lookups.
LIFETIME_S = 2.0
# Few clients ask a host for another region's hosts, and all regions together may have thousands.
FAR_UPDATE_INTERVAL_S = 1.0
# Least time between two choices for each serving host that they are made from. A choice among 300
# hosts that no number of them is enough for takes 63 ms, which is 2% of a core every 3 s.
UPDATE_INTERVAL_PER_HOST_S = 0.01
# A set that changes often is logged at most once in this time, with this many names at most.
LOG_INTERVAL_S = 2.0
MAX_LOGGED_HOSTS = 24


def choose_hosts(peers, own, region, zone):
    """Chooses the hosts that a client should use: those of its region, or all if it has none.

    Args:
      peers: The serving Peers that may be named.
      own: HostRecord of this host, used if no peer is serving.
      region: Region in the client's query, or None.
      zone: Availability zone in the client's query, or None.
    Returns:
      A list of at most MAX_ADDRESSES HostRecords, those of the client's zone first.
    """
    hosts = [peer.record for peer in peers] or [own]
    regional_hosts = [host for host in hosts if host.region == region] or hosts
    return sorted(regional_hosts, key=lambda host: (host.zone != zone, host.host_id))[
        :MAX_ADDRESSES
    ]


class Lookup:
    """Answers lookups with the named hosts of the regions.

    Args:
      table: The peers.PeerTable.
      own: HostRecord of this host.
      lookup_codec: The records.LookupCodec.
      log: The EventLog.
      counters: The Counters.
    """

    def __init__(self, table, own, lookup_codec, log, counters):
        self._table = table
        self._own = own
        self._codec = lookup_codec
        self._log = log
        self._counters = counters
        self._regions = {}
        self._own_due_at = self._far_due_at = float("-inf")
        self._logged_ids = frozenset()
        self._logged_at = float("-inf")

    def update(self, now):
        """Chooses the named hosts anew if that is due; ``now`` is monotonic seconds."""
        if now < self._own_due_at:
            return
        is_far_due = now >= self._far_due_at
        candidates = collections.defaultdict(list)
        for peer in self._table.list_serving(now):
            record = peer.record
            if is_far_due or record.region == self._own.region:
                candidate = entryhosts.Candidate(
                    record.host_id, record.zone, record.capacity, peer.load
                )
                candidates[record.region].append(candidate)
        due = self._regions.keys() | candidates.keys() if is_far_due else {self._own.region}
        for region in due:
            named = self._regions.setdefault(region, entryhosts.NamedHosts())
            named.update(candidates[region], now)
            if not candidates[region]:
                del self._regions[region]
        own_count = len(candidates[self._own.region])
        self._own_due_at = now + UPDATE_INTERVAL_PER_HOST_S * own_count
        if is_far_due:
            count = sum(map(len, candidates.values()))
            self._far_due_at = now + max(FAR_UPDATE_INTERVAL_S, UPDATE_INTERVAL_PER_HOST_S * count)
        self._report(own_count, now)

    def _report(self, region_hosts, now):
        """Sets the metrics of the own region, and logs its named hosts if they have changed."""
        named = self._regions.get(self._own.region)
        choice = named.choice if named is not None else entryhosts.Choice((), None)
        expected_use = choice.expected_use
        self._counters.set("named_hosts", len(choice.host_ids))
        self._counters.set("region_serving_hosts", region_hosts)
        self._counters.set("named_hosts_expected_use", expected_use or 0.0)
        ids = frozenset(choice.host_ids)
        if ids == self._logged_ids or now - self._logged_at < LOG_INTERVAL_S:
            return
        self._log.write(
            "lookup.named_hosts",
            named=len(ids),
            region_hosts=region_hosts,
            added=sorted(ids - self._logged_ids)[:MAX_LOGGED_HOSTS],
            removed=sorted(self._logged_ids - ids)[:MAX_LOGGED_HOSTS],
            expected_use=None if expected_use is None else round(expected_use, 3),
        )
        self._logged_ids = ids
        self._logged_at = now

    def count_named(self):
        """Returns the number of hosts that lookups name for the own region."""
        named = self._regions.get(self._own.region)
        return len(named.choice.host_ids) if named is not None else 0

    def list_hosts(self, region, now):
        """Returns the serving Peers that clients of a region may use, from all if it has none.

        Args:
          region: Region of the client, or None.
          now: Monotonic seconds.
        """
        named = self._regions.get(region)
        found = self._table.find_serving(named.choice.host_ids, now) if named else []
        if found:
            return found
        serving = self._table.list_serving(now)
        found = [peer for peer in serving if peer.record.region == region]
        if found:
            return found
        ids = [host_id for known in self._regions.values() for host_id in known.choice.host_ids]
        return self._table.find_serving(ids, now) or serving

    def answer(self, request, max_lifetime_s, now):
        """Returns the Answer to a client's lookup.

        Args:
          request: The records.Request.
          max_lifetime_s: Longest time for which clients may cache the answer, in seconds.
          now: Monotonic seconds.
        """
        region, zone = self._codec.decode_query(request.target)
        hosts = choose_hosts(self.list_hosts(region, now), self._own, region, zone)
        body = self._codec.encode_answer(
            [host.entry for host in hosts], min(LIFETIME_S, max_lifetime_s)
        )
        return answers.make_answer(200, body, content_type=self._codec.content_type)
