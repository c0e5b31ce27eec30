"""Signed tokens with a client's home region, sent in the header ``Skylarksill-Route``.

A route has the form ``region.expiry.mac``. The expiry is in Unix seconds; the MAC is the first
16 bytes of an HMAC-SHA-256 in URL-safe base64.
"""

import base64
import hmac
import re

from skylarksill import records

ROUTE_LIFETIME_S = 3_600
# Expiries are rounded up to this step, so that lookups can reuse a region's signed route.
EXPIRY_STEP_S = 600
MAC_BYTES = 16
MAX_ROUTE_CHARACTERS = 256

_MAC_PURPOSE = b"skylarksill route 1\0"
_ROUTE_PATTERN = re.compile(r"([A-Za-z0-9_.-]+)\.([0-9]{1,12})\.([A-Za-z0-9_-]{22})", re.ASCII)


def choose_expiry(now_unix):
    """Returns the expiry in Unix seconds of routes that are signed at ``now_unix``."""
    return (int(now_unix) // EXPIRY_STEP_S + 1) * EXPIRY_STEP_S + ROUTE_LIFETIME_S


def mint_route(shared_key, region, expiry_unix):
    """Signs a client's home region.

    Args:
      shared_key: The deployment's shared key, as bytes.
      region: The home region.
      expiry_unix: Unix time in seconds after which the route is rejected.
    Returns:
      The header's value.
    """
    payload = f"{region}.{int(expiry_unix)}"
    return f"{payload}.{_sign(shared_key, payload)}"


def verify_route(shared_key, text, now_unix):
    """Verifies a route.

    Args:
      shared_key: The deployment's shared key, as bytes.
      text: The header's value, or None.
      now_unix: Wall-clock time in seconds.
    Returns:
      The home region, or None if the route is missing, forged, malformed or expired. Without a
      home region, the client's requests count as coming from another region.
    """
    if not text or len(text) > MAX_ROUTE_CHARACTERS:
        return None
    match = _ROUTE_PATTERN.fullmatch(text)
    if match is None:
        return None
    region, expiry, mac = match.groups()
    if not hmac.compare_digest(mac, _sign(shared_key, f"{region}.{expiry}")):
        return None
    if now_unix > int(expiry) + records.MAX_CLOCK_SKEW_S:
        return None
    return records.RegionId(region)


def _sign(shared_key, payload):
    mac = hmac.digest(shared_key, _MAC_PURPOSE + payload.encode(), "sha256")[:MAC_BYTES]
    return base64.urlsafe_b64encode(mac).rstrip(b"=").decode()
