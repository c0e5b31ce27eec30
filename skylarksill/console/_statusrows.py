"""Rows of the status table, built from the configuration and the agents' status."""

import collections
import dataclasses

from skylarksill import records


@dataclasses.dataclass(frozen=True, slots=True)
class StatusRow:
    """State of one region, zone, host or upstream.

    ``within`` is the zone, region or host that contains it. ``slots`` leaves out upstreams that
    the configuration drains. Numbers are None if nothing was reported. ``generations`` lists the
    generations in force at its hosts, in ascending order. ``age_ms`` is the age of the oldest
    number of the row.
    """

    kind: str
    name: str
    within: str
    state: str
    slots: int
    in_use: int | None
    headroom: int | None
    generations: list[int]
    age_ms: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class _StatusIndex:
    """Input of all rows, indexed by host, upstream or zone."""

    configuration: records.Configuration
    peers: dict
    loads: dict
    upstreams: dict
    regions_by_zone: dict


def build_rows(configuration, status):
    """Builds the rows of the status table.

    Args:
      configuration: The Configuration in force at the agent.
      status: The agent's messages.StatusResult, with the upstreams of other hosts added.
    Returns:
      A tuple of StatusRow: regions, zones, hosts and upstreams in the order of the configuration.
    """
    loads = collections.defaultdict(list)
    for load in status.loads:
        loads[load.host].append(load)
    index = _StatusIndex(
        configuration,
        {peer.entry.host: peer for peer in status.peers},
        loads,
        {entry.upstream: entry for entry in status.upstreams},
        {zone.zone_id: zone.region_id for zone in configuration.zones},
    )
    return (
        *[_build_region(index, region) for region in configuration.regions],
        *[_build_zone(index, zone) for zone in configuration.zones],
        *[_build_host(index, host) for host in configuration.hosts],
        *[_build_upstream(index, upstream) for upstream in configuration.upstreams],
    )


def _build_region(index, region):
    hosts = [
        h for h in index.configuration.hosts if index.regions_by_zone[h.zone_id] == region.region_id
    ]
    upstreams = [
        upstream
        for upstream in index.configuration.upstreams
        if index.regions_by_zone[upstream.zone_id] == region.region_id
    ]
    row = _build_aggregate(index, "region", region.region_id, "", hosts, upstreams)
    if row.in_use is None:
        return row
    return dataclasses.replace(row, headroom=min(row.headroom, region.max_in_flight - row.in_use))


def _build_zone(index, zone):
    hosts = [host for host in index.configuration.hosts if host.zone_id == zone.zone_id]
    upstreams = [up for up in index.configuration.upstreams if up.zone_id == zone.zone_id]
    return _build_aggregate(index, "zone", zone.zone_id, zone.region_id, hosts, upstreams)


def _build_aggregate(index, kind, name, within, hosts, upstreams):
    loads = [load for host in hosts for load in index.loads[host.host_id]]
    peers = [index.peers[host.host_id] for host in hosts if host.host_id in index.peers]
    return StatusRow(
        kind,
        name,
        within,
        _join_states([_find_host_state(index, host) for host in hosts]),
        _sum_slots(upstreams),
        *_sum_loads(loads),
        sorted({peer.entry.generation for peer in peers}),
        max([*[load.age_ms for load in loads], *[peer.age_ms for peer in peers]], default=None),
    )


def _build_host(index, host):
    slots = _sum_slots([up for up in index.configuration.upstreams if up.home == host.host_id])
    state = _find_host_state(index, host)
    row = _build_aggregate(index, "host", host.host_id, host.zone_id, [host], ())
    return dataclasses.replace(row, state=state, slots=slots)


def _build_upstream(index, upstream):
    entry = index.upstreams.get(upstream.upstream_id)
    peer = index.peers.get(upstream.home)
    return StatusRow(
        "upstream",
        upstream.upstream_id,
        upstream.home,
        _find_upstream_state(upstream, entry),
        upstream.slots,
        entry.in_flight if entry else None,
        entry.free if entry else None,
        [peer.entry.generation] if peer else [],
        entry.age_ms if entry else None,
    )


def _find_host_state(index, host):
    peer = index.peers.get(host.host_id)
    if peer is None:
        return "unknown"
    if not peer.is_alive:
        return "down"
    states = {host.state, peer.entry.state} - {records.LifecycleState.SERVING}
    return min((state.value for state in states), default=records.LifecycleState.SERVING.value)


def _find_upstream_state(upstream, entry):
    if entry is not None and entry.state is not records.LifecycleState.SERVING:
        return entry.state.value
    if upstream.state is not records.LifecycleState.SERVING:
        return upstream.state.value
    if entry is None:
        return "unknown"
    return "ejected" if entry.is_ejected else entry.state.value


def _join_states(states):
    counts = collections.Counter(states)
    if len(counts) <= 1:
        return "".join(counts) or "empty"
    return ", ".join(f"{count} {state}" for state, count in sorted(counts.items()))


def _sum_slots(upstreams):
    serving = [up for up in upstreams if up.state is records.LifecycleState.SERVING]
    return sum(upstream.slots for upstream in serving)


def _sum_loads(loads):
    if not loads:
        return None, None
    return sum(load.in_flight for load in loads), sum(load.free for load in loads)
