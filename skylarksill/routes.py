"""Signed home regions of clients, sent in the header ``Skylarksill-Route``.

A route is text ``region.expiry.mac``; expiry is in Unix seconds, the MAC is the first 16 bytes of
an HMAC-SHA-256 in URL-safe base64.
"""

import base64
import hmac
import re

from skylarksill import records

ROUTE_LIFETIME_S = 3_600
# Routes of one region are equal for this long, so that a look-up seldom has to sign one.
ROUTE_STEP_S = 600
MAC_BYTES = 16
MAX_ROUTE_CHARACTERS = 256

_MAC_PURPOSE = b"skylarksill route 1\0"
_PATTERN = re.compile(r"([A-Za-z0-9_.-]+)\.([0-9]{1,12})\.([A-Za-z0-9_-]{22})", re.ASCII)


def choose_expiry(now_unix):
    """Returns the expiry in Unix seconds of routes that are minted at ``now_unix``."""
    return (int(now_unix) // ROUTE_STEP_S + 1) * ROUTE_STEP_S + ROUTE_LIFETIME_S


def mint_route(shared_key, region, expiry_unix):
    """Signs a client's home region.

    Args:
      shared_key: The deployment's shared key, as bytes.
      region: The home region.
      expiry_unix: Wall-clock seconds after which the route is refused.
    Returns:
      Text for the header.
    """
    named = f"{region}.{int(expiry_unix)}"
    return f"{named}.{_sign(shared_key, named)}"


def verify_route(shared_key, text, now_unix):
    """Reads a route.

    Args:
      shared_key: The deployment's shared key, as bytes.
      text: The header's value, or None.
      now_unix: Wall-clock time in seconds.
    Returns:
      The home region, or None if the route is missing, forged, malformed or expired; the client's
      work counts as foreign then.
    """
    if not text or len(text) > MAX_ROUTE_CHARACTERS:
        return None
    match = _PATTERN.fullmatch(text)
    if match is None:
        return None
    region, expiry, mac = match.groups()
    if not hmac.compare_digest(mac, _sign(shared_key, f"{region}.{expiry}")):
        return None
    if now_unix > int(expiry) + records.CLOCK_SKEW_S:
        return None
    return records.RegionId(region)


def _sign(shared_key, named):
    mac = hmac.digest(shared_key, _MAC_PURPOSE + named.encode(), "sha256")[:MAC_BYTES]
    return base64.urlsafe_b64encode(mac).rstrip(b"=").decode()
