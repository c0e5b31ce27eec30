"""Steps of entry.feature that set up the daemon and the fake dispatchers."""

import dataclasses
import random

import eventlet
from behave import given

from features import builders, fake_dispatchers, steering_builders
from skylarksill import clock, entry, messages, records

ADDRESS = "127.0.12.2"
FAKE_ADDRESS = "127.0.12.3"
NEVER_ANSWER_DELAY_S = 30

CLAIM_RESULTS = {
    "revoked": (records.ClaimState.REVOKED,),
    "ran with answer": ("answer",),
    "ran without answer": (records.ClaimState.RAN,),
    "claimed": (records.ClaimState.CLAIMED,),
    "claimed, then ran": (records.ClaimState.CLAIMED, "answer"),
    "unknown": (records.ClaimState.UNKNOWN,),
}
COPIED_ANSWER = records.Answer(200, (), b"copied answer")


def start_daemon(context, **link_fields):
    base_configuration = builders.build_configuration()
    context.fakes = {
        host.host_id: fake_dispatchers.FakeDispatcher(host.host_id, FAKE_ADDRESS)
        for host in base_configuration.hosts
    }
    hosts = tuple(
        dataclasses.replace(
            host, address=FAKE_ADDRESS, dispatch_port=context.fakes[host.host_id].port
        )
        for host in base_configuration.hosts
    )
    links = tuple(dataclasses.replace(link, **link_fields) for link in base_configuration.links)
    context.configuration = dataclasses.replace(base_configuration, hosts=hosts, links=links)
    context.viewer = steering_builders.FakeViewer(context.configuration)
    context.daemon = entry.EntryDaemon(
        steering_builders.build_settings(ADDRESS), clock.SystemClock(), context.viewer
    )
    context.address = context.daemon.start()
    context.add_cleanup(stop_daemon, context)


def stop_daemon(context):
    context.daemon._server.stop()
    context.daemon._refresh_thread.kill()
    context.daemon._dispatch_calls.close()
    for fake in context.fakes.values():
        fake.die()


@given("an entry daemon without a configuration")
def step_no_configuration(context):
    start_daemon(context)


@given("an entry daemon with four dispatchers")
def step_daemon(context):
    start_daemon(context)
    context.daemon.accept_configuration(context.configuration, None)


@given("an entry daemon with four dispatchers and a link of {rate:d} bytes per second")
def step_daemon_link(context, rate):
    start_daemon(context, bytes_per_s=rate)
    context.daemon.accept_configuration(context.configuration, None)


@given("the dispatchers of north are dead")
def step_north_dead(context):
    context.viewer.show(dead={"host-0", "host-1"})
    context.daemon.source.refresh()


@given("the entry daemon sees all dispatchers as dead")
def step_all_dead(context):
    context.viewer.show(dead=set(context.fakes))
    context.daemon.source.refresh()


@given("the entry daemon has served {count:d} requests")
def step_served(context, count):
    for _ in range(count):
        path = "/v1/catalogue/before"
        assert steering_builders.send_http(context.address, "GET", path)[0] == 200


@given("the dispatcher of {host} is dead")
def step_dispatcher_dead(context, host):
    context.fakes[host].die()
    eventlet.sleep(0.01)


@given("the dispatcher of {host} dies when it gets a request")
def step_dispatcher_dies(context, host):
    def die(request):
        context.fakes[host].die()
        eventlet.sleep(0.01)

    context.fakes[host].behave = die


@given("the dispatcher of {host} never answers")
def step_never(context, host):
    context.fakes[host].behave = fake_dispatchers.answer_after(NEVER_ANSWER_DELAY_S)


@given("the dispatcher of {host} hangs")
def step_hangs(context, host):
    context.fakes[host].hangs = True


@given("the dispatcher of {host} is another incarnation")
def step_other_incarnation(context, host):
    context.fakes[host].behave = fake_dispatchers.refuse_with("other_home", "MAY_HAVE_RUN")


@given("the dispatcher of {host} fails inside")
def step_fails(context, host):
    def fail(request):
        raise RuntimeError("test failure")

    context.fakes[host].behave = fail


@given("the dispatcher of {host} refuses with {reason} and {verdict}")
def step_refuses(context, host, reason, verdict):
    context.fakes[host].behave = fake_dispatchers.refuse_with(reason, verdict)


@given("all dispatchers of north refuse with the limit {limit}")
def step_refuse_limit(context, limit):
    for host in ("host-0", "host-1"):
        behave = fake_dispatchers.refuse_with("shift_cap", "NOT_RUN", limit)
        context.fakes[host].behave = behave


@given("the dispatcher of {host} answers after {seconds:g} s")
def step_late(context, host, seconds):
    context.fakes[host].behave = fake_dispatchers.answer_after(seconds)


@given("the dispatchers answer in random order")
def step_random_order(context):
    rng = random.Random(3)

    def behave(request):
        eventlet.sleep(rng.random() / 20)
        return fake_dispatchers.echo_request(request)

    for fake in context.fakes.values():
        fake.behave = behave


@given("the arbiter on {host} reports nothing, it is dead")
def step_arbiter_dead(context, host):
    context.fakes[host].die()


@given("the arbiter on {host} reports {claim}")
def step_arbiter(context, host, claim):
    context.fakes[host].claim_states = [
        (
            messages.ClaimResult(records.ClaimState.RAN, COPIED_ANSWER)
            if state == "answer"
            else messages.ClaimResult(state)
        )
        for state in CLAIM_RESULTS[claim]
    ]
