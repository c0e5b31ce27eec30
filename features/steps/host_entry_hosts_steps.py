"""Steps of host_entry_hosts.feature."""

import collections
import dataclasses
import random
import types

from behave import given, then, when

from features import host_builders
from skylarksill.host import (
    _peerentries,
    counters,
    entryhosts,
    hostload,
    lookup,
    peers,
    records,
)


def _build_load(processor_share, link_share, **changes):
    return records.HostLoad(0.0, processor_share, link_share, **changes)


@given(
    "a region of {count:d} hosts in {zones:d} zones, {large:d} of each zone are {scale:g} times as"
    " large as the others"
)
def step_region(context, count, zones, large, scale):
    context.hosts = [
        entryhosts.Candidate(
            f"h{index:02}",
            f"z{index % zones}",
            host_builders.build_capacity((scale if index // zones < large else 1.0) / scale),
            None,
        )
        for index in range(count)
    ]
    context.named = entryhosts.NamedHosts()


@given("a load of {cores:g} cores and {links:g} of all links")
def step_load(context, cores, links):
    context.links = links
    total = sum(host.capacity.cores for host in context.hosts)
    context.load = _build_load(cores / total, links)
    context.cores = cores
    context.hosts = [dataclasses.replace(host, load=context.load) for host in context.hosts]


@when("the named hosts are chosen at {now:g} s")
def step_choose(context, now):
    context.choice = context.first = context.named.update(context.hosts, now)


@when("the load becomes {cores:g} cores and the named hosts are chosen at {now:g} s")
def step_new_load(context, cores, now):
    context.before = set(context.choice.host_ids)
    step_load(context, cores, context.links)
    context.choice = context.named.update(context.hosts, now)


@when("{lost} is lost and the named hosts are chosen at {now:g} s")
def step_lost(context, lost, now):
    zones = _count_zones(context)
    lost_zone = max(zones, key=zones.get) if lost == "the largest zone" else None
    context.lost = {
        host.host_id
        for host in context.hosts
        if host.zone == lost_zone or (not lost_zone and host.host_id == context.choice.host_ids[0])
    }
    context.hosts = [host for host in context.hosts if host.host_id not in context.lost]
    step_load(context, context.cores, context.links)
    context.choice = context.named.update(context.hosts, now)


def _list_named(context):
    ids = set(context.choice.host_ids)
    return [host for host in context.hosts if host.host_id in ids]


def _count_zones(context):
    return collections.Counter(host.zone for host in _list_named(context))


@then("{least:d} to {most:d} hosts are named, all of them large, and at least 2 of each zone")
def step_large(context, least, most):
    named = _list_named(context)
    assert least <= len(named) <= most, context.choice
    assert all(host.capacity == host_builders.build_capacity() for host in named), named
    assert min(_count_zones(context).values()) >= 2 and len(_count_zones(context)) == 3


@then("a named host uses at most half of its capacity, also after the loss of the largest zone")
def step_half(context):
    zones = _count_zones(context)
    largest = max(zones, key=zones.get)
    links = context.links * sum(host.capacity.link_bytes_per_s for host in context.hosts)
    for named in (
        _list_named(context),
        _list_named(context)[1:],
        [host for host in _list_named(context) if host.zone != largest],
    ):
        for host in named:
            assert context.cores / len(named) <= 0.501 * host.capacity.cores, len(named)
            assert links / len(named) <= 0.501 * host.capacity.link_bytes_per_s, len(named)


@then("hosts were added and none was removed")
def step_added(context):
    assert context.before < set(context.choice.host_ids), context.choice


@then(
    "no host was removed until {until:g} s, and from then on one in 2 s until those of 0 s are"
    " named"
)
def step_removed_slowly(context, until):
    most = len(context.choice.host_ids)
    for tick in range(int(until * 4)):
        now = 2.0 + tick / 4
        removed = most - len(context.named.update(context.hosts, now).host_ids)
        assert removed <= (0 if now < until else 1 + (now - until) / 2.0), (now, removed)
    for tick in range(400):
        context.named.update(context.hosts, 14.0 + tick / 4)
    assert set(context.named.choice.host_ids) == set(context.first.host_ids)


@then("at least 2 of each zone that is left are named, and none that is lost")
def step_replaced(context):
    assert not context.lost & set(context.choice.host_ids)
    zones = {host.zone for host in context.hosts}
    assert all(_count_zones(context)[zone] >= 2 for zone in zones), context.choice


@then("{count:d} orders of the same hosts give the same named hosts")
def step_agree(context, count):
    rng = random.Random(3)
    context.choice = entryhosts.choose(context.hosts)
    for _ in range(count):
        shuffled = rng.sample(context.hosts, len(context.hosts))
        assert entryhosts.choose(shuffled) == context.choice


@then("without any single host at most {most:d} other hosts are named")
def step_nearly_agree(context, most):
    for missing in context.hosts:
        rest = [host for host in context.hosts if host is not missing]
        others = set(entryhosts.choose(rest).host_ids) ^ set(context.choice.host_ids)
        assert len(others - {missing.host_id}) <= most, others


@when("each host reports that {share:g} of its {resource} is in use")
def step_resource(context, share, resource):
    load = _build_load(0.01, 0.01, **{resource: share})
    hosts = [dataclasses.replace(host, load=load) for host in context.hosts]
    context.choice = context.named.update(hosts, 0.0)


@given("{count:d} hosts in 3 zones of which nothing is known but {known}")
def step_unknown(context, count, known):
    step_region(context, count, 3, 16, 1.0)
    load = hostload.round_load(_build_load(0.05, 0.02)) if known == "load" else None
    context.hosts = [
        dataclasses.replace(
            host, load=load, capacity=host.capacity if known == "capacity" else None
        )
        for host in context.hosts
    ]


@then("{least:d} to {most:d} hosts are named, at least 2 of each zone")
def step_count_unknown(context, least, most):
    context.choice = entryhosts.choose(context.hosts)
    step_count(context, least, most)
    assert min(_count_zones(context).values()) >= 2


@then("{least:d} to {most:d} hosts are named")
def step_count(context, least, most):
    assert least <= len(context.choice.host_ids) <= most, context.choice


@given('a lookup of a host that knows {north:d} serving hosts of "north" and {south:d} of "south"')
def step_lookup(context, north, south):
    places = [("north", index) for index in range(north)] + [("south", i) for i in range(south)]
    built = [
        host_builders.build_host_record(f"{region}{index:02}", f"{region}-{index % 3}", region)
        for region, index in places
    ]
    context.peers = peers.PeerTable(built[0], 0.0)
    context.peers.increment_heartbeat(records.HostState.SERVING, 0.0)
    for record in built[1:]:
        context.peers.merge(peers.Peer(record, 1, records.HostState.SERVING, 0.0), 0.0)
    context.events = []
    log = types.SimpleNamespace(write=lambda event, **values: context.events.append(values))
    context.lookup = lookup.Lookup(context.peers, built[0], None, log, counters.Counters())


def _stop_serving(context, host_ids):
    for peer in context.peers.find_serving(host_ids, 0.5):
        peer.state = records.HostState.LEAVING


def _list_ids(context, region):
    return [peer.record.host_id for peer in context.lookup.list_hosts(region, 0.5)]


@when('its named hosts are chosen and the first named one of "north" stops serving')
def step_stop_first(context):
    context.lookup.update(0.5)
    context.all_named = _list_ids(context, "north")
    _stop_serving(context, context.all_named[:1])


@then('clients of "north" get the other named hosts, and those of zone "{zone}" get theirs first')
def step_other_named(context, zone):
    assert _list_ids(context, "north") == context.all_named[1:] and len(context.all_named) == 24
    own = context.peers.own
    hosts = lookup.choose_hosts(context.lookup.list_hosts("north", 0.5), own, "north", zone)
    is_first = [host.zone == zone for host in hosts]
    assert is_first == sorted(is_first, reverse=True) and is_first[0]


@then(
    'clients of "south" get {count:d} hosts, and clients of "west" the named hosts of both regions'
)
def step_far(context, count):
    assert len(_list_ids(context, "south")) == count
    both = _list_ids(context, "north") + _list_ids(context, "south")
    assert sorted(_list_ids(context, "west")) == sorted(both)


@when('all named hosts of "north" stop serving')
def step_stop_named(context):
    _stop_serving(context, context.all_named)


@then('clients of "north" get its other hosts, and the change of the named hosts is logged')
def step_all_lost(context):
    assert len(_list_ids(context, "north")) == 48 - len(context.all_named)
    context.lookup.update(3.0 - 0.1)
    assert [event["named"] for event in context.events] == [24, 24], context.events
    assert len(context.events[-1]["removed"]) <= lookup.MAX_LOGGED_HOSTS


@given("a host of {cores:g} cores and a link of {link:d} bytes a second")
def step_meter(context, cores, link):
    capacity = records.HostCapacity(cores, link, 10**9, 1000)
    context.meter = hostload.LoadMeter(capacity, 0.0, 0.0)


@when(
    "it serves {first:d} requests of {size:d} bytes a second with {few:g} cores for 10 s, then"
    " {second:d} with {more:g}"
)
def step_serve(context, first, size, few, second, more):
    processor_s = 0.0
    for tick in range(1, 49):
        rate, cores = (first, few) if tick <= 40 else (second, more)
        for _ in range(rate // 4):
            context.meter.count_request(size, 0)
        processor_s += cores / 4
        context.load = context.meter.observe(tick / 4, processor_s, 0.0, 0.0)


@then(
    "after 2 s it reports more than {rate:d} requests a second, {cores:g} of its cores and"
    " {link:g} of its link"
)
def step_measured(context, rate, cores, link):
    load = context.load
    found = (load.requests_per_s, load.processor_share, load.link_share)
    assert all(a > b for a, b in zip(found, (rate, cores, link), strict=True)), load


@then("heartbeat {newer:d} is {steps:d} newer than {known:d}, which is not newer")
def step_cycle(context, newer, steps, known):
    cycle = _peerentries.HEARTBEAT_CYCLE
    assert _peerentries.count_steps(known, newer % cycle) == steps
    assert _peerentries.count_steps(newer, known % cycle) == -steps
    assert _peerentries.count_steps(0, newer % cycle) > 0


@then("it reports at most {cores:g} of its cores")
def step_little(context, cores):
    assert context.load.processor_share <= cores, context.load
