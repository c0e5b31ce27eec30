"""Records of clients' requests, from their lines and headers."""

import time

from skylarksill.host import records

# A later deadline bounds nothing, as each route has a time-out.
MAX_DEADLINE_DIGITS = 12
MAX_DEADLINE_S = 10**MAX_DEADLINE_DIGITS / 1000


def build_request(method, target, headers, body, names):
    """Returns the records.Request, or None if it names no site.

    Args:
      method: The method.
      target: The request target.
      headers: Pairs of lower-case names and values.
      body: The complete body.
      names: The records.HeaderNames.
    """
    fields = dict(headers)
    site = fields.get(b"host")
    if site is None:
        return None
    return records.Request(
        method=method,
        target=target,
        headers=tuple(headers),
        body=body,
        request_id=fields.get(names.request_id),
        site=site.decode("latin-1").rpartition("]")[2].partition(":")[0].lower(),
        deadline_s=parse_deadline(fields.get(names.deadline)),
        affinity_key=find_cookie(fields.get(b"cookie"), names.affinity_cookie),
        received_at=time.monotonic(),
    )


def find_cookie(header, name):
    """Returns the value of a cookie, or None."""
    for pair in (header or b"").split(b";"):
        key, has_value, value = pair.strip().partition(b"=")
        if has_value and key.lower() == name:
            return value
    return None


def parse_deadline(value):
    """Returns the seconds of a deadline header in milliseconds, or None if it has no number."""
    if value is None or not value.isdigit():
        return None
    digits = value.lstrip(b"0")
    return int(digits or b"0") / 1000 if len(digits) <= MAX_DEADLINE_DIGITS else MAX_DEADLINE_S
