"""Compares who has ended a request's connection as its client and as its host have seen it."""

import collections

from bench.siterun import records

_CLIENT = "client"
_HOST = "host"


def compare_ends(attempts, sides):
    """Counts the requests without an answer by the side that has ended their connection.

    Args:
      attempts: The records.Attempt items.
      sides: Dict of the side by request id, as the hosts say; see ``hostlogs.read_sides``.
    Returns:
      A Counter of pairs as text, first the side by the client's view, then by the host's, or "-" if
      the host has logged nothing about it; and the list of the attempts for which the two differ.
    """
    counts = collections.Counter()
    differing = []
    for attempt in attempts:
        if attempt.end is records.End.ANSWERED:
            continue
        by_rig = _CLIENT if attempt.end is records.End.CLIENT_LEFT else _HOST
        by_host = sides.get(attempt.request_id)
        counts[f"{by_rig}/{by_host or '-'}"] += 1
        if by_host not in (by_rig, None):
            differing.append(attempt)
    return counts, differing


def count_first_cuts(observations):
    """Counts the first requests of connections that the host ended while an upstream ran them.

    The rule on kept connections leaves these out.

    Args:
      observations: The records.Observations.
    Returns:
      A pair of those behind which the client had ended its sending side, and of the others.
    """
    left = {run.request_id for run in observations.runs if run.end is records.RunEnd.HOST_LEFT}
    cut = [
        attempt
        for attempt in observations.attempts
        if attempt.request_id in left
        and not attempt.is_kept
        and attempt.end not in (records.End.ANSWERED, records.End.CLIENT_LEFT)
    ]
    half_closed = sum(attempt.is_half_closed for attempt in cut)
    return half_closed, len(cut) - half_closed
