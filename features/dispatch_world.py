"""Simulated dispatchers and upstreams on a simulated clock, for dispatching.feature.

The upstreams count what they run independently of the dispatchers. They behave as badly as the
design permits: work of a dead dispatcher continues, and work ends up to the clock skew after its
deadline.
"""

import collections
import dataclasses
import heapq
import itertools

from features import builders
from skylarksill import dispatching, records

WRITE_DELAY_S = 0.001
TICK_INTERVAL_S = 0.02
VIEW_INTERVAL_S = 0.2
LOAN_REQUEST_INTERVAL_S = 0.5


@dataclasses.dataclass
class Node:
    """One host with its dispatcher.

    Attributes:
      known_generations: Maps a host to the latest generation that this host's agent knows of.
      deferred_calls: What reached the dispatcher while it was paused.
    """

    host: str
    configuration: records.Configuration
    core: dispatching.Dispatcher = None
    incarnation: int = 0
    is_up: bool = False
    is_paused: bool = False
    known_generations: dict = dataclasses.field(default_factory=dict)
    deferred_calls: list = dataclasses.field(default_factory=list)


class World:
    """Dispatchers, upstreams and the network between them.

    Attributes:
      now: Time in seconds.
      outcomes: Maps a request id to its Reply and Refuse actions.
      runs: Counts the starts of each request at upstreams.
      max_running: Maximum number of requests that each upstream ran at the same time.
      violations: Texts of broken invariants.
    """

    def __init__(self, configuration, hosts, work_s=0.05, confirms_cancel=True):
        self.now = 100.0
        self.work_s = work_s
        self.confirms_cancel = confirms_cancel
        self.outcomes = collections.defaultdict(list)
        self.runs = collections.Counter()
        self.starts = []
        self.max_running = collections.Counter()
        self.violations = []
        self.deaths = []
        self.poison_paths = set()
        self.work_durations = {}
        self.slowdown_factors = {}
        self.suspects = {}
        self.decision_counts = collections.Counter()
        self.nodes = {host: Node(host, configuration) for host in hosts}
        self._running = collections.defaultdict(dict)
        self._cut_links = set()
        self._queue = []
        self._order = itertools.count()
        self._request_ids = itertools.count()
        for node in self.nodes.values():
            self.start(node.host)
        self._repeat(TICK_INTERVAL_S, self._tick)
        self._repeat(VIEW_INTERVAL_S, self._exchange_views)
        self._repeat(LOAN_REQUEST_INTERVAL_S, self._request_loans)

    def schedule(self, time, function, *arguments):
        """Schedules a call of a function."""
        heapq.heappush(self._queue, (time, next(self._order), function, arguments))

    def advance(self, seconds):
        """Advances the clock and runs what is due."""
        end = self.now + seconds
        while self._queue and self._queue[0][0] <= end:
            self.now, _, function, arguments = heapq.heappop(self._queue)
            function(*arguments)
        self.now = end

    def start(self, host):
        """Starts a new incarnation of a host's dispatcher."""
        node = self.nodes[host]
        node.core = dispatching.Dispatcher(host, self.now)
        node.incarnation += 1
        node.is_up, node.is_paused, node.deferred_calls = True, False, []
        node.configuration = max(
            (self.nodes[other].configuration for other in self._list_reachable(host)),
            key=lambda configuration: configuration.generation,
        )
        self.handle(host, dispatching.ConfigurationAccepted(node.configuration))

    def kill(self, host):
        """Kills a dispatcher; its requests continue at the upstreams."""
        self.nodes[host].is_up = False

    def pause(self, host):
        """Pauses a dispatcher; what reaches it is handled when it resumes."""
        self.nodes[host].is_paused = True

    def resume(self, host):
        """Resumes a paused dispatcher."""
        node = self.nodes[host]
        node.is_paused = False
        deferred_calls, node.deferred_calls = node.deferred_calls, []
        for function, arguments in deferred_calls:
            function(*arguments)

    def cut(self, first, second):
        """Cuts the network between two hosts."""
        self._cut_links.add(frozenset((first, second)))

    def heal(self):
        """Restores the network."""
        self._cut_links.clear()

    def accept(self, host, configuration):
        """Delivers a configuration to a host, which accepts it if it is newer."""
        node = self.nodes[host]
        if configuration.generation > node.configuration.generation and node.is_up:
            node.configuration = configuration
            self.handle(host, dispatching.ConfigurationAccepted(configuration))

    def send(self, host, request_id=None, **fields):
        """Sends a request to a dispatcher; returns its id."""
        number = next(self._request_ids)
        request_id = request_id or f"q{number}"
        fields.setdefault("path", f"/items/{request_id}")
        request = builders.build_request(request_id=request_id, **fields)
        self.handle(host, dispatching.Arrived(request))
        return request_id

    def handle(self, host, event):
        """Passes an event to a dispatcher and carries out the actions."""
        node = self.nodes[host]
        if not node.is_up:
            return
        if node.is_paused:
            node.deferred_calls.append((self.handle, (host, event)))
            return
        for action in node.core.handle(event, self.now):
            self._execute(node, action)

    def find_verdict(self, request_id):
        """Returns the verdict of a request and its reason, or None if it has not ended."""
        ended = self.outcomes.get(request_id)
        if not ended:
            return None
        match ended[0]:
            case dispatching.Reply():
                return records.Verdict.RAN, None
            case dispatching.Refuse(refusal=refusal):
                return refusal.verdict, refusal.reason

    def count_running(self, upstream):
        """Returns how many requests an upstream runs now."""
        return len(self._running[upstream])

    def _execute(self, node, action):
        match action:
            case dispatching.Send():
                self.schedule(
                    self.now + WRITE_DELAY_S, self._write_request, node, node.incarnation, action
                )
            case dispatching.CancelSend() if self.confirms_cancel:
                self.schedule(self.now + WRITE_DELAY_S, self._confirm_cancel, node, action.send_id)
            case dispatching.Reply() | dispatching.Refuse():
                self._end_request(action)
            case dispatching.Forward():
                node.core.forwarded = action
            case dispatching.ReportSuspect():
                known = self.suspects.get(action.entry.fingerprint, action.entry)
                worst = max(known, action.entry, key=lambda entry: entry.deaths)
                self.suspects[action.entry.fingerprint] = worst
                self._exchange_views()
            case dispatching.LogDecision():
                self.decision_counts[action.decision] += 1

    def _end_request(self, action):
        ended = self.outcomes[action.request_id]
        ended.append(action)
        if len(ended) > 1:
            self.violations.append(f"{action.request_id} ended twice")
        is_not_run = self.find_verdict(action.request_id)[0] is records.Verdict.NOT_RUN
        if is_not_run and self.runs[action.request_id]:
            self.violations.append(f"{action.request_id} ran and was reported as not run")

    def _write_request(self, node, incarnation, action):
        if node.incarnation != incarnation or not node.is_up:
            return
        if node.is_paused:
            node.deferred_calls.append((self._write_request, (node, incarnation, action)))
            return
        if not node.core.is_send_allowed(action.send_id, self.now):
            self._fail(node, action, records.Verdict.NOT_RUN, "not_allowed")
            return
        self._start_run(node, action)

    def _start_run(self, node, action):
        upstream, request_id = action.upstream.upstream_id, action.request.request_id
        if request_id in self.outcomes and not action.is_hedge:
            self.violations.append(f"{request_id} began after its end")
        running = self._running[upstream]
        key = (node.host, node.incarnation, action.send_id)
        running[key] = action
        self.runs[request_id] += 1
        self.starts.append((self.now, node.host, upstream, request_id))
        self.max_running[upstream] = max(self.max_running[upstream], len(running))
        if len(running) > action.upstream.slots:
            self.violations.append(f"{len(running)} requests at {upstream} at {self.now:.2f}")
        in_flight = sum(map(len, self._running.values()))
        if in_flight > node.configuration.regions[0].max_in_flight:
            self.violations.append(f"{in_flight} requests in the region at {self.now:.2f}")
        work_s = self.work_durations.get(request_id, self.work_s) * self.slowdown_factors.get(
            upstream, 1.0
        )
        end = min(self.now + work_s, action.deadline + records.MAX_CLOCK_SKEW_S)
        self.schedule(end, self._end_run, node, node.incarnation, action, key)

    def _end_run(self, node, incarnation, action, key):
        upstream = action.upstream.upstream_id
        if self._running[upstream].pop(key, None) is None:
            return
        if action.request.path in self.poison_paths:
            self._kill_upstream(action.upstream)
        if node.incarnation != incarnation:
            return
        if action.request.path in self.poison_paths:
            self._fail(node, action, records.Verdict.MAY_HAVE_RUN, "died", has_upstream_died=True)
            return
        answer = records.Answer(200, (), action.request.request_id.encode())
        self.handle(node.host, dispatching.Answered(action.send_id, answer))

    def _kill_upstream(self, upstream):
        self.deaths.append(upstream.upstream_id)
        victims, self._running[upstream.upstream_id] = self._running[upstream.upstream_id], {}
        for (host, incarnation, _), action in victims.items():
            if self.nodes[host].incarnation == incarnation:
                verdict = records.Verdict.MAY_HAVE_RUN
                self._fail(self.nodes[host], action, verdict, "died", has_upstream_died=True)

    def _fail(self, node, action, verdict, reason, **fields):
        event = dispatching.SendFailed(action.send_id, verdict, reason, **fields)
        self.handle(node.host, event)

    def _confirm_cancel(self, node, send_id):
        for running in self._running.values():
            action = running.pop((node.host, node.incarnation, send_id), None)
            if action is not None:
                self._fail(node, action, records.Verdict.MAY_HAVE_RUN, "cancelled")

    def _repeat(self, pause_s, function):
        def step():
            function()
            self.schedule(self.now + pause_s, step)

        self.schedule(self.now + pause_s, step)

    def _tick(self):
        for host in self.nodes:
            self.handle(host, dispatching.Ticked())

    def _list_reachable(self, host):
        return [
            other
            for other, node in self.nodes.items()
            if other == host or (node.is_up and frozenset((host, other)) not in self._cut_links)
        ]

    def _exchange_views(self):
        for host, node in self.nodes.items():
            for other in self._list_reachable(host):
                peer = self.nodes[other]
                if not peer.is_paused:
                    node.known_generations[other] = peer.configuration.generation
                    for third, generation in peer.known_generations.items():
                        node.known_generations[third] = max(
                            generation, node.known_generations.get(third, 0)
                        )
            accepted = tuple(node.known_generations.items())
            suspects = tuple(self.suspects.values())
            self.handle(host, dispatching.PeerViewReceived(accepted, (), suspects))

    def _request_loans(self):
        for host, node in self.nodes.items():
            if not node.is_up or node.is_paused:
                continue
            for standby, upstreams in node.core.list_loans_to_request().items():
                lender = self.nodes.get(standby)
                if lender and standby in self._list_reachable(host) and not lender.is_paused:
                    self._grant_loans(node, lender, tuple(upstreams))

    def _grant_loans(self, node, lender, upstreams):
        event = dispatching.LoanRequested(upstreams, node.host)
        requested_at = self.now
        for action in lender.core.handle(event, self.now):
            if not isinstance(action, dispatching.GrantLoan):
                self._execute(lender, action)
                continue
            # The grant arrives later, but the borrower counts the loan from its request.
            loan = dispatching.LoanGranted(action.upstreams, requested_at, action.duration_s)
            self.schedule(self.now + 0.1, self.handle, node.host, loan)
