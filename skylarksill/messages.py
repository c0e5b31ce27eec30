"""Typed messages between processes of a deployment and their conversion to msgpack values."""

import dataclasses

from skylarksill import _messagecodec, records

encode_message = _messagecodec.encode_message
decode_message = _messagecodec.decode_message


@dataclasses.dataclass(frozen=True, slots=True)
class DispatchCall:
    """Asks a dispatcher to run a request."""

    request: records.Request


@dataclasses.dataclass(frozen=True, slots=True)
class DispatchResult:
    """The outcome of a request: either an answer or a refusal is present."""

    verdict: records.Verdict
    answer: records.Answer | None
    refusal: records.Refusal | None
    upstream: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimCall:
    """Asks the arbiter for the right to run a ticket's request; sent by the ticket's home."""

    ticket: records.Ticket
    fingerprint: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class RecordOutcomeCall:
    """Copies a ticket's outcome to its arbiter; the answer is None if it is too long to copy."""

    ticket: records.Ticket
    answer: records.Answer | None
    verdict: records.Verdict = records.Verdict.RAN


@dataclasses.dataclass(frozen=True, slots=True)
class RevokeCall:
    """Asks the arbiter to revoke a ticket that has not been claimed, so that it never runs."""

    ticket: records.Ticket
    fingerprint: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimResult:
    """The arbiter's state of a ticket, with the cached answer if the state is RAN."""

    state: records.ClaimState
    answer: records.Answer | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class LendCall:
    """Asks a standby dispatcher to lend its concurrency slot of each listed upstream."""

    upstreams: tuple[records.UpstreamId, ...]
    borrower: records.HostId
    incarnation: records.Incarnation


@dataclasses.dataclass(frozen=True, slots=True)
class LendResult:
    """The upstreams whose slot was lent, and the loan's duration from the time of the LendCall."""

    upstreams: tuple[records.UpstreamId, ...]
    duration_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class LoadEntry:
    """Load of one service at one host's dispatcher; ``age_ms`` is the age of the numbers."""

    host: records.HostId
    service: records.ServiceId
    slots: int
    free: int
    queued: int
    in_flight: int
    age_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneLoad:
    """Load of one service summed over the dispatchers of a zone; sent between regions."""

    zone: records.ZoneId
    service: records.ServiceId
    slots: int
    free: int
    queued: int
    in_flight: int
    age_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamEntry:
    """State of an upstream as reported by its home dispatcher."""

    upstream: records.UpstreamId
    state: records.LifecycleState
    is_ejected: bool
    free: int
    in_flight: int
    age_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class SuspectEntry:
    """Count of the upstream connections that died while running requests of one fingerprint.

    The table of suspects.py defines the form of ``fingerprint`` and the meaning of ``deaths``.
    """

    fingerprint: records.Fingerprint
    deaths: int
    expires_in_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class ProgramEntry:
    """State of one program (``part``) that runs on a host."""

    part: str
    incarnation: records.Incarnation
    state: records.LifecycleState


@dataclasses.dataclass(frozen=True, slots=True)
class PeerEntry:
    """State of a host as exchanged between agents.

    ``heartbeat`` is a counter that only the host's own agent increments. A new agent incarnation
    starts it at its wall-clock time in milliseconds, so that it supersedes earlier entries.
    """

    host: records.HostId
    zone: records.ZoneId
    incarnation: records.Incarnation
    heartbeat: int
    generation: records.Generation
    state: records.LifecycleState
    parts: tuple[ProgramEntry, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PeerView:
    """A peer's state in the local agent's view; ``age_ms`` counts from its last new heartbeat."""

    entry: PeerEntry
    is_alive: bool
    age_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class ViewCall:
    """Report of a daemon to its host's agent; asks for the view's changes since ``version``."""

    part: str
    incarnation: records.Incarnation
    state: records.LifecycleState
    version: int
    loads: tuple[LoadEntry, ...] = ()
    upstreams: tuple[UpstreamEntry, ...] = ()
    suspects: tuple[SuspectEntry, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ViewResult:
    """The agent's view of the deployment, as the answer to a ViewCall.

    If ``version`` equals the call's, only ``store_age_ms`` is set. ``head`` is set only if it is
    newer than the call's version, and is None while the agent has no configuration. ``shards`` is
    set only if the configuration is new to the daemon; the others are fetched with the method
    ``shards``, since all of them together may exceed a frame. With ``is_delta``, ``peers`` holds
    only the changes since the call's version, and viewer.AgentViewClient merges them.
    ``leaving_upstreams`` comes from the platform's host list. ``store_age_ms`` is the age of the
    last answer of the platform's store, or -1 if none was received.
    """

    version: int
    head: records.ConfigurationHead | None
    shards: tuple[tuple[str, str], ...]
    peers: tuple[PeerView, ...]
    loads: tuple[LoadEntry, ...]
    suspects: tuple[SuspectEntry, ...]
    leaving_upstreams: tuple[records.UpstreamId, ...]
    store_age_ms: int
    zone_loads: tuple[ZoneLoad, ...] = ()
    is_delta: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class HeadMark:
    """Sort key of configuration heads: generation, then the version of the object in the store.

    Two heads of the same generation exist only if one replaced the other in the store, so the one
    with the higher version is the one in the store.
    """

    generation: records.Generation
    store_version: int
    write_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class LeavingInstances:
    """The platform's list of leaving hosts and upstreams, with the version of the stored object."""

    version: int
    leaving_hosts: tuple[records.HostId, ...]
    leaving_upstreams: tuple[records.UpstreamId, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PeerDigest:
    """Digest of an agent's state of its peers, indexed by position in the sorted list of names.

    ``checksum`` is a CRC of all names. ``beats`` holds the low 16 bits of the heartbeat of each
    near host, ``zones`` the low 16 bits of the version of each zone's summary, and
    ``entries_check`` a CRC over the entries of all hosts in scope. A field that the two agents
    don't share is empty.
    """

    checksum: int
    beats: bytes
    entries_check: int
    zones: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class HostHeartbeat:
    """A host's heartbeat with its loads.

    ``loads`` has 5 numbers per service: its position, then slots, free, queued and in_flight.
    ``beat`` holds the low 16 bits of the heartbeat and ``entry`` the CRC of the host's entry.
    """

    position: int
    entry: int
    beat: int
    generation: records.Generation
    age_ms: int
    loads: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PeerRecord:
    """A host's complete entry with its loads."""

    entry: PeerEntry
    loads: tuple[LoadEntry, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneSummary:
    """State of a zone as its own hosts see it.

    Hosts are positions, loads are as in HostHeartbeat.
    """

    position: int
    version: int
    generation: records.Generation
    down: tuple[int, ...]
    leaving: tuple[int, ...]
    age_ms: int
    loads: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PeerDelta:
    """State that the receiving agent lacks, and the positions of what the sender lacks.

    If the digests differ in ``entries_check``, ``entries`` holds a 16-bit CRC of each entry in
    scope, from which the receiver finds the entries that differ. If they differ in ``checksum``,
    only ``records`` is set.
    """

    checksum: int
    beats: tuple[HostHeartbeat, ...] = ()
    records: tuple[PeerRecord, ...] = ()
    zones: tuple[ZoneSummary, ...] = ()
    entries: bytes = b""
    wanted_beats: tuple[int, ...] = ()
    wanted_records: tuple[int, ...] = ()
    wanted_zones: tuple[int, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ExchangeMessage:
    """Request, answer or final message of an exchange between two agents.

    The request carries a digest, the answer a delta against it, and the final message the delta
    that the answer asked for. ``head``, ``suspects`` and ``instances`` are set only if the other
    agent's ``mark``, ``suspects_check`` or ``instances_version`` shows that it lacks them. With
    ``head_base``, ``head`` lists only the shards that differ from the head with that mark.
    ``is_same_mark`` replaces a mark that equals the one in the answered message, to save bytes.
    """

    sender: records.HostId
    zone: records.ZoneId
    mark: HeadMark | None = None
    suspects_check: int = 0
    instances_version: int = 0
    digest: PeerDigest | None = None
    delta: PeerDelta | None = None
    head: records.ConfigurationHead | None = None
    head_base: HeadMark | None = None
    is_same_mark: bool = False
    suspects: tuple[SuspectEntry, ...] = ()
    instances: LeavingInstances | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ShardsCall:
    """Asks an agent for configuration shards by digest."""

    digests: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ShardsResult:
    """Pairs of digest and text of those requested shards that the agent has."""

    shards: tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PackedShardsResult:
    """Pairs of digest and zlib-compressed text; used between agents of different hosts."""

    shards: tuple[tuple[str, bytes], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class StatusCall:
    """Asks an agent for the state that the status command shows."""


@dataclasses.dataclass(frozen=True, slots=True)
class StatusResult:
    """State of the deployment in one agent's view.

    ``head`` lists the shards of ``generation``, which are fetched with the method ``shards``.
    """

    host: records.HostId
    generation: records.Generation
    store_age_ms: int
    peers: tuple[PeerView, ...]
    loads: tuple[LoadEntry, ...]
    upstreams: tuple[UpstreamEntry, ...]
    head: records.ConfigurationHead | None = None
