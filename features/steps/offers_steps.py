"""Steps of offers.feature."""

import itertools

from behave import given, then, when

from features import builders
from skylarksill import dispatching, records

ANSWER = records.Answer(200, (), b"")
SLOTS_USABLE_AT_S = 110.0


def create_dispatcher(context, host, slots):
    context.configuration = builders.build_configuration(slots=slots)
    context.core = dispatching.Dispatcher(host, 0.0)
    context.now = 0.0
    context.request_ids = []
    context.numbers = itertools.count()
    handle(context, dispatching.ConfigurationAccepted(context.configuration))
    accepted = tuple((item.host_id, 1) for item in context.configuration.hosts)
    sibling = "host-1" if host == "host-0" else "host-0"
    loads = tuple(
        dispatching.SiblingLoad(sibling, item.service_id, 0)
        for item in context.configuration.services
    )
    handle(context, dispatching.PeerViewReceived(accepted, loads if slots == 1 else ()))
    context.now = SLOTS_USABLE_AT_S
    handle(context, dispatching.Ticked())


def handle(context, event):
    actions = context.core.handle(event, context.now)
    kinds = (dispatching.LogDecision,)
    context.actions = [action for action in actions if not isinstance(action, kinds)]
    return context.actions


def send_request(context, service, hops=0):
    request_id = f"w-{next(context.numbers)}"
    fields = {"request_id": request_id, "path": f"/items/{request_id}", "hops": hops}
    context.request_ids.append(request_id)
    return handle(context, dispatching.Arrived(builders.build_request(service, **fields)))


def list_actions(context, kind):
    return [action for action in context.actions if isinstance(action, kind)]


@given("a dispatcher with one busy slot and a sibling that reported 0 free slots")
def step_busy(context):
    create_dispatcher(context, "host-0", 1)
    context.busy_send_ids = {}
    for service in ("catalogue", "deposits"):
        (send,) = [
            action
            for action in send_request(context, service)
            if isinstance(action, dispatching.Send)
        ]
        context.busy_send_ids[service] = send.send_id
    context.request_ids = []


@given("a standby whose own work uses the slot that it could lend")
def step_standby(context):
    create_dispatcher(context, "host-1", 2)
    context.standby_upstream = "catalogue-north-a"
    sends = []
    for _ in range(4):
        sends += [
            action
            for action in send_request(context, "catalogue")
            if isinstance(action, dispatching.Send)
        ]
    sends_on_slot = [
        send for send in sends if send.upstream.upstream_id == context.standby_upstream
    ]
    assert sends_on_slot, sends
    context.busy_send_ids = {"catalogue": sends_on_slot[0].send_id}


@when("a request to {service} arrives")
@when("a later request to {service} arrives")
def step_arrives(context, service):
    context.service = service
    send_request(context, service)


@when("a request to {service} arrives that another dispatcher forwarded")
def step_forwarded(context, service):
    send_request(context, service, hops=1)


@when("the busy slot becomes free")
def step_free(context):
    context.now += 0.001
    handle(context, dispatching.Answered(context.busy_send_ids[context.service], ANSWER))


@when("the sibling refuses the first request")
def step_refuses(context):
    refusal = records.Refusal(records.Verdict.NOT_RUN, "no_free_slot", "")
    context.now += 0.001
    handle(context, dispatching.ForwardEnded(context.request_ids[0], None, refusal))


@when("contact with the sibling is lost after the offer")
def step_lost(context):
    refusal = records.Refusal(records.Verdict.MAY_HAVE_RUN, "sibling_lost", "")
    handle(context, dispatching.ForwardEnded(context.request_ids[0], None, refusal))


@when("the home requests the slot")
def step_asks(context):
    context.now += 0.5
    handle(context, dispatching.LoanRequested((context.standby_upstream,), "host-0"))


@when("the standby's work ends and more work waits")
def step_standby_work_ends(context):
    handle(context, dispatching.Answered(context.busy_send_ids["catalogue"], ANSWER))
    context.ended = list(context.actions)
    send_request(context, "catalogue")
    context.actions = [
        action
        for action in context.ended + context.actions
        if not isinstance(action, dispatching.Send)
        or action.upstream.upstream_id == context.standby_upstream
    ]


@then("it is offered to the sibling")
def step_offered(context):
    (forward,) = list_actions(context, dispatching.Forward)
    assert (forward.host, forward.request.hops) == ("host-1", 1), forward


@then("no further offer is made within 7 ms")
def step_no_offer(context):
    assert not list_actions(context, dispatching.Forward), context.actions
    context.now += 0.007
    handle(context, dispatching.Ticked())
    assert not list_actions(context, dispatching.Forward), context.actions


@then("the first request is sent to the upstream")
def step_sent(context):
    (send,) = list_actions(context, dispatching.Send)
    assert send.request.request_id == context.request_ids[0], send


@then("nothing is sent to the upstream")
def step_not_sent(context):
    assert not list_actions(context, dispatching.Send), context.actions


@then("the first request ends as {verdict} without a send")
def step_ended(context, verdict):
    (refused,) = list_actions(context, dispatching.Refuse)
    assert refused.request_id == context.request_ids[0]
    assert refused.refusal.verdict is records.Verdict[verdict], refused
    assert not list_actions(context, dispatching.Send)


@then("it ends as {verdict} with the reason {reason}")
def step_refused(context, verdict, reason):
    (refused,) = list_actions(context, dispatching.Refuse)
    assert refused.refusal.verdict is records.Verdict[verdict], refused
    assert refused.refusal.reason == reason, refused


@then("nothing is lent")
def step_not_lent(context):
    (grant,) = list_actions(context, dispatching.GrantLoan)
    assert grant.upstreams == (), grant


@then("the slot is lent")
def step_lent(context):
    (grant,) = list_actions(context, dispatching.GrantLoan)
    assert grant.upstreams == (context.standby_upstream,), grant
