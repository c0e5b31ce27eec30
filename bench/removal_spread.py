"""Hosts that learn of removed upstreams while the store refuses some of them, in virtual time.

``python -m bench.removal_spread --seed 1 --runs 100`` plays random series of removals and refusals,
and prints which hosts knew a removed upstream for too long; see bench.configuration_spread. With
``--outages`` the store is away for all hosts, and entries that expire in that time come
back soon after it.
"""

import argparse

import eventlet

from bench import _spreadhost, _virtualtime, configuration_spread
from standins import platformdata, simulatedstore

BOUNDS = _spreadhost.BOUNDS
REMOVAL_RULE = 6
LAPSE_RULE = 7
UPSTREAM_COUNT = 24
# Time in which the hosts read everything before something happens.
SETTLE_S = 5.0
REMOVAL_INTERVAL_S = 2.5
PAUSE_S = 3.0
REFUSAL_S = (0.5, 1.5, 4.0, 9.0)
# The store is away for all hosts, and has then been there for them for a while.
# Watches that wait don't answer.
OUTAGES = (simulatedstore.Mode.SILENT, simulatedstore.Mode.RESETTING)
OUTAGE_S = (2.1, 6.0)
SERVED_S = (6.0, 8.0)
# Entries expire from this long after the beginning of an outage, and are back in this time after
# its end. The users' page says about two seconds.
EXPIRE_AFTER_S = 1.0
BACK_AFTER_S = 1.8
# Ways in which the store keeps a host from reading.
REFUSALS = (
    simulatedstore.Mode.SILENT,
    simulatedstore.Mode.REFUSING,
    simulatedstore.Mode.RESETTING,
)


class RemovalRun(configuration_spread.Run):
    """One run, in which links are sound and the store always serves at least one host.

    A host that the store refuses can thus learn of removals from others. Besides the rules of
    ``Run`` it has to keep this one:

    6. It doesn't know an upstream ``drain_s`` after its removal.

    Args:
      seed: Seed of everything that happens.
    """

    def __init__(self, seed):
        super().__init__(seed)
        self._removed_at = {}
        self._found = set()

    def _write_others(self, end):
        for index in range(UPSTREAM_COUNT):
            self.store.write("servers", f"r-{index}", platformdata.build_upstream_spec())
        eventlet.sleep(SETTLE_S)
        for index in range(UPSTREAM_COUNT):
            if _virtualtime.read_clock() >= end:
                return
            eventlet.sleep(self._random.random() * REMOVAL_INTERVAL_S)
            self.store.delete("servers", f"r-{index}")
            self._removed_at[f"r-{index}"] = _virtualtime.read_clock()
            self.counts["removals"] += 1

    def _choose_cause(self):
        return self._refuse_some

    def _refuse_some(self, end):
        eventlet.sleep(SETTLE_S)
        while _virtualtime.read_clock() < end:
            eventlet.sleep(self._random.random() * PAUSE_S)
            count = self._random.randint(1, len(self.hosts) - 1)
            refused = self._random.sample(self.hosts, count)
            seconds = self._random.choice(REFUSAL_S)
            self._disturb_store(refused, self._random.choice(REFUSALS), seconds)
            self.counts["refusals"] += 1

    def check(self, host):
        """Checks all rules at one host."""
        super().check(host)
        now = _virtualtime.read_clock()
        for name, removed_at in self._removed_at.items():
            if now - removed_at <= BOUNDS.drain_s or (host.host_id, name) in self._found:
                continue
            self.counts["upstreams checked"] += 1
            if name in host.belief.upstreams:
                self._found.add((host.host_id, name))
                detail = f"{name} known {now - removed_at:.2f} s after its removal"
                self.report(REMOVAL_RULE, host.host_id, detail)


class OutageRun(configuration_spread.Run):
    """One run, in which links are sound and the store is away for all hosts at the same time.

    Besides the rules of ``Run`` each host has to keep this one:

    7. It knows an upstream whose entry is removed in an outage and is back soon after its end.

    Args:
      seed: Seed of everything that happens.
    """

    def __init__(self, seed):
        super().__init__(seed)
        self._expired = set()

    def _write_others(self, end):
        del end
        for index in range(UPSTREAM_COUNT):
            self.store.write("servers", f"r-{index}", platformdata.build_upstream_spec())

    def _choose_cause(self):
        return self._be_away

    def _be_away(self, end):
        eventlet.sleep(SETTLE_S)
        while _virtualtime.read_clock() < end:
            seconds = self._random.uniform(*OUTAGE_S)
            eventlet.spawn(self._disturb_store, self.hosts, self._random.choice(OUTAGES), seconds)
            names = self._random.sample(range(UPSTREAM_COUNT), UPSTREAM_COUNT // 2)
            for index in names:
                eventlet.spawn(self._expire, f"r-{index}", seconds)
            self.counts["outages"] += 1
            eventlet.sleep(seconds + self._random.uniform(*SERVED_S))

    def _expire(self, name, outage_s):
        expires_after_s = self._random.uniform(EXPIRE_AFTER_S, outage_s)
        eventlet.sleep(expires_after_s)
        self.store.delete("servers", name)
        self._expired.add(name)
        eventlet.sleep(outage_s - expires_after_s + BACK_AFTER_S * self._random.random())
        self.store.write("servers", name, platformdata.build_upstream_spec())
        self._expired.discard(name)

    def check(self, host):
        """Checks all rules at one host."""
        super().check(host)
        for name in sorted(self._expired):
            self.counts["expired checked"] += 1
            if name not in host.belief.upstreams:
                self.report(LAPSE_RULE, host.host_id, f"{name} forgotten")


def play(seed, has_outages=False):
    """Plays the run of a seed; returns the RemovalRun or OutageRun."""
    _virtualtime.start()
    run = (OutageRun if has_outages else RemovalRun)(seed)
    run.play()
    return run


def main():
    """Plays the runs; exits with 1 if a host had something wrong."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="seed of the first run")
    parser.add_argument("--runs", type=int, default=20)
    parser.add_argument("--trace", action="store_true", help="print the hosts' last log lines")
    parser.add_argument("--outages", action="store_true", help="the store is away for all hosts")
    arguments = parser.parse_args()

    def play_seed(seed):
        return play(seed, arguments.outages)

    configuration_spread.play_all(play_seed, arguments.seed, arguments.runs, arguments.trace)


if __name__ == "__main__":
    main()
