"""The questionnaire for operators: asking, parsing and checking answers.

Operators are not asked for the home and standby of each upstream, which ``generate_configuration``
derives from the answers.
"""

import configparser
import dataclasses
import ipaddress

from skylarksill import _answers, _generation, _prefixes, records

Answers = _answers.Answers
RegionAnswers = _answers.RegionAnswers
ZoneAnswers = _answers.ZoneAnswers
ServiceAnswers = _answers.ServiceAnswers

generate_configuration = _generation.generate_configuration


@dataclasses.dataclass(frozen=True, slots=True)
class _QuestionGroup:
    """Questions that are asked for each region, zone or service."""

    kind: str
    field: str
    questions: tuple[_answers.Question, ...]
    record_type: type


_QUESTION_GROUPS = (
    _QuestionGroup("region", "regions", _answers.REGION_QUESTIONS, RegionAnswers),
    _QuestionGroup("zone", "zones", _answers.ZONE_QUESTIONS, ZoneAnswers),
    _QuestionGroup("service", "services", _answers.SERVICE_QUESTIONS, ServiceAnswers),
)


def load_answers(path):
    """Reads answers from an INI file.

    Args:
      path: Path of the file.
    Returns:
      A pair of Answers, or None if there are problems, and a tuple of Problems.
    """
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except (OSError, UnicodeDecodeError) as error:
        return None, (records.Problem("file", str(path), str(error)),)
    return parse_answers(text)


def parse_answers(text):
    """Parses answers and checks them, each alone and in combination.

    Args:
      text: INI text.
    Returns:
      A pair of Answers, or None if there are problems, and a tuple of Problems.
    """
    parser = configparser.ConfigParser(
        delimiters=("=",), default_section="\0", interpolation=None, comment_prefixes=("#",)
    )
    parser.optionxform = str
    try:
        parser.read_string(text)
    except configparser.Error as error:
        return None, (records.Problem("text", "", str(error).replace("\n", " ")),)
    expected_keys = []
    problems = []

    def read(section, question):
        expected_keys.append((section, question.key))
        answer = parser.get(section, question.key, fallback=question.default)
        if answer is None:
            problems.append(records.Problem(section, question.key, "is missing"))
            return None
        try:
            return question.parse(answer.strip())
        except ValueError as error:
            problems.append(records.Problem(section, question.key, str(error)))
            return None

    answers = _collect_answers(read)
    if not problems:
        problems += check_answers(answers)
    problems += _find_unknown_answers(parser, expected_keys)
    return (None, tuple(problems)) if problems else (answers, ())


def ask_answers(ask, show):
    """Asks an operator all questions, each until its answer is valid.

    Args:
      ask: Function that takes a prompt and a default, or None, and returns the answer's text.
      show: Function that prints a line of text.
    Returns:
      The answers as INI text, for ``parse_answers``.
    """
    lines = []
    sections = []

    def ask_question(section, question):
        if section not in sections:
            sections.append(section)
            lines.append(f"[{section}]" if len(sections) == 1 else f"\n[{section}]")
            show(f"[{section}]")
        while True:
            text = (ask(question.prompt, question.default) or "").strip()
            try:
                value = question.parse(text)
            except ValueError as error:
                show(str(error))
                continue
            lines.append(f"{question.key} = {text}".rstrip())
            return value

    _collect_answers(ask_question)
    return "\n".join(lines) + "\n"


def check_answers(answers):
    """Finds answers that are inconsistent with each other.

    Args:
      answers: Answers, each of which is valid by itself.
    Returns:
      A tuple of Problems.
    """
    checks = (_check_store_region, _check_zones, _check_blocks, _check_services, _check_addresses)
    return tuple(problem for check in checks for problem in check(answers))


def _collect_answers(read):
    """Gets all answers in order from ``read``, which takes a section and a question."""
    values = {question.field: read(question.section, question) for question in _answers.QUESTIONS}
    regions = _collect_group(read, _QUESTION_GROUPS[0], values["region_names"])
    zone_names = dict.fromkeys(name for region in regions for name in region.zones or ())
    zones = _collect_group(read, _QUESTION_GROUPS[1], zone_names)
    services = _collect_group(read, _QUESTION_GROUPS[2], values["service_names"])
    return Answers(regions=regions, zones=zones, services=services, **values)


def _collect_group(read, group, names):
    return tuple(
        group.record_type(
            name=name,
            **{
                question.field: read(f"{group.kind} {name}", question)
                for question in group.questions
            },
        )
        for name in names or ()
    )


def _find_unknown_answers(parser, expected_keys):
    known_keys = set(expected_keys)
    return [
        records.Problem(section, key, "nothing asks for it")
        for section in parser.sections()
        for key in parser.options(section) or [""]
        if (section, key) not in known_keys
    ]


def _check_store_region(answers):
    if answers.store_region in answers.region_names:
        return []
    reason = f"{answers.store_region} is none of the regions"
    return [records.Problem("deployment", "store_region", reason)]


def _check_zones(answers):
    regions = {}
    problems = []
    for region in answers.regions:
        for zone in region.zones:
            other = regions.setdefault(zone, region.name)
            if other != region.name:
                reason = f"{zone} is a zone of {other} as well"
                problems.append(records.Problem(f"region {region.name}", "zones", reason))
    return problems


def _check_blocks(answers):
    zones = {}
    problems = []
    for zone in answers.zones:
        for prefix in zone.blocks:
            other = zones.setdefault(_prefixes.parse_prefix(prefix), zone.name)
            if other != zone.name or zone.blocks.count(prefix) > 1:
                reason = f"{prefix} is a block of {other} as well"
                problems.append(records.Problem(f"zone {zone.name}", "blocks", reason))
    return problems


def _check_services(answers):
    problems = []
    for service in answers.services:
        section = f"service {service.name}"
        if service.connections < service.slots:
            reason = f"{service.connections} connections are too few for {service.slots} slots"
            problems.append(records.Problem(section, "connections", reason))
        if service.max_deadline_ms < service.mean_ms:
            reason = f"must be at least mean_ms, {service.mean_ms}"
            problems.append(records.Problem(section, "max_deadline_ms", reason))
    return problems


def _check_addresses(answers):
    problems = []
    hosts = sum(zone.entry_hosts for zone in answers.zones)
    workers = sum(service.workers for service in answers.services)
    ranges = (
        ("entry_hosts", answers.entry_address, hosts),
        ("upstreams", answers.upstream_address, workers),
    )
    for key, address, count in ranges:
        try:
            ipaddress.ip_address(address) + (count - 1)
        except ipaddress.AddressValueError:
            reason = f"{count} addresses do not fit from {address} on"
            problems.append(records.Problem("addresses", key, reason))
    if answers.upstream_port + workers - 1 > 65535:
        reason = f"{workers} ports do not fit from {answers.upstream_port} on"
        problems.append(records.Problem("addresses", "upstream_port", reason))
    return problems
