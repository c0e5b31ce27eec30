"""Share of uncertain verdicts when a ticket's home is killed, with and without an arbiter."""

import collections
import functools

from bench import _deployment, _faults
from skylarksill import records

KILLS = 20
ORDERS_PER_S = 60
ORDERS_S = 4.0
KILL_AT_S = 2.0
END_S = 12.0


def count_verdicts(with_arbiter, seed):
    """Kills a home under load and counts the verdicts of the orders that it left open.

    Args:
      with_arbiter: Whether the tickets name an arbiter.
      seed: Seed of the network's delays and of the time of the kill.
    Returns:
      A pair of Counters of verdict names: for orders in flight at the kill, and for orders that
      were sent to the dead home later.
    """
    deployment = _deployment.Deployment(seed)
    deployment.with_arbiter = with_arbiter
    world = deployment.world
    started = world.now
    killed_at = started + KILL_AT_S + world.random.random() / ORDERS_PER_S
    client = deployment.add_client("north-a")
    sent = {}
    for number in range(int(ORDERS_PER_S * ORDERS_S)):
        place = functools.partial(_place, deployment, client, sent)
        world.schedule(number / ORDERS_PER_S, place)
    kill = functools.partial(_faults.kill_host, deployment, _faults.HOME)
    world.schedule(killed_at - started, kill)
    world.run(started + END_S)
    return _count_ends(client, sent, killed_at)


def _place(deployment, client, sent):
    order = deployment.make_order(client)
    sent[order.order_id] = deployment.world.now
    client.send_once(order, deployment.entries[1].name, deployment.mint())


def _count_ends(client, sent, killed_at):
    in_flight, later = collections.Counter(), collections.Counter()
    for told in client.told:
        if told.time >= killed_at:
            ends = in_flight if sent[told.order.order_id] < killed_at else later
            ends[_name_verdict(told.outcome)] += 1
    return in_flight, later


def _name_verdict(outcome):
    match outcome:
        case records.Answer():
            return "RAN"
        case records.Refusal(verdict=verdict):
            return verdict.value
    return "none"


def print_shares(seed):
    """Prints the share of MAY_HAVE_RUN over KILLS kills with and without an arbiter."""
    for with_arbiter in (True, False):
        totals = collections.Counter(), collections.Counter()
        for number in range(KILLS):
            for total, counted in zip(
                totals, count_verdicts(with_arbiter, seed + number), strict=True
            ):
                total.update(counted)
        label = "with" if with_arbiter else "without"
        for name, total in zip(("in flight", "sent later"), totals, strict=True):
            orders = sum(total.values())
            share = total["MAY_HAVE_RUN"] / orders if orders else 0.0
            parts = " ".join(f"{verdict}={count}" for verdict, count in sorted(total.items()))
            print(f"host kill {label} arbiter, {name}: {parts} uncertain={share:.3f}")
