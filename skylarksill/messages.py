"""Typed messages between own processes and their conversion to msgpack values."""

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
    """Asks the arbiter for the right to run a ticket; sent by the ticket's home."""

    ticket: records.Ticket
    fingerprint: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class RecordCall:
    """Copies the outcome of a ticket to its arbiter; the answer is None if it is too long."""

    ticket: records.Ticket
    answer: records.Answer | None
    verdict: records.Verdict = records.Verdict.RAN


@dataclasses.dataclass(frozen=True, slots=True)
class RevokeCall:
    """Asks the arbiter to forbid a ticket that has not been claimed."""

    ticket: records.Ticket
    fingerprint: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimResult:
    """The arbiter's state of a ticket, with the kept answer if the state is RAN."""

    state: records.ClaimState
    answer: records.Answer | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class LendCall:
    """Asks a standby dispatcher to lend its slot of each named upstream."""

    upstreams: tuple[records.UpstreamId, ...]
    borrower: records.HostId
    incarnation: records.Incarnation


@dataclasses.dataclass(frozen=True, slots=True)
class LendResult:
    """The upstreams whose slot was lent and the duration, counted from the borrower's question."""

    upstreams: tuple[records.UpstreamId, ...]
    duration_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class LoadEntry:
    """Load of one service at one host's dispatcher; ``age_ms`` is the age of the figures."""

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
    """State of an upstream as its home dispatcher sees it."""

    upstream: records.UpstreamId
    state: records.LifeState
    is_ejected: bool
    free: int
    in_flight: int
    age_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class SuspectEntry:
    """A request fingerprint whose runs ended with the death of an upstream connection."""

    fingerprint: records.Fingerprint
    deaths: int
    expires_in_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class PartEntry:
    """One running program of a host."""

    part: str
    incarnation: records.Incarnation
    state: records.LifeState


@dataclasses.dataclass(frozen=True, slots=True)
class PeerEntry:
    """What agents tell each other of a host.

    ``heartbeat`` is raised by the host's own agent; a new agent incarnation starts from its wall
    clock in milliseconds, so that it supersedes the entries of its predecessor.
    """

    host: records.HostId
    zone: records.ZoneId
    incarnation: records.Incarnation
    heartbeat: int
    generation: records.Generation
    state: records.LifeState
    parts: tuple[PartEntry, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PeerView:
    """A peer as the local agent judges it; ``age_ms`` counts from its last new heartbeat."""

    entry: PeerEntry
    is_alive: bool
    age_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class ViewCall:
    """A daemon reports to its host's agent and asks for what changed after ``version``."""

    part: str
    incarnation: records.Incarnation
    state: records.LifeState
    version: int
    loads: tuple[LoadEntry, ...] = ()
    upstreams: tuple[UpstreamEntry, ...] = ()
    suspects: tuple[SuspectEntry, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ViewResult:
    """The agent's view; ``shards`` is filled only if the configuration is new to the daemon.

    If ``version`` equals the call's, nothing but ``store_age_ms`` is filled; ``head`` is filled
    only if it is newer than the call's version. With ``is_delta``,
    ``peers`` holds only what changed since the call's version; viewer.Viewer completes it. Shards
    that are not in ``shards`` are fetched with ``shards``, since they may exceed a frame together.
    ``head`` is None while the agent has no configuration. ``leaving_upstreams`` comes from the
    platform's host list. ``store_age_ms`` is the age of the last answer of the platform's store,
    or -1 if there was none.
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
    """Orders configuration heads: by generation, then by the version of the store's object.

    Two heads of one generation exist only if the store has replaced one, so the higher version
    is the one that the store holds.
    """

    generation: records.Generation
    store_version: int
    write_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Instances:
    """The platform's list of leaving hosts and upstreams with the version of its object."""

    version: int
    leaving_hosts: tuple[records.HostId, ...]
    leaving_upstreams: tuple[records.UpstreamId, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PeerDigest:
    """What an agent knows of its peers, as numbers by position in the sorted names.

    ``check`` is a CRC of all names. ``beats`` holds the low 16 bits of the heartbeat of each near
    host, ``zones`` the low 16 bits of the version of each zone's summary, and ``entries_check`` a
    CRC over the entries of all hosts in scope. A part that the two agents don't share is empty.
    """

    check: int
    beats: bytes
    entries_check: int
    zones: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class HostBeat:
    """A heartbeat with loads; ``loads`` has 5 numbers a service: position, slots to in_flight.

    ``beat`` holds the low 16 bits of the heartbeat and ``entry`` the CRC of the entry it is for.
    """

    position: int
    entry: int
    beat: int
    generation: records.Generation
    age_ms: int
    loads: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PeerRecord:
    """A host's whole entry with its loads."""

    entry: PeerEntry
    loads: tuple[LoadEntry, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneSummary:
    """A zone as its own hosts judge it; hosts are positions, loads are as in HostBeat."""

    position: int
    version: int
    generation: records.Generation
    down: tuple[int, ...]
    leaving: tuple[int, ...]
    age_ms: int
    loads: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PeerDelta:
    """What the other agent lacks, and the positions of what the sender lacks.

    If the ``entries_check`` of a digest differs, ``entries`` holds a 16-bit CRC of each entry in
    scope, by which the other agent finds what differs.
    Without the same ``check``, only ``records`` are filled.
    """

    check: int
    beats: tuple[HostBeat, ...] = ()
    records: tuple[PeerRecord, ...] = ()
    zones: tuple[ZoneSummary, ...] = ()
    entries: bytes = b""
    wanted_beats: tuple[int, ...] = ()
    wanted_records: tuple[int, ...] = ()
    wanted_zones: tuple[int, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ExchangeMessage:
    """Question, answer and completion of an exchange between two agents.

    The question carries a digest, the answer a delta against it, and the completion the delta
    that the answer asked for. ``head``, ``suspects`` and ``instances`` are filled only if the
    other agent's ``mark``, ``suspects_check`` or ``instances_version`` shows that it lacks them.
    With ``head_base``, ``head`` names only the shards that differ from the head with that mark.
    ``is_same_mark`` stands for the mark of the message that is answered, to save its bytes.
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
    instances: Instances | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ShardsCall:
    """Asks an agent for configuration shards by digest."""

    digests: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ShardsResult:
    """Pairs of digest and text of the shards that the agent holds."""

    shards: tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PackedShardsResult:
    """Pairs of digest and zlib-compressed text; agents use it between hosts."""

    shards: tuple[tuple[str, bytes], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class StatusCall:
    """Asks an agent for everything that the status command shows."""


@dataclasses.dataclass(frozen=True, slots=True)
class StatusResult:
    """State of the deployment as one agent sees it.

    ``head`` names the shards of ``generation``, so that the caller can fetch them with ``shards``.
    """

    host: records.HostId
    generation: records.Generation
    store_age_ms: int
    peers: tuple[PeerView, ...]
    loads: tuple[LoadEntry, ...]
    upstreams: tuple[UpstreamEntry, ...]
    head: records.ConfigurationHead | None = None
