"""Load figures as hosts know them, with the delays of polls and exchanges between agents."""

import dataclasses
import enum
import random

from skylarksill import dispatching

POLL_INTERVAL_S = 0.2
EXCHANGE_INTERVAL_S = 1.0
OLD_REPORT_S = 30.0
MAX_LOAD_AGE_MS = 2_000


class Report(enum.Enum):
    """What happens to load figures on their way to other hosts."""

    FRESH = "fresh"
    FROZEN = "frozen"
    ZERO = "zero"
    OLD = "30s_old"


class Gossip:
    """Spreads the load figures of the dispatchers.

    Each daemon polls its agent every POLL_INTERVAL_S; each agent exchanges with 2 random peers of
    its zone and 1 of another zone every EXCHANGE_INTERVAL_S.

    Args:
      fleet: The steered.Fleet.
      report: A Report.
      seed: Seed of the peers and of the phases of the polls.
    """

    def __init__(self, fleet, report, seed=3):
        self._fleet = fleet
        self._report = report
        self._random = random.Random(seed)
        self._known = {host: {} for host in fleet.drivers}
        self._history = {host: [] for host in fleet.drivers}
        for host in fleet.drivers:
            poll_phase_s = self._random.uniform(0, POLL_INTERVAL_S)
            fleet.simulator.schedule(poll_phase_s, self._poll, host)
            exchange_phase_s = self._random.uniform(0, EXCHANGE_INTERVAL_S)
            fleet.simulator.schedule(exchange_phase_s, self._exchange, host)

    def list_loads(self, host):
        """Returns the messages.LoadEntry records that a host knows, with their ages as of now."""
        now = self._fleet.simulator.now
        return [
            dataclasses.replace(entry, age_ms=entry.age_ms + int((now - measured_at) * 1000))
            for measured_at, entries in self._known[host].values()
            for entry in entries
        ]

    def list_alive(self, host):
        """Returns the hosts whose figures a host has received within the last 3 s, and itself."""
        now = self._fleet.simulator.now
        known = self._known[host]
        return {other for other in known if now - self._seen_at(host, other) < 3.0} | {host}

    def _seen_at(self, host, other):
        return self._known[host][other][0]

    def _poll(self, host):
        self._fleet.simulator.schedule(POLL_INTERVAL_S, self._poll, host)
        driver = self._fleet.drivers[host]
        if not driver.is_alive:
            return
        now = self._fleet.simulator.now
        entries = driver.dispatcher.describe_load(now)
        self._known[host][host] = (now, self._distort(host, entries, now))
        driver.handle(self._make_peers(host))

    def _distort(self, host, entries, now):
        history = self._history[host]
        history.append((now, entries))
        match self._report:
            case Report.FROZEN:
                return self._select_old(history, self._fleet.start_s)
            case Report.OLD:
                old = self._select_old(history, now - OLD_REPORT_S)
                age_ms = int(OLD_REPORT_S * 1000)
                return tuple(dataclasses.replace(entry, age_ms=age_ms) for entry in old)
            case Report.ZERO:
                return tuple(
                    dataclasses.replace(entry, free=entry.slots, queued=0, in_flight=0)
                    for entry in entries
                )
            case _:
                history.clear()
                return entries

    def _select_old(self, history, time):
        while len(history) > 1 and history[1][0] <= time:
            history.pop(0)
        return history[0][1]

    def _make_peers(self, host):
        serving = self.list_alive(host)
        siblings = tuple(
            dispatching.SiblingLoad(
                load.host, load.service, load.free if load.age_ms <= MAX_LOAD_AGE_MS else 0
            )
            for load in self.list_loads(host)
            if load.host in serving and self._fleet.is_sibling(host, load.host)
        )
        accepted = tuple((other, self._fleet.generations[other]) for other in self._fleet.drivers)
        return dispatching.PeerViewReceived(accepted, siblings)

    def _exchange(self, host):
        self._fleet.simulator.schedule(EXCHANGE_INTERVAL_S, self._exchange, host)
        if not self._fleet.drivers[host].is_alive:
            return
        for peer in self._choose_peers(host):
            delay_s = self._fleet.compute_host_delay(host, peer)
            self._fleet.simulator.schedule(delay_s, self._merge, host, peer, delay_s)

    def _choose_peers(self, host):
        zone = self._fleet.zones[host]
        alive = [other for other in self._fleet.drivers if other != host]
        same = [other for other in alive if self._fleet.zones[other] == zone]
        others = [other for other in alive if self._fleet.zones[other] != zone]
        return self._random.sample(same, min(2, len(same))) + self._random.sample(others, 1)

    def _merge(self, asker, answerer, delay_s):
        if not self._fleet.drivers[answerer].is_alive:
            return
        _take_newer(self._known[answerer], self._known[asker])
        copy = dict(self._known[answerer])
        self._fleet.simulator.schedule(delay_s, _take_newer, self._known[asker], copy)


def _take_newer(known, offered):
    for host, (measured_at, entries) in offered.items():
        if host not in known or known[host][0] < measured_at:
            known[host] = (measured_at, entries)
