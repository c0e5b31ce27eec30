"""Planned stops: the states of what is drained, and the headroom that a drain leaves.

An operator drains upstreams, hosts, zones and regions by their state in the configuration.
"""

import collections
import dataclasses
import enum

from skylarksill import records


class DrainEvent(enum.Enum):
    """What moves a host or an upstream from one state to the next."""

    LEAVE = "leave"
    EMPTY = "empty"
    RETURN = "return"


_NEXT_STATES = {
    (records.LifeState.SERVING, DrainEvent.LEAVE): records.LifeState.LEAVING,
    (records.LifeState.LEAVING, DrainEvent.EMPTY): records.LifeState.DRAINED,
    (records.LifeState.LEAVING, DrainEvent.RETURN): records.LifeState.SERVING,
    (records.LifeState.DRAINED, DrainEvent.RETURN): records.LifeState.SERVING,
}


class DrainState:
    """State of one host or upstream during a planned stop.

    Args:
      grace_s: Seconds for which new work is still taken after LEAVE, because callers learn of it
        late. EMPTY has no effect before they have passed.
    """

    def __init__(self, grace_s=0.0):
        self.state = records.LifeState.SERVING
        self.changed_at = None
        self._grace_s = grace_s

    def handle(self, event, now):
        """Applies an event; an event that does not fit the state changes nothing.

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
        """Says whether new work may start at ``now``, a monotonic time in seconds."""
        if self.state is records.LifeState.LEAVING:
            return now - self.changed_at < self._grace_s
        return self.state is records.LifeState.SERVING


class TargetKind(enum.Enum):
    """What can be drained."""

    UPSTREAM = "upstream"
    HOST = "host"
    ZONE = "zone"
    REGION = "region"


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """Something to drain or to return."""

    kind: TargetKind
    name: str


class UnknownTargetError(records.SkylarksillError):
    """The configuration does not name the target."""


@dataclasses.dataclass(frozen=True, slots=True)
class Headroom:
    """Slots of a service in a region before and after a drain.

    ``in_flight`` is None if no load is known; ``age_ms`` is the age of the oldest figure.
    """

    region: records.RegionId
    service: records.ServiceId
    slots_before: int
    slots_after: int
    in_flight: int | None
    age_ms: int | None

    @property
    def free_after(self):
        """Slots that remain for more work; negative if the load exceeds them, None if unknown."""
        return None if self.in_flight is None else self.slots_after - self.in_flight


@dataclasses.dataclass(frozen=True, slots=True)
class DrainPreview:
    """What a drain changes.

    ``faults`` say why the deployment could not carry its load; ``changed`` names the records whose
    state changes.
    """

    configuration: records.Configuration
    changed: tuple[str, ...]
    headrooms: tuple[Headroom, ...]
    faults: tuple[str, ...]


def change_state(configuration, target, state):
    """Sets the state of a target and of everything in it.

    Args:
      configuration: A Configuration.
      target: A Target.
      state: The LifeState to set.
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


def preview_drain(configuration, target, loads=(), state=records.LifeState.LEAVING):
    """Works out the headroom that remains when a target leaves.

    Args:
      configuration: The Configuration in force.
      target: The Target.
      loads: LoadEntry records of the dispatchers, as far as they are known.
      state: The LifeState to set.
    Returns:
      A DrainPreview.
    Raises:
      UnknownTargetError: If there is no such target.
    """
    changed, names = change_state(configuration, target, state)
    headrooms = compare_headroom(configuration, changed, loads)
    return DrainPreview(changed, names, headrooms, _find_faults(changed, headrooms))


def compare_headroom(before, after, loads):
    """Compares the slots of each region and service in two configurations.

    Args:
      before: The Configuration in force.
      after: The Configuration that follows it.
      loads: LoadEntry records.
    Returns:
      A tuple of Headroom in the order of the configuration.
    """
    slots_before = count_slots(before)
    slots_after = count_slots(after)
    entries = _group_loads(before, loads)
    headrooms = []
    for region in before.regions:
        for service in before.services:
            key = (region.region_id, service.service_id)
            group = entries.get(key)
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
    """Counts the slots that can be used, by region and service.

    A slot is of use while its owner serves: the home owns all but one, the standby that one.

    Returns:
      A Counter by pairs of region and service.
    """
    regions = {zone.zone_id: zone.region_id for zone in configuration.zones}
    serving = {
        host.host_id for host in configuration.hosts if host.state is records.LifeState.SERVING
    }
    slots = collections.Counter()
    for upstream in configuration.upstreams:
        if upstream.state is records.LifeState.SERVING:
            key = (regions[upstream.zone_id], upstream.service_id)
            slots[key] += _count_owned(upstream, serving)
    return slots


def _count_owned(upstream, serving):
    lent = 1 if upstream.standby is not None and upstream.slots > 1 else 0
    owned = upstream.slots - lent if upstream.home in serving else 0
    return owned + (lent if upstream.standby in serving else 0)


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
    regions = {zone.zone_id: zone.region_id for zone in configuration.zones}
    regions_by_host = {host.host_id: regions[host.zone_id] for host in configuration.hosts}
    groups = collections.defaultdict(list)
    for load in loads:
        if load.host in regions_by_host:
            groups[regions_by_host[load.host], load.service].append(load)
    return groups


def _find_faults(configuration, headrooms):
    faults = []
    for service in configuration.services:
        rows = [row for row in headrooms if row.service == service.service_id]
        slots = sum(row.slots_after for row in rows)
        in_flight = sum(row.in_flight or 0 for row in rows)
        if not slots:
            faults.append(f"{service.service_id} has no slots left")
        elif in_flight > slots:
            faults.append(f"{service.service_id} has {in_flight} requests for {slots} slots")
    return (*faults, *_find_cap_faults(configuration, headrooms))


def _find_cap_faults(configuration, headrooms):
    mean_ms = {service.service_id: service.mean_ms for service in configuration.services}
    moving = 0.0
    giving = set()
    for row in headrooms:
        if row.free_after is not None and row.free_after < 0:
            moving += -row.free_after * 1000 / mean_ms[row.service]
            giving.add(row.region)
    taking = [region for region in configuration.regions if region.region_id not in giving]
    cap = sum(region.shift_cap_per_s for region in taking)
    if moving <= cap:
        return ()
    return (f"about {moving:.0f} requests/s leave their region and the others take {cap}/s",)
