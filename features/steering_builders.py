"""Builders of agent reports for the features of routing, lookup, forwarding and entry."""

from eventlet.green.http import client

from features import builders
from skylarksill import messages, records, settings

PARTS = ("lookup", "entry", "dispatch")


def build_peers(configuration, dead=(), leaving=(), behind=(), generation=None):
    """Builds the peer view of all hosts of a configuration.

    Args:
      configuration: The configuration.
      dead: Hosts that are not alive.
      leaving: Hosts whose state is LEAVING.
      behind: Hosts that have accepted only the previous generation.
      generation: Accepted generation of the other hosts; the configuration's if None.
    Returns:
      A tuple of PeerView records.
    """
    generation = configuration.generation if generation is None else generation
    return tuple(
        build_peer(
            host,
            is_alive=host.host_id not in dead,
            is_leaving=host.host_id in leaving,
            generation=generation - (host.host_id in behind),
        )
        for host in configuration.hosts
    )


def build_peer(host, is_alive=True, is_leaving=False, generation=1):
    """Builds the peer view of one host with all its daemons."""
    state = records.LifecycleState.LEAVING if is_leaving else records.LifecycleState.SERVING
    parts = tuple(
        messages.ProgramEntry(part, f"{part}-{host.host_id}", records.LifecycleState.SERVING)
        for part in PARTS
    )
    entry = messages.PeerEntry(host.host_id, host.zone_id, "agent", 1, generation, state, parts)
    return messages.PeerView(entry, is_alive, 0)


def build_load(host, service, slots, outstanding, age_ms=0):
    """Builds the load of one dispatcher with ``outstanding`` running and queued requests."""
    in_flight = min(slots, outstanding)
    return messages.LoadEntry(
        host, service, slots, slots - in_flight, outstanding - in_flight, in_flight, age_ms
    )


class FakeViewer:
    """Test double of viewer.AgentViewClient with a view that the test sets.

    Args:
      configuration: The configuration whose hosts the view shows.
      states: As for ``build_peers``.
    """

    load_age_offset_ms = 0
    is_stale = False

    def __init__(self, configuration, **states):
        self.state = records.LifecycleState.SERVING
        self.configuration = configuration
        self.polls = 0
        self.show(**states)

    def show(self, loads=(), **states):
        """Replaces the view."""
        peers = build_peers(self.configuration, **states)
        self.view = messages.ViewResult(1, None, (), peers, tuple(loads), (), (), -1)

    def start(self):
        """Does nothing."""

    def stop(self):
        """Does nothing."""

    def request_poll(self):
        """Counts the requested polls."""
        self.polls += 1


def build_settings(address, **fields):
    """Builds settings of host-0 with ports that the operating system chooses."""
    values = {
        "host": "host-0",
        "zone": "north-a",
        "address": address,
        "lookup_port": 0,
        "entry_port": 0,
        "dispatch_port": 0,
        "agent_port": 0,
        "shared_key": builders.SHARED_KEY,
        "platform": None,
        "peers": (),
        "statsd": None,
        "log_level": "INFO",
    }
    return settings.Settings(**{**values, **fields})


def send_http(address, method, path, body=None, headers=None):
    """Sends one HTTP request from a green thread.

    Returns:
      Status, headers with lower-case names, and body.
    """
    connection = client.HTTPConnection(*address, timeout=10)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        data = response.read()
        return response.status, {k.lower(): v for k, v in response.getheaders()}, data
    finally:
        connection.close()
