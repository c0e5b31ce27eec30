"""Fingerprints of requests whose runs ended with the death of an upstream connection."""

import collections
import dataclasses
import hashlib

from skylarksill import messages

SUSPECT_S = 60.0
BLOCK_S = 600.0
BLOCK_DEATHS = 2
MAX_SUSPECTS = 10_000
MAX_PROVEN = 10_000


@dataclasses.dataclass(slots=True)
class _Suspect:
    deaths: int
    expires: float
    is_own: bool


class SuspectTable:
    """Suspected, blocked and proven fingerprints.

    A fingerprint is proven once an upstream has answered it. Copies of a request that is neither
    proven nor suspected run one at a time, so that the first death is known before the next run.
    """

    def __init__(self):
        self._suspects = collections.OrderedDict()
        self._proven = collections.OrderedDict()

    def note_death(self, fingerprint, now):
        """Counts the death of an upstream connection that ran the request.

        Returns:
          A messages.SuspectEntry to report to the peers.
        """
        self._proven.pop(fingerprint, None)
        suspect = self._find(fingerprint, now)
        deaths = suspect.deaths + 1 if suspect else 1
        lifetime_s = BLOCK_S if deaths >= BLOCK_DEATHS else SUSPECT_S
        self._store(fingerprint, _Suspect(deaths, now + lifetime_s, True))
        return messages.SuspectEntry(fingerprint, deaths, int(lifetime_s * 1000))

    def note_answer(self, fingerprint, now):
        """Clears a suspect that an upstream has answered; a block stays.

        Returns:
          A messages.SuspectEntry with 0 deaths to report if a suspect was cleared, else None.
        """
        if self.is_blocked(fingerprint, now):
            return None
        self._proven[fingerprint] = True
        self._proven.move_to_end(fingerprint)
        if len(self._proven) > MAX_PROVEN:
            self._proven.popitem(last=False)
        if self._suspects.pop(fingerprint, None) is None:
            return None
        return messages.SuspectEntry(fingerprint, 0, int(SUSPECT_S * 1000))

    def merge(self, entry, now):
        """Takes over an entry of a peer; the greater number of deaths wins.

        A clearance removes a suspect that came from a peer, but no block and no own observation.
        """
        known = self._find(entry.fingerprint, now)
        if entry.deaths == 0:
            if known and not known.is_own and known.deaths < BLOCK_DEATHS:
                del self._suspects[entry.fingerprint]
            return
        if known and known.deaths >= entry.deaths:
            return
        expires = now + min(entry.expires_in_ms / 1000, BLOCK_S)
        is_own = known.is_own if known else False
        self._store(entry.fingerprint, _Suspect(entry.deaths, expires, is_own))

    def is_blocked(self, fingerprint, now):
        """Returns True if no upstream may run the request."""
        suspect = self._find(fingerprint, now)
        return suspect is not None and suspect.deaths >= BLOCK_DEATHS

    def is_suspect(self, fingerprint, now):
        """Returns True if the request may run only alone, or not at all."""
        return self._find(fingerprint, now) is not None

    def is_own(self, fingerprint, now):
        """Returns True if this dispatcher saw the death itself, so that it may run the suspect."""
        suspect = self._find(fingerprint, now)
        return suspect is not None and suspect.is_own

    def is_proven(self, fingerprint):
        """Returns True if an upstream has answered the request."""
        return fingerprint in self._proven

    def list_entries(self, now):
        """Returns messages.SuspectEntry records of all suspects and blocks."""
        return tuple(
            messages.SuspectEntry(fingerprint, suspect.deaths, int((suspect.expires - now) * 1000))
            for fingerprint, suspect in self._suspects.items()
            if suspect.expires > now
        )

    def _find(self, fingerprint, now):
        suspect = self._suspects.get(fingerprint)
        if suspect is not None and suspect.expires <= now:
            del self._suspects[fingerprint]
            return None
        return suspect

    def _store(self, fingerprint, suspect):
        self._suspects[fingerprint] = suspect
        self._suspects.move_to_end(fingerprint)
        if len(self._suspects) > MAX_SUSPECTS:
            self._suspects.popitem(last=False)


def fingerprint_request(request):
    """Returns the SHA-256 over client, method, path and body digest in hexadecimal."""
    body_digest = hashlib.sha256(request.body).hexdigest()
    text = "\n".join((request.client, request.method, request.path, body_digest))
    return hashlib.sha256(text.encode()).hexdigest()
