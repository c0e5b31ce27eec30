"""Simulated time, asks and answers between a host's StoreContact and the store."""

import random

from skylarksill.host import storecontact

# Interval at which the host looks whether an ask is due.
STEP_S = 0.1


class StoreSimulation:
    """One host and the store.

    Args:
      bounds: The records.Bounds.
      seed: Seed of the host's pauses.

    Attributes:
      latency_s: Time after which asks are answered.
      silence: Pair of the times between which calls and answers are lost.
      is_refusing: True while asks are refused.
      is_complete: False while the belief does not reach the store's revision.
      has_source: True while peers keep the host current.
      asked_at: Times of all asks.
      answered_at: Pairs of the times at which an answered ask was sent and answered.
      lost_at: Times at which the host has lost the store.
    """

    def __init__(self, bounds, seed=1):
        self.now = 0.0
        self.latency_s = 0.12
        self.silence = (0.0, 0.0)
        self.is_refusing = False
        self.is_complete = True
        self.has_source = False
        self.asked_at = []
        self.answered_at = []
        self.lost_at = []
        self.contact = storecontact.StoreContact(bounds, self.now, random.Random(seed))
        self._answers = []

    def run(self, seconds):
        """Simulates a time."""
        end = self.now + seconds
        while self.now < end:
            self._step()
            self.now += STEP_S

    def _step(self):
        due = [item for item in self._answers if item[1] <= self.now]
        self._answers = [item for item in self._answers if item[1] > self.now]
        for asked_at, answered_at in due:
            if self.is_complete:
                self.contact.record_answer(asked_at, answered_at)
                self.answered_at.append((asked_at, answered_at))
            else:
                self.contact.record_incomplete(asked_at, answered_at)
        if self.contact.is_ask_due(self.now, self.has_source):
            self.contact.record_ask(self.now)
            self.asked_at.append(self.now)
            self._send_ask()
        if self.contact.observe(self.now):
            self.lost_at.append(self.now)

    def _send_ask(self):
        first, last = self.silence
        answered_at = self.now + self.latency_s
        if self.is_refusing:
            self.contact.record_refusal()
        elif answered_at < first or self.now >= last:
            self._answers.append((self.now, answered_at))
