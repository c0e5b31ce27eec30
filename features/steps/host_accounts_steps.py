"""Steps of host_accounts.feature."""

import codecs
import dataclasses
import itertools
import json
import random
import struct

import eventlet
from behave import given, then, when
from eventlet.green import socket

from features import account_builders, host_builders, host_world
from skylarksill.host import (
    accountloads,
    accounts,
    credentials,
    placement,
    priorities,
    records,
    steering,
)
from standins import platformdata

SPOOFS = (
    "Connection: X-Skylarksill-Tenant",
    "X-Skylarksill-Tenant: other",
    "x-skylarksill-TENANT: other",
    "X_Skylarksill_Tenant: other",
)
NAMES = host_builders.import_platform()[1].HEADER_NAMES


@then('the Authorization fields "{values}" hold {found}')
@then('the Authorization fields "" hold {found}')
def step_parse(context, found, values=""):
    values = [codecs.escape_decode(value.encode())[0] for value in values.split(" / ") if value]
    result = credentials.parse_key([(b"authorization", value) for value in values])
    if isinstance(result, credentials.KeyFault):
        assert result.value == found, result
    else:
        is_key = result == credentials.compute_key_digest(b"k-acme")
        assert found == ("the key" if is_key else "another key"), result


@given("accounts of which {problem} can't be read")
def step_accounts(context, problem):
    known = [
        account_builders.build_account(name, (f"k-{name}", "k-shared")) for name in ("acme", "ben")
    ]
    kind = records.ProblemKind.ACCOUNT
    problems = () if problem == "none" else (records.Problem(kind, "third", "odd"),)
    configuration = account_builders.build_configuration(1, *known, problems=problems)
    context.account_table = accounts.AccountTable(configuration)


@then("a request to a {route} route with {key} on {host} host is {identity}")
def step_identity(context, route, key, host, identity):
    headers = [] if key == "no key" else [(b"authorization", b"Bearer " + key.encode())]
    match context.account_table.identify(headers, route == "public", host == "an outdated"):
        case accounts.Identified(account):
            assert account.account_id == identity
        case accounts.Anonymous():
            assert identity == "anonymous"
        case accounts.Denial(reason):
            assert reason.value == identity, reason


@given("accounts of the priorities 1 and 3, and routes of the priorities 0 and 2")
def step_priorities(context):
    context.identities = [
        accounts.Identified(account_builders.build_account(f"p{value}", priority=value))
        for value in (1, 3)
    ]
    context.routes = [
        host_builders.build_route(route_id=f"r{value}", prefix=f"/{value}/", priority=value)
        for value in (0, 2)
    ]
    base = host_builders.build_configuration(1, tuple(context.routes))
    known = {item.account.account_id: item.account for item in context.identities}
    context.ranks = priorities.PriorityRanks(dataclasses.replace(base, accounts=known))


@then("the ranks of all pairs rise with the account first, and requests of no account come last")
def step_ranks(context):
    identities = [*context.identities, accounts.Anonymous()]
    found = [
        context.ranks.find_rank(route, "catalogue", identity)
        for identity, route in itertools.product(identities, context.routes)
    ]
    assert found == [(rank, 6) for rank in range(6)], found
    context.found = found


def _compute_limit_s(rank, count):
    query = dataclasses.replace(host_builders.build_query(), rank=rank, rank_count=count)
    return placement.compute_wait_limit_s(query, 0.0)


@then("each rank may wait less than the one before it")
def step_waits(context):
    limits_s = [_compute_limit_s(*pair) for pair in context.found]
    assert limits_s == sorted(set(limits_s), reverse=True), limits_s


@then("without accounts the ranks 0 to 3 may wait 1.0, 0.7, 0.5 and 0.5 of the limit")
def step_waits_without(context):
    first_s = _compute_limit_s(0, None)
    shares = [round(_compute_limit_s(rank, None) / first_s, 6) for rank in range(4)]
    assert shares == [1.0, 0.7, 0.5, 0.5], shares


@then('a route for "{route}" and an account for "{account}" permit "{regions}"')
@then('a route for "" and an account for "{account}" permit "{regions}"')
@then('a route for "{route}" and an account for "" permit "{regions}"')
@then('a route for "" and an account for "" permit "{regions}"')
def step_regions(context, regions, route="", account=""):
    route = host_builders.build_route(regions=frozenset(filter(None, route.split(","))))
    restricted = frozenset(filter(None, account.split(",")))
    identity = accounts.Identified(account_builders.build_account(regions=restricted))
    found = accounts.find_regions(route, identity)
    assert ("none" if found is None else ",".join(sorted(found)) or "all") == regions, found


@then('a host in "north" places a request for "{regions}", of which {tried} was tried, in {result}')
def step_placed(context, regions, tried, result):
    upstreams = [host_builders.build_upstream(name, name) for name in ("north", "south")]
    known = host_builders.build_fleet(upstreams)
    query = dataclasses.replace(
        host_builders.build_query(b"object"),
        regions=frozenset(regions.split(",")),
        excluded=frozenset((tried,)),
    )
    choice = steering.Steering(known, 0.15, random.Random(1)).choose(query, 0.0)
    match choice:
        case placement.Placement(upstream):
            assert upstream.record.region == result, choice
        case placement.Rejection(reason):
            assert reason == result, choice


def _configure(context, *known, **options):
    generation = context.world.belief.configuration.generation + 1
    configuration = account_builders.build_configuration(generation, *known, **options)
    context.world.belief.accept_configuration(configuration)


@given('the host knows the account "{name}"')
def step_account(context, name):
    _configure(context, account_builders.build_account(name))


@given('an account "{name}" for the region "{region}" and a route for "{other}"')
def step_account_regions(context, name, region, other):
    account = account_builders.build_account(name, regions=frozenset((region,)))
    _configure(context, account, route=host_builders.build_route(regions=frozenset((other,))))


@given('credit for {count:d} requests of "{name}", granted after {wait_s:g} s')
def step_credit(context, name, count, wait_s):
    _set_credit(context, name, account_builders.FakeCredit(count, wait_s))


@given('{count:d} permits of "{name}" that last {life_s:g} s')
def step_short_credit(context, count, name, life_s):
    _set_credit(context, name, account_builders.FakeCredit(count, lifetime_s=life_s))


@given("connecting takes {wait_s:g} s")
def step_slow_connect(context, wait_s):
    pool = context.world.pool
    connect = pool.open

    def connect_late(upstream, timeout_s):
        eventlet.sleep(wait_s)
        return connect(upstream, timeout_s)

    pool.open = connect_late


def _set_credit(context, name, credit):
    context.credit = context.world.forwarder.credit = credit
    _configure(context, account_builders.build_account(name, rate=1.0))


@given('the key of "{name}" is removed as soon as an upstream has got the request')
def step_revoke_at_upstream(context, name):
    def revoke(request_id):
        _configure(context, account_builders.build_account(name, keys=()))

    for item in context.world.workers.values():
        item.on_run = item.on_refuse = revoke


@given('the key of "{name}" is removed after {seconds:g} s')
def step_revoke_later(context, name, seconds):
    account = account_builders.build_account(name, keys=(), rate=1.0)
    eventlet.spawn_after(seconds, _configure, context, account)


def _format(key, headers=()):
    headers = (f"Authorization: Bearer {key}", *headers)
    return platformdata.format_request("GET /read/1", "r1", headers=headers)


def _send(context, data):
    context.key = data.partition(b"Bearer ")[2].partition(b"\r\n")[0]
    client = context.world.connect()
    client.sendall(data)
    context.answer = platformdata.AnswerReader(client).read()


@when('a client with the key "{key}" sends a request')
def step_send(context, key):
    _send(context, _format(key))


@when('a client with the key "{key}" sends a request that names another account in many ways')
def step_send_spoofs(context, key):
    _send(context, _format(key, SPOOFS))


@when('a client with the key "{key}" sends a request and resets its connection')
def step_send_and_reset(context, key):
    client = context.world.connect()
    client.sendall(_format(key))
    eventlet.sleep(0.1)
    client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    client.close()
    host_world.wait_until(1.0, lambda: context.credit.returned)


@then('the upstream got the account "{name}" once and no key')
def step_got_account(context, name):
    (head,) = [head for item in context.world.workers.values() for head in item.heads]
    lines = head.lower().split("\r\n")
    named = [line for line in lines if "tenant" in line]
    assert named == [f"{NAMES.account.decode()}: {name}"], head
    assert "authorization" not in head.lower() and context.key.decode() not in head, head


@then("the upstream got the key and what the client said of its account")
def step_got_all(context):
    (head,) = [head for item in context.world.workers.values() for head in item.heads]
    # The client names one of the headers in its Connection header, so that both copies end here.
    assert f"authorization: Bearer {context.key.decode()}" in head, head
    assert SPOOFS[-1].lower() in head.lower(), head


@then("neither the log nor the metrics hold the key")
def step_no_key(context):
    context.world.log.flush()
    counts = (context.world.counters, context.world.forwarder._counters)
    texts = (bytes(context.world.log_bytes), *(item.format().encode() for item in counts))
    assert texts[0] and all(context.key not in text for text in texts), texts


@then("the answer is 401 with a challenge")
def step_challenge(context):
    status, headers, _ = context.answer
    assert (status, headers["www-authenticate"]) == (401, "Bearer"), context.answer


@then("the upstreams got 1 request")
def step_got_one(context):
    heads = [head for item in context.world.workers.values() for head in item.heads]
    assert len(heads) == 1, heads


@then('the log names the reason "{reason}"')
def step_reason(context, reason):
    context.world.log.flush()
    events = [json.loads(line) for line in context.world.log_bytes.splitlines()]
    assert [event["reason"] for event in events if event["event"] == "request"] == [reason]


@then("{granted:d} permits were granted and {returned:d} given back")
@then("{granted:d} permit was granted and {returned:d} given back")
def step_permits(context, granted, returned):
    credit = context.credit
    assert (len(credit.granted), len(credit.returned)) == (granted, returned), vars(credit)
    assert all(permit in credit.granted for permit in credit.returned)


@given("requests of {count:d} accounts, of the last ones the most")
def step_loads(context, count):
    context.loads = accountloads.AccountLoads()
    for index in range(count):
        for number in range(1 + index * 30 // count):
            context.loads.count(f"t{index}", number == 0)


@then('{count:d} accounts are counted, and {shown:d} shown, "{name}" among them')
def step_shown(context, count, shown, name):
    assert len(context.loads._loads) == count, len(context.loads._loads)
    busiest = context.loads.list_busiest()
    assert len(busiest) == shown and busiest[name] == accountloads.AccountLoad(30, 1), busiest


@then('the metrics show {count:d} requests of the account "{name}" and {refused:d} refused')
def step_account_metrics(context, count, name, refused):
    forwarder = context.world.forwarder
    forwarder.report_account_loads()
    lines = forwarder._counters.format().splitlines()
    assert f'skylarksill_account_requests{{label="{name}"}} {count}' in lines, lines
    assert f'skylarksill_account_refused_requests{{label="{name}"}} {refused}' in lines, lines
    assert f'skylarksill_account_refusals_total{{label="no_credit"}} {refused}' in lines, lines
