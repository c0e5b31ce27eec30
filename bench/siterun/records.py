"""What clients, upstreams and the operator of a run observe; times are monotonic seconds.

Processes of one computer share the monotonic clock.
"""

import dataclasses
import enum

from bench.soak.lossrule import End


class RunEnd(enum.Enum):
    """How a request ended at an upstream.

    HOST_LEFT is an end of the connection by the host while the upstream was at work. REFUSED is a
    refusal by the upstream, which has not run the request. BROKEN_OFF is an end by the upstream
    itself before its answer was complete, also of a request on which it had not begun.
    """

    RUNNING = "running"
    REFUSED = "refused"
    ANSWERED = "answered"
    HOST_LEFT = "host_left"
    BROKEN_OFF = "broken_off"


@dataclasses.dataclass(slots=True)
class Attempt:
    """One request of a client on one connection.

    Attributes:
      kind: Name of its shape.RequestShape.
      host: IP address of the host.
      is_kept: Whether the connection had carried an earlier request.
      is_behind: Whether earlier requests on the connection had no answer when it was sent.
      deadline_s: Time that the client grants, in seconds.
      sent_at: Time at which the client sent its first byte.
      completed_at: Time at which the client sent its last byte, or None.
      is_signed: Whether the answer bears the signature of an upstream.
      standstill_s: Part of the time from its last byte to its end in which the client's own process
        stood still, in seconds.
      is_half_closed: Whether the client has ended its sending side behind it.
      is_old: Whether it was sent in HTTP/1.0.
      is_last: Whether the client has said that it is the last one on its connection.
    """

    request_id: str
    kind: str
    host: str
    is_kept: bool
    is_behind: bool
    deadline_s: float
    sent_at: float
    completed_at: float | None = None
    ended_at: float = 0.0
    end: End = End.CLIENT_LEFT
    status: int | None = None
    is_signed: bool = False
    standstill_s: float = 0.0
    is_half_closed: bool = False
    is_old: bool = False
    is_last: bool = False


@dataclasses.dataclass(slots=True)
class Run:
    """A request at an upstream, which waits until the upstream begins to work on it."""

    request_id: str
    upstream_id: str
    began_at: float = float("inf")
    ended_at: float = float("inf")
    end: RunEnd = RunEnd.RUNNING


@dataclasses.dataclass(frozen=True, slots=True)
class Stop:
    """A SIGTERM to a host; ``code`` is its exit code, or None if it had to be killed."""

    host: str
    requested_at: float
    ended_at: float
    code: int | None


@dataclasses.dataclass(slots=True)
class Disturbance:
    """An unplanned disturbance of a host, or of the store if ``host`` is None.

    A host that was killed is disturbed until its new process is started.
    """

    host: str | None
    begins_at: float
    ends_at: float = float("inf")


@dataclasses.dataclass(frozen=True, slots=True)
class Version:
    """A version of the configuration; ``timeouts_s`` are those of its routes by kind of request."""

    number: int
    sent_at: float
    acknowledged_at: float
    timeouts_s: dict[str, float]


@dataclasses.dataclass(slots=True)
class Observations:
    """All input of the checks.

    Attributes:
      host_names: Names of the hosts by IP address.
      starts: Pairs of a host's IP address and the time at which a process of it was started.
      upstreams: Pairs of the service and the zone of the upstreams by id.
      begins_at: Time of the first requests.
      reloads: Pairs of a host's IP address and the time of a SIGHUP.
      ended_hosts: Pairs of the IP address of a host whose process has ended by itself, and the time
        at which that was seen.
      crashes: Number of crashes of upstreams.
      lost_writes: Number of objects that the store has held otherwise after its returns.
      crowd_count: Most idle connections that a crowd had open to one host at a time.
      lateness_s: Longest delay with which a process of the run itself has woken up.
    """

    attempts: list[Attempt] = dataclasses.field(default_factory=list)
    runs: list[Run] = dataclasses.field(default_factory=list)
    stops: list[Stop] = dataclasses.field(default_factory=list)
    reloads: list[tuple[str, float]] = dataclasses.field(default_factory=list)
    versions: list[Version] = dataclasses.field(default_factory=list)
    ended_hosts: list[tuple[str, float]] = dataclasses.field(default_factory=list)
    crashes: int = 0
    disturbances: list[Disturbance] = dataclasses.field(default_factory=list)
    lost_writes: int = 0
    crowd_count: int = 0
    lateness_s: float = 0.0
    host_names: dict[str, str] = dataclasses.field(default_factory=dict)
    starts: list[tuple[str, float]] = dataclasses.field(default_factory=list)
    upstreams: dict[str, tuple[str, str]] = dataclasses.field(default_factory=dict)
    begins_at: float = 0.0


def encode_attempt(attempt):
    """Returns an Attempt as a list for a file of msgpack."""
    return [*dataclasses.astuple(dataclasses.replace(attempt, end=attempt.end.value))]


def decode_attempt(values):
    """Returns the Attempt of a list made by ``encode_attempt``."""
    attempt = Attempt(*values)
    attempt.end = End(attempt.end)
    return attempt
