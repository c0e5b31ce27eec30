"""Steps of pooling.feature."""

import itertools

from behave import given, then, when

from features import builders
from skylarksill import dispatching, records

ANSWER = records.Answer(200, (), b"")
SETTLED_S = 110.0


def open_dispatcher(context, host, slots):
    context.configuration = builders.build_configuration(slots=slots)
    context.core = dispatching.Dispatcher(host, 0.0)
    context.now = 0.0
    context.arrived = []
    context.numbers = itertools.count()
    handle(context, dispatching.ConfigurationAccepted(context.configuration))
    accepted = tuple((item.host_id, 1) for item in context.configuration.hosts)
    sibling = "host-1" if host == "host-0" else "host-0"
    loads = tuple(
        dispatching.SiblingLoad(sibling, item.service_id, 0)
        for item in context.configuration.services
    )
    handle(context, dispatching.PeersSeen(accepted, loads if slots == 1 else ()))
    context.now = SETTLED_S
    handle(context, dispatching.Ticked())


def handle(context, event):
    actions = context.core.handle(event, context.now)
    kinds = (dispatching.LogDecision,)
    context.actions = [action for action in actions if not isinstance(action, kinds)]
    return context.actions


def arrive(context, service, hops=0):
    request_id = f"w-{next(context.numbers)}"
    fields = {"request_id": request_id, "path": f"/items/{request_id}", "hops": hops}
    context.arrived.append(request_id)
    return handle(context, dispatching.Arrived(builders.build_request(service, **fields)))


def find(context, kind):
    return [action for action in context.actions if isinstance(action, kind)]


@given("a dispatcher with one busy slot and a sibling that reported 0 free slots")
def step_busy(context):
    open_dispatcher(context, "host-0", 1)
    context.busy = {}
    for service in ("catalogue", "deposits"):
        (send,) = [
            action for action in arrive(context, service) if isinstance(action, dispatching.Send)
        ]
        context.busy[service] = send.send_id
    context.arrived = []


@given("a standby whose own work uses the slot that it could lend")
def step_standby(context):
    open_dispatcher(context, "host-1", 2)
    context.lendable = "catalogue-north-a"
    sends = []
    for _ in range(4):
        sends += [
            action
            for action in arrive(context, "catalogue")
            if isinstance(action, dispatching.Send)
        ]
    used = [send for send in sends if send.upstream.upstream_id == context.lendable]
    assert used, sends
    context.busy = {"catalogue": used[0].send_id}


@when("a request to {service} arrives")
@when("a later request to {service} arrives")
def step_arrives(context, service):
    context.service = service
    arrive(context, service)


@when("a request to {service} arrives that another dispatcher forwarded")
def step_forwarded(context, service):
    arrive(context, service, hops=1)


@when("the busy slot becomes free")
def step_free(context):
    context.now += 0.001
    handle(context, dispatching.Answered(context.busy[context.service], ANSWER))


@when("the sibling refuses the first request")
def step_refuses(context):
    refusal = records.Refusal(records.Verdict.NOT_RUN, "no_free_slot", "")
    context.now += 0.001
    handle(context, dispatching.ForwardEnded(context.arrived[0], None, refusal))


@when("contact with the sibling is lost after the offer")
def step_lost(context):
    refusal = records.Refusal(records.Verdict.MAY_HAVE_RUN, "sibling_lost", "")
    handle(context, dispatching.ForwardEnded(context.arrived[0], None, refusal))


@when("the home requests the slot")
def step_asks(context):
    context.now += 0.5
    handle(context, dispatching.LoanAsked((context.lendable,), "host-0"))


@when("the standby's work ends and more work waits")
def step_ends(context):
    handle(context, dispatching.Answered(context.busy["catalogue"], ANSWER))
    context.ended = list(context.actions)
    arrive(context, "catalogue")
    context.actions = [
        action
        for action in context.ended + context.actions
        if not isinstance(action, dispatching.Send)
        or action.upstream.upstream_id == context.lendable
    ]


@then("it is offered to the sibling")
def step_offered(context):
    (forward,) = find(context, dispatching.Forward)
    assert (forward.host, forward.request.hops) == ("host-1", 1), forward


@then("no further offer is made within 7 ms")
def step_no_offer(context):
    assert not find(context, dispatching.Forward), context.actions
    context.now += 0.007
    handle(context, dispatching.Ticked())
    assert not find(context, dispatching.Forward), context.actions


@then("the first request is sent to the upstream")
def step_sent(context):
    (send,) = find(context, dispatching.Send)
    assert send.request.request_id == context.arrived[0], send


@then("nothing is sent to the upstream")
def step_not_sent(context):
    assert not find(context, dispatching.Send), context.actions


@then("the first request ends as {verdict} without a send")
def step_ended(context, verdict):
    (refused,) = find(context, dispatching.Refuse)
    assert refused.request_id == context.arrived[0]
    assert refused.refusal.verdict is records.Verdict[verdict], refused
    assert not find(context, dispatching.Send)


@then("it ends as {verdict} with the reason {reason}")
def step_refused(context, verdict, reason):
    (refused,) = find(context, dispatching.Refuse)
    assert refused.refusal.verdict is records.Verdict[verdict], refused
    assert refused.refusal.reason == reason, refused


@then("nothing is lent")
def step_not_lent(context):
    (grant,) = find(context, dispatching.GrantLoan)
    assert grant.upstreams == (), grant


@then("the slot is lent")
def step_lent(context):
    (grant,) = find(context, dispatching.GrantLoan)
    assert grant.upstreams == (context.lendable,), grant
