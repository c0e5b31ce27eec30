"""The upstreams that a host may send to, and its parts of the limits on what they get."""

import collections
import hashlib
import math
import random

from skylarksill.host import quotas, records, tracking

MAX_RANKINGS = 4_096
# Upstreams with incarnations that the store names no more, and may name again.
MAX_FORMER_UPSTREAMS = 1_024
MAX_FORMER_INCARNATIONS = 4
UNLIMITED = 1_000_000
# Part of the permitted rate of a cold upstream that the hosts use together. The rest covers sends
# of hosts that don't know of each other.
COLD_RATE_SHARE = 0.8
# Window in which sends to a cold upstream are counted. The rate holds for each second; the rest
# covers the time between the count and the send on a host that lacks processor time.
COLD_WINDOW_S = 1.2
# Window in which sends to an upstream that states a rate limit are counted: the longer it is, the
# more hosts have a part of a low limit.
LIMIT_WINDOW_S = tracking.MAX_SEND_WINDOW_S
# Part of a rate limit that all hosts without a part of their own use together to find out whether
# the limit still holds. Each of them sends one request in a time that grows with their number.
LIMIT_PROBE_SHARE = 0.1
MIN_LIMIT_PROBE_S = 5.0
MIN_LIMIT_PROBE_RATE = 0.01
# Longest pause that an upstream can ask for.
MAX_PAUSE_S = 600.0


class Fleet:
    """The upstreams that the store lists, by service and region.

    Args:
      rng: Source of randomness.

    Attributes:
      region: Region of this host.
      view: The quotas.HostView of the hosts that share the limits of upstreams.
    """

    def __init__(self, region, rng=random):
        self.region = region
        self._rng = rng
        self.view = quotas.HostView("", frozenset({""}), frozenset({""}), True)
        self._upstream_states = {}
        self._pools = {}
        self._regions = {}
        self._rankings = collections.OrderedDict()
        self._services = {}
        self._evacuated = frozenset()
        self._bounds = None
        self._round_trips = {}
        self._former = collections.OrderedDict()

    def __iter__(self):
        return iter(self._upstream_states.values())

    def apply(self, upstreams, services, evacuated, bounds, now, evacuation_ends=None):
        """Applies the current belief of the host about upstreams, services and zones.

        Args:
          upstreams: Dict of records.Upstream by id.
          services: Dict of records.Service by id.
          evacuated: Zones whose upstreams get no requests.
          bounds: The records.Bounds.
          now: Monotonic seconds.
          evacuation_ends: Dict of the monotonic time at which a zone's last evacuation ended.
        """
        is_first_list = not self._upstream_states and not self._former
        self._services = services
        self._evacuated = frozenset(evacuated)
        self._bounds = bounds
        for state in self._upstream_states.values():
            state.part_view = None
        for upstream_id in [item for item in self._upstream_states if item not in upstreams]:
            self._remove_upstream(upstream_id)
        for upstream in upstreams.values():
            self._apply_upstream(upstream, is_first_list, now)
        for zone, ended_at in (evacuation_ends or {}).items():
            self._apply_evacuation_end(zone, ended_at)
        self._rebuild_pools()

    def find(self, upstream_id):
        """Returns the TrackedUpstream of an upstream, or None."""
        return self._upstream_states.get(upstream_id)

    def find_process(self, state, opened_at):
        """Returns the TrackedUpstream of the process that a connection leads to.

        The store may have named it since the request was placed.

        Args:
          state: The TrackedUpstream for which the connection was opened.
          opened_at: Monotonic time at which the connection was opened.
        """
        current = self._upstream_states.get(state.record.upstream_id, state)
        return current if current.begun_at <= opened_at else state

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
            and not state.is_leaving
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

    def estimate_busy_share(self, service_id, region, now):
        """Returns the share of the slots of a service's upstreams in a region that are in use."""
        pool = self.find_pool(service_id, region)
        slots = self.count_slots(service_id, region)
        busy = sum(min(state.estimate_load(now), state.record.slots) for state in pool)
        return busy / slots if slots else 1.0

    def estimate_round_trip_s(self, region):
        """Returns the round-trip time to a region in seconds; 0 if unknown."""
        return self._round_trips.get(region, 0.0)

    def update_round_trip(self, region, seconds):
        """Updates the round-trip time to a region with the duration of a connection's set-up."""
        current_s = self._round_trips.get(region)
        self._round_trips[region] = seconds if current_s is None else min(current_s * 1.05, seconds)

    def recheck_all(self, now):
        """Has all upstreams asked whether they are cold, as the host may have missed restarts."""
        for state in self._upstream_states.values():
            state.unchecked_since = now

    def find_health_target(self, state, opened_at, now):
        """Returns the target at which an upstream is to be asked whether it is cold, or None.

        The entry that a host reads as it starts may be that of a process which has ended, and the
        host has noticed nothing of a restart before. What ran then is warm after the cold time.

        Args:
          state: The TrackedUpstream.
          opened_at: Monotonic time at which the connection of the next request was opened.
          now: Monotonic seconds.
        """
        service = self._services.get(state.record.service_id)
        if service is None or not service.cold_rate or state.unchecked_since is None:
            return None
        if state.is_cold(now) or state.is_proven(opened_at):
            return None
        if now >= state.unchecked_since + service.cold_s:
            return None
        return service.health_target

    def apply_health(self, state, cold_s, now):
        """Applies the time for which an upstream says at its health path that it stays cold."""
        self.mark_cold(state, min(cold_s, self._find_cold_s(state.record)), now)

    def mark_cold(self, state, cold_s, now):
        """Treats an upstream as cold for ``cold_s`` seconds from ``now`` on."""
        if state.cold_until < now + cold_s:
            state.cold_until = now + cold_s
            state.forget_objects()

    def suspect_restart(self, state, now):
        """Limits requests to an upstream that may have restarted, as if it were cold.

        The store tells of a restart late, or not at all while it is away.
        """
        if not state.is_cold(now):
            state.record_restart_sign(now)
        state.suspect(now, now + self._find_cold_s(state.record))

    def apply_restart_report(self, report, now):
        """Suspects an upstream of the restart that a peer reports.

        The peer may know the process by another name, as the store names it to hosts at different
        times. A host knows better if answers show that the process which ran when the peer last
        knew one to run is the one that it knows.

        Returns:
          True if the upstream is suspected.
        """
        state = self._find_last(report.upstream_id)
        if state is None or state.ran_at(report.alive_at):
            return False
        until = report.at + self._find_cold_s(state.record)
        if until <= max(now, state.suspect_until, state.cold_until):
            return False
        if not state.is_cold(now):
            state.record_restart_sign(report.at)
        state.suspect(report.at, until)
        return True

    def estimate_restart_at(self, state, cold_s, now):
        """Returns when an upstream has become cold that stays cold for ``cold_s`` from now on."""
        return now - max(0.0, self._find_cold_s(state.record) - cold_s)

    def mark_unreachable(self, state, now):
        """Marks an upstream as unreachable; returns the seconds until the next probe."""
        state.is_unreachable = True
        if now >= state.down_until:
            state.down_until = now + state.down_s
            state.down_s = min(tracking.MAX_DOWN_S, 2 * state.down_s)
        return state.down_until - now

    def mark_reachable(self, state, now):
        """Marks an unreachable upstream as reachable again and treats it as cold, as it may be."""
        state.is_unreachable = False
        state.refused_at = None
        state.down_until = 0.0
        state.down_s = tracking.INITIAL_DOWN_S
        state.record_restart_sign(now)
        self.mark_cold(state, self._find_cold_s(state.record), now)

    def has_connection_capacity(self, state):
        """Returns True if one more request fits this host's part of an upstream's connections.

        Each request in flight may need a connection of its own.
        """
        service = self._services.get(state.record.service_id)
        if service is None:
            return True
        # The hash of each host takes a microsecond, too long for each decision with many hosts.
        if state.connection_view is not self.view or state.connection_service is not service:
            state.connection_view, state.connection_service = self.view, service
            state.connection_part = self._count_connections(state.record, service)
        return state.use.open_requests < state.connection_part

    def has_cold_capacity(self, state, now):
        """Returns True if the permitted rate of a cold upstream allows one more request now."""
        self._update_parts(state)
        return state.use.sends.count(COLD_WINDOW_S, now) < state.cold_part

    def mark_leaving(self, state, now):
        """Sends nothing more to an incarnation of an upstream whose answer says that it leaves.

        Returns:
          True if that was not known.
        """
        if state.is_leaving:
            return False
        state.leaving_since = now
        self._rebuild_pools()
        return True

    def set_rate_limit(self, state, rate_limit, now):
        """Applies the limit that an answer of an upstream states, or None if it states none.

        Returns:
          True if the limit has changed.
        """
        if rate_limit is not None:
            state.limit_probe_at = now + self._draw_probe_interval_s(rate_limit)
            state.limited_at = now
        if state.rate_limit == rate_limit:
            return False
        state.rate_limit = rate_limit
        state.part_view = None
        return True

    def pause(self, state, pause_s, now):
        """Sends nothing to an upstream for ``pause_s`` seconds, as its answer asks for."""
        state.paused_until = max(state.paused_until, now + min(pause_s, MAX_PAUSE_S))
        state.paused_at = now

    def compute_wait_s(self, state, now):
        """Returns the seconds until what an upstream asks for permits a send by this host."""
        pause_s = max(0.0, state.paused_until - now)
        if state.rate_limit is None:
            return pause_s
        self._update_parts(state)
        wait_s = state.use.sends.compute_wait_s(state.limit_part, LIMIT_WINDOW_S, now)
        if wait_s is None:
            wait_s = state.limit_probe_at - now
        return max(pause_s, wait_s)

    def admit_send(self, state, now, opened_at=math.inf):
        """Counts a send to an upstream if it is permitted.

        Args:
          state: The TrackedUpstream.
          now: Monotonic seconds.
          opened_at: Monotonic time at which the connection of the send was opened.
        Returns:
          True if the send is permitted and counted.
        """
        is_limited = now < state.cold_until
        is_limited = is_limited or (now < state.suspect_until and not state.is_proven(opened_at))
        if is_limited and not self.has_cold_capacity(state, now):
            return False
        if self.compute_wait_s(state, now) > 0.0:
            return False
        if state.rate_limit is not None:
            state.limit_probe_at = now + self._draw_probe_interval_s(state.rate_limit)
        state.use.sends.add(now)
        return True

    def _update_parts(self, state):
        """Sets this host's parts of an upstream's limits, if the known hosts have changed."""
        if state.part_view is not self.view:
            state.part_view = self.view
            state.cold_part = self._compute_cold_part(state.record)
            state.limit_part = self._compute_limit_part(state)

    def _compute_limit_part(self, state):
        """Returns the requests that this host may send within LIMIT_WINDOW_S.

        As with cold upstreams, hosts of other regions have no part.
        """
        record = state.record
        if state.rate_limit is None or record.region != self.region:
            return 0
        view = self.view
        total = int(min(state.rate_limit * LIMIT_WINDOW_S, UNLIMITED))
        if not view.is_settled:
            return total // view.count_assumed_hosts()
        return quotas.deal_units(total, view.own_id, view.region_ids, record.upstream_id)

    def _draw_probe_interval_s(self, rate_limit):
        rate = max(LIMIT_PROBE_SHARE * rate_limit, MIN_LIMIT_PROBE_RATE)
        interval_s = len(self.view.all_ids) / rate * self._rng.uniform(1.0, 2.0)
        return max(MIN_LIMIT_PROBE_S, interval_s)

    def _compute_cold_part(self, record):
        service = self._services.get(record.service_id)
        if service is None or not service.cold_rate or self._bounds is None:
            return UNLIMITED
        view = self.view
        if not view.is_settled:
            return 0
        bounds = self._bounds
        total = service.cold_rate * bounds.cold_overage + bounds.cold_tolerance
        return quotas.deal_units(
            int(COLD_RATE_SHARE * total), view.own_id, view.region_ids, record.upstream_id
        )

    def _count_connections(self, record, service):
        """Returns this host's part of the connections that an upstream accepts."""
        view = self.view
        if view.is_settled:
            total = service.max_connections
            return quotas.deal_units(total, view.own_id, view.all_ids, record.upstream_id)
        if not service.max_connections:
            return 0
        return max(1, service.max_connections // view.count_assumed_hosts())

    def _find_cold_s(self, record):
        service = self._services.get(record.service_id)
        return service.cold_s if service else 0.0

    def _apply_upstream(self, upstream, is_first_list, now):
        state = self._upstream_states.get(upstream.upstream_id)
        if state is None and is_first_list:
            state = tracking.TrackedUpstream(upstream, now + upstream.cold_s)
            state.unchecked_since = now
            self._upstream_states[upstream.upstream_id] = state
        elif state is None or state.record.incarnation != upstream.incarnation:
            state = self._replace_state(state, upstream, now)
            self._upstream_states[upstream.upstream_id] = state
        elif state.record.cold_s < upstream.cold_s:
            self.mark_cold(state, upstream.cold_s, now)
        if state.record.address != upstream.address:
            state.is_misdirected = False
            # Another process may answer at the new address, and it remembers nothing.
            state.forget_objects()
        state.record = upstream

    def _remove_upstream(self, upstream_id):
        self._keep_former(self._upstream_states.pop(upstream_id))

    def _keep_former(self, state):
        """Keeps the state of an incarnation that the store names no more."""
        upstream_id = state.record.upstream_id
        former = self._former.pop(upstream_id, None)
        if former is None:
            former = collections.deque(maxlen=MAX_FORMER_INCARNATIONS)
        for other in [item for item in former if _identify(item.record) == _identify(state.record)]:
            former.remove(other)
        former.append(state)
        self._former[upstream_id] = former
        if len(self._former) > MAX_FORMER_UPSTREAMS:
            self._former.popitem(last=False)

    def _find_last(self, upstream_id):
        """Returns the TrackedUpstream that the store named last, or None."""
        state = self._upstream_states.get(upstream_id)
        former = self._former.get(upstream_id)
        return state or (former[-1] if former else None)

    def _replace_state(self, known, upstream, now):
        """Returns the state of an upstream whose entry names another incarnation than before.

        Args:
          known: The TrackedUpstream that the entry had until now, or None if it was missing.
          upstream: The records.Upstream of the entry.
          now: Monotonic seconds.
        """
        previous = self._find_last(upstream.upstream_id)
        if known is not None:
            known.forget_objects()
            self._keep_former(known)
        # An incarnation that was not listed before started during traffic, so it is cold also if
        # its entry states no cold time.
        cold_until = now + (upstream.cold_s or self._find_cold_s(upstream))
        if previous is None:
            return tracking.TrackedUpstream(upstream, cold_until)
        state = self._restore_state(upstream, now)
        if state is None:
            return previous.make_successor(upstream, cold_until, now)
        # Requests may have reached a process that was cold under the other name.
        state.cold_until = max(state.cold_until, previous.cold_until)
        state.suspect_until = max(state.suspect_until, previous.suspect_until)
        return state

    def _restore_state(self, upstream, now):
        """Returns the state of an incarnation that the store names again, or None.

        What it asked for, and what it has got, still counts. That its entry is back shows that it
        runs, so connections are tried again; it may have restarted before.
        """
        former = self._former.get(upstream.upstream_id, ())
        found = [state for state in former if _identify(state.record) == _identify(upstream)]
        if not found:
            return None
        state = found[-1]
        former.remove(state)
        state.is_misdirected = False
        if state.is_unreachable:
            self.mark_reachable(state, now)
        return state

    def _apply_evacuation_end(self, zone, ended_at):
        """Treats the upstreams of a zone as cold from the end of its evacuation on."""
        for state in self._upstream_states.values():
            if state.record.zone == zone:
                self.mark_cold(state, self._find_cold_s(state.record), ended_at)

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


def _identify(record):
    return record.incarnation, record.address


def _hash_upstream(upstream_id, key):
    return hashlib.blake2b(upstream_id.encode() + b"\0" + key, digest_size=8).digest()
