"""Model of the hosts' membership: real peer tables and datagrams in virtual time, with faults.

``python -m bench.heartbeat_model --hosts 30,100,300`` prints one line for each number of hosts and
scenario: when all hosts have noticed the change, how often a live host was taken for a dead one,
and what a host spends.
"""

import argparse
import collections
import dataclasses
import enum
import random
import time

from skylarksill.host import _peercodec, exchange, peers, records

HOSTS_PER_REGION = 74
MIN_REGIONS = 3
ZONES_PER_REGION = 3
DATAGRAM_DELAY_S = 0.06
# The hosts learn of each other first; faults begin afterwards.
WARM_UP_S = 10.0
OBSERVED_S = 20.0
# A frozen host wakes up again; until then the others may take it for dead.
FREEZE_S = 4.0
# Hosts that state their capacity and report their load have the longest records.
CAPACITY = records.HostCapacity(1.7, 12_500_000.0, 300_000_000, 4096)
LOAD = records.HostLoad(150.0, 0.3, 0.1, 0.05, 0.02)


class Scenario(enum.Enum):
    """What happens after the warm-up."""

    CALM = "calm"
    DEATHS = "deaths"
    FREEZES = "freezes"
    ONE_WAY = "one_way"
    RESTART_ALL = "restart_all"


@dataclasses.dataclass(slots=True)
class Result:
    """Outcome of a run.

    Attributes:
      noticed_s: Seconds from the change until each host lists exactly the hosts that serve; None if
        some did not by the end of the run.
      false_deaths: Number of times that a host counted a live, undisturbed one as dead in a round.
      checks: Number of pairs of hosts and rounds in which this could have happened.
      sent_bytes_s: Bytes of datagrams that a host sends in a second.
      far_bytes_s: The part of them that goes to other regions.
      processor_ms_s: Milliseconds of processor time that a host spends in a second.
      largest_bytes: Size of the largest datagram.
    """

    noticed_s: float | None
    false_deaths: int
    checks: int
    sent_bytes_s: float
    far_bytes_s: float
    processor_ms_s: float
    largest_bytes: int


class Model:
    """Hosts that exchange heartbeats in virtual time.

    Args:
      host_count: Number of hosts.
      loss: Share of the datagrams that are lost.
      seed: Seed of all choices.
    """

    def __init__(self, host_count, loss, seed):
        self._random = random.Random(seed)
        self._loss = loss
        self._records = [_build_record(index, host_count) for index in range(host_count)]
        self._names = {record.gossip: record.host_id for record in self._records}
        self._tables = {}
        self._arriving = collections.deque()
        self._silent_until = {}
        self._mute = set()
        self._round = 0
        self._sent_bytes = self._far_bytes = self._largest_bytes = 0
        self._processor_s = 0.0
        self._rounds_of_hosts = 0
        self._start_all(0.0)

    def list_regions(self):
        """Returns the names of the regions in order."""
        return sorted({record.region for record in self._records})

    def run(self, scenario):
        """Runs a scenario after the warm-up; returns the Result."""
        for _ in range(int(WARM_UP_S / peers.ROUND_S)):
            self._run_round()
        affected = self._apply(scenario)
        rows = []
        for _ in range(int(OBSERVED_S / peers.ROUND_S)):
            self._run_round()
            rows.append(self._observe(affected))
        is_back = scenario is Scenario.FREEZES
        settled = _find_settled_round(rows, is_back)
        # Hosts that have just restarted do not know each other yet, which is no false death.
        counted = rows[settled:] if scenario is Scenario.RESTART_ALL else rows
        seconds = self._rounds_of_hosts * peers.ROUND_S
        return Result(
            None if settled == len(rows) else settled * peers.ROUND_S,
            sum(row.missing for row in counted),
            sum(row.checks for row in counted),
            self._sent_bytes / seconds,
            self._far_bytes / seconds,
            1000.0 * self._processor_s / seconds,
            self._largest_bytes,
        )

    def _start_all(self, now):
        self._tables = {}
        for record in self._records:
            incarnation = record.incarnation + int(now * 1000)
            own = dataclasses.replace(record, incarnation=incarnation)
            table = self._tables[record.host_id] = peers.PeerTable(own, now)
            for other in self._records:
                if other is not record:
                    table.add_candidate(other, now)

    def _apply(self, scenario):
        """Begins the fault of a scenario; returns the ids of the hosts that it affects."""
        now = self._round * peers.ROUND_S
        first_of_regions = {record.region: record.host_id for record in reversed(self._records)}
        chosen = set(first_of_regions.values())
        match scenario:
            case Scenario.CALM:
                return set()
            case Scenario.DEATHS:
                self._silent_until = dict.fromkeys(chosen, float("inf"))
            case Scenario.FREEZES:
                self._silent_until = dict.fromkeys(chosen, now + FREEZE_S)
            case Scenario.ONE_WAY:
                self._mute = chosen
            case Scenario.RESTART_ALL:
                self._arriving.clear()
                self._start_all(now)
                return set()
        return chosen

    def _run_round(self):
        order = list(self._tables.items())
        self._random.shuffle(order)
        base = self._round * peers.ROUND_S
        started_at = time.process_time()
        for index, (host_id, table) in enumerate(order):
            now = base + peers.ROUND_S * index / len(order)
            self._deliver(now)
            if not self._is_silent(host_id, now):
                self._send(table, now)
        self._round += 1
        self._deliver(self._round * peers.ROUND_S)
        self._processor_s += time.process_time() - started_at
        self._rounds_of_hosts += len(order)

    def _send(self, table, now):
        table.set_own_load(LOAD)
        table.increment_heartbeat(records.HostState.SERVING, now, {"catalogue": 0.3})
        for digest, addresses in exchange.make_messages(table, [], [], now, self._random):
            self._transmit(table, digest, [self._names[address] for address in addresses], now)

    def _transmit(self, table, digest, receiver_ids, now):
        """Sends a digest to some hosts and counts its bytes; some of the datagrams are lost."""
        datagram = _peercodec.encode_digest(digest, now)
        self._largest_bytes = max(self._largest_bytes, len(datagram))
        for receiver_id in receiver_ids:
            self._sent_bytes += len(datagram)
            if self._tables[receiver_id].own.region != table.own.region:
                self._far_bytes += len(datagram)
            is_lost = self._random.random() < self._loss
            if not is_lost and table.own.host_id not in self._mute:
                arrival = (now + DATAGRAM_DELAY_S, receiver_id, table.own.host_id, datagram)
                self._arriving.append(arrival)

    def _deliver(self, now):
        while self._arriving and self._arriving[0][0] <= now:
            at, receiver_id, sender_id, datagram = self._arriving.popleft()
            if self._is_silent(receiver_id, at):
                continue
            table = self._tables[receiver_id]
            digest = _peercodec.decode_digest(datagram, at)
            reply = exchange.receive_digest(table, digest, at, self._random).reply
            if reply is not None:
                self._transmit(table, reply, [sender_id], at)

    def _is_silent(self, host_id, now):
        return now < self._silent_until.get(host_id, 0.0)

    def _observe(self, affected):
        """Counts what the hosts that are not affected list."""
        now = self._round * peers.ROUND_S
        row = _Row()
        sound = self._tables.keys() - affected
        for host_id in sound:
            listed = {peer.record.host_id for peer in self._tables[host_id].list_serving(now)}
            row.missing += len(sound - listed)
            row.checks += len(sound)
            row.named_affected += len(listed & affected)
            row.most_affected += len(affected)
        return row


@dataclasses.dataclass(slots=True)
class _Row:
    """Counts over all observing hosts at the end of a round.

    Attributes:
      missing: Number of sound hosts that an observer does not list.
      checks: Number of pairs of observers and sound hosts.
      named_affected: Number of affected hosts that an observer lists.
      most_affected: The largest possible value of it.
    """

    missing: int = 0
    checks: int = 0
    named_affected: int = 0
    most_affected: int = 0


def _find_settled_round(rows, is_back):
    """Returns the first round from which all lists are right until the end.

    Args:
      rows: The _Row of each round.
      is_back: True if the affected hosts have to be listed again, False if they must not be listed.
    """
    settled = 0
    for number, row in enumerate(rows, start=1):
        expected = row.most_affected if is_back else 0
        if row.missing or row.named_affected != expected:
            settled = number
    return settled


def _build_record(index, host_count):
    region_count = max(MIN_REGIONS, round(host_count / HOSTS_PER_REGION))
    region = f"region-{index % region_count:02}"
    zone = f"{region}-{index // region_count % ZONES_PER_REGION}"
    name = f"host-{index:04}"
    return records.HostRecord(name, 1, zone, region, (name, 80), (name, 81), CAPACITY)


def main():
    """Prints one line for each number of hosts and scenario."""
    parser = argparse.ArgumentParser(prog="python -m bench.heartbeat_model")
    parser.add_argument("--hosts", default="30,100,300", help="numbers of hosts")
    parser.add_argument("--loss", type=float, default=0.03, help="share of lost datagrams")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--scenario", action="append", choices=[scenario.value for scenario in Scenario]
    )
    arguments = parser.parse_args()
    names = arguments.scenario or [scenario.value for scenario in Scenario]
    for host_count in map(int, arguments.hosts.split(",")):
        for name in names:
            result = Model(host_count, arguments.loss, arguments.seed).run(Scenario(name))
            noticed = "never" if result.noticed_s is None else f"{result.noticed_s:.1f}"
            print(
                f"hosts={host_count} scenario={name} noticed_s={noticed}"
                f" false_deaths={result.false_deaths} of={result.checks}"
                f" bytes_s={result.sent_bytes_s:.0f} far_bytes_s={result.far_bytes_s:.0f}"
                f" processor_ms_s={result.processor_ms_s:.2f}"
                f" largest_bytes={result.largest_bytes}",
                flush=True,
            )


if __name__ == "__main__":
    main()
