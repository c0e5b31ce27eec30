"""Configurations and seeded random runs for tests of simulated dispatchers."""

import dataclasses

from features import builders, dispatch_world
from skylarksill import records


def build_owned_slots(count, limit=1000):
    """Builds a configuration in which host-0 owns all slots of its upstreams."""
    configuration = builders.build_configuration()
    upstreams = [
        dataclasses.replace(upstream, upstream_id=f"{prefix}-{index}", standby=None)
        for upstream in configuration.upstreams
        if upstream.home == "host-0"
        for index in range(count)
        for prefix in ["own" if upstream.service_id == "catalogue" else "own-deposits"]
    ]
    region = records.Region("north", limit, 1000)
    return dataclasses.replace(
        configuration,
        upstreams=tuple(upstreams),
        regions=(region, configuration.regions[1]),
    )


def move_upstreams(configuration, generation, home):
    standby = {"host-0": "host-1", "host-1": "host-0"}[home]
    upstreams = [
        (
            dataclasses.replace(upstream, home=home, standby=standby)
            if upstream.zone_id == "north-a"
            else upstream
        )
        for upstream in configuration.upstreams
    ]
    return dataclasses.replace(configuration, generation=generation, upstreams=tuple(upstreams))


def run_random(rng, hosts, steps):
    world = dispatch_world.World(build_random(rng, 1), hosts, confirms_cancel=rng.random() < 0.5)
    world.advance(7)
    latest = world.nodes[hosts[0]].configuration
    for _ in range(steps):
        latest = apply_random_change(rng, world, hosts, latest)
        for _ in range(rng.randrange(40)):
            send_random_request(rng, world, hosts)
        world.advance(rng.choice([0.05, 0.3, 1, 3]))
    world.advance(20)
    return world


def build_random(rng, generation):
    """Builds a configuration with random homes and standbys in the north region."""
    configuration = builders.build_configuration(generation, hosts_per_zone=2)
    upstreams = []
    for upstream in configuration.upstreams[:2] + configuration.upstreams[4:6]:
        homes = [h.host_id for h in configuration.hosts if h.zone_id == upstream.zone_id]
        home = rng.choice(homes)
        others = [f"host-{index}" for index in range(4) if f"host-{index}" != home]
        upstreams.append(dataclasses.replace(upstream, home=home, standby=rng.choice(others)))
    region = records.Region("north", 9, 20)
    return dataclasses.replace(
        configuration, upstreams=tuple(upstreams), regions=(region, configuration.regions[1])
    )


def apply_random_change(rng, world, hosts, latest):
    host = rng.choice(hosts)
    change = rng.randrange(9)
    match change:
        case 0:
            world.kill(host)
        case 1 if not world.nodes[host].is_up:
            world.start(host)
        case 2:
            world.pause(host)
        case 3:
            world.resume(host)
        case 4:
            world.cut(*rng.sample(hosts, 2))
        case 5:
            world.heal()
        case 6 | 7:
            if change == 6:
                latest = build_random(rng, latest.generation + 1)
            for other in hosts:
                if change == 7 or rng.random() < 0.6:
                    world.accept(other, latest)
        case 8:
            world.heal()
            for other in hosts:
                if not world.nodes[other].is_up:
                    world.start(other)
                world.resume(other)
    return latest


def send_random_request(rng, world, hosts):
    request_id = world.send(
        rng.choice(hosts),
        service=rng.choice(["catalogue", "deposits"]),
        deadline_ms=rng.choice([500, 4000]),
        home_region=rng.choice(["north", "north", "south", None]),
    )
    if rng.random() < 0.5:
        world.work_durations[request_id] = rng.choice([0.5, 3, 10])


def count_max_in_window(starts, window_s):
    times = sorted(starts)
    return max(
        (sum(time <= other < time + window_s for other in times) for time in times), default=0
    )
