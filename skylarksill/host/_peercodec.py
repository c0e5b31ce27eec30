"""Encoding of heartbeats as msgpack datagrams."""

import msgpack

from skylarksill import records as shared
from skylarksill.host import peers, records

VERSION = 2
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
    host_id, incarnation, zone, region, front, gossip, heartbeat, state, shares = entry
    record = records.HostRecord(
        _check(host_id, str),
        _check(incarnation, int),
        _check(zone, str),
        _check(region, str),
        _decode_address(front),
        _decode_address(gossip),
    )
    shares = {_check(name, str): _check(share, float) for name, share in shares.items()}
    if not all(0.0 <= share <= 1.0 for share in shares.values()):
        raise ValueError(f"shares {shares!r} are not between 0 and 1")
    return peers.Peer(record, _check(heartbeat, int), records.HostState(state), 0.0, shares)


def _decode_address(value):
    host, port = value
    return _check(host, str), _check(port, int)


def _check(value, kind):
    if not isinstance(value, kind) or isinstance(value, bool):
        raise ValueError(f"expected {kind.__name__}, got {value!r}")
    return value
