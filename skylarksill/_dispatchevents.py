"""Events that the dispatcher handles and actions that it returns."""

import dataclasses

from skylarksill import messages, records


@dataclasses.dataclass(frozen=True, slots=True)
class Arrived:
    """A request arrived; its ticket, if it needs one, has been claimed."""

    request: records.Request


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """An upstream answered a send completely."""

    send_id: int
    answer: records.Answer
    is_leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class SendFailed:
    """A send ended without a usable answer.

    Each Send ends with one Answered or SendFailed, also after CancelSend.

    Attributes:
      has_upstream_died: True if the upstream closed the connection while it ran the request.
      has_run_ended: True if the upstream cannot be running the request any more; else its slot
        stays occupied until the deadline has passed.
      is_unreachable: True if no connection could be opened.
      is_shed: True if the upstream reported that it refused the request without running it.
      is_leaving: True if the upstream announced a planned stop.
    """

    send_id: int
    verdict: records.Verdict
    reason: str
    has_upstream_died: bool = False
    has_run_ended: bool = True
    is_unreachable: bool = False
    is_shed: bool = False
    is_leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardEnded:
    """The sibling dispatcher ended a forwarded request; one of the two fields is present."""

    request_id: records.RequestId
    answer: records.Answer | None
    refusal: records.Refusal | None
    upstream: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Cancelled:
    """The caller cancelled a request; non-idempotent work in flight still runs to its end."""

    request_id: records.RequestId


@dataclasses.dataclass(frozen=True, slots=True)
class Ticked:
    """Runs due timers and starts waiting work; carries no data."""


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationAccepted:
    """A configuration is in force at this host from now on."""

    configuration: records.Configuration


@dataclasses.dataclass(frozen=True, slots=True)
class LoanGranted:
    """A standby lent slots; ``requested_at`` is the time in seconds of the request for them."""

    upstreams: tuple[records.UpstreamId, ...]
    requested_at: float
    duration_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class LoanRequested:
    """A home dispatcher requests the slots that this dispatcher owns as standby."""

    upstreams: tuple[records.UpstreamId, ...]
    borrower: records.HostId


@dataclasses.dataclass(frozen=True, slots=True)
class SiblingLoad:
    """Free slots of a service at a dispatcher of another zone in the region."""

    host: records.HostId
    service: records.ServiceId
    free: int


@dataclasses.dataclass(frozen=True, slots=True)
class PeerViewReceived:
    """The agent's knowledge of the peers.

    ``accepted`` pairs hosts with the configuration generation that each has accepted. A host that
    has drained for good is listed with the newest generation.
    """

    accepted: tuple[tuple[records.HostId, records.Generation], ...] = ()
    siblings: tuple[SiblingLoad, ...] = ()
    suspects: tuple[messages.SuspectEntry, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamLeaving:
    """A source, such as the host list, reports whether an upstream is about to stop as planned."""

    upstream: records.UpstreamId
    source: str
    is_leaving: bool


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamProbed:
    """A health probe of an upstream ended."""

    upstream: records.UpstreamId
    is_healthy: bool


@dataclasses.dataclass(frozen=True, slots=True)
class StopRequested:
    """The process is about to stop: refuses all new requests from now on."""


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Sends a request to an upstream; ``deadline`` is a monotonic time in seconds."""

    send_id: int
    request: records.Request
    upstream: records.Upstream
    deadline: float
    is_hedge: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class CancelSend:
    """Cancels a send; its slot stays occupied until Answered or SendFailed."""

    send_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Answers a request; its verdict is RAN."""

    request_id: records.RequestId
    answer: records.Answer
    upstream: str | None


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Ends a request without an answer."""

    request_id: records.RequestId
    refusal: records.Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class Forward:
    """Sends a request to a dispatcher of another zone in the region."""

    request: records.Request
    host: records.HostId
    deadline: float


@dataclasses.dataclass(frozen=True, slots=True)
class CancelForward:
    """Cancels a forwarded request."""

    request_id: records.RequestId


@dataclasses.dataclass(frozen=True, slots=True)
class ReportSuspect:
    """Reports a suspected or blocked request to the peers at once; 0 deaths clear a suspect."""

    entry: messages.SuspectEntry


@dataclasses.dataclass(frozen=True, slots=True)
class GrantLoan:
    """Answers LoanRequested with the upstreams whose slot is lent."""

    upstreams: tuple[records.UpstreamId, ...]
    duration_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class LogDecision:
    """Logs a placement decision; ``waited_ms`` is the time since the request arrived."""

    request_id: records.RequestId
    decision: str
    service: records.ServiceId
    target: str
    waited_ms: int
    is_long: bool
