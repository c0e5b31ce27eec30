"""What a run of the soak has seen, from the sides of callers, upstreams and operators."""

import dataclasses
import enum


class Trouble(enum.Enum):
    """What a host or the store suffers."""

    PROCESS = "process"
    STORE_PATH = "store_path"
    STORE = "store"


@dataclasses.dataclass(slots=True)
class Send:
    """A request of a client, and how it ended; times are monotonic seconds.

    Attributes:
      status: Status of the answer, or None if the connection ended without one.
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


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """An upstream began to run a request."""

    request_id: str
    upstream_id: str
    zone: str
    region: str
    at: float


@dataclasses.dataclass(slots=True)
class Disturbance:
    """Trouble of a host, or of the store if ``host`` is None."""

    trouble: Trouble
    host: int | None
    begin: float
    end: float = float("inf")


@dataclasses.dataclass(frozen=True, slots=True)
class Stop:
    """A host was told to stop and ended with a code, or had to be killed if it is None."""

    host: int
    asked_at: float
    ended_at: float
    code: int | None


@dataclasses.dataclass(slots=True)
class Evacuation:
    """A zone's upstreams were to get nothing."""

    zone: str
    begin: float
    end: float = float("inf")


@dataclasses.dataclass(slots=True)
class Observations:
    """Everything that the checks need.

    Attributes:
      leaves: Time at which each upstream's leaving was acknowledged, by id.
      generations: Time at which each generation was acknowledged; it adds a route of its own.
      spoilt: Pairs of begin and end of trouble of an upstream, by id.
      recovered: By host, whether it served again after the last fault.
      crashes: Descriptions of processes that ended by themselves or wrote a traceback.
    """

    sends: list[Send] = dataclasses.field(default_factory=list)
    runs: list[Run] = dataclasses.field(default_factory=list)
    disturbances: list[Disturbance] = dataclasses.field(default_factory=list)
    stops: list[Stop] = dataclasses.field(default_factory=list)
    evacuations: list[Evacuation] = dataclasses.field(default_factory=list)
    leaves: dict[str, float] = dataclasses.field(default_factory=dict)
    generations: dict[int, float] = dataclasses.field(default_factory=dict)
    spoilt: dict[str, list[tuple[float, float]]] = dataclasses.field(default_factory=dict)
    recovered: dict[int, bool] = dataclasses.field(default_factory=dict)
    crashes: list[str] = dataclasses.field(default_factory=list)
