"""Choice of the upstream that runs a request, or the decision to reject it.

Answers the load at its worst: more work than slots, upstreams of unequal pace, and objects that run
several times faster where they ran before. A request goes where it is expected to complete first.
It is rejected at once if even there it would wait too long to be worth its slot.
"""

import dataclasses
import random

from skylarksill.host import fleet, records

# Upstreams of an object's ranking that share its work while the first one is fit, and while it is
# not. An upstream remembers some 15 to 50 objects and runs others 3 to 4 times longer, so work that
# the preferred one has no room for is better rejected or moved than run where nothing is known.
FIT_CHOICES = 1
UNFIT_CHOICES = 2
# An upstream is unfit while this share of its answers are failures, while its work takes this many
# times longer than its pace explains, or while it is silent.
UNFIT_FAILURE = 0.3
UNFIT_SLOWNESS = 2.0
# Share of the target latency within which the preferred upstream must be expected to answer, or
# the next one is considered.
PREFERRED_SHARE = 0.6
# Upstreams that are compared for work without an object.
FREE_CHOICES = 4
# An upstream with only failures counts as if its work took this many times longer.
FAILURE_FACTOR = 6.0
# An upstream that has answered nothing for this many times the expected completion, and the margin
# for a load that came all at once, counts as if work waited for the length of its silence.
SILENCE_FACTOR = 2.0
SILENCE_MARGIN_S = 0.15
# Work that has to wait is only accepted if it is expected to complete within this share of the
# target latency, or if the wait is shorter than the minimum share of it.
COMPLETION_SHARE = 0.8
MIN_WAIT_SHARE = 0.1
# Part of that wait by the rank of the route among the routes of its service: work of lower rank
# leaves the last slots to more urgent work.
WAIT_SHARES = (1.0, 0.7, 0.5)
# Price of a second of slot time in seconds of latency: work that runs longer where its object is
# unknown takes the slots of other work.
CONGESTION_WEIGHT = 0.5
MIN_RETRY_AFTER_S = 0.05
UNAVAILABLE_RETRY_AFTER_S = 0.4


@dataclasses.dataclass(frozen=True, slots=True)
class Query:
    """A request that needs an upstream.

    Attributes:
      route: The records.Route.
      service_id: Service that the route's split chose.
      rank: Number of more urgent priorities among the routes of the service.
      affinity_key: Key of the object, or None.
      left_s: Seconds until the request's deadline or time-out.
      excluded: Ids of upstreams that have failed the request.
    """

    route: records.Route
    service_id: str
    rank: int
    affinity_key: bytes | None
    left_s: float
    excluded: frozenset


@dataclasses.dataclass(frozen=True, slots=True)
class Placed:
    """The chosen upstream with the expected wait and service time in seconds."""

    upstream: fleet.UpstreamState
    wait_s: float
    work_s: float
    knows_object: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """No upstream can serve the request in time; it may come back after ``retry_after_s``."""

    reason: str
    retry_after_s: float
    wait_s: float = 0.0


def choose_upstream(known, times, query, regions, now, rng=random):
    """Chooses the upstream of a request.

    Args:
      known: The Fleet.
      times: The WorkTimes.
      query: The Query.
      regions: Tuple of the regions to search.
      now: Monotonic seconds.
      rng: Source of randomness.
    Returns:
      Placed or Rejected.
    """
    placed = _find_best(known, times, query, regions, now, rng)
    if placed is None:
        return Rejected("no_upstream", UNAVAILABLE_RETRY_AFTER_S)
    limit_s = compute_wait_limit_s(query, placed.work_s)
    if placed.wait_s > limit_s:
        return Rejected("busy", max(MIN_RETRY_AFTER_S, placed.wait_s - limit_s), placed.wait_s)
    if placed.wait_s > 0.0 and placed.wait_s + placed.work_s > query.left_s:
        return Rejected("too_late", max(MIN_RETRY_AFTER_S, placed.wait_s), placed.wait_s)
    return placed


def compute_wait_limit_s(query, work_s):
    """Returns the longest wait for a slot that a request may be given, in seconds.

    Args:
      query: The Query.
      work_s: Expected service time in seconds.
    """
    target_s = query.route.target_latency_s
    share = WAIT_SHARES[min(query.rank, len(WAIT_SHARES) - 1)]
    return share * max(MIN_WAIT_SHARE * target_s, COMPLETION_SHARE * target_s - work_s)


def _find_best(known, times, query, regions, now, rng):
    """Returns Placed at the upstream of least cost, or None without a usable one."""
    best = None
    for state in _list_candidates(known, times, query, regions, now, rng):
        placed = estimate_completion(times, query, state, now)
        failure = state.estimate_failure(now)
        cost = known.estimate_round_trip_s(state.record.region) + placed.wait_s
        cost += placed.work_s * (1.0 + CONGESTION_WEIGHT + FAILURE_FACTOR * failure)
        if best is None and cost <= PREFERRED_SHARE * query.route.target_latency_s:
            return placed
        if best is None or cost < best[0]:
            best = (cost, placed)
    return best[1] if best else None


def does_gain(home, away, round_trip_s, query):
    """Returns True if a request is better served in another region than at home.

    Args:
      home: Placed or Rejected for the own region.
      away: Placed or Rejected for the others.
      round_trip_s: Time to the other region and back in seconds.
      query: The Query.
    """
    if not isinstance(away, Placed) or away.wait_s > 0.0:
        return False
    away_s = round_trip_s + away.work_s
    if isinstance(home, Rejected):
        return away_s < query.left_s
    home_s = home.wait_s + home.work_s
    return home_s > query.route.target_latency_s > away_s


def estimate_completion(times, query, state, now):
    """Returns Placed with the wait and service time that are expected at an upstream."""
    knows_object = query.affinity_key is not None and state.has_object(query.affinity_key)
    factor = state.estimate_pace(now) * state.estimate_slowness(now)
    work_s = times.estimate(query.route, query.service_id, knows_object) * factor
    excess = state.estimate_load(now) + 1.0 - state.record.slots
    wait_s = 0.0
    if excess > 0.0:
        service_s = times.estimate_service(query.service_id, work_s) * factor
        wait_s = excess / state.record.slots * service_s
    if _is_silent(state, wait_s + work_s, now):
        wait_s += state.estimate_silence_s(now)
    return Placed(state, wait_s, work_s, knows_object)


def _is_silent(state, expected_s, now):
    """Returns True if an upstream has answered nothing for much longer than expected."""
    return state.estimate_silence_s(now) > SILENCE_FACTOR * expected_s + SILENCE_MARGIN_S


def _is_fit(times, query, state, now):
    """Returns True if an upstream serves the objects that it knows as well as others do."""
    work_s = times.estimate(query.route, query.service_id, True)
    return (
        state.estimate_failure(now) < UNFIT_FAILURE
        and state.estimate_slowness(now) < UNFIT_SLOWNESS
        and not _is_silent(state, work_s * state.estimate_pace(now), now)
    )


def _list_candidates(known, times, query, regions, now, rng):
    """Returns the upstreams to compare, the preferred one of the object first."""
    key = query.affinity_key if query.route.is_sticky else None
    if key is None:
        pool = [state for region in regions for state in known.find_pool(query.service_id, region)]
        return _list_usable(known, query, rng.sample(pool, len(pool)), FREE_CHOICES, now)
    ranking = known.rank(query.service_id, regions, key)
    usable = _list_usable(known, query, ranking, UNFIT_CHOICES, now)
    if usable and _is_fit(times, query, usable[0], now):
        return usable[:FIT_CHOICES]
    return usable


def _list_usable(known, query, ranking, count, now):
    """Returns the first ``count`` upstreams of a ranking that may get the request."""
    usable = []
    for state in ranking:
        if _is_usable(known, query, state, now):
            usable.append(state)
            if len(usable) == count:
                break
    return usable


def _is_usable(known, query, state, now):
    if state.is_unreachable or state.is_misdirected:
        return False
    if state.record.upstream_id in query.excluded:
        return False
    if not known.has_connection_room(state):
        return False
    if not state.is_cold(now):
        return True
    # The rate of a cold upstream is shared by the hosts of its region.
    return state.record.region == known.region and known.has_cold_room(state, now)
