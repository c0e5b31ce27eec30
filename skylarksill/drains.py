"""Planned stops: the states of a drain, and the capacity that remains while it lasts.

An operator drains upstreams, hosts, zones and regions by setting their state in the configuration.
"""

import collections
import dataclasses
import enum

from skylarksill import records


class DrainEvent(enum.Enum):
    """Event that moves a host or an upstream from one state of a drain to the next."""

    LEAVE = "leave"
    EMPTY = "empty"
    RETURN = "return"


_NEXT_STATES = {
    (records.LifecycleState.SERVING, DrainEvent.LEAVE): records.LifecycleState.LEAVING,
    (records.LifecycleState.LEAVING, DrainEvent.EMPTY): records.LifecycleState.DRAINED,
    (records.LifecycleState.LEAVING, DrainEvent.RETURN): records.LifecycleState.SERVING,
    (records.LifecycleState.DRAINED, DrainEvent.RETURN): records.LifecycleState.SERVING,
}


class DrainState:
    """State of one host or upstream during a planned stop.

    Args:
      grace_s: Seconds after LEAVE during which new work is still accepted, because callers learn of
        the drain with a delay. EMPTY has no effect during this time.
    """

    def __init__(self, grace_s=0.0):
        self.state = records.LifecycleState.SERVING
        self.changed_at = None
        self._grace_s = grace_s

    def handle(self, event, now):
        """Applies an event; an event that is not valid in the present state is ignored.

        Args:
          event: A DrainEvent.
          now: Monotonic time in seconds.
        Returns:
          The state after the event.
        """
        next_state = _NEXT_STATES.get((self.state, event))
        is_early = event is DrainEvent.EMPTY and self.accepts_work(now)
        if next_state is not None and not is_early:
            self.state = next_state
            self.changed_at = now
        return self.state

    def accepts_work(self, now):
        """Returns True if new work may start at ``now``, a monotonic time in seconds."""
        if self.state is records.LifecycleState.LEAVING:
            return now - self.changed_at < self._grace_s
        return self.state is records.LifecycleState.SERVING


class TargetKind(enum.Enum):
    """Kind of a target of a drain."""

    UPSTREAM = "upstream"
    HOST = "host"
    ZONE = "zone"
    REGION = "region"


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """An upstream, host, zone or region to drain or to return to service."""

    kind: TargetKind
    name: str


class UnknownTargetError(records.SkylarksillError):
    """The configuration does not name the target."""


@dataclasses.dataclass(frozen=True, slots=True)
class Headroom:
    """Slots of a service in a region before and after a drain.

    ``in_flight`` includes queued requests and is None if no load is known. ``age_ms`` is the age of
    the oldest load report that it is based on.
    """

    region: records.RegionId
    service: records.ServiceId
    slots_before: int
    slots_after: int
    in_flight: int | None
    age_ms: int | None

    @property
    def free_after(self):
        """Slots that remain free; negative if the load exceeds the slots, None if unknown."""
        return None if self.in_flight is None else self.slots_after - self.in_flight


@dataclasses.dataclass(frozen=True, slots=True)
class DrainPreview:
    """Effects of a drain.

    ``configuration`` is the configuration with the drain. ``changed`` names the records whose state
    changes. ``shortfalls`` are texts that say why the remaining capacity does not suffice.
    """

    configuration: records.Configuration
    changed: tuple[str, ...]
    headrooms: tuple[Headroom, ...]
    shortfalls: tuple[str, ...]


def change_state(configuration, target, state):
    """Sets the state of a target and of all hosts and upstreams in it.

    Args:
      configuration: A Configuration.
      target: A Target.
      state: The LifecycleState to set.
    Returns:
      A pair of the changed Configuration and the names of the changed records.
    Raises:
      UnknownTargetError: If there is no such target.
    """
    hosts, upstreams = _select_records(configuration, target)
    changed = [f"host {host.host_id}" for host in hosts.values() if host.state is not state]
    changed += [
        f"upstream {upstream.upstream_id}"
        for upstream in upstreams.values()
        if upstream.state is not state
    ]
    return (
        dataclasses.replace(
            configuration,
            hosts=tuple(
                dataclasses.replace(host, state=state) if host.host_id in hosts else host
                for host in configuration.hosts
            ),
            upstreams=tuple(
                dataclasses.replace(item, state=state) if item.upstream_id in upstreams else item
                for item in configuration.upstreams
            ),
        ),
        tuple(changed),
    )


def preview_drain(configuration, target, loads=(), state=records.LifecycleState.LEAVING):
    """Computes the headroom that remains when a target is drained.

    Args:
      configuration: The Configuration in force.
      target: The Target.
      loads: Known LoadEntry records of the dispatchers.
      state: The LifecycleState to set.
    Returns:
      A DrainPreview.
    Raises:
      UnknownTargetError: If there is no such target.
    """
    changed, changed_names = change_state(configuration, target, state)
    headrooms = compare_headroom(configuration, changed, loads)
    return DrainPreview(
        changed, changed_names, headrooms, _find_capacity_shortfalls(changed, headrooms)
    )


def compare_headroom(before, after, loads):
    """Compares the slots of each region and service in two configurations.

    Args:
      before: The Configuration in force.
      after: The changed Configuration.
      loads: LoadEntry records.
    Returns:
      A tuple of Headroom in the order of the configuration.
    """
    slots_before = count_slots(before)
    slots_after = count_slots(after)
    groups = _group_loads(before, loads)
    headrooms = []
    for region in before.regions:
        for service in before.services:
            key = (region.region_id, service.service_id)
            group = groups.get(key)
            headrooms.append(
                Headroom(
                    *key,
                    slots_before[key],
                    slots_after[key],
                    sum(load.in_flight + load.queued for load in group) if group else None,
                    max(load.age_ms for load in group) if group else None,
                )
            )
    return tuple(headrooms)


def count_slots(configuration):
    """Counts the usable slots by region and service.

    A slot is usable while the host that owns it is serving. The home host of an upstream owns all
    slots but one, which the standby host owns; without a standby or with one slot it owns all.

    Returns:
      A Counter by pairs of region and service.
    """
    region_of_zone = {zone.zone_id: zone.region_id for zone in configuration.zones}
    serving = {
        host.host_id for host in configuration.hosts if host.state is records.LifecycleState.SERVING
    }
    slots = collections.Counter()
    for upstream in configuration.upstreams:
        if upstream.state is records.LifecycleState.SERVING:
            key = (region_of_zone[upstream.zone_id], upstream.service_id)
            slots[key] += _count_usable_slots(upstream, serving)
    return slots


def _count_usable_slots(upstream, serving):
    standby_slots = 1 if upstream.standby is not None and upstream.slots > 1 else 0
    home_slots = upstream.slots - standby_slots if upstream.home in serving else 0
    return home_slots + (standby_slots if upstream.standby in serving else 0)


def _select_records(configuration, target):
    zones = {
        TargetKind.ZONE: {target.name},
        TargetKind.REGION: {
            zone.zone_id for zone in configuration.zones if zone.region_id == target.name
        },
    }.get(target.kind, set())
    hosts = {
        host.host_id: host
        for host in configuration.hosts
        if host.zone_id in zones or (target.kind is TargetKind.HOST and host.host_id == target.name)
    }
    upstreams = {
        upstream.upstream_id: upstream
        for upstream in configuration.upstreams
        if upstream.zone_id in zones
        or (target.kind is TargetKind.UPSTREAM and upstream.upstream_id == target.name)
    }
    if not hosts and not upstreams:
        raise UnknownTargetError(f"{target.kind.value} {target.name!r} is not configured")
    return hosts, upstreams


def _group_loads(configuration, loads):
    region_of_zone = {zone.zone_id: zone.region_id for zone in configuration.zones}
    region_of_host = {host.host_id: region_of_zone[host.zone_id] for host in configuration.hosts}
    groups = collections.defaultdict(list)
    for load in loads:
        if load.host in region_of_host:
            groups[region_of_host[load.host], load.service].append(load)
    return groups


def _find_capacity_shortfalls(configuration, headrooms):
    shortfalls = []
    for service in configuration.services:
        rows = [row for row in headrooms if row.service == service.service_id]
        slots = sum(row.slots_after for row in rows)
        in_flight = sum(row.in_flight or 0 for row in rows)
        if not slots:
            shortfalls.append(f"{service.service_id} has no slots left")
        elif in_flight > slots:
            shortfalls.append(f"{service.service_id} has {in_flight} requests for {slots} slots")
    return (*shortfalls, *_find_shift_cap_shortfalls(configuration, headrooms))


def _find_shift_cap_shortfalls(configuration, headrooms):
    mean_ms = {service.service_id: service.mean_ms for service in configuration.services}
    excess_per_s = 0.0
    overloaded_regions = set()
    for row in headrooms:
        if row.free_after is not None and row.free_after < 0:
            excess_per_s += -row.free_after * 1000 / mean_ms[row.service]
            overloaded_regions.add(row.region)
    receiving_regions = [
        region for region in configuration.regions if region.region_id not in overloaded_regions
    ]
    cap_per_s = sum(region.shift_cap_per_s for region in receiving_regions)
    if excess_per_s <= cap_per_s:
        return ()
    return (
        f"about {excess_per_s:.0f} requests/s leave their region and the others take {cap_per_s}/s",
    )
