"""Validation of a whole configuration.

Each check takes a configuration and returns a list of problems.
"""

import collections
import ipaddress
import math

from skylarksill import _configtext, _prefixes, records

MAX_NAME_CHARACTERS = 64
MAX_PORT = 65535
# Enough to show what is wrong; a faulty table may have hundreds of thousands of blocks.
MAX_BLOCK_PROBLEMS = 20

_NAME_FIELDS = {
    "region": ("region_id",),
    "zone": ("zone_id",),
    "service": ("service_id",),
    "shift": ("name",),
    "host": ("host_id",),
    "upstream": ("upstream_id",),
}
_PORTS = ("lookup_port", "entry_port", "dispatch_port", "agent_port")


def check_configuration(configuration):
    """Finds everything that keeps a configuration from taking effect.

    Args:
      configuration: A Configuration.
    Returns:
      A tuple of Problems; empty if the configuration is usable.
    """
    return check_records(configuration) + tuple(_check_blocks(configuration))


def check_records(configuration):
    """Checks all that ``check_configuration`` checks, except the client blocks."""
    checks = (
        _check_deployment,
        _check_names,
        _check_references,
        _check_numbers,
        _check_addresses,
        _check_owners,
        _check_shifts,
    )
    return tuple(problem for check in checks for problem in check(configuration))


def _check_deployment(configuration):
    problems = []
    if not is_valid_name(configuration.deployment):
        problems.append(records.Problem("deployment", "name", describe_name_rule()))
    if configuration.generation < 0:
        problems.append(records.Problem("deployment", "generation", "must not be negative"))
    for field in ("regions", "zones", "hosts", "services", "upstreams"):
        if not getattr(configuration, field):
            problems.append(records.Problem("deployment", field, "must not be empty"))
    return problems


def _check_names(configuration):
    problems = []
    for kind in _configtext.RECORD_KINDS:
        sections = collections.Counter()
        for record in getattr(configuration, kind.field):
            section = _configtext.format_section_name(kind, record)
            sections[section] += 1
            for field in _NAME_FIELDS.get(kind.name, ()):
                if not is_valid_name(getattr(record, field)):
                    problems.append(records.Problem(section, "name", describe_name_rule()))
        for section, count in sections.items():
            if count > 1:
                problems.append(records.Problem(section, "name", f"is defined {count} times"))
    return problems


def is_valid_name(text):
    """Says whether a text is valid as the name of a record."""
    return (
        0 < len(text) <= MAX_NAME_CHARACTERS
        and text.isascii()
        and all(character.isalnum() or character in "-_." for character in text)
    )


def describe_name_rule():
    """Returns the rule that ``is_valid_name`` checks."""
    return f"must be 1 to {MAX_NAME_CHARACTERS} letters, digits, '-', '_' or '.'"


def _check_references(configuration):
    regions = {region.region_id for region in configuration.regions}
    zones = {zone.zone_id for zone in configuration.zones}
    services = {service.service_id for service in configuration.services}
    hosts = {host.host_id for host in configuration.hosts}
    problems = []

    def check_reference(section, key, value, configured_ids):
        if value not in configured_ids:
            problems.append(records.Problem(section, key, f"{value} is not configured"))

    for zone in configuration.zones:
        check_reference(f"zone {zone.zone_id}", "region", zone.region_id, regions)
    for host in configuration.hosts:
        check_reference(f"host {host.host_id}", "zone", host.zone_id, zones)
    for upstream in configuration.upstreams:
        section = f"upstream {upstream.upstream_id}"
        check_reference(section, "service", upstream.service_id, services)
        check_reference(section, "zone", upstream.zone_id, zones)
        check_reference(section, "home", upstream.home, hosts)
        if upstream.standby is not None:
            check_reference(section, "standby", upstream.standby, hosts)
    for link in configuration.links:
        check_reference(f"link {link.source} {link.target}", "source", link.source, regions)
        check_reference(f"link {link.source} {link.target}", "target", link.target, regions)
    for shift in configuration.shifts:
        check_reference(f"shift {shift.name}", "source", shift.source, regions)
        check_reference(f"shift {shift.name}", "target", shift.target, regions)
    return problems


def _check_numbers(configuration):
    problems = []

    def check_range(section, key, value, minimum, maximum=math.inf):
        if not minimum <= value <= maximum:
            bound = f"to {maximum}" if maximum != math.inf else "or more"
            problems.append(records.Problem(section, key, f"must be {minimum} {bound}, is {value}"))

    for region in configuration.regions:
        section = f"region {region.region_id}"
        check_range(section, "max_in_flight", region.max_in_flight, 1)
        check_range(section, "shift_cap_per_s", region.shift_cap_per_s, 0)
    for service in configuration.services:
        section = f"service {service.service_id}"
        check_range(section, "mean_ms", service.mean_ms, 1)
        check_range(section, "max_deadline_ms", service.max_deadline_ms, max(service.mean_ms, 1))
    for host in configuration.hosts:
        for field in _PORTS:
            check_range(f"host {host.host_id}", field, getattr(host, field), 1, MAX_PORT)
    for upstream in configuration.upstreams:
        section = f"upstream {upstream.upstream_id}"
        check_range(section, "port", upstream.port, 1, MAX_PORT)
        check_range(section, "slots", upstream.slots, 1)
        check_range(section, "max_connections", upstream.max_connections, max(upstream.slots, 1))
    for link in configuration.links:
        section = f"link {link.source} {link.target}"
        check_range(section, "bytes_per_s", link.bytes_per_s, 1)
        # A delay of a minute exceeds every deadline; the bounds reject "nan" and "inf" as well.
        check_range(section, "delay_ms", link.delay_ms, 0, 60_000)
        if link.source == link.target:
            problems.append(records.Problem(section, "target", "must be another region"))
    return problems


def _check_addresses(configuration):
    first_uses = {}
    problems = []
    for section, key, address, port in _list_endpoints(configuration):
        first_use = first_uses.setdefault((address, port), (section, key))
        if first_use != (section, key):
            reason = f"{address}:{port} is already {first_use[1]} of [{first_use[0]}]"
            problems.append(records.Problem(section, key, reason))
    for host in configuration.hosts:
        problems += _check_address(f"host {host.host_id}", host.address)
    for upstream in configuration.upstreams:
        problems += _check_address(f"upstream {upstream.upstream_id}", upstream.address)
    return problems


def _list_endpoints(configuration):
    for host in configuration.hosts:
        for field in _PORTS:
            yield f"host {host.host_id}", field, host.address, getattr(host, field)
    for upstream in configuration.upstreams:
        yield f"upstream {upstream.upstream_id}", "port", upstream.address, upstream.port


def _check_address(section, address):
    try:
        ipaddress.ip_address(address)
    except ValueError:
        return [records.Problem(section, "address", f"{address!r} is no IP address")]
    return []


def _check_owners(configuration):
    zones = {zone.zone_id: zone for zone in configuration.zones}
    hosts = {host.host_id: host for host in configuration.hosts}
    hosts_by_zone = collections.defaultdict(set)
    hosts_by_region = collections.defaultdict(set)
    for host in configuration.hosts:
        hosts_by_zone[host.zone_id].add(host.host_id)
        if host.zone_id in zones:
            hosts_by_region[zones[host.zone_id].region_id].add(host.host_id)
    problems = []
    for upstream in configuration.upstreams:
        if upstream.home not in hosts or upstream.zone_id not in zones:
            continue
        section = f"upstream {upstream.upstream_id}"
        if hosts[upstream.home].zone_id != upstream.zone_id:
            reason = f"{upstream.home} is not in zone {upstream.zone_id}"
            problems.append(records.Problem(section, "home", reason))
        other_zone_hosts = hosts_by_zone[upstream.zone_id] - {upstream.home}
        other_region_hosts = hosts_by_region[zones[upstream.zone_id].region_id] - {upstream.home}
        reason = _find_standby_error(upstream, other_zone_hosts, other_region_hosts)
        if reason:
            problems.append(records.Problem(section, "standby", reason))
    return problems


def _find_standby_error(upstream, other_zone_hosts, other_region_hosts):
    candidates = other_zone_hosts or other_region_hosts
    if upstream.standby is None:
        # The home owns a single slot itself, which leaves none for a standby.
        if candidates and upstream.slots > 1:
            return f"is missing; one of {', '.join(sorted(candidates))} must hold one slot"
        return None
    if upstream.standby == upstream.home:
        return f"{upstream.standby} is the home as well"
    if upstream.standby not in candidates:
        place = f"zone {upstream.zone_id}" if other_zone_hosts else "the region"
        return f"{upstream.standby} is no other host of {place}"
    return None


def _check_shifts(configuration):
    caps = {region.region_id: region.shift_cap_per_s for region in configuration.regions}
    totals = collections.Counter()
    problems = []
    for shift in configuration.shifts:
        section = f"shift {shift.name}"
        totals[shift.source] += shift.percent
        if not 1 <= shift.percent <= 100:
            reason = f"must be 1 to 100, is {shift.percent}"
            problems.append(records.Problem(section, "percent", reason))
        if shift.source == shift.target:
            problems.append(records.Problem(section, "target", "must be another region"))
        if caps.get(shift.target) == 0:
            reason = f"{shift.target} takes no clients of other regions (shift_cap_per_s = 0)"
            problems.append(records.Problem(section, "target", reason))
        if totals[shift.source] > 100:
            reason = f"shifts of {shift.source} sum to {totals[shift.source]} percent"
            problems.append(records.Problem(section, "percent", reason))
    return problems


def _check_blocks(configuration):
    zones = {zone.zone_id for zone in configuration.zones}
    seen = set()
    problems = []
    for block in configuration.blocks:
        reason = None
        try:
            key = _prefixes.parse_prefix(block.prefix)
        except ValueError as error:
            reason = str(error)
        else:
            if key in seen:
                reason = "is there twice; only prefixes of different length may overlap"
            seen.add(key)
        if block.zone_id not in zones:
            reason = f"zone {block.zone_id} is not configured"
        if reason:
            problems.append(records.Problem("blocks", block.prefix, reason))
            if len(problems) >= MAX_BLOCK_PROBLEMS:
                problems.append(records.Problem("blocks", "", "further problems are not listed"))
                break
    return problems
