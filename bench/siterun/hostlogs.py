"""Reads from the hosts' logs of a run how the connections of lost requests ended."""

import json


def read_ends(paths):
    """Returns a dict of the host's words on the end of a connection, by the id of a request on it.

    Args:
      paths: Paths of the logs. Programs before issue 41 name no requests in them.
    """
    ends = {}
    for path in paths:
        for line in path.read_text(encoding="utf-8").splitlines():
            if '"client.closed"' not in line:
                continue
            try:
                fields = json.loads(line)
            except json.JSONDecodeError:
                # The host was killed while it wrote the line.
                continue
            text = (
                f"{fields['cause']}, half-closed for {fields.get('half_closed_ms')} ms,"
                f" {fields['unsent_bytes']} bytes unsent"
            )
            ends.update(dict.fromkeys(fields.get("requests", ()), text))
    return ends
