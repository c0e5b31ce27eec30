"""What a host has learned about the upstreams that it may send to.

A load report is as old as the answer that carried it, so the load of an upstream is estimated as
the host's own requests in flight plus the load of other hosts at the time of the report, which
counts less as the report ages.
"""

import collections
import hashlib

from skylarksill import limits
from skylarksill.host import records

# The load of other hosts counts in full up to the first age of a report and not at all from the
# second on. Requests run for 0.1 to 1.8 s, so an older report says little about the current ones.
FRESH_REPORT_S = 0.4
STALE_REPORT_S = 2.0
# Reported paces change many times a second, so one that is older than this is replaced by the
# moving mean of the reported paces.
FRESH_PACE_S = 0.3
PACE_WEIGHT = 0.1
# Weight of a new sample of an upstream's slowness, and the half-life of its decay to normal speed.
SLOWNESS_WEIGHT = 0.25
SLOWNESS_HALF_LIFE_S = 4.0
MAX_SLOWNESS = 12.0
MAX_SAMPLE_FACTOR = 2.0
FAILURE_WEIGHT = 0.15
FAILURE_HALF_LIFE_S = 3.0
# Pause before an unreachable upstream is probed again; it doubles up to the maximum.
INITIAL_DOWN_S = 0.3
MAX_DOWN_S = 2.0
# Number of recent objects that an upstream is assumed to remember; they remember about 18 to 50.
MAX_KNOWN_OBJECTS = 48
MAX_RANKINGS = 4_096
# Part of the permitted rate of a cold upstream that the hosts use together. The rest covers sends
# of hosts that don't know of each other.
COLD_RATE_SHARE = 0.8


class TrackedUpstream:
    """Learned state of one incarnation of an upstream.

    Attributes:
      record: The records.Upstream.
      in_flight: Number of this host's requests to it that have not ended.
      cold_until: Monotonic time until which the upstream is treated as cold.
      down_until: Monotonic time of the next probe while the upstream is unreachable.
      down_s: Pause before the next probe in seconds.
      is_misdirected: True once another upstream answered at its address.
      is_unreachable: True from a failed connection until one succeeds.
      is_probed: True while probes try to connect to the upstream in the background.
      cold_limit: The WindowLimit of this host's sends while the upstream is cold.
    """

    __slots__ = (
        "record",
        "in_flight",
        "cold_until",
        "down_until",
        "down_s",
        "is_misdirected",
        "is_probed",
        "is_unreachable",
        "_waiting_since",
        "_answered_at",
        "_other_load",
        "_reported_at",
        "_pace",
        "_pace_mean",
        "_slowness",
        "_slowness_at",
        "_failure_share",
        "_failure_at",
        "_recent_objects",
        "cold_limit",
    )

    def __init__(self, record, cold_until):
        self.record = record
        self.in_flight = 0
        self.cold_until = cold_until
        self.down_until = 0.0
        self.down_s = INITIAL_DOWN_S
        self.is_misdirected = False
        self.is_probed = False
        self.is_unreachable = False
        self._waiting_since = 0.0
        self._answered_at = 0.0
        self._other_load = 0.0
        self._reported_at = 0.0
        self._pace = 1.0
        self._pace_mean = 1.0
        self._slowness = 1.0
        self._slowness_at = 0.0
        self._failure_share = 0.0
        self._failure_at = 0.0
        self._recent_objects = collections.OrderedDict()
        self.cold_limit = limits.WindowLimit(0)

    def estimate_load(self, now):
        """Returns the estimated number of requests that run or wait at the upstream."""
        age = now - self._reported_at
        if age <= FRESH_REPORT_S:
            return self.in_flight + self._other_load
        if age >= STALE_REPORT_S:
            return float(self.in_flight)
        report_weight = (STALE_REPORT_S - age) / (STALE_REPORT_S - FRESH_REPORT_S)
        return self.in_flight + self._other_load * report_weight

    def get_report_age_s(self, now):
        """Returns the age of the last load report in seconds."""
        return now - self._reported_at

    def estimate_pace(self, now):
        """Returns the factor by which requests take longer than usual on the upstream's machine."""
        return self._pace if now - self._reported_at <= FRESH_PACE_S else self._pace_mean

    def estimate_slowness(self, now):
        """Returns the factor by which requests take longer than the reported pace explains."""
        return _decay(self._slowness, 1.0, now - self._slowness_at, SLOWNESS_HALF_LIFE_S)

    def estimate_silence_s(self, now):
        """Returns the seconds without any answer while requests are in flight, or 0 without any."""
        return now - self._waiting_since if self.in_flight else 0.0

    def record_send(self, now):
        """Counts a request as in flight."""
        if self.in_flight == 0:
            self._waiting_since = now
        self.in_flight += 1

    def record_end(self, has_answered, now):
        """Counts the end of a request; ``has_answered`` if the upstream answered it."""
        self.in_flight -= 1
        if has_answered:
            self._waiting_since = now
            self._answered_at = now

    def has_answered_since(self, begun):
        """Returns True if the upstream has answered any request since a monotonic time."""
        return self._answered_at >= begun

    def estimate_failure_share(self, now):
        """Returns the share of recent answers that were failures."""
        return _decay(self._failure_share, 0.0, now - self._failure_at, FAILURE_HALF_LIFE_S)

    def has_object(self, key):
        """Returns True if the upstream recently handled the object with this affinity key."""
        return key in self._recent_objects

    def is_cold(self, now):
        """Returns True while only a limited rate of requests may be sent to the upstream."""
        return now < self.cold_until

    def apply_report(self, report, now):
        """Applies the LoadReport of an answer.

        The report and ``in_flight`` both still count the answered request.
        """
        self._other_load = max(0.0, report.running + report.waiting - self.in_flight)
        self._reported_at = now
        self._pace = report.pace
        self._pace_mean += PACE_WEIGHT * (report.pace - self._pace_mean)

    def mark_full(self, now):
        """Marks the slots and the queue of the upstream as full, because it shed a request."""
        self._other_load = max(0.0, 2.0 * self.record.slots - self.in_flight)
        self._reported_at = now

    def record_slowness(self, ratio, now):
        """Adds a sample of the ratio of the actual to the expected service time."""
        current = self.estimate_slowness(now)
        # A single request that runs many times longer than usual says little about the upstream.
        sample = min(MAX_SLOWNESS, MAX_SAMPLE_FACTOR * current + 1.0, max(0.5, ratio))
        self._slowness = current + SLOWNESS_WEIGHT * (sample - current)
        self._slowness_at = now

    def record_result(self, has_failed, now):
        """Counts an answer as a success or a failure."""
        current = self.estimate_failure_share(now)
        self._failure_share = current + FAILURE_WEIGHT * (float(has_failed) - current)
        self._failure_at = now

    def record_object(self, key):
        """Records that the upstream handled an object."""
        self._recent_objects[key] = None
        self._recent_objects.move_to_end(key)
        if len(self._recent_objects) > MAX_KNOWN_OBJECTS:
            self._recent_objects.popitem(last=False)

    def forget_objects(self):
        """Clears the recently handled objects, which a cold upstream no longer remembers."""
        self._recent_objects.clear()


class Fleet:
    """The upstreams that the store lists, by service and region.

    Attributes:
      region: Region of this host.
      region_host_count: Number of hosts in the region, which share the rates of cold upstreams.
      total_host_count: Number of hosts in all regions, which share the connections of upstreams.
    """

    def __init__(self, region):
        self.region = region
        self.region_host_count = 1
        self.total_host_count = 1
        self._upstream_states = {}
        self._pools = {}
        self._regions = {}
        self._rankings = collections.OrderedDict()
        self._services = {}
        self._evacuated = frozenset()
        self._bounds = None
        self._round_trips = {}

    def __iter__(self):
        return iter(self._upstream_states.values())

    def apply(self, upstreams, services, evacuated, bounds, now):
        """Applies the current belief of the host about upstreams, services and zones.

        Args:
          upstreams: Dict of records.Upstream by id.
          services: Dict of records.Service by id.
          evacuated: Zones whose upstreams get no requests.
          bounds: The records.Bounds.
          now: Monotonic seconds.
        """
        restored_zones = self._evacuated - frozenset(evacuated)
        self._services = services
        self._evacuated = frozenset(evacuated)
        self._bounds = bounds
        for upstream_id in [item for item in self._upstream_states if item not in upstreams]:
            del self._upstream_states[upstream_id]
        for upstream in upstreams.values():
            self._apply_upstream(upstream, now)
        for state in self._upstream_states.values():
            if state.record.zone in restored_zones:
                self.mark_cold(state, self._find_cold_s(state.record), now)
        self._rebuild_pools()

    def find(self, upstream_id):
        """Returns the TrackedUpstream of an upstream, or None."""
        return self._upstream_states.get(upstream_id)

    def is_available(self, state):
        """Returns True if requests may be sent to an upstream.

        It is listed and ready, its zone is not evacuated, and its address is its own.
        """
        record = state.record
        return (
            self._upstream_states.get(record.upstream_id) is state
            and record.state is records.UpstreamState.READY
            and record.zone not in self._evacuated
            and not state.is_misdirected
        )

    def find_pool(self, service_id, region):
        """Returns the UpstreamStates of a service in a region that requests may be sent to."""
        return self._pools.get((service_id, region), ())

    def list_regions(self, service_id):
        """Returns a tuple of the regions with upstreams of a service, the own region first."""
        return self._regions.get(service_id, ())

    def rank(self, service_id, regions, key):
        """Returns the upstreams of some regions in the order of preference for an object.

        Rendezvous hashing: all hosts that know the same upstreams agree on the order.

        Args:
          service_id: The service.
          regions: Tuple of regions.
          key: Affinity key of the object.
        """
        cache_key = (service_id, regions, key)
        ranking = self._rankings.get(cache_key)
        if ranking is None:
            pool = [state for region in regions for state in self.find_pool(service_id, region)]
            ranking = sorted(pool, key=lambda state: _hash_upstream(state.record.upstream_id, key))
            self._rankings[cache_key] = ranking
            if len(self._rankings) > MAX_RANKINGS:
                self._rankings.popitem(last=False)
        return ranking

    def count_slots(self, service_id, region):
        """Returns the slots of a service's upstreams in a region."""
        return sum(state.record.slots for state in self.find_pool(service_id, region))

    def estimate_utilisation(self, service_id, region, now):
        """Returns the load of a service's upstreams in a region as a share of their slots."""
        pool = self.find_pool(service_id, region)
        slots = self.count_slots(service_id, region)
        return sum(state.estimate_load(now) for state in pool) / slots if slots else 1.0

    def estimate_round_trip_s(self, region):
        """Returns the round-trip time to a region in seconds; 0 if unknown."""
        return self._round_trips.get(region, 0.0)

    def update_round_trip(self, region, seconds):
        """Updates the round-trip time to a region with the duration of a connection's set-up."""
        current_s = self._round_trips.get(region)
        self._round_trips[region] = seconds if current_s is None else min(current_s * 1.05, seconds)

    def mark_cold(self, state, cold_s, now):
        """Treats an upstream as cold for ``cold_s`` seconds from now."""
        state.cold_until = max(state.cold_until, now + cold_s)
        state.forget_objects()

    def mark_unreachable(self, state, now):
        """Marks an upstream as unreachable; returns the seconds until the next probe."""
        state.is_unreachable = True
        if now >= state.down_until:
            state.down_until = now + state.down_s
            state.down_s = min(MAX_DOWN_S, 2 * state.down_s)
        return state.down_until - now

    def mark_reachable(self, state, now):
        """Marks an unreachable upstream as reachable again and treats it as cold, as it may be."""
        state.is_unreachable = False
        state.down_until = 0.0
        state.down_s = INITIAL_DOWN_S
        self.mark_cold(state, self._find_cold_s(state.record), now)

    def has_connection_capacity(self, state):
        """Returns True if one more request fits this host's part of an upstream's connections.

        Each request in flight may need a connection of its own.
        """
        service = self._services.get(state.record.service_id)
        if service is None:
            return True
        return state.in_flight < max(1, service.max_connections // self.total_host_count)

    def has_cold_capacity(self, state, now):
        """Returns True if the permitted rate of a cold upstream allows one more request now."""
        wait_s = self._find_cold_limit(state).compute_wait_s(now)
        return wait_s is not None and wait_s <= 0.0

    def admit_send(self, state, now):
        """Returns True if a send to an upstream is permitted; a send to a cold one is counted."""
        return not state.is_cold(now) or self._find_cold_limit(state).take(now)

    def _find_cold_limit(self, state):
        """Returns the WindowLimit of an upstream, set to this host's part of the rate."""
        state.cold_limit.limit = self._compute_cold_limit(state.record)
        return state.cold_limit

    def _compute_cold_limit(self, record):
        service = self._services.get(record.service_id)
        if service is None or not service.cold_rate or self._bounds is None:
            return 1_000_000
        bounds = self._bounds
        total = service.cold_rate * bounds.cold_overage + bounds.cold_tolerance
        return max(1, int(COLD_RATE_SHARE * total / self.region_host_count))

    def _find_cold_s(self, record):
        service = self._services.get(record.service_id)
        return service.cold_s if service else 0.0

    def _apply_upstream(self, upstream, now):
        state = self._upstream_states.get(upstream.upstream_id)
        if state is None or state.record.incarnation != upstream.incarnation:
            state = TrackedUpstream(upstream, now + upstream.cold_s)
            self._upstream_states[upstream.upstream_id] = state
        if state.record.address != upstream.address:
            state.is_misdirected = False
        state.record = upstream

    def _rebuild_pools(self):
        self._rankings.clear()
        pools = collections.defaultdict(list)
        for state in self._upstream_states.values():
            if self.is_available(state):
                pools[state.record.service_id, state.record.region].append(state)
        self._pools = dict(pools)
        regions = collections.defaultdict(list)
        for service_id, region in sorted(pools, key=lambda key: (key[1] != self.region, key[1])):
            regions[service_id].append(region)
        self._regions = {service_id: tuple(found) for service_id, found in regions.items()}


def _hash_upstream(upstream_id, key):
    return hashlib.blake2b(upstream_id.encode() + b"\0" + key, digest_size=8).digest()


def _decay(value, baseline, age, half_life_s):
    if age <= 0.0 or value == baseline:
        return value
    return baseline + (value - baseline) * 0.5 ** (age / half_life_s)
