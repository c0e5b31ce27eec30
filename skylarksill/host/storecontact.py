"""Decides when a host asks the store for its revision and whether it has lost the store. No I/O.

Answers a store that takes calls and never answers them: during a silence of any length and phase,
or on single connections that went silent. A watch waits for events, so nothing shows that its
answer will never come. A host that watches therefore also asks for the store's revision, which is
answered at once, and compares it with the revisions that its watches have reached.
"""

import enum
import random

# Part of the shortest bound on changes within which the next ask is sent. The rest is left for an
# ask that gets no answer, the reads that follow, and the way to the followers.
ASK_SHARE = 0.4
# An ask that has no answer after this long is repeated on a new connection. Round trips between
# regions take 0.1 s, and answers of a slow store 0.2 to 0.4 s.
REPEAT_AFTER_S = 0.3
# A host whose asks have had no answer for this long has lost the store.
LOST_AFTER_S = 0.6
# As many refusals in a row show the loss at once.
LOST_AFTER_REFUSALS = 2
# Pause between asks of a lost store, and of one that peers replace meanwhile; refused calls cost
# as much as others. The pauses vary by half, as all hosts lose a store at the same time.
LOST_PAUSE_S = 0.8
LOST_PAUSE_WITH_SOURCE_S = 2.0
# Asks without an answer that are remembered.
MAX_UNANSWERED = 16


class AnswerMeaning(enum.Enum):
    """What the answer to an ask shows."""

    NOTHING_NEW = "nothing_new"
    # An earlier ask has got no answer, so calls that still wait may never get one.
    EARLIER_LOST = "earlier_lost"


class StoreContact:
    """Contact of one host to the store.

    Args:
      bounds: The records.Bounds.
      now: Monotonic seconds.
      rng: Source of randomness.

    Attributes:
      is_lost: True if the store has not answered recent asks.
      answered_at: Monotonic time at which the last ask that was answered had been sent.
    """

    def __init__(self, bounds, now, rng=random):
        self.is_lost = False
        self.answered_at = float("-inf")
        self._rng = rng
        self.set_bounds(bounds)
        self._unanswered = []
        self._refusals = 0
        self._asked_at = float("-inf")
        self._next_at = now + self._interval_s
        self._incomplete_since = None
        self._has_source = False

    @property
    def is_doubtful(self):
        """True while an ask has no answer yet."""
        return bool(self._unanswered)

    def set_bounds(self, bounds):
        """Derives the pause between asks from the records.Bounds."""
        self._interval_s = ASK_SHARE * min(bounds.contact_s, bounds.drain_s, bounds.apply_s)

    def is_ask_due(self, now, has_source):
        """Returns True if the host is to ask now.

        Args:
          now: Monotonic seconds.
          has_source: True while peers keep the belief current.
        """
        if has_source and not self.is_lost:
            # Asks of the time before say nothing about the store once the sources are lost.
            self._unanswered.clear()
            self._refusals = 0
            self._incomplete_since = None
            self._next_at = now
            return False
        if has_source != self._has_source:
            self._has_source = has_source
            self._next_at = min(self._next_at, self._asked_at + self._choose_pause_s())
        return now >= self._next_at

    def hasten(self, now):
        """Brings the next ask forward, as another call to the store has failed."""
        if not self.is_doubtful and not self.is_lost:
            self._next_at = min(self._next_at, now)

    def record_ask(self, now):
        """Records that an ask is sent."""
        if len(self._unanswered) == MAX_UNANSWERED:
            del self._unanswered[1]
        self._unanswered.append(now)
        self._asked_at = now
        self._next_at = now + self._choose_pause_s()

    def record_refusal(self):
        """Records that an ask was refused or its connection closed; it stays without an answer."""
        self._refusals += 1

    def record_incomplete(self, asked_at, now):
        """Records an answer whose revision the belief has not reached, as all is read anew.

        The reads may be paused until the store has answered.

        Returns:
          True if it is the first such answer since the belief was current.
        """
        self.answered_at = max(self.answered_at, asked_at)
        self._unanswered = [at for at in self._unanswered if at != asked_at]
        self._next_at = min(self._next_at, now + REPEAT_AFTER_S)
        if self._incomplete_since is not None:
            return False
        self._incomplete_since = now
        return True

    def record_answer(self, asked_at, now):
        """Records that an ask was answered, and that the belief has reached the store's revision.

        Args:
          asked_at: Time of the ask as passed to ``record_ask``.
          now: Monotonic seconds.
        Returns:
          An AnswerMeaning.
        """
        if asked_at not in self._unanswered:
            return AnswerMeaning.NOTHING_NEW
        has_earlier = self._unanswered[0] < asked_at
        self._unanswered = [at for at in self._unanswered if at > asked_at]
        self._refusals = 0
        self._incomplete_since = None
        self.answered_at = asked_at
        if now - asked_at < LOST_AFTER_S:
            self.is_lost = False
            self._next_at = asked_at + self._interval_s
        return AnswerMeaning.EARLIER_LOST if has_earlier else AnswerMeaning.NOTHING_NEW

    def observe(self, now):
        """Updates ``is_lost``; returns True if the store has become lost."""
        if self.is_lost:
            return False
        since = [*self._unanswered[:1], self._incomplete_since or now]
        is_overdue = now - min(since) >= LOST_AFTER_S
        self.is_lost = is_overdue or self._refusals >= LOST_AFTER_REFUSALS
        return self.is_lost

    def _choose_pause_s(self):
        if not self.is_lost:
            return REPEAT_AFTER_S
        pause_s = LOST_PAUSE_WITH_SOURCE_S if self._has_source else LOST_PAUSE_S
        return pause_s * (0.5 + self._rng.random())
