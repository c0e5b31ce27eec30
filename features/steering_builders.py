"""Builders of agents' reports for the features of routing, look-up and entry."""

import dataclasses

from skylarksill import messages, records

PARTS = ("lookup", "entry", "dispatch")


def build_peers(configuration, dead=(), leaving=(), behind=(), generation=None):
    """Builds the peer view of all hosts of a configuration.

    Args:
      configuration: The configuration.
      dead: Hosts that are not alive.
      leaving: Hosts whose state is LEAVING.
      behind: Hosts that have accepted only the generation before.
      generation: Accepted generation of the others; the configuration's if None.
    Returns:
      A tuple of PeerView records.
    """
    generation = configuration.generation if generation is None else generation
    return tuple(
        build_peer(
            host,
            is_alive=host.host_id not in dead,
            is_leaving=host.host_id in leaving,
            generation=generation - (host.host_id in behind),
        )
        for host in configuration.hosts
    )


def build_peer(host, is_alive=True, is_leaving=False, generation=1):
    """Builds the peer view of one host with all its programs."""
    state = records.LifeState.LEAVING if is_leaving else records.LifeState.SERVING
    parts = tuple(
        messages.PartEntry(part, f"{part}-{host.host_id}", records.LifeState.SERVING)
        for part in PARTS
    )
    entry = messages.PeerEntry(host.host_id, host.zone_id, "agent", 1, generation, state, parts)
    return messages.PeerView(entry, is_alive, 0)


def build_load(host, service, slots, work, age_ms=0):
    """Builds the load of one dispatcher that has ``work`` requests running or waiting."""
    in_flight = min(slots, work)
    return messages.LoadEntry(
        host, service, slots, slots - in_flight, work - in_flight, in_flight, age_ms
    )


def replace_hosts(configuration, **addresses):
    """Returns the configuration with some fields of all its hosts replaced."""
    hosts = tuple(dataclasses.replace(host, **addresses) for host in configuration.hosts)
    return dataclasses.replace(configuration, hosts=hosts)
