"""Codec of the stream between a source and a follower: msgpack messages with a length before."""

import dataclasses
import math
import struct
import zlib

import msgpack

from skylarksill import records as shared
from skylarksill.host import credentials, fields, records, relay

VERSION = 8
# A configuration with 500 routes, together with 500 upstreams, takes about 150 kB.
MAX_MESSAGE_BYTES = 4 * 1024 * 1024
# A follower's request holds a version, three small numbers, a nonce and a seal.
MAX_REQUEST_BYTES = 256
NONCE_BYTES = 16
# Updates of this size and more are compressed: the entries of upstreams resemble each other, and
# followers in other zones get the same ones from two sources.
MIN_COMPRESSED_BYTES = 512
COMPRESSION_LEVEL = 1

_LENGTH = struct.Struct(">I")
HEADER_BYTES = _LENGTH.size


class CodecError(shared.SkylarksillError):
    """A message from a peer is malformed, too long or has another version."""


def parse_length(header, limit):
    """Returns the length in bytes of the message that follows a header.

    Raises:
      CodecError: If the length exceeds ``limit``.
    """
    (length,) = _LENGTH.unpack(header)
    if length > limit:
        raise CodecError(f"message of {length} bytes exceeds {limit}")
    return length


def frame(message):
    """Puts the length of a message before it."""
    return _LENGTH.pack(len(message)) + message


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A follower's request for changes.

    Attributes:
      sequence: Sequence number of the source's belief up to which the follower has all changes.
      generation: Generation of the follower's configuration; 0 without one.
      wait_s: Longest time to wait for a change, in seconds.
      nonce: Random bytes for which the source seals its answer.
    """

    sequence: int
    generation: int
    wait_s: float
    nonce: bytes


def encode_request(request):
    """Encodes a Request."""
    wait_ms = int(request.wait_s * 1000)
    return msgpack.packb((VERSION, request.sequence, request.generation, wait_ms, request.nonce))


def decode_request(payload):
    """Decodes a Request.

    Raises:
      CodecError: If the request is malformed.
    """
    try:
        sequence, generation, wait_ms, nonce = _unpack(payload)
        numbers = [fields.check_integer(number) for number in (sequence, generation, wait_ms)]
        fields.check(nonce, bytes)
    except (ValueError, TypeError) as error:
        raise CodecError(f"malformed request: {error}") from error
    return Request(numbers[0], numbers[1], numbers[2] / 1000, nonce)


def encode_update(update):
    """Encodes a relay.BeliefUpdate; the result is compressed if it is large."""
    payload = _pack_update(update)
    if len(payload) < MIN_COMPRESSED_BYTES:
        return msgpack.packb((False, payload))
    return msgpack.packb((True, zlib.compress(payload, COMPRESSION_LEVEL)))


def _pack_update(update):
    return msgpack.packb(
        (
            VERSION,
            update.sequence,
            {kind.value: tuple(revision) for kind, revision in update.revisions.items()},
            update.is_complete,
            update.is_store_lost,
            _encode_configuration(update.configuration),
            update.is_snapshot,
            [_encode_upstream(upstream) for upstream in update.upstreams],
            update.lapses,
            update.removed_ids,
            update.evacuated,
            update.evacuation_ages,
            update.configuration_age_s if math.isfinite(update.configuration_age_s) else None,
        )
    )


def decode_update(payload):
    """Decodes a relay.BeliefUpdate.

    Raises:
      CodecError: If the message is malformed.
    """
    try:
        is_compressed, packed = msgpack.unpackb(payload)
        if fields.check(is_compressed, bool):
            packed = _decompress(packed)
        sequence, revisions, is_complete, is_store_lost, *rest = _unpack(packed)
        configuration, is_snapshot, upstreams, lapses, removed_ids, evacuated, *ages = rest
        evacuation_ages, configuration_age_s = ages
        return relay.BeliefUpdate(
            sequence=fields.check_integer(sequence),
            revisions={
                kind: _decode_revision(revisions[kind.value]) for kind in records.ObjectKind
            },
            is_complete=fields.check(is_complete, bool),
            is_store_lost=fields.check(is_store_lost, bool),
            configuration=_decode_configuration(configuration),
            is_snapshot=fields.check(is_snapshot, bool),
            upstreams=tuple(_decode_upstream(item) for item in fields.check(upstreams, list)),
            lapses=_decode_times(lapses),
            removed_ids=tuple(fields.check(item, str) for item in fields.check(removed_ids, list)),
            evacuated=tuple(fields.check(item, str) for item in fields.check(evacuated, list)),
            evacuation_ages=_decode_times(evacuation_ages),
            configuration_age_s=_decode_age(configuration_age_s),
        )
    except (
        ValueError,
        TypeError,
        KeyError,
        AttributeError,
        zlib.error,
        msgpack.exceptions.UnpackException,
    ) as error:
        raise CodecError(f"malformed update: {error!r}") from error


def _decode_revision(item):
    era, number = item
    return records.Revision(
        fields.check_range(era, 0, fields.MAX_INTEGER),
        fields.check_range(number, 0, fields.MAX_INTEGER),
    )


def _decode_times(times):
    """Returns a dict of seconds by name."""
    return {
        fields.check(name, str): fields.check_number(seconds)
        for name, seconds in fields.check(times, dict).items()
    }


def _decode_age(seconds):
    return math.inf if seconds is None else fields.check_number(seconds)


def _decompress(packed):
    """Returns the decompressed bytes, which are at most MAX_MESSAGE_BYTES.

    Raises:
      ValueError: If they would be more, or are cut off.
    """
    decompressor = zlib.decompressobj()
    payload = decompressor.decompress(fields.check(packed, bytes), MAX_MESSAGE_BYTES)
    if not decompressor.eof:
        raise ValueError(f"compressed update is cut off or exceeds {MAX_MESSAGE_BYTES} bytes")
    return payload


def _unpack(payload):
    """Checks the version of a message and returns its other fields."""
    try:
        version, *rest = msgpack.unpackb(payload, raw=False)
    except msgpack.exceptions.UnpackException as error:
        raise ValueError(str(error)) from error
    if version != VERSION:
        raise CodecError(f"unknown version {version!r}")
    return rest


def _encode_upstream(upstream):
    return (
        upstream.upstream_id,
        upstream.incarnation,
        upstream.service_id,
        upstream.address,
        upstream.zone,
        upstream.region,
        upstream.slots,
        upstream.state.value,
        upstream.cold_s,
    )


def _decode_upstream(item):
    upstream_id, incarnation, service_id, address, zone, region, slots, state, cold_s = item
    return records.Upstream(
        fields.check(upstream_id, str),
        fields.check_range(incarnation, 0, fields.MAX_INTEGER),
        fields.check(service_id, str),
        fields.decode_address(address),
        fields.check(zone, str),
        fields.check(region, str),
        fields.check_range(slots, 1, fields.MAX_SLOTS),
        records.UpstreamState(state),
        fields.check_number(cold_s),
    )


def _encode_configuration(configuration):
    if configuration is None:
        return None
    limits = configuration.limits
    return (
        configuration.generation,
        [_encode_route(route) for route in configuration.routes],
        [
            (
                service.service_id,
                service.max_connections,
                service.cold_s,
                service.cold_rate,
                service.health_target,
            )
            for service in configuration.services.values()
        ],
        (
            limits.max_head_bytes,
            limits.max_body_bytes,
            limits.head_timeout_s,
            limits.idle_timeout_s,
        ),
        _encode_accounts(configuration.accounts),
        [(route.site, route.prefix) for route in configuration.unreadable_routes],
        [
            (problem.kind.value, problem.subject, problem.detail)
            for problem in configuration.problems
        ],
    )


def _decode_configuration(item):
    if item is None:
        return None
    generation, routes, services, limits, accounts, unreadable, problems = item
    decoded = [
        records.Service(
            fields.check(service_id, str),
            fields.check_integer(max_connections),
            fields.check_number(cold_s),
            fields.check_number(cold_rate),
            None if health_target is None else fields.check(health_target, bytes),
        )
        for service_id, max_connections, cold_s, cold_rate, health_target in services
    ]
    max_head_bytes, max_body_bytes, head_timeout_s, idle_timeout_s = limits
    return records.Configuration(
        fields.check_integer(generation),
        tuple(_decode_route(route) for route in routes),
        {service.service_id: service for service in decoded},
        records.ClientLimits(
            fields.check_integer(max_head_bytes),
            fields.check_integer(max_body_bytes),
            fields.check_number(head_timeout_s),
            fields.check_number(idle_timeout_s),
        ),
        _decode_accounts(accounts),
        tuple(
            records.UnreadableRoute(fields.check(site, str), fields.check(prefix, str))
            for site, prefix in unreadable
        ),
        tuple(
            records.Problem(
                records.ProblemKind(kind), fields.check(subject, str), fields.check(detail, str)
            )
            for kind, subject, detail in problems
        ),
    )


def _encode_accounts(accounts):
    if accounts is None:
        return None
    return [
        (
            account.account_id,
            b"".join(sorted(account.key_digests)),
            account.priority,
            account.rate,
            account.burst,
            sorted(account.regions),
        )
        for account in accounts.values()
    ]


def _decode_accounts(items):
    if items is None:
        return None
    decoded = [_decode_account(*item) for item in items]
    return {account.account_id: account for account in decoded}


def _decode_account(account_id, digests, priority, rate, burst, regions):
    size = credentials.DIGEST_BYTES
    if len(fields.check(digests, bytes)) % size:
        raise ValueError(f"digests of {len(digests)} bytes")
    return records.Account(
        fields.check(account_id, str),
        frozenset(digests[start : start + size] for start in range(0, len(digests), size)),
        fields.check_integer(priority),
        fields.check_number(rate),
        fields.check_number(burst),
        frozenset(fields.check(region, str) for region in regions),
    )


def _encode_route(route):
    return (
        route.route_id,
        route.site,
        route.prefix,
        route.kind.value,
        route.timeout_s,
        route.target_latency_s,
        route.priority,
        [(share.service_id, share.weight) for share in route.shares],
        route.max_attempts,
        route.is_sticky,
        sorted(route.regions),
        route.is_public,
    )


def _decode_route(item):
    (
        route_id,
        site,
        prefix,
        kind,
        timeout_s,
        target_latency_s,
        priority,
        shares,
        max_attempts,
        *rest,
    ) = item
    is_sticky, regions, is_public = rest
    return records.Route(
        fields.check(route_id, str),
        fields.check(site, str),
        fields.check(prefix, str),
        shared.WorkKind(kind),
        fields.check_number(timeout_s),
        fields.check_number(target_latency_s),
        fields.check_integer(priority),
        tuple(
            records.Share(fields.check(name, str), fields.check_number(weight))
            for name, weight in shares
        ),
        fields.check_integer(max_attempts),
        fields.check(is_sticky, bool),
        frozenset(fields.check(region, str) for region in regions),
        fields.check(is_public, bool),
    )
