"""Dispatcher process of the fake deployment: the real tables and the real core."""

import dataclasses

from bench import _bodies, _world
from skylarksill import dispatching, loans, messages, records, suspects, tickets

CLAIM_TIMEOUT_S = 0.4
GOSSIP_S = 0.5
PROBE_S = 0.5
KEY = b"key of the fault matrix, 32 bytes"


def name_dispatcher(host):
    """Returns the node name of a host's dispatcher."""
    return f"{host}/dispatch"


def list_dispatchers(world):
    """Returns the DispatchNodes of a World."""
    return [node for node in world.nodes.values() if isinstance(node, DispatchNode)]


class DispatchNode(_world.Node):
    """A dispatcher; ``configuration`` stays with the host's agent across incarnations."""

    def __init__(self, world, host, configuration):
        self.host = host.host_id
        self.configuration = configuration
        self.skew_s = 0.0
        super().__init__(world, name_dispatcher(host.host_id), host.zone_id)

    def reset(self):
        """Starts with empty tables and the configuration of the host's agent."""
        self.home = tickets.HomeTable(self.host, self.incarnation)
        self.arbiter = tickets.ArbiterTable(self.host, self.incarnation)
        self.core = dispatching.Dispatcher(self.host, self.world.now)
        self.peers = {}
        self._answers = {}
        self._requests = {}
        self._wake_at = float("inf")
        self._tell_core(dispatching.ConfigurationAccepted(self.configuration))
        self.after(0.0, self._renew_loans)
        self.after(0.0, self._gossip)
        self.after(PROBE_S, self._probe)

    def accept(self, configuration):
        """Puts a configuration in force if it is newer."""
        if configuration.generation > self.configuration.generation:
            self.configuration = configuration
            self._tell_core(dispatching.ConfigurationAccepted(configuration))

    def stop(self):
        """Refuses new work from now on."""
        self._tell_core(dispatching.StopRequested())

    def mark_leaving(self, upstream, source):
        """Passes on that a source says that an upstream is leaving."""
        self._tell_core(dispatching.UpstreamLeaving(upstream, source, True))

    def handle(self, envelope, answer):
        """Handles a call of another process."""
        now_ms = self.world.now_unix_ms
        match envelope.body:
            case messages.DispatchCall(request=request):
                self._dispatch(request, answer)
            case messages.ClaimCall(ticket=ticket, fingerprint=fingerprint):
                answer(self.arbiter.claim(ticket, now_ms, fingerprint))
            case messages.RevokeCall(ticket=ticket, fingerprint=fingerprint):
                answer(self.arbiter.revoke(ticket, now_ms, fingerprint))
            case messages.RecordOutcomeCall(ticket=ticket, answer=kept, verdict=verdict):
                answer(self.arbiter.record(ticket, verdict, kept, now_ms))
            case messages.LendCall(upstreams=upstreams, borrower=borrower):
                self._tell_core(dispatching.LoanRequested(upstreams, borrower), answer)
            case _bodies.Gossip():
                self._hear(envelope.body)
            case messages.SuspectEntry():
                self._tell_core(dispatching.PeerViewReceived(suspects=(envelope.body,)))

    def _dispatch(self, request, answer):
        is_copy = request.request_id in self._answers
        self._answers[request.request_id] = answer
        if request.ticket is None and is_copy:
            return
        if request.ticket is None:
            self._requests[request.request_id] = None
            self._tell_core(dispatching.Arrived(request))
            return
        ticket, problem = tickets.verify_ticket(KEY, request.ticket)
        if problem:
            refusal = records.Refusal(records.Verdict.NOT_RUN, "bad_ticket", str(problem))
            self._end(request.request_id, refusal)
            return
        self._requests.setdefault(ticket.ticket_id, request)
        fingerprint = suspects.fingerprint_request(request)
        now_ms = self.world.now_unix_ms
        self._do_home(self.home.open(ticket, request.request_id, now_ms, fingerprint))

    def _do_home(self, actions):
        for action in actions:
            match action:
                case tickets.Claim(ticket=ticket, fingerprint=fingerprint):
                    self._claim(ticket, fingerprint)
                case tickets.Run(ticket=ticket):
                    request = self._requests[ticket.ticket_id]
                    run = dataclasses.replace(request, request_id=ticket.ticket_id)
                    self._tell_core(dispatching.Arrived(run))
                case tickets.Reply(waiter=waiter, answer=answer):
                    self._end(waiter, answer)
                case tickets.Refuse(waiter=waiter, refusal=refusal):
                    self._end(waiter, refusal)
                case tickets.CopyOutcome(ticket=ticket, verdict=verdict, answer=answer):
                    call = messages.RecordOutcomeCall(ticket, answer, verdict)
                    target = name_dispatcher(ticket.arbiter)
                    self.call(target, "record", call, CLAIM_TIMEOUT_S, lambda result: None)

    def _claim(self, ticket, fingerprint):
        def then(result):
            now_ms = self.world.now_unix_ms
            match result:
                case messages.ClaimResult():
                    actions = self.home.apply_claim(ticket.ticket_id, result, now_ms)
                case _world.Lost():
                    actions = self.home.time_out_claim(ticket.ticket_id, now_ms)
            self._do_home(actions)

        call = messages.ClaimCall(ticket, fingerprint)
        self.call(name_dispatcher(ticket.arbiter), "claim", call, CLAIM_TIMEOUT_S, then)

    def _end(self, waiter, outcome):
        answer = self._answers.pop(waiter, None)
        if answer is not None:
            answer(outcome)

    def _tell_core(self, event, answer=None):
        if isinstance(event, dispatching.Arrived):
            key = (self.name, event.request.request_id)
            self.world.ledger.arrivals.setdefault(key, self.world.now)
        for action in self.core.handle(event, self.world.now):
            self._do_core(action, answer)
        due = self.core.find_next_timer()
        if due is not None and due < self._wake_at:
            self._wake_at = due
            self.after(max(0.0, due - self.world.now), self._tick)

    def _tick(self):
        self._wake_at = float("inf")
        self._tell_core(dispatching.Ticked())

    def _do_core(self, action, answer):
        match action:
            case dispatching.Send():
                self._send(action)
            case dispatching.Reply(request_id=request_id, answer=outcome):
                self._finish(request_id, outcome)
            case dispatching.Refuse(request_id=request_id, refusal=outcome):
                self._finish(request_id, outcome)
            case dispatching.Forward(request=request, host=host, deadline=deadline):
                self._forward(request, host, deadline)
            case dispatching.GrantLoan(upstreams=upstreams, duration_s=duration_s):
                answer(messages.LendResult(upstreams, int(duration_s * 1_000)))
            case dispatching.ReportSuspect(entry=entry):
                self._tell_peers("suspect", entry)

    def _finish(self, request_id, outcome):
        request = self._requests.pop(request_id, None)
        if request is None:
            self._end(request_id, outcome)
            return
        self._do_home(self.home.complete(request_id, outcome, self.world.now_unix_ms))

    def _send(self, send):
        now = self.world.now
        if not self.core.is_send_allowed(send.send_id, now):
            event = dispatching.SendFailed(send.send_id, records.Verdict.NOT_RUN, "not_sent")
            self.after(0.0, lambda: self._tell_core(event))
            return
        deadline_ms = self.world.now_unix_ms + int((send.deadline - now) * 1_000)
        call = _bodies.RunCall(send.request, deadline_ms)
        self.call(
            send.upstream.upstream_id,
            "run",
            call,
            send.deadline - now,
            lambda result: self._tell_core(_judge_result(send.send_id, result)),
        )

    def _forward(self, request, host, deadline):
        def then(result):
            ended = dispatching.ForwardEnded
            match result:
                case records.Answer():
                    event = ended(request.request_id, result, None)
                case records.Refusal():
                    event = ended(request.request_id, None, result)
                case _world.Lost():
                    lost = records.Refusal(records.Verdict.MAY_HAVE_RUN, "forward_lost", "")
                    event = ended(request.request_id, None, lost)
            self._tell_core(event)

        call = messages.DispatchCall(request)
        self.call(name_dispatcher(host), "dispatch", call, deadline - self.world.now, then)

    def _renew_loans(self):
        for standby, upstreams in self.core.list_loans_to_request().items():
            self._ask_loan(standby, tuple(upstreams), self.world.now)
        self.after(loans.LOAN_RENEWAL_S, self._renew_loans)

    def _ask_loan(self, standby, upstreams, requested_at):
        def then(result):
            match result:
                case messages.LendResult(upstreams=lent, duration_ms=duration_ms):
                    event = dispatching.LoanGranted(lent, requested_at, duration_ms / 1_000)
                    self._tell_core(event)

        call = messages.LendCall(upstreams, self.host, self.incarnation)
        self.call(name_dispatcher(standby), "lend", call, loans.LOAN_RENEWAL_S, then)

    def _gossip(self):
        now = self.world.now
        loads = tuple(self.core.describe_load(now))
        found = tuple(self.core.list_suspects(now))
        generation = self.configuration.generation
        body = _bodies.Gossip(
            self.host, self.incarnation, generation, loads, found, self.configuration
        )
        self._tell_peers("gossip", body)
        self.after(GOSSIP_S, self._gossip)

    def _probe(self):
        for record in self.configuration.upstreams:
            if self.host in (record.home, record.standby):
                self._probe_upstream(record.upstream_id)
        self.after(PROBE_S, self._probe)

    def _probe_upstream(self, upstream):
        def then(result):
            is_healthy = not isinstance(result, _world.Lost)
            self._tell_core(dispatching.UpstreamProbed(upstream, is_healthy))

        self.call(upstream, "probe", None, PROBE_S, then)

    def _tell_peers(self, kind, body):
        for node in list_dispatchers(self.world):
            if node is not self:
                self.call(node.name, kind, body, GOSSIP_S, lambda result: None)

    def _hear(self, gossip):
        self.accept(gossip.configuration)
        self.peers[gossip.host] = gossip
        accepted = tuple((peer.host, peer.generation) for peer in self.peers.values())
        self._tell_core(
            dispatching.PeerViewReceived(accepted, self._list_siblings(), gossip.suspects)
        )

    def _list_siblings(self):
        return tuple(
            dispatching.SiblingLoad(peer.host, load.service, load.free)
            for peer in self.peers.values()
            if self.world.nodes[name_dispatcher(peer.host)].region == self.region
            for load in peer.loads
        )


def _judge_result(send_id, result):
    match result:
        case _bodies.RunAnswer(answer=answer, is_leaving=is_leaving):
            return dispatching.Answered(send_id, answer, is_leaving)
        case _bodies.RunRefused(is_leaving=is_leaving):
            verdict = records.Verdict.NOT_RUN
            return dispatching.SendFailed(send_id, verdict, "shed", False, True, True, is_leaving)
        case _world.Lost(is_reset=is_reset):
            verdict = records.Verdict.MAY_HAVE_RUN
            reason = "reset" if is_reset else "timeout"
            return dispatching.SendFailed(send_id, verdict, reason, is_reset, is_reset)
