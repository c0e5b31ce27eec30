"""Steps of routing.feature."""

import collections
import dataclasses
import ipaddress
import random

from behave import given, then, when

from features import builders, steering_builders
from skylarksill import records, routing

ZONES = ("north-a", "north-b", "south-a", "south-b")
CLIENT_CACHE_S = 5
DEMAND_SLOTS = 100


def build_with_blocks(*pairs):
    blocks = tuple(records.Block(prefix, zone) for prefix, zone in pairs)
    return dataclasses.replace(builders.build_configuration(), blocks=blocks)


def build_view(context, configuration=None, now=0.0, **states):
    context.configuration = configuration or builders.build_configuration()
    context.routing_table = routing.RoutingTable.build(context.configuration)
    context.view = routing.SteeringView()
    update_view(context, now, **states)


def update_view(context, now, loads=(), **states):
    peers = steering_builders.build_peers(context.configuration, **states)
    context.view.apply_report(context.routing_table, peers, loads, now)


def rank(context, client, now=0.0, lookup_host_zone="north-a", service="deposits"):
    query = routing.Query(service, client, lookup_host_zone)
    context.ranking = routing.rank_hosts(context.routing_table, query, context.view, now)
    return context.ranking


@given("random nested client blocks of both address families")
def step_random_blocks(context):
    rng = random.Random(7)
    context.networks = {}
    for _ in range(3000):
        length = rng.choice((4, 8, 12, 14, 16))
        bits = rng.getrandbits(length)
        context.networks[ipaddress.ip_network((bits << 32 - length, length))] = None
        context.networks[ipaddress.ip_network((bits << 128 - length, length))] = None
    for network in context.networks:
        context.networks[network] = rng.choice(ZONES)
    configuration = build_with_blocks(*[(str(n), zone) for n, zone in context.networks.items()])
    context.blocks = routing.BlockTable.build(configuration)


@then("the block table finds the same zones as a search of all blocks")
def step_same_zones(context):
    rng = random.Random(8)
    for _ in range(500):
        bits = rng.getrandbits(18)
        check_address(context, ipaddress.IPv4Address(bits << 14))
        check_address(context, ipaddress.IPv6Address(bits << 110))


def check_address(context, address):
    lengths = range(address.max_prefixlen, -1, -1)
    networks = (ipaddress.ip_network((address, length), strict=False) for length in lengths)
    expected = next((context.networks[n] for n in networks if n in context.networks), None)
    assert context.blocks.find(str(address)) == expected, address


@given("a routing table with the blocks 10.0.0.0/8, 10.1.0.0/16, 10.1.2.3 and 2001:db8::/32")
def step_edge_blocks(context):
    pairs = zip(("10.0.0.0/8", "10.1.0.0/16", "10.1.2.3", "2001:db8::/32"), ZONES, strict=True)
    context.blocks = routing.BlockTable.build(build_with_blocks(*pairs))


@then("the block of {client} belongs to {zone}")
def step_block_zone(context, client, zone):
    assert context.blocks.find(client) == (None if zone == "none" else zone)


@when("a routing table is built with the block {prefix}")
def step_malformed_block(context, prefix):
    try:
        routing.RoutingTable.build(build_with_blocks((prefix, "north-a")))
    except ValueError as error:
        context.error = error


@then("the routing error names {prefix}")
def step_names_block(context, prefix):
    assert prefix in str(context.error)


@given("a routing table with all hosts alive")
def step_all_alive(context):
    build_view(context)


@given("a routing table with all hosts leaving")
def step_all_leaving(context):
    build_view(context, leaving={f"host-{index}" for index in range(4)})


@given("a routing table with all hosts of north dead")
def step_region_dead(context):
    build_view(context, dead={"host-0", "host-1"})


@given("a routing table with {host:w}-{index:d} {state}")
def step_host_state(context, host, index, state):
    name, _, duration = state.partition(" for ")
    build_view(context, **{name: {f"{host}-{index}"}})
    if duration:
        update_view(context, float(duration.split()[0]), **{name: {f"{host}-{index}"}})


@given("a routing table with a shift of {percent:d} percent from north to south")
def step_shift(context, percent):
    configuration = dataclasses.replace(
        builders.build_configuration(),
        shifts=(records.Shift("move", "north", "south", percent),),
    )
    build_view(context, configuration)


@then("client {client} is ranked to {hosts}")
def step_ranked(context, client, hosts):
    expected = [] if hosts == "no host" else hosts.split(", ")
    ranked = [host.host_id for host in rank(context, client).hosts]
    # The order of the zones of another region depends on the client's network.
    assert ranked[:2] == expected[:2], ranked
    assert sorted(ranked) == sorted(expected), ranked
    assert not expected or ranked[-1] == expected[-1] or expected[-1] == "host-3", ranked


@then("client {client} with a lookup to zone {zone} is ranked first to {host}")
def step_ranked_first(context, client, zone, host):
    assert rank(context, client, lookup_host_zone=zone).hosts[0].host_id == host


@then("client {client} is ranked first to a host of {region}")
def step_ranked_region(context, client, region):
    host = rank(context, client).hosts[0]
    assert context.routing_table.regions_by_zone[host.zone_id] == region


@then("its cause is {cause}")
def step_cause(context, cause):
    assert context.ranking.cause.value == cause, context.ranking.cause


@then("a ticket for client {client} has home {home} and arbiter {arbiter}")
def step_ticket_hosts(context, client, home, arbiter):
    hosts = rank(context, client).ticket_hosts
    assert (hosts.home, str(hosts.arbiter)) == (home, arbiter), hosts
    assert hosts.home_incarnation == f"dispatch-{home}"


@then("between {low:d} and {high:d} percent of {count:d} networks go to south")
def step_shift_share(context, low, high, count):
    targets = collections.Counter(
        rank(context, f"10.0.{n % 256}.{n // 256}", now=float(n)).target for n in range(256)
    )
    targets += collections.Counter(
        rank_network(context, n).target for n in range(count - targets.total())
    )
    assert low <= 100 * targets["south"] / count <= high, targets


def rank_network(context, number):
    return rank(context, f"172.{16 + number // 256}.{number % 256}.1", now=1000.0 + number)


@then("all clients of one network go to the same region each time")
def step_shift_stable(context):
    for network in range(50):
        clients = [f"10.0.{network}.{client}" for client in (0, 7, 255)]
        targets = {rank(context, c, now=9000.0 + 2 * network + 60).target for c in clients}
        assert len(targets) == 1, network


@when("{count:d} clients of north look up within one second")
def step_burst(context, count):
    context.targets = collections.Counter(
        rank(context, f"10.0.{n}.1", now=n / count).target for n in range(count)
    )


@then("{count:d} of them go to south and the others stay")
def step_capped(context, count):
    assert context.targets["south"] == count, context.targets


@given("north receives {north:d} percent of its capacity and south {south:d} percent")
def step_demand(context, north, south):
    build_view(context)
    context.demand = {"north": float(north), "south": float(south)}
    context.now = 0.0
    context.history = [0.0]


@when("the demand of north falls to {percent:d} percent")
def step_demand_falls(context, percent):
    context.demand["north"] = float(percent)


@when("clients with cached lookups follow the shares for {seconds:d} seconds")
def step_follow(context, seconds):
    for _ in range(seconds):
        context.now += 1.0
        spilled = context.demand["north"] * context.history[-CLIENT_CACHE_S:][0]
        work = {
            "north": context.demand["north"] - spilled,
            "south": context.demand["south"] + spilled,
        }
        loads = [
            steering_builders.build_load(host.host_id, "catalogue", 50, int(work[region] / 2))
            for host in context.configuration.hosts
            for region in [context.routing_table.regions_by_zone[host.zone_id]]
        ]
        update_view(context, context.now, loads)
        context.history.append(get_share(context))


def get_share(context):
    return context.view.get_share("catalogue", "north").value


@then("the share of north settles between {low:g} and {high:g} and changes direction at most twice")
def step_settled(context, low, high):
    steps = [b - a for a, b in zip(context.history, context.history[1:], strict=False) if a != b]
    direction_changes = sum(a * b < 0 for a, b in zip(steps, steps[1:], strict=False))
    assert direction_changes <= 2, direction_changes
    assert low <= context.history[-1] <= high, context.history[-1]
    assert max(context.history[-20:]) - min(context.history[-20:]) < 0.02


@given("load reports of north that are {age:d} seconds old and show {percent:d} percent")
def step_outdated_loads(context, age, percent):
    build_view(context)
    context.loads = [steering_builders.build_load("host-0", "catalogue", 100, percent, 1000 * age)]


@when("the view is updated for {seconds:d} seconds")
def step_update_view(context, seconds):
    for second in range(seconds):
        update_view(context, float(second), context.loads)


@then("the share of north is {share:g}")
def step_share(context, share):
    assert get_share(context) == share
