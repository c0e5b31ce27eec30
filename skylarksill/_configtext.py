"""Conversion between configurations and INI text.

Each record is one section, named by its kind and its ids; its other fields are the keys. Client
blocks are lines ``prefix = zone`` of one section ``[blocks]``, which are parsed without
``configparser`` because there may be hundreds of thousands of them.
"""

import configparser
import dataclasses
import enum
import functools
import sys
import types
import typing

from skylarksill import records

BLOCKS_HEADER = "[blocks]"


@dataclasses.dataclass(frozen=True, slots=True)
class RecordKind:
    """Text format of one type of record.

    ``field`` is the field of Configuration that holds these records. ``id_fields`` are the record
    fields that make up the section's name, after the kind's ``name``.
    """

    name: str
    field: str
    record_type: type
    id_fields: tuple[str, ...]


RECORD_KINDS = (
    RecordKind("region", "regions", records.Region, ("region_id",)),
    RecordKind("zone", "zones", records.Zone, ("zone_id",)),
    RecordKind("service", "services", records.Service, ("service_id",)),
    RecordKind("link", "links", records.Link, ("source", "target")),
    RecordKind("shift", "shifts", records.Shift, ("name",)),
    RecordKind("host", "hosts", records.Host, ("host_id",)),
    RecordKind("upstream", "upstreams", records.Upstream, ("upstream_id",)),
)
RECORD_KINDS_BY_NAME = {kind.name: kind for kind in RECORD_KINDS}


class _InvalidKeyError(ValueError):
    """A key of a section is missing, unknown or has an invalid value."""

    def __init__(self, key, reason):
        super().__init__(reason)
        self.key = key


def format_configuration(configuration):
    """Formats a configuration as INI text.

    Args:
      configuration: A Configuration.
    Returns:
      Text that ``parse_configuration`` reads back as an equal configuration.
    """
    deployment_section = (
        "[deployment]\n"
        f"name = {configuration.deployment}\n"
        f"generation = {configuration.generation}\n"
    )
    sections = [text for _, text in format_sections(configuration)]
    blocks = format_blocks(configuration.blocks)
    return "\n".join([deployment_section, *sections, f"{BLOCKS_HEADER}\n{blocks}"])


def format_sections(configuration):
    """Formats every record but the blocks.

    Args:
      configuration: A Configuration.
    Returns:
      Pairs of section name and section text.
    """
    return [
        _format_section(kind, record)
        for kind in RECORD_KINDS
        for record in getattr(configuration, kind.field)
    ]


def format_blocks(blocks):
    """Formats client blocks as one line each."""
    return "".join([f"{block.prefix} = {block.zone_id}\n" for block in blocks])


def format_head(head):
    """Formats a ConfigurationHead as the INI text that the platform store holds."""
    shards = "".join([f"{name} = {digest}\n" for name, digest in head.shards])
    return (
        f"[head]\ngeneration = {head.generation}\nwrite_id = {head.write_id}\n\n[shards]\n{shards}"
    )


def parse_head(text):
    """Parses the text that ``format_head`` returns.

    Args:
      text: INI text.
    Returns:
      A pair of ConfigurationHead, or None if there are problems, and a tuple of Problems.
    """
    parser, problems = _read_ini(text)
    if parser is None:
        return None, tuple(problems)
    problems = [
        records.Problem(section, key, "is missing")
        for section, key in (("head", "generation"), ("head", "write_id"), ("shards", "core"))
        if not parser.get(section, key, fallback="")
    ]
    if problems:
        return None, tuple(problems)
    try:
        generation = records.Generation(_parse_integer(parser["head"]["generation"]))
    except ValueError as error:
        return None, (records.Problem("head", "generation", str(error)),)
    shards = tuple(parser["shards"].items())
    return records.ConfigurationHead(generation, parser["head"]["write_id"], shards), ()


def format_section_name(kind, record):
    """Returns the name of the section that holds a record."""
    return " ".join([kind.name, *[getattr(record, field) for field in kind.id_fields]])


def parse_configuration(text):
    """Parses INI text.

    Args:
      text: Text in the format of ``format_configuration``.
    Returns:
      A pair of Configuration, or None if there are problems, and a tuple of Problems.
    """
    text, block_text = _separate_blocks(text)
    parser, problems = _read_ini(text)
    if parser is None:
        return None, tuple(problems)
    deployment, generation, problems = _parse_deployment(parser)
    values, section_problems = _parse_sections(parser)
    blocks, block_problems = parse_blocks(block_text)
    problems += section_problems + block_problems
    if problems:
        return None, tuple(problems)
    return records.Configuration(deployment, generation, blocks=blocks, **values), ()


def parse_core(text, requires_deployment=True):
    """Parses the sections of core shards, which have neither generation nor blocks.

    Args:
      text: Text of the sections.
      requires_deployment: False if section ``[deployment]`` may be in another shard.
    Returns:
      A tuple of deployment, record tuples by field of Configuration and a list of Problems.
    """
    parser, problems = _read_ini(text)
    if parser is None:
        return "", {}, problems
    problems = []
    deployment = ""
    if requires_deployment or parser.has_section("deployment"):
        deployment, _, problems = _parse_deployment(parser)
    values, section_problems = _parse_sections(parser)
    return deployment, values, problems + section_problems


def _parse_sections(parser):
    values = {kind.field: [] for kind in RECORD_KINDS}
    problems = []
    for section in parser.sections():
        if section == "deployment":
            continue
        kind_name, *ids = section.split(" ")
        kind = RECORD_KINDS_BY_NAME.get(kind_name)
        if kind is None or len(ids) != len(kind.id_fields) or not all(ids):
            problems.append(records.Problem(section, "", "unknown kind of section"))
            continue
        try:
            values[kind.field].append(_parse_record(kind, ids, parser[section]))
        except _InvalidKeyError as error:
            problems.append(records.Problem(section, error.key, str(error)))
    return {field: tuple(items) for field, items in values.items()}, problems


def parse_blocks(text):
    """Parses lines of client blocks.

    Args:
      text: Lines ``prefix = zone``; empty lines and lines that start with # are skipped.
    Returns:
      A pair of a tuple of Blocks and a list of Problems.
    """
    blocks = []
    problems = []
    for line in text.splitlines():
        prefix, separator, zone = line.partition("=")
        prefix = prefix.rstrip()
        # Zone names repeat; interning stores each one in memory once.
        zone = sys.intern(zone.strip())
        if prefix and zone and prefix[0] != "#":
            blocks.append(records.Block(prefix, zone))
        elif line.strip() and not line.startswith("#"):
            reason = "must be a line prefix = zone" if not separator else "names no zone"
            problems.append(records.Problem("blocks", line.strip()[:80], reason))
    return tuple(blocks), problems


def _separate_blocks(text):
    lines = text.splitlines(keepends=True)
    starts = [index for index, line in enumerate(lines) if line.rstrip() == BLOCKS_HEADER]
    if not starts:
        return text, ""
    start = starts[0]
    ends = (index for index in range(start + 1, len(lines)) if lines[index].startswith("["))
    end = next(ends, len(lines))
    return "".join(lines[:start] + lines[end:]), "".join(lines[start + 1 : end])


def _read_ini(text):
    parser = configparser.ConfigParser(
        delimiters=("=",),
        comment_prefixes=("#",),
        empty_lines_in_values=False,
        default_section="\0",
        interpolation=None,
    )
    parser.optionxform = str
    try:
        parser.read_string(text)
    except configparser.DuplicateSectionError as error:
        return None, [records.Problem(error.section, "", f"is twice, again in line {error.lineno}")]
    except configparser.DuplicateOptionError as error:
        reason = f"is twice, again in line {error.lineno}"
        return None, [records.Problem(error.section, error.option, reason)]
    except configparser.Error as error:
        return None, [records.Problem("text", "", str(error).replace("\n", " "))]
    return parser, []


def _parse_deployment(parser):
    problems = []
    name = parser.get("deployment", "name", fallback="")
    if not name:
        problems.append(records.Problem("deployment", "name", "is missing"))
    try:
        generation = _parse_integer(parser.get("deployment", "generation", fallback="0"))
    except ValueError as error:
        generation = 0
        problems.append(records.Problem("deployment", "generation", str(error)))
    if parser.has_section("deployment"):
        for key in sorted(set(parser.options("deployment")) - {"name", "generation"}):
            problems.append(records.Problem("deployment", key, "unknown key"))
    return name, records.Generation(generation), problems


def _format_section(kind, record):
    name = format_section_name(kind, record)
    lines = [f"[{name}]\n"]
    for field in _list_key_fields(kind):
        lines.append(f"{field.key} = {_format_value(getattr(record, field.name))}\n")
    return name, "".join(lines)


def _format_value(value):
    match value:
        case None:
            return ""
        case enum.Enum():
            return value.value
        case _:
            return str(value)


def _parse_record(kind, ids, section):
    values = dict(zip(kind.id_fields, ids, strict=True))
    fields = _list_key_fields(kind)
    unknown = set(section) - {field.key for field in fields}
    if unknown:
        raise _InvalidKeyError(min(unknown), "unknown key")
    for field in fields:
        text = section.get(field.key)
        if text is not None:
            values[field.name] = _parse_field(field, text)
        elif field.is_required:
            raise _InvalidKeyError(field.key, "is missing")
    return kind.record_type(**values)


def _parse_field(field, text):
    try:
        return field.parse(text)
    except ValueError as error:
        raise _InvalidKeyError(field.key, str(error)) from None


@dataclasses.dataclass(frozen=True, slots=True)
class _KeyField:
    """A field of a record that is written as a key of its section."""

    name: str
    key: str
    parse: typing.Callable[[str], typing.Any]
    is_required: bool


@functools.cache
def _list_key_fields(kind):
    hints = typing.get_type_hints(kind.record_type)
    return [
        _KeyField(
            field.name,
            field.name.removesuffix("_id"),
            _select_parser(hints[field.name]),
            field.default is dataclasses.MISSING,
        )
        for field in dataclasses.fields(kind.record_type)
        if field.name not in kind.id_fields
    ]


def _select_parser(hint):
    # A union with a NewType is a typing.Union, any other one is a types.UnionType.
    if typing.get_origin(hint) in (typing.Union, types.UnionType):
        return lambda text: text or None
    if isinstance(hint, typing.NewType):
        return _select_parser(hint.__supertype__)
    if issubclass(hint, enum.Enum):
        return functools.partial(_parse_enum, hint)
    return {int: _parse_integer, float: _parse_number, str: _parse_text}[hint]


def _parse_integer(text):
    if not (text.isascii() and text.lstrip("-").isdigit()):
        raise ValueError(f"must be a whole number, is {text!r}")
    return int(text)


def _parse_number(text):
    try:
        return float(text)
    except ValueError:
        raise ValueError(f"must be a number, is {text!r}") from None


def _parse_text(text):
    if not text:
        raise ValueError("must not be empty")
    return text


def _parse_enum(enum_type, text):
    try:
        return enum_type(text)
    except ValueError:
        names = ", ".join(member.value for member in enum_type)
        raise ValueError(f"must be one of {names}, is {text!r}") from None
