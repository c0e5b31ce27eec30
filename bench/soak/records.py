"""Observations of a soak run, as seen by clients, upstreams and operators."""

import dataclasses
import enum

from bench.soak import lossrule
from standins import platformdata

# What a configuration allows a request for which it has no route.
NO_SERVICES = frozenset()


class DisturbedPart(enum.Enum):
    """What is disturbed: a host process, its connections to the store, or the store itself."""

    PROCESS = "process"
    STORE_PATH = "store_path"
    STORE = "store"


@dataclasses.dataclass(slots=True)
class ClientRequest:
    """A request that a client sent, and its outcome; times are monotonic seconds.

    Attributes:
      status: Status of the answer, or None if the connection ended without a complete one.
      end: Who ended the request and how, or None if it was never sent.
      completed_at: Time at which the last byte of the request was sent, or None.
      is_kept: Whether the connection had carried an earlier request.
      is_behind: Whether earlier requests on the connection had no answer when it was sent.
    """

    request_id: str
    target: str
    is_idempotent: bool
    host: int
    sent_at: float
    ended_at: float = 0.0
    status: int | None = None
    body: bytes = b""
    is_signed: bool = False
    completed_at: float | None = None
    is_behind: bool = False
    site: str = platformdata.SITE
    end: lossrule.End | None = None
    is_kept: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """The start of a request at an upstream.

    Attributes:
      at: Monotonic seconds.
      process: Number of the process that ran it, among those under the upstream's id.
    """

    request_id: str
    upstream_id: str
    zone: str
    region: str
    at: float
    service: str = "catalogue"
    process: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Reboot:
    """The start of a new process under an upstream's id, whose connections were refused before.

    Attributes:
      process: Number of the new process among those under the id.
      at: Monotonic time at which it listens, cold.
    """

    upstream_id: str
    process: int
    at: float


@dataclasses.dataclass(slots=True)
class Disturbance:
    """A disturbance of a host, or of the store if ``host`` is None; a restart may be planned."""

    part: DisturbedPart
    host: int | None
    begin: float
    end: float = float("inf")
    is_planned: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Stop:
    """A graceful stop of a host; ``code`` is its exit code, or None if it had to be killed."""

    host: int
    requested_at: float
    ended_at: float
    code: int | None


@dataclasses.dataclass(slots=True)
class Evacuation:
    """A time span in which the upstreams of a zone must get no requests."""

    zone: str
    begin: float
    end: float = float("inf")


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """A request that an upstream refused; ``at`` is in monotonic seconds."""

    request_id: str
    upstream_id: str
    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Version:
    """A version of the configuration; ``routes`` are services by site and path prefix."""

    number: int
    sent_at: float
    acknowledged_at: float
    routes: dict[tuple[str, str], frozenset[str]]


class DemandKind(enum.Enum):
    """What an upstream asks for in its answers."""

    LIMIT = "limit"
    LEAVING = "leaving"
    PAUSE = "pause"


@dataclasses.dataclass(slots=True)
class Demand:
    """A time span in which an upstream asks for something in its answers."""

    kind: DemandKind
    upstream_id: str
    begin: float
    end: float = float("inf")


@dataclasses.dataclass(slots=True)
class Observations:
    """All input of the checks.

    Attributes:
      reloads: Pairs of a host and the time at which it was asked to reload its settings.
      leave_times: Time at which the store had acknowledged an upstream's draining, by id.
      generations: Time at which the store had acknowledged a generation, by number; each one adds
        a route.
      versions: All versions of the configuration, with those that add no generation, as sent.
      upstream_faults: Pairs of begin and end of the faults of an upstream, by id.
      refusals: The requests that upstreams refused, with a time to return.
      demands: What upstreams asked for.
      restarts: Pairs of an upstream's id and the time at which it restarted under that id.
      reboots: The restarts under the same id before which connections were refused.
      crash_requests: The copies of an order that crashes upstreams, as sent.
      crash_runs: Ids of the copies that have reached upstreams, in order.
      uploads: The long orders to upstreams that read slowly.
      client_delays: Pairs of begin and end of the times in which the process of the clients stood
        still.
      recovered: Whether a host served again after the last fault, by host.
      crashes: Descriptions of processes that ended by themselves or wrote a traceback.
    """

    client_requests: list[ClientRequest] = dataclasses.field(default_factory=list)
    runs: list[Run] = dataclasses.field(default_factory=list)
    disturbances: list[Disturbance] = dataclasses.field(default_factory=list)
    stops: list[Stop] = dataclasses.field(default_factory=list)
    reloads: list[tuple[int, float]] = dataclasses.field(default_factory=list)
    evacuations: list[Evacuation] = dataclasses.field(default_factory=list)
    leave_times: dict[str, float] = dataclasses.field(default_factory=dict)
    generations: dict[int, float] = dataclasses.field(default_factory=dict)
    versions: list[Version] = dataclasses.field(default_factory=list)
    upstream_faults: dict[str, list[tuple[float, float]]] = dataclasses.field(default_factory=dict)
    refusals: list[Refusal] = dataclasses.field(default_factory=list)
    demands: list[Demand] = dataclasses.field(default_factory=list)
    restarts: list[tuple[str, float]] = dataclasses.field(default_factory=list)
    reboots: list[Reboot] = dataclasses.field(default_factory=list)
    crash_requests: list[ClientRequest] = dataclasses.field(default_factory=list)
    crash_runs: list[str] = dataclasses.field(default_factory=list)
    uploads: list[ClientRequest] = dataclasses.field(default_factory=list)
    client_delays: list[tuple[float, float]] = dataclasses.field(default_factory=list)
    recovered: dict[int, bool] = dataclasses.field(default_factory=dict)
    crashes: list[str] = dataclasses.field(default_factory=list)

    def is_disturbed(self, host, begin, end, part):
        """Returns True if a part of a host was disturbed within a time span."""
        return any(
            item.part is part and item.host == host and item.begin <= end and item.end >= begin
            for item in self.disturbances
        )
