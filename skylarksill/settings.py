"""Settings of the programs on one host: schema, parsing and validation.

All programs of a host read the same INI file. ``SCHEMA`` is the only list of settings; the tables
of the operators' documentation are generated from it.
"""

import configparser
import dataclasses
import ipaddress
import typing

from skylarksill import records

MIN_SHARED_KEY_BYTES = 16


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Validated settings of one host; network addresses are pairs of IP address and port."""

    host: records.HostId
    zone: records.ZoneId
    address: str
    lookup_port: int
    entry_port: int
    dispatch_port: int
    agent_port: int
    shared_key: bytes
    platform: tuple[str, int] | None
    peers: tuple[tuple[str, int], ...]
    statsd: tuple[str, int] | None
    log_level: str


@dataclasses.dataclass(frozen=True, slots=True)
class Setting:
    """Schema of one setting.

    Attributes:
      field: Name of the field in Settings.
      section: Section of the INI file.
      key: Key in that section.
      parse: Converts the text of the value; raises ValueError if it is invalid.
      default: Text that is parsed if the key is missing; None if the setting is required.
      meaning: Description for the operators' documentation.
    """

    field: str
    section: str
    key: str
    parse: typing.Callable[[str], typing.Any]
    default: str | None
    meaning: str


def _parse_name(text):
    if not text or not all(character.isalnum() or character in "-_." for character in text):
        raise ValueError("must be a name of letters, digits, '-', '_' or '.'")
    return text


def _parse_ip(text):
    return str(ipaddress.ip_address(text))


def _parse_port(text):
    port = int(text)
    if not 0 <= port <= 65535:
        raise ValueError("must be a port from 0 to 65535")
    return port


def _parse_address(text):
    if not text:
        return None
    host, _, port = text.rpartition(":")
    return _parse_ip(host), _parse_port(port)


def _parse_addresses(text):
    return tuple(_parse_address(item.strip()) for item in text.split(",") if item.strip())


def _parse_shared_key(text):
    key = bytes.fromhex(text)
    if len(key) < MIN_SHARED_KEY_BYTES:
        raise ValueError(f"must be at least {MIN_SHARED_KEY_BYTES} bytes in hexadecimal")
    return key


def _parse_log_level(text):
    if text not in ("DEBUG", "INFO", "NOTICE", "WARNING", "ERROR"):
        raise ValueError("must be DEBUG, INFO, NOTICE, WARNING or ERROR")
    return text


SCHEMA = (
    Setting("host", "host", "name", _parse_name, None, "name of this host in the configuration"),
    Setting("zone", "host", "zone", _parse_name, None, "availability zone of this host"),
    Setting("address", "host", "address", _parse_ip, None, "IP address that all programs bind"),
    Setting("lookup_port", "ports", "lookup", _parse_port, "7001", "port of skylarksill-lookup"),
    Setting("entry_port", "ports", "entry", _parse_port, "7002", "port of skylarksill-entry"),
    Setting("dispatch_port", "ports", "dispatch", _parse_port, "7003", "port of the dispatcher"),
    Setting("agent_port", "ports", "agent", _parse_port, "7004", "port of skylarksill-agent"),
    Setting(
        "shared_key", "security", "shared_key", _parse_shared_key, None, "deployment's key, hex"
    ),
    Setting("platform", "platform", "address", _parse_address, "", "platform store, ip:port"),
    Setting("peers", "peers", "agents", _parse_addresses, "", "agents to join, ip:port, ..."),
    Setting("statsd", "metrics", "statsd", _parse_address, "", "statsd, ip:port; empty for none"),
    Setting("log_level", "logs", "level", _parse_log_level, "INFO", "lowest level that is logged"),
)


def load_settings(path, overrides=()):
    """Reads and validates the settings of a host.

    Args:
      path: Path of the INI file.
      overrides: Strings "section.key=value" that replace or add to values of the file.
    Returns:
      A pair: the Settings, or None if there are problems, and a tuple of all Problems.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        with open(path, encoding="utf-8") as file:
            parser.read_file(file)
    except (OSError, UnicodeDecodeError, configparser.Error) as error:
        return None, (records.Problem("file", str(path), str(error).replace("\n", " ")),)
    problems = _apply_overrides(parser, overrides)
    problems += _find_unknown_settings(parser)
    values = {}
    for setting in SCHEMA:
        try:
            values[setting.field] = _read_setting(parser, setting)
        except ValueError as error:
            problems.append(records.Problem(setting.section, setting.key, str(error)))
    if problems:
        return None, tuple(problems)
    return Settings(**values), ()


def _apply_overrides(parser, overrides):
    problems = []
    for override in overrides:
        name, has_value, value = override.partition("=")
        section, has_key, key = name.partition(".")
        if not has_value or not has_key:
            problems.append(records.Problem("override", override, "must be section.key=value"))
            continue
        if not parser.has_section(section):
            parser.add_section(section)
        parser.set(section, key, value)
    return problems


def _find_unknown_settings(parser):
    known = {(setting.section, setting.key) for setting in SCHEMA}
    return [
        records.Problem(section, key, "unknown setting")
        for section in parser.sections()
        for key in parser.options(section)
        if (section, key) not in known
    ]


def _read_setting(parser, setting):
    text = parser.get(setting.section, setting.key, fallback=setting.default)
    if text is None:
        raise ValueError("is missing")
    return setting.parse(text.strip())
