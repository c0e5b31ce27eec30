"""Fake processes that share a link between regions within their byte budgets."""

import functools

from bench import _deployment, _upstream, _world
from skylarksill import limits

LINK_BYTES_PER_S = 1_000_000
WINDOW_S = limits.BYTE_WINDOW_S
LOAD_FACTOR = 1.5
MAX_MESSAGE_BYTES = 20_000
SEND_S = 4.0
FAULT_S = 1.0
END_S = 14.0
# Requests of two entry processes and answers of two dispatchers share the link.
SENDERS = 4
ROUNDING = 1e-9


class SenderNode(_world.Node):
    """An entry process or dispatcher that waits for its budget, then sends."""

    def reset(self):
        """Starts with a full budget, as a new incarnation does."""
        self._budget = limits.ByteBudget(LINK_BYTES_PER_S / SENDERS)

    def handle(self, envelope, answer):
        """Takes bytes from its host that are to be sent over the link."""
        self._send(envelope.body)

    def _send(self, size):
        wait_s = self._budget.take(size, self.world.now)
        if wait_s == 0.0:
            self.world.link.append((self.world.now, size))
        elif wait_s is not None:
            self.after(wait_s, functools.partial(self._send, size))


class LinkDeployment:
    """Senders in one region; it has the attributes that faults use."""

    def __init__(self, seed):
        self.world = _world.World(seed)
        self.world.link = []
        self.ledger = self.world.ledger = _upstream.Ledger()
        zones = [zone.zone_id for zone in _deployment.build_configuration().zones]
        self.source = _world.Node(self.world, "source", zones[1])
        self.dispatchers = [
            SenderNode(self.world, f"sender-{number}", zones[number % 2])
            for number in range(SENDERS)
        ]
        self.entries = self.upstreams = ()
        self.kinds = ("bytes",)
        self.has_struck = False


def run_links(fault, step, seed=0):
    """Offers more bytes than the link carries while a fault strikes."""
    deployment = LinkDeployment(seed)
    world = deployment.world
    deployment.started = world.now
    deployment.sent_before = 0
    # The fault strikes when sends wait for the budget.
    world.schedule(FAULT_S, functools.partial(fault.install, deployment, step))
    rate = LOAD_FACTOR * LINK_BYTES_PER_S / SENDERS / (MAX_MESSAGE_BYTES / 2)
    for sender in deployment.dispatchers:
        for number in range(int(rate * SEND_S)):
            size = world.random.randrange(MAX_MESSAGE_BYTES)
            send = functools.partial(
                deployment.source.call, sender.name, "bytes", size, 1.0, lambda result: None
            )
            world.schedule(number / rate, send)
    world.run(world.now + END_S)
    return deployment


def judge_links(deployment):
    """Finds windows of 100 ms in which the link carried more than its share."""
    allowed = LINK_BYTES_PER_S * WINDOW_S
    violations = []
    first = total = 0
    sent = sorted(deployment.world.link)
    for time, size in sent:
        total += size
        while sent[first][0] + WINDOW_S <= time + ROUNDING:
            total -= sent[first][1]
            first += 1
        if total > allowed:
            violations.append(f"{total} bytes within 100 ms at {time:.3f}")
    return violations
