"""Columns of the fault matrix: faults that are injected into a simulated deployment.

A fault is injected at each step in turn: at the first messages of each kind that the scenario
sends.
"""

import dataclasses
import functools
import typing

from bench import _upstream

EXTRA_DELAY_S = 1.5
COPY_DELAYS_S = (0.002, 2.0)
JITTER_S = 0.08
PAUSE_DURATION_S = 8.0
PARTITION_DURATION_S = 5.0
RESTART_DELAY_S = 0.3
CRASH_DELAY_S = 0.01
CLOCK_SET_BACK_S = 600.0
FALSE_FREE_SLOTS = 1_000
STEPS_PER_KIND = 2
STORE_FAILURE_DELAY_S = 1.6
HOME = 0
ARBITER = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """The ``number``-th message of a kind since the start of the scenario."""

    kind: str
    is_answer: bool
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """One column.

    Attributes:
      name: Heading of the column.
      install: Function that injects the fault into a Deployment at a Step.
      steps: Steps at which it is injected; None stands for all steps of the scenario.
      resend: How the client repeats its order at once: "", "same", "other" or "both sides".
    """

    name: str
    install: typing.Callable
    steps: tuple[Step | None, ...] | None = (None,)
    resend: str = ""


def list_steps(envelopes, kinds):
    """Returns the steps at which faults are injected, from the messages of a run without faults."""
    present = {(envelope.kind, envelope.is_answer) for envelope in envelopes}
    return [
        Step(kind, is_answer, number)
        for kind, is_answer in sorted(present)
        if kind in kinds
        for number in range(STEPS_PER_KIND)
    ]


class _StepMatcher:
    """Detects the message of a step; copies of a message count once."""

    def __init__(self, step):
        self._step = step
        self._seen = set()

    def matches(self, envelope):
        if (envelope.kind, envelope.is_answer) != (self._step.kind, self._step.is_answer):
            return False
        if envelope.index in self._seen:
            return False
        self._seen.add(envelope.index)
        return len(self._seen) == self._step.number + 1


def _change_delays(change, except_kind=""):
    def install(deployment, step):
        matcher = _StepMatcher(step)
        if step.kind == except_kind:
            return

        def rule(envelope, delays):
            if not matcher.matches(envelope):
                return delays
            deployment.has_struck = True
            return change(delays)

        deployment.world.rules.append(rule)

    return install


def _inject_at_delivery(inject):
    def install(deployment, step):
        matcher = _StepMatcher(step)

        def trigger(envelope):
            if matcher.matches(envelope):
                deployment.has_struck = True
                inject(deployment)

        deployment.world.triggers.append(trigger)

    return install


def _reorder(deployment, step):
    world = deployment.world
    deployment.has_struck = True

    def rule(envelope, delays):
        return [delay + world.random.uniform(0.0, JITTER_S) for delay in delays]

    world.rules.append(rule)


def kill_host(deployment, index, seconds=None):
    """Kills a dispatcher; a new incarnation starts after ``seconds``, or none if that is None."""
    node = deployment.dispatchers[index]
    if not node.is_alive:
        return
    deployment.world.kill(node.name)
    if seconds is not None:
        deployment.world.schedule(seconds, lambda: deployment.world.restart(node.name))


def pause_host(deployment, index=HOME, seconds=PAUSE_DURATION_S):
    """Pauses a dispatcher until all its loans and leases have expired."""
    deployment.world.pause(deployment.dispatchers[index].name, seconds)


def cut_zone(deployment, directions=("out", "in")):
    """Cuts the home's zone off from all others, in one or both directions."""
    world = deployment.world
    own = deployment.dispatchers[HOME].zone
    for zone in {node.zone for node in world.nodes.values()} - {own}:
        if "out" in directions:
            world.cut(own, zone)
        if "in" in directions:
            world.cut(zone, own)
    world.schedule(PARTITION_DURATION_S, world.heal)


def _cut_now(deployment, step):
    deployment.has_struck = True
    cut_zone(deployment)


def lose_region(deployment):
    """Kills all processes of the home's region."""
    region = deployment.dispatchers[HOME].region
    for node in [*deployment.dispatchers, *deployment.entries, *deployment.upstreams]:
        if node.region == region and node.is_alive:
            deployment.world.kill(node.name)


def _kill_both(deployment):
    kill_host(deployment, HOME)
    kill_host(deployment, ARBITER)


def _crash_upstream(deployment, step):
    matcher = _StepMatcher(step)

    def trigger(envelope):
        node = deployment.world.nodes[envelope.target]
        if isinstance(node, _upstream.Upstream) and matcher.matches(envelope):
            deployment.has_struck = True
            deployment.world.schedule(CRASH_DELAY_S, node.crash)

    deployment.world.triggers.append(trigger)


def _stop_reports(deployment, step):
    def rule(envelope, delays):
        if envelope.kind != "gossip":
            return delays
        deployment.has_struck = True
        return []

    deployment.world.rules.append(rule)


def _falsify_reports(deployment, step):
    def falsify(envelope):
        if envelope.kind != "gossip" or envelope.is_answer:
            return envelope
        deployment.has_struck = True
        loads = tuple(
            dataclasses.replace(load, free=FALSE_FREE_SLOTS, in_flight=0, queued=0)
            for load in envelope.body.loads
        )
        body = dataclasses.replace(envelope.body, loads=loads)
        return dataclasses.replace(envelope, body=body)

    deployment.world.transforms.append(falsify)


def _set_clock_back(deployment):
    deployment.world.unix_shift_s -= CLOCK_SET_BACK_S


def _change_store(change):
    def install(deployment, step):
        if hasattr(deployment, "store"):
            deployment.has_struck = True
            change(deployment)

    return install


def _stop_store(deployment):
    # The store becomes unavailable permanently just after the first change.
    deployment.world.schedule(
        STORE_FAILURE_DELAY_S, lambda: setattr(deployment.store, "is_down", True)
    )


def _do_nothing(deployment, step):
    deployment.has_struck = True


def _combine(name, first, second):
    def install(deployment, step):
        first.install(deployment, step if first.steps is None else first.steps[0])
        second.install(deployment, step if second.steps is None else second.steps[0])

    steps = None if first.steps is None or second.steps is None else (None,)
    return Fault(name, install, steps, first.resend or second.resend)


def _fix_step(fault, step):
    return dataclasses.replace(fault, steps=(step,))


def _kill_home_at(name, kind, is_answer):
    inject = functools.partial(kill_host, index=HOME)
    return Fault(name, _inject_at_delivery(inject), (Step(kind, is_answer, 0),))


NONE = Fault("none", _do_nothing)
LOST = Fault("lost", _change_delays(lambda delays: []), None)
DELAYED = Fault("delayed", _change_delays(lambda delays: [d + EXTRA_DELAY_S for d in delays]), None)
# TCP delivers a request to an upstream once, so the network cannot duplicate it.
COPIED = Fault(
    "copied",
    _change_delays(lambda delays: [d + c for d in delays for c in (0, *COPY_DELAYS_S)], "run"),
    None,
)
REORDERED = Fault("reordered", _reorder)
SAME_AGAIN = Fault("same again", _do_nothing, resend="same")
OTHER_AGAIN = Fault("other again", _do_nothing, resend="other")
BOTH_SIDES = Fault("both sides", _cut_now, resend="both sides")
KILL_BEFORE_CLAIM = _kill_home_at("home- claim", "dispatch", False)
KILL_AFTER_CLAIM = _kill_home_at("home+ claim", "claim", False)
KILL_AFTER_DISPATCH = _kill_home_at("home+ send", "run", False)
KILL_BEFORE_ANSWER = _kill_home_at("home- answer", "run", True)
KILL_AFTER_ANSWER = _kill_home_at("home+ answer", "dispatch", True)
ARBITER_KILLED = Fault(
    "arbiter", _inject_at_delivery(functools.partial(kill_host, index=ARBITER)), None
)
BOTH_KILLED = Fault("home+arbiter", _inject_at_delivery(_kill_both), None)
RESTARTED = Fault(
    "restarted",
    _inject_at_delivery(functools.partial(kill_host, index=HOME, seconds=RESTART_DELAY_S)),
    None,
)
ARBITER_RESTARTED = Fault(
    "arb restarted",
    _inject_at_delivery(functools.partial(kill_host, index=ARBITER, seconds=RESTART_DELAY_S)),
    None,
)
PAUSED = Fault("paused", _inject_at_delivery(pause_host), None)
PARTITION = Fault("partition", _inject_at_delivery(cut_zone), None)
DEAF = Fault("deaf", _inject_at_delivery(functools.partial(cut_zone, directions=("in",))), None)
MUTE = Fault("mute", _inject_at_delivery(functools.partial(cut_zone, directions=("out",))), None)
REGION_LOST = Fault("region lost", _inject_at_delivery(lose_region), None)
NO_REPORTS = Fault("no reports", _stop_reports)
FALSE_REPORTS = Fault("false reports", _falsify_reports)
UPSTREAM_DIES = Fault(
    "upstream dies",
    _crash_upstream,
    tuple(Step("run", False, number) for number in range(STEPS_PER_KIND)),
)
CLOCK_BACK = Fault("clock back", _inject_at_delivery(_set_clock_back), None)
STORE_DOWN = Fault("store down", _change_store(_stop_store))
REPLY_LOST = Fault(
    "reply lost", _change_store(lambda deployment: setattr(deployment.store, "lost_replies", 2))
)
TWO_OPERATORS = Fault(
    "two operators",
    _change_store(lambda deployment: setattr(deployment, "two_operators", True)),
)

SINGLE = (
    NONE,
    LOST,
    DELAYED,
    COPIED,
    REORDERED,
    SAME_AGAIN,
    OTHER_AGAIN,
    BOTH_SIDES,
    KILL_BEFORE_CLAIM,
    KILL_AFTER_CLAIM,
    KILL_AFTER_DISPATCH,
    KILL_BEFORE_ANSWER,
    KILL_AFTER_ANSWER,
    ARBITER_KILLED,
    BOTH_KILLED,
    RESTARTED,
    PAUSED,
    PARTITION,
    DEAF,
    MUTE,
    REGION_LOST,
    NO_REPORTS,
    FALSE_REPORTS,
    UPSTREAM_DIES,
    CLOCK_BACK,
    STORE_DOWN,
    REPLY_LOST,
    TWO_OPERATORS,
)
PAIRS = (
    _combine("send+other", KILL_AFTER_DISPATCH, OTHER_AGAIN),
    _combine("paused+other", PAUSED, OTHER_AGAIN),
    _combine("paused+arb", PAUSED, ARBITER_RESTARTED),
    _combine("restart+copied", RESTARTED, COPIED),
    _combine("lost+arbiter", LOST, _fix_step(ARBITER_KILLED, Step("run", False, 0))),
    _combine("dies+restart", UPSTREAM_DIES, RESTARTED),
    _combine("delay+both", DELAYED, BOTH_SIDES),
    _combine("region+paused", REGION_LOST, PAUSED),
    _combine("store+restart", STORE_DOWN, RESTARTED),
    _combine("store+partition", STORE_DOWN, PARTITION),
    _combine("operators+reply", TWO_OPERATORS, REPLY_LOST),
)
ALL = SINGLE + PAIRS
