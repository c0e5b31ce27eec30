"""Detection of requests that crash the upstreams that run them, over all hosts. Performs no I/O.

The client retries such a request after each crash, at any host. An upstream that crashes breaks
all of its requests, so one crash is weak evidence against each of them: a request is blocked once
it was in progress at several upstreams as they crashed and has not been answered in between.
"""

import collections
import dataclasses
import hashlib

from skylarksill.host import records

# Number of separate crashes after which a request is blocked. The users permit three and few more.
MIN_BLOCK_CRASHES = 3
# Crashes within this time count once: a power cut takes down many upstreams together, while a
# request that crashes upstreams reaches the next one only after its client got an answer.
CRASH_SEPARATION_S = 0.4
# How long a request is blocked, and how long a crash is remembered.
BLOCK_DURATION_S = 120.0
CRASH_TTL_S = 120.0
# A crash counts against requests that broke at most this long before the upstream was found down.
MAX_BROKEN_AGE_S = 1.5
# A request that was answered this recently is not suspected: upstreams have run copies of it.
MAX_ANSWER_AGE_S = 30.0
# New crashes are sent to peers with the heartbeats of this many seconds, see peers.ROUND_S.
SHARE_WINDOW_S = 3.0
MAX_SHARED_CRASHES = 16
MAX_TRACKED_REQUESTS = 4_096


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """An upstream crashed while it ran a request.

    Attributes:
      fingerprint: Identifies copies of the request.
      upstream_id: The upstream.
      incarnation: The incarnation of the upstream that crashed.
      at: Monotonic time at which the request's connection broke.
    """

    fingerprint: bytes
    upstream_id: str
    incarnation: int
    at: float


class PoisonTable:
    """Requests that are suspected of crashing upstreams."""

    def __init__(self):
        self._broken_requests = collections.deque()
        self._crashes = collections.OrderedDict()
        self._answered_at = collections.OrderedDict()
        self._blocked_until = collections.OrderedDict()
        self._recent_crashes = collections.deque()

    def is_blocked(self, fingerprint, now):
        """Returns True if no upstream may run the request."""
        until = self._blocked_until.get(fingerprint)
        return until is not None and now < until

    def is_suspect(self, fingerprint):
        """Returns True if an upstream has crashed while it ran the request."""
        return fingerprint in self._crashes

    def record_broken(self, fingerprint, upstream, now):
        """Records that a connection broke while the upstream ran a request on it."""
        self._broken_requests.append(
            Crash(fingerprint, upstream.upstream_id, upstream.incarnation, now)
        )
        while self._broken_requests[0].at < now - MAX_BROKEN_AGE_S:
            self._broken_requests.popleft()

    def record_down(self, upstream, now):
        """Records that an upstream is down; requests whose connections to it broke are suspected.

        Returns:
          A list of the fingerprints that are blocked from now on.
        """
        incarnation_id = (upstream.upstream_id, upstream.incarnation)
        crashes = [
            crash
            for crash in self._broken_requests
            if (crash.upstream_id, crash.incarnation) == incarnation_id
            and now - crash.at <= MAX_BROKEN_AGE_S
        ]
        return [crash.fingerprint for crash in crashes if self.record_crash(crash, now)]

    def record_crash(self, crash, now):
        """Records a crash that this host or a peer has seen.

        Returns:
          True if it blocks the request from now on.
        """
        fingerprint = crash.fingerprint
        answered_at = self._answered_at.get(fingerprint)
        if answered_at is not None and now - answered_at < MAX_ANSWER_AGE_S:
            return False
        self._expire_crashes(now)
        crash_times = self._crashes.setdefault(fingerprint, {})
        if (crash.upstream_id, crash.incarnation) in crash_times:
            return False
        crash_times[crash.upstream_id, crash.incarnation] = crash.at
        self._crashes.move_to_end(fingerprint)
        self._recent_crashes.append((now, crash))
        if (
            self.is_blocked(fingerprint, now)
            or _count_separate(crash_times.values()) < MIN_BLOCK_CRASHES
        ):
            return False
        self._blocked_until[fingerprint] = now + BLOCK_DURATION_S
        _trim(self._blocked_until)
        return True

    def record_answer(self, fingerprint, now):
        """Records that an upstream has answered the request, so it did not crash."""
        self._answered_at[fingerprint] = now
        self._answered_at.move_to_end(fingerprint)
        _trim(self._answered_at)
        self._crashes.pop(fingerprint, None)

    def list_recent_crashes(self, now):
        """Returns the Crashes to send to peers, those of requests with most crashes first."""
        while self._recent_crashes and self._recent_crashes[0][0] < now - SHARE_WINDOW_S:
            self._recent_crashes.popleft()
        recent = [crash for _, crash in self._recent_crashes if crash.fingerprint in self._crashes]
        recent.sort(key=lambda crash: -len(self._crashes[crash.fingerprint]))
        return recent[:MAX_SHARED_CRASHES]

    def _expire_crashes(self, now):
        _trim(self._crashes)
        while self._crashes:
            fingerprint, crash_times = next(iter(self._crashes.items()))
            if max(crash_times.values(), default=now) > now - CRASH_TTL_S:
                return
            del self._crashes[fingerprint]


def fingerprint_request(request: records.Request):
    """Returns a digest that copies of a request share.

    It covers caller, affinity key, method, site, target and body.
    """
    digest = hashlib.blake2b(digest_size=12)
    caller = dict(request.headers).get(b"authorization", b"")
    site = request.site.encode()
    key = request.affinity_key or b""
    for part in (caller, key, request.method, site, request.target, request.body):
        digest.update(b"%d:" % len(part))
        digest.update(part)
    return digest.digest()


def _count_separate(times):
    """Counts crashes; one within CRASH_SEPARATION_S after a counted crash does not count."""
    count = 0
    last = float("-inf")
    for at in sorted(times):
        if at - last > CRASH_SEPARATION_S:
            count += 1
            last = at
    return count


def _trim(table):
    if len(table) > MAX_TRACKED_REQUESTS:
        table.popitem(last=False)
