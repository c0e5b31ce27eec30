"""Encoding of heartbeats as msgpack datagrams."""

import msgpack

from skylarksill import records as shared
from skylarksill.host import fields, peers, records

VERSION = 3
MAX_DATAGRAM_BYTES = 16_384


class CodecError(shared.SkylarksillError):
    """A datagram is not a list of heartbeats."""


def encode_digest(peers):
    """Encodes Peers as one datagram."""
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
        for peer in peers
    ]
    return msgpack.packb((VERSION, entries))


def decode_digest(datagram):
    """Decodes a datagram.

    Returns:
      A list of peers.Peer, heard at 0.
    Raises:
      CodecError: If the datagram is malformed or of another version.
    """
    try:
        version, entries = msgpack.unpackb(datagram, raw=False)
        if version != VERSION:
            raise CodecError(f"unknown version {version!r}")
        return [_decode_entry(entry) for entry in entries]
    except (ValueError, TypeError, AttributeError, msgpack.exceptions.UnpackException) as error:
        raise CodecError(f"malformed datagram: {error}") from error


def _decode_entry(entry):
    host_id, incarnation, zone, region, front, gossip, heartbeat, state, *rest = entry
    shares, is_store_lost = rest
    record = records.HostRecord(
        fields.check(host_id, str),
        fields.check(incarnation, int),
        fields.check(zone, str),
        fields.check(region, str),
        fields.decode_address(front),
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
