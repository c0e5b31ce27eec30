"""Command that shows the state of the deployment in one table."""

import dataclasses
import functools
import json

import eventlet
from cleo import helpers

from skylarksill import messages, rpc
from skylarksill.console import _command, _statusrows

HEADERS = ["kind", "name", "within", "state", "slots", "in use", "headroom", "generation", "age"]
# The command waits for an answer of every queried agent; larger deployments use --region.
MAX_QUERIED_HOSTS = 64


class StatusCommand(_command.ConsoleCommand):
    """Shows regions, zones, hosts and upstreams in one table."""

    name = "status"
    description = "Shows regions, zones, hosts and upstreams with headroom, state and age."
    options = [
        *_command.SETTINGS_OPTIONS,
        _command.JSON_OPTION,
        helpers.option("region", None, "Shows this region only.", flag=False),
    ]

    def run_command(self):
        """Queries the agents and prints the table or the JSON document."""
        status, current = self.ask_status()
        if self.option("region"):
            current = _select_region(current, self.option("region"))
        status = self._add_upstreams(status, current.hosts)
        rows = _statusrows.build_rows(current, status)
        if self.option("json"):
            self.write_text(json.dumps(_make_document(status, rows), indent=2))
            return
        store = "never" if status.store_age_ms < 0 else f"{_format_age(status.store_age_ms)} ago"
        self.write_text(
            f"{current.deployment} as seen by {status.host}: generation {status.generation}, "
            f"last answer of the platform store {store}"
        )
        self.render_table(HEADERS, [_format_row(row) for row in rows], style="compact")

    def _add_upstreams(self, status, hosts):
        """Adds the upstreams of other hosts, which only the agent of each host knows."""
        live_hosts = {peer.entry.host for peer in status.peers if peer.is_alive} - {status.host}
        queried_hosts = [host for host in hosts if host.host_id in live_hosts]
        if len(queried_hosts) > MAX_QUERIED_HOSTS:
            self.write_error(f"more than {MAX_QUERIED_HOSTS} hosts: use --region to see upstreams")
            return status
        pool = eventlet.GreenPool(len(queried_hosts) or 1)
        settings = self.load_settings()
        answers = pool.imap(functools.partial(_ask_upstreams, settings), queried_hosts)
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


def _select_region(current, region):
    zones = tuple(zone for zone in current.zones if zone.region_id == region)
    zone_ids = {zone.zone_id for zone in zones}
    if not zones:
        reason = f"region {region!r} is not configured"
        raise _command.CommandError(_command.EXIT_PROBLEMS, reason)
    return dataclasses.replace(
        current,
        regions=tuple(item for item in current.regions if item.region_id == region),
        zones=zones,
        hosts=tuple(host for host in current.hosts if host.zone_id in zone_ids),
        upstreams=tuple(item for item in current.upstreams if item.zone_id in zone_ids),
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
