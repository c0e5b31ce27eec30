"""Shares of a region's clients that spill to other regions, damped against oscillation.

A share rises while the region is under pressure and falls once it has headroom again. Clients
cache look-ups and load figures lag, so each share moves in bounded steps, and a rise and a fall
are separated by a band of pressure and by a hold time.
"""

import dataclasses
import math

RAISE_PRESSURE = 0.9
FALL_PRESSURE = 0.8
RAISE_PER_S = 0.05
FALL_PER_S = 0.05
HOLD_S = 10.0
MAX_STEP_S = 1.0
WEIGHT_TIME_S = 5.0
FIGURES_MAX_AGE_MS = 10_000
UNKNOWN_HEADROOM = 0.1
PENDING_TIME_S = 7.0


@dataclasses.dataclass(frozen=True, slots=True)
class RegionLoad:
    """Load of one service in one region.

    ``capacity`` counts slots whose dispatcher is alive; ``work`` counts requests that run or
    wait; ``pressure`` is work over slots, or None without usable figures; ``confidence`` falls
    from 1 to 0 with the age of the figures;
    ``headroom`` counts free slots, weighted by the confidence.
    """

    capacity: int
    work: int
    pressure: float | None
    confidence: float
    headroom: float


@dataclasses.dataclass(slots=True)
class Share:
    """Share of the clients that leave their region, and the weight of the region as a target.

    ``pending`` is the part of the share that was added lately.
    """

    value: float = 0.0
    weight: float = 0.0
    pending: float = 0.0
    is_lost: bool = False
    updated: float | None = None
    last_raise: float = float("-inf")


def measure_region(capacity, entries, region_in_flight, max_in_flight):
    """Summarises the load entries of one service in one region.

    Args:
      capacity: Slots whose dispatcher is alive.
      entries: LoadEntry records of the live dispatchers.
      region_in_flight: Requests in flight in the region over all services.
      max_in_flight: The region's limit of them.
    Returns:
      A RegionLoad.
    """
    weighted = [(entry, _weigh_age(entry.age_ms)) for entry in entries]
    usable = [(entry, weight) for entry, weight in weighted if weight > 0 and entry.slots > 0]
    if not usable:
        return RegionLoad(capacity, 0, None, 0.0, capacity * UNKNOWN_HEADROOM)
    slots = sum(entry.slots for entry, _ in usable)
    work = sum(entry.in_flight + entry.queued for entry, _ in usable)
    pressure = max(work / slots, region_in_flight / max(1, max_in_flight))
    confidence = sum(entry.slots * weight for entry, weight in usable) / slots
    reserve = (1 - RAISE_PRESSURE) * slots
    free = sum(entry.free * weight for entry, weight in usable) - reserve
    free = min(free, max(0, max_in_flight - region_in_flight))
    return RegionLoad(capacity, work, pressure, confidence, max(0.0, free))


def advance_share(share, load, target_headroom, now):
    """Moves a share by one step; changes only ``share``.

    Args:
      share: The Share of one service and region.
      load: Its RegionLoad.
      target_headroom: Sum of the headroom of the other regions, in slots.
      now: Monotonic time in seconds.
    """
    elapsed = 0.0 if share.updated is None else min(now - share.updated, MAX_STEP_S)
    is_first = share.updated is None
    share.updated = now
    share.is_lost = load.capacity == 0
    _advance_weight(share, load, elapsed, is_first)
    if share.is_lost:
        share.value = 1.0
        share.last_raise = now
    elif load.pressure is None:
        return
    elif load.pressure > RAISE_PRESSURE:
        _raise_share(share, load, target_headroom, elapsed, now)
    elif load.pressure < FALL_PRESSURE and now - share.last_raise >= HOLD_S:
        excess = (FALL_PRESSURE - load.pressure) / FALL_PRESSURE
        share.value = max(0.0, share.value - FALL_PER_S * elapsed * load.confidence * excess)


def _raise_share(share, load, target_headroom, elapsed, now):
    if target_headroom < 1:
        return
    # What was moved lately does not show in the targets' load yet, so it is counted against their
    # headroom for about as long as clients cache look-ups.
    pending = share.pending * math.exp(-elapsed / PENDING_TIME_S)
    room = max(0.0, target_headroom / max(1, load.work) - pending)
    excess = min(1.0, (load.pressure - RAISE_PRESSURE) / (1 - RAISE_PRESSURE))
    step = min(RAISE_PER_S * elapsed * load.confidence * excess, room, 1.0 - share.value)
    share.value += step
    share.pending = pending + step
    share.last_raise = now


def _advance_weight(share, load, elapsed, is_first):
    if share.is_lost or is_first:
        share.weight = 0.0 if share.is_lost else load.headroom
        return
    share.weight += (load.headroom - share.weight) * min(1.0, elapsed / WEIGHT_TIME_S)


def _weigh_age(age_ms):
    return max(0.0, 1.0 - age_ms / FIGURES_MAX_AGE_MS)
