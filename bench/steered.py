"""The product's decisions as a policy of the queueing model.

Each host runs a ``dispatching.Dispatcher``. Loans, forwarding, load figures and configurations
travel with the delays of the deployment; upstreams are those of ``bench.queue_model``.
"""

import collections
import dataclasses
import random

from bench import _drivers, _gossip, _steering
from skylarksill import dispatching, records

Report = _gossip.Report

# Predecessors' work blocks the slots of a new dispatcher for the longest deadline plus the skew.
SETTLE_S = 2.0
# The store's watch, the exchanges at once on a new generation, and up to one poll of the agent.
SPREAD_S = (0.05, 0.7)


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """What a run of the policy is given.

    Attributes:
      configuration: The Configuration in force.
      report: What happens to load figures on their way to other hosts.
      has_own_routes: True if long jobs have a route of their own.
      deadline_ms: Deadline of the requests.
      may_lose_hosts: True if calls need a timeout because hosts are lost during the run.
    """

    configuration: records.Configuration
    report: Report = Report.FRESH
    has_own_routes: bool = True
    deadline_ms: int = 4_000
    may_lose_hosts: bool = False


def compute_start(configuration):
    """Returns the virtual time in seconds from which all slots are usable and lent."""
    longest_ms = max(service.max_deadline_ms for service in configuration.services)
    return longest_ms / 1000 + records.MAX_CLOCK_SKEW_S + SETTLE_S


class Fleet:
    """All dispatchers of a deployment and what connects them; a policy of ``run_model``.

    Attributes:
      peaks: Greatest number of requests in flight by region.
      last_starts: Time of the last start by upstream and by host of the dispatcher.
      repeated: Number of non-idempotent jobs that were sent to a second upstream.
      foreign_times: Start times of foreign work by region.
    """

    def __init__(self, simulator, place, upstreams, plan):
        self.simulator = simulator
        self.place = place
        self.plan = plan
        self.configuration = plan.configuration
        self.upstreams = {upstream.site.upstream: upstream for upstream in upstreams}
        self.answer = records.Answer(200, (), b"")
        self.start_s = compute_start(plan.configuration)
        self.zones = {host.host_id: host.zone_id for host in self.configuration.hosts}
        self.generations = dict.fromkeys(self.zones, self.configuration.generation)
        self.host_states = dict.fromkeys(self.zones, records.LifecycleState.SERVING)
        self.forwards = {}
        self.forward_count = 0
        self.in_flight = collections.Counter()
        self.peaks = collections.Counter()
        self.foreign_times = collections.defaultdict(list)
        self.repeated = 0
        self.last_starts = {}
        self.cost = lambda job, upstream, now: 1.0
        self._kinds = {item.service_id: item.kind for item in self.configuration.services}
        self.drivers = {}
        for host in self.configuration.hosts:
            self.drivers[host.host_id] = _drivers.DispatchDriver(self, host)
        self.gossip = _gossip.Gossip(self, plan.report)
        self.steering = {host: _steering.HostSteering(self, host) for host in self.drivers}
        self.clients = _steering.Clients(self)
        for host in self.drivers:
            simulator.schedule(0.0, self._renew_loans, host)

    def submit(self, job):
        """Takes a job at its client."""
        self.clients.submit(job)

    def is_idempotent(self, service):
        """Returns True if requests of the service may be repeated."""
        return self._kinds[service] is records.WorkKind.IDEMPOTENT

    def is_sibling(self, host, other):
        """Returns True if ``other`` is another host of the region that is not leaving."""
        regions = self.place.regions_by_zone
        is_near = regions[self.zones[host]] == regions[self.zones[other]]
        is_serving = self.host_states[other] is records.LifecycleState.SERVING
        return host != other and is_near and is_serving

    def compute_delay(self, source_zone, target_zone):
        """Returns the one-way delay between two zones in seconds."""
        return self.place.compute_delay(source_zone, target_zone)

    def compute_host_delay(self, source, target):
        """Returns the one-way delay between two hosts in seconds."""
        return self.place.compute_delay(self.zones[source], self.zones[target])

    def compute_work(self, job, upstream, now):
        """Returns the service time in seconds of a job that starts at an upstream."""
        return job.work_s * self.cost(job, upstream, now)

    def note_start(self, job, upstream, host, now):
        """Counts the start of a run that a host's dispatcher has sent."""
        region = upstream.site.region
        self.last_starts[upstream.site.upstream] = self.last_starts[host] = now
        self.in_flight[region] += 1
        self.peaks[region] = max(self.peaks[region], self.in_flight[region])
        if self.place.regions_by_zone[job.zone] != region:
            self.foreign_times[region].append(now)
        if job.runs > 1 and not self.is_idempotent(job.service):
            self.repeated += 1

    def note_end(self, upstream, now):
        """Counts the end of a run."""
        self.in_flight[upstream.site.region] -= 1

    def finish(self, job):
        """Notes that the client got the answer."""
        job.finished = self.simulator.now
        job.verdict = records.Verdict.RAN.value

    def refuse(self, job, reason, verdict):
        """Notes that the client got a refusal."""
        job.refused = self.simulator.now
        job.reason = reason
        job.verdict = verdict.value

    def make_request(self, job, name, deadline_ms):
        """Makes the request of a job.

        Args:
          job: The queue_model.Job.
          name: Id of the request.
          deadline_ms: Time in milliseconds that is left for it.
        """
        # Two segments, since the dispatcher's history of routes is kept by the first two.
        route = "reports/full" if job.is_long and self.plan.has_own_routes else "items/one"
        region = self.place.regions_by_zone[job.zone]
        return records.Request(
            request_id=records.RequestId(name),
            service_id=records.ServiceId(job.service),
            method="GET",
            path=f"/{route}/{job.job_id}",
            headers=(),
            body=b"",
            client=job.zone,
            home_region=region,
            source_region=region,
            deadline_ms=deadline_ms,
        )

    def apply_configuration(self, configuration):
        """Puts a configuration in force at each host after the time that it takes to spread."""
        self.configuration = configuration
        generator = random.Random(configuration.generation)
        for host in self.drivers:
            self.simulator.schedule(
                generator.uniform(*SPREAD_S), self._accept_configuration, host, configuration
            )

    def lose_region(self, region):
        """Loses all hosts and upstreams of a region."""
        for host, driver in self.drivers.items():
            if self.place.regions_by_zone[self.zones[host]] == region:
                driver.fail()
        for upstream in self.upstreams.values():
            if upstream.site.region == region:
                upstream.cancel_all()
        self.in_flight[region] = 0

    def return_region(self, region):
        """Starts new incarnations on all hosts of a region."""
        for host, driver in self.drivers.items():
            if self.place.regions_by_zone[self.zones[host]] == region:
                driver.restart()

    def _accept_configuration(self, host, configuration):
        driver = self.drivers[host]
        if not driver.is_alive:
            return
        self.generations[host] = configuration.generation
        states = {item.host_id: item.state for item in configuration.hosts}
        self.host_states[host] = states[host]
        self.steering[host].accept_configuration(configuration)
        driver.handle(dispatching.ConfigurationAccepted(configuration))

    def _renew_loans(self, host):
        self.simulator.schedule(_drivers.LOAN_RENEWAL_S, self._renew_loans, host)
        self.drivers[host].ask_loans()
