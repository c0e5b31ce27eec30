"""Authenticated msgpack frames on the streams between processes of a deployment.

A frame consists of a 4-byte payload length, an 8-byte sequence number, a 16-byte truncated
HMAC-SHA-256 and a msgpack payload. Each direction of a connection has its own key, derived from the
shared key and the nonces of both sides, so frames cannot be forged, replayed, reordered or
reflected to their sender.
"""

import hashlib
import hmac
import struct

import msgpack

from skylarksill import records

PROTOCOL_VERSION = 1
MAX_FRAME_BYTES = 2 * 1024 * 1024
MAC_BYTES = 16
NONCE_BYTES = 16

_HEADER = struct.Struct(">IQ")


class FrameError(records.SkylarksillError):
    """A frame is malformed, forged, replayed or too long; the connection must be closed."""


class StreamEndError(records.SkylarksillError):
    """The stream ended or the handshake timed out, possibly in the middle of a frame."""


def derive_key(shared_key, client_nonce, server_nonce, direction):
    """Derives the key of one direction of a connection.

    Args:
      shared_key: The deployment's shared key, as bytes.
      client_nonce: Random bytes chosen by the connecting side.
      server_nonce: Random bytes chosen by the accepting side.
      direction: b"client" for frames from the connecting side, else b"server".
    Returns:
      A 32-byte key.
    """
    message = b"skylarksill frame key" + direction + client_nonce + server_nonce
    return hmac.digest(shared_key, message, "sha256")


def pack_payload(value):
    """Encodes a value made of maps, lists, strings, bytes and numbers as msgpack."""
    return msgpack.packb(value, use_bin_type=True)


def unpack_payload(payload):
    """Decodes a msgpack payload.

    Raises:
      FrameError: If the payload is not exactly one complete msgpack value.
    """
    try:
        return msgpack.unpackb(payload, raw=False, strict_map_key=False)
    except (ValueError, msgpack.exceptions.UnpackException) as error:
        raise FrameError(f"malformed msgpack payload: {error}") from error


class FrameWriter:
    """Encodes the frames of one direction of a connection."""

    def __init__(self, key):
        self._key = key
        self._sequence = 0

    def encode(self, value):
        """Encodes the next frame.

        Returns:
          The bytes of the frame.
        Raises:
          FrameError: If the encoded value is longer than MAX_FRAME_BYTES.
        """
        payload = pack_payload(value)
        if len(payload) > MAX_FRAME_BYTES:
            raise FrameError(f"frame of {len(payload)} bytes exceeds {MAX_FRAME_BYTES} bytes")
        header = _HEADER.pack(len(payload), self._sequence)
        self._sequence += 1
        return header + _compute_mac(self._key, header, payload) + payload


class FrameReader:
    """Decodes the frames of one direction of a connection.

    Args:
      key: The key of this direction.
      read_exactly: Function of a byte count that returns that many bytes or raises StreamEndError.
    """

    def __init__(self, key, read_exactly):
        self._key = key
        self._read_exactly = read_exactly
        self._sequence = 0

    def read(self):
        """Reads and authenticates the next frame.

        Returns:
          The decoded value.
        Raises:
          FrameError: If the frame is forged, out of order, too long or malformed.
          StreamEndError: If the stream ends before the frame does.
        """
        header = self._read_exactly(_HEADER.size)
        length, sequence = _HEADER.unpack(header)
        if length > MAX_FRAME_BYTES:
            raise FrameError(f"frame of {length} bytes exceeds {MAX_FRAME_BYTES} bytes")
        mac = self._read_exactly(MAC_BYTES)
        payload = self._read_exactly(length)
        if not hmac.compare_digest(mac, _compute_mac(self._key, header, payload)):
            raise FrameError("frame has a wrong authentication code")
        if sequence != self._sequence:
            raise FrameError(f"frame has sequence number {sequence}, expected {self._sequence}")
        self._sequence += 1
        return unpack_payload(payload)


def _compute_mac(key, header, payload):
    code = hmac.new(key, header, hashlib.sha256)
    code.update(payload)
    return code.digest()[:MAC_BYTES]
