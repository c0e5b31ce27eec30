"""Anti-entropy for a PeerTable: digests and deltas, so that agents exchange only differences.

An agent sends a digest. The other agent answers with a delta of what the sender lacks and a list of
what it wants itself, which the sender provides in a second delta.
"""

import dataclasses
import struct
import zlib

from skylarksill import messages, records

# Full records are about 200 bytes each.
MAX_RECORDS_PER_DELTA = 512
NUMBERS_PER_LOAD = 5
_HALF_RANGE = 0x8000
_SERIAL_MASK = 0xFFFF


def make_digest(table, target_zone):
    """Makes a digest of an agent's table.

    Args:
      table: The agent's PeerTable.
      target_zone: Zone of the agent that the digest is sent to.
    Returns:
      A PeerDigest.
    """
    topology = table.topology
    if topology is None:
        return messages.PeerDigest(0, b"", 0, b"")
    beats = zones = b""
    if topology.shares_near(table.zone, target_zone):
        beats = _pack_numbers([_get_heartbeat_number(table, host) for host in topology.near])
    entries_check = zlib.crc32(_pack_entry_checksums(table, target_zone))
    if not topology.is_small:
        zones = _pack_numbers([_get_summary_number(table, zone) for zone in topology.zones])
    return messages.PeerDigest(topology.checksum, beats, entries_check, zones)


def answer_digest(table, digest, sender_zone, now):
    """Makes a delta of what the sender of a digest lacks, with what it knows better as wanted.

    Args:
      table: The answering agent's PeerTable.
      digest: The PeerDigest of the sender.
      sender_zone: Zone of the sender.
      now: Monotonic seconds.
    Returns:
      A PeerDelta. It holds full records if the two agents have different topologies.
    """
    topology = table.topology
    if topology is None or digest.checksum != topology.checksum:
        return make_full_delta(table, now)
    own = make_digest(table, sender_zone)
    newer, wanted_beats = _compare_heartbeats(topology, own.beats, digest.beats)
    newer_zones, wanted_zones = _compare_serial_numbers(own.zones, digest.zones)
    is_same = own.entries_check == digest.entries_check
    return messages.PeerDelta(
        checksum=topology.checksum,
        beats=_pick_beats(table, newer, now),
        entries=b"" if is_same else _pack_entry_checksums(table, sender_zone),
        zones=_pick_zones(table, newer_zones, now),
        wanted_beats=wanted_beats,
        wanted_zones=tuple(wanted_zones),
    )


def make_delta(table, answer, sender_zone, now):
    """Makes the delta that another agent's delta asks for.

    Args:
      table: The agent's PeerTable.
      answer: The PeerDelta of the other agent.
      sender_zone: Zone of the other agent.
      now: Monotonic seconds.
    Returns:
      A PeerDelta, or None if there is nothing to send and nothing to ask for.
    """
    topology = table.topology
    if topology is None or answer.checksum != topology.checksum:
        return make_full_delta(table, now)
    newer, wanted = _compare_entries(
        table, _pack_entry_checksums(table, sender_zone), answer.entries
    )
    delta = messages.PeerDelta(
        checksum=topology.checksum,
        beats=_pick_beats(table, answer.wanted_beats, now),
        records=_pick_records(table, {*newer, *answer.wanted_records}, now),
        zones=_pick_zones(table, answer.wanted_zones, now),
        wanted_records=wanted,
    )
    return None if delta == messages.PeerDelta(topology.checksum) else delta


def make_full_delta(table, now):
    """Makes a delta of full records, for an agent whose topology differs."""
    checksum = table.topology.checksum if table.topology else 0
    hosts = table.topology.scope if table.topology else sorted(table.peers)
    known = [host for host in hosts if _find_reportable_peer(table, host)][:MAX_RECORDS_PER_DELTA]
    return messages.PeerDelta(checksum, records=tuple(_make_record(table, h, now) for h in known))


def make_own_delta(table, now):
    """Makes a delta with only the record of this agent's host."""
    checksum = table.topology.checksum if table.topology else 0
    return messages.PeerDelta(checksum, records=(_make_record(table, table.host, now),))


def merge_delta(table, delta, now):
    """Merges the newer parts of a delta into a table.

    Args:
      table: The PeerTable.
      delta: A PeerDelta of another agent.
      now: Monotonic seconds.
    """
    for record in delta.records:
        peer = table.merge_entry(record.entry, now)
        if peer is not None:
            age_ms = max((load.age_ms for load in record.loads), default=0)
            loads = tuple(_strip_age(load) for load in record.loads)
            table.set_loads(peer, loads, now - age_ms / 1000)
    if table.topology is None or delta.checksum != table.topology.checksum:
        return
    for beat in delta.beats:
        _merge_beat(table, beat, now)
    for summary in delta.zones:
        if 0 <= summary.position < len(table.topology.zones):
            table.merge_summary(summary, now)


def sum_near_loads(table, now):
    """Returns the loads of the live near hosts, summed as one ZoneLoad per zone and service."""
    totals = {}
    for peer in table.peers.values():
        if not peer.is_alive or not table.is_near(peer.entry.host):
            continue
        age_ms = max(0, int(1000 * (now - peer.loads_at)))
        for load in peer.loads:
            total = totals.setdefault((peer.entry.zone, load.service), [0, 0, 0, 0, 0])
            numbers = (load.slots, load.free, load.queued, load.in_flight)
            total[:4] = [old + new for old, new in zip(total[:4], numbers, strict=True)]
            total[4] = max(total[4], age_ms)
    return [
        messages.ZoneLoad(zone, service, *total_numbers)
        for (zone, service), total_numbers in totals.items()
    ]


def read_zone_loads(topology, zone, state, now):
    """Returns the ZoneLoads in a zone's summary, aged to ``now``."""
    age_ms = state.summary.age_ms + max(0, int(1000 * (now - state.heard_at)))
    return [
        messages.ZoneLoad(zone, service, *numbers, age_ms)
        for service, numbers in _unflatten_loads(topology, state.summary.loads)
    ]


def summarise_zone(table, version, now):
    """Makes the ZoneSummary of the table's own zone from the hosts' entries and loads."""
    topology = table.topology
    members = topology.zone_hosts[table.zone]
    live = [table.peers[host] for host in members if table.is_alive(host)]
    leaving = [p for p in live if p.entry.state is not records.LifecycleState.SERVING]
    loads = [load for load in sum_near_loads(table, now) if load.zone == table.zone]
    return messages.ZoneSummary(
        position=topology.zones.index(table.zone),
        version=version,
        generation=min((peer.entry.generation for peer in live), default=0),
        down=tuple(topology.positions[host] for host in members if not table.is_alive(host)),
        leaving=tuple(topology.positions[peer.entry.host] for peer in leaving),
        age_ms=max((load.age_ms for load in loads), default=0),
        loads=_flatten_loads(topology, loads),
    )


def _compare_heartbeats(topology, own, other):
    """Returns the positions of hosts with a newer own heartbeat and of hosts with an older one."""
    newer, older = _compare_serial_numbers(own, other)
    return [
        tuple(topology.positions[topology.near[index]] for index in indexes)
        for indexes in (newer, older)
    ]


def _compare_entries(table, own, other):
    """Returns the positions of the records to send and to ask for.

    Entries that differ belong to different incarnations or states, which the low bits of their
    heartbeats cannot order. So both agents send them, and the receiver compares full heartbeats.
    """
    if not other or len(own) != len(other):
        return (), ()
    topology = table.topology
    pairs = zip(topology.scope, _unpack_pairs(own, other), strict=True)
    differing = [(topology.positions[h], *pair) for h, pair in pairs if pair[0] != pair[1]]
    newer = tuple(position for position, own_checksum, _ in differing if own_checksum)
    return newer, tuple(position for position, _, other_checksum in differing if other_checksum)


def _compare_serial_numbers(own, other):
    """Returns the indexes at which ``own`` is newer and older, by serial number arithmetic.

    Numbers wrap around at 16 bits; 0 stands for an unknown host or zone.
    """
    newer, older = [], []
    if not own or len(own) != len(other):
        return newer, older
    for index, (own_number, other_number) in enumerate(_unpack_pairs(own, other)):
        if own_number == other_number:
            continue
        is_newer = own_number and (
            not other_number or (own_number - other_number) & _SERIAL_MASK < _HALF_RANGE
        )
        (newer if is_newer else older).append(index)
    return newer, older


def _pick_beats(table, positions, now):
    hosts = [_get_name_at(table.topology.hosts, position) for position in positions]
    return tuple(_make_beat(table, host, now) for host in hosts if host in table.peers)


def _pick_records(table, positions, now):
    hosts = [_get_name_at(table.topology.hosts, position) for position in sorted(positions)]
    known = [host for host in hosts if host in table.peers][:MAX_RECORDS_PER_DELTA]
    return tuple(_make_record(table, host, now) for host in known)


def _pick_zones(table, positions, now):
    zones = [_get_name_at(table.topology.zones, position) for position in positions]
    states = [table.zones[zone] for zone in zones if zone in table.zones]
    return tuple(_make_aged_summary(state, now) for state in states)


def _make_aged_summary(state, now):
    age_ms = state.summary.age_ms + max(0, int(1000 * (now - state.heard_at)))
    return dataclasses.replace(state.summary, age_ms=age_ms)


def _get_name_at(names, position):
    """Returns the name at a position that another agent sent, or None if it is out of range."""
    return names[position] if 0 <= position < len(names) else None


def _make_beat(table, host, now):
    peer = table.peers[host]
    return messages.HostHeartbeat(
        table.topology.positions[host],
        peer.checksum,
        peer.entry.heartbeat & _SERIAL_MASK,
        peer.entry.generation,
        max(0, int(1000 * (now - peer.loads_at))),
        _flatten_loads(table.topology, peer.loads),
    )


def _make_record(table, host, now):
    peer = table.peers[host]
    age_ms = max(0, int(1000 * (now - peer.loads_at)))
    loads = tuple(dataclasses.replace(load, age_ms=age_ms) for load in peer.loads)
    return messages.PeerRecord(peer.entry, loads)


def _merge_beat(table, beat, now):
    host = _get_name_at(table.topology.hosts, beat.position)
    peer = table.peers.get(host)
    if peer is None or peer.checksum != beat.entry or host == table.host:
        return
    rise = (beat.beat - peer.entry.heartbeat) & _SERIAL_MASK
    if not 0 < rise < _HALF_RANGE:
        return
    table.apply_heartbeat(peer, peer.entry.heartbeat + rise, beat.generation, now)
    loads = tuple(
        messages.LoadEntry(host, service, *numbers)
        for service, numbers in _unflatten_loads(table.topology, beat.loads)
    )
    table.set_loads(peer, loads, now - beat.age_ms / 1000)


def _flatten_loads(topology, loads):
    flat = []
    for load in loads:
        if load.service in topology.services:
            position = topology.services.index(load.service)
            flat += [position, load.slots, load.free, load.queued, load.in_flight]
    return tuple(flat)


def _unflatten_loads(topology, flat):
    """Returns pairs of a service and its numbers; unknown services are left out."""
    ends = range(NUMBERS_PER_LOAD, len(flat) + 1, NUMBERS_PER_LOAD)
    groups = [flat[end - NUMBERS_PER_LOAD : end] for end in ends]
    named = [(_get_name_at(topology.services, group[0]), group[1:]) for group in groups]
    return [(service, numbers) for service, numbers in named if service is not None]


def _strip_age(load):
    return dataclasses.replace(load, age_ms=0)


def _find_reportable_peer(table, host):
    """Returns a peer that may be reported to other agents, or None.

    A near host that is down is not reported: an agent that does not know it yet would add it as
    alive.
    """
    peer = table.peers.get(host)
    return None if peer is None or (table.is_near(host) and not peer.is_alive) else peer


def _get_heartbeat_number(table, host):
    peer = _find_reportable_peer(table, host)
    return (peer.entry.heartbeat & _SERIAL_MASK or 1) if peer else 0


def _get_entry_checksum(table, host):
    peer = _find_reportable_peer(table, host)
    return peer.checksum if peer else 0


def _pack_entry_checksums(table, other_zone):
    topology = table.topology
    if not topology.shares_scope(table.zone, other_zone):
        return b""
    return _pack_numbers([_get_entry_checksum(table, host) for host in topology.scope])


def _get_summary_number(table, zone):
    state = table.zones.get(zone)
    return (state.summary.version & _SERIAL_MASK or 1) if state else 0


def _pack_numbers(numbers):
    return struct.pack(f">{len(numbers)}H", *numbers)


def _unpack_pairs(own, other):
    count = len(own) // 2
    layout = f">{count}H"
    return zip(struct.unpack(layout, own), struct.unpack(layout, other), strict=True)
