"""Codec of gossip datagrams: peers, heartbeats and crashes as msgpack."""

import dataclasses

import msgpack

from skylarksill import records as shared
from skylarksill.host import fields, peers, poison, records

VERSION = 5
MAX_DATAGRAM_BYTES = 16_384


class CodecError(shared.SkylarksillError):
    """A datagram is malformed or has another version."""


@dataclasses.dataclass(frozen=True, slots=True)
class Digest:
    """Contents of a datagram.

    Attributes:
      peers: List of peers.Peer with full records; their ``last_heartbeat_at`` is 0 after decoding.
      beats: List of peers.Heartbeat, the heartbeats of hosts without their records.
      crashes: List of poison.Crash.
    """

    peers: list[peers.Peer]
    beats: list[peers.Heartbeat]
    crashes: list[poison.Crash]


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
        )
        for peer in digest.peers
    ]
    beats = [
        (beat.host_id, beat.incarnation, beat.heartbeat, beat.state.value, beat.is_store_lost)
        for beat in digest.beats
    ]
    crash_items = [
        (crash.fingerprint, crash.upstream_id, crash.incarnation, int((now - crash.at) * 1000))
        for crash in digest.crashes
    ]
    return msgpack.packb((VERSION, entries, beats, crash_items))


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
        entries, beats, crash_items = rest
        return Digest(
            [_decode_peer(entry) for entry in entries],
            [_decode_heartbeat(beat) for beat in beats],
            [_decode_crash(crash, now) for crash in crash_items],
        )
    except (ValueError, TypeError, AttributeError, msgpack.exceptions.UnpackException) as error:
        raise CodecError(f"malformed datagram: {error}") from error


def _decode_peer(item):
    host_id, incarnation, zone, region, entry, gossip, heartbeat, state, *rest = item
    shares, is_store_lost = rest
    record = records.HostRecord(
        fields.check(host_id, str),
        fields.check(incarnation, int),
        fields.check(zone, str),
        fields.check(region, str),
        fields.decode_address(entry),
        fields.decode_address(gossip),
    )
    shares = {fields.check(name, str): fields.check(share, float) for name, share in shares.items()}
    if not all(0.0 <= share <= 1.0 for share in shares.values()):
        raise ValueError(f"shares {shares!r} are not between 0 and 1")
    return peers.Peer(
        record,
        fields.check(heartbeat, int),
        records.HostState(state),
        0.0,
        shares,
        fields.check(is_store_lost, bool),
    )


def _decode_heartbeat(item):
    host_id, incarnation, heartbeat, state, is_store_lost = item
    return peers.Heartbeat(
        fields.check(host_id, str),
        fields.check(incarnation, int),
        fields.check(heartbeat, int),
        records.HostState(state),
        fields.check(is_store_lost, bool),
    )


def _decode_crash(item, now):
    fingerprint, upstream_id, incarnation, age_ms = item
    return poison.Crash(
        fields.check(fingerprint, bytes),
        fields.check(upstream_id, str),
        fields.check(incarnation, int),
        now - fields.check(age_ms, int) / 1000,
    )
