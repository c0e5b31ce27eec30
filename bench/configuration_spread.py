"""Hosts that keep up with an operator's versions of the configuration, in virtual time.

``python -m bench.configuration_spread --seed 1 --runs 100`` plays random series of versions and
faults, and prints what each host had wrong. The hosts' own code runs: watches, asks, streams
between hosts, and all decoders; the store, the network and the clock are simulated.
"""

import argparse
import collections
import dataclasses
import enum
import os
import random
import sys
import time
import types
import weakref

import eventlet
import greenlet

from bench import _spreadhost, _virtualtime
from skylarksill.host import following, keyring, peers, records, supervision, watching
from standins import operatorwrites, platformdata, simulatedstore

HOSTS = (
    ("n1", "north-a"),
    ("n2", "north-b"),
    ("n3", "north-a"),
    ("s1", "south-a"),
    ("s2", "south-a"),
)
# One way to the store, by region.
STORE_DELAYS_S = {"north": 0.0005, "south": 0.055}
RUN_S = 45.0
# All faults end this long before the end of a run.
CALM_END_S = 9.0
CHECK_INTERVAL_S = 0.05
OUTAGE_S = 4.0
# A store that loses its history answers no watch for this long, while it takes changes.
HELD_S = 1.25
# A share of hosts may be refused from this long before such a loss to this long after it.
REFUSED_AROUND_S = (1.0, 2.5)
BOUNDS = _spreadhost.BOUNDS
# The age of a confirmation leaves out the time of an update on its way and since it was encoded.
CONFIRMATION_SLACK_S = following.MAX_ENCODED_AGE_S + _virtualtime.MAX_DELAY_S


class Fault(enum.Enum):
    """What happens to a host, to the store or between two hosts."""

    RESTART = "restart"
    POWER_LOSS = "power_loss"
    STORE_MODE = "store_mode"
    HOST_STORE_MODE = "host_store_mode"
    DROP_HISTORY = "drop_history"
    CUT_WATCHES = "cut_watches"
    SILENCE_WATCHES = "silence_watches"
    CUT_HOSTS = "cut_hosts"
    DELAY = "delay"
    VIEW = "view"


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """Something that a host had wrong.

    Attributes:
      rule: Number of the rule, see ``Run``, or 0 for an exception.
      host_id: The host.
      at: Seconds since the start of the run.
      detail: What was seen.
    """

    rule: int
    host_id: str
    at: float
    detail: str


class Run:
    """One run. Rules that each host has to keep:

    1. Its routes are those of exactly the version that its generation names.
    2. In one incarnation, its generation doesn't fall.
    3. With sound links it is not behind a version that was acknowledged CONFIRMATION_SLACK_S before
       its configuration was confirmed, since it denies paths for ``apply_s`` from then on.
    4. With sound links it is current within ``apply_s`` if the store serves it, or serves another
       host that it knows while the hosts of its region are undisturbed.
    5. It then confirms its configuration within ``apply_s``, as it denies no path otherwise.

    Args:
      seed: Seed of everything that happens.
      outage: Mode of the store towards all hosts in the only fault, during which it drops its
        history; None for random faults.
      has_only_losses: True if the only faults are losses of the history after which the store ends
        all watches, and refusals of some hosts around them.

    Attributes:
      findings: List of Finding.
      counts: Counter of checks and events.
      trace: The hosts' last log lines.
    """

    def __init__(self, seed, outage=None, has_only_losses=False):
        random.seed(seed)
        self._random = random.Random(f"run {seed}")
        self._outage = outage
        self._has_only_losses = has_only_losses
        self.findings = []
        self.counts = collections.Counter()
        self.trace = collections.deque(maxlen=4_000)
        self.keyring = keyring.parse_keys([("k1", "ab" * 32)])
        self.store = simulatedstore.Store(seed)
        self._network = _virtualtime.Network(seed)
        self._network.opened = self._note_stream
        self._network.find_own_address = lambda: self._find_owner().record.gossip
        self._operator = operatorwrites.Operator(seed)
        self._acknowledged = []
        self._owners = weakref.WeakKeyDictionary()
        self._started_at = _virtualtime.read_clock()
        self._views = {}
        self._probes = ()
        self.hosts = [
            _spreadhost.SimulatedHost(self, index, *item) for index, item in enumerate(HOSTS)
        ]
        for host in self.hosts:
            self.store.delays[host.host_id] = STORE_DELAYS_S[host.record.region]

    def play(self):
        """Plays the run; returns the findings."""
        self._patch()
        self._publish(self._operator.newest)
        for index in range(3):
            name = f"i-{index}"
            self.store.write("servers", name, platformdata.build_upstream_spec())
        for host in self.hosts:
            self._start(host)
        end = _virtualtime.read_clock() + RUN_S
        eventlet.spawn(self._write_versions, end - 3.0)
        eventlet.spawn(self._write_others, end - 3.0)
        eventlet.spawn(self._choose_cause(), end - CALM_END_S)
        while _virtualtime.read_clock() < end:
            eventlet.sleep(CHECK_INTERVAL_S)
            for host in self.hosts:
                if host.is_running:
                    self.check(host)
        self.counts["versions"] += len(self._operator.versions)
        return self.findings

    def _patch(self):
        for module in (watching, following, simulatedstore.store):
            module.time = _virtualtime.TIME
        following.socket = _virtualtime.make_socket_module(self._network)
        following._fairreads = types.SimpleNamespace(FairReader=lambda stream: stream)
        following._boundedsends = types.SimpleNamespace(
            send_all=lambda stream, data, deadline: stream.sendall(data)
        )
        following.eventlet = types.SimpleNamespace(
            sleep=eventlet.sleep, Timeout=eventlet.Timeout, listen=self._network.listen
        )
        following.event = types.SimpleNamespace(Event=_virtualtime.Event)
        supervision.eventlet = types.SimpleNamespace(sleep=eventlet.sleep, spawn=self._spawn)

    def _spawn(self, function, *arguments):
        owner = self._find_owner()
        thread = eventlet.spawn(function, *arguments)
        self._owners[thread] = owner
        owner.threads[thread] = True
        return thread

    def _find_owner(self):
        return self._owners[greenlet.getcurrent()]

    def _note_stream(self, stream):
        self._find_owner().streams[stream] = True

    def _start(self, host):
        thread = eventlet.spawn(host.start)
        self._owners[thread] = host
        thread.wait()

    def report(self, rule, host_id, detail):
        """Adds a Finding."""
        at = _virtualtime.read_clock() - self._started_at
        self.findings.append(Finding(rule, host_id, round(at, 3), detail))

    # The operator, and other writers.

    def _publish(self, version):
        self.store.write("config", "main", version.spec)
        self._acknowledged.append((_virtualtime.read_clock(), version))
        self._probes = operatorwrites.list_probes([item for _, item in self._acknowledged[-6:]])

    def _write_versions(self, end):
        while _virtualtime.read_clock() < end:
            pause_s = self._random.choice((0.02, 0.3, 0.5, 1.0, 2.0, 4.0))
            eventlet.sleep(pause_s * (0.5 + self._random.random()))
            self._publish(self._operator.write())

    def _write_others(self, end):
        while _virtualtime.read_clock() < end:
            eventlet.sleep(self._random.random() * 1.5)
            match self._random.randrange(5):
                case 0:
                    name = self._random.choice(operatorwrites.FOREIGN_NAMES)
                    self.store.write(
                        "config", name, self._random.choice(operatorwrites.FOREIGN_SPECS)
                    )
                case 1:
                    self.store.delete("config", self._random.choice(operatorwrites.FOREIGN_NAMES))
                case 2:
                    name = f"i-{self._random.randrange(6)}"
                    state = self._random.choice(("ready", "draining", "odd", None))
                    spec = platformdata.build_upstream_spec(state=state)
                    self.store.write("servers", name, spec)
                case 3:
                    self.store.delete("servers", f"i-{self._random.randrange(6)}")
                case 4:
                    zone = self._random.choice(list(_spreadhost.ZONES))
                    if self._random.random() < 0.5:
                        self.store.write("evacuations", zone, {})
                    else:
                        self.store.delete("evacuations", zone)

    # Faults.

    def _choose_cause(self):
        """Returns the function that causes the faults of this run until a virtual time."""
        if self._has_only_losses:
            return self._cause_losses
        return self._cause_faults if self._outage is None else self._cause_outage

    def _cause_faults(self, end):
        eventlet.sleep(3.0 + 4.0 * self._random.random())
        while _virtualtime.read_clock() < end:
            fault = self._random.choice(list(Fault))
            # At most until the end of the faults.
            seconds = min(
                self._random.choice((0.2, 0.7, 1.5, 3.0, 6.0, 12.0)),
                end - _virtualtime.read_clock(),
            )
            self.counts[fault.value] += 1
            eventlet.spawn(self._cause, fault, self._random.choice(self.hosts), seconds)
            eventlet.sleep(self._random.choice((0.1, 1.0, 3.0, 8.0)) * self._random.random())

    def _cause_outage(self, end):
        del end
        eventlet.sleep(10.0)
        eventlet.spawn(self._disturb_store, self.hosts, self._outage, OUTAGE_S)
        eventlet.sleep(OUTAGE_S - 1.0)
        self.store.drop_history()

    def _cause_losses(self, end):
        before_s, after_s = REFUSED_AROUND_S
        while _virtualtime.read_clock() < end:
            # Hosts are judged in between.
            eventlet.sleep(BOUNDS.contact_s + 2.0 + 2.0 * self._random.random())
            refused = self._random.sample(self.hosts, self._random.randrange(len(self.hosts)))
            seconds = before_s + HELD_S + after_s
            eventlet.spawn(self._disturb_store, refused, simulatedstore.Mode.REFUSING, seconds)
            eventlet.sleep(before_s)
            self.store.hold_watches()
            until = _virtualtime.read_clock() + HELD_S
            while _virtualtime.read_clock() < until:
                eventlet.sleep(CHECK_INTERVAL_S)
                for host in self.hosts:
                    host.refused_at = _virtualtime.read_clock()
            self.store.lose_history()
            self.counts["losses"] += 1

    def _disturb_store(self, hosts, mode, seconds):
        until = _virtualtime.read_clock() + seconds
        while _virtualtime.read_clock() < until:
            for host in hosts:
                self.store.modes[host.host_id] = mode
                host.refused_at = _virtualtime.read_clock()
            eventlet.sleep(CHECK_INTERVAL_S)
        for host in hosts:
            self.store.modes.pop(host.host_id, None)
            host.refused_at = _virtualtime.read_clock()

    def _cause(self, fault, host, seconds):
        self.trace.append((_virtualtime.read_clock(), host.host_id, fault.value, seconds))
        match fault:
            case Fault.RESTART | Fault.POWER_LOSS if host.is_running:
                host.stop(fault is Fault.POWER_LOSS)
                eventlet.sleep(seconds)
                self._start(host)
            case Fault.STORE_MODE | Fault.HOST_STORE_MODE:
                hosts = self.hosts if fault is Fault.STORE_MODE else [host]
                if fault is Fault.HOST_STORE_MODE and self._random.random() < 0.4:
                    hosts = [
                        item for item in self.hosts if item.record.region == host.record.region
                    ]
                self._disturb_store(
                    hosts, self._random.choice(list(simulatedstore.Mode)[1:]), seconds
                )
            case Fault.DROP_HISTORY:
                self.store.drop_history()
            case Fault.CUT_WATCHES:
                self.store.cut_off(host.host_id, False)
            case Fault.SILENCE_WATCHES:
                self.store.cut_off(host.host_id, True)
                # An answer is lost.
                host.refused_at = _virtualtime.read_clock()
            case Fault.CUT_HOSTS:
                other = self._random.choice(self.hosts)
                pair = frozenset((host.record.gossip, other.record.gossip))
                self._network.cuts[pair] = _virtualtime.read_clock() + seconds
                self._disturb((host, other), seconds)
            case Fault.DELAY:
                self._network.delays[host.record.gossip] = 1.4
                self._disturb((host,), seconds)
                eventlet.sleep(seconds)
                self._network.delays.pop(host.record.gossip, None)
            case Fault.VIEW:
                # The host takes some others for dead.
                count = self._random.randint(0, len(self.hosts) - 1)
                others = self._random.sample(self.hosts, count)
                until = _virtualtime.read_clock() + seconds
                host.hides_until = until
                self._views[host.host_id] = (
                    until,
                    {item.host_id for item in others} - {host.host_id},
                )

    def _disturb(self, hosts, seconds):
        for host in hosts:
            host.disturbed_at = max(host.disturbed_at, _virtualtime.read_clock() + seconds)

    def list_serving(self, host_id, now):
        """Returns the peers.Peer records that a host believes to serve."""
        until, hidden = self._views.get(host_id, (0.0, ()))
        hidden = hidden if now < until else ()
        listed = []
        for host in self.hosts:
            is_self = host.host_id == host_id
            # Others are known some time after their start.
            if not host.is_running or host.host_id in hidden:
                continue
            if not host.belief.is_complete and not is_self:
                continue
            peer = peers.Peer(host.record, 1, records.HostState.SERVING, now)
            peer.is_store_lost = host.watcher.is_store_lost
            listed.append(peer)
        return listed

    # Checks.

    def check(self, host):
        """Checks all rules at one host."""
        self.check_table(host)
        now = _virtualtime.read_clock()
        known = host.belief.configuration
        generation = known.generation if known else 0
        confirmed_at = host.belief.confirmed_at - CONFIRMATION_SLACK_S
        before = [version.number for at, version in self._acknowledged if at < confirmed_at]
        if host.is_calm(now) and before and generation < before[-1]:
            self.report(3, host.host_id, f"{generation} after {before[-1]}, confirmed")
        due = [version for at, version in self._acknowledged if at <= now - BOUNDS.apply_s]
        if not due or not host.is_calm(now):
            return
        others = [other for other in self.hosts if other is not host and other.is_running]
        # A host follows those of its region while any of them reaches the store.
        can_follow = (
            now - host.hides_until >= BOUNDS.contact_s
            and all(
                item.is_calm(now) for item in others if item.record.region == host.record.region
            )
            and any(other.is_calm(now) and other.is_served(now) for other in others)
        )
        if host.is_served(now):
            source = "store"
        elif can_follow:
            source = "peer"
        else:
            return
        self.counts[f"current by {source}"] += 1
        age_s = host.belief.get_configuration_age_s(now)
        if age_s > BOUNDS.apply_s:
            self.report(5, host.host_id, f"{generation} confirmed {age_s:.2f} s ago, {source}")
        if generation < due[-1].number:
            self.report(4, host.host_id, f"{generation} after {due[-1].number}, {source}")

    def check_table(self, host):
        """Checks rules 1 and 2 if the host has a new table or there are new probes."""
        known = host.belief.configuration
        if known is None:
            return
        if known.generation < host.generation:
            self.report(2, host.host_id, f"{known.generation} after {host.generation}")
        host.generation = known.generation
        table = host.belief.route_table
        if host.probed_table is table and host.probes is self._probes:
            return
        host.probed_table, host.probes = table, self._probes
        version = self._operator.versions.get(known.generation)
        if version is None:
            self.report(1, host.host_id, f"no version {known.generation}")
            return
        matched = set()
        for site, path in self._probes:
            route = table.find(site, path)
            expected = version.find(site, path)
            if route is None:
                is_right = expected is None
            else:
                is_right = expected is not None and expected[0] == route.route_id
                if is_right and expected[0] not in matched:
                    matched.add(expected[0])
                    is_right = operatorwrites.matches(route, *expected)
            if not is_right:
                self.report(1, host.host_id, f"{known.generation} {site}{path}: {route} {expected}")
        self.counts["probes"] += len(self._probes)


def play(seed, outage=None, has_only_losses=False):
    """Plays the run of a seed; returns the Run."""
    _virtualtime.start()
    run = Run(seed, outage, has_only_losses)
    run.play()
    return run


def main():
    """Plays the runs; exits with 1 if a host had something wrong."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="seed of the first run")
    parser.add_argument("--runs", type=int, default=20)
    parser.add_argument(
        "--outage",
        type=simulatedstore.Mode,
        help="only fault: so the store treats all hosts while it drops its history",
    )
    parser.add_argument(
        "--losses",
        action="store_true",
        help="only faults: the store holds all watches, loses its history and refuses some hosts",
    )
    parser.add_argument("--trace", action="store_true", help="print the hosts' last log lines")
    arguments = parser.parse_args()

    def play_seed(seed):
        return play(seed, arguments.outage, arguments.losses)

    play_all(play_seed, arguments.seed, arguments.runs, arguments.trace)


def play_all(play_seed, first_seed, count, has_trace):
    """Plays runs, prints their findings and ends the process, with 1 if a host had something wrong.

    Args:
      play_seed: Function of a seed that returns the Run that it has played.
      first_seed: Seed of the first run.
      count: Number of runs.
      has_trace: True to print the hosts' last log lines.
    """
    started_at = time.monotonic()
    counts = collections.Counter()
    wrong = collections.Counter()
    for seed in range(first_seed, first_seed + count):
        run = play_seed(seed)
        counts += run.counts
        wrong.update({finding.rule for finding in run.findings})
        wrong["any rule"] += bool(run.findings)
        for finding in run.findings[:3]:
            print(f"seed {seed}: {finding}")
        if has_trace:
            for line in run.trace:
                print(line)
    print(dict(counts))
    print(f"{count} runs, wrong by rule: {dict(wrong)}, {time.monotonic() - started_at:.1f} s")
    sys.stdout.flush()
    # The hosts' green threads have no end.
    os._exit(1 if wrong["any rule"] else 0)


if __name__ == "__main__":
    main()
