"""Choice of the upstream that runs a request, or the decision to reject it.

Designed for overload: more requests than slots, upstreams of unequal speed, and objects that run
several times faster on an upstream that has handled them before. A request goes to the upstream
where it is expected to complete first. It is rejected at once if even there it would wait too long
to complete in time.
"""

import dataclasses
import random

from skylarksill.host import objectcopies, records, tracking

# Number of upstreams in an object's ranking that serve it while the first one is fit, and while it
# is not. An upstream remembers some 15 to 50 objects and runs others 3 to 4 times longer, so a
# request that the preferred upstream has no slot for is better rejected or sent to another region
# than run on an upstream that doesn't know its object.
FIT_CHOICES = 1
UNFIT_CHOICES = 2
# A copy of an object gets no request while it carries more than this multiple of the mean load of
# the object's copies, relative to their slots. A single request is no load in this sense.
MAX_COPY_LOAD_FACTOR = 1.5
# Number of copies that are compared: two random ones suffice to avoid the busiest, and hosts whose
# knowledge is equally old don't all choose the same one.
COMPARED_COPIES = 2
# Copies that are drawn to find these two; if no drawn one is fit, the request is placed as if the
# object had one copy.
DRAWN_COPIES = 4
# An upstream is unfit while this share of its answers are failures, while its requests take this
# many times longer than its reported pace explains, or while it is silent.
UNFIT_FAILURE_SHARE = 0.3
UNFIT_SLOWNESS_FACTOR = 2.0
# The next upstream is considered if the expected cost of the preferred one exceeds this share of
# the target latency.
PREFERRED_TARGET_SHARE = 0.6
# While at most this share of the slots of a service is in use, a request whose preferred upstream
# is full goes to the first of the next ones of its ranking with a free slot: the longer run there
# takes no slot from others.
MAX_SPARE_BUSY_SHARE = 0.5
SPARE_CHOICES = 2
# Number of upstreams that are compared for a request without an affinity key.
UNKEYED_CHOICES = 4
# Added cost of an upstream whose answers are all failures, as a multiple of the service time.
FAILURE_COST_FACTOR = 6.0
# An upstream is silent if it has answered nothing for longer than this many times the expected
# completion time plus the margin, which allows for requests that arrive all at once. The length of
# its silence is added to the expected wait.
SILENCE_FACTOR = 2.0
SILENCE_MARGIN_S = 0.15
# A request that has to wait is accepted only if it is expected to complete within the first share
# of the target latency, or if its wait is shorter than the second share of it.
COMPLETION_TARGET_SHARE = 0.8
MIN_WAIT_TARGET_SHARE = 0.1
# Part of the longest permitted wait by priority rank: less urgent requests leave the last slots to
# more urgent ones. With more ranks of accounts and routes than these, the parts in between are
# spread evenly, so that each rank goes before the next.
RANK_WAIT_SHARES = (1.0, 0.7, 0.5)
# Cost of a second of slot time in seconds of latency: a request that runs longer on an upstream
# that doesn't know its object keeps other requests from the slot.
CONGESTION_WEIGHT = 0.5
MIN_RETRY_AFTER_S = 0.05
UNAVAILABLE_RETRY_AFTER_S = 0.4


@dataclasses.dataclass(frozen=True, slots=True)
class Query:
    """A request that needs an upstream.

    Attributes:
      route: The records.Route.
      service_id: Service that the route's split chose.
      rank: Number of more urgent priorities at the service; see ``priorities``.
      affinity_key: Key of the object, or None.
      remaining_s: Seconds until the request's deadline or time-out.
      excluded: Ids of upstreams that have failed the request.
      regions: Regions that may run the request; empty for all.
      rank_count: Number of ranks of accounts and routes, or None without accounts.
    """

    route: records.Route
    service_id: str
    rank: int
    affinity_key: bytes | None
    remaining_s: float
    excluded: frozenset
    regions: frozenset = frozenset()
    rank_count: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """The chosen upstream with the expected wait and service time in seconds.

    Attributes:
      knows_object: True if the upstream is expected to remember the object.
      object_rank: Number of other objects that the upstream has handled for this host since the
        object; None if it is none of the last ones.
    """

    upstream: tracking.TrackedUpstream
    wait_s: float
    service_time_s: float
    knows_object: bool
    object_rank: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Rejection:
    """No upstream can serve the request in time; the client may retry after ``retry_after_s``."""

    reason: str
    retry_after_s: float
    wait_s: float = 0.0


def choose_upstream(
    upstream_fleet, service_times, query, regions, now, rng=random, object_copies=None
):
    """Chooses the upstream of a request.

    Args:
      upstream_fleet: The Fleet.
      service_times: The ServiceTimes.
      query: The Query.
      regions: Tuple of the regions to search.
      now: Monotonic seconds.
      rng: Source of randomness.
      object_copies: The objectcopies.ObjectCopies; None if each object has one copy.
    Returns:
      Placement or Rejection.
    """
    plan = _plan_copies(upstream_fleet, service_times, query, regions, now, object_copies)
    placed = _find_best(upstream_fleet, service_times, query, regions, now, rng, plan)
    if placed is None:
        return _reject_unplaced(upstream_fleet, query, regions, now)
    limit_s = compute_wait_limit_s(query, placed.service_time_s)
    if placed.wait_s > limit_s:
        spare = _find_spare(upstream_fleet, service_times, query, regions, now, plan)
        if spare is not None:
            return spare
        return Rejection("busy", max(MIN_RETRY_AFTER_S, placed.wait_s - limit_s), placed.wait_s)
    if placed.wait_s > 0.0 and placed.wait_s + placed.service_time_s > query.remaining_s:
        return Rejection("too_late", max(MIN_RETRY_AFTER_S, placed.wait_s), placed.wait_s)
    return placed


def _reject_unplaced(upstream_fleet, query, regions, now):
    """Returns the Rejection of a request that no upstream may get now.

    Answers a load beyond what upstreams say that they take: the client returns when the first of
    them takes requests again.
    """
    waits_s = [
        upstream_fleet.compute_wait_s(state, now)
        for region in regions
        for state in upstream_fleet.find_pool(query.service_id, region)
        if not state.is_unreachable and state.record.upstream_id not in query.excluded
    ]
    limited_s = [wait_s for wait_s in waits_s if wait_s > 0.0]
    if limited_s:
        return Rejection("limited", max(MIN_RETRY_AFTER_S, min(limited_s)))
    return Rejection("no_upstream", UNAVAILABLE_RETRY_AFTER_S)


def _find_spare(upstream_fleet, service_times, query, regions, now, plan):
    """Returns the Placement of a request whose preferred upstream is full, or None to reject it.

    Answers a load of few, very popular objects: their upstreams are full while most others of the
    service are idle. An object with copies uses a copy with a free slot and nothing else: its
    number of copies grows with its demand, and each run elsewhere would be a cold one.
    """
    if query.affinity_key is None or not query.route.is_sticky:
        return None
    has_copies = plan.count > 1
    first, end = (0, plan.count) if has_copies else (1, 1 + SPARE_CHOICES)
    ranking = upstream_fleet.rank(query.service_id, regions, query.affinity_key)
    usable = _list_usable(upstream_fleet, query, ranking, end, now)
    for index, state in enumerate(usable[first:], first):
        placed = estimate_completion(service_times, query, state, now, plan, index)
        if placed.wait_s <= 0.0 and placed.service_time_s < query.remaining_s:
            is_spare = has_copies or all(
                upstream_fleet.estimate_busy_share(query.service_id, region, now)
                <= MAX_SPARE_BUSY_SHARE
                for region in regions
            )
            return placed if is_spare else None
    return None


def compute_wait_limit_s(query, service_time_s):
    """Returns the longest permitted wait of a request for a slot, in seconds.

    Args:
      query: The Query.
      service_time_s: Expected service time in seconds.
    """
    target_s = query.route.target_latency_s
    return _find_rank_share(query) * max(
        MIN_WAIT_TARGET_SHARE * target_s, COMPLETION_TARGET_SHARE * target_s - service_time_s
    )


def _find_rank_share(query):
    """Returns the part of the longest permitted wait that a request's rank leaves it."""
    first, last = RANK_WAIT_SHARES[0], RANK_WAIT_SHARES[-1]
    if query.rank_count is None or query.rank_count <= len(RANK_WAIT_SHARES):
        return RANK_WAIT_SHARES[min(query.rank, len(RANK_WAIT_SHARES) - 1)]
    return first - (first - last) * query.rank / (query.rank_count - 1)


def _find_best(upstream_fleet, service_times, query, regions, now, rng, plan):
    """Returns the Placement of least cost, or None if there is no usable upstream."""
    copies = _choose_copies(upstream_fleet, service_times, query, regions, now, rng, plan)
    best = None
    for index, state in copies:
        placed = estimate_completion(service_times, query, state, now, plan, index)
        cost = _estimate_cost(upstream_fleet, placed, now)
        if best is None or cost < best[0]:
            best = (cost, placed)
    if best is not None:
        return best[1]
    for state in _list_candidates(upstream_fleet, service_times, query, regions, now, rng):
        placed = estimate_completion(service_times, query, state, now, plan)
        cost = _estimate_cost(upstream_fleet, placed, now)
        if best is None and cost <= PREFERRED_TARGET_SHARE * query.route.target_latency_s:
            return placed
        if best is None or cost < best[0]:
            best = (cost, placed)
    return best[1] if best else None


def _estimate_cost(upstream_fleet, placed, now):
    """Returns the cost of a Placement in seconds of latency."""
    state = placed.upstream
    cost = upstream_fleet.estimate_round_trip_s(state.record.region) + placed.wait_s
    failure_share = state.estimate_failure_share(now)
    return cost + placed.service_time_s * (
        1.0 + CONGESTION_WEIGHT + FAILURE_COST_FACTOR * failure_share
    )


def would_gain(local, remote, round_trip_s, query):
    """Returns True if a request is better served in another region than in the own one.

    Args:
      local: Placement or Rejection for the own region.
      remote: Placement or Rejection for the other regions.
      round_trip_s: Time to the other region and back in seconds.
      query: The Query.
    """
    if not isinstance(remote, Placement) or remote.wait_s > 0.0:
        return False
    remote_s = round_trip_s + remote.service_time_s
    if isinstance(local, Rejection):
        return remote_s < query.remaining_s
    local_s = local.wait_s + local.service_time_s
    return local_s > query.route.target_latency_s > remote_s


def estimate_completion(
    service_times, query, state, now, plan=objectcopies.ONE_COPY, copy_index=None
):
    """Returns the Placement with the expected wait and service time at an upstream.

    Args:
      service_times: The ServiceTimes.
      query: The Query.
      state: The TrackedUpstream.
      now: Monotonic seconds.
      plan: The objectcopies.CopyPlan of the object.
      copy_index: Place of the upstream among the copies of the object, or None.
    """
    key = query.affinity_key
    object_rank = None if key is None else state.find_object_rank(key)
    knows_object = object_rank is not None and object_rank < plan.remembered
    if not knows_object and copy_index is not None and copy_index < plan.warm_count:
        knows_object = not state.is_cold(now)
    factor = state.estimate_pace(now) * state.estimate_slowness(now)
    service_time_s = service_times.estimate(query.route, query.service_id, knows_object) * factor
    excess = state.estimate_load(now) + 1.0 - state.record.slots
    wait_s = 0.0
    if excess > 0.0:
        mean_service_time_s = (
            service_times.estimate_service(query.service_id, service_time_s) * factor
        )
        wait_s = excess / state.record.slots * mean_service_time_s
    if _is_silent(state, wait_s + service_time_s, now):
        wait_s += state.estimate_silence_s(now)
    return Placement(state, wait_s, service_time_s, knows_object, object_rank)


def _is_silent(state, expected_s, now):
    """Returns True if an upstream has answered nothing for much longer than expected."""
    return state.estimate_silence_s(now) > SILENCE_FACTOR * expected_s + SILENCE_MARGIN_S


def _is_fit(service_times, query, state, now):
    """Returns True if an upstream is neither failing, slow nor silent."""
    service_time_s = service_times.estimate(query.route, query.service_id, True)
    return (
        state.estimate_failure_share(now) < UNFIT_FAILURE_SHARE
        and state.estimate_slowness(now) < UNFIT_SLOWNESS_FACTOR
        and not _is_silent(state, service_time_s * state.estimate_pace(now), now)
    )


def _plan_copies(upstream_fleet, service_times, query, regions, now, object_copies):
    """Returns the objectcopies.CopyPlan of a request's object."""
    key = query.affinity_key
    if object_copies is None or key is None or not query.route.is_sticky:
        return objectcopies.ONE_COPY
    supply = None
    run_times = service_times.find_run_times(query.route, query.service_id)
    ranking = upstream_fleet.rank(query.service_id, regions, key)
    if run_times is not None and ranking:
        supply = objectcopies.Supply(*run_times, ranking[0].record.slots, len(ranking))
    return object_copies.adjust(query.service_id, key, supply, now)


def _choose_copies(upstream_fleet, service_times, query, regions, now, rng, plan):
    """Returns at most two copies of a popular object to compare, as pairs of index and state.

    Answers a load in which one object needs the slots of several upstreams: none of them may get
    far more than the others, and unfit ones get nothing while another is fit.
    """
    if plan.count == 1:
        return []
    ranking = upstream_fleet.rank(query.service_id, regions, query.affinity_key)
    copies = []
    for state in ranking:
        if _is_reachable(query, state):
            copies.append(state)
            if len(copies) == plan.count:
                break
    loads = [state.estimate_load(now) for state in copies]
    slots = sum(state.record.slots for state in copies)
    most = MAX_COPY_LOAD_FACTOR * sum(loads) / max(1, slots)
    permitted = [
        (index, state)
        for index, (state, load) in enumerate(zip(copies, loads, strict=True))
        if load <= max(1.0, most * state.record.slots)
    ]
    chosen = []
    # The costlier tests are for the drawn ones only.
    for index, state in rng.sample(permitted, min(len(permitted), DRAWN_COPIES)):
        if _is_usable(upstream_fleet, query, state, now) and _is_fit(
            service_times, query, state, now
        ):
            chosen.append((index, state))
            if len(chosen) == COMPARED_COPIES:
                break
    return chosen


def _list_candidates(upstream_fleet, service_times, query, regions, now, rng):
    """Returns the upstreams to compare, the preferred upstream of the object first."""
    key = query.affinity_key if query.route.is_sticky else None
    if key is None:
        pool = [
            state
            for region in regions
            for state in upstream_fleet.find_pool(query.service_id, region)
        ]
        return _list_usable(
            upstream_fleet, query, rng.sample(pool, len(pool)), UNKEYED_CHOICES, now
        )
    ranking = upstream_fleet.rank(query.service_id, regions, key)
    usable = _list_usable(upstream_fleet, query, ranking, UNFIT_CHOICES, now)
    if usable and _is_fit(service_times, query, usable[0], now):
        return usable[:FIT_CHOICES]
    return usable


def _list_usable(upstream_fleet, query, ranking, count, now):
    """Returns the first ``count`` upstreams of a ranking that the request may be sent to."""
    usable = []
    for state in ranking:
        if _is_usable(upstream_fleet, query, state, now):
            usable.append(state)
            if len(usable) == count:
                break
    return usable


def _is_reachable(query, state):
    """Returns True if connections to an upstream are expected to succeed for the request."""
    if state.is_unreachable or state.is_misdirected or state.is_leaving:
        return False
    return state.record.upstream_id not in query.excluded


def _is_usable(upstream_fleet, query, state, now):
    if not _is_reachable(query, state):
        return False
    if not upstream_fleet.has_connection_capacity(state):
        return False
    if upstream_fleet.compute_wait_s(state, now) > 0.0:
        return False
    if not state.is_cold(now):
        return True
    # Only the hosts of a cold upstream's own region send to it and share its permitted rate.
    return state.record.region == upstream_fleet.region and upstream_fleet.has_cold_capacity(
        state, now
    )
