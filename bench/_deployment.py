"""The simulated deployment: four zones in two regions with one host and its upstreams each."""

import dataclasses
import itertools

from bench import _bodies, _clientnode, _dispatchnode, _entrynode, _upstream, _world
from features import builders
from skylarksill import tickets

WARM_UP_S = 10.0
MAX_IN_FLIGHT = 10
SHIFT_CAP_PER_S = 4
SLOTS = 3


def build_configuration(generation=1, hosts_per_zone=1):
    """Builds the configuration with limits that a few requests can reach."""
    defaults = builders.build_configuration(generation, SLOTS, hosts_per_zone)
    regions = tuple(
        dataclasses.replace(region, max_in_flight=MAX_IN_FLIGHT, shift_cap_per_s=SHIFT_CAP_PER_S)
        for region in defaults.regions
    )
    return dataclasses.replace(defaults, regions=regions)


class Deployment:
    """The nodes of a deployment, with methods to create clients, orders and tickets.

    Args:
      seed: Seed of the network's delays.
      configuration: The Configuration that all hosts start with.
    """

    def __init__(self, seed=0, configuration=None):
        self.world = _world.World(seed)
        self.ledger = self.world.ledger = _upstream.Ledger()
        self.configuration = configuration or build_configuration()
        limits = {region.region_id: region.max_in_flight for region in self.configuration.regions}
        self.upstreams = [
            _upstream.Upstream(self.world, record, limits)
            for record in self.configuration.upstreams
        ]
        self.dispatchers = [
            _dispatchnode.DispatchNode(self.world, host, self.configuration)
            for host in self.configuration.hosts
        ]
        self.entries = [_entrynode.EntryNode(self.world, host) for host in self.configuration.hosts]
        self.clients = []
        self.with_arbiter = True
        self.has_struck = False
        self._numbers = itertools.count()
        self.world.run(self.world.now + WARM_UP_S)

    def add_client(self, zone="north-a"):
        """Adds a client near a zone."""
        client = _clientnode.ClientNode(self.world, f"client-{len(self.clients)}", zone)
        self.clients.append(client)
        return client

    def make_order(self, client, service="deposits", path="/orders", **fields):
        """Creates an order of a client."""
        order_id = f"o-{next(self._numbers)}"
        return _bodies.Order(order_id, service, client.name, client.region, path, **fields)

    def mint(self, home=0, arbiter=1):
        """Mints a ticket for two hosts by index, as a lookup process of that region would."""
        nodes = [self.dispatchers[index] for index in (home, arbiter)]
        home_id, arbiter_id = [(node.host, node.incarnation) for node in nodes]
        return tickets.new_ticket(
            f"t-{next(self._numbers)}",
            "deposits",
            home_id,
            arbiter_id if self.with_arbiter else None,
            self.world.now_unix_ms,
        )

    def mint_alive(self):
        """Mints a ticket for a live home and, if there is one, a live arbiter of its region."""
        for home, arbiter in ((1, 0), (0, 1), (2, 3), (3, 2)):
            if self.dispatchers[home].is_alive:
                return self.mint(home, arbiter)
        return self.mint()

    def list_results(self):
        """Returns the results of all attempts of all clients."""
        return [result for client in self.clients for result in client.told]
