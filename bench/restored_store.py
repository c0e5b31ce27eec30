"""Hosts whose store returns from an older copy again and again, in virtual time.

``python -m bench.restored_store --seed 1 --runs 100`` plays random series of writes and of such
returns, and prints what each host had wrong; see bench.configuration_spread. What a return
loses is written again soon after it.
"""

import argparse

import eventlet

from bench import _spreadhost, _virtualtime, configuration_spread
from standins import platformdata, simulatedstore

BOUNDS = _spreadhost.BOUNDS
REMOVAL_RULE = 6
LAPSE_RULE = 7
RESTORED_RULE = 8
EVACUATION_RULE = 9
FIRST_UPSTREAMS = 8
# Time in which the hosts read everything before something happens.
SETTLE_S = 5.0
WRITE_PAUSE_S = 0.6
SERVED_S = (5.0, 9.0)
AWAY_S = (0.2, 2.0)
AWAY_MODES = (simulatedstore.Mode.SILENT, simulatedstore.Mode.RESETTING)
COPY_AGE_S = (0.5, 6.0)
# What is lost is written again in this time after the return.
BACK_AFTER_S = 1.8


class RestoredRun(configuration_spread.Run):
    """One run, in which links are sound and the store returns from older copies.

    Besides the rules of ``Run`` each host has to keep these:

    6. It uses no upstream ``drain_s`` after its removal was written, or written again, if the store
       has been there since, and for ``contact_s`` before.
    7. It doesn't forget an upstream that lives.
    8. It uses no upstream again that it knew to have left.
    9. It sends to no zone again that it had known to be evacuated for a while, before the operator
       takes that back.

    Args:
      seed: Seed of everything that happens.
    """

    def __init__(self, seed):
        super().__init__(seed)
        # Specs of all objects by kind and name as their writers know them.
        self._written = {}
        # When upstreams began to leave, and when evacuations last began or ended, by name.
        self._removed_at = {}
        self._evacuated_at = {}
        # From when on the store has been there for long enough to bind hosts.
        self._bound_from = float("-inf")
        self._is_restoring = False
        # Pairs of host and name: for REMOVAL_RULE those that broke it, else those that it binds.
        self._known = {
            rule: set() for rule in (LAPSE_RULE, RESTORED_RULE, EVACUATION_RULE, REMOVAL_RULE)
        }
        self._upstream_count = 0

    # Writers.

    def _publish(self, version):
        super()._publish(version)
        self._written["config", "main"] = version.spec

    def _write_versions(self, end):
        while _virtualtime.read_clock() < end:
            pause_s = self._random.choice((0.3, 1.0, 2.0, 4.0))
            eventlet.sleep(pause_s * (0.5 + self._random.random()))
            if not self._is_restoring:
                self._publish(self._operator.write())

    def _write_others(self, end):
        for _ in range(FIRST_UPSTREAMS):
            self._add_upstream()
        eventlet.sleep(SETTLE_S)
        while _virtualtime.read_clock() < end:
            eventlet.sleep(self._random.random() * WRITE_PAUSE_S)
            if not self._is_restoring:
                self._random.choice(
                    (self._add_upstream, self._remove_upstream, self._drain, self._evacuate)
                )()

    def _write(self, kind, name, spec):
        self._written[kind, name] = spec
        if spec is None:
            self.store.delete(kind, name)
        else:
            self.store.write(kind, name, spec)

    def _add_upstream(self):
        self._write("servers", f"r-{self._upstream_count}", platformdata.build_upstream_spec())
        self._upstream_count += 1

    def _choose_upstream(self, state):
        """Returns the name of an upstream in a state, or None."""
        names = [
            name
            for (kind, name), spec in self._written.items()
            if kind == "servers" and spec and spec["state"] == state
        ]
        return self._random.choice(names) if names else None

    def _remove_upstream(self):
        name = self._choose_upstream(self._random.choice(("ready", "draining")))
        if name is not None:
            self._write("servers", name, None)
            self._removed_at.setdefault(name, _virtualtime.read_clock())

    def _drain(self):
        name = self._choose_upstream("ready")
        if name is not None:
            spec = platformdata.build_upstream_spec(state="draining")
            self._write("servers", name, spec)
            self._removed_at[name] = _virtualtime.read_clock()

    def _evacuate(self):
        zone = self._random.choice(list(_spreadhost.ZONES))
        is_evacuated = self._written.get(("evacuations", zone)) is not None
        self._write("evacuations", zone, None if is_evacuated else {})
        self._evacuated_at[zone] = _virtualtime.read_clock()
        if is_evacuated:
            for host in self.hosts:
                self._known[EVACUATION_RULE].discard((host.host_id, zone))

    # Returns from older copies.

    def _choose_cause(self):
        return self._return_again

    def _return_again(self, end):
        eventlet.sleep(SETTLE_S)
        while _virtualtime.read_clock() < end:
            eventlet.sleep(self._random.uniform(*SERVED_S))
            self._is_restoring = True
            self._bound_from = float("inf")
            away_s = self._random.uniform(*AWAY_S)
            eventlet.spawn(self._disturb_store, self.hosts, self._random.choice(AWAY_MODES), away_s)
            eventlet.sleep(away_s)
            self._return()
            eventlet.sleep(BACK_AFTER_S + configuration_spread.CHECK_INTERVAL_S)
            self._is_restoring = False

    def _return(self):
        lost = self.store.return_from_copy(self._random.uniform(*COPY_AGE_S))
        self._bound_from = _virtualtime.read_clock() + BOUNDS.contact_s
        self.counts["returns"] += 1
        self.counts["lost writes"] += len(lost)
        # Versions that are lost bind hosts from when they are written again.
        lost_at = [at for at, kind, _, _ in lost if kind == "config"]
        versions = [version for at, version in self._acknowledged if lost_at and at >= lost_at[0]]
        self._acknowledged = self._acknowledged[: len(self._acknowledged) - len(versions)]
        for kind, name in dict.fromkeys((kind, name) for _, kind, name, _ in lost):
            eventlet.spawn(
                self._write_again, kind, name, BACK_AFTER_S * self._random.random(), versions
            )

    def _write_again(self, kind, name, delay_s, versions):
        eventlet.sleep(delay_s)
        spec = self._written[kind, name]
        self._write(kind, name, spec)
        now = _virtualtime.read_clock()
        if kind == "config":
            self._acknowledged += [(now, version) for version in versions]
        if name in self._removed_at:
            self._removed_at[name] = now

    # Checks.

    def check(self, host):
        """Checks all rules at one host."""
        super().check(host)
        known = host.belief
        for (kind, name), spec in self._written.items():
            if kind == "servers":
                is_used = name in known.upstreams and known.upstreams[name].state.value == "ready"
                self._check_upstream(host, name, spec, is_used)
            if kind == "evacuations" and spec is not None:
                now = _virtualtime.read_clock()
                is_kept = name in known.evacuated
                if not is_kept or now - self._evacuated_at[name] > BOUNDS.drain_s:
                    self._check_known(EVACUATION_RULE, host, name, is_kept, "is sent to again")

    def _check_upstream(self, host, name, spec, is_used):
        now = _virtualtime.read_clock()
        if spec is not None and spec["state"] == "ready":
            self._check_known(LAPSE_RULE, host, name, is_used, "is forgotten")
            return
        if (host.host_id, name) in self._known[LAPSE_RULE]:
            self._check_known(RESTORED_RULE, host, name, not is_used, "is used again")
        bound_from = max(self._removed_at[name], self._bound_from)
        late_s = now - bound_from - BOUNDS.drain_s
        if is_used and late_s > 0.0 and (host.host_id, name) not in self._known[REMOVAL_RULE]:
            self._known[REMOVAL_RULE].add((host.host_id, name))
            self.report(REMOVAL_RULE, host.host_id, f"{name} used {late_s:.2f} s too late")

    def _check_known(self, rule, host, name, is_so, detail):
        """Reports once if something is no longer so at a host where it was before."""
        key = (host.host_id, name)
        if is_so:
            self._known[rule].add(key)
        elif key in self._known[rule]:
            self._known[rule].discard(key)
            self.report(rule, host.host_id, f"{name} {detail}")
        self.counts["states checked"] += 1


def play(seed):
    """Plays the run of a seed; returns the RestoredRun."""
    _virtualtime.start()
    run = RestoredRun(seed)
    run.play()
    return run


def main():
    """Plays the runs; exits with 1 if a host had something wrong."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="seed of the first run")
    parser.add_argument("--runs", type=int, default=20)
    parser.add_argument("--trace", action="store_true", help="print the hosts' last log lines")
    arguments = parser.parse_args()
    configuration_spread.play_all(play, arguments.seed, arguments.runs, arguments.trace)


if __name__ == "__main__":
    main()
