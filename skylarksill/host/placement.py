"""Choice of the upstream that runs a request, or the decision to reject it.

Answers the load at its worst: more work than slots, upstreams of unequal pace, and objects that run
several times faster where they ran before. A request goes where it is expected to complete first.
It is rejected at once if even there it would wait too long to be worth its slot.
"""

import dataclasses
import random

# Upstreams of an object's ranking that are compared; in larger pools as many random ones besides.
CHOICES = 4
# An upstream with only failures counts as if its work took this many times longer.
FAILURE_FACTOR = 6.0
# Longest wait for a slot as a share of the target latency, by the rank of the route among the
# routes of its service: work of lower rank leaves the last slots to more urgent work.
WAIT_SHARES = (0.9, 0.6, 0.5)
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
      regions: Regions to search, in order of preference.
    """

    route: object
    service_id: str
    rank: int
    affinity_key: bytes | None
    left_s: float
    excluded: frozenset
    regions: tuple


@dataclasses.dataclass(frozen=True, slots=True)
class Placed:
    """The chosen upstream with the expected wait and service time in seconds."""

    upstream: object
    wait_s: float
    work_s: float
    is_warm: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """No upstream can serve the request in time; it may come back after ``retry_after_s``."""

    reason: str
    retry_after_s: float
    wait_s: float = 0.0


def choose_upstream(fleet, times, query, now, rng=random):
    """Chooses the upstream of a request.

    Args:
      fleet: The Fleet.
      times: The WorkTimes.
      query: The Query.
      now: Monotonic seconds.
      rng: Source of randomness.
    Returns:
      Placed or Rejected.
    """
    best = None
    for region in query.regions:
        best = _find_best(fleet, times, query, region, now, rng)
        if best is not None:
            break
    if best is None:
        return Rejected("no_upstream", UNAVAILABLE_RETRY_AFTER_S)
    _, placed = best
    limit_s = compute_wait_limit_s(query)
    if placed.wait_s > limit_s:
        return Rejected("busy", max(MIN_RETRY_AFTER_S, placed.wait_s - limit_s), placed.wait_s)
    if placed.wait_s > 0.0 and placed.wait_s + placed.work_s > query.left_s:
        return Rejected("too_late", max(MIN_RETRY_AFTER_S, placed.wait_s), placed.wait_s)
    return placed


def compute_wait_limit_s(query):
    """Returns the longest wait for a slot that a request may be given, in seconds."""
    share = WAIT_SHARES[min(query.rank, len(WAIT_SHARES) - 1)]
    return share * query.route.target_latency_s


def _find_best(fleet, times, query, region, now, rng):
    pool = fleet.find_pool(query.service_id, region)
    if not pool:
        return None
    round_trip_s = fleet.estimate_round_trip_s(region)
    best = None
    for state in _list_candidates(fleet, query, region, pool, rng):
        if state.down_until > now or state.is_misdirected:
            continue
        if state.record.upstream_id in query.excluded:
            continue
        if state.is_cold(now) and not fleet.has_cold_room(state, now):
            continue
        placed = estimate_completion(times, query, state, now)
        failure = state.estimate_failure(now)
        cost = round_trip_s + placed.wait_s + placed.work_s * (1.0 + FAILURE_FACTOR * failure)
        if best is None or cost < best[0]:
            best = (cost, placed)
    return best


def estimate_completion(times, query, state, now):
    """Returns Placed with the wait and service time that are expected at an upstream."""
    is_warm = query.affinity_key is not None and state.is_warm_for(query.affinity_key)
    factor = state.estimate_pace(now) * state.estimate_slowness(now)
    work_s = times.estimate(query.route, query.service_id, is_warm) * factor
    excess = state.estimate_load(now) + 1.0 - state.record.slots
    wait_s = 0.0
    if excess > 0.0:
        service_s = times.estimate_service(query.service_id, work_s) * factor
        wait_s = excess / state.record.slots * service_s
    return Placed(state, wait_s, work_s, is_warm)


def _list_candidates(fleet, query, region, pool, rng):
    key = query.affinity_key if query.route.is_sticky else None
    if len(pool) <= 2 * CHOICES:
        if key is not None:
            return fleet.rank(query.service_id, region, key)
        return rng.sample(pool, len(pool))
    others = rng.sample(pool, CHOICES)
    if key is None:
        return others + rng.sample(pool, CHOICES)
    return fleet.rank(query.service_id, region, key)[:CHOICES] + others
