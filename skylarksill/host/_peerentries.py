"""What a host knows about a single host, and the short form of it that heartbeats carry."""

import dataclasses
import functools
import hashlib

from skylarksill.host import hostload, records

KEY_BYTES = 5
# Datagrams carry heartbeats modulo this number, which saves two bytes for each. It is nine hours of
# heartbeats; hosts that are not heard of are forgotten after two minutes.
HEARTBEAT_CYCLE = 2**16


@dataclasses.dataclass(slots=True)
class Peer:
    """What this host knows about one host.

    Attributes:
      last_heartbeat_at: Monotonic time at which it sent its last known heartbeat.
      known_at: Monotonic time at which this incarnation became known.
      spill_shares: Share of objects that the host sends to other regions, by service.
      is_store_lost: True if the host can't reach the platform's store.
      load: The records.HostLoad that it has reported, or None.
    """

    record: records.HostRecord
    heartbeat: int
    state: records.HostState
    last_heartbeat_at: float
    spill_shares: dict = dataclasses.field(default_factory=dict)
    is_store_lost: bool = False
    known_at: float = 0.0
    load: records.HostLoad | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """A heartbeat of a host whose record the receiver probably knows.

    Attributes:
      key: Identifies the incarnation of the host, see ``compute_key``.
      heartbeat: The heartbeat, modulo HEARTBEAT_CYCLE once it was received.
      age_s: Seconds since the host sent it.
      load_byte: Part of the host's load, see ``hostload.encode_byte``.
    """

    key: bytes
    heartbeat: int
    state: records.HostState
    is_store_lost: bool
    age_s: float
    load_byte: int = 0


def compute_key(record):
    """Returns the bytes that identify an incarnation of a host in heartbeats."""
    return _compute_key(record.host_id, record.incarnation)


@functools.lru_cache(maxsize=8_192)
def _compute_key(host_id, incarnation):
    text = f"{host_id}\0{incarnation}".encode()
    return hashlib.blake2b(text, digest_size=KEY_BYTES).digest()


def make_heartbeat(peer, now):
    """Returns the Heartbeat that passes on what is known of a Peer."""
    return Heartbeat(
        compute_key(peer.record),
        peer.heartbeat,
        peer.state,
        peer.is_store_lost,
        now - peer.last_heartbeat_at,
        hostload.encode_byte(peer.load, peer.heartbeat),
    )


def count_steps(known, received):
    """Returns by how much a received heartbeat is newer than the known one of its incarnation.

    Args:
      known: Heartbeat in a table of peers; 0 if none was received.
      received: The heartbeat, modulo HEARTBEAT_CYCLE.
    Returns:
      Zero or a negative number if it isn't newer.
    """
    if known == 0:
        return received or HEARTBEAT_CYCLE
    steps = (received - known) % HEARTBEAT_CYCLE
    return steps if steps < HEARTBEAT_CYCLE // 2 else steps - HEARTBEAT_CYCLE
