"""Fake network and clock on which the fault matrix and the random runs drive the decision modules.

A node is one process. Faults act on messages (``rules``), at deliveries (``triggers``) and on
nodes and zones (``kill``, ``restart``, ``pause``, ``cut``).
"""

import dataclasses
import heapq
import itertools
import random
import typing

UNIX_OFFSET_S = 1_700_000_000.0
START_S = 1_000.0
RESET_DELAY_S = 0.001
LOCAL_DELAY_S = 0.001
REGION_DELAY_S = 0.055


class Lost:
    """Result of a call that timed out (``is_reset`` False) or whose peer died."""

    def __init__(self, is_reset):
        self.is_reset = is_reset


@dataclasses.dataclass(frozen=True, slots=True)
class Envelope:
    """A message on its way; ``is_answer`` marks the answer of a call."""

    index: int
    source: str
    target: str
    kind: str
    call_id: str
    is_answer: bool
    body: typing.Any


class Node:
    """One process of the fake deployment.

    Args:
      world: The World.
      name: Name of the node, which stays the same across incarnations.
      zone: Its zone; names of zones start with their region and a "-".
    """

    def __init__(self, world, name, zone):
        self.world = world
        self.name = name
        self.zone = zone
        self.is_alive = True
        self.paused_until = 0.0
        self.died_at = 0.0
        self.starts = 0
        self._calls = {}
        self._call_numbers = itertools.count()
        world.nodes[name] = self
        self.start()

    @property
    def region(self):
        """Region of the node's zone."""
        return self.zone.partition("-")[0]

    @property
    def incarnation(self):
        """Name of the present incarnation."""
        return f"{self.name}.{self.starts}"

    def start(self):
        """Starts a new incarnation, which knows nothing of its predecessor."""
        self.starts += 1
        self.is_alive = True
        self._calls = {}
        self.reset()

    def has_been_dead(self, seconds):
        """Tells whether the process has been dead for that long."""
        return not self.is_alive and self.world.now >= self.died_at + seconds

    def reset(self):
        """Sets the state of a new incarnation up."""

    def handle(self, envelope, answer):
        """Handles a call; ``answer(body)`` sends its answer."""

    def call(self, target, kind, body, timeout_s, then):
        """Calls another node; ``then`` gets the answer's body or a Lost, exactly once."""
        call_id = f"{self.incarnation}/{next(self._call_numbers)}"
        self._calls[call_id] = (target, then)
        self.world.send(self.name, target, kind, call_id, False, body)
        self.after(timeout_s, lambda: self.end_call(call_id, Lost(False)))
        return call_id

    def after(self, seconds, action):
        """Runs an action of this incarnation later."""
        self.world.schedule(seconds, self._guard(self.starts, action))

    def end_call(self, call_id, body):
        """Hands a call's result to its caller unless the call has ended."""
        _, then = self._calls.pop(call_id, (None, None))
        if then is not None:
            then(body)

    def receive(self, envelope):
        """Takes a delivered message."""
        if envelope.is_answer:
            self.end_call(envelope.call_id, envelope.body)
            return
        self.handle(envelope, lambda body: self._answer(envelope, body))

    def list_calls_to(self, target):
        """Returns the ids of the calls to a node that have not ended."""
        return [call_id for call_id, (called, _) in self._calls.items() if called == target]

    def _answer(self, envelope, body):
        self.world.send(self.name, envelope.source, envelope.kind, envelope.call_id, True, body)

    def _guard(self, starts, action):
        def run():
            if not self.is_alive or self.starts != starts:
                return
            if self.world.now < self.paused_until:
                self.world.schedule_at(self.paused_until, run)
                return
            action()

        return run


class World:
    """Clock, network and nodes."""

    def __init__(self, seed=0):
        self.random = random.Random(seed)
        self.now = START_S
        self.unix_shift_s = 0.0
        self.nodes = {}
        self.rules = []
        self.transforms = []
        self.triggers = []
        self.cuts = set()
        self.had_cuts = False
        self.sent = []
        self._events = []
        self._order = itertools.count()

    @property
    def now_unix_ms(self):
        """Wall-clock time in milliseconds."""
        return int((self.now + self.unix_shift_s + UNIX_OFFSET_S) * 1_000)

    def schedule(self, seconds, action):
        """Runs an action ``seconds`` from now."""
        self.schedule_at(self.now + seconds, action)

    def schedule_at(self, time, action):
        """Runs an action at a time in seconds."""
        heapq.heappush(self._events, (time, next(self._order), action))

    def run(self, until):
        """Runs all events up to a time in seconds."""
        while self._events and self._events[0][0] <= until:
            self.step()
        self.now = max(self.now, until)

    def step(self):
        """Runs the next event; returns False if there is none."""
        if not self._events:
            return False
        self.now, _, action = heapq.heappop(self._events)
        action()
        return True

    def send(self, source, target, kind, call_id, is_answer, body):
        """Sends a message; the rules may drop, delay or copy it."""
        envelope = Envelope(len(self.sent), source, target, kind, call_id, is_answer, body)
        for transform in self.transforms:
            envelope = transform(envelope)
        self.sent.append(envelope)
        delays = [self._compute_delay(source, target)]
        for rule in self.rules:
            delays = rule(envelope, delays)
        for delay in delays:
            self.schedule(delay, lambda: self._deliver(envelope))

    def kill(self, name, has_reset=False):
        """Kills a process; with ``has_reset`` its callers see their connections reset."""
        self.nodes[name].is_alive = False
        self.nodes[name].died_at = self.now
        if has_reset:
            for node in self.nodes.values():
                for call_id in node.list_calls_to(name):
                    self._schedule_reset(node, call_id)

    def restart(self, name):
        """Replaces a process by a new incarnation."""
        self.nodes[name].start()

    def pause(self, name, seconds):
        """Stops a process for a while; its messages and timers wait for it."""
        self.nodes[name].paused_until = self.now + seconds

    def cut(self, source_zone, target_zone):
        """Drops everything from one zone to another until ``heal``."""
        self.had_cuts = True
        self.cuts.add((source_zone, target_zone))

    def heal(self):
        """Ends all cuts."""
        self.cuts.clear()

    def _schedule_reset(self, node, call_id):
        node.after(RESET_DELAY_S, lambda: node.end_call(call_id, Lost(True)))

    def _compute_delay(self, source, target):
        source_node, target_node = self.nodes[source], self.nodes[target]
        delay = LOCAL_DELAY_S if source_node.region == target_node.region else REGION_DELAY_S
        return delay * self.random.uniform(0.9, 1.1)

    def _deliver(self, envelope):
        source, target = self.nodes[envelope.source], self.nodes[envelope.target]
        if (source.zone, target.zone) in self.cuts:
            return
        if self.now < target.paused_until:
            self.schedule_at(target.paused_until, lambda: self._deliver(envelope))
            return
        for trigger in list(self.triggers):
            trigger(envelope)
        if target.is_alive:
            target.receive(envelope)
