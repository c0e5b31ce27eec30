"""Look-ups and entry processes on the virtual time of the queueing model."""

import ipaddress
import itertools
import random

from skylarksill import forwarding, messages, records, retries, routing

OBSERVE_INTERVAL_S = 0.2
NETWORKS_PER_ZONE = 128
LIFETIME_S = 5.0
MOVED_LIFETIME_S = 2.0
CONNECT_TIMEOUT_S = 1.0

_NEAREST_CAUSES = (routing.Cause.NEAREST, routing.Cause.SHIFT)
_PARTS = tuple(
    messages.ProgramEntry(part, records.Incarnation("1"), records.LifecycleState.SERVING)
    for part in ("lookup", "entry", "dispatch", "agent")
)


class HostSteering:
    """The routing table and view that the look-up and entry processes of one host share.

    Attributes:
      table: The RoutingTable in force.
      view: The SteeringView.
      loads: Maps pairs of host and service to the latest LoadEntry.
    """

    def __init__(self, fleet, host):
        self.table = None
        self.view = routing.SteeringView()
        self.loads = {}
        self.budgets = {}
        self._fleet = fleet
        self._host = host
        self.accept_configuration(fleet.configuration)
        self._observe()

    def accept_configuration(self, configuration):
        """Builds the routing table of a configuration."""
        self.table = routing.RoutingTable.build(configuration)
        for service in configuration.services:
            self.budgets.setdefault(service.service_id, retries.RetryBudget())

    def _observe(self):
        fleet = self._fleet
        fleet.simulator.schedule(OBSERVE_INTERVAL_S, self._observe)
        if not fleet.drivers[self._host].is_alive:
            return
        loads = fleet.gossip.list_loads(self._host)
        self.loads = {(load.host, load.service): load for load in loads}
        alive = fleet.gossip.list_alive(self._host)
        peers = tuple(self._make_peer(host, host in alive) for host in fleet.drivers)
        self.view.apply_report(self.table, peers, loads, fleet.simulator.now)

    def _make_peer(self, host, is_alive):
        generation = self._fleet.generations[host]
        state = self._fleet.host_states[host]
        entry = messages.PeerEntry(host, self._fleet.zones[host], "1", 1, generation, state, _PARTS)
        return messages.PeerView(entry, is_alive, 0)


class Clients:
    """Clients of all zones: they look up, keep the answer for its lifetime and send requests.

    Args:
      fleet: The steered.Fleet.
    """

    def __init__(self, fleet):
        self._fleet = fleet
        self._addresses = _make_addresses(fleet.configuration)
        self._cached = {}
        self._numbers = itertools.count()
        self._random = random.Random(11)

    def submit(self, job):
        """Sends a job to the first entry host of the client's look-up."""
        network = self._random.randrange(NETWORKS_PER_ZONE)
        self._send(job, network, 0)

    def _send(self, job, network, tries):
        fleet = self._fleet
        ranking, failed = self._look_up(job, network)
        hosts = [host.host_id for host in ranking.hosts if host.host_id not in failed]
        if not hosts or tries > 3:
            fleet.refuse(job, "no_entry_host", records.Verdict.NOT_RUN)
            return
        entry = hosts[0]
        if not fleet.drivers[entry].is_alive:
            failed.add(entry)
            fleet.simulator.schedule(CONNECT_TIMEOUT_S, self._send, job, network, tries + 1)
            return
        delay_s = fleet.compute_delay(job.zone, fleet.zones[entry])
        ticket = ranking.ticket_hosts
        if fleet.is_idempotent(job.service):
            ticket = None
        job.travel_s += 2 * delay_s
        entry_run = EntryRun(fleet, entry, job, ticket, delay_s, next(self._numbers))
        fleet.simulator.schedule(delay_s, entry_run.start)

    def _look_up(self, job, network):
        """Returns the client's Ranking and the set of entry hosts that it found dead."""
        now = self._fleet.simulator.now
        key = (job.service, job.zone, network)
        cached = self._cached.get(key)
        if cached is not None and now < cached[0]:
            return cached[1:]
        asked = self._find_lookup(job.zone)
        steering = self._fleet.steering[asked]
        query = routing.Query(
            job.service, self._addresses[job.zone][network], self._fleet.zones[asked]
        )
        ranking = routing.rank_hosts(steering.table, query, steering.view, now)
        is_near = ranking.cause in _NEAREST_CAUSES
        lifetime_s = LIFETIME_S if is_near else MOVED_LIFETIME_S
        # A ticket is used once, so that a client of non-idempotent work looks up each time.
        if not self._fleet.is_idempotent(job.service):
            lifetime_s = 0.0
        failed = cached[2] if cached is not None and lifetime_s == 0.0 else set()
        self._cached[key] = (now + lifetime_s, ranking, failed)
        return ranking, failed

    def _find_lookup(self, zone):
        fleet = self._fleet
        alive = [host for host in fleet.drivers if fleet.drivers[host].is_alive]
        return min(alive, key=lambda host: fleet.compute_delay(zone, fleet.zones[host]))


class EntryRun:
    """One request at an entry host, decided by ``forwarding.advance``."""

    def __init__(self, fleet, entry, job, ticket_hosts, client_delay_s, number):
        self._fleet = fleet
        self._entry = entry
        self._job = job
        self._ticket_hosts = ticket_hosts
        self._client_delay_s = client_delay_s
        self._number = number
        self._work = None
        self._call = 0

    def start(self):
        """Starts at the arrival of the request at the entry host."""
        fleet, job = self._fleet, self._job
        if not fleet.drivers[self._entry].is_alive:
            return
        steering = fleet.steering[self._entry]
        deadline = fleet.simulator.now + fleet.plan.deadline_ms / 1000
        self._budget = steering.budgets[job.service]
        if fleet.is_idempotent(job.service):
            ranked = routing.rank_dispatchers(
                steering.table,
                steering.view,
                steering.loads,
                job.service,
                fleet.zones[self._entry],
                self._number,
            )
            self._work = forwarding.Forwarding(
                [self._make_target(*item) for item in ranked], deadline
            )
        elif self._ticket_hosts is None:
            fleet.refuse(job, "no_dispatcher", records.Verdict.NOT_RUN)
            return
        else:
            home = self._ticket_hosts.home
            target = self._make_target(home, fleet.zones[home])
            self._work = forwarding.Forwarding([target], deadline, ticket=self._make_ticket())
        self._advance(forwarding.Started())

    def _advance(self, event):
        fleet = self._fleet
        if not fleet.drivers[self._entry].is_alive:
            return
        now = fleet.simulator.now
        match forwarding.advance(self._work, event, now, self._budget):
            case forwarding.Dispatch(target=target, deadline_ms=deadline_ms, timeout_s=timeout_s):
                self._dispatch(target, deadline_ms, timeout_s)
            case forwarding.Pause(seconds=seconds):
                fleet.simulator.schedule(seconds, self._advance, forwarding.Paused())
            case forwarding.Revoke():
                self._revoke()
            case forwarding.Deliver(answer=answer, refusal=refusal):
                fleet.simulator.schedule(self._client_delay_s, self._deliver, answer, refusal)

    def _dispatch(self, target, deadline_ms, timeout_s):
        fleet = self._fleet
        driver = fleet.drivers[target.host]
        delay_s = fleet.compute_host_delay(self._entry, target.host)
        self._job.travel_s += 2 * delay_s
        self._call += 1
        call = self._call
        request = fleet.make_request(self._job, f"{self._number}/{call}", deadline_ms)

        def end(answer, refusal, upstream):
            verdict = records.Verdict.RAN if answer else refusal.verdict
            if upstream:
                self._job.upstream = upstream
            result = messages.DispatchResult(verdict, answer, refusal, upstream)
            event = forwarding.Answered(result)
            fleet.simulator.schedule(delay_s, self._end_call, call, event)

        fleet.simulator.schedule(delay_s, driver.submit, request, self._job, end)
        if fleet.plan.may_lose_hosts:
            no_answer = forwarding.NoAnswer("no answer in time")
            fleet.simulator.schedule(timeout_s, self._end_call, call, no_answer)

    def _end_call(self, call, event):
        if call == self._call:
            self._call += 1
            self._advance(event)

    def _revoke(self):
        """The model keeps no tickets; an unanswered home counts as one that claimed."""
        claimed = forwarding.ClaimAnswered(messages.ClaimResult(records.ClaimState.CLAIMED))
        self._fleet.simulator.schedule(0.0, self._advance, claimed)

    def _deliver(self, answer, refusal):
        if answer is not None:
            self._fleet.finish(self._job)
        else:
            self._fleet.refuse(self._job, refusal.reason, refusal.verdict)

    def _make_target(self, host, zone):
        return forwarding.Target(host, zone, self._fleet.place.regions_by_zone[zone])

    def _make_ticket(self):
        hosts = self._ticket_hosts
        return records.Ticket(
            records.TicketId(str(self._number)),
            records.ServiceId(self._job.service),
            hosts.home,
            hosts.home_incarnation,
            hosts.arbiter,
            hosts.arbiter_incarnation,
            2**53,
        )


def _make_addresses(configuration):
    """Returns addresses of different networks of the clients of each zone."""
    addresses = {}
    for block in configuration.blocks:
        base = ipaddress.ip_network(block.prefix).network_address
        addresses.setdefault(
            block.zone_id, [str(base + 256 * index + 1) for index in range(NETWORKS_PER_ZONE)]
        )
    return addresses
