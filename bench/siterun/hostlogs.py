"""Reads from the hosts' logs of a run how the connections of lost requests ended."""

import collections
import json

# A host sums up what has ended within this time, see ``client.ends``, unless it is late itself.
SUMMED_UP_S = 0.25


def read_ends(paths):
    """Returns a dict of the host's words on the end of a connection, by the id of a request on it.

    Args:
      paths: Paths of the logs. Programs before issue 41 name no requests in them, and programs
        before issue 53 don't sum up what has ended together.
    """
    ends = {}
    for path in paths:
        summaries = list(_read_lines(path, "client.ends"))
        for fields in _read_lines(path, "client.closed"):
            text = _format_end(fields) + _format_summary(fields, summaries)
            ends.update(dict.fromkeys(fields.get("requests", ()), text))
    return ends


def read_sides(paths):
    """Returns a dict of the side that the host says has ended a connection, by ids of requests.

    Args:
      paths: Paths of the logs. Programs before issue 41 name neither.
    """
    sides = {}
    for path in paths:
        for fields in _read_lines(path, "client.closed"):
            sides.update(dict.fromkeys(fields.get("requests", ()), fields.get("ended_by")))
    return sides


def count_causes(paths):
    """Returns a Counter of the requests without an answer in the logs, by side and cause."""
    causes = collections.Counter()
    for path in paths:
        for fields in _read_lines(path, "client.closed"):
            side = fields.get("ended_by", "")
            causes[f"{side} {fields['cause']}".strip()] += fields.get("unanswered", 0)
    return +causes


def _read_lines(path, event):
    """Yields the fields of the lines of an event."""
    with path.open(encoding="utf-8") as file:
        for line in file:
            if f'"{event}"' not in line:
                continue
            try:
                yield json.loads(line)
            except json.JSONDecodeError:
                # The host was killed while it wrote the line.
                continue


def _format_end(fields):
    text = (
        f"{fields['cause']}, half-closed for {fields.get('half_closed_ms')} ms,"
        f" {fields['unsent_bytes']} bytes unsent"
    )
    if "ended_by" in fields:
        text += f", ended by the {fields['ended_by']}"
    if "upstreams" in fields:
        text += f", at upstreams {fields['upstreams']}, {fields['cut']} cut"
    return text


def _format_summary(fields, summaries):
    """Returns what else had ended in that moment, if the host has summed it up."""
    later = [summary for summary in summaries if summary["time"] >= fields["time"]]
    if not later:
        return ""
    summary = min(later, key=lambda item: item["time"])
    # A moment with a request that the host has cut is always summed up, others may not be.
    if not fields.get("cut") and summary["time"] - fields["time"] > SUMMED_UP_S:
        return ""
    return (
        f", with connections {summary['connections']}, unanswered {summary['unanswered']},"
        f" after {summary['recent_ms']}"
    )
