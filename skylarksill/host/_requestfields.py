"""Records of clients' requests, from their lines and headers."""

import hashlib
import re
import time

from skylarksill.host import records

# A later deadline bounds nothing, as each route has a time-out.
MAX_DEADLINE_DIGITS = 12
MAX_DEADLINE_S = 10**MAX_DEADLINE_DIGITS / 1000
# Names of objects are kept in tables; longer ones are replaced by a digest.
MAX_AFFINITY_KEY_BYTES = 64
# A target in absolute form: authority, path and query (RFC 9112, section 3.2.2).
_ABSOLUTE_TARGET = re.compile(rb"https?://([^/?#]*)([^#]*)", re.IGNORECASE)


def build_request(method, target, headers, body, names):
    """Returns the records.Request, or None if it names no site.

    The host of a target in absolute form replaces the Host header, and the path and the query are
    what is left of it.

    Args:
      method: The method.
      target: The request target.
      headers: Pairs of lower-case names and values.
      body: The complete body.
      names: The records.HeaderNames.
    """
    if all(name != b"host" for name, _ in headers):
        return None
    authority, target = _split_target(target)
    if authority is not None:
        headers = [(name, value) for name, value in headers if name != b"host"]
        headers.append((b"host", authority))
    fields = dict(headers)
    site = fields[b"host"]
    if authority == b"":
        return None
    return records.Request(
        method=method,
        target=target,
        headers=tuple(headers),
        body=body,
        request_id=fields.get(names.request_id),
        site=_parse_site(site.decode("latin-1")),
        deadline_s=parse_deadline(fields.get(names.deadline)),
        affinity_key=_shorten(find_cookie(fields.get(b"cookie"), names.affinity_cookie)),
        received_at=time.monotonic(),
    )


def _parse_site(authority):
    """Returns the site that an authority names: a host in lower case without a port.

    A dot at the end of a name only says that it is complete.
    """
    # An IPv6 address holds colons and stands in brackets.
    address, bracket, _ = authority.partition("]")
    site = address + bracket if bracket else authority.partition(":")[0]
    return site.removesuffix(".").lower()


def _split_target(target):
    """Returns the authority, or None if the target has none, and the target in origin form."""
    match = _ABSOLUTE_TARGET.match(target)
    if match is None:
        return None, target
    # Targets of http have no user, and other recipients might take one for the host.
    authority = b"" if b"@" in match[1] else match[1]
    return authority, match[2] if match[2].startswith(b"/") else b"/" + match[2]


def find_cookie(header, name):
    """Returns the value of a cookie, or None."""
    for pair in (header or b"").split(b";"):
        key, has_value, value = pair.strip().partition(b"=")
        if has_value and key.lower() == name:
            return value
    return None


def _shorten(key):
    if key is None or len(key) <= MAX_AFFINITY_KEY_BYTES:
        return key
    return hashlib.blake2b(key, digest_size=MAX_AFFINITY_KEY_BYTES).digest()


def parse_deadline(value):
    """Returns the seconds of a deadline header in milliseconds, or None if it has no number."""
    if value is None or not value.isdigit():
        return None
    digits = value.lstrip(b"0")
    return int(digits or b"0") / 1000 if len(digits) <= MAX_DEADLINE_DIGITS else MAX_DEADLINE_S
