"""Scenarios of the fault matrix: what clients and operators do while a fault is injected."""

import dataclasses
import functools

from bench import _deployment, _faults
from skylarksill import records

ORDERS_END_S = 24.0
LOAD_DURATION_S = 4.0
LOAD_END_S = 13.0
LOAD_IN_FLIGHT = 7
# Service, zone of the clients and requests per second.
STREAMS = (
    ("catalogue", "north-a", 40),
    ("catalogue", "north-b", 40),
    ("deposits", "north-a", 10),
    ("deposits", "north-b", 10),
    ("catalogue", "south-a", 12),
)
SHED_STREAMS = (("catalogue", "north-a", 20), ("catalogue", "north-b", 20))
DEPOSIT_STREAMS = (("deposits", "north-a", 40), ("deposits", "north-b", 40))
SLOW_REQUEST_EVERY = 8
OPERATOR_ACTION_AT_S = 1.0
POISON_INTERVAL_S = 0.15
POISON_DURATION_S = 8.0
MAX_CONNECTIONS = 2


def run_orders(fault, step, with_arbiter=True, seed=0):
    """Runs three orders that must take effect at most once.

    Args:
      fault: The Fault of the column.
      step: The Step at which it is injected, or None.
      with_arbiter: Whether the tickets name an arbiter.
      seed: Seed of the network's delays.
    Returns:
      The Deployment at the end.
    """
    deployment = _deployment.Deployment(seed)
    deployment.with_arbiter = with_arbiter
    deployment.kinds = ("dispatch", "claim", "run", "record", "revoke")
    _install_fault(deployment, fault, step)
    placements = (
        ("north-a", 0, "/orders"),
        ("north-a", 0, "/slow/orders"),
        ("north-b", 1, "/orders"),
    )
    for number, (zone, home, path) in enumerate(placements):
        client = deployment.add_client(zone)
        order = deployment.make_order(client, path=path)
        place = functools.partial(_place_order, deployment, client, order, home, fault.resend)
        deployment.world.schedule(0.01 * number, place)
    deployment.world.run(deployment.started + ORDERS_END_S)
    return deployment


def _place_order(deployment, client, order, home, resend):
    names = [entry.name for entry in deployment.entries]
    entries = [names[home], names[1 - home], names[2]]
    ticket = deployment.mint(home, 1 - home)
    client.place(order, entries, ticket, deployment.mint_alive)
    for entry in {"": [], "same": entries[:1], "other": entries[1:2]}.get(resend, entries[1:]):
        client.send_once(order, entry, ticket)


def run_load(fault, step, seed=0):
    """Sends more requests than a region may have in flight, some of them from another region."""
    defaults = _deployment.build_configuration()
    regions = tuple(
        dataclasses.replace(region, max_in_flight=LOAD_IN_FLIGHT) for region in defaults.regions
    )
    return _run_load(fault, step, seed, dataclasses.replace(defaults, regions=regions), STREAMS)


def run_connections(fault, step, seed=0):
    """Sends more requests than upstreams with few connections can accept."""
    defaults = _deployment.build_configuration()
    upstreams = tuple(
        dataclasses.replace(upstream, max_connections=MAX_CONNECTIONS)
        for upstream in defaults.upstreams
    )
    limited = dataclasses.replace(defaults, upstreams=upstreams)
    return _run_load(fault, step, seed, limited, DEPOSIT_STREAMS)


def run_shedding(fault, step, seed=0):
    """Runs load on upstreams that shed every second request."""
    defaults = _deployment.build_configuration()
    return _run_load(fault, step, seed, defaults, SHED_STREAMS, shed_every=2)


def _run_load(fault, step, seed, configuration, streams, shed_every=0):
    deployment = _deployment.Deployment(seed, configuration)
    for upstream in deployment.upstreams:
        upstream.shed_every = shed_every
    deployment.kinds = ("dispatch", "lend", "run")
    _install_fault(deployment, fault, step)
    _schedule_load(deployment, LOAD_DURATION_S, streams)
    deployment.world.run(deployment.started + LOAD_END_S)
    return deployment


def _schedule_load(deployment, seconds, streams=STREAMS):
    clients = {zone: deployment.add_client(zone) for zone in ("north-a", "north-b", "south-a")}
    for service, zone, rate in streams:
        for number in range(int(rate * seconds)):
            send = functools.partial(_send_load, deployment, clients[zone], service, number)
            deployment.world.schedule(number / rate, send)


def _send_load(deployment, client, service, number):
    path = f"/slow/{number}" if number % SLOW_REQUEST_EVERY == 0 else f"/items/{number}"
    order = deployment.make_order(client, service, path)
    # Clients of the south send to the north, as they do during a traffic shift.
    index = 1 if client.zone == "north-b" or client.region == "south" and number % 2 else 0
    ticket = deployment.mint(index, 1 - index) if service == "deposits" else None
    client.send_once(order, deployment.entries[index].name, ticket)


def run_leaving(fault, step, seed=0):
    """Runs load while an upstream starts to leave and announces it in its answers."""
    deployment = _deployment.Deployment(seed)
    deployment.kinds = ("dispatch", "run")
    _install_fault(deployment, fault, step)
    _schedule_load(deployment, 2 * LOAD_DURATION_S)
    leaving = deployment.upstreams[0]
    deployment.leaving = leaving.name
    deployment.world.schedule(OPERATOR_ACTION_AT_S, functools.partial(_mark_leaving, deployment))
    deployment.world.run(deployment.started + LOAD_END_S)
    return deployment


def _mark_leaving(deployment):
    upstream = deployment.upstreams[0]
    upstream.is_leaving = True
    upstreams = tuple(
        (
            dataclasses.replace(record, state=records.LifecycleState.LEAVING)
            if record.upstream_id == upstream.name
            else record
        )
        for record in deployment.configuration.upstreams
    )
    changed = dataclasses.replace(
        deployment.configuration, generation=records.Generation(2), upstreams=upstreams
    )
    # The operator's change reaches one host, which gossips it to the others.
    deployment.dispatchers[1].accept(changed)


def run_stop(fault, step, seed=0):
    """Runs load while the home dispatcher makes a planned stop."""
    deployment = _deployment.Deployment(seed)
    deployment.kinds = ("dispatch", "run", "claim")
    _install_fault(deployment, fault, step)
    _schedule_load(deployment, LOAD_DURATION_S)
    deployment.world.schedule(OPERATOR_ACTION_AT_S, deployment.dispatchers[_faults.HOME].stop)
    deployment.world.run(deployment.started + LOAD_END_S)
    return deployment


def run_poison(fault, step, seed=0):
    """Repeatedly sends a request that crashes its upstream, alternating between two entries."""
    deployment = _deployment.Deployment(seed)
    deployment.kinds = ("dispatch", "run", "suspect")
    _install_fault(deployment, fault, step)
    client = deployment.add_client("north-a")
    order = deployment.make_order(client, "catalogue", "/poison")
    deployment.poison = order.order_id
    for number in range(int(POISON_DURATION_S / POISON_INTERVAL_S)):
        entry = deployment.entries[number % 2].name
        send = functools.partial(client.send_once, order, entry, None)
        deployment.world.schedule(number * POISON_INTERVAL_S, send)
    deployment.world.run(deployment.started + POISON_DURATION_S + 4.0)
    return deployment


def _install_fault(deployment, fault, step):
    deployment.started = deployment.world.now
    deployment.sent_before = len(deployment.world.sent)
    deployment.fault = fault
    fault.install(deployment, step)


def list_sent(deployment):
    """Returns the messages that were sent since the start of the scenario."""
    return deployment.world.sent[deployment.sent_before :]
