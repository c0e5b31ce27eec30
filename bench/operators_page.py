"""Writes the generated tables of docs/operators.md: commands, questions and settings."""

import pathlib
import re

from skylarksill import _answers, settings
from skylarksill.console import application

PAGE = pathlib.Path(__file__).parents[1] / "docs" / "operators.md"
BEGIN_MARKER = "<!-- begin {}: written by python -m bench.operators_page -->"
END_MARKER = "<!-- end {} -->"


def render_page(text):
    """Replaces the generated tables of the page.

    Args:
      text: Current text of the page.
    Returns:
      The page with up-to-date tables.
    Raises:
      ValueError: If the markers around a table are missing.
    """
    tables = {
        "commands": _render_commands(),
        "questions": _render_questions(),
        "settings": _render_settings(),
    }
    for name, lines in tables.items():
        begin, end = BEGIN_MARKER.format(name), END_MARKER.format(name)
        pattern = re.compile(f"{re.escape(begin)}\n.*?{re.escape(end)}", re.DOTALL)
        if not pattern.search(text):
            raise ValueError(f"docs/operators.md has no markers for the table {name}")
        table = "\n".join([begin, *lines, end])
        text = pattern.sub(lambda match, table=table: table, text)
    return text


def _render_commands():
    lines = ["| command | options | what it does |", "|---|---|---|"]
    for command_type in application.COMMANDS:
        command = command_type()
        arguments = [
            argument.name if argument.is_required() else f"[{argument.name}]"
            for argument in command.definition.arguments
        ]
        options = [f"`--{option.name}`" for option in command.definition.options]
        usage = " ".join([command.name, *arguments])
        lines.append(f"| `{usage}` | {' '.join(options)} | {command.description} |")
    return lines


def _render_questions():
    lines = ["| section | key | default | question |", "|---|---|---|---|"]
    groups = (
        ("", _answers.QUESTIONS),
        (" REGION", _answers.REGION_QUESTIONS),
        (" ZONE", _answers.ZONE_QUESTIONS),
        (" SERVICE", _answers.SERVICE_QUESTIONS),
    )
    for suffix, questions in groups:
        for item in questions:
            section = f"[{item.section}{suffix}]"
            lines.append(
                f"| `{section}` | `{item.key}` | {_format_default(item.default)} | {item.prompt} |"
            )
    return lines


def _render_settings():
    lines = ["| section | key | default | meaning |", "|---|---|---|---|"]
    for item in settings.SCHEMA:
        default = _format_default(item.default)
        lines.append(f"| `[{item.section}]` | `{item.key}` | {default} | {item.meaning} |")
    return lines


def _format_default(default):
    if default is None:
        return "required"
    return f"`{default}`" if default else "empty"


def main():
    """Rewrites the page with up-to-date tables."""
    PAGE.write_text(render_page(PAGE.read_text(encoding="utf-8")), encoding="utf-8")


if __name__ == "__main__":
    main()
