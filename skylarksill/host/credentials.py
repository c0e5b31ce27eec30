"""Keys with which clients prove their account.

Only digests of keys are kept, compared and passed between hosts, so that no log line, dump or
message of the system holds a key.
"""

import hashlib

from skylarksill.host import records

DIGEST_BYTES = 16


def compute_key_digest(key):
    """Returns the records.KeyDigest of a key given as bytes."""
    return records.KeyDigest(hashlib.blake2b(key, digest_size=DIGEST_BYTES).digest())
