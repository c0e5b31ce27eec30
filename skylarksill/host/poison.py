"""Requests that crash the upstreams that run them, recognised over all hosts. No input or output.

Such a request comes again after each crash, at any host. An upstream that dies breaks all of its
requests, so one crash says little about each of them: a request is blocked once it was in progress
at several upstreams as they died and has not been answered in between.
"""

import collections
import dataclasses
import hashlib

from skylarksill.host import records

# Crashes, one after the other, after which a request is blocked; the users permit three and little
# more.
BLOCK_CRASHES = 3
# Upstreams that die within this time count once: a power cut takes many of them, and a request that
# crashes upstreams reaches the next one only after the answer to its client.
SEPARATE_S = 0.4
# Time for which a request is blocked, and after which a crash is forgotten.
BLOCK_S = 120.0
CRASH_S = 120.0
# A crash counts against requests that broke at most this long before the upstream was found down.
BROKEN_S = 1.5
# A request that was answered this recently is not suspected: copies of it run elsewhere.
ANSWERED_S = 30.0
# New crashes are passed on with this many seconds of heartbeats, see peers.ROUND_S.
PASS_ON_S = 3.0
MAX_PASSED_ON = 16
MAX_REQUESTS = 4_096


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """An upstream died while it ran a request.

    Attributes:
      fingerprint: Identifies copies of the request.
      upstream_id: The upstream.
      incarnation: Its incarnation that died.
      at: Monotonic time at which the request's connection broke.
    """

    fingerprint: bytes
    upstream_id: str
    incarnation: int
    at: float


class PoisonTable:
    """Requests that are suspected of crashing upstreams."""

    def __init__(self):
        self._broken = collections.deque()
        self._crashes = collections.OrderedDict()
        self._answered = collections.OrderedDict()
        self._blocked = collections.OrderedDict()
        self._news = collections.deque()

    def is_blocked(self, fingerprint, now):
        """Returns True if no upstream may run the request."""
        until = self._blocked.get(fingerprint)
        return until is not None and now < until

    def is_suspect(self, fingerprint):
        """Returns True if an upstream has died while it ran the request."""
        return fingerprint in self._crashes

    def note_broken(self, fingerprint, upstream, now):
        """Notes that the connection broke on which an upstream ran a request."""
        self._broken.append(Crash(fingerprint, upstream.upstream_id, upstream.incarnation, now))
        while self._broken[0].at < now - BROKEN_S:
            self._broken.popleft()

    def note_down(self, upstream, now):
        """Notes that an upstream was found dead: the requests that broke there are suspected.

        Returns:
          The fingerprints that are blocked from now on.
        """
        name = (upstream.upstream_id, upstream.incarnation)
        crashes = [
            crash
            for crash in self._broken
            if (crash.upstream_id, crash.incarnation) == name and now - crash.at <= BROKEN_S
        ]
        return [crash.fingerprint for crash in crashes if self.note_crash(crash, now)]

    def note_crash(self, crash, now):
        """Takes over a crash that this host or a peer has seen.

        Returns:
          True if it blocks the request from now on.
        """
        fingerprint = crash.fingerprint
        answered_at = self._answered.get(fingerprint)
        if answered_at is not None and now - answered_at < ANSWERED_S:
            return False
        self._forget_old(now)
        known = self._crashes.setdefault(fingerprint, {})
        if (crash.upstream_id, crash.incarnation) in known:
            return False
        known[crash.upstream_id, crash.incarnation] = crash.at
        self._crashes.move_to_end(fingerprint)
        self._news.append((now, crash))
        if self.is_blocked(fingerprint, now) or _count_in_turn(known.values()) < BLOCK_CRASHES:
            return False
        self._blocked[fingerprint] = now + BLOCK_S
        _bound(self._blocked)
        return True

    def note_answer(self, fingerprint, now):
        """Notes that an upstream has answered the request and lives."""
        self._answered[fingerprint] = now
        self._answered.move_to_end(fingerprint)
        _bound(self._answered)
        self._crashes.pop(fingerprint, None)

    def list_news(self, now):
        """Returns the Crashes to pass on to peers, those of the most suspected requests first."""
        while self._news and self._news[0][0] < now - PASS_ON_S:
            self._news.popleft()
        news = [crash for _, crash in self._news if crash.fingerprint in self._crashes]
        news.sort(key=lambda crash: -len(self._crashes[crash.fingerprint]))
        return news[:MAX_PASSED_ON]

    def _forget_old(self, now):
        _bound(self._crashes)
        while self._crashes:
            fingerprint, known = next(iter(self._crashes.items()))
            if max(known.values(), default=now) > now - CRASH_S:
                return
            del self._crashes[fingerprint]


def fingerprint_request(request: records.Request):
    """Returns what copies of a request share: method, site, target, caller, object and body."""
    digest = hashlib.blake2b(digest_size=12)
    caller = dict(request.headers).get(b"authorization", b"")
    site = request.site.encode()
    key = request.affinity_key or b""
    for part in (caller, key, request.method, site, request.target, request.body):
        digest.update(b"%d:" % len(part))
        digest.update(part)
    return digest.digest()


def _count_in_turn(times):
    """Returns how many crashes lie more than SEPARATE_S after the one that counts before."""
    count = 0
    last = float("-inf")
    for at in sorted(times):
        if at - last > SEPARATE_S:
            count += 1
            last = at
    return count


def _bound(table):
    if len(table) > MAX_REQUESTS:
        table.popitem(last=False)
