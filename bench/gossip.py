"""Runs peer tables of many hosts against each other in virtual time and counts their cost.

Each line gives, per host: bytes per second sent and received in frames, bytes with TCP/IP headers,
processor time of the pure modules and of encoding, and memory of one table.
"""

import argparse
import heapq
import random
import time

import psutil

from skylarksill import frames, membership, messages, records

FRAME_BYTES = 28
# Zone summaries have reached all hosts by then.
WARM_UP_S = 8
# One segment's headers and the other side's acknowledgement.
PACKET_BYTES = 2 * 52
SEGMENT_BYTES = 1448
MARK = messages.HeadMark(1, 1_000_000, "0123456789abcdef")
SERVICES = ("catalogue", "deposits", "yard")


def build_fleet(count, per_zone=32, zones_per_region=2.3):
    """Builds a Configuration with ``count`` hosts in zones and regions, without upstreams."""
    zone_count = max(1, -(-count // per_zone))
    zones = tuple(
        records.Zone(f"zone-{index:02}", f"region-{int(index / zones_per_region):02}")
        for index in range(zone_count)
    )
    hosts = tuple(
        records.Host(f"host-{i:04}", zones[i % zone_count].zone_id, "127.0.11.1", 1, 2, 3, 4)
        for i in range(count)
    )
    services = tuple(records.Service(name, records.WorkKind.IDEMPOTENT, 50) for name in SERVICES)
    regions = tuple(
        records.Region(name, 100, 20) for name in sorted({zone.region_id for zone in zones})
    )
    return records.Configuration("bench", 1, regions, zones, hosts, services, (), ())


class Fleet:
    """Tables of many hosts with virtual time; ``cut`` holds hosts that answer nobody.

    Args:
      configuration: Names the hosts.
      seed: Seed of all choices.
      measured: Number of hosts whose cost is counted.
    """

    def __init__(self, configuration, seed):
        self.random = random.Random(seed)
        self.now = 1000.0
        self.sent = {host.host_id: 0 for host in configuration.hosts}
        self.received = dict(self.sent)
        self.packets = dict(self.sent)
        self.busy_s = 0.0
        self.false_downs = 0
        self.cut = set()
        self.found_down = {}
        self.tables = {}
        self.choices = {}
        self._topologies = {}
        self._events = []
        for host in configuration.hosts:
            self._add_host(configuration, host)

    def run(self, seconds):
        """Runs exchanges for ``seconds`` of virtual time."""
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            self.now, host = heapq.heappop(self._events)
            heapq.heappush(self._events, (self.now + 1.0, host))
            if host not in self.cut:
                self._tick(host)
        self.now = end

    def count_wrong(self):
        """Counts pairs of a table and a host that it judges wrongly."""
        wrong = 0
        for host, table in self.tables.items():
            if host not in self.cut:
                hosts = table.topology.hosts
                wrong += sum(table.is_alive(other) == (other in self.cut) for other in hosts)
        return wrong

    def _add_host(self, configuration, host):
        zone = host.zone_id
        if zone not in self._topologies:
            self._topologies[zone] = membership.build_topology(configuration, zone)
        part = messages.ProgramEntry(
            "dispatch", f"{host.host_id}-1", records.LifecycleState.SERVING
        )
        entry = messages.PeerEntry(
            host.host_id,
            zone,
            "1",
            1_700_000_000_000,
            1,
            records.LifecycleState.SERVING,
            (part,) * 3,
        )
        table = membership.PeerTable(entry, self.now)
        table.set_topology(self._topologies[zone])
        self.tables[host.host_id] = table
        self.choices[host.host_id] = membership.PeerChoice(random.Random(self.random.random()))
        heapq.heappush(self._events, (self.now + self.random.random(), host.host_id))

    def _tick(self, host):
        table = self.tables[host]
        started = time.process_time()
        table.increment_heartbeat(self.now, self._make_loads(host))
        table.summarise_zone(self.now, 1_700_000_000 + self.now)
        for other in table.mark_down(self.now):
            if other in self.cut:
                self.found_down.setdefault(other, []).append(self.now)
            else:
                self.false_downs += 1
        targets = self.choices[host].choose_peers(table, self.now)
        for target in targets:
            if target not in self.cut:
                self._exchange(host, target)
        self.busy_s += time.process_time() - started

    def _make_loads(self, host):
        return tuple(
            messages.LoadEntry(
                host, name, 200, self.random.randrange(200), self.random.randrange(9), 130
            )
            for name in SERVICES
        )

    def _exchange(self, host, target):
        asking, answering = self.tables[host], self.tables[target]
        digest = membership.make_digest(asking, answering.zone)
        question = self._carry(host, target, asking, mark=MARK, digest=digest)
        delta = membership.answer_digest(answering, question.digest, question.zone, self.now)
        answer = self._carry(target, host, answering, True, delta=delta)
        membership.merge_delta(asking, answer.delta, self.now)
        delta = membership.make_delta(asking, answer.delta, answer.zone, self.now)
        if delta is not None:
            completion = self._carry(host, target, asking, delta=delta)
            membership.merge_delta(answering, completion.delta, self.now)
            delta = None
            if completion.delta.wanted_records:
                delta = membership.make_delta(
                    answering, completion.delta, completion.zone, self.now
                )
            last = self._carry(target, host, answering, True, delta=delta)
            if last.delta is not None:
                membership.merge_delta(asking, last.delta, self.now)

    def _carry(self, sender, receiver, table, is_answer=False, **fields):
        fields.setdefault("is_same_mark", "mark" not in fields)
        message = messages.ExchangeMessage(
            sender, table.zone, suspects_check=0, instances_version=1_000_000, **fields
        )
        body = messages.encode_message(message)
        call = {"id": 70_000, "method": "exchange", "body": body}
        answer = {"id": 70_000, "ok": True, "body": body}
        payload = frames.pack_payload(answer if is_answer else call)
        size = FRAME_BYTES + len(payload)
        self.sent[sender] += size
        self.received[receiver] += size
        count = -(-size // SEGMENT_BYTES)
        self.packets[sender] += count
        self.packets[receiver] += count
        body = frames.unpack_payload(payload)["body"]
        return messages.decode_message(messages.ExchangeMessage, body)


def measure(count, seconds, seed):
    """Returns a line with the cost per host of a fleet of ``count`` hosts."""
    configuration = build_fleet(count)
    process = psutil.Process()
    before = process.memory_info().rss
    fleet = Fleet(configuration, seed)
    fleet.run(WARM_UP_S)
    memory = (process.memory_info().rss - before) / count
    for counts in (fleet.sent, fleet.received, fleet.packets):
        counts.update(dict.fromkeys(counts, 0))
    fleet.busy_s = 0.0
    fleet.false_downs = 0
    fleet.run(seconds)
    wrong = fleet.count_wrong()
    scale = 1 / count / seconds
    both = (sum(fleet.sent.values()) + sum(fleet.received.values())) * scale
    on_wire = both + sum(fleet.packets.values()) * scale * PACKET_BYTES
    return (
        f"gossip: hosts={count} sent_bytes_s={sum(fleet.sent.values()) * scale:.0f} "
        f"both_ways_bytes_s={both:.0f} with_headers_bytes_s={on_wire:.0f} "
        f"cpu_ms_s={fleet.busy_s * scale * 1000:.2f} table_kb={memory / 1000:.0f} "
        f"false_downs={fleet.false_downs} wrong_now={wrong} seed={seed}"
    )


def main():
    """Prints one line for each size."""
    parser = argparse.ArgumentParser(prog="bench.gossip")
    parser.add_argument("--hosts", default="7,64,500,2000", help="sizes, separated by commas")
    parser.add_argument("--seconds", type=int, default=10, help="virtual seconds that are counted")
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    for count in arguments.hosts.split(","):
        print(measure(int(count), arguments.seconds, arguments.seed), flush=True)


if __name__ == "__main__":
    main()
