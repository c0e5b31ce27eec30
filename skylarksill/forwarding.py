"""Decides the next step of a request at the entry host from the outcome of the last step.

A request with a ticket goes to the ticket's home alone, and to the arbiter if the home gives no
answer. It never goes on with another ticket: the client may already have sent the same ticket to
another entry host, which would report it as not run while the other ticket runs.
"""

import dataclasses

from skylarksill import messages, records

MIN_TRY_S = 0.02
HOME_TRIES = 2
HOME_PAUSE_S = 0.05
LINK_PAUSE_S = 0.1
HOME_DEADLINE_SHARE_S = 3 * LINK_PAUSE_S
ARBITER_TRIES = 3
ARBITER_PAUSE_S = 0.1
ARBITER_TIMEOUT_S = 1.0
MAX_RESERVE_S = 0.1
MAX_TICKET_RESERVE_S = 0.5
RESERVE_SHARE = 0.2
MAX_TRIES = 4

# Another dispatcher would decide the same, or there is no time left for it.
FINAL_REASONS = frozenset(
    {
        "blocked_request",
        "cancelled",
        "deadline_passed",
        "deadline_too_near",
        "suspect_request",
        "unknown_service",
    }
)
SHIFT_LIMIT = "shift_cap_per_s"
# Reasons with which a dispatcher says that it is not the ticket's home.
OTHER_HOME_REASONS = frozenset({"other_home"})


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A dispatcher that a request can be sent to."""

    host: records.HostId
    zone: records.ZoneId
    region: records.RegionId


@dataclasses.dataclass(frozen=True, slots=True)
class Started:
    """The request is ready to be sent."""


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """A dispatcher answered with a messages.DispatchResult."""

    result: messages.DispatchResult


@dataclasses.dataclass(frozen=True, slots=True)
class NotSent:
    """The call did not reach the dispatcher; ``limit`` names the limit that held it back."""

    detail: str
    limit: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Lost:
    """The call was sent and no answer came."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Settled:
    """The arbiter answered with a messages.ClaimResult."""

    result: messages.ClaimResult


@dataclasses.dataclass(frozen=True, slots=True)
class ArbiterSilent:
    """The arbiter gave no answer."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Paused:
    """The pause is over."""


@dataclasses.dataclass(frozen=True, slots=True)
class Dispatch:
    """Send the request; the dispatcher gets ``deadline_ms`` and the call ends after timeout_s."""

    target: Target
    deadline_ms: int
    timeout_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Revoke:
    """Ask the ticket's arbiter to revoke it."""

    timeout_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Pause:
    """Wait, then report Paused."""

    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Deliver:
    """Give the client either the answer or the refusal."""

    answer: records.Answer | None
    refusal: records.Refusal | None

    @property
    def verdict(self):
        """The Verdict of the request."""
        return records.Verdict.RAN if self.answer else self.refusal.verdict


@dataclasses.dataclass(slots=True)
class Forwarding:
    """State of one request.

    Attributes:
      targets: Dispatchers in the order of preference; only the home for a request with a ticket,
        and empty if the configuration does not name it.
      deadline: Monotonic time in seconds.
      ticket: The verified Ticket, or None for idempotent work.
      home_region: Home region of the client, or None if it has no valid route.
      tried: Targets that were tried, in order.
    """

    targets: list
    deadline: float
    ticket: records.Ticket | None = None
    home_region: records.RegionId | None = None
    tried: list = dataclasses.field(default_factory=list)
    arbiter_failures: int = 0
    is_revoking: bool = False
    may_have_run: bool = False


def advance(work, event, now, budget):
    """Decides the next step.

    Args:
      work: The request's Forwarding; it is changed.
      event: What happened: Started, Answered, NotSent, Lost, Settled, ArbiterSilent or Paused.
      now: Monotonic time in seconds.
      budget: The service's RetryBudget; a retry is taken from it.
    Returns:
      The next action: Dispatch, Revoke, Pause or Deliver.
    """
    match event:
        case Started():
            budget.count_request(now)
            return _start(work, now)
        case Answered(result=result):
            return _judge_result(work, result, now, budget)
        case NotSent(detail=detail, limit=limit):
            return _judge_not_sent(work, detail, limit, now)
        case Lost(detail=detail):
            return _judge_lost(work, detail, now, budget)
        case Settled(result=result):
            return _judge_claim(work, result, now)
        case ArbiterSilent(detail=detail):
            return _judge_silence(work, detail, now)
        case Paused():
            return _revoke(work, now) if work.is_revoking else _start(work, now)


def _start(work, now):
    if work.targets:
        return _dispatch(work, work.targets[0], now)
    if work.ticket:
        return _revoke(work, now)
    detail = "no dispatcher of the service is alive"
    return _refuse(records.Verdict.NOT_RUN, "no_dispatcher", detail, retry_after_ms=1_000)


def _dispatch(work, target, now):
    remaining = max(0.0, work.deadline - now)
    # The dispatcher's own refusal at its deadline arrives before the call times out, and time is
    # left to ask the arbiter.
    longest = MAX_TICKET_RESERVE_S if work.ticket else MAX_RESERVE_S
    reserve = min(longest, RESERVE_SHARE * remaining)
    work.tried.append(target)
    deadline_ms = int(1000 * (remaining - reserve))
    return Dispatch(target, deadline_ms, max(MIN_TRY_S, remaining - reserve / 2))


def _judge_result(work, result, now, budget):
    if result.answer is not None:
        return Deliver(result.answer, None)
    refusal = result.refusal
    if work.ticket:
        is_elsewhere = refusal.reason in OTHER_HOME_REASONS
        return _revoke(work, now) if is_elsewhere else Deliver(None, refusal)
    work.may_have_run |= refusal.verdict is records.Verdict.MAY_HAVE_RUN
    if refusal.verdict is records.Verdict.RAN or refusal.reason in FINAL_REASONS:
        return _deliver_refusal(work, refusal)
    return _try_next(work, refusal, now, budget)


def _judge_not_sent(work, detail, limit, now):
    if not work.ticket:
        refusal = records.Refusal(
            records.Verdict.NOT_RUN, "not_sent", detail, limit, 100 if limit else None
        )
        # A call that was not sent adds no load, so it is not taken from the budget.
        return _try_next(work, refusal, now, None)
    if limit and work.deadline - now > HOME_DEADLINE_SHARE_S:
        work.tried.pop()
        return Pause(LINK_PAUSE_S)
    if len(work.tried) < HOME_TRIES and work.deadline - now > 2 * HOME_PAUSE_S:
        return Pause(HOME_PAUSE_S)
    return _revoke(work, now)


def _judge_lost(work, detail, now, budget):
    if work.ticket:
        return _revoke(work, now)
    work.may_have_run = True
    refusal = records.Refusal(records.Verdict.MAY_HAVE_RUN, "no_answer", detail)
    return _try_next(work, refusal, now, budget)


def _try_next(work, refusal, now, budget):
    """Sends idempotent work to the next dispatcher of another zone, or gives up."""
    target = next(iter(_list_untried(work, refusal, is_unsent=budget is None)), None)
    if target is None or len(work.tried) >= MAX_TRIES or work.deadline - now < MIN_TRY_S:
        return _deliver_refusal(work, refusal)
    if budget is not None and not budget.take_retry(now):
        limit = refusal.limit or "retry_budget"
        return _deliver_refusal(work, dataclasses.replace(refusal, limit=limit))
    return _dispatch(work, target, now)


def _list_untried(work, refusal, is_unsent):
    zones = {target.zone for target in work.tried}
    hosts = {target.host for target in work.tried}
    untried = [
        target
        for target in work.targets
        if target.host not in hosts and (is_unsent or target.zone not in zones)
    ]
    if refusal.limit == SHIFT_LIMIT:
        # In its home region the work does not count as shifted.
        untried.sort(key=lambda target: target.region != work.home_region)
    return untried


def _deliver_refusal(work, refusal):
    """Delivers the last refusal; NOT_RUN of the last try does not cover an earlier lost one."""
    if work.may_have_run and refusal.verdict is records.Verdict.NOT_RUN:
        refusal = dataclasses.replace(refusal, verdict=records.Verdict.MAY_HAVE_RUN)
    return Deliver(None, refusal)


def _revoke(work, now):
    work.is_revoking = True
    if work.ticket.arbiter is None:
        detail = "the ticket's home gave no answer and the ticket names no arbiter"
        return _refuse(records.Verdict.MAY_HAVE_RUN, "home_lost", detail)
    # The arbiter is asked at least once, even if the home took the whole time.
    remaining = max(work.deadline - now, 2 * ARBITER_PAUSE_S)
    return Revoke(min(ARBITER_TIMEOUT_S, remaining))


def _judge_claim(work, result, now):
    match result.state:
        case records.ClaimState.REVOKED:
            detail = "the ticket's home gave no answer and the arbiter revoked the ticket"
            return _refuse(records.Verdict.NOT_RUN, "ticket_revoked", detail)
        case records.ClaimState.RAN if result.answer is not None:
            return Deliver(result.answer, None)
        case records.ClaimState.RAN:
            detail = "the request ran, but its answer was not copied to the arbiter"
            return _refuse(records.Verdict.RAN, "answer_not_kept", detail)
        case records.ClaimState.UNKNOWN:
            detail = "the ticket's home gave no answer and its arbiter does not know the ticket"
            return _refuse(records.Verdict.MAY_HAVE_RUN, "arbiter_restarted", detail)
    if work.deadline - now > ARBITER_PAUSE_S:
        return Pause(ARBITER_PAUSE_S)
    detail = "the ticket's home claimed the ticket and gave no answer before the deadline"
    return _refuse(records.Verdict.MAY_HAVE_RUN, "home_lost", detail)


def _judge_silence(work, detail, now):
    work.arbiter_failures += 1
    if work.arbiter_failures < ARBITER_TRIES and work.deadline - now > ARBITER_PAUSE_S:
        return Pause(ARBITER_PAUSE_S)
    return _refuse(records.Verdict.MAY_HAVE_RUN, "arbiter_unreachable", detail)


def _refuse(verdict, reason, detail, limit=None, retry_after_ms=None):
    return Deliver(None, records.Refusal(verdict, reason, detail, limit, retry_after_ms))
