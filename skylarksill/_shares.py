"""Shares of a region's clients that spill to other regions, damped against oscillation.

A share increases while the region is overloaded and decreases once it has headroom again. Clients
cache lookups and load reports lag behind, so each share changes in bounded steps. A hysteresis
band of utilization and a hold time separate increases from decreases.
"""

import dataclasses
import math

INCREASE_UTILIZATION = 0.9
DECREASE_UTILIZATION = 0.8
MAX_INCREASE_PER_S = 0.05
MAX_DECREASE_PER_S = 0.05
DECREASE_HOLD_S = 10.0
MAX_ELAPSED_S = 1.0
WEIGHT_SMOOTHING_S = 5.0
MAX_LOAD_AGE_MS = 10_000
UNKNOWN_HEADROOM_RATIO = 0.1
PENDING_DECAY_S = 7.0


@dataclasses.dataclass(frozen=True, slots=True)
class RegionLoad:
    """Load of one service in one region.

    ``capacity`` counts slots whose dispatcher is alive. ``outstanding`` counts running and queued
    requests. ``utilization`` is the greater of outstanding requests per slot and requests in
    flight relative to the region's limit, or None without usable reports. ``confidence`` falls
    from 1 to 0 with the age of the reports. ``headroom`` counts free slots, weighted by the age of
    the reports, beyond a reserve that keeps the region below INCREASE_UTILIZATION.
    """

    capacity: int
    outstanding: int
    utilization: float | None
    confidence: float
    headroom: float


@dataclasses.dataclass(slots=True)
class SpillShare:
    """Share of a region's clients that spill, and the region's weight as a spill target.

    ``pending`` is the recently added part of the share, which decays over PENDING_DECAY_S.
    ``is_lost`` says that no dispatcher of the service is alive in the region.
    """

    value: float = 0.0
    weight: float = 0.0
    pending: float = 0.0
    is_lost: bool = False
    updated_at: float | None = None
    last_increase: float = float("-inf")


def summarize_load(capacity, entries, region_in_flight, max_in_flight):
    """Summarizes the load reports of one service in one region.

    Args:
      capacity: Slots whose dispatcher is alive.
      entries: LoadEntry records of the live dispatchers.
      region_in_flight: Requests in flight in the region over all services.
      max_in_flight: The region's limit on requests in flight.
    Returns:
      A RegionLoad.
    """
    weighted_entries = [(entry, _compute_age_weight(entry.age_ms)) for entry in entries]
    usable_entries = [
        (entry, weight) for entry, weight in weighted_entries if weight > 0 and entry.slots > 0
    ]
    if not usable_entries:
        return RegionLoad(capacity, 0, None, 0.0, capacity * UNKNOWN_HEADROOM_RATIO)
    slots = sum(entry.slots for entry, _ in usable_entries)
    outstanding = sum(entry.in_flight + entry.queued for entry, _ in usable_entries)
    utilization = max(outstanding / slots, region_in_flight / max(1, max_in_flight))
    confidence = sum(entry.slots * weight for entry, weight in usable_entries) / slots
    reserved_slots = (1 - INCREASE_UTILIZATION) * slots
    headroom = sum(entry.free * weight for entry, weight in usable_entries) - reserved_slots
    headroom = min(headroom, max(0, max_in_flight - region_in_flight))
    return RegionLoad(capacity, outstanding, utilization, confidence, max(0.0, headroom))


def update_share(share, load, target_headroom, now):
    """Advances a share by one step; modifies only ``share``.

    Args:
      share: The SpillShare of one service and region.
      load: Its RegionLoad.
      target_headroom: Sum of the headroom of the other regions, in slots.
      now: Monotonic time in seconds.
    """
    elapsed = 0.0 if share.updated_at is None else min(now - share.updated_at, MAX_ELAPSED_S)
    is_first = share.updated_at is None
    share.updated_at = now
    share.is_lost = load.capacity == 0
    _update_weight(share, load, elapsed, is_first)
    if share.is_lost:
        share.value = 1.0
        share.last_increase = now
    elif load.utilization is None:
        return
    elif load.utilization > INCREASE_UTILIZATION:
        _increase_share(share, load, target_headroom, elapsed, now)
    elif load.utilization < DECREASE_UTILIZATION and now - share.last_increase >= DECREASE_HOLD_S:
        slack = (DECREASE_UTILIZATION - load.utilization) / DECREASE_UTILIZATION
        share.value = max(0.0, share.value - MAX_DECREASE_PER_S * elapsed * load.confidence * slack)


def _increase_share(share, load, target_headroom, elapsed, now):
    if target_headroom < 1:
        return
    # Recently moved clients do not show in the targets' load yet, so they are subtracted from the
    # headroom for about as long as clients cache lookups.
    pending = share.pending * math.exp(-elapsed / PENDING_DECAY_S)
    available = max(0.0, target_headroom / max(1, load.outstanding) - pending)
    excess = min(1.0, (load.utilization - INCREASE_UTILIZATION) / (1 - INCREASE_UTILIZATION))
    step = min(
        MAX_INCREASE_PER_S * elapsed * load.confidence * excess, available, 1.0 - share.value
    )
    share.value += step
    share.pending = pending + step
    share.last_increase = now


def _update_weight(share, load, elapsed, is_first):
    if share.is_lost or is_first:
        share.weight = 0.0 if share.is_lost else load.headroom
        return
    share.weight += (load.headroom - share.weight) * min(1.0, elapsed / WEIGHT_SMOOTHING_S)


def _compute_age_weight(age_ms):
    return max(0.0, 1.0 - age_ms / MAX_LOAD_AGE_MS)
