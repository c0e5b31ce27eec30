"""Entry process of the fake deployment: the real forwarding decisions and retry budgets."""

import collections
import dataclasses
import functools
import itertools

from bench import _dispatchnode, _world
from skylarksill import forwarding, messages, records, retries, tickets

# A connection to a process that died earlier is refused, so nothing is sent.
REFUSED_AFTER_S = 0.5


class EntryNode(_world.Node):
    """Takes clients' requests and ends each with an Answer or a Refusal."""

    def __init__(self, world, host):
        self.host = host.host_id
        super().__init__(world, f"{host.host_id}/entry", host.zone_id)

    def reset(self):
        """Starts without requests."""
        self._numbers = itertools.count()
        self._budgets = collections.defaultdict(retries.RetryBudget)

    def handle(self, envelope, answer):
        """Handles a client's request."""
        call = envelope.body
        ticket, problem = None, None
        if call.ticket is not None:
            ticket, problem = tickets.verify_ticket(_dispatchnode.KEY, call.ticket)
        if problem:
            answer(records.Refusal(records.Verdict.NOT_RUN, "bad_ticket", str(problem)))
            return
        request = self._make_request(call)
        deadline = self.world.now + call.order.deadline_ms / 1_000
        work = forwarding.Forwarding(
            self._list_targets(ticket), deadline, ticket=ticket, home_region=call.order.home_region
        )
        self._advance(request, work, answer, forwarding.Started())

    def _make_request(self, call):
        order = call.order
        return records.Request(
            request_id=records.RequestId(f"{self.incarnation}-{next(self._numbers)}"),
            service_id=order.service,
            method="POST",
            path=order.path,
            headers=(),
            body=order.order_id.encode(),
            client=order.client,
            home_region=order.home_region,
            source_region=self.region,
            deadline_ms=order.deadline_ms,
            ticket=call.ticket,
        )

    def _list_targets(self, ticket):
        nodes = _dispatchnode.list_dispatchers(self.world)
        if ticket is not None:
            nodes = [node for node in nodes if node.host == ticket.home]
        nodes.sort(key=lambda node: (node.host != self.host, node.region != self.region))
        return [forwarding.Target(node.host, node.zone, node.region) for node in nodes]

    def _advance(self, request, work, answer, event):
        budget = self._budgets[request.service_id]
        step = functools.partial(self._advance, request, work, answer)
        match forwarding.advance(work, event, self.world.now, budget):
            case forwarding.Dispatch() as action:
                self._dispatch(request, action, step)
            case forwarding.Revoke(timeout_s=timeout_s):
                self._revoke(work.ticket, timeout_s, step)
            case forwarding.Pause(seconds=seconds):
                self.after(seconds, lambda: step(forwarding.Paused()))
            case forwarding.Deliver(answer=outcome, refusal=refusal):
                answer(outcome or refusal)

    def _dispatch(self, request, action, step):
        def then(result):
            match result:
                case records.Answer():
                    verdict = records.Verdict.RAN
                    step(forwarding.Answered(messages.DispatchResult(verdict, result, None)))
                case records.Refusal(verdict=verdict):
                    step(forwarding.Answered(messages.DispatchResult(verdict, None, result)))
                case _:
                    step(forwarding.NoAnswer("no answer"))

        target = _dispatchnode.name_dispatcher(action.target.host)
        if self.world.nodes[target].has_been_dead(REFUSED_AFTER_S):
            self.after(0.0, lambda: step(forwarding.NotSent("connection refused")))
            return
        sent = dataclasses.replace(request, deadline_ms=action.deadline_ms)
        self.call(target, "dispatch", messages.DispatchCall(sent), action.timeout_s, then)

    def _revoke(self, ticket, timeout_s, step):
        def then(result):
            match result:
                case messages.ClaimResult():
                    step(forwarding.ClaimAnswered(result))
                case _:
                    step(forwarding.ArbiterFailed("no answer"))

        target = _dispatchnode.name_dispatcher(ticket.arbiter)
        self.call(target, "revoke", messages.RevokeCall(ticket), timeout_s, then)
