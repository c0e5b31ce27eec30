"""Steps of host_odd_values.feature."""

import json
import random
import time

import msgpack
from behave import given, then, when

from features import host_builders
from skylarksill import records as shared
from skylarksill.host import (
    _beliefcodec,
    _peercodec,
    belief,
    credentials,
    fleet,
    peers,
    records,
    relay,
    routes,
    steering,
)
from standins import platformdata

ODD_VALUES = (
    *(None, True, 0, -1, 1.5, 10**18, -(10**19), 10**30, 1e308, float("inf"), float("nan")),
    *("", "0", "1e999", "\ud800", "1ms", "1e300s", "-1s", "/", "north", "catalogue"),
    *([], [1], ["north", 1], {}, {"x": 1}, [{"service": "catalogue", "weight": 0}]),
)
SEED = 11


@given("the operators' configuration where {field} is {value}")
def step_odd_configuration(context, field, value):
    spec = platformdata.build_configuration_spec()
    part, _, name = field.partition(" ")
    kind = {"service": "services", "route": "routes"}.get(part)
    items = spec[kind] if kind else {"": spec}
    if part == "limits":
        items = {"": spec["limits"]}
    key = next(iter(items))
    if name == "name":
        items[json.loads(value)] = items.pop(key)
    else:
        items[key][name or part] = json.loads(value)
    context.spec = spec


# What is left of a part of the configuration of which one value is odd, by the part that is lost:
# functions of the decoded configuration and of its route "r-read", which is None if it is missing.
_LOST_PARTS = {
    "the service": lambda found, route: found.services["catalogue"].max_connections == 0,
    "the service's name": lambda found, route: not found.services,
    "the route": lambda found, route: _rejects_path(found) and route is None,
    "the route's path": lambda found, route: route is None and not found.unreadable_routes,
    "the priority": lambda found, route: route.priority > 1_000_000,
    "the repeats": lambda found, route: route.max_attempts == 1,
    "the repetition": lambda found, route: route.kind is shared.WorkKind.NON_IDEMPOTENT,
    "the affinity": lambda found, route: not route.is_sticky,
    "the access": lambda found, route: not route.is_public,
    "the idle time": lambda found, route: found.limits.idle_timeout_s == 15.0,
    "the body size": lambda found, route: found.limits.max_body_bytes == 1_048_576,
}


def _rejects_path(configuration):
    """Returns True if no shorter prefix may take over the requests of the unreadable route."""
    table = routes.RouteTable(configuration.routes, configuration.unreadable_routes)
    found = table.find("shop.example", "/read/1")
    return isinstance(found, records.UnreadableRoute)


@then("only {part} is lost, which is reported, and followers get the rest")
def step_part_lost(context, part):
    _, wire, _ = host_builders.import_platform()
    configuration = wire.decode_configuration(context.spec)
    by_id = {route.route_id: route for route in configuration.routes}
    assert _LOST_PARTS[part](configuration, by_id.get("r-read")), configuration
    assert "r-order" in by_id
    assert len(configuration.problems) == 1, configuration.problems
    _use(configuration)


@given("the operators' configuration with two accounts where {field} is {value}")
def step_odd_account(context, field, value):
    spec = platformdata.build_configuration_spec()
    first = {"apiKeys": ["key-1"], "priority": 1, "ratePerS": 4, "burst": 4, "allowedRegions": []}
    spec["tenants"] = {"first": first, "second": {"apiKeys": ["key-2"]}}
    first[field] = json.loads(value)
    context.spec = spec


@then("the first account is known by {keys}, and {count:d} problems are reported")
def step_account_known(context, keys, count):
    _, wire, _ = host_builders.import_platform()
    configuration = wire.decode_configuration(context.spec)
    known = {
        digest: account.account_id
        for account in configuration.accounts.values()
        for digest in account.key_digests
    }
    first = {digest for digest, account_id in known.items() if account_id == "first"}
    expected = set() if keys == "no key" else {credentials.compute_key_digest(keys.encode())}
    assert first == expected, known
    assert len(configuration.problems) == count, configuration.problems
    assert configuration.has_unreadable_accounts == bool(count)
    assert not any("key-" in problem.detail for problem in configuration.problems)
    _use(configuration)


@given("the operators' configuration whose accounts are {accounts}")
def step_odd_accounts(context, accounts):
    context.spec = platformdata.build_configuration_spec()
    context.spec["tenants"] = json.loads(accounts)


@then('a problem is reported, no account is known, and no report holds "{key}"')
def step_no_key_reported(context, key):
    _, wire, _ = host_builders.import_platform()
    configuration = wire.decode_configuration(context.spec)
    assert configuration.accounts == {}, configuration
    assert configuration.has_unreadable_accounts
    assert key not in repr(configuration.problems), configuration.problems


@then("it is rejected as malformed")
def step_rejected(context):
    _, wire, _ = host_builders.import_platform()
    try:
        wire.decode_configuration(context.spec)
    except wire.WireError:
        return
    raise AssertionError(f"{context.spec} was accepted")


@then(
    "{count:d} configurations with random values are rejected, or pass the codec and serve requests"
)
def step_random_configurations(context, count):
    _, wire, _ = host_builders.import_platform()
    rng = random.Random(SEED)
    accepted = 0
    for _ in range(count):
        spec = platformdata.build_configuration_spec()
        item = rng.choice(
            [spec["routes"]["r-read"], spec["services"]["catalogue"], spec["limits"], spec]
        )
        item[rng.choice([*item, "trafficSplit"])] = rng.choice(ODD_VALUES)
        try:
            configuration = wire.decode_configuration(spec)
        except wire.WireError:
            continue
        accepted += 1
        _use(configuration)
    assert accepted > count // 20, accepted


def _use(configuration):
    """Passes a configuration to a follower, which chooses upstreams for its routes."""
    source = belief.Belief()
    source.accept_configuration(configuration)
    upstream = host_builders.build_upstream("a", cold_s=3.0)
    source.replace_upstreams({"a": upstream}, 0.0)
    update = relay.make_update(source, relay.UNKNOWN_SEQUENCE, 0, False, 0.0)
    decoded = _beliefcodec.decode_update(_beliefcodec.encode_update(update))
    assert decoded == update
    host_fleet = fleet.Fleet("north")
    host_fleet.apply({"a": upstream}, configuration.services, (), host_builders.BOUNDS, 0.0)
    host_steering = steering.Steering(host_fleet, host_builders.BOUNDS.max_shift)
    for route in configuration.routes:
        choice = host_steering.choose(host_builders.build_query(b"17", route), 0.0)
        if hasattr(choice, "upstream"):
            host_fleet.admit_send(choice.upstream, 0.0)


@given("a source's update whose upstream has {field} of {value}")
def step_odd_update(context, field, value):
    value = float(value) if field == "cold_s" else int(value)
    source = belief.Belief()
    source.accept_configuration(host_builders.build_configuration())
    source.replace_upstreams({"a": host_builders.build_upstream("a", **{field: value})}, 0.0)
    update = relay.make_update(source, relay.UNKNOWN_SEQUENCE, 0, False, 0.0)
    context.payload = _beliefcodec.encode_update(update)


@then("the update is rejected as malformed")
def step_update_rejected(context):
    try:
        update = _beliefcodec.decode_update(context.payload)
    except _beliefcodec.CodecError:
        return
    raise AssertionError(f"{update} was accepted")


@given("a datagram with {part} of {value}")
def step_odd_datagram(context, part, value):
    value = json.loads(value)
    address = ("127.0.0.1", 81)
    incarnation = value if part == "an incarnation" else 1
    heartbeat = value if part == "a heartbeat" else 1
    entry = ("h", incarnation, "north-a", "north", address, address, heartbeat)
    entry += (records.HostState.SERVING.value, {}, False, 0)
    crash = (b"x" * 12, "a", 1, value if part == "a crash's age" else 1)
    restart = ("a", 1, value if part == "a restart's age" else 1, 1)
    packed = (_peercodec.VERSION, [entry], b"", [crash], b"", [restart])
    context.datagram = msgpack.packb(packed)


@then("the datagram is rejected as malformed")
def step_datagram_rejected(context):
    try:
        digest = _peercodec.decode_digest(context.datagram, time.monotonic())
    except _peercodec.CodecError:
        return
    raise AssertionError(f"{digest} was accepted")


@given("a table of peers")
def step_table(context):
    context.peer_table = peers.PeerTable(host_builders.build_host_record("own"), 0.0)


@when("a peer sends the incarnation {incarnation:d} of this host")
def step_incarnation(context, incarnation):
    context.peer_table.supersede(incarnation)


@then("the own record can still be sent")
def step_sendable(context):
    digest = _peercodec.Digest([context.peer_table.own_peer], [], [])
    decoded = _peercodec.decode_digest(_peercodec.encode_digest(digest, 1.0), 1.0)
    assert decoded.peers[0].record == context.peer_table.own
