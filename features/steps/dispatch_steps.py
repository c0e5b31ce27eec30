"""Steps of dispatch.feature."""

import dataclasses
import json

import eventlet
from behave import given, then, when

from features import builders
from skylarksill import clock, dispatch, messages, records, rpc, settings, tickets
from standins import upstream as standin

HOSTS = ("host-0", "host-1")
TIMEOUT_S = 20.0


class OffsetClock(clock.SystemClock):
    """System clock whose monotonic time a test can move forward to skip waits after a start."""

    def __init__(self):
        self.offset_s = 0.0

    def monotonic(self):
        return super().monotonic() + self.offset_s


class FixedView:
    """Replaces the AgentViewClient; both hosts have accepted the configuration in its view."""

    def __init__(self, configuration):
        self.configuration = configuration
        self.state = records.LifecycleState.SERVING
        self.load_age_offset_ms = 0
        self.age_s = 0.0
        self.is_stale = False
        peers = tuple(
            messages.PeerView(
                messages.PeerEntry(host, "north-a", "i", 1, 1, records.LifecycleState.SERVING, ()),
                True,
                0,
            )
            for host in HOSTS
        )
        self.view = messages.ViewResult(1, None, (), peers, (), (), (), 0)

    def start(self):
        """Does nothing, as the view is fixed."""

    stop = request_poll = poll = start


@given("the dispatchers host-0 and host-1 with stand-in upstreams")
def step_dispatchers(context):
    configuration = make_configuration(context)
    context.clock = OffsetClock()
    context.daemons = {}
    for host in configuration.hosts[:2]:
        host_settings = settings.Settings(
            host.host_id,
            host.zone_id,
            host.address,
            0,
            0,
            host.dispatch_port,
            0,
            builders.SHARED_KEY,
            None,
            (),
            None,
            "WARNING",
        )
        daemon = dispatch.DispatchDaemon(host_settings, context.clock, FixedView(configuration))
        daemon.accept_configuration(configuration, None)
        daemon.start()
        context.daemons[host.host_id] = daemon
        context.add_cleanup(daemon.stop)
    context.hosts = {host.host_id: host for host in configuration.hosts}
    context.client = open_client(context, "host-0")
    # Skips the waits after a start in two steps, since a loan must be requested between them.
    for pause_s in (0.25, 0.6):
        context.clock.offset_s += 10
        eventlet.sleep(pause_s)


def make_configuration(context):
    configuration = builders.build_configuration(slots=3)
    hosts = []
    for index, host in enumerate(configuration.hosts):
        listener = eventlet.listen((f"127.0.13.{index + 10}", 0))
        address, port = listener.getsockname()
        listener.close()
        hosts.append(dataclasses.replace(host, address=address, dispatch_port=port))
    context.servers = {}
    upstreams = []
    for upstream in configuration.upstreams:
        worker = standin.Worker(upstream.upstream_id, "127.0.13.201", 0, slots=3, mean_ms=5)
        server = context.servers[upstream.upstream_id] = standin.WorkerServer(worker)
        server.start()
        context.add_cleanup(server.stop)
        upstreams.append(dataclasses.replace(upstream, address=worker.address, port=worker.port))
    return dataclasses.replace(configuration, hosts=tuple(hosts), upstreams=tuple(upstreams))


def open_client(context, host_id, name="host-9"):
    host = context.hosts[host_id]
    client = rpc.RpcClient(
        (host.address, host.dispatch_port),
        builders.SHARED_KEY,
        rpc.Identity("entry", name, "e1"),
    )
    context.add_cleanup(client.close)
    return client


def send_request(context, timeout_s=TIMEOUT_S, **fields):
    request = builders.build_request(**fields)
    body = messages.encode_message(messages.DispatchCall(request))
    answer = context.client.call("dispatch", body, timeout_s)
    return messages.decode_message(messages.DispatchResult, answer)


def set_work_duration(context, work_s):
    for server in context.servers.values():
        server.worker.mean_ms = 1000 * work_s


def start_requests(context, count, work_s):
    set_work_duration(context, work_s)
    context.threads = [
        eventlet.spawn(
            send_request, context, request_id=f"c{n}", path=f"/c/{n}", deadline_ms=10_000
        )
        for n in range(count)
    ]


@when("host-0 gets {count:d} requests of {work_s:g} s at once")
def step_send_requests(context, count, work_s):
    start_requests(context, count, work_s)
    context.results = [thread.wait() for thread in context.threads]


def make_ticket(context, service="deposits", lifetime_ms=60_000):
    now_ms = int(1000 * context.clock.unix())
    participants = [(host, context.daemons[host].incarnation) for host in HOSTS]
    return tickets.new_ticket(
        records.TicketId("t1"), service, *participants, now_ms, lifetime_ms=lifetime_ms
    )


def send_deposit(context, ticket_text, request_id="d1"):
    return send_request(
        context,
        service="deposits",
        method="POST",
        body=b'{"work_id": "deposit"}',
        ticket=ticket_text,
        request_id=request_id,
    )


def sign(ticket):
    return tickets.sign_ticket(builders.SHARED_KEY, ticket)


@when("host-0 gets a deposit 5 times at once with the same ticket")
def step_repeat_deposit(context):
    text = sign(make_ticket(context))
    threads = [eventlet.spawn(send_deposit, context, text, f"d{n}") for n in range(5)]
    context.results = [thread.wait() for thread in threads]


@when("host-0 gets a deposit with {kind}")
def step_deposit(context, kind):
    match kind:
        case "no ticket":
            text = None
        case "a forged ticket":
            text = tickets.sign_ticket(b"another key of 32 bytes.........", make_ticket(context))
        case "a ticket of another service":
            text = sign(make_ticket(context, service="catalogue"))
        case "an expired ticket":
            text = sign(make_ticket(context, lifetime_ms=-1000))
        case "a good ticket" | "this ticket":
            context.ticket = getattr(context, "ticket", None) or make_ticket(context)
            text = sign(context.ticket)
    context.result = send_deposit(context, text)


@given("host-1 has stopped")
def step_stop(context):
    context.daemons["host-1"].stop()


@when("the arbiter gets the revocation of {which} ticket")
def step_revoke(context, which):
    if which == "a":
        context.ticket = make_ticket(context)
    client = open_client(context, "host-1")
    body = messages.encode_message(messages.RevokeCall(context.ticket))
    eventlet.sleep(0.05)
    answer = client.call("revoke", body, TIMEOUT_S)
    context.claim = messages.decode_message(messages.ClaimResult, answer)


@when("host-0 gets a request that truncates its answer")
def step_truncate(context):
    headers = (("Standin-Do", "truncate"),)
    context.result = send_request(context, headers=headers, deadline_ms=500)


@when("a caller disconnects while its request hangs")
def step_disconnect(context):
    client = context.client
    context.client = open_client(context, "host-0")
    headers = (("Standin-Do", "hang"),)
    thread = eventlet.spawn(
        send_request, context, headers=headers, path="/hang", deadline_ms=10_000
    )
    server = context.servers["catalogue-north-a"]
    while not server.record.in_flight:
        eventlet.sleep(0.005)
    context.client.close()
    thread.kill()
    while server.record.in_flight:
        eventlet.sleep(0.005)
    context.client = client


@when("host-0 gets 2 requests of 1.5 s and is told to leave")
def step_leave_with_work(context):
    start_requests(context, 2, 1.5)
    eventlet.sleep(0.05)
    context.leaving = eventlet.spawn(context.daemons["host-0"].leave)
    eventlet.sleep(1.1)
    context.result = send_request(context, request_id="late", path="/late")


@when("host-7 asks host-1 for a loan in the name of host-0")
def step_borrow_for_other(context):
    client = open_client(context, "host-1", name="host-7")
    body = messages.encode_message(messages.LendCall(("catalogue-north-a",), "host-0", "x"))
    try:
        client.call("lend", body, TIMEOUT_S)
        context.error = None
    except rpc.CallFailedError as error:
        context.error = error


def count_runs(context):
    return sum(server.record.work["deposit"] for server in context.servers.values())


@then("all were answered and the upstream ran 3 of them at the same time")
def step_all_ran(context):
    assert all(result.answer.status == 200 for result in context.results)
    record = context.servers["catalogue-north-a"].record
    assert (record.max_in_flight, record.over_slots) == (3, 0)


@then("the upstreams ran the deposit once")
def step_ran_once(context):
    assert count_runs(context) == 1


@then("the upstreams ran the deposit {count:d} times")
def step_run_count(context, count):
    assert count_runs(context) == count


@then("every sender got the same answer")
def step_same_answer(context):
    bodies = {result.answer.body for result in context.results}
    assert len(bodies) == 1
    assert json.loads(bodies.pop())["work_id"] == "deposit"


@then("the deposit ended as NOT_RUN because of {reason}")
def step_deposit_reason(context, reason):
    assert context.result.verdict is records.Verdict.NOT_RUN
    assert context.result.refusal.reason == reason, context.result


@then("the arbiter returns the deposit's answer")
def step_arbiter_answer(context):
    assert context.claim.state is records.ClaimState.RAN
    assert context.claim.answer == context.result.answer


@then("the request ended as MAY_HAVE_RUN without an answer")
def step_no_answer(context):
    assert context.result.verdict is records.Verdict.MAY_HAVE_RUN
    assert context.result.answer is None


@then("new requests are refused as NOT_RUN because of leaving")
def step_refused(context):
    assert context.result.verdict is records.Verdict.NOT_RUN
    assert context.result.refusal.reason == "leaving"


@then("all were answered before host-0 had left")
def step_answered(context):
    assert not context.leaving.dead
    results = [thread.wait() for thread in context.threads]
    assert all(result.answer.status == 200 for result in results)
    context.leaving.wait()


@then("the loan is refused")
def step_loan_refused(context):
    assert context.error is not None and context.error.reason == "wrong_borrower"
