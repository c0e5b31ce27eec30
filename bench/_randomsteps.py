"""Random steps of clients, operators and faults on the fake deployment."""

import dataclasses
import functools
import random

from bench import _deployment, _rows
from skylarksill import records

STEPS_PER_RUN = 40
MAX_GAP_S = 0.8
SETTLE_S = 16.0
LEAVING_S = 3.0
SPREAD_S = 1.5
PATHS = ("/orders", "/orders", "/slow/orders")
KINDS = ("claim", "dispatch", "gossip", "lend", "record", "revoke")


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """One step: ``wait_s`` after the step before, ``action`` is done with two random numbers."""

    wait_s: float
    action: str
    first: int
    second: int


class RandomRun:
    """A deployment on which steps are done one by one.

    Args:
      seed: Seed of the network's delays.
    """

    def __init__(self, seed):
        self.deployment = _deployment.Deployment(seed)
        self.deployment.started = self.deployment.world.now
        self.world = self.deployment.world
        self.clients = [
            self.deployment.add_client(zone.zone_id) for zone in self.deployment.configuration.zones
        ]
        self.newest = self.deployment.configuration
        self.leaving = {}
        self.disturbed = []

    def do(self, step):
        """Does a step; returns the violations that are visible after it."""
        self.world.run(self.world.now + step.wait_s)
        ACTIONS[step.action](self, step.first, step.second)
        return self.judge()

    def settle(self):
        """Lets everything that is on its way end; returns the violations."""
        self._end_disturbances()
        self.world.heal()
        self.world.rules.clear()
        self.world.run(self.world.now + SETTLE_S)
        return self.judge()

    def judge(self):
        """Returns the violations of all invariants."""
        violations = [text for judge in JUDGES for text in judge(self.deployment)]
        return violations + self._judge_leaving()

    def _judge_leaving(self):
        late = []
        for run in self.deployment.ledger.runs:
            left = self.leaving.get(run.upstream, float("inf"))
            if run.time > left + LEAVING_S and not self._was_disturbed(left, run.time):
                late.append(f"{run.upstream} got work {run.time - left:.3f} s after its drain")
        return late

    def _was_disturbed(self, start, end):
        # A host that is paused or cut off cannot know of a drain; see docs/promises.md.
        return any(since <= end and until >= start for since, until in self.disturbed)

    def _note_disturbance(self, until=float("inf")):
        self.disturbed.append((self.world.now, until))

    def _end_disturbances(self):
        until = self.world.now + SPREAD_S
        self.disturbed = [(since, min(end, until)) for since, end in self.disturbed]

    def place_order(self, first, second):
        """A client places an order that must take effect at most once."""
        client = self.clients[first % len(self.clients)]
        home = second % 4
        order = self.deployment.make_order(client, path=PATHS[second % len(PATHS)])
        ticket = self.deployment.mint(home, home ^ 1)
        names = [entry.name for entry in self.deployment.entries]
        entries = names[first % 4 :] + names[: first % 4]
        client.place(order, entries, ticket, self.deployment.mint_alive)
        for entry in entries[1 : 1 + second % 3]:
            client.send_once(order, entry, ticket)

    def send_burst(self, first, second):
        """Clients of one zone read a lot at once from one host."""
        client = self.clients[first % len(self.clients)]
        entry = self.deployment.entries[second % 4].name
        for number in range(5 + second % 25):
            service = "deposits" if number % 3 == 0 else "catalogue"
            path = f"/slow/{number}" if number % 6 < 2 else f"/items/{number}"
            home = second % 4
            ticket = self.deployment.mint(home, home ^ 1) if service == "deposits" else None
            client.send_once(self.deployment.make_order(client, service, path), entry, ticket)

    def kill(self, first, second):
        """A dispatcher dies and is replaced later."""
        node = self.deployment.dispatchers[first % 4]
        if node.is_alive:
            self.world.kill(node.name, has_reset=bool(second % 2))
            replace = functools.partial(self.world.restart, node.name)
            self.world.schedule(0.1 + (second % 50) / 10, replace)

    def pause(self, first, second):
        """A dispatcher is paused."""
        seconds = 0.5 + second % 9
        self._note_disturbance(self.world.now + seconds + SPREAD_S)
        self.world.pause(self.deployment.dispatchers[first % 4].name, seconds)

    def cut(self, first, second):
        """Two zones lose contact in one or both directions."""
        zones = [zone.zone_id for zone in self.deployment.configuration.zones]
        self._note_disturbance()
        source, target = zones[first % 4], zones[(first + 1 + second % 3) % 4]
        self.world.cut(source, target)
        if second % 2:
            self.world.cut(target, source)

    def heal(self, first, second):
        """All zones reach each other again and messages get through."""
        self._end_disturbances()
        self.world.heal()
        self.world.rules.clear()

    def disturb(self, first, second):
        """Messages of a kind are lost, delayed or copied at random until the next heal."""
        kind = KINDS[first % len(KINDS)]
        self._note_disturbance()
        source = random.Random(second)

        def rule(envelope, delays):
            if envelope.kind != kind or source.random() < 0.5:
                return delays
            changes = (lambda d: [], lambda d: [d + source.random() * 3], lambda d: [d, d + 0.5])
            return [late for delay in delays for late in source.choice(changes)(delay)]

        self.world.rules.append(rule)

    def crash_upstream(self, first, second):
        """An upstream dies in the middle of its work."""
        upstream = self.deployment.upstreams[first % len(self.deployment.upstreams)]
        if upstream.is_alive:
            upstream.crash()

    def swap_owners(self, first, second):
        """An operator swaps home and standby of an upstream."""
        self._change_upstream(first, second, _swap_owners)

    def drain(self, first, second):
        """An operator drains an upstream."""
        upstream = self._change_upstream(first, second, _mark_leaving)
        self.leaving.setdefault(upstream, self.world.now)

    def stop(self, first, second):
        """A dispatcher makes a planned stop and is replaced."""
        node = self.deployment.dispatchers[first % 4]
        if node.is_alive and self.world.now >= node.paused_until:
            node.stop()
            replace = functools.partial(self.world.restart, node.name)
            self.world.schedule(6.0, replace)

    def _change_upstream(self, first, second, change):
        upstreams = list(self.newest.upstreams)
        index = first % len(upstreams)
        upstreams[index] = change(upstreams[index])
        generation = records.Generation(self.newest.generation + 1)
        self.newest = dataclasses.replace(
            self.newest, generation=generation, upstreams=tuple(upstreams)
        )
        # Every host learns of it from the first one that is alive.
        nodes = self.deployment.dispatchers
        alive = [node for node in nodes if node.is_alive and self.world.now >= node.paused_until]
        if alive:
            alive[second % len(alive)].accept(self.newest)
        return upstreams[index].upstream_id


def _swap_owners(upstream):
    return dataclasses.replace(upstream, home=upstream.standby, standby=upstream.home)


def _mark_leaving(upstream):
    return dataclasses.replace(upstream, state=records.LifecycleState.LEAVING)


ACTIONS = {
    "order": RandomRun.place_order,
    "burst": RandomRun.send_burst,
    "kill": RandomRun.kill,
    "pause": RandomRun.pause,
    "cut": RandomRun.cut,
    "heal": RandomRun.heal,
    "disturb": RandomRun.disturb,
    "crash upstream": RandomRun.crash_upstream,
    "swap owners": RandomRun.swap_owners,
    "drain": RandomRun.drain,
    "stop": RandomRun.stop,
}
WEIGHTS = {"order": 8, "burst": 5, "heal": 2, "swap owners": 2}

JUDGES = (
    _rows.judge_slots,
    _rows.judge_connections,
    _rows.judge_region,
    _rows.judge_shift,
    _rows.judge_at_most_once,
    _rows.judge_verdicts,
    _rows.judge_foreign_answers,
)


def make_steps(seed):
    """Returns the random steps of a run."""
    source = random.Random(seed)
    names = sorted(ACTIONS)
    weights = [WEIGHTS.get(name, 1) for name in names]
    return [
        Step(
            round(source.uniform(0.0, MAX_GAP_S), 3),
            source.choices(names, weights)[0],
            source.randrange(1_000),
            source.randrange(1_000),
        )
        for _ in range(STEPS_PER_RUN)
    ]
