"""Checks each clause of the rule that nothing which was accepted is lost, without input or output.

What a host refuses as not run must not run either, and orders run once.

A host that is killed or paused is excused until it has been calm for a while, and so is what other
hosts do around planned work beside it; a disturbance of the store excuses nothing, and one of
upstreams and clients only what these break off and leave. A process that gets little of a processor
is not excused either.
"""

import collections
import dataclasses
import enum

from bench.siterun import records
from bench.soak import lossrule

# Time from the last byte of a request from which it counts as read.
LOSS_SLACK_S = 0.2
# A stop or a change still counts as the reason of a lost request for this long.
AFTERMATH_S = 1.0
# A configuration explains a cut only if the request has used less of its time than this share, and
# if cuts are so many times as frequent beside configurations as at other times.
USED_TIME_SHARE = 0.7
PERMITTED_FACTOR = 3.0
# Statuses that promise that a request was not run and never will be.
PROMISES = (408, 421, 429, 503)


class Excuse(enum.StrEnum):
    """Why a request that ended without an upstream's answer is not lost."""

    LEFT = "left by its client"
    INCOMPLETE = "its last byte was not sent"
    TIME_UP = "its time was up"
    BROKEN_OFF = "broken off by all its upstreams"
    WORKED_LATE = "at work in the last sixth of a stop"
    HOST_ANSWERED = "answered by the host"
    BEHIND = "cut unsent behind another request"
    WITHIN_SLACK = "cut unsent within the slack"
    CALM = "cut on a new connection or unsent, without planned work"
    FEW_KEPT = "cut on a kept connection, as few others"
    DISTURBED = "its host was disturbed"
    BESIDE_DISTURBED = "around planned work, as another host was disturbed"
    USUAL = "cut beside a configuration, as often as without"


class Clause(enum.StrEnum):
    """A clause of the rule: the occasion, and what became of the request."""

    KEPT_CUT = "cut on a kept connection, at any time"
    STOP_CUT = "cut at an upstream around a stop"
    STOP_UNSENT = "read and cut unsent around a stop"
    STOP_REPLACED = "given the host's own answer while at an upstream, around a stop"
    RELOAD_CUT = "cut at an upstream around a reload"
    RELOAD_UNSENT = "read and cut unsent around a reload"
    CONFIGURATION_CUT = "cut at an upstream beside a configuration"
    CONFIGURATION_UNSENT = "read and cut unsent beside a configuration"
    REFUSED_RUN = "refused as not run, and run"
    RUN_TWICE = "not idempotent, and run more than once"


_CUT_CLAUSES = {
    "stop": (Clause.STOP_CUT, Clause.STOP_UNSENT),
    "reload": (Clause.RELOAD_CUT, Clause.RELOAD_UNSENT),
    "configuration": (Clause.CONFIGURATION_CUT, Clause.CONFIGURATION_UNSENT),
}
_CONFIGURATION_CLAUSES = _CUT_CLAUSES["configuration"]
# Clauses that hold beside any disturbance.
_REPEAT_CLAUSES = (Clause.REFUSED_RUN, Clause.RUN_TWICE)


@dataclasses.dataclass(frozen=True, slots=True)
class Loss:
    """A request that was lost.

    Attributes:
      after_s: Time from the planned work to its end in seconds, or None.
      is_in_touch: Whether its host was in touch, see ``is_in_touch``.
    """

    clause: Clause
    attempt: records.Attempt
    after_s: float | None
    runs: tuple[records.Run, ...] = ()
    is_in_touch: bool = True

    def describe(self):
        """Returns the loss as a line of text."""
        attempt = self.attempt
        held_s = attempt.ended_at - attempt.completed_at
        occasion = f" at +{self.after_s:.2f} s" if self.after_s is not None else ""
        ends = ", ".join(run.end.value for run in self.runs) or "not sent"
        habits = ", half-closed by its client" if attempt.is_half_closed else ""
        habits += ", HTTP/1.0" if attempt.is_old else ""
        habits += ", last of its connection" if attempt.is_last else ""
        return (
            f"{attempt.request_id} ({attempt.kind}) at {attempt.host}: {self.clause}{occasion},"
            f" {held_s:.2f} s after its last byte ({attempt.end.value}, {attempt.status};"
            f" upstreams: {ends}{habits})"
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Judgement:
    """What became of the requests without an upstream's answer: lost, or excused by a reason.

    Attributes:
      kept_cuts: All that were cut on kept connections, also if the rule permits as few.
    """

    losses: list[Loss]
    excuses: collections.Counter[Excuse]
    kept_cuts: list[Loss]


def find_losses(observations, site):
    """Returns the Loss items that break the rule; see ``judge``."""
    return judge(observations, site).losses


def judge(observations, site):
    """Returns the Judgement of a run.

    Args:
      observations: The records.Observations.
      site: The shape.SiteShape.
    """
    runs = collections.defaultdict(list)
    for run in observations.runs:
        if run.end is not records.RunEnd.REFUSED:
            runs[run.request_id].append(run)
    losses, cuts = [], []
    excuses = collections.Counter()
    for attempt in observations.attempts:
        attempt_runs = runs[attempt.request_id]
        losses += _judge_repeats(site, attempt, attempt_runs)
        if _is_answered_by_upstream(attempt):
            continue
        excuse = _find_excuse_of_client(attempt)
        if excuse is not None:
            excuses[excuse] += 1
            continue
        kept_cut = list(_judge_kept(observations, site, attempt, attempt_runs))
        excuse = _find_excuse(observations, site, attempt, attempt_runs)
        if excuse is not None:
            # The clause of kept connections knows none of these, but holds for hosts in touch only.
            kept_cut = [loss for loss in kept_cut if loss.is_in_touch]
            losses += kept_cut
            excuses[excuse] += not kept_cut
            continue
        if attempt.end is records.End.ANSWERED:
            found = list(_judge_replaced(observations, site, attempt, attempt_runs))
            excuse = Excuse.HOST_ANSWERED
        else:
            found = kept_cut + list(_judge_cut(observations, site, attempt, attempt_runs))
            excuse = _explain_cut(observations, site, attempt, attempt_runs)
            if excuse is not Excuse.DISTURBED:
                cuts.append(attempt)
        disturbed = _find_disturbed(observations, site, attempt)
        remaining = [loss for loss in found if not _is_excused(loss, disturbed)]
        if found and not remaining:
            is_own = attempt.host in disturbed
            excuse = Excuse.DISTURBED if is_own else Excuse.BESIDE_DISTURBED
        losses += remaining
        excuses[excuse] += not remaining
    kept_cuts = [loss for loss in losses if loss.clause is Clause.KEPT_CUT]
    if not lossrule.breaks_kept_clause(kept_cuts):
        losses = _excuse_losses(losses, (Clause.KEPT_CUT,), Excuse.FEW_KEPT, excuses)
    if not _is_frequent_beside_configurations(observations, site, cuts):
        losses = _excuse_losses(losses, _CONFIGURATION_CLAUSES, Excuse.USUAL, excuses)
    return Judgement(losses, +excuses, kept_cuts)


def _find_disturbed(observations, site, attempt):
    """Returns the set of the hosts that were not in touch all the time of an attempt."""
    return {
        disturbance.host
        for disturbance in observations.disturbances
        if disturbance.host is not None
        and disturbance.begins_at <= attempt.ended_at
        and attempt.sent_at <= disturbance.ends_at + site.contact_s
    }


def _is_excused(loss, disturbed):
    """Returns True if disturbed hosts excuse a loss."""
    if loss.clause is Clause.KEPT_CUT:
        return loss.attempt.host in disturbed
    return loss.clause not in _REPEAT_CLAUSES and bool(disturbed)


def _excuse_losses(losses, clauses, excuse, excuses):
    """Returns the losses of other clauses; counts the excuse of what is lost by no other one."""
    others = [loss for loss in losses if loss.clause not in clauses]
    lost = {loss.attempt.request_id for loss in others}
    excused = {loss.attempt.request_id for loss in losses if loss.clause in clauses} - lost
    excuses[excuse] += len(excused)
    return others


def _judge_repeats(site, attempt, runs):
    """Yields the Loss items of a request that ran against a promise."""
    if site.find_request(attempt.kind).is_idempotent:
        return
    begun = [run for run in runs if run.began_at < float("inf")]
    if attempt.status in PROMISES and not attempt.is_signed and begun:
        yield Loss(Clause.REFUSED_RUN, attempt, None, tuple(runs))
    if len(begun) > 1:
        yield Loss(Clause.RUN_TWICE, attempt, None, tuple(runs))


def _is_answered_by_upstream(attempt):
    return attempt.end is records.End.ANSWERED and attempt.is_signed


def _find_excuse_of_client(attempt):
    """Returns the Excuse that lies in what the client did, or None."""
    if attempt.end is records.End.CLIENT_LEFT:
        return Excuse.LEFT
    return Excuse.INCOMPLETE if attempt.completed_at is None else None


def _find_excuse(observations, site, attempt, runs):
    """Returns the Excuse around planned work that holds whatever the host did, or None."""
    if attempt.ended_at >= attempt.sent_at + _find_time_s(observations, site, attempt):
        return Excuse.TIME_UP
    if runs and all(_is_broken_off_before(run, attempt.ended_at) for run in runs):
        return Excuse.BROKEN_OFF
    stop = _find_stop(observations, site, attempt)
    if stop and _was_at_work_late(stop, site, attempt, runs):
        return Excuse.WORKED_LATE
    return None


def _is_broken_off_before(run, at):
    return run.end is records.RunEnd.BROKEN_OFF and run.ended_at <= at


def _explain_cut(observations, site, attempt, runs):
    """Returns the Excuse of a request that was cut and is not lost."""
    if attempt.host in _find_disturbed(observations, site, attempt):
        return Excuse.DISTURBED
    occasion, _ = _find_occasion(observations, site, attempt)
    if occasion is None or runs:
        return Excuse.CALM
    return Excuse.BEHIND if attempt.is_behind else Excuse.WITHIN_SLACK


def _judge_replaced(observations, site, attempt, runs):
    """Yields the Loss of a request at which an upstream is at work as the host answers itself."""
    stop = _find_stop(observations, site, attempt)
    is_at_work = any(
        run.end is records.RunEnd.HOST_LEFT or run.ended_at > attempt.ended_at for run in runs
    )
    if stop and is_at_work:
        after_s = attempt.ended_at - stop.requested_at
        yield Loss(Clause.STOP_REPLACED, attempt, after_s, tuple(runs))


def _judge_kept(observations, site, attempt, runs):
    """Yields the Loss of a request that was cut on a kept connection while at a sound upstream.

    One that breaks the request off is not sound, nor one that has not run it.
    """
    if attempt.end is records.End.ANSWERED or not attempt.is_kept:
        return
    if all(_is_broken_off_before(run, attempt.ended_at) for run in runs):
        return
    in_touch = is_in_touch(observations, site, attempt.host, attempt.ended_at)
    loss = Loss(Clause.KEPT_CUT, attempt, None, tuple(runs), in_touch)
    if not _is_excused(loss, _find_disturbed(observations, site, attempt)):
        yield loss


def is_in_touch(observations, site, host, at):
    """Returns True if a host was in touch: undisturbed for a while, its own signals included.

    Disturbances of the store don't count, as they alone excuse no lost request.

    Args:
      observations: The records.Observations.
      site: The shape.SiteShape.
      host: IP address of the host.
      at: Monotonic seconds.
    """
    since = at - site.contact_s
    times = [stop.requested_at for stop in observations.stops if stop.host == host]
    times += [started_at for ip, started_at in observations.starts if ip == host]
    return not any(since <= time_at <= at for time_at in times) and not any(
        disturbance.host == host and disturbance.begins_at <= at and disturbance.ends_at >= since
        for disturbance in observations.disturbances
    )


def _judge_cut(observations, site, attempt, runs):
    """Yields the Loss of a request whose connection the host has ended around planned work."""
    occasion, after_s = _find_occasion(observations, site, attempt)
    if occasion is None:
        return
    cut, unsent = _CUT_CLAUSES[occasion]
    if runs:
        yield Loss(cut, attempt, after_s, tuple(runs))
    elif not attempt.is_behind and _find_held_s(attempt) > LOSS_SLACK_S:
        yield Loss(unsent, attempt, after_s)


def _find_held_s(attempt):
    """Returns the time from a last byte to the end, as far as the client could see the end."""
    return attempt.ended_at - attempt.completed_at - attempt.standstill_s


def _find_time_s(observations, site, attempt):
    """Returns the shorter one of the client's deadline and the route's time-out in seconds."""
    times_s = [attempt.deadline_s]
    for index, version in enumerate(observations.versions):
        following = observations.versions[index + 1 : index + 2]
        ends_at = _find_applied(observations, site, following[0]) if following else float("inf")
        if version.sent_at <= attempt.ended_at and ends_at >= attempt.sent_at:
            times_s.append(version.timeouts_s[attempt.kind])
    return min(times_s)


def _find_applied(observations, site, version):
    """Returns the time by which hosts apply a version, also if they can't reach the store."""
    applied_at = version.acknowledged_at + site.apply_s
    ends = [
        disturbance.ends_at + site.contact_s + site.apply_s
        for disturbance in observations.disturbances
        if disturbance.host is None and disturbance.begins_at <= applied_at
    ]
    return max([applied_at, *ends])


def _find_stop(observations, site, attempt):
    """Returns the last stop of the attempt's host before its end, if it is recent, or None."""
    stops = [
        stop
        for stop in observations.stops
        if stop.host == attempt.host and stop.requested_at <= attempt.ended_at
    ]
    last = max(stops, key=lambda stop: stop.requested_at, default=None)
    if last and attempt.ended_at <= last.requested_at + site.grace_s + AFTERMATH_S:
        return last
    return None


def _was_at_work_late(stop, site, attempt, runs):
    """Returns True if an upstream was still at work in the last sixth of the time of a stop."""
    last_cut_at = lossrule.find_last_cut(stop.requested_at, site.grace_s)
    return any(
        run.began_at <= last_cut_at
        and lossrule.is_cut_permitted(
            attempt.sent_at, run.ended_at, stop.requested_at, site.grace_s
        )
        for run in runs
    )


def _find_occasion(observations, site, attempt):
    """Returns the planned work around which an attempt was cut, and the time since it."""
    stop = _find_stop(observations, site, attempt)
    if stop:
        return "stop", attempt.ended_at - stop.requested_at
    for host, at in observations.reloads:
        is_after = attempt.sent_at <= at + site.apply_s and attempt.ended_at >= at
        if host == attempt.host and is_after:
            return "reload", attempt.ended_at - at
    time_s = _find_time_s(observations, site, attempt)
    if attempt.ended_at - attempt.sent_at < USED_TIME_SHARE * time_s:
        for version in observations.versions:
            if _is_beside(version, site, attempt.ended_at):
                return "configuration", attempt.ended_at - version.sent_at
    return None, None


def _is_beside(version, site, at):
    return version.sent_at <= at <= version.acknowledged_at + site.apply_s + AFTERMATH_S


def _is_frequent_beside_configurations(observations, site, cuts):
    """Returns True if hosts cut requests much more often beside configurations than without."""

    def count_beside(attempts):
        return sum(
            any(_is_beside(version, site, attempt.ended_at) for version in observations.versions)
            for attempt in attempts
        )

    beside, cut_beside = count_beside(observations.attempts), count_beside(cuts)
    others, cut_others = len(observations.attempts) - beside, len(cuts) - cut_beside
    return cut_beside * others > PERMITTED_FACTOR * cut_others * beside or not others
