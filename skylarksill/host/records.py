"""Records of the host program: routes, services, upstreams, hosts and settings.

Times are float seconds of a monotonic clock, unless a name ends in ``_ms`` or ``_unix_ms``.
"""

import dataclasses
import enum
import typing

from skylarksill import records
from skylarksill.host import keyring

RouteId = typing.NewType("RouteId", str)
AccountId = typing.NewType("AccountId", str)
# Digest of the key with which a client proves its account; see ``credentials``.
KeyDigest = typing.NewType("KeyDigest", bytes)
Address = tuple[str, int]


class ObjectKind(enum.Enum):
    """Kinds of objects that a host reads from the store."""

    CONFIGURATION = "configuration"
    UPSTREAMS = "upstreams"
    EVACUATIONS = "evacuations"


class Revision(typing.NamedTuple):
    """The store's count of its writes; later revisions compare as greater.

    Attributes:
      era: Rises when the store returns from an older copy, after which the count goes on from that
        copy's.
      number: The count of writes, or 0 if none is known.
    """

    era: int
    number: int

    @property
    def is_known(self):
        """True unless everything is to be read."""
        return self.number > 0


NO_REVISION = Revision(0, 0)


class UpstreamState(enum.Enum):
    """State that an upstream states in its entry in the store."""

    READY = "ready"
    DRAINING = "draining"


class HostState(enum.Enum):
    """State that a host states to its peers."""

    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """One part of a route's traffic split; weights are relative to their sum."""

    service_id: records.ServiceId
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """A rule that maps requests of one site and path prefix to services.

    Attributes:
      timeout_s: Longest time that a request may take, in seconds.
      target_latency_s: Latency up to which an answer counts as in time, in seconds.
      priority: Lower is more urgent; 0 is the most urgent.
      max_attempts: Largest number of upstreams that may run one request.
      is_sticky: True if upstreams run repeated requests for the same object faster.
      regions: Regions that may run the request; empty for all.
      is_public: True if its requests need no key of an account.
    """

    route_id: RouteId
    site: str
    prefix: str
    kind: records.WorkKind
    timeout_s: float
    target_latency_s: float
    priority: int
    shares: tuple[Share, ...]
    max_attempts: int
    is_sticky: bool
    regions: frozenset[records.RegionId]
    is_public: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class UnreadableRoute:
    """A route that the host could not read, except for the requests that it is for.

    They are rejected: a shorter prefix may lead to a service that must not run them.
    """

    site: str
    prefix: str


@dataclasses.dataclass(frozen=True, slots=True)
class Account:
    """A client account: who may send requests, how many, and how urgent they are.

    Attributes:
      key_digests: Digests of the keys with which clients prove that they belong to the account.
      priority: Lower is more urgent; 0 is the most urgent.
      rate: Requests a second that all hosts together may pass on; 0 for no limit.
      burst: Additional requests permitted in each window of the quota.
      regions: Regions that may run the account's requests; empty for all.
    """

    account_id: AccountId
    key_digests: frozenset[KeyDigest]
    priority: int
    rate: float
    burst: float
    regions: frozenset[records.RegionId]

    @property
    def is_limited(self):
        """True if the account has a quota."""
        return self.rate > 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """Limits that hold for each upstream of a service.

    Attributes:
      max_connections: Connections that an upstream accepts from all hosts together.
      cold_s: Time for which an upstream is cold after its start, in seconds.
      cold_rate: Requests a second that may be sent to a cold upstream; 0 for no limit.
      health_target: Request target of the upstreams' health answers, or None if it is not known.
    """

    service_id: records.ServiceId
    max_connections: int
    cold_s: float
    cold_rate: float
    health_target: bytes | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ClientLimits:
    """Limits on requests of clients: sizes in bytes, times in seconds."""

    max_head_bytes: int = 16_384
    max_body_bytes: int = 1_048_576
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class ProblemKind(enum.Enum):
    """Parts of a configuration that may be unreadable on their own."""

    ROUTE = "route"
    SERVICE = "service"
    ACCOUNT = "account"
    LIMITS = "limits"


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """A part of a configuration that could not be read as it stands.

    Attributes:
      subject: Name of the part.
      detail: What is wrong, and what the host does instead.
    """

    kind: ProblemKind
    subject: str
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """One generation of the operators' configuration.

    Attributes:
      accounts: Accounts by id, or None if clients need no account.
      unreadable_routes: Routes whose requests are rejected.
      problems: What could not be read.
    """

    generation: records.Generation
    routes: tuple[Route, ...]
    services: dict[records.ServiceId, Service]
    limits: ClientLimits
    accounts: dict[AccountId, Account] | None = None
    unreadable_routes: tuple[UnreadableRoute, ...] = ()
    problems: tuple[Problem, ...] = ()

    @property
    def has_unreadable_accounts(self):
        """True if a key that no account lists may belong to one that could not be read."""
        return any(problem.kind is ProblemKind.ACCOUNT for problem in self.problems)


@dataclasses.dataclass(frozen=True, slots=True)
class Upstream:
    """An upstream as its entry in the store describes it.

    Attributes:
      incarnation: Differs for each start of the upstream, also under the same id.
      cold_s: Time for which the upstream stays cold after it was registered, in seconds.
    """

    upstream_id: records.UpstreamId
    incarnation: int
    service_id: records.ServiceId
    address: Address
    zone: records.ZoneId
    region: records.RegionId
    slots: int
    state: UpstreamState
    cold_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """Load that an upstream reports in an answer.

    Attributes:
      running: Number of requests in its slots.
      waiting: Number of requests that wait for a slot.
      slots: Number of requests that it runs at the same time.
      pace: Factor by which requests take longer than usual; 1.0 at the usual speed.
    """

    running: int
    waiting: int
    slots: int
    pace: float


@dataclasses.dataclass(frozen=True, slots=True)
class HostCapacity:
    """What the machine of a host has.

    Attributes:
      cores: Processor time that the process may use in a second, in seconds.
      link_bytes_per_s: Bytes a second that its link carries each way.
      memory_bytes: Memory that the process may use.
      descriptors: File descriptors that the process may open.
    """

    cores: float
    link_bytes_per_s: float
    memory_bytes: int
    descriptors: int


@dataclasses.dataclass(frozen=True, slots=True)
class HostLoad:
    """Use of a host, as it reports it; shares are those of its HostCapacity, each None if unknown.

    Attributes:
      requests_per_s: Requests a second that clients send to it.
      processor_share: Share of the processor time that the process can use.
      link_share: Share of what the link carries each way.
      memory_share: Share of the memory for requests and answers.
      descriptor_share: Share of the descriptors for clients.
    """

    requests_per_s: float
    processor_share: float | None
    link_share: float | None
    memory_share: float | None = None
    descriptor_share: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class HostRecord:
    """One incarnation of a host, as it registers in the store and as peers spread it.

    Attributes:
      capacity: The HostCapacity, or None if it is not known.
    """

    host_id: records.HostId
    incarnation: int
    zone: records.ZoneId
    region: records.RegionId
    entry: Address
    gossip: Address
    capacity: HostCapacity | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Limits that the users set, read from the host's settings.

    Attributes:
      contact_s: Time without faults after which all other bounds hold, in seconds.
      drain_s: Time within which an upstream that leaves gets its last request, in seconds.
      grace_s: Time between the request to stop the host and its kill, in seconds.
      retry_ratio: Retries permitted for each request to a service, over all hosts.
      retry_window_s: Window of the retry budget in seconds.
      retry_extra: Additional retries permitted in each window, over all hosts.
      cold_overage: Factor by which a cold upstream's rate may be exceeded.
      cold_tolerance: Additional requests a second permitted to a cold upstream.
      max_lookup_lifetime_s: Longest time for which clients cache a look-up answer, in seconds.
      max_shift: Greatest change of a region's share from one window of 2 s to the next.
      apply_s: Time within which a configuration is to be in force everywhere, in seconds.
      quota_window_s: Window in which the quota of an account holds, in seconds.
      quota_overage: Share by which the quota of an account may be exceeded in a window.
      quota_tolerance: Additional requests by which it may be exceeded in a window.
      revoke_s: Time within which a removed key ends its use on all hosts, in seconds.
    """

    contact_s: float
    drain_s: float
    grace_s: float
    retry_ratio: float
    retry_window_s: float
    retry_extra: int
    cold_overage: float
    cold_tolerance: float
    max_lookup_lifetime_s: float
    max_shift: float
    apply_s: float
    quota_window_s: float = 5.0
    quota_overage: float = 0.0
    quota_tolerance: float = 0.0
    revoke_s: float = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class HostSettings:
    """Validated settings of one host process.

    Attributes:
      regions: Region of each availability zone.
      memory_bytes: Memory that the process may use.
      peer_keys: Keys that authenticate what hosts send to each other.
      capacity: What the machine has, or None if the settings don't say.
    """

    host_id: records.HostId
    zone: records.ZoneId
    region: records.RegionId
    entry: Address | None
    readiness: Address | None
    lookup: Address | None
    gossip: Address
    metrics: Address
    store: Address
    seeds: tuple[Address, ...]
    regions: dict[records.ZoneId, records.RegionId]
    bounds: Bounds
    memory_bytes: int
    peer_keys: keyring.Keyring = keyring.Keyring()
    capacity: HostCapacity | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class HeaderNames:
    """Names of the headers that the host program reads and sets, in lower case."""

    request_id: bytes
    deadline: bytes
    expected_upstream: bytes
    signature: bytes
    not_run: bytes
    upstream: bytes
    cold_ms: bytes
    load: bytes
    rate_limit: bytes
    leaving: bytes
    affinity_cookie: bytes
    account: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class LookupCodec:
    """Encoding of look-up requests and answers.

    Attributes:
      decode_query: Function of a request target that returns the client's region and zone, each
        None if it is not stated.
      encode_answer: Function of entry addresses and a lifetime in seconds that returns a body.
    """

    decode_query: typing.Callable
    encode_answer: typing.Callable
    content_type: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A complete request of a client.

    Attributes:
      deadline_s: Seconds from ``received_at`` to the client's deadline, or None.
      affinity_key: Key of the object that the request is about, or None.
      received_at: Monotonic time of receipt.
    """

    method: bytes
    target: bytes
    # Not part of the text of a request, as it may end in a log and headers hold the client's key.
    headers: tuple[tuple[bytes, bytes], ...] = dataclasses.field(repr=False)
    body: bytes
    request_id: bytes | None
    site: str
    deadline_s: float | None
    affinity_key: bytes | None
    received_at: float

    @property
    def path(self):
        """The path of the target without the query, as text."""
        return self.target.partition(b"?")[0].decode("latin-1")


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A complete answer to a client's request; ``headers`` lacks those of the connection."""

    status: int
    reason: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
