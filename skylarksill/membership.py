"""Membership table of an agent: the known hosts and whether they are alive.

A host counts as alive while its heartbeat counter keeps rising, measured on the local monotonic
clock, so clocks of different hosts are never compared. Heartbeats are received only from near hosts
(see ``_topology``). The state of a far host comes from the summary that its zone gossips.
"""

import dataclasses
import zlib

from skylarksill import _gossip, _peerchoice, _topology, frames, messages, records

DOWN_AFTER_S = 3.0
# Without changes a summary is sent every 4 s and takes several gossip rounds to reach all zones.
ZONE_DOWN_AFTER_S = 15.0
SUMMARY_INTERVAL_S = 4.0
FORGET_AFTER_S = 60.0
# Limits the table of an agent that has no configuration yet and so accepts any host name.
MAX_PEERS = 4096

NEAR_LIMIT = _topology.NEAR_LIMIT
build_topology = _topology.build_topology
make_digest = _gossip.make_digest
answer_digest = _gossip.answer_digest
make_delta = _gossip.make_delta
make_own_delta = _gossip.make_own_delta
merge_delta = _gossip.merge_delta
PeerChoice = _peerchoice.PeerChoice


@dataclasses.dataclass(slots=True)
class Peer:
    """A known host; times are monotonic seconds of this agent.

    Attributes:
      entry: Its last PeerEntry.
      checksum: 16-bit CRC of the entry without heartbeat and generation.
      heard_at: Time of the last rise of its heartbeat.
      is_alive: False after DOWN_AFTER_S without a rise.
      loads: LoadEntries without age, in the order of the services.
      loads_at: Time at which the loads were measured.
      changed_version: Version of the table at the last change of anything but heartbeat and loads.
    """

    entry: messages.PeerEntry
    checksum: int
    heard_at: float
    is_alive: bool = True
    loads: tuple[messages.LoadEntry, ...] = ()
    loads_at: float = 0.0
    changed_version: int = 1


@dataclasses.dataclass(slots=True)
class ZoneState:
    """The newest known summary of a zone; ``heard_at`` is monotonic seconds of this agent."""

    summary: messages.ZoneSummary
    heard_at: float
    is_alive: bool = True


class PeerTable:
    """Membership table of one agent.

    Args:
      entry: PeerEntry of this agent's host.
      now: Monotonic seconds.

    Attributes:
      version: Rises with each change that is visible in a view.
      full_view_version: A view older than this version may name hosts that were removed since, so
        that a delta does not suffice.
      topology: The Topology, or None without a configuration.
      peers: Dict of Peer by host, including this agent's host.
      zones: Dict of ZoneState by zone.
    """

    def __init__(self, entry, now):
        self.host = entry.host
        self.zone = entry.zone
        self.version = 1
        self.full_view_version = 1
        self._has_unpublished_changes = False
        self.topology = None
        self.peers = {entry.host: Peer(entry, compute_entry_checksum(entry), now, loads_at=now)}
        self.zones = {}
        self._far_changed_versions = {}
        self._summarised_at = float("-inf")
        self._down_checked_at = now

    @property
    def own_entry(self):
        """PeerEntry of this agent's host."""
        return self.peers[self.host].entry

    def set_topology(self, topology):
        """Replaces the topology and removes hosts and zones that it does not name."""
        self.topology = topology
        for host in [host for host in self.peers if host not in topology.zone_of]:
            if host != self.host:
                del self.peers[host]
        self.zones = {zone: state for zone, state in self.zones.items() if zone in topology.zones}
        self._far_changed_versions = {
            h: v for h, v in self._far_changed_versions.items() if h in topology.zone_of
        }
        self.require_full_views()

    def increment_heartbeat(self, now, loads=(), **fields):
        """Increments the heartbeat of this agent's host.

        Args:
          now: Monotonic seconds.
          loads: LoadEntries of this host.
          fields: Fields of this host's PeerEntry that change, for example ``state``.
        """
        peer = self.peers[self.host]
        entry = dataclasses.replace(peer.entry, heartbeat=peer.entry.heartbeat + 1, **fields)
        self._set_entry(peer, entry, now)
        self.set_loads(peer, tuple(loads), now)

    def merge_entry(self, entry, now):
        """Stores an entry if its heartbeat is higher than that of the known entry.

        Args:
          entry: A PeerEntry from another agent.
          now: Monotonic seconds.
        Returns:
          The added or updated Peer, or None if the entry was not stored.
        """
        if entry.host == self.host:
            self._supersede_former_incarnation(entry)
            return None
        peer = self.peers.get(entry.host)
        if peer is None:
            return self._add_peer(entry, now)
        if entry.heartbeat <= peer.entry.heartbeat:
            return None
        self._set_entry(peer, entry, now)
        return peer

    def apply_heartbeat(self, peer, heartbeat, generation, now):
        """Stores a higher heartbeat of a peer whose entry is the same except for the generation."""
        if not peer.is_alive:
            self._mark_changed(peer)
        elif generation != peer.entry.generation:
            self._mark_changed_at_publish(peer)
        peer.entry = dataclasses.replace(peer.entry, heartbeat=heartbeat, generation=generation)
        peer.heard_at = now
        peer.is_alive = True

    def set_loads(self, peer, loads, loads_at):
        """Replaces a peer's loads with LoadEntries that were measured at ``loads_at``."""
        if loads != peer.loads:
            self._has_unpublished_changes = True
        peer.loads = loads
        peer.loads_at = loads_at

    def publish(self):
        """Raises the version if loads or generations have changed since the last call."""
        if self._has_unpublished_changes:
            self.version += 1
        self._has_unpublished_changes = False

    def merge_summary(self, summary, now):
        """Stores a ZoneSummary if its version is higher than that of the known summary."""
        zone = self.topology.zones[summary.position]
        known = self.zones.get(zone)
        if known is not None and summary.version <= known.summary.version:
            return
        self.zones[zone] = ZoneState(summary, now)
        self._has_unpublished_changes = True
        if (
            known is None
            or not known.is_alive
            or _list_unavailable(known) != _list_unavailable(summary)
        ):
            self._mark_zone_changed(zone)

    def mark_down(self, now):
        """Marks near peers and zones as down whose heartbeat or summary is overdue.

        Without a topology, peers that have been silent for FORGET_AFTER_S are removed.

        Returns:
          A list of the hosts that this call marked as down.
        """
        self._compensate_for_pause(now)
        down = []
        for host, peer in list(self.peers.items()):
            if host == self.host or not self.is_near(host):
                continue
            age = now - peer.heard_at
            if peer.is_alive and age > DOWN_AFTER_S:
                peer.is_alive = False
                self._mark_changed(peer)
                down.append(host)
            elif self.topology is None and age > FORGET_AFTER_S:
                del self.peers[host]
                self.require_full_views()
        for zone, state in self.zones.items():
            if state.is_alive and now - state.heard_at > ZONE_DOWN_AFTER_S:
                state.is_alive = False
                self._mark_zone_changed(zone)
        return down

    def bump_version(self):
        """Raises the version after a change outside this table that is visible in a view."""
        self.version += 1

    def is_near(self, host):
        """Returns True if this agent receives the host's heartbeats."""
        return self.topology is None or host in self.topology.near_set

    def is_alive(self, host):
        """Returns True if a host is alive according to its heartbeat or its zone's summary."""
        if self.is_near(host):
            peer = self.peers.get(host)
            return peer is not None and peer.is_alive
        state = self.zones.get(self.topology.zone_of.get(host))
        if state is None or not state.is_alive:
            return False
        return self.topology.positions[host] not in state.summary.down

    def list_live_hosts(self, zone):
        """Returns the live hosts of a zone in order of their ids."""
        if self.topology is None:
            members = sorted(self.peers)
            return [h for h in members if self.peers[h].entry.zone == zone and self.is_alive(h)]
        return [host for host in self.topology.zone_hosts.get(zone, ()) if self.is_alive(host)]

    def list_views(self, now, since=0):
        """Lists the hosts that changed after a version.

        Args:
          now: Monotonic seconds.
          since: An earlier ``version``; 0 lists all hosts.
        Returns:
          A tuple of PeerView.
        """
        near = [
            messages.PeerView(peer.entry, peer.is_alive, _to_ms(now - peer.heard_at))
            for host, peer in self.peers.items()
            if peer.changed_version > since and self.is_near(host)
        ]
        far = [
            self._make_far_host_view(host, now)
            for host, changed_version in self._far_changed_versions.items()
            if changed_version > since
        ]
        return tuple(near + far)

    def list_loads(self, now):
        """Returns the LoadEntries of live near hosts with their ages."""
        return tuple(
            dataclasses.replace(load, age_ms=_to_ms(now - peer.loads_at))
            for host, peer in self.peers.items()
            if peer.is_alive and self.is_near(host)
            for load in peer.loads
        )

    def list_zone_loads(self, now):
        """Returns one ZoneLoad for each zone with a live host and each of its services."""
        totals = _gossip.sum_near_loads(self, now)
        for zone, state in self.zones.items():
            if state.is_alive and zone != self.zone:
                totals += _gossip.read_zone_loads(self.topology, zone, state, now)
        return tuple(totals)

    def summarise_zone(self, now, unix):
        """Renews the summary of the own zone if this host is the zone's first live one by id.

        Args:
          now: Monotonic seconds.
          unix: Wall-clock seconds. Used as the first version, so that the summaries of a restarted
            zone supersede those from before the restart.
        """
        if self.topology is None or self.topology.is_small:
            return
        if self.list_live_hosts(self.zone)[:1] != [self.host]:
            return
        known = self.zones.get(self.zone)
        version = max(int(unix), known.summary.version + 1 if known else 0)
        summary = _gossip.summarise_zone(self, version, now)
        is_due = now - self._summarised_at >= SUMMARY_INTERVAL_S
        if is_due or known is None or _list_unavailable(known) != _list_unavailable(summary):
            self._summarised_at = now
            self.zones[self.zone] = ZoneState(summary, now)

    def _add_peer(self, entry, now):
        is_unknown = self.topology is not None and entry.host not in self.topology.zone_of
        if is_unknown or len(self.peers) >= MAX_PEERS:
            return None
        peer = Peer(entry, compute_entry_checksum(entry), now)
        self.peers[entry.host] = peer
        self._mark_changed(peer)
        return peer

    def _set_entry(self, peer, entry, now):
        checksum = compute_entry_checksum(entry)
        if checksum != peer.checksum or not peer.is_alive:
            self._mark_changed(peer)
        elif entry.generation != peer.entry.generation:
            self._mark_changed_at_publish(peer)
        peer.entry = entry
        peer.checksum = checksum
        peer.heard_at = now
        peer.is_alive = True

    def _supersede_former_incarnation(self, entry):
        # A former incarnation whose clock was ahead of the present one left a higher heartbeat.
        # Peers ignore the present entry until its heartbeat exceeds that one.
        own = self.peers[self.host]
        if entry.incarnation != own.entry.incarnation and entry.heartbeat >= own.entry.heartbeat:
            own.entry = dataclasses.replace(own.entry, heartbeat=entry.heartbeat + 1)

    def require_full_views(self):
        """Makes the next view of each daemon a full one instead of a delta."""
        self.version += 1
        self.full_view_version = self.version

    def _compensate_for_pause(self, now):
        # A paused process receives no heartbeats, so the pause must not count against the peers.
        pause = now - self._down_checked_at
        self._down_checked_at = now
        if pause > DOWN_AFTER_S / 2:
            for record in (*self.peers.values(), *self.zones.values()):
                record.heard_at += pause

    def _mark_changed(self, peer):
        self.version += 1
        peer.changed_version = self.version

    def _mark_zone_changed(self, zone):
        self.version += 1
        for host in self.topology.zone_hosts.get(zone, ()):
            if not self.is_near(host):
                self._far_changed_versions[host] = self.version

    def _mark_changed_at_publish(self, peer):
        # A new generation changes the entries of all peers within seconds. Sending a view for each
        # of these changes would cost more than all exchanges, so they wait for ``publish``.
        peer.changed_version = self.version + 1
        self._has_unpublished_changes = True

    def _make_far_host_view(self, host, now):
        zone = self.topology.zone_of[host]
        state = self.zones.get(zone)
        position = self.topology.positions[host]
        is_leaving = state is not None and position in state.summary.leaving
        life_state = (
            records.LifecycleState.LEAVING if is_leaving else records.LifecycleState.SERVING
        )
        peer = self.peers.get(host)
        generation = state.summary.generation if state else records.Generation(0)
        if peer is None:
            entry = messages.PeerEntry(host, zone, "", 0, generation, life_state, ())
        else:
            entry = dataclasses.replace(peer.entry, state=life_state, generation=generation)
        age = now - state.heard_at if state else float("inf")
        return messages.PeerView(entry, self.is_alive(host), _to_ms(min(age, 86_400.0)))


def compute_entry_checksum(entry):
    """Computes a 16-bit CRC of an entry without heartbeat and generation.

    The result is never 0, which stands for an unknown host in digests.
    """
    stable = dataclasses.replace(entry, heartbeat=0, generation=records.Generation(0))
    data = frames.pack_payload(messages.encode_message(stable))
    return zlib.crc32(data) & 0xFFFF or 1


def _list_unavailable(state):
    summary = getattr(state, "summary", state)
    return summary.down, summary.leaving


def _to_ms(seconds):
    return max(0, int(seconds * 1000))
