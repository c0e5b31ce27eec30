"""Questions of the questionnaire and the records that hold the answers.

``QUESTIONS`` are asked once. The questions of a region, zone or service are asked for each name
that an earlier answer lists, and answered in a section such as ``[region coast-north]``.
"""

import dataclasses
import ipaddress
import math
import typing

from skylarksill import _configcheck, _prefixes, records


@dataclasses.dataclass(frozen=True, slots=True)
class RegionAnswers:
    """A region; a ``max_in_flight`` of None stands for the total slots of its upstreams."""

    name: str
    zones: tuple[str, ...]
    shift_cap_per_s: int
    max_in_flight: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneAnswers:
    """A zone with its number of entry hosts and the client blocks nearest to it."""

    name: str
    entry_hosts: int
    blocks: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceAnswers:
    """A service; ``slots`` and ``connections`` apply to each of its upstreams."""

    name: str
    kind: records.WorkKind
    workers: int
    slots: int
    connections: int
    mean_ms: int
    max_deadline_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Answers:
    """All answers of an operator; delays are one-way."""

    name: str
    region_names: tuple[str, ...]
    service_names: tuple[str, ...]
    store_region: str
    between_zones_ms: float
    between_regions_ms: float
    to_clients_ms: float
    gbit_per_s: float
    entry_address: str
    upstream_address: str
    upstream_port: int
    lookup_port: int
    entry_port: int
    dispatch_port: int
    agent_port: int
    regions: tuple[RegionAnswers, ...]
    zones: tuple[ZoneAnswers, ...]
    services: tuple[ServiceAnswers, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Question:
    """One question: the field, section and key of its answer, its prompt and its parser."""

    field: str
    section: str
    key: str
    prompt: str
    parse: typing.Callable[[str], typing.Any]
    default: str | None = None


def _parse_name(text):
    if not _configcheck.is_valid_name(text):
        raise ValueError(_configcheck.describe_name_rule())
    return text


def _parse_names(text):
    names = tuple(_parse_name(item.strip()) for item in text.split(",") if item.strip())
    if not names:
        raise ValueError("must name at least one")
    if len(set(names)) < len(names):
        raise ValueError("names one twice")
    return names


def _parse_count(text):
    count = _parse_whole_number(text)
    if count < 1:
        raise ValueError(f"must be at least 1, is {count}")
    return count


def _parse_whole_number(text):
    if not (text.isascii() and text.isdigit()):
        raise ValueError(f"must be a whole number, is {text!r}")
    return int(text)


def _parse_optional_count(text):
    return _parse_count(text) if text else None


def _parse_port(text):
    port = _parse_count(text)
    if port > _configcheck.MAX_PORT:
        raise ValueError(f"must be at most {_configcheck.MAX_PORT}, is {port}")
    return port


def _parse_nonnegative_number(text):
    try:
        value = float(text)
    except ValueError:
        raise ValueError(f"must be a number, is {text!r}") from None
    if not 0 <= value < math.inf:
        raise ValueError(f"must be 0 or more, is {text}")
    return value


def _parse_address(text):
    try:
        return str(ipaddress.ip_address(text))
    except ValueError:
        raise ValueError(f"must be an IP address, is {text!r}") from None


def _parse_prefixes(text):
    prefixes = tuple(item.strip() for item in text.split(",") if item.strip())
    for prefix in prefixes:
        _prefixes.parse_prefix(prefix)
    return prefixes


def _parse_kind(text):
    try:
        return records.WorkKind(text)
    except ValueError:
        raise ValueError(f"must be idempotent or non-idempotent, is {text!r}") from None


QUESTIONS = (
    Question("name", "deployment", "name", "Name of the deployment", _parse_name),
    Question("region_names", "deployment", "regions", "Regions, separated by commas", _parse_names),
    Question("service_names", "deployment", "services", "Services", _parse_names),
    Question(
        "store_region", "deployment", "store_region", "Region of the platform store", _parse_name
    ),
    Question(
        "between_zones_ms",
        "delays",
        "between_zones_ms",
        "Delay between zones, ms",
        _parse_nonnegative_number,
    ),
    Question(
        "between_regions_ms",
        "delays",
        "between_regions_ms",
        "Delay between regions, ms",
        _parse_nonnegative_number,
    ),
    Question(
        "to_clients_ms",
        "delays",
        "to_clients_ms",
        "Delay to the clients, ms",
        _parse_nonnegative_number,
    ),
    Question(
        "gbit_per_s",
        "links",
        "gbit_per_s",
        "Links between regions, Gbit/s each way",
        _parse_nonnegative_number,
    ),
    Question(
        "entry_address",
        "addresses",
        "entry_hosts",
        "IP address of the first entry host; the others follow it",
        _parse_address,
    ),
    Question(
        "upstream_address",
        "addresses",
        "upstreams",
        "IP address of the first upstream; the others follow it",
        _parse_address,
    ),
    Question(
        "upstream_port",
        "addresses",
        "upstream_port",
        "Port of the first upstream; the others follow it",
        _parse_port,
    ),
    Question("lookup_port", "addresses", "lookup_port", "Port of the look-up", _parse_port, "7001"),
    Question("entry_port", "addresses", "entry_port", "Port of the entry", _parse_port, "7002"),
    Question(
        "dispatch_port", "addresses", "dispatch_port", "Port of the dispatcher", _parse_port, "7003"
    ),
    Question("agent_port", "addresses", "agent_port", "Port of the agent", _parse_port, "7004"),
)
REGION_QUESTIONS = (
    Question("zones", "region", "zones", "Zones, separated by commas", _parse_names),
    Question(
        "shift_cap_per_s",
        "region",
        "shift_cap_per_s",
        "Requests per second that it takes from clients of other regions",
        _parse_whole_number,
    ),
    Question(
        "max_in_flight",
        "region",
        "max_in_flight",
        "Requests at its upstreams at the same time; empty for all slots",
        _parse_optional_count,
        "",
    ),
)
ZONE_QUESTIONS = (
    Question("entry_hosts", "zone", "entry_hosts", "Number of entry hosts", _parse_count, "1"),
    Question(
        "blocks",
        "zone",
        "blocks",
        "Client blocks nearest to it, separated by commas",
        _parse_prefixes,
        "",
    ),
)
SERVICE_QUESTIONS = (
    Question("kind", "service", "kind", "idempotent or non-idempotent", _parse_kind),
    Question("workers", "service", "workers", "Number of workers", _parse_count),
    Question("slots", "service", "slots", "Slots of each worker", _parse_count),
    Question(
        "connections", "service", "connections", "Connections of each worker", _parse_count, "330"
    ),
    Question("mean_ms", "service", "mean_ms", "Usual service time, ms", _parse_count),
    Question(
        "max_deadline_ms",
        "service",
        "max_deadline_ms",
        "Longest deadline of a request, ms",
        _parse_count,
        str(records.DEFAULT_DEADLINE_MS),
    ),
)
