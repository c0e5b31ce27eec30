"""Detection of requests that crash the upstreams that run them, over all hosts. Performs no I/O.

The client retries such a request after each crash, at any host. An upstream that crashes breaks
all of its requests, so one crash is weak evidence against each of them: a request is blocked once
it was in progress at several upstreams as they crashed and has not been answered in between.

Requests reach a process before the store names it, so names don't tell crashes of an upstream
apart. A host knows that another process has crashed if that had accepted its connection after the
crash before.
"""

import collections
import dataclasses
import hashlib

from skylarksill.host import blocks, records

# Number of separate crashes after which a request is blocked. The users permit three and few more.
MIN_BLOCK_CRASHES = 3
# Crashes within this time count once: a power cut takes down many upstreams together, while a
# request that crashes upstreams reaches the next one only after its client got an answer.
CRASH_SEPARATION_S = 0.4
# Crashes of one upstream that hosts report under different names are the same within this time: it
# has to start and to get the request again in between.
UPSTREAM_CRASH_SEPARATION_S = 1.0
# How long a crash is remembered.
CRASH_TTL_S = 120.0
# A crash counts against requests that broke at most this long before the upstream was found down.
MAX_BROKEN_AGE_S = 1.5
# New crashes are sent to peers with the heartbeats of this many seconds, see peers.ROUND_S.
SHARE_WINDOW_S = 3.0
MAX_SHARED_CRASHES = 16
# Crashes that a host which has just started is told of, of requests that are not blocked yet.
MAX_TOLD_CRASHES = 32
MAX_TRACKED_REQUESTS = 4_096


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """An upstream crashed while it ran a request.

    Attributes:
      fingerprint: Identifies copies of the request.
      upstream_id: The upstream.
      incarnation: The incarnation that the store named to the host, or a higher number if another
        crash bears that.
      at: Monotonic time at which the request's connection broke.
      ran_at: Monotonic time at which the process that crashed had accepted the connection; None if
        a peer reports the crash.
    """

    fingerprint: bytes
    upstream_id: str
    incarnation: int
    at: float
    ran_at: float | None = None


@dataclasses.dataclass(slots=True)
class _KnownCrash:
    """A crash of a process, which may have been reported several times.

    Attributes:
      at: Monotonic time of the first report.
      ran_at: Latest monotonic time at which the process is known to have run, or None.
      incarnations: Numbers under which it was reported.
    """

    upstream_id: str
    at: float
    ran_at: float | None
    incarnations: set[int]

    def is_same(self, crash):
        """Returns True if a Crash is of the same process."""
        if crash.upstream_id != self.upstream_id:
            return False
        if _is_later(crash.ran_at, self.at) or _is_later(self.ran_at, crash.at):
            return False
        if crash.incarnation in self.incarnations:
            return True
        if _is_between(crash.ran_at, self.at, crash.at):
            return True
        if _is_between(self.ran_at, crash.at, self.at):
            return True
        return abs(crash.at - self.at) <= UPSTREAM_CRASH_SEPARATION_S

    def merge(self, crash):
        """Adds a Crash of the same process."""
        self.at = min(self.at, crash.at)
        known = [at for at in (self.ran_at, crash.ran_at) if at is not None]
        self.ran_at = max(known, default=None)
        self.incarnations.add(crash.incarnation)


class PoisonTable:
    """Requests that are suspected of crashing upstreams, and those that are blocked.

    Args:
      host_id: Name of this host, see blocks.BlockTable.

    Attributes:
      blocks: The blocks.BlockTable.
    """

    def __init__(self, host_id=""):
        self.blocks = blocks.BlockTable(host_id)
        self._broken_requests = collections.deque()
        self._crashes = collections.OrderedDict()
        self._answered_at = collections.OrderedDict()
        self._recent_crashes = collections.deque()

    def is_blocked(self, fingerprint, now):
        """Returns True if no upstream may run the request."""
        return self.blocks.is_blocked(fingerprint, now)

    def is_suspect(self, fingerprint):
        """Returns True if an upstream has crashed while it ran the request."""
        block = self.blocks.find(fingerprint)
        return fingerprint in self._crashes or (block is not None and not block.is_refuted)

    def record_broken(self, fingerprint, upstream, opened_at, now):
        """Records that a connection broke while the upstream ran a request on it.

        Args:
          fingerprint: Identifies copies of the request.
          upstream: The records.Upstream.
          opened_at: Monotonic time at which the upstream had accepted the connection.
          now: Monotonic seconds.
        """
        crash = Crash(fingerprint, upstream.upstream_id, upstream.incarnation, now, opened_at)
        self._broken_requests.append((upstream.address, crash))
        while self._broken_requests[0][1].at < now - MAX_BROKEN_AGE_S:
            self._broken_requests.popleft()

    def record_down(self, upstream, now):
        """Records that an upstream is down; requests whose connections to it broke are suspected.

        The store may have named it anew since the connections broke.

        Returns:
          A list of the fingerprints that are blocked from now on.
        """
        crashes = {}
        kept = collections.deque()
        for address, crash in self._broken_requests:
            if (crash.upstream_id, address) != (upstream.upstream_id, upstream.address):
                kept.append((address, crash))
            elif now - crash.at <= MAX_BROKEN_AGE_S:
                # Of several breaks, the last one is the crash.
                crashes[crash.fingerprint] = crash
        self._broken_requests = kept
        return [
            fingerprint for fingerprint, crash in crashes.items() if self.record_crash(crash, now)
        ]

    def record_crash(self, crash, now):
        """Records a crash that this host or a peer has seen.

        Returns:
          True if it blocks the request from now on.
        """
        fingerprint = crash.fingerprint
        if self._is_answered(fingerprint, crash.at):
            return False
        self._expire_crashes(now)
        known_crashes = self._crashes.setdefault(fingerprint, [])
        for known in known_crashes:
            if known.is_same(crash):
                known.merge(crash)
                return False
        self._share(crash, known_crashes, now)
        self._crashes.move_to_end(fingerprint)
        if not self._is_to_be_blocked(crash, known_crashes):
            return False
        self.blocks.begin(fingerprint, crash.at)
        return True

    def _is_to_be_blocked(self, crash, known_crashes):
        block = self.blocks.find(crash.fingerprint)
        if block is not None and not block.is_refuted:
            return self.blocks.is_on_trial(crash.fingerprint, crash.at)
        return _count_separate(known.at for known in known_crashes) >= MIN_BLOCK_CRASHES

    def _is_answered(self, fingerprint, at):
        """Returns True if the request is known to have been answered shortly before a crash."""
        block = self.blocks.find(fingerprint)
        answered_at = self._answered_at.get(fingerprint, float("-inf"))
        if block is not None:
            answered_at = max(answered_at, block.answered_at)
        return at < answered_at + blocks.MAX_ANSWER_AGE_S

    def record_answer(self, fingerprint, now):
        """Records that an upstream has answered the request, so it did not crash.

        Returns:
          True if the request was blocked or on trial, and no longer is.
        """
        self._answered_at[fingerprint] = now
        self._answered_at.move_to_end(fingerprint)
        _trim(self._answered_at)
        self._crashes.pop(fingerprint, None)
        return self.blocks.refute(fingerprint, now)

    def merge_blocks(self, received, now):
        """Adds the Blocks that a peer knows.

        An answer that this host has seen refutes a block that a peer began later; peers learn that
        as this host tells them its blocks.

        Returns:
          A list of the Blocks that are news to this host.
        """
        news = []
        for block in received:
            merged = self.blocks.merge(block, now)
            if merged is None:
                continue
            answered_at = self._answered_at.get(block.fingerprint)
            if answered_at is not None:
                self.blocks.refute(block.fingerprint, answered_at)
                merged = self.blocks.find(block.fingerprint)
            if merged.is_refuted:
                self._crashes.pop(block.fingerprint, None)
            news.append(merged)
        return news

    def list_recent_crashes(self, now):
        """Returns the Crashes to send to peers, those of requests with most crashes first."""
        while self._recent_crashes and self._recent_crashes[0][0] < now - SHARE_WINDOW_S:
            self._recent_crashes.popleft()
        recent = [crash for _, crash in self._recent_crashes if crash.fingerprint in self._crashes]
        recent.sort(key=lambda crash: -len(self._crashes[crash.fingerprint]))
        return recent[:MAX_SHARED_CRASHES]

    def list_told_crashes(self, now):
        """Returns the Crashes to tell a host that has just started, those that matter most first.

        Crashes of blocked requests are left out, as the host is told the blocks.
        """
        suspected = [
            (_count_separate(known.at for known in known_crashes), fingerprint)
            for fingerprint, known_crashes in reversed(self._crashes.items())
            if self.blocks.find(fingerprint) is None
        ]
        # Of requests with as many crashes, those that crashed an upstream last come first.
        suspected.sort(key=lambda item: -item[0])
        told = []
        for count, fingerprint in suspected:
            if len(told) >= MAX_TOLD_CRASHES:
                break
            if count < MIN_BLOCK_CRASHES:
                told += [
                    # The highest number tells the crash from earlier ones of the upstream.
                    Crash(fingerprint, known.upstream_id, max(known.incarnations), known.at)
                    for known in self._crashes[fingerprint]
                    if known.at > now - CRASH_TTL_S
                ]
        return told[:MAX_TOLD_CRASHES]

    def _share(self, crash, known_crashes, now):
        """Adds a crash to the known ones, and to those that are sent to peers.

        If an earlier crash of the upstream has its number, the later one of the two gets a new
        number: peers that know the earlier one would take it for the same.
        """
        added = _KnownCrash(crash.upstream_id, crash.at, crash.ran_at, {crash.incarnation})
        same_upstream = [known for known in known_crashes if known.upstream_id == crash.upstream_id]
        same_number = [known for known in same_upstream if crash.incarnation in known.incarnations]
        known_crashes.append(added)
        later = max([added, *same_number], key=lambda known: known.at)
        if later is not added or not same_number:
            self._recent_crashes.append((now, crash))
        if not same_number:
            return
        number = 1 + max(max(known.incarnations) for known in same_upstream)
        renamed = dataclasses.replace(crash, incarnation=number, at=later.at, ran_at=later.ran_at)
        self._recent_crashes.append((now, renamed))
        if later is added:
            later.incarnations = {number}
        else:
            later.incarnations.add(number)

    def _expire_crashes(self, now):
        if len(self._crashes) > MAX_TRACKED_REQUESTS:
            # One upstream that crashes makes all of its requests suspected.
            once = (item for item, known in self._crashes.items() if len(known) <= 1)
            del self._crashes[next(once, next(iter(self._crashes)))]
        while self._crashes:
            fingerprint, known_crashes = next(iter(self._crashes.items()))
            if max((known.at for known in known_crashes), default=now) > now - CRASH_TTL_S:
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


def _is_later(ran_at, crashed_at):
    """Returns True if a process ran after another one had crashed."""
    return ran_at is not None and ran_at > crashed_at


def _is_between(ran_at, first_at, second_at):
    """Returns True if the first report is of the process that ended by the second one."""
    return ran_at is not None and ran_at <= first_at <= second_at


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
