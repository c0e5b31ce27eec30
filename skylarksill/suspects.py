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
# Time in which a death reaches the peers, before the request may run or be sent again.
NOTICE_S = 0.3

_HOST_MARK = "@"
_CLEARED_MARK = "!"


@dataclasses.dataclass(slots=True)
class _Count:
    """Deaths that one dispatcher has seen, and how many of them an answer has cleared."""

    deaths: int = 0
    cleared: int = 0
    noted_at: float = float("-inf")
    expires: float = float("-inf")


class SuspectTable:
    """Suspected, blocked and proven fingerprints.

    Each dispatcher counts the deaths that it has seen itself, and the counts of all dispatchers
    add up: two that each see one death at the same moment make a block. Entries for the peers are
    named "fingerprint@host", or "fingerprint@host!" for cleared deaths; both numbers only grow, so
    that peers may keep the greatest one.

    A fingerprint is proven once an upstream has answered it. Copies of a request that is neither
    proven nor suspected run one at a time, so that the first death is known before the next run.

    Args:
      host: Id of this dispatcher's host.
    """

    def __init__(self, host):
        self._host = host
        self._counts = collections.OrderedDict()
        self._blocks = collections.OrderedDict()
        self._proven = collections.OrderedDict()

    def note_death(self, fingerprint, now):
        """Counts the death of an upstream connection that ran the request.

        Returns:
          A messages.SuspectEntry to report to the peers.
        """
        self._proven.pop(fingerprint, None)
        count = self._find_count(fingerprint, self._host)
        count.deaths += 1
        count.noted_at = now
        count.expires = now + SUSPECT_S
        self._note_block(fingerprint, now)
        return self._make_entry(fingerprint, count, now)

    def note_answer(self, fingerprint, now):
        """Clears the own count of a suspect that an upstream has answered; a block stays.

        Returns:
          A messages.SuspectEntry to report if deaths were cleared, else None.
        """
        if self.is_blocked(fingerprint, now):
            return None
        self._proven[fingerprint] = True
        self._proven.move_to_end(fingerprint)
        if len(self._proven) > MAX_PROVEN:
            self._proven.popitem(last=False)
        count = self._counts.get(fingerprint, {}).get(self._host)
        if count is None or count.deaths <= count.cleared:
            return None
        count.cleared = count.deaths
        return self._make_clearance(fingerprint, count, now)

    def merge(self, entry, now):
        """Takes over an entry of a peer, or of this host's former incarnation."""
        is_clearance = entry.fingerprint.endswith(_CLEARED_MARK)
        name = entry.fingerprint.removesuffix(_CLEARED_MARK)
        fingerprint, _, host = name.rpartition(_HOST_MARK)
        count = self._find_count(fingerprint or host, host if fingerprint else "")
        expires = now + min(entry.expires_in_ms / 1000, BLOCK_S)
        if is_clearance:
            count.cleared = max(count.cleared, entry.deaths)
            count.expires = max(count.expires, expires) if count.deaths == 0 else count.expires
        elif entry.deaths > count.deaths:
            count.deaths = entry.deaths
            count.noted_at = now
            count.expires = expires
        self._note_block(fingerprint or host, now)

    def is_blocked(self, fingerprint, now):
        """Returns True if no upstream may run the request."""
        until = self._blocks.get(fingerprint)
        if until is not None and until <= now:
            del self._blocks[fingerprint]
            return False
        return until is not None

    def is_suspect(self, fingerprint, now):
        """Returns True if the request may run only alone, or not at all."""
        if fingerprint not in self._counts and fingerprint not in self._blocks:
            return False
        return self.is_blocked(fingerprint, now) or self._count_deaths(fingerprint, now) > 0

    def is_own(self, fingerprint, now):
        """Returns True if only this dispatcher has seen a death, so that it may run the suspect."""
        counts = self._counts.get(fingerprint, {})
        return all(
            _count_open(count, now) == 0 for host, count in counts.items() if host != self._host
        )

    def is_settled(self, fingerprint, now):
        """Returns True if the peers have had time to report deaths of their own."""
        counts = self._counts.get(fingerprint, {})
        return all(count.noted_at + NOTICE_S <= now for count in counts.values())

    def is_proven(self, fingerprint):
        """Returns True if an upstream has answered the request."""
        return fingerprint in self._proven

    def list_entries(self, now):
        """Returns messages.SuspectEntry records of what this dispatcher has seen itself."""
        entries = []
        for fingerprint, counts in self._counts.items():
            count = counts.get(self._host)
            if count is not None and count.deaths and count.expires > now:
                entries.append(self._make_entry(fingerprint, count, now))
                if count.cleared:
                    entries.append(self._make_clearance(fingerprint, count, now))
        return tuple(entries)

    def _find_count(self, fingerprint, host):
        counts = self._counts.setdefault(fingerprint, {})
        self._counts.move_to_end(fingerprint)
        if len(self._counts) > MAX_SUSPECTS:
            self._counts.popitem(last=False)
        return counts.setdefault(host, _Count())

    def _count_deaths(self, fingerprint, now):
        counts = self._counts.get(fingerprint)
        if counts is None:
            return 0
        if all(count.expires <= now for count in counts.values()):
            del self._counts[fingerprint]
            return 0
        return sum(_count_open(count, now) for count in counts.values())

    def _note_block(self, fingerprint, now):
        if self.is_blocked(fingerprint, now):
            return
        if self._count_deaths(fingerprint, now) < BLOCK_DEATHS:
            return
        self._blocks[fingerprint] = now + BLOCK_S
        if len(self._blocks) > MAX_SUSPECTS:
            self._blocks.popitem(last=False)
        own = self._counts[fingerprint].get(self._host)
        if own is not None:
            own.expires = now + BLOCK_S

    def _make_entry(self, fingerprint, count, now):
        name = f"{fingerprint}{_HOST_MARK}{self._host}"
        return messages.SuspectEntry(name, count.deaths, int((count.expires - now) * 1000))

    def _make_clearance(self, fingerprint, count, now):
        name = f"{fingerprint}{_HOST_MARK}{self._host}{_CLEARED_MARK}"
        return messages.SuspectEntry(name, count.cleared, int((count.expires - now) * 1000))


def _count_open(count, now):
    return max(0, count.deaths - count.cleared) if count.expires > now else 0


def fingerprint_request(request):
    """Returns the SHA-256 over client, method, path and body digest in hexadecimal."""
    body_digest = hashlib.sha256(request.body).hexdigest()
    text = "\n".join((request.client, request.method, request.path, body_digest))
    return hashlib.sha256(text.encode()).hexdigest()
