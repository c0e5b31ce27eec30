"""Codec of gossip datagrams: peers, heartbeats, crashes and blocks as msgpack.

Hosts of two versions exchange datagrams during an upgrade. Fields that are added stand behind those
of VERSION, where decoders ignore what they don't know. Decoders of before accept no further field,
so one is only sent to a host that has asked for it, by keys that other hosts ignore.
"""

import dataclasses
import struct

import msgpack

from skylarksill import records as shared
from skylarksill.host import blocks, fields, hostload, peers, poison, records, restarts

VERSION = 9
MAX_DATAGRAM_BYTES = 16_384
# Key, low bits of the heartbeat, a byte of the state's number in the low bits, a bit for a lost
# store, and the age in the high bits, and a byte of the load. The heartbeats of a datagram follow
# each other without separators.
_HEARTBEAT = struct.Struct(f">{peers.KEY_BYTES}sHBB")
_KEY = struct.Struct(f"{peers.KEY_BYTES}s")
_STATES = (records.HostState.STARTING, records.HostState.SERVING, records.HostState.LEAVING)
_STATE_MASK = 0b011
_LOST_BIT = 0b100
_AGE_SHIFT = 3
AGE_UNIT_S = 0.2
MAX_AGE_UNITS = 31
# Largest numbers that a host can pass on again.
MAX_HEARTBEAT = 2**32 - 1
MAX_AGE_MS = 10**15
# Among the wanted keys, the one before a summary of the sender's blocks. No host has it as its own.
_BLOCKS_KEY = b"\0blks"


class CodecError(shared.SkylarksillError):
    """A datagram is malformed or has another version."""


@dataclasses.dataclass(frozen=True, slots=True)
class Digest:
    """Contents of a datagram.

    Attributes:
      peers: List of peers.Peer with full records.
      beats: List of peers.Heartbeat, the heartbeats of hosts without their records.
      crashes: List of poison.Crash.
      wanted: List of keys of incarnations whose full records the sender asks for.
      restart_reports: List of restarts.RestartReport.
      block_summary: What blocks.BlockTable.summarize returns, if the sender asks for blocks that it
        doesn't know; None if it doesn't ask.
      known_blocks: List of blocks.Block if the receiver has asked for them, else None.
    """

    peers: list[peers.Peer]
    beats: list[peers.Heartbeat]
    crashes: list[poison.Crash]
    wanted: list[bytes] = dataclasses.field(default_factory=list)
    restart_reports: list[restarts.RestartReport] = dataclasses.field(default_factory=list)
    block_summary: bytes | None = None
    known_blocks: list[blocks.Block] | None = None


def encode_digest(digest, now):
    """Encodes a Digest as one datagram; ``now`` is monotonic seconds."""
    entries = [
        (
            peer.record.host_id,
            peer.record.incarnation,
            peer.record.zone,
            peer.record.region,
            peer.record.entry,
            peer.record.gossip,
            peer.heartbeat,
            peer.state.value,
            peer.spill_shares,
            peer.is_store_lost,
            _encode_age(now - peer.last_heartbeat_at),
            _encode_capacity(peer.record.capacity),
            hostload.encode_load(peer.load),
        )
        for peer in digest.peers
    ]
    beats = b"".join(_encode_heartbeat(beat) for beat in digest.beats)
    crash_items = [
        (crash.fingerprint, crash.upstream_id, crash.incarnation, int((now - crash.at) * 1000))
        for crash in digest.crashes
    ]
    restart_items = [
        (
            report.upstream_id,
            report.incarnation,
            _encode_ms(report.at, now),
            _encode_ms(report.alive_at, now),
        )
        for report in digest.restart_reports
    ]
    wanted = b"".join(digest.wanted)
    if digest.block_summary is not None:
        wanted += _BLOCKS_KEY + digest.block_summary
    content = [VERSION, entries, beats, crash_items, wanted, restart_items]
    if digest.known_blocks is not None:
        content.append([_encode_block(block, now) for block in digest.known_blocks])
    return msgpack.packb(content)


def decode_digest(datagram, now):
    """Decodes a datagram.

    Args:
      datagram: The bytes received.
      now: Monotonic seconds, used to turn the ages of crashes into times.
    Returns:
      A Digest.
    Raises:
      CodecError: If the datagram is malformed or of another version.
    """
    try:
        version, *rest = msgpack.unpackb(datagram, raw=False)
        if version != VERSION:
            raise CodecError(f"unknown version {version!r}")
        entries, beats, crash_items, wanted, restart_items, *rest = rest
        wanted, block_summary = _decode_wanted(wanted)
        return Digest(
            [_decode_peer(entry, now) for entry in entries],
            _decode_heartbeats(beats),
            [_decode_crash(crash, now) for crash in crash_items],
            wanted,
            [_decode_restart(item, now) for item in restart_items],
            block_summary,
            [_decode_block(item, now) for item in rest[0]] if rest else None,
        )
    except (
        ValueError,
        TypeError,
        AttributeError,
        IndexError,
        struct.error,
        msgpack.exceptions.UnpackException,
    ) as error:
        raise CodecError(f"malformed datagram: {error}") from error


def _decode_peer(item, now):
    host_id, incarnation, zone, region, entry, gossip, heartbeat, state, *rest = item
    shares, is_store_lost, age, capacity, load, *_ = rest
    record = records.HostRecord(
        fields.check(host_id, str),
        fields.check_range(incarnation, 0, fields.MAX_INTEGER),
        fields.check(zone, str),
        fields.check(region, str),
        fields.decode_address(entry),
        fields.decode_address(gossip),
        fields.decode_capacity(capacity),
    )
    shares = {fields.check(name, str): fields.check(share, float) for name, share in shares.items()}
    if not all(0.0 <= share <= 1.0 for share in shares.values()):
        raise ValueError(f"shares {shares!r} are not between 0 and 1")
    return peers.Peer(
        record,
        fields.check_range(heartbeat, 0, MAX_HEARTBEAT),
        records.HostState(state),
        now - _decode_age(age),
        shares,
        fields.check(is_store_lost, bool),
        load=hostload.decode_load(load),
    )


def _encode_capacity(capacity):
    return dataclasses.astuple(capacity) if capacity else None


def _encode_heartbeat(beat):
    flags = _STATES.index(beat.state) | (_LOST_BIT if beat.is_store_lost else 0)
    flags |= _encode_age(beat.age_s) << _AGE_SHIFT
    return _HEARTBEAT.pack(beat.key, beat.heartbeat % peers.HEARTBEAT_CYCLE, flags, beat.load_byte)


def _decode_heartbeats(data):
    return [
        peers.Heartbeat(
            key,
            heartbeat,
            _STATES[flags & _STATE_MASK],
            bool(flags & _LOST_BIT),
            _decode_age(flags >> _AGE_SHIFT),
            load_byte,
        )
        for key, heartbeat, flags, load_byte in _HEARTBEAT.iter_unpack(fields.check(data, bytes))
    ]


def _encode_age(age_s):
    return min(MAX_AGE_UNITS, max(0, round(age_s / AGE_UNIT_S)))


def _decode_age(age):
    if not 0 <= fields.check(age, int) <= MAX_AGE_UNITS:
        raise ValueError(f"age {age} is out of range")
    return age * AGE_UNIT_S


def _encode_ms(at, now):
    return int((now - at) * 1000)


def _decode_ms(age_ms):
    return fields.check_range(age_ms, -MAX_AGE_MS, MAX_AGE_MS) / 1000


def _decode_restart(item, now):
    upstream_id, incarnation, age_ms, alive_age_ms, *_ = item
    return restarts.RestartReport(
        fields.check(upstream_id, str),
        fields.check_integer(incarnation),
        now - _decode_ms(age_ms),
        now - _decode_ms(alive_age_ms),
    )


def _decode_crash(item, now):
    fingerprint, upstream_id, incarnation, age_ms, *_ = item
    return poison.Crash(
        fields.check(fingerprint, bytes),
        fields.check(upstream_id, str),
        fields.check_integer(incarnation),
        now - _decode_ms(age_ms),
    )


def _decode_wanted(wanted):
    """Returns the keys of the wanted records, and the summary of blocks or None."""
    keys = [key for (key,) in _KEY.iter_unpack(fields.check(wanted, bytes))]
    if len(keys) >= 2 and keys[-2] == _BLOCKS_KEY:
        return keys[:-2], keys[-1]
    return keys, None


def _encode_block(block, now):
    answered_at = block.answered_at
    answered_ms = None if answered_at == float("-inf") else _encode_ms(answered_at, now)
    return block.fingerprint, block.round, _encode_ms(block.began_at, now), answered_ms


def _decode_block(item, now):
    fingerprint, block_round, age_ms, answered_ms, *_ = item
    return blocks.Block(
        fields.check(fingerprint, bytes),
        fields.check_range(block_round, 1, blocks.MAX_ROUND),
        now - _decode_ms(age_ms),
        float("-inf") if answered_ms is None else now - _decode_ms(answered_ms),
    )
