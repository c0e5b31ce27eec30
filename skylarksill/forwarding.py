"""State machine that forwards one request: each event determines the next action.

A request with a ticket is sent only to the ticket's home. If the home does not answer, the arbiter
is asked to revoke the ticket. The entry host never replaces the ticket: the client may have sent
the same ticket to another entry host, which would report NOT_RUN while the replacement runs.
"""

import dataclasses

from skylarksill import messages, records

MIN_ATTEMPT_S = 0.02
MAX_HOME_ATTEMPTS = 2
HOME_RETRY_DELAY_S = 0.05
LINK_RETRY_DELAY_S = 0.1
MIN_TIME_FOR_LINK_RETRY_S = 3 * LINK_RETRY_DELAY_S
MAX_ARBITER_ATTEMPTS = 3
ARBITER_RETRY_DELAY_S = 0.1
ARBITER_TIMEOUT_S = 1.0
MAX_DEADLINE_RESERVE_S = 0.1
MAX_TICKET_DEADLINE_RESERVE_S = 0.5
DEADLINE_RESERVE_RATIO = 0.2
MAX_ATTEMPTS = 4

# Refusals that are not retried: another dispatcher would decide the same, or no time is left.
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
SHIFT_CAP_LIMIT = "shift_cap_per_s"
# Reasons of a dispatcher that is not the ticket's home.
OTHER_HOME_REASONS = frozenset({"other_home"})


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """Host of a dispatcher that a request can be sent to."""

    host: records.HostId
    zone: records.ZoneId
    region: records.RegionId


@dataclasses.dataclass(frozen=True, slots=True)
class Started:
    """Event: the request is ready to be sent."""


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """Event: a dispatcher answered with a messages.DispatchResult."""

    result: messages.DispatchResult


@dataclasses.dataclass(frozen=True, slots=True)
class NotSent:
    """Event: the call was not sent; ``limit`` names the limit that prevented it, if any."""

    detail: str
    limit: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class NoAnswer:
    """Event: the call was sent and failed without a valid answer."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimAnswered:
    """Event: the arbiter answered with a messages.ClaimResult."""

    result: messages.ClaimResult


@dataclasses.dataclass(frozen=True, slots=True)
class ArbiterFailed:
    """Event: the call to the arbiter failed."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Paused:
    """Event: the pause has ended."""


@dataclasses.dataclass(frozen=True, slots=True)
class Dispatch:
    """Action: send the request.

    The dispatcher gets ``deadline_ms``; the call is abandoned after ``timeout_s``.
    """

    target: Target
    deadline_ms: int
    timeout_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Revoke:
    """Action: ask the ticket's arbiter to revoke it."""

    timeout_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Pause:
    """Action: wait, then report Paused."""

    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Deliver:
    """Action: return either the answer or the refusal to the client."""

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
      targets: Dispatchers in order of preference. For a request with a ticket, only the ticket's
        home, or none if the configuration does not list that host.
      deadline: Monotonic time in seconds.
      ticket: The verified Ticket, or None for idempotent work.
      home_region: Home region of the client, or None if it has no valid route.
      tried: Targets of the attempts so far, in order.
      arbiter_failures: Number of failed calls to the arbiter.
      is_revoking: True once the arbiter is asked to revoke the ticket.
      may_have_run: True if the request may have run in an earlier attempt.
    """

    targets: list
    deadline: float
    ticket: records.Ticket | None = None
    home_region: records.RegionId | None = None
    tried: list = dataclasses.field(default_factory=list)
    arbiter_failures: int = 0
    is_revoking: bool = False
    may_have_run: bool = False


def advance(state, event, now, budget):
    """Handles an event and decides the next action.

    Args:
      state: The request's Forwarding; it is modified.
      event: One of Started, Answered, NotSent, NoAnswer, ClaimAnswered, ArbiterFailed and Paused.
      now: Monotonic time in seconds.
      budget: The service's RetryBudget; it counts the request and its retries.
    Returns:
      The next action: Dispatch, Revoke, Pause or Deliver.
    """
    match event:
        case Started():
            budget.count_request(now)
            return _start(state, now)
        case Answered(result=result):
            return _handle_result(state, result, now, budget)
        case NotSent(detail=detail, limit=limit):
            return _handle_not_sent(state, detail, limit, now)
        case NoAnswer(detail=detail):
            return _handle_no_answer(state, detail, now, budget)
        case ClaimAnswered(result=result):
            return _handle_claim_result(state, result, now)
        case ArbiterFailed(detail=detail):
            return _handle_arbiter_failure(state, detail, now)
        case Paused():
            return _revoke(state, now) if state.is_revoking else _start(state, now)


def _start(state, now):
    if state.targets:
        return _dispatch(state, state.targets[0], now)
    if state.ticket:
        return _revoke(state, now)
    detail = "no dispatcher of the service is alive"
    return _refuse(records.Verdict.NOT_RUN, "no_dispatcher", detail, retry_after_ms=1_000)


def _dispatch(state, target, now):
    remaining_s = max(0.0, state.deadline - now)
    # The reserve lets the dispatcher's refusal at its deadline arrive before the call times out,
    # and leaves time to ask the arbiter.
    max_reserve_s = MAX_TICKET_DEADLINE_RESERVE_S if state.ticket else MAX_DEADLINE_RESERVE_S
    reserve_s = min(max_reserve_s, DEADLINE_RESERVE_RATIO * remaining_s)
    state.tried.append(target)
    deadline_ms = int(1000 * (remaining_s - reserve_s))
    return Dispatch(target, deadline_ms, max(MIN_ATTEMPT_S, remaining_s - reserve_s / 2))


def _handle_result(state, result, now, budget):
    if result.answer is not None:
        return Deliver(result.answer, None)
    refusal = result.refusal
    if state.ticket:
        is_other_home = refusal.reason in OTHER_HOME_REASONS
        return _revoke(state, now) if is_other_home else Deliver(None, refusal)
    state.may_have_run |= refusal.verdict is records.Verdict.MAY_HAVE_RUN
    if refusal.verdict is records.Verdict.RAN or refusal.reason in FINAL_REASONS:
        return _deliver_refusal(state, refusal)
    return _try_next(state, refusal, now, budget)


def _handle_not_sent(state, detail, limit, now):
    if not state.ticket:
        refusal = records.Refusal(
            records.Verdict.NOT_RUN, "not_sent", detail, limit, 100 if limit else None
        )
        # A call that was not sent adds no load, so its retry is not charged to the budget.
        return _try_next(state, refusal, now, None)
    if limit and state.deadline - now > MIN_TIME_FOR_LINK_RETRY_S:
        state.tried.pop()
        return Pause(LINK_RETRY_DELAY_S)
    if len(state.tried) < MAX_HOME_ATTEMPTS and state.deadline - now > 2 * HOME_RETRY_DELAY_S:
        return Pause(HOME_RETRY_DELAY_S)
    return _revoke(state, now)


def _handle_no_answer(state, detail, now, budget):
    if state.ticket:
        return _revoke(state, now)
    state.may_have_run = True
    refusal = records.Refusal(records.Verdict.MAY_HAVE_RUN, "no_answer", detail)
    return _try_next(state, refusal, now, budget)


def _try_next(state, refusal, now, budget):
    """Retries idempotent work at the next eligible dispatcher, or delivers the refusal.

    A budget of None means that the last call was not sent; its retry may stay in the same zone.
    """
    target = next(iter(_list_retry_targets(state, refusal, is_unsent=budget is None)), None)
    if target is None or len(state.tried) >= MAX_ATTEMPTS or state.deadline - now < MIN_ATTEMPT_S:
        return _deliver_refusal(state, refusal)
    if budget is not None and not budget.take_retry(now):
        limit = refusal.limit or "retry_budget"
        return _deliver_refusal(state, dataclasses.replace(refusal, limit=limit))
    return _dispatch(state, target, now)


def _list_retry_targets(state, refusal, is_unsent):
    zones = {target.zone for target in state.tried}
    hosts = {target.host for target in state.tried}
    retry_targets = [
        target
        for target in state.targets
        if target.host not in hosts and (is_unsent or target.zone not in zones)
    ]
    if refusal.limit == SHIFT_CAP_LIMIT:
        # Requests in the client's home region do not count against the shift cap.
        retry_targets.sort(key=lambda target: target.region != state.home_region)
    return retry_targets


def _deliver_refusal(state, refusal):
    """Delivers the last refusal, as MAY_HAVE_RUN if an earlier attempt may have run."""
    if state.may_have_run and refusal.verdict is records.Verdict.NOT_RUN:
        refusal = dataclasses.replace(refusal, verdict=records.Verdict.MAY_HAVE_RUN)
    return Deliver(None, refusal)


def _revoke(state, now):
    state.is_revoking = True
    if state.ticket.arbiter is None:
        detail = "the ticket's home gave no answer and the ticket names no arbiter"
        return _refuse(records.Verdict.MAY_HAVE_RUN, "home_lost", detail)
    # The arbiter is asked at least once, even if the home used up the time until the deadline.
    remaining_s = max(state.deadline - now, 2 * ARBITER_RETRY_DELAY_S)
    return Revoke(min(ARBITER_TIMEOUT_S, remaining_s))


def _handle_claim_result(state, result, now):
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
    if state.deadline - now > ARBITER_RETRY_DELAY_S:
        return Pause(ARBITER_RETRY_DELAY_S)
    detail = "the ticket's home claimed the ticket and gave no answer before the deadline"
    return _refuse(records.Verdict.MAY_HAVE_RUN, "home_lost", detail)


def _handle_arbiter_failure(state, detail, now):
    state.arbiter_failures += 1
    if (
        state.arbiter_failures < MAX_ARBITER_ATTEMPTS
        and state.deadline - now > ARBITER_RETRY_DELAY_S
    ):
        return Pause(ARBITER_RETRY_DELAY_S)
    return _refuse(records.Verdict.MAY_HAVE_RUN, "arbiter_unreachable", detail)


def _refuse(verdict, reason, detail, limit=None, retry_after_ms=None):
    return Deliver(None, records.Refusal(verdict, reason, detail, limit, retry_after_ms))
