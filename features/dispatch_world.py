"""Simulated dispatchers and upstreams on a fake clock, for the features of the core.

The upstreams count what they run independently of the dispatchers. They are as unhelpful as the
design allows: work of a dead dispatcher runs on, and work ends up to the clock skew after its
deadline.
"""

import collections
import dataclasses
import heapq
import itertools

from features import builders
from skylarksill import dispatching, records

WRITE_S = 0.001
TICK_S = 0.02
VIEW_S = 0.2
LOAN_S = 0.5


@dataclasses.dataclass
class Node:
    """One host with its dispatcher; ``seen`` holds the generations that its agent knows of."""

    host: str
    configuration: records.Configuration
    core: dispatching.Dispatcher = None
    incarnation: int = 0
    is_up: bool = False
    is_paused: bool = False
    seen: dict = dataclasses.field(default_factory=dict)
    late: list = dataclasses.field(default_factory=list)


class World:
    """Dispatchers, upstreams and the network between them.

    Attributes:
      now: Time in seconds.
      outcomes: Maps a request id to its Reply and Refuse actions.
      runs: Counts the starts of each request at upstreams.
      most: Greatest number of requests that each upstream ran at the same time.
      violations: Texts of broken invariants.
    """

    def __init__(self, configuration, hosts, work_s=0.05, confirms_cancel=True):
        self.now = 100.0
        self.work_s = work_s
        self.confirms_cancel = confirms_cancel
        self.outcomes = collections.defaultdict(list)
        self.runs = collections.Counter()
        self.starts = []
        self.most = collections.Counter()
        self.violations = []
        self.deaths = []
        self.poison = set()
        self.durations = {}
        self.speeds = {}
        self.suspects = {}
        self.decisions = collections.Counter()
        self.nodes = {host: Node(host, configuration) for host in hosts}
        self._running = collections.defaultdict(dict)
        self._cuts = set()
        self._queue = []
        self._order = itertools.count()
        self._request_ids = itertools.count()
        for node in self.nodes.values():
            self.start(node.host)
        self._repeat(TICK_S, self._tick)
        self._repeat(VIEW_S, self._exchange_views)
        self._repeat(LOAN_S, self._ask_loans)

    def at(self, time, function, *arguments):
        """Calls a function at a time."""
        heapq.heappush(self._queue, (time, next(self._order), function, arguments))

    def advance(self, seconds):
        """Moves the clock on."""
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
        node.is_up, node.is_paused, node.late = True, False, []
        node.configuration = max(
            (self.nodes[other].configuration for other in self._list_reachable(host)),
            key=lambda configuration: configuration.generation,
        )
        self.handle(host, dispatching.ConfigurationAccepted(node.configuration))

    def kill(self, host):
        """Ends a dispatcher at once; its requests run on at the upstreams."""
        self.nodes[host].is_up = False

    def pause(self, host):
        """Stops a dispatcher; what reaches it is handled when it resumes."""
        self.nodes[host].is_paused = True

    def resume(self, host):
        """Lets a paused dispatcher run on."""
        node = self.nodes[host]
        node.is_paused = False
        late, node.late = node.late, []
        for function, arguments in late:
            function(*arguments)

    def cut(self, first, second):
        """Cuts the network between two hosts."""
        self._cuts.add(frozenset((first, second)))

    def heal(self):
        """Restores the network."""
        self._cuts.clear()

    def accept(self, host, configuration):
        """Lets a host accept a configuration."""
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
            node.late.append((self.handle, (host, event)))
            return
        for action in node.core.handle(event, self.now):
            self._carry_out(node, action)

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

    def _carry_out(self, node, action):
        match action:
            case dispatching.Send():
                self.at(self.now + WRITE_S, self._write, node, node.incarnation, action)
            case dispatching.CancelSend() if self.confirms_cancel:
                self.at(self.now + WRITE_S, self._confirm_cancel, node, action.send_id)
            case dispatching.Reply() | dispatching.Refuse():
                self._end_request(action)
            case dispatching.Forward():
                node.core.forwarded = action
            case dispatching.ReportSuspect():
                known = self.suspects.get(action.entry.fingerprint, action.entry)
                most = max(known, action.entry, key=lambda entry: entry.deaths)
                self.suspects[action.entry.fingerprint] = most
                self._exchange_views()
            case dispatching.LogDecision():
                self.decisions[action.decision] += 1

    def _end_request(self, action):
        ended = self.outcomes[action.request_id]
        ended.append(action)
        if len(ended) > 1:
            self.violations.append(f"{action.request_id} ended twice")
        is_not_run = self.find_verdict(action.request_id)[0] is records.Verdict.NOT_RUN
        if is_not_run and self.runs[action.request_id]:
            self.violations.append(f"{action.request_id} ran and was reported as not run")

    def _write(self, node, incarnation, action):
        if node.incarnation != incarnation or not node.is_up:
            return
        if node.is_paused:
            node.late.append((self._write, (node, incarnation, action)))
            return
        if not node.core.is_send_allowed(action.send_id, self.now):
            self._fail(node, action, records.Verdict.NOT_RUN, "not_allowed")
            return
        self._begin(node, action)

    def _begin(self, node, action):
        upstream, request_id = action.upstream.upstream_id, action.request.request_id
        if request_id in self.outcomes and not action.is_hedge:
            self.violations.append(f"{request_id} began after its end")
        running = self._running[upstream]
        key = (node.host, node.incarnation, action.send_id)
        running[key] = action
        self.runs[request_id] += 1
        self.starts.append((self.now, node.host, upstream, request_id))
        self.most[upstream] = max(self.most[upstream], len(running))
        if len(running) > action.upstream.slots:
            self.violations.append(f"{len(running)} requests at {upstream} at {self.now:.2f}")
        in_flight = sum(map(len, self._running.values()))
        if in_flight > node.configuration.regions[0].max_in_flight:
            self.violations.append(f"{in_flight} requests in the region at {self.now:.2f}")
        work_s = self.durations.get(request_id, self.work_s) * self.speeds.get(upstream, 1.0)
        end = min(self.now + work_s, action.deadline + records.CLOCK_SKEW_S)
        self.at(end, self._end, node, node.incarnation, action, key)

    def _end(self, node, incarnation, action, key):
        upstream = action.upstream.upstream_id
        if self._running[upstream].pop(key, None) is None:
            return
        if action.request.path in self.poison:
            self._die(action.upstream)
        if node.incarnation != incarnation:
            return
        if action.request.path in self.poison:
            self._fail(node, action, records.Verdict.MAY_HAVE_RUN, "died", has_died=True)
            return
        answer = records.Answer(200, (), action.request.request_id.encode())
        self.handle(node.host, dispatching.Answered(action.send_id, answer))

    def _die(self, upstream):
        self.deaths.append(upstream.upstream_id)
        victims, self._running[upstream.upstream_id] = self._running[upstream.upstream_id], {}
        for (host, incarnation, _), action in victims.items():
            if self.nodes[host].incarnation == incarnation:
                verdict = records.Verdict.MAY_HAVE_RUN
                self._fail(self.nodes[host], action, verdict, "died", has_died=True)

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
            self.at(self.now + pause_s, step)

        self.at(self.now + pause_s, step)

    def _tick(self):
        for host in self.nodes:
            self.handle(host, dispatching.Ticked())

    def _list_reachable(self, host):
        return [
            other
            for other, node in self.nodes.items()
            if other == host or (node.is_up and frozenset((host, other)) not in self._cuts)
        ]

    def _exchange_views(self):
        for host, node in self.nodes.items():
            for other in self._list_reachable(host):
                peer = self.nodes[other]
                if not peer.is_paused:
                    node.seen[other] = peer.configuration.generation
                    for third, generation in peer.seen.items():
                        node.seen[third] = max(generation, node.seen.get(third, 0))
            accepted = tuple(node.seen.items())
            suspects = tuple(self.suspects.values())
            self.handle(host, dispatching.PeersSeen(accepted, (), suspects))

    def _ask_loans(self):
        for host, node in self.nodes.items():
            if not node.is_up or node.is_paused:
                continue
            for standby, upstreams in node.core.list_loans_to_ask().items():
                lender = self.nodes.get(standby)
                if lender and standby in self._list_reachable(host) and not lender.is_paused:
                    self._lend(node, lender, tuple(upstreams))

    def _lend(self, node, lender, upstreams):
        event = dispatching.LoanAsked(upstreams, node.host)
        asked_at = self.now
        for action in lender.core.handle(event, self.now):
            if not isinstance(action, dispatching.GrantLoan):
                self._carry_out(lender, action)
                continue
            # The answer arrives late, but the loan counts from the question.
            loan = dispatching.LoanGranted(action.upstreams, asked_at, action.duration_s)
            self.at(self.now + 0.1, self.handle, node.host, loan)
