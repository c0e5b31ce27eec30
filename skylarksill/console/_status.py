"""Command that shows the state of the deployment in one table."""

import dataclasses
import json

from skylarksill.console import _command, _statusrows

HEADERS = ["kind", "name", "within", "state", "slots", "in use", "headroom", "generation", "age"]


class StatusCommand(_command.ConsoleCommand):
    """Shows regions, zones, hosts and upstreams."""

    name = "status"
    description = "Shows regions, zones, hosts and upstreams with headroom, state and age."
    options = [*_command.SETTINGS_OPTIONS, _command.JSON_OPTION]

    def run_command(self):
        """Asks the agent and prints what it knows."""
        status, present = self.ask_status()
        rows = _statusrows.build_rows(present, status)
        if self.option("json"):
            self.write_text(json.dumps(_make_document(status, rows), indent=2))
            return
        store = "never" if status.store_age_ms < 0 else f"{_format_age(status.store_age_ms)} ago"
        self.write_text(
            f"{present.deployment} as {status.host} sees it: generation {status.generation}, "
            f"last answer of the platform store {store}"
        )
        self.render_table(HEADERS, [_format_row(row) for row in rows], style="compact")


def _make_document(status, rows):
    return {
        "host": status.host,
        "generation": status.generation,
        "store_age_ms": status.store_age_ms if status.store_age_ms >= 0 else None,
        "rows": [dataclasses.asdict(row) for row in rows],
    }


def _format_row(row):
    return [
        row.kind,
        row.name,
        row.within,
        row.state,
        str(row.slots),
        _format_number(row.in_use),
        _format_number(row.headroom),
        _format_generations(row.generations),
        "-" if row.age_ms is None else _format_age(row.age_ms),
    ]


def _format_number(number):
    return "-" if number is None else str(number)


def _format_generations(generations):
    match generations:
        case []:
            return "-"
        case [single]:
            return str(single)
        case [first, *_, last]:
            return f"{first} to {last}"


def _format_age(age_ms):
    return f"{age_ms / 1000:.1f} s"
