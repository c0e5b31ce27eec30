"""Keys with which clients prove their account.

Only digests of keys are kept, compared and passed between hosts, so that no log line, dump or
message of the system holds a key.
"""

import enum
import hashlib
import re

from skylarksill.host import records

DIGEST_BYTES = 16
AUTHORIZATION = b"authorization"
# One or more spaces follow the scheme (RFC 9110, section 11.4). A key may consist of any bytes but
# white space and control characters, since the operators' keys are not bound to token68.
_CREDENTIALS = re.compile(rb"([^ \t]+)(?: +([^\x00-\x20\x7f]+))?")
_SCHEME = b"bearer"


class KeyFault(enum.Enum):
    """Why the header fields of a request hold no key; the values are for logs and counters."""

    MISSING = "missing_key"
    REPEATED = "repeated_key"
    OTHER_SCHEME = "other_scheme"
    MALFORMED = "malformed_key"


def compute_key_digest(key):
    """Returns the records.KeyDigest of a key given as bytes."""
    return records.KeyDigest(hashlib.blake2b(key, digest_size=DIGEST_BYTES).digest())


def parse_key(headers):
    """Finds the key in the header fields of a request.

    Several fields are refused even if they are equal: recipients differ on which one counts.

    Args:
      headers: Pairs of lower-case names and values.
    Returns:
      The records.KeyDigest of the key, or a KeyFault.
    """
    values = [value for name, value in headers if name == AUTHORIZATION]
    if not values:
        return KeyFault.MISSING
    if len(values) > 1:
        return KeyFault.REPEATED
    match = _CREDENTIALS.fullmatch(values[0].strip(b" \t"))
    if match is None:
        return KeyFault.MALFORMED
    scheme, key = match.groups()
    if scheme.lower() != _SCHEME:
        return KeyFault.OTHER_SCHEME
    return KeyFault.MALFORMED if key is None else compute_key_digest(key)
