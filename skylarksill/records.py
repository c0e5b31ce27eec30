"""Immutable records, ids and states that the other modules share.

Times are float seconds of a monotonic clock, unless a name ends in ``_ms`` (milliseconds) or
``_unix`` or ``_unix_ms`` (wall clock). Rates are per second and sizes are bytes.
"""

import dataclasses
import enum
import typing

RegionId = typing.NewType("RegionId", str)
ZoneId = typing.NewType("ZoneId", str)
HostId = typing.NewType("HostId", str)
UpstreamId = typing.NewType("UpstreamId", str)
ServiceId = typing.NewType("ServiceId", str)
TicketId = typing.NewType("TicketId", str)
RequestId = typing.NewType("RequestId", str)
Incarnation = typing.NewType("Incarnation", str)
Generation = typing.NewType("Generation", int)
Fingerprint = typing.NewType("Fingerprint", str)

MAX_BODY_BYTES = 1024 * 1024
DEFAULT_DEADLINE_MS = 4_000
MAX_CLOCK_SKEW_S = 0.5


class Verdict(enum.Enum):
    """Says whether a request has run at an upstream."""

    RAN = "RAN"
    NOT_RUN = "NOT_RUN"
    MAY_HAVE_RUN = "MAY_HAVE_RUN"


class WorkKind(enum.Enum):
    """Says whether a service's requests may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"


class LifecycleState(enum.Enum):
    """State of a host or an upstream, which changes during a planned stop."""

    SERVING = "serving"
    LEAVING = "leaving"
    DRAINED = "drained"


class ClaimState(enum.Enum):
    """State of a ticket as recorded by its arbiter."""

    CLAIMED = "claimed"
    REVOKED = "revoked"
    RAN = "ran"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class Region:
    """A region with its load limits.

    ``max_in_flight`` counts requests at its upstreams; ``shift_cap_per_s`` limits the requests
    per second that it accepts from clients whose home is another region.
    """

    region_id: RegionId
    max_in_flight: int
    shift_cap_per_s: int


@dataclasses.dataclass(frozen=True, slots=True)
class Zone:
    """An availability zone of a region."""

    zone_id: ZoneId
    region_id: RegionId


@dataclasses.dataclass(frozen=True, slots=True)
class Host:
    """An entry host, with the port of each program that runs on it."""

    host_id: HostId
    zone_id: ZoneId
    address: str
    lookup_port: int
    entry_port: int
    dispatch_port: int
    agent_port: int
    state: LifecycleState = LifecycleState.SERVING


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service and the properties of its requests.

    ``mean_ms`` is the usual service time; ``max_deadline_ms`` bounds every request's deadline.
    """

    service_id: ServiceId
    kind: WorkKind
    mean_ms: int
    max_deadline_ms: int = DEFAULT_DEADLINE_MS


@dataclasses.dataclass(frozen=True, slots=True)
class Upstream:
    """A server of a service; the dispatchers on ``home`` and ``standby`` own its slots."""

    upstream_id: UpstreamId
    service_id: ServiceId
    zone_id: ZoneId
    address: str
    port: int
    slots: int
    max_connections: int
    home: HostId
    standby: HostId | None
    state: LifecycleState = LifecycleState.SERVING


@dataclasses.dataclass(frozen=True, slots=True)
class Link:
    """One direction of the network between two regions."""

    source: RegionId
    target: RegionId
    bytes_per_s: int
    delay_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Block:
    """A block of client addresses in CIDR notation and the zone nearest to these clients."""

    prefix: str
    zone_id: ZoneId


@dataclasses.dataclass(frozen=True, slots=True)
class Shift:
    """A planned move of ``percent`` of a region's clients to another region."""

    name: str
    source: RegionId
    target: RegionId
    percent: int


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """Everything that operators configure; a generation takes effect as a whole."""

    deployment: str
    generation: Generation
    regions: tuple[Region, ...]
    zones: tuple[Zone, ...]
    hosts: tuple[Host, ...]
    services: tuple[Service, ...]
    upstreams: tuple[Upstream, ...]
    links: tuple[Link, ...]
    blocks: tuple[Block, ...] = ()
    shifts: tuple[Shift, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationHead:
    """Lists the shards of one generation by digest.

    ``shards`` holds pairs of shard name and SHA-256 digest in hexadecimal.
    """

    generation: Generation
    write_id: str
    shards: tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """A validation error in settings, questionnaire answers or a configuration."""

    section: str
    key: str
    reason: str

    def __str__(self):
        return f"[{self.section}] {self.key}: {self.reason}"


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """Permission to run one non-idempotent request through one incarnation of a dispatcher."""

    ticket_id: TicketId
    service_id: ServiceId
    home: HostId
    home_incarnation: Incarnation
    arbiter: HostId | None
    arbiter_incarnation: Incarnation | None
    expiry_unix_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A client's request to an upstream; ``deadline_ms`` is the remaining time."""

    request_id: RequestId
    service_id: ServiceId
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    client: str
    home_region: RegionId | None
    source_region: RegionId
    deadline_ms: int
    ticket: str | None = None
    hops: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A complete answer from an upstream; its verdict is RAN."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """A failed request with its verdict; ``limit`` names the limit that was reached, if any."""

    verdict: Verdict
    reason: str
    detail: str
    limit: str | None = None
    retry_after_ms: int | None = None


class SkylarksillError(Exception):
    """Base of the errors that this package raises.

    Attributes:
      verdict: Whether the request that failed may have run.
    """

    verdict = Verdict.NOT_RUN
