"""Tracks requests, by fingerprint, whose runs ended with the death of an upstream connection."""

import collections
import dataclasses
import hashlib

from skylarksill import messages

SUSPECT_DURATION_S = 60.0
BLOCK_DURATION_S = 600.0
DEATHS_TO_BLOCK = 2
MAX_SUSPECTS = 10_000
MAX_ANSWERED_FINGERPRINTS = 10_000
# Time for a reported death to reach the peers; the request is not run or sent again before.
DEATH_NOTICE_S = 0.3

_HOST_SEPARATOR = "@"
_CLEARED_SUFFIX = "!"


@dataclasses.dataclass(slots=True)
class _DeathCount:
    """Number of deaths that one dispatcher has seen, and of those that an answer has cleared."""

    deaths: int = 0
    cleared: int = 0
    counted_at: float = float("-inf")
    expires_at: float = float("-inf")


class SuspectTable:
    """Suspected, blocked and answered fingerprints.

    Each dispatcher counts the deaths that it has seen itself, and a request is blocked by the sum
    over all dispatchers: two that see one death each at the same moment block it. Entries for the
    peers are named "fingerprint@host", or "fingerprint@host!" for cleared deaths. Both counters
    only grow, so that peers merge them by keeping the maximum.

    A fingerprint counts as answered from its last answer until its next death. Copies of a request
    that is neither answered nor suspected run one at a time, so that the first death is known
    before the next run.

    Args:
      host: Id of this dispatcher's host.
    """

    def __init__(self, host):
        self._host = host
        self._death_counts = collections.OrderedDict()
        self._blocked_until = collections.OrderedDict()
        self._answered = collections.OrderedDict()

    def record_death(self, fingerprint, now):
        """Counts the death of an upstream connection that ran the request.

        Returns:
          A messages.SuspectEntry to report to the peers.
        """
        self._answered.pop(fingerprint, None)
        count = self._get_or_add_count(fingerprint, self._host)
        count.deaths += 1
        count.counted_at = now
        count.expires_at = now + SUSPECT_DURATION_S
        self._block_if_due(fingerprint, now)
        return self._make_entry(fingerprint, count, now)

    def record_answer(self, fingerprint, now):
        """Marks a request as answered and clears the deaths seen here; a block stays.

        Returns:
          A messages.SuspectEntry to report if deaths were cleared, else None.
        """
        if self.is_blocked(fingerprint, now):
            return None
        self._answered[fingerprint] = True
        self._answered.move_to_end(fingerprint)
        if len(self._answered) > MAX_ANSWERED_FINGERPRINTS:
            self._answered.popitem(last=False)
        count = self._death_counts.get(fingerprint, {}).get(self._host)
        if count is None or count.deaths <= count.cleared:
            return None
        count.cleared = count.deaths
        return self._make_cleared_entry(fingerprint, count, now)

    def merge(self, entry, now):
        """Merges an entry of a peer, or of an earlier incarnation of this host."""
        is_cleared_entry = entry.fingerprint.endswith(_CLEARED_SUFFIX)
        name = entry.fingerprint.removesuffix(_CLEARED_SUFFIX)
        fingerprint, _, host = name.rpartition(_HOST_SEPARATOR)
        count = self._get_or_add_count(fingerprint or host, host if fingerprint else "")
        expires = now + min(entry.expires_in_ms / 1000, BLOCK_DURATION_S)
        if is_cleared_entry:
            count.cleared = max(count.cleared, entry.deaths)
            count.expires_at = (
                max(count.expires_at, expires) if count.deaths == 0 else count.expires_at
            )
        elif entry.deaths > count.deaths:
            count.deaths = entry.deaths
            count.counted_at = now
            count.expires_at = expires
        self._block_if_due(fingerprint or host, now)

    def is_blocked(self, fingerprint, now):
        """Returns True if no upstream may run the request."""
        until = self._blocked_until.get(fingerprint)
        if until is not None and until <= now:
            del self._blocked_until[fingerprint]
            return False
        return until is not None

    def is_suspect(self, fingerprint, now):
        """Returns True if the request may run only without other requests, or not at all."""
        if fingerprint not in self._death_counts and fingerprint not in self._blocked_until:
            return False
        return (
            self.is_blocked(fingerprint, now) or self._count_uncleared_deaths(fingerprint, now) > 0
        )

    def is_seen_only_here(self, fingerprint, now):
        """Returns True if no other dispatcher has seen a death, so that this one may run it."""
        counts = self._death_counts.get(fingerprint, {})
        return all(
            _count_uncleared(count, now) == 0
            for host, count in counts.items()
            if host != self._host
        )

    def is_notice_over(self, fingerprint, now):
        """Returns True if the peers have had time to report deaths that they saw themselves."""
        counts = self._death_counts.get(fingerprint, {})
        return all(count.counted_at + DEATH_NOTICE_S <= now for count in counts.values())

    def has_been_answered(self, fingerprint):
        """Returns True if an upstream has answered the request since the last death seen here."""
        return fingerprint in self._answered

    def list_entries(self, now):
        """Returns messages.SuspectEntry records of the deaths that this dispatcher has seen."""
        entries = []
        for fingerprint, counts in self._death_counts.items():
            count = counts.get(self._host)
            if count is not None and count.deaths and count.expires_at > now:
                entries.append(self._make_entry(fingerprint, count, now))
                if count.cleared:
                    entries.append(self._make_cleared_entry(fingerprint, count, now))
        return tuple(entries)

    def _get_or_add_count(self, fingerprint, host):
        counts = self._death_counts.setdefault(fingerprint, {})
        self._death_counts.move_to_end(fingerprint)
        if len(self._death_counts) > MAX_SUSPECTS:
            self._death_counts.popitem(last=False)
        return counts.setdefault(host, _DeathCount())

    def _count_uncleared_deaths(self, fingerprint, now):
        counts = self._death_counts.get(fingerprint)
        if counts is None:
            return 0
        if all(count.expires_at <= now for count in counts.values()):
            del self._death_counts[fingerprint]
            return 0
        return sum(_count_uncleared(count, now) for count in counts.values())

    def _block_if_due(self, fingerprint, now):
        if self.is_blocked(fingerprint, now):
            return
        if self._count_uncleared_deaths(fingerprint, now) < DEATHS_TO_BLOCK:
            return
        self._blocked_until[fingerprint] = now + BLOCK_DURATION_S
        if len(self._blocked_until) > MAX_SUSPECTS:
            self._blocked_until.popitem(last=False)
        own = self._death_counts[fingerprint].get(self._host)
        if own is not None:
            own.expires_at = now + BLOCK_DURATION_S

    def _make_entry(self, fingerprint, count, now):
        name = f"{fingerprint}{_HOST_SEPARATOR}{self._host}"
        return messages.SuspectEntry(name, count.deaths, int((count.expires_at - now) * 1000))

    def _make_cleared_entry(self, fingerprint, count, now):
        name = f"{fingerprint}{_HOST_SEPARATOR}{self._host}{_CLEARED_SUFFIX}"
        return messages.SuspectEntry(name, count.cleared, int((count.expires_at - now) * 1000))


def _count_uncleared(count, now):
    return max(0, count.deaths - count.cleared) if count.expires_at > now else 0


def fingerprint_request(request):
    """Returns the SHA-256 of client, method, path and body digest in hexadecimal."""
    body_digest = hashlib.sha256(request.body).hexdigest()
    text = "\n".join((request.client, request.method, request.path, body_digest))
    return hashlib.sha256(text.encode()).hexdigest()
