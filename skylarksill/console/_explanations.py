"""Explanation of a lookup: the client's block and region, the cause and the ranked hosts."""

import ipaddress

from skylarksill import _prefixes, routing

_CAUSE_TEXTS = {
    "NEAREST": "its block is nearest to this region",
    "UNKNOWN_BLOCK": "no client block holds its address, so the zone of the asked host counts",
    "SHIFT": "a planned shift moves it to this region",
    "SPILL": "its own region has too little headroom for this service",
    "LOST": "its own region cannot serve this service",
    "CAP": "it would move, but the shift cap of the other regions is used up",
}
_GRADE_TEXTS = {
    "USABLE": "usable",
    "STALE": "its configuration is behind",
    "DEAD": "its heartbeat or its entry program is missing",
    "LEAVING": "it is leaving and never named",
}


class ExplainError(Exception):
    """The service is unknown or the client is not a valid IP address."""


def explain_client(configuration, status, service, client, zone, now):
    """Explains which entry hosts a lookup returns for a client.

    The result is that of a lookup process that has just started. A process that has run for longer
    changes its share of spilled clients in steps, so its answers may differ.

    Args:
      configuration: The Configuration in force.
      status: messages.StatusResult of an agent.
      service: Name of the service.
      client: IP address of the client.
      zone: Zone of the host that answers the lookup.
      now: Monotonic time in seconds.
    Returns:
      A dict that can be serialized as JSON.
    Raises:
      ExplainError: If the service is unknown or the client is not a valid IP address.
    """
    try:
        table = routing.RoutingTable.build(configuration)
        view = routing.SteeringView()
        view.apply_report(table, status.peers, status.loads, now)
        ranking = routing.rank_hosts(table, routing.Query(service, client, zone), view, now)
        block = find_block(configuration.blocks, client)
    except (routing.UnknownServiceError, ValueError) as error:
        raise ExplainError(str(error)) from error
    ranked_ids = [host.host_id for host in ranking.hosts]
    return {
        "service": service,
        "client": client,
        "generation": configuration.generation,
        "block": block.prefix if block else None,
        "zone": ranking.zone,
        "home_region": ranking.home_region,
        "region": ranking.target,
        "cause": ranking.cause.value,
        "reason": _CAUSE_TEXTS[ranking.cause.name],
        "shift_cap_per_s": table.regions[ranking.target].shift_cap_per_s,
        "hosts": [_describe_host(table, view, status, host) for host in ranking.hosts],
        "others": [
            _describe_host(table, view, status, host)
            for host in configuration.hosts
            if host.host_id not in ranked_ids
        ],
        "ticket": _describe_ticket(ranking.ticket_hosts),
    }


def find_block(blocks, client):
    """Finds the block with the longest prefix that contains a client's address.

    Returns:
      A Block, or None if no block contains the address.
    Raises:
      ValueError: If the client is not a valid IP address.
    """
    address = ipaddress.ip_address(client)
    number = int(address)
    best = None
    for block in blocks:
        bits, first, length = _prefixes.parse_prefix(block.prefix)
        contains_address = bits == address.max_prefixlen and number >> (bits - length) == first >> (
            bits - length
        )
        if contains_address and (best is None or length > best[0]):
            best = (length, block)
    return best[1] if best else None


def format_explanation(explanation):
    """Formats an explanation as lines of text."""
    block = explanation["block"] or "no block"
    lines = [
        f"client {explanation['client']}: {block}, zone {explanation['zone']}, "
        f"region {explanation['home_region']}",
        f"service {explanation['service']} goes to {explanation['region']}: "
        f"{explanation['reason']} ({explanation['cause']})",
        f"{explanation['region']} takes at most {explanation['shift_cap_per_s']} requests/s of "
        "clients of other regions",
    ]
    for number, host in enumerate(explanation["hosts"], 1):
        lines.append(f"{number}. {_format_host(host)}")
    lines += [f"not named: {_format_host(host)}" for host in explanation["others"]]
    ticket = explanation["ticket"]
    if ticket:
        lines.append(f"a ticket would have home {ticket['home']}, arbiter {ticket['arbiter']}")
    return lines


def _describe_host(table, view, status, host):
    age_ms = [peer.age_ms for peer in status.peers if peer.entry.host == host.host_id]
    return {
        "host": host.host_id,
        "zone": host.zone_id,
        "region": table.regions_by_zone[host.zone_id],
        "address": f"{host.address}:{host.entry_port}",
        "state": view.grades[host.host_id].name.lower(),
        "reason": _GRADE_TEXTS[view.grades[host.host_id].name],
        "age_ms": age_ms[0] if age_ms else None,
    }


def _describe_ticket(ticket_hosts):
    if ticket_hosts is None:
        return None
    return {"home": ticket_hosts.home, "arbiter": ticket_hosts.arbiter}


def _format_host(host):
    age = "no heartbeat" if host["age_ms"] is None else f"heard {host['age_ms'] / 1000:.1f} s ago"
    return f"{host['host']} in {host['zone']} ({host['region']}): {host['reason']}, {age}"
