"""Processor time and memory of the pure modules over hosts, upstreams, blocks and changes."""

import dataclasses
import gc
import time
import tracemalloc

from bench import _figures, _fleets, gossip
from skylarksill import configuration, dispatching, records, routing

HOSTS = (7, 100, 500, 2_000)
UPSTREAMS = (2, 10, 50, 200)
BLOCKS = (1_000, 10_000, 100_000, 330_000)
CHANGES = (1, 2, 4, 8)
EVENTS = 4_000
LOOKUPS = 5_000
GOSSIP_S = 1


def measure(deployment):
    """Returns the figures of the case; they do not depend on the deployment's sizes."""
    figures = []
    for name, unit, sizes, run in (
        ("dispatch_event", "us", UPSTREAMS, _time_dispatch_event),
        ("table_build_by_hosts", "ms", HOSTS, _time_table_by_hosts),
        ("table_build_by_blocks", "ms", BLOCKS, _time_table_by_blocks),
        ("rank_hosts_by_hosts", "us", HOSTS, _time_ranking_by_hosts),
        ("rank_hosts_by_blocks", "us", BLOCKS, _time_ranking_by_blocks),
        ("observe_by_hosts", "ms", HOSTS, _time_observe),
        ("gossip_by_hosts", "us_per_host_s", HOSTS, _time_gossip),
        ("split_join_by_blocks", "ms", BLOCKS, _time_split_join),
        ("changes_of_10000_blocks", "ms", CHANGES, _time_changes),
    ):
        costs = [run(size) for size in sizes]
        figures += _describe(deployment, name, unit, sizes, costs)
        _figures.draw_lines(f"cost-{name}", name, "size", unit, {name: (sizes, costs)})
    for name, sizes, build in (
        ("table_memory_by_blocks", BLOCKS, _build_table_of_blocks),
        ("table_memory_by_hosts", HOSTS, _build_table_of_hosts),
    ):
        costs = [_weigh(build, size) for size in sizes]
        figures += _describe(deployment, name, "mb", sizes, costs)
    return figures


def _describe(deployment, name, unit, sizes, costs):
    figures = [
        _figures.Figure(f"cost:{name}:{size}:{unit}", deployment, None, cost)
        for size, cost in zip(sizes, costs, strict=True)
    ]
    slope = 1000 * _fit_slope(sizes, costs)
    figures.append(_figures.Figure(f"cost:{name}:slope_per_1000:{unit}", deployment, None, slope))
    return figures


def _fit_slope(sizes, costs):
    """Returns the slope of the least-squares line."""
    mean_x, mean_y = sum(sizes) / len(sizes), sum(costs) / len(costs)
    products = [(x - mean_x) * (y - mean_y) for x, y in zip(sizes, costs, strict=True)]
    return sum(products) / sum((x - mean_x) ** 2 for x in sizes)


def _time_cpu(function, *arguments):
    gc.collect()
    started = time.process_time()
    function(*arguments)
    return time.process_time() - started


def _weigh(build, size):
    """Returns the memory in MB that the result of ``build`` keeps."""
    gc.collect()
    tracemalloc.start()
    kept = build(size)
    current, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return current / 1e6


def _time_dispatch_event(upstreams):
    """Returns microseconds for each event at 70% load of one dispatcher's upstreams."""
    fleet = _fleets.build_fleet(2, upstreams * 2)
    fleet = dataclasses.replace(fleet, services=fleet.services[:1])
    own = [item for item in fleet.upstreams if item.home == "host-0000"]
    own = tuple(dataclasses.replace(item, service_id="catalogue", standby=None) for item in own)
    fleet = dataclasses.replace(fleet, upstreams=own)
    dispatcher = dispatching.Dispatcher("host-0000", 0.0)
    dispatcher.handle(dispatching.ConfigurationAccepted(fleet), 0.0)
    return 1e6 * _time_cpu(_drive, dispatcher, int(0.7 * upstreams * 5)) / EVENTS


def _drive(dispatcher, in_flight):
    answer = records.Answer(200, (), b"")
    sends = []
    now = 10.0
    for number in range(EVENTS // 2):
        # Sends spend the mean service time of 50 ms in flight.
        now += 0.05 / max(1, in_flight)
        actions = dispatcher.handle(dispatching.Arrived(_make_request(number)), now)
        sends += [action.send_id for action in actions if isinstance(action, dispatching.Send)]
        if len(sends) > in_flight:
            dispatcher.handle(dispatching.Answered(sends.pop(0), answer), now)


def _make_request(number):
    return records.Request(
        records.RequestId(f"r-{number}"),
        records.ServiceId("catalogue"),
        "GET",
        f"/items/one/{number}",
        (),
        b"",
        "10.0.0.1",
        records.RegionId("region-000"),
        records.RegionId("region-000"),
        4_000,
    )


def _build_table_of_hosts(hosts):
    return routing.RoutingTable.build(_fleets.build_fleet(hosts, 3 * hosts, 1_000))


def _build_table_of_blocks(blocks):
    return routing.RoutingTable.build(_fleets.build_fleet(7, 38, blocks))


def _time_table_by_hosts(hosts):
    fleet = _fleets.build_fleet(hosts, 3 * hosts, 1_000)
    return 1000 * _time_cpu(routing.RoutingTable.build, fleet)


def _time_table_by_blocks(blocks):
    fleet = _fleets.build_fleet(7, 38, blocks)
    return 1000 * _time_cpu(routing.RoutingTable.build, fleet)


def _time_ranking_by_hosts(hosts):
    return _time_ranking(_build_table_of_hosts(hosts))


def _time_ranking_by_blocks(blocks):
    return _time_ranking(_build_table_of_blocks(blocks))


def _time_ranking(table):
    view = routing.SteeringView()
    view.apply_report(table, (), (), 0.0)

    def look_up():
        for number in range(LOOKUPS):
            client = f"20.{number >> 8 & 255}.{number & 255}.9"
            query = routing.Query("catalogue", client, "zone-000")
            routing.rank_hosts(table, query, view, 1.0)

    return 1e6 * _time_cpu(look_up) / LOOKUPS


def _time_observe(hosts):
    table = _build_table_of_hosts(hosts)
    view = routing.SteeringView()
    return 1000 * _time_cpu(view.apply_report, table, (), (), 0.0)


def _time_gossip(hosts):
    """Returns microseconds that one host's peer table and exchanges cost in a second."""
    fleet = gossip.Fleet(gossip.build_fleet(hosts), seed=1)
    fleet.run(GOSSIP_S)
    fleet.busy_s = 0.0
    fleet.run(GOSSIP_S)
    return 1e6 * fleet.busy_s / hosts / GOSSIP_S


def _time_split_join(blocks):
    fleet = _fleets.build_fleet(7, 38, blocks)
    return 1000 * _time_cpu(_split_and_join, fleet)


def _split_and_join(fleet):
    head, texts = configuration.split_shards(fleet)
    return configuration.join_shards(head, texts)


def _time_changes(changes):
    """Returns milliseconds for a number of successive changes with 10,000 blocks."""
    fleet = _fleets.build_fleet(7, 38, 10_000)

    def change():
        for number in range(changes):
            configuration.split_shards(dataclasses.replace(fleet, generation=number + 2))

    return 1000 * _time_cpu(change)
