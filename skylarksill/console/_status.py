"""Command that shows the state of the deployment in one table."""

import dataclasses
import functools
import json

import eventlet
from cleo import helpers

from skylarksill import messages, rpc
from skylarksill.console import _command, _statusrows

HEADERS = ["kind", "name", "within", "state", "slots", "in use", "headroom", "generation", "age"]
# One answer of each agent is waited for; past this, one region is enough to look at.
MAX_ASKED_HOSTS = 64


class StatusCommand(_command.ConsoleCommand):
    """Shows regions, zones, hosts and upstreams."""

    name = "status"
    description = "Shows regions, zones, hosts and upstreams with headroom, state and age."
    options = [
        *_command.SETTINGS_OPTIONS,
        _command.JSON_OPTION,
        helpers.option("region", None, "Shows this region only.", flag=False),
    ]

    def run_command(self):
        """Asks the agents and prints what they know."""
        status, present = self.ask_status()
        if self.option("region"):
            present = _select_region(present, self.option("region"))
        status = self._add_upstreams(status, present.hosts)
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

    def _add_upstreams(self, status, hosts):
        """Asks the other agents for the upstreams of their hosts, which each knows only itself."""
        alive = {peer.entry.host for peer in status.peers if peer.is_alive} - {status.host}
        asked = [host for host in hosts if host.host_id in alive]
        if len(asked) > MAX_ASKED_HOSTS:
            self.write_error(f"more than {MAX_ASKED_HOSTS} hosts: upstreams need --region")
            return status
        pool = eventlet.GreenPool(len(asked) or 1)
        settings = self.load_settings()
        answers = pool.imap(functools.partial(_ask_upstreams, settings), asked)
        entries = [entry for answer in answers for entry in answer]
        return dataclasses.replace(status, upstreams=(*status.upstreams, *entries))


def _ask_upstreams(settings, host):
    agent = _command.open_agent(settings, (host.address, host.agent_port))
    try:
        call = messages.StatusCall()
        return _command.call_agent(agent, "status", call, messages.StatusResult).upstreams
    except rpc.RpcError:
        return ()
    finally:
        agent.close()


def _select_region(present, region):
    zones = tuple(zone for zone in present.zones if zone.region_id == region)
    names = {zone.zone_id for zone in zones}
    if not zones:
        reason = f"region {region!r} is not configured"
        raise _command.CommandError(_command.EXIT_PROBLEMS, reason)
    return dataclasses.replace(
        present,
        regions=tuple(item for item in present.regions if item.region_id == region),
        zones=zones,
        hosts=tuple(host for host in present.hosts if host.zone_id in names),
        upstreams=tuple(item for item in present.upstreams if item.zone_id in names),
    )


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
