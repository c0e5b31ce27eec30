"""Table of the hosts that an agent knows of, as heartbeats of the hosts' agents report them.

A host is judged by the time since its heartbeat last rose, so no clocks are compared. Hosts that
are not near (see ``_topology``) are judged by their own zone, whose summary is passed on.
"""

import dataclasses
import zlib

from skylarksill import _gossip, _peerchoice, _topology, frames, messages, records

DOWN_AFTER_S = 3.0
# Summaries are 4 s apart at rest and take some rounds to reach all zones.
ZONE_DOWN_AFTER_S = 15.0
SUMMARY_INTERVAL_S = 4.0
FORGET_AFTER_S = 60.0
# Bounds the table of an agent that has no configuration to name the hosts.
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
      check: 16-bit CRC of the entry without heartbeat and generation.
      heard_at: Time of the last rise of its heartbeat.
      is_alive: False after DOWN_AFTER_S without a rise.
      loads: LoadEntries without age, in the order of the services.
      loads_at: Time that the loads are of.
      changed: Version of the table at the last change of anything but heartbeat and loads.
    """

    entry: messages.PeerEntry
    check: int
    heard_at: float
    is_alive: bool = True
    loads: tuple[messages.LoadEntry, ...] = ()
    loads_at: float = 0.0
    changed: int = 1


@dataclasses.dataclass(slots=True)
class ZoneState:
    """The last summary of a zone that is not near."""

    summary: messages.ZoneSummary
    heard_at: float
    is_alive: bool = True


class PeerTable:
    """State of membership of one agent.

    Args:
      entry: The own PeerEntry.
      now: Monotonic seconds.

    Attributes:
      version: Rises with each change that a view shows.
      whole_version: A view older than this version names hosts that are forgotten.
      topology: The Topology, or None without a configuration.
      peers: Dict of Peer by host, with the own host.
      zones: Dict of ZoneState by zone.
    """

    def __init__(self, entry, now):
        self.host = entry.host
        self.zone = entry.zone
        self.version = 1
        self.whole_version = 1
        self._has_unpublished = False
        self.topology = None
        self.peers = {entry.host: Peer(entry, compute_entry_check(entry), now, loads_at=now)}
        self.zones = {}
        self._far_changed = {}
        self._summarised_at = float("-inf")
        self._checked_at = now

    @property
    def own(self):
        """The own PeerEntry."""
        return self.peers[self.host].entry

    def set_topology(self, topology):
        """Takes over the names of a new configuration and forgets hosts that it does not name."""
        self.topology = topology
        for host in [host for host in self.peers if host not in topology.zone_of]:
            if host != self.host:
                del self.peers[host]
        self.zones = {zone: state for zone, state in self.zones.items() if zone in topology.zones}
        self._far_changed = {h: v for h, v in self._far_changed.items() if h in topology.zone_of}
        self.require_whole_views()

    def beat(self, now, loads=(), **fields):
        """Raises the own heartbeat.

        Args:
          now: Monotonic seconds.
          loads: LoadEntries of the own host.
          fields: Fields of the own PeerEntry that change, for example ``state``.
        """
        peer = self.peers[self.host]
        entry = dataclasses.replace(peer.entry, heartbeat=peer.entry.heartbeat + 1, **fields)
        self._set_entry(peer, entry, now)
        self.set_loads(peer, tuple(loads), now)

    def take_entry(self, entry, now):
        """Takes over an entry if its heartbeat is higher than the known one.

        Args:
          entry: A PeerEntry from another agent.
          now: Monotonic seconds.
        Returns:
          The Peer if the entry was new, else None.
        """
        if entry.host == self.host:
            self._outbid(entry)
            return None
        peer = self.peers.get(entry.host)
        if peer is None:
            return self._add_peer(entry, now)
        if entry.heartbeat <= peer.entry.heartbeat:
            return None
        self._set_entry(peer, entry, now)
        return peer

    def take_beat(self, peer, heartbeat, generation, now):
        """Takes over a higher heartbeat of a peer whose entry is otherwise the same."""
        if not peer.is_alive:
            self._mark_changed(peer)
        elif generation != peer.entry.generation:
            self._mark_at_publication(peer)
        peer.entry = dataclasses.replace(peer.entry, heartbeat=heartbeat, generation=generation)
        peer.heard_at = now
        peer.is_alive = True

    def set_loads(self, peer, loads, loads_at):
        """Replaces a peer's loads by LoadEntries that were measured at ``loads_at``."""
        if loads != peer.loads:
            self._has_unpublished = True
        peer.loads = loads
        peer.loads_at = loads_at

    def publish(self):
        """Raises the version if loads or generations have changed since the last time."""
        if self._has_unpublished:
            self.version += 1
        self._has_unpublished = False

    def take_summary(self, summary, now):
        """Takes over a ZoneSummary if its version is higher than the known one."""
        zone = self.topology.zones[summary.position]
        known = self.zones.get(zone)
        if known is not None and summary.version <= known.summary.version:
            return
        self.zones[zone] = ZoneState(summary, now)
        self._has_unpublished = True
        if known is None or not known.is_alive or _list_absent(known) != _list_absent(summary):
            self._mark_zone(zone)

    def mark_down(self, now):
        """Marks near peers and zones down whose heartbeat or summary has not risen in time.

        Returns:
          A list of the hosts that are now down.
        """
        self._excuse_pause(now)
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
                self.require_whole_views()
        for zone, state in self.zones.items():
            if state.is_alive and now - state.heard_at > ZONE_DOWN_AFTER_S:
                state.is_alive = False
                self._mark_zone(zone)
        return down

    def touch(self):
        """Raises the version after a change outside the table that a view shows."""
        self.version += 1

    def is_near(self, host):
        """Says whether a host's heartbeats come to this agent."""
        return self.topology is None or host in self.topology.near_set

    def is_alive(self, host):
        """Says whether a host is alive, as its heartbeat or its zone's summary says."""
        if self.is_near(host):
            peer = self.peers.get(host)
            return peer is not None and peer.is_alive
        state = self.zones.get(self.topology.zone_of.get(host))
        if state is None or not state.is_alive:
            return False
        return self.topology.positions[host] not in state.summary.down

    def list_living(self, zone):
        """Returns the living hosts of a zone in order of their ids."""
        if self.topology is None:
            members = sorted(self.peers)
            return [h for h in members if self.peers[h].entry.zone == zone and self.is_alive(h)]
        return [host for host in self.topology.zone_hosts.get(zone, ()) if self.is_alive(host)]

    def list_views(self, now, since=0):
        """Lists the hosts that changed after a version.

        Args:
          now: Monotonic seconds.
          since: A former ``version``; 0 lists all.
        Returns:
          A tuple of PeerView.
        """
        near = [
            messages.PeerView(peer.entry, peer.is_alive, _to_ms(now - peer.heard_at))
            for host, peer in self.peers.items()
            if peer.changed > since and self.is_near(host)
        ]
        far = [
            self._view_far_host(host, now)
            for host, changed in self._far_changed.items()
            if changed > since
        ]
        return tuple(near + far)

    def list_loads(self, now):
        """Returns the LoadEntries of living near hosts with their ages."""
        return tuple(
            dataclasses.replace(load, age_ms=_to_ms(now - peer.loads_at))
            for host, peer in self.peers.items()
            if peer.is_alive and self.is_near(host)
            for load in peer.loads
        )

    def list_zone_loads(self, now):
        """Returns one ZoneLoad for each zone with a living host and each of its services."""
        totals = _gossip.sum_near_loads(self, now)
        for zone, state in self.zones.items():
            if state.is_alive and zone != self.zone:
                totals += _gossip.read_zone_loads(self.topology, zone, state, now)
        return tuple(totals)

    def summarise_zone(self, now, unix):
        """Renews the own zone's summary if this host is the zone's lowest living one.

        Args:
          now: Monotonic seconds.
          unix: Wall-clock seconds; the first version, so that a restarted zone supersedes itself.
        """
        if self.topology is None or self.topology.is_small:
            return
        if self.list_living(self.zone)[:1] != [self.host]:
            return
        known = self.zones.get(self.zone)
        version = max(int(unix), known.summary.version + 1 if known else 0)
        summary = _gossip.summarise_zone(self, version, now)
        is_due = now - self._summarised_at >= SUMMARY_INTERVAL_S
        if is_due or known is None or _list_absent(known) != _list_absent(summary):
            self._summarised_at = now
            self.zones[self.zone] = ZoneState(summary, now)

    def _add_peer(self, entry, now):
        is_unknown = self.topology is not None and entry.host not in self.topology.zone_of
        if is_unknown or len(self.peers) >= MAX_PEERS:
            return None
        peer = Peer(entry, compute_entry_check(entry), now)
        self.peers[entry.host] = peer
        self._mark_changed(peer)
        return peer

    def _set_entry(self, peer, entry, now):
        check = compute_entry_check(entry)
        if check != peer.check or not peer.is_alive:
            self._mark_changed(peer)
        elif entry.generation != peer.entry.generation:
            self._mark_at_publication(peer)
        peer.entry = entry
        peer.check = check
        peer.heard_at = now
        peer.is_alive = True

    def _outbid(self, entry):
        # A former incarnation with a clock ahead of this one left a higher heartbeat behind.
        own = self.peers[self.host]
        if entry.incarnation != own.entry.incarnation and entry.heartbeat >= own.entry.heartbeat:
            own.entry = dataclasses.replace(own.entry, heartbeat=entry.heartbeat + 1)

    def require_whole_views(self):
        """Makes all views be sent anew."""
        self.version += 1
        self.whole_version = self.version

    def _excuse_pause(self, now):
        # While this process is paused no peer can be heard, which says nothing about the peers.
        pause = now - self._checked_at
        self._checked_at = now
        if pause > DOWN_AFTER_S / 2:
            for record in (*self.peers.values(), *self.zones.values()):
                record.heard_at += pause

    def _mark_changed(self, peer):
        self.version += 1
        peer.changed = self.version

    def _mark_zone(self, zone):
        self.version += 1
        for host in self.topology.zone_hosts.get(zone, ()):
            if not self.is_near(host):
                self._far_changed[host] = self.version

    def _mark_at_publication(self, peer):
        # Each new generation changes all peers within seconds; one view for each would cost more
        # than all exchanges.
        peer.changed = self.version + 1
        self._has_unpublished = True

    def _view_far_host(self, host, now):
        zone = self.topology.zone_of[host]
        state = self.zones.get(zone)
        position = self.topology.positions[host]
        is_leaving = state is not None and position in state.summary.leaving
        life = records.LifeState.LEAVING if is_leaving else records.LifeState.SERVING
        peer = self.peers.get(host)
        generation = state.summary.generation if state else records.Generation(0)
        if peer is None:
            entry = messages.PeerEntry(host, zone, "", 0, generation, life, ())
        else:
            entry = dataclasses.replace(peer.entry, state=life, generation=generation)
        age = now - state.heard_at if state else float("inf")
        return messages.PeerView(entry, self.is_alive(host), _to_ms(min(age, 86_400.0)))


def compute_entry_check(entry):
    """Computes the 16-bit CRC of what seldom changes in an entry; never 0."""
    stable = dataclasses.replace(entry, heartbeat=0, generation=records.Generation(0))
    data = frames.pack_payload(messages.encode_message(stable))
    return zlib.crc32(data) & 0xFFFF or 1


def _list_absent(state):
    summary = getattr(state, "summary", state)
    return summary.down, summary.leaving


def _to_ms(seconds):
    return max(0, int(seconds * 1000))
