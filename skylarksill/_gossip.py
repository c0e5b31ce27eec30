"""Digests and deltas of a PeerTable, so that agents exchange only what the other lacks."""

import dataclasses
import struct
import zlib

from skylarksill import messages, records

# Full records that one delta holds at most, about 200 bytes each.
MAX_RECORDS = 512
LOAD_NUMBERS = 5
_HALF = 0x8000
_MASK = 0xFFFF


def make_digest(table, target_zone):
    """Describes what an agent knows.

    Args:
      table: The agent's PeerTable.
      target_zone: Zone of the agent that the digest is for.
    Returns:
      A PeerDigest.
    """
    topology = table.topology
    if topology is None:
        return messages.PeerDigest(0, b"", 0, b"")
    beats = zones = b""
    if topology.shares_near(table.zone, target_zone):
        beats = _pack([_get_beat(table, host) for host in topology.near])
    entries_check = zlib.crc32(_pack_entries(table, target_zone))
    if not topology.is_small:
        zones = _pack([_get_zone_version(table, zone) for zone in topology.zones])
    return messages.PeerDigest(topology.check, beats, entries_check, zones)


def answer_digest(table, digest, sender_zone, now):
    """Finds what the sender of a digest lacks and what it knows better.

    Args:
      table: The answering agent's PeerTable.
      digest: The PeerDigest of the other agent.
      sender_zone: Zone of the other agent.
      now: Monotonic seconds.
    Returns:
      A PeerDelta.
    """
    topology = table.topology
    if topology is None or digest.check != topology.check:
        return make_full_delta(table, now)
    own = make_digest(table, sender_zone)
    newer, wanted_beats = _compare_beats(topology, own.beats, digest.beats)
    newer_zones, wanted_zones = _compare_numbers(own.zones, digest.zones)
    is_same = own.entries_check == digest.entries_check
    return messages.PeerDelta(
        check=topology.check,
        beats=_pick_beats(table, newer, now),
        entries=b"" if is_same else _pack_entries(table, sender_zone),
        zones=_pick_zones(table, newer_zones, now),
        wanted_beats=wanted_beats,
        wanted_zones=tuple(wanted_zones),
    )


def make_delta(table, answer, sender_zone, now):
    """Makes the delta that another one asks for.

    Args:
      table: The agent's PeerTable.
      answer: The PeerDelta of the other agent.
      sender_zone: Zone of the other agent.
      now: Monotonic seconds.
    Returns:
      A PeerDelta, or None if the other agent lacks nothing and knows nothing better.
    """
    topology = table.topology
    if topology is None or answer.check != topology.check:
        return make_full_delta(table, now)
    newer, wanted = _compare_entries(table, _pack_entries(table, sender_zone), answer.entries)
    delta = messages.PeerDelta(
        check=topology.check,
        beats=_pick_beats(table, answer.wanted_beats, now),
        records=_pick_records(table, {*newer, *answer.wanted_records}, now),
        zones=_pick_zones(table, answer.wanted_zones, now),
        wanted_records=wanted,
    )
    return None if delta == messages.PeerDelta(topology.check) else delta


def make_full_delta(table, now):
    """Makes a delta of whole records, for an agent that knows other names."""
    check = table.topology.check if table.topology else 0
    hosts = table.topology.scope if table.topology else sorted(table.peers)
    known = [host for host in hosts if _find_peer(table, host)][:MAX_RECORDS]
    return messages.PeerDelta(check, records=tuple(_make_record(table, h, now) for h in known))


def make_own_delta(table, now):
    """Makes a delta with the own record alone."""
    check = table.topology.check if table.topology else 0
    return messages.PeerDelta(check, records=(_make_record(table, table.host, now),))


def merge_delta(table, delta, now):
    """Takes over what is newer in a delta.

    Args:
      table: The PeerTable.
      delta: A PeerDelta of another agent.
      now: Monotonic seconds.
    """
    for record in delta.records:
        peer = table.take_entry(record.entry, now)
        if peer is not None:
            age_ms = max((load.age_ms for load in record.loads), default=0)
            loads = tuple(_strip_age(load) for load in record.loads)
            table.set_loads(peer, loads, now - age_ms / 1000)
    if table.topology is None or delta.check != table.topology.check:
        return
    for beat in delta.beats:
        _merge_beat(table, beat, now)
    for summary in delta.zones:
        if 0 <= summary.position < len(table.topology.zones):
            table.take_summary(summary, now)


def sum_near_loads(table, now):
    """Returns the ZoneLoads of the near hosts."""
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
    return [messages.ZoneLoad(zone, service, *t) for (zone, service), t in totals.items()]


def read_zone_loads(topology, zone, state, now):
    """Returns the ZoneLoads of a zone's summary."""
    age_ms = state.summary.age_ms + max(0, int(1000 * (now - state.heard_at)))
    return [
        messages.ZoneLoad(zone, service, *numbers, age_ms)
        for service, numbers in _read_loads(topology, state.summary.loads)
    ]


def summarise_zone(table, version, now):
    """Makes the ZoneSummary of the own zone from the table's heartbeats."""
    topology = table.topology
    members = topology.zone_hosts[table.zone]
    known = [table.peers[host] for host in members if table.is_alive(host)]
    leaving = [p for p in known if p.entry.state is not records.LifeState.SERVING]
    loads = [load for load in sum_near_loads(table, now) if load.zone == table.zone]
    return messages.ZoneSummary(
        position=topology.zones.index(table.zone),
        version=version,
        generation=min((peer.entry.generation for peer in known), default=0),
        down=tuple(topology.positions[host] for host in members if not table.is_alive(host)),
        leaving=tuple(topology.positions[peer.entry.host] for peer in leaving),
        age_ms=max((load.age_ms for load in loads), default=0),
        loads=_flatten(topology, loads),
    )


def _compare_beats(topology, own, other):
    """Returns the positions of the beats that the other agent lacks and that the own one lacks."""
    more, fewer = _compare_numbers(own, other)
    return [
        tuple(topology.positions[topology.near[index]] for index in indexes)
        for indexes in (more, fewer)
    ]


def _compare_entries(table, own, other):
    """Returns the positions of the records to send and to ask for.

    Differing entries belong to different incarnations or states, whose low bits of the heartbeat do
    not compare. So both agents send them, and the receiver decides by the whole heartbeat.
    """
    if not other or len(own) != len(other):
        return (), ()
    topology = table.topology
    pairs = zip(topology.scope, _pair(own, other), strict=True)
    differing = [(topology.positions[h], *pair) for h, pair in pairs if pair[0] != pair[1]]
    newer = tuple(position for position, mine, _ in differing if mine)
    return newer, tuple(position for position, _, yours in differing if yours)


def _compare_numbers(own, other):
    """Compares digests by serial number arithmetic; 0 stands for unknown."""
    more, fewer = [], []
    if not own or len(own) != len(other):
        return more, fewer
    for index, (mine, yours) in enumerate(_pair(own, other)):
        if mine == yours:
            continue
        is_more = mine and (not yours or (mine - yours) & _MASK < _HALF)
        (more if is_more else fewer).append(index)
    return more, fewer


def _pick_beats(table, positions, now):
    hosts = [_get_name(table.topology.hosts, position) for position in positions]
    return tuple(_make_beat(table, host, now) for host in hosts if host in table.peers)


def _pick_records(table, positions, now):
    hosts = [_get_name(table.topology.hosts, position) for position in sorted(positions)]
    known = [host for host in hosts if host in table.peers][:MAX_RECORDS]
    return tuple(_make_record(table, host, now) for host in known)


def _pick_zones(table, positions, now):
    zones = [_get_name(table.topology.zones, position) for position in positions]
    states = [table.zones[zone] for zone in zones if zone in table.zones]
    return tuple(_age_summary(state, now) for state in states)


def _age_summary(state, now):
    age_ms = state.summary.age_ms + max(0, int(1000 * (now - state.heard_at)))
    return dataclasses.replace(state.summary, age_ms=age_ms)


def _get_name(names, position):
    """Returns the name at a position that another agent sent, or None if there is none."""
    return names[position] if 0 <= position < len(names) else None


def _make_beat(table, host, now):
    peer = table.peers[host]
    return messages.HostBeat(
        table.topology.positions[host],
        peer.check,
        peer.entry.heartbeat & _MASK,
        peer.entry.generation,
        max(0, int(1000 * (now - peer.loads_at))),
        _flatten(table.topology, peer.loads),
    )


def _make_record(table, host, now):
    peer = table.peers[host]
    age_ms = max(0, int(1000 * (now - peer.loads_at)))
    loads = tuple(dataclasses.replace(load, age_ms=age_ms) for load in peer.loads)
    return messages.PeerRecord(peer.entry, loads)


def _merge_beat(table, beat, now):
    host = _get_name(table.topology.hosts, beat.position)
    peer = table.peers.get(host)
    if peer is None or peer.check != beat.entry or host == table.host:
        return
    rise = (beat.beat - peer.entry.heartbeat) & _MASK
    if not 0 < rise < _HALF:
        return
    table.take_beat(peer, peer.entry.heartbeat + rise, beat.generation, now)
    loads = tuple(
        messages.LoadEntry(host, service, *numbers)
        for service, numbers in _read_loads(table.topology, beat.loads)
    )
    table.set_loads(peer, loads, now - beat.age_ms / 1000)


def _flatten(topology, loads):
    flat = []
    for load in loads:
        if load.service in topology.services:
            position = topology.services.index(load.service)
            flat += [position, load.slots, load.free, load.queued, load.in_flight]
    return tuple(flat)


def _read_loads(topology, flat):
    """Returns pairs of service and its numbers without the position."""
    ends = range(LOAD_NUMBERS, len(flat) + 1, LOAD_NUMBERS)
    groups = [flat[end - LOAD_NUMBERS : end] for end in ends]
    named = [(_get_name(topology.services, group[0]), group[1:]) for group in groups]
    return [(service, numbers) for service, numbers in named if service is not None]


def _strip_age(load):
    return dataclasses.replace(load, age_ms=0)


def _find_peer(table, host):
    """Returns a peer that others should hear of, or None.

    A near host that is down is left out: an agent that learned of it now would take it for alive.
    """
    peer = table.peers.get(host)
    return None if peer is None or (table.is_near(host) and not peer.is_alive) else peer


def _get_beat(table, host):
    peer = _find_peer(table, host)
    return (peer.entry.heartbeat & _MASK or 1) if peer else 0


def _get_check(table, host):
    peer = _find_peer(table, host)
    return peer.check if peer else 0


def _pack_entries(table, other_zone):
    topology = table.topology
    if not topology.shares_scope(table.zone, other_zone):
        return b""
    return _pack([_get_check(table, host) for host in topology.scope])


def _get_zone_version(table, zone):
    state = table.zones.get(zone)
    return (state.summary.version & _MASK or 1) if state else 0


def _pack(numbers):
    return struct.pack(f">{len(numbers)}H", *numbers)


def _pair(own, other):
    count = len(own) // 2
    layout = f">{count}H"
    return zip(struct.unpack(layout, own), struct.unpack(layout, other), strict=True)
