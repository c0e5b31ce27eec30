"""Keys with which the hosts of a deployment authenticate what they send to each other.

A message is sealed with the first key and accepted with any of them, so a key is replaced without
a gap in three steps: add the new key behind the old one on all hosts, move it to the front, and
remove the old one. Without keys nothing is authenticated.
"""

import dataclasses
import hmac
import re
import secrets
import typing

import msgpack

from skylarksill import records as shared

KeyId = typing.NewType("KeyId", str)

KEY_ID_FORM = re.compile(r"[a-z0-9][a-z0-9-]{0,15}")
# Length of a key, which is that of the output of the hash function.
KEY_BYTES = 32
MAX_KEYS = 4
TAG_BYTES = 16


class KeyringError(shared.SkylarksillError):
    """A keyring is malformed."""


class SealError(shared.SkylarksillError):
    """A message is not sealed with a known key for the place where it arrived."""


@dataclasses.dataclass(frozen=True, slots=True)
class Keyring:
    """The keys of a deployment.

    Attributes:
      keys: Pairs of KeyId and key; the first key seals. The keys are left out of the text form.
    """

    keys: tuple[tuple[KeyId, bytes], ...] = dataclasses.field(default=(), repr=False)

    @property
    def ids(self):
        """The ids of the keys, the sealing one first."""
        return tuple(key_id for key_id, _ in self.keys)


def parse_keys(pairs):
    """Parses the keys of a deployment.

    Args:
      pairs: Pairs of the id of a key and its bytes as hexadecimal digits, the sealing key first.
    Returns:
      A Keyring.
    Raises:
      KeyringError: If a key is malformed, or there are too many; the message names the key.
    """
    keys = tuple((KeyId(key_id), _parse_key(key_id, text)) for key_id, text in pairs)
    if len({key for _, key in keys}) != len(keys):
        raise KeyringError("two ids have the same key; generate a new key for one of them")
    return _make_ring(keys)


def add_key(ring, key_id):
    """Returns a Keyring with a new random key behind the others; raises KeyringError."""
    if key_id in ring.ids:
        raise KeyringError(f"there is a key {key_id} already")
    _check_id(key_id)
    return _make_ring((*ring.keys, (KeyId(key_id), secrets.token_bytes(KEY_BYTES))))


def promote_key(ring, key_id):
    """Returns a Keyring whose sealing key is the given one; raises KeyringError."""
    key = _find_key(ring, key_id)
    return _make_ring(((key_id, key), *(item for item in ring.keys if item[0] != key_id)))


def remove_key(ring, key_id):
    """Returns a Keyring without a key, which must not be the sealing one; raises KeyringError."""
    _find_key(ring, key_id)
    if key_id == ring.ids[0]:
        raise KeyringError(f"key {key_id} seals; promote another one on all hosts first")
    return _make_ring(tuple(item for item in ring.keys if item[0] != key_id))


def _find_key(ring, key_id):
    if key_id not in ring.ids:
        raise KeyringError(f"there is no key {key_id}; the keys are {', '.join(ring.ids)}")
    return dict(ring.keys)[key_id]


def _make_ring(keys):
    if not 1 <= len(keys) <= MAX_KEYS:
        raise KeyringError(f"{len(keys)} keys are given; use 1 to {MAX_KEYS}")
    return Keyring(keys)


def _check_id(key_id):
    if not KEY_ID_FORM.fullmatch(key_id):
        raise KeyringError(f"key id {key_id!r} is not of 1 to 16 lower-case letters, digits and -")


def _parse_key(key_id, text):
    _check_id(key_id)
    try:
        key = bytes.fromhex(text)
    except ValueError as error:
        raise KeyringError(f"key {key_id} is not written in hexadecimal digits") from error
    if len(key) != KEY_BYTES:
        raise KeyringError(f"key {key_id} has {len(key)} bytes instead of {KEY_BYTES}")
    return key


def seal(ring, context, payload):
    """Seals a payload for one context.

    Args:
      ring: The Keyring.
      context: Tuple of numbers, texts and bytes that sender and receiver know, such as the
        receiver and a nonce. A payload that was sealed for another context is not accepted.
      payload: Bytes.
    Returns:
      The sealed message as bytes.
    """
    key_id, tag = "", b""
    if ring.keys:
        key_id, key = ring.keys[0]
        tag = _compute_tag(key, context, payload)
    return msgpack.packb((key_id, tag, payload))


def unseal(ring, context, message):
    """Returns the payload of a sealed message.

    Args:
      ring: The Keyring.
      context: As for ``seal``.
      message: The bytes received.
    Raises:
      SealError: If the message is malformed or not sealed for this context with a known key.
    """
    try:
        key_id, tag, payload = msgpack.unpackb(message)
    except (ValueError, TypeError, msgpack.exceptions.UnpackException) as error:
        raise SealError(f"malformed seal: {error}") from error
    if not isinstance(payload, bytes) or not isinstance(tag, bytes):
        raise SealError("malformed seal: payload or tag is not of bytes")
    if not ring.keys:
        return payload
    key = dict(ring.keys).get(key_id) if isinstance(key_id, str) else None
    if key is None:
        raise SealError(f"sealed with unknown key {str(key_id)[:16]!r}")
    if not hmac.compare_digest(tag, _compute_tag(key, context, payload)):
        raise SealError(f"wrong seal with key {key_id}")
    return payload


def _compute_tag(key, context, payload):
    return hmac.digest(key, msgpack.packb((context, payload)), "sha256")[:TAG_BYTES]
