"""State of hosts and regions as known to one process."""

import collections
import dataclasses
import enum

from skylarksill import _shares, records

STALE_AFTER_S = 10.0
SHIFT_WINDOW_S = 1.0


class HostGrade(enum.IntEnum):
    """Usability of an entry host; lower is better, and LEAVING hosts are never ranked."""

    USABLE = 0
    STALE = 1
    DEAD = 2
    LEAVING = 3


@dataclasses.dataclass(slots=True, eq=False)
class SteeringView:
    """Input of ``rank_hosts``: the agent's latest report and the spill shares.

    ``dispatchers`` maps hosts with a live, serving dispatcher to its incarnation. For each region,
    ``shift_windows`` holds the times of the latest answers that sent a client there from another
    region. ``lookup_count`` is the number of live lookup daemons, which divide the shift caps.
    """

    grades: dict = dataclasses.field(default_factory=dict)
    dispatchers: dict = dataclasses.field(default_factory=dict)
    shares: dict = dataclasses.field(default_factory=dict)
    rankings: dict = dataclasses.field(default_factory=dict)
    shift_windows: dict = dataclasses.field(default_factory=dict)
    behind_since: dict = dataclasses.field(default_factory=dict)
    table: object = None
    lookup_count: int = 1

    def apply_report(self, table, peers, loads, now, zone_loads=()):
        """Updates the view from the agent's latest report.

        Args:
          table: The RoutingTable in force.
          peers: PeerView records.
          loads: LoadEntry records with their ages at ``now``.
          now: Monotonic time in seconds.
          zone_loads: ZoneLoad records, used for zones without a LoadEntry.
        """
        peers_by_host = {peer.entry.host: peer for peer in peers}
        grades = {host: self._grade_host(table, host, peers_by_host, now) for host in table.hosts}
        dispatchers = _find_dispatchers(table, peers_by_host)
        is_unchanged = grades == self.grades and dispatchers == self.dispatchers
        if not is_unchanged or table is not self.table:
            self.rankings = {}
        self.table = table
        self.grades = grades
        self.dispatchers = dispatchers
        self.lookup_count = max(1, sum(_is_serving(peer, "lookup") for peer in peers))
        self._resize_windows(table)
        self._update_shares(table, loads, zone_loads, now)

    def get_share(self, service, region):
        """Returns the SpillShare of a service and region, or a new one if none is stored."""
        return self.shares.get((service, region)) or _shares.SpillShare()

    def admit_shift(self, region, now):
        """Counts one answer that sends a client to a region other than its own.

        Returns:
          False, without counting, if this process has used up its part of the region's shift cap
          within the last SHIFT_WINDOW_S.
        """
        window = self.shift_windows.get(region)
        if window is None or window.maxlen == 0:
            return False
        if len(window) == window.maxlen and now - window[0] < SHIFT_WINDOW_S:
            return False
        window.append(now)
        return True

    def _grade_host(self, table, host_id, peers_by_host, now):
        peer = peers_by_host.get(host_id)
        if table.hosts[host_id].state is not records.LifecycleState.SERVING:
            return HostGrade.LEAVING
        if peer is None:
            return HostGrade.DEAD
        if peer.entry.state is not records.LifecycleState.SERVING:
            return HostGrade.LEAVING
        entry_part = _find_part(peer, "entry")
        if entry_part is not None and entry_part.state is not records.LifecycleState.SERVING:
            return HostGrade.LEAVING
        if entry_part is None or not peer.is_alive:
            return HostGrade.DEAD
        return HostGrade.STALE if self._is_behind(table, peer, now) else HostGrade.USABLE

    def _is_behind(self, table, peer, now):
        # Every host is briefly behind after a new generation, so a host counts as stale only if it
        # stays behind for longer than a generation takes to propagate.
        if peer.entry.generation >= table.generation:
            self.behind_since.pop(peer.entry.host, None)
            return False
        since = self.behind_since.setdefault(peer.entry.host, now)
        return now - since > STALE_AFTER_S

    def _resize_windows(self, table):
        for region_id, region in table.regions.items():
            limit = 0
            if region.shift_cap_per_s > 0:
                limit = max(1, region.shift_cap_per_s // self.lookup_count)
            window = self.shift_windows.get(region_id)
            if window is None or window.maxlen != limit:
                self.shift_windows[region_id] = collections.deque(window or (), maxlen=limit)

    def _update_shares(self, table, loads, zone_loads, now):
        entries = collections.defaultdict(list)
        in_flight = collections.Counter()
        for zone, load in self._pair_with_zones(table, loads, zone_loads):
            region = table.regions_by_zone[zone]
            entries[load.service, region].append(load)
            in_flight[region] += load.in_flight
        for service in table.services:
            self._update_service_shares(table, service, entries, in_flight, now)

    def _pair_with_zones(self, table, loads, zone_loads):
        zoned_loads = [
            (table.hosts[load.host].zone_id, load)
            for load in loads
            if load.host in table.hosts and load.host in self.dispatchers
        ]
        reported_zones = {zone for zone, _ in zoned_loads}
        zoned_loads += [
            (load.zone, load)
            for load in zone_loads
            if load.zone in table.regions_by_zone and load.zone not in reported_zones
        ]
        return zoned_loads

    def _update_service_shares(self, table, service, entries, in_flight, now):
        region_loads = {
            region: _shares.summarize_load(
                self._count_capacity(table, service, region),
                entries[service, region],
                in_flight[region],
                table.regions[region].max_in_flight,
            )
            for region in table.regions
        }
        for region, load in region_loads.items():
            target_headroom = sum(
                other.headroom for name, other in region_loads.items() if name != region
            )
            share = self.shares.setdefault((service, region), _shares.SpillShare())
            _shares.update_share(share, load, target_headroom, now)

    def _count_capacity(self, table, service, region):
        return sum(
            owner.slots
            for owner in table.list_owners(service, region)
            if owner.host_id in self.dispatchers
        )


def _find_dispatchers(table, peers_by_host):
    return {
        host_id: _find_part(peers_by_host[host_id], "dispatch").incarnation
        for host_id, host in table.hosts.items()
        if host.state is records.LifecycleState.SERVING
        and host_id in peers_by_host
        and _is_serving(peers_by_host[host_id], "dispatch")
    }


def _find_part(peer, name):
    return next((part for part in peer.entry.parts if part.part == name), None)


def _is_serving(peer, part_name):
    part = _find_part(peer, part_name)
    return (
        peer.is_alive
        and peer.entry.state is records.LifecycleState.SERVING
        and part is not None
        and part.state is records.LifecycleState.SERVING
    )
