"""Codec of the messages with which hosts lend each other permits of accounts, as msgpack.

A payload begins with a byte that no msgpack value begins with, so it can't be taken for a digest of
gossip. Handles hosts of other versions and malformed datagrams, which are rejected whole.
"""

import dataclasses

import msgpack

from skylarksill import records as shared
from skylarksill.host import _creditholders, fields

MARK = b"\xc1"
VERSION = 1
REQUEST_KIND = 1
GRANT_KIND = 2
# Accounts and reports of a datagram. One with all of them takes about 1,300 bytes.
MAX_ITEMS = 50
MAX_REPORTS = 25
MAX_NUMBER = 2**53
MAX_PERMITS = 1_000_000
MAX_TIME_MS = 3_600_000


class CreditCodecError(shared.SkylarksillError):
    """A message is malformed or has another version."""


@dataclasses.dataclass(frozen=True, slots=True)
class Wanted:
    """Permits of one account that are asked for.

    Attributes:
      key: Bytes that name the account.
      waiting: Permits for requests that wait.
      ahead: Permits for requests that are expected soon.
    """

    key: bytes
    waiting: int
    ahead: int


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """What has become of permits that the receiver has lent.

    Attributes:
      number: Number of the credit request with which they were asked for.
      unused: Permits that were not spent and no longer can be.
    """

    number: int
    key: bytes
    unused: int


@dataclasses.dataclass(frozen=True, slots=True)
class CreditRequest:
    """Asks a holder for permits; may hold reports only."""

    number: int
    wanted: tuple[Wanted, ...]
    reports: tuple[Report, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Granted:
    """Answer for one account.

    Attributes:
      count: Permits lent.
      retry_s: Seconds until the holder has more, 0 if it has some left.
    """

    key: bytes
    count: int
    retry_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class CreditGrant:
    """Answer to the CreditRequest of the same number."""

    number: int
    granted: tuple[Granted, ...]


def is_credit(payload):
    """Returns True if the payload of a datagram is a message about credit."""
    return payload[:1] == MARK


def encode(message):
    """Encodes a CreditRequest or a CreditGrant as bytes."""
    match message:
        case CreditRequest(number, wanted, reports):
            items = [(item.key, item.waiting, item.ahead) for item in wanted]
            told = [(item.number, item.key, item.unused) for item in reports]
            content = (VERSION, REQUEST_KIND, number, items, told)
        case CreditGrant(number, granted):
            items = [(item.key, item.count, int(item.retry_s * 1000)) for item in granted]
            content = (VERSION, GRANT_KIND, number, items)
    return MARK + msgpack.packb(content)


def decode(payload):
    """Decodes a message.

    Args:
      payload: The bytes received.
    Returns:
      A CreditRequest or a CreditGrant.
    Raises:
      CreditCodecError: If it is malformed or of another version.
    """
    try:
        if not is_credit(payload):
            raise CreditCodecError("no message about credit")
        version, kind, *rest = msgpack.unpackb(payload[1:], raw=False)
        if version != VERSION:
            raise CreditCodecError(f"unknown version {version!r}")
        if kind == REQUEST_KIND:
            return _decode_request(*rest)
        if kind == GRANT_KIND:
            return _decode_grant(*rest)
        raise CreditCodecError(f"unknown kind {kind!r}")
    except (ValueError, TypeError, msgpack.exceptions.UnpackException) as error:
        raise CreditCodecError(f"malformed message: {error}") from error


def _decode_request(number, wanted, reports):
    return CreditRequest(
        fields.check_range(number, 0, MAX_NUMBER),
        tuple(
            Wanted(_check_key(key), _check_count(waiting), _check_count(ahead))
            for key, waiting, ahead in _check_list(wanted, MAX_ITEMS)
        ),
        tuple(
            Report(
                fields.check_range(lent_number, 0, MAX_NUMBER),
                _check_key(key),
                _check_count(unused),
            )
            for lent_number, key, unused in _check_list(reports, MAX_REPORTS)
        ),
    )


def _decode_grant(number, granted):
    return CreditGrant(
        fields.check_range(number, 0, MAX_NUMBER),
        tuple(
            Granted(
                _check_key(key),
                _check_count(count),
                fields.check_range(retry_ms, 0, MAX_TIME_MS) / 1000,
            )
            for key, count, retry_ms in _check_list(granted, MAX_ITEMS)
        ),
    )


def _check_key(value):
    if len(fields.check(value, bytes)) != _creditholders.KEY_BYTES:
        raise ValueError(f"key of {len(value)} bytes")
    return value


def _check_count(value):
    return fields.check_range(value, 0, MAX_PERMITS)


def _check_list(value, most):
    if len(fields.check(value, list)) > most:
        raise ValueError(f"{len(value)} items instead of at most {most}")
    return value
