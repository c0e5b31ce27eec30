"""Number of upstreams that keep a copy of an object, and of objects that an upstream remembers.

Handles a load in which one object is so popular that its requests wait at a full upstream while
others are idle. The object then has several preferred upstreams: the first ones of its rendezvous
ranking, so that hosts whose estimates differ share the first copies. Each copy costs a cold run,
and a place in the cache of an upstream that another object could use, so an object has one copy
until its demand makes requests wait. Performs no I/O.
"""

import collections
import dataclasses
import math

# Objects whose demand is kept; 400 are usual, and 4,096 take about 1 MB.
MAX_OBJECTS = 4_096
# Time constant of the decaying count of an object's requests. A longer one follows an object that
# becomes popular too slowly.
DEMAND_WINDOW_S = 2.0
# Weight of a request in the mean time of an object's warm runs; its routes may differ in theirs.
WARM_WEIGHT = 0.1
# An object without a request for this long is forgotten: its demand has decayed to nothing.
ACTIVE_S = 30.0
# A copy is added while the object takes more than the first share of the slots of its copies, and
# removed when it would take less than the second share of the slots of the others. Requests for
# other objects take part of the slots too, and from about half of the slots on requests wait.
RAISE_USE_SHARE = 0.4
LOWER_USE_SHARE = 0.25
# Time between changes. Copies are added faster than removed: a request that waits costs more than a
# copy that is kept too long.
RAISE_INTERVAL_S = 0.5
LOWER_INTERVAL_S = 2.0
# A step up adds this share of the copies, and at least one.
RAISE_STEP_SHARE = 0.5
# Steps that a host may make up for at once.
MAX_STEPS = 2
MAX_COPIES = 16
# Largest share of the upstreams that keep copies of one object.
MAX_COPY_SHARE = 0.5
# A copy is taken for warm this long after it was added: the hosts of the region send it several
# requests a second.
WARM_AFTER_S = 1.0
# Ratio of the service times of cold and warm runs below which the difference may be noise.
MIN_GAIN_FACTOR = 1.4
# Share of the places in the upstreams' caches that objects and their copies may use together. The
# hash spreads objects unevenly, so that some caches are full before all are.
MAX_CACHE_SHARE = 0.7
# Number of recent objects that an upstream is assumed to remember until it is learned, and the
# bounds of what is learned; upstreams remember 8 to 50.
INITIAL_REMEMBERED = 48
MIN_REMEMBERED = 4
MAX_REMEMBERED = 64
# Recency ranks are learned in groups of this size, from a moving mean of the share of cold runs.
RANK_GROUP = 4
COLD_SHARE_WEIGHT = 0.1
MIN_GROUP_SAMPLES = 12
# Services whose remembered objects are learned; one more starts from the initial assumption.
MAX_SERVICES = 256


@dataclasses.dataclass(frozen=True, slots=True)
class Supply:
    """What the upstreams offer for an object.

    Attributes:
      warm_s: Service time of a warm run in seconds.
      cold_s: Service time of a cold run in seconds.
      slots: Slots of the object's first upstream.
      upstream_count: Number of upstreams in its ranking.
    """

    warm_s: float
    cold_s: float
    slots: int
    upstream_count: int

    @property
    def has_gain(self):
        """True if warm runs are shorter than cold ones by more than noise."""
        return has_gain(self.warm_s, self.cold_s)


@dataclasses.dataclass(frozen=True, slots=True)
class CopyPlan:
    """How an object is spread over the first upstreams of its ranking.

    Attributes:
      count: Number of preferred upstreams.
      warm_count: Number of them that are taken for warm without a run of this host.
      remembered: Number of recent objects that an upstream is expected to remember.
    """

    count: int = 1
    warm_count: int = 0
    remembered: int = INITIAL_REMEMBERED


@dataclasses.dataclass(frozen=True, slots=True)
class CopySummary:
    """Objects with more than one copy, and the largest number of copies of one object."""

    copied_objects: int
    most_copies: int


ONE_COPY = CopyPlan()


class _ObjectDemand:
    __slots__ = ("weight", "counted_at", "warm_s", "count", "count_before", "stepped_at")

    def __init__(self, now):
        self.weight = 0.0
        self.counted_at = now
        self.warm_s = None
        self.count = 1
        self.count_before = 1
        self.stepped_at = now

    def decay(self, now):
        """Returns the decayed number of recent requests."""
        age_s = max(0.0, now - self.counted_at)
        return self.weight * math.exp(-age_s / DEMAND_WINDOW_S)

    def average_warm(self, warm_s):
        """Adds the time of a warm run of a request's route to the mean over the object's routes."""
        if self.warm_s is None:
            self.warm_s = warm_s
        self.warm_s += WARM_WEIGHT * (warm_s - self.warm_s)


class ObjectCopies:
    """Demand and number of copies of the objects that this host's clients ask for.

    Attributes:
      carrier_count: Number of hosts among which the region's requests are spread evenly.
      remembered: The RememberedObjects.
    """

    def __init__(self):
        self.carrier_count = 1
        self.remembered = RememberedObjects()
        # The object that was asked for longest ago is first.
        self._objects = collections.OrderedDict()
        self._object_counts = collections.Counter()
        self._extra_counts = collections.Counter()

    def __len__(self):
        return len(self._objects)

    def count_request(self, service_id, key, now):
        """Counts a request for an object.

        Args:
          service_id: The service.
          key: Affinity key of the object.
          now: Monotonic seconds.
        """
        found = self._objects.get((service_id, key))
        if found is None:
            found = self._objects[service_id, key] = _ObjectDemand(now)
            self._object_counts[service_id] += 1
        else:
            self._objects.move_to_end((service_id, key))
        found.weight = found.decay(now) + 1.0
        found.counted_at = now
        self._drop_inactive(now)

    def adjust(self, service_id, key, supply, now):
        """Changes the number of an object's copies by at most a small step.

        Args:
          service_id: The service.
          key: Affinity key of the object.
          supply: The Supply, or None if its service times are unknown.
          now: Monotonic seconds.
        Returns:
          The CopyPlan.
        """
        found = self._objects.get((service_id, key))
        remembered = self.remembered.get_count(service_id)
        if found is None:
            return CopyPlan(remembered=remembered)
        if supply is None or not supply.has_gain:
            # Another route of the object may have a gain, so its number of copies stays.
            return CopyPlan(remembered=remembered)
        found.average_warm(supply.warm_s)
        use = self._estimate_rate(found, now) * found.warm_s / max(1, supply.slots)
        count = found.count
        elapsed_s = now - found.stepped_at
        if use > RAISE_USE_SHARE * count:
            steps = min(MAX_STEPS, int(elapsed_s / RAISE_INTERVAL_S))
            if steps:
                self._raise_count(service_id, found, supply, use, steps, now)
        elif count > 1 and use < LOWER_USE_SHARE * (count - 1):
            needed = max(1, math.ceil(use / LOWER_USE_SHARE))
            lowered = max(needed, count - int(elapsed_s / LOWER_INTERVAL_S))
            self._set_count(service_id, found, lowered, now)
        if found.count == 1:
            return CopyPlan(remembered=remembered)
        is_settled = now - found.stepped_at >= WARM_AFTER_S
        warm_count = found.count if is_settled else min(found.count, found.count_before)
        return CopyPlan(found.count, warm_count, remembered)

    def summarize(self):
        """Returns the CopySummary of all services."""
        counts = [found.count for found in self._objects.values()]
        return CopySummary(sum(count > 1 for count in counts), max(counts, default=0))

    def _estimate_rate(self, found, now):
        # The estimate is read when a request has just been counted. That one is left out: a host
        # among hundreds that got a single request knows nothing of the demand of the others.
        weight = max(0.0, found.decay(now) - 1.0)
        return weight / DEMAND_WINDOW_S * self.carrier_count

    def _raise_count(self, service_id, found, supply, use, steps, now):
        """Adds copies as far as the demand, the upstreams and their caches permit."""
        needed = math.ceil(use / RAISE_USE_SHARE)
        # A host that is rarely asked for the object catches up with the steps of the others.
        growth = (1.0 + RAISE_STEP_SHARE) ** steps
        step = max(steps, int(found.count * (growth - 1.0)))
        most = min(MAX_COPIES, int(MAX_COPY_SHARE * supply.upstream_count))
        places = supply.upstream_count * self.remembered.get_count(service_id)
        used = self._object_counts[service_id] + self._extra_counts[service_id]
        room = int(MAX_CACHE_SHARE * places) - used
        raised = min(needed, found.count + min(step, room), most)
        if raised > found.count:
            self._set_count(service_id, found, raised, now)

    def _set_count(self, service_id, found, count, now):
        if found.count == count:
            return
        self._extra_counts[service_id] += count - found.count
        found.count_before = found.count
        found.count = count
        found.stepped_at = now

    def _drop_inactive(self, now):
        """Forgets objects that nobody asks for any more, and the oldest beyond the bound."""
        while self._objects:
            (service_id, key), found = next(iter(self._objects.items()))
            if len(self._objects) <= MAX_OBJECTS and now - found.counted_at <= ACTIVE_S:
                return
            del self._objects[service_id, key]
            self._object_counts[service_id] -= 1
            self._extra_counts[service_id] -= found.count - 1
            if not self._object_counts[service_id]:
                del self._object_counts[service_id], self._extra_counts[service_id]


class RememberedObjects:
    """How many recent objects the upstreams of each service remember, learned from service times.

    The recency rank of an object at an upstream is the number of other objects that this host has
    sent there since. Other hosts send there too, so the learned number falls as they send more.
    """

    def __init__(self):
        self._groups = {}
        self._counts = {}

    def get_count(self, service_id):
        """Returns the number of recent objects that an upstream of a service remembers."""
        return self._counts.get(service_id, INITIAL_REMEMBERED)

    def list_counts(self):
        """Returns the learned number of remembered objects by service."""
        return dict(self._counts)

    def add_run(self, service_id, rank, seconds, warm_s, cold_s):
        """Learns from a run whether an object of a recency rank was still remembered.

        Args:
          service_id: The service.
          rank: Recency rank of the object at the upstream when it was chosen.
          seconds: Service time at the upstream's usual pace.
          warm_s: Service time of the route's warm runs in seconds.
          cold_s: Service time of the route's cold runs in seconds.
        """
        if not 0 <= rank < MAX_REMEMBERED or not has_gain(warm_s, cold_s):
            return
        groups = self._groups.get(service_id)
        if groups is None:
            if len(self._groups) >= MAX_SERVICES:
                return
            groups = self._groups[service_id] = [
                [0.0, 0] for _ in range(MAX_REMEMBERED // RANK_GROUP)
            ]
        # The two means differ by a factor, so their geometric mean is halfway.
        is_cold = seconds * seconds > warm_s * cold_s
        group = groups[rank // RANK_GROUP]
        group[1] += 1
        weight = max(COLD_SHARE_WEIGHT, 1.0 / group[1])
        group[0] += weight * (is_cold - group[0])
        self._counts[service_id] = _find_remembered(groups)


def _find_remembered(groups):
    """Returns the recency rank from which runs are mostly cold."""
    remembered = INITIAL_REMEMBERED
    for index, (cold_share, samples) in enumerate(groups):
        if samples < MIN_GROUP_SAMPLES:
            continue
        if cold_share > 0.5:
            return max(MIN_REMEMBERED, index * RANK_GROUP)
        remembered = max(remembered, (index + 1) * RANK_GROUP)
    return remembered


def has_gain(warm_s, cold_s):
    """Returns True if warm runs are shorter than cold ones by more than noise."""
    return cold_s >= MIN_GAIN_FACTOR * warm_s
