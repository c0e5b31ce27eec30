"""Platform stand-in and agents in one process without a network, for features."""

import dataclasses
import io
import random

import eventlet
import urllib3

from features import builders
from skylarksill import agent, clock, configuration, objectstore, rpc, settings
from standins import platform


class FakePool:
    """Replacement for urllib3's connection pool that calls the stand-in's WSGI application."""

    def __init__(self, application):
        self._application = application

    def urlopen(self, method, path, body=None, headers=None, **options):
        shutdowns = []
        path, _, query = path.partition("?")
        environ = {
            "REQUEST_METHOD": method,
            "PATH_INFO": path,
            "QUERY_STRING": query,
            "CONTENT_LENGTH": str(len(body or b"")),
            "wsgi.input": RequestInput(body or b"", shutdowns),
        }
        environ.update(
            ("HTTP_" + name.upper().replace("-", "_"), value) for name, value in headers.items()
        )
        response = {}

        def start_response(status, response_headers):
            response["status"] = int(status.split()[0])
            response["headers"] = dict(response_headers)

        data = b"".join(self._application(environ, start_response))
        if shutdowns:
            raise urllib3.exceptions.ProtocolError("connection cut")
        return urllib3.HTTPResponse(body=data, preload_content=True, **response)


class RequestInput(io.BytesIO):
    """Request body with a socket that records whether the server has shut it down."""

    def __init__(self, body, shutdowns):
        super().__init__(body)
        self._shutdowns = shutdowns

    def get_socket(self):
        return self

    def shutdown(self, how):
        self._shutdowns.append(how)


class Client:
    """Replacement for rpc.RpcClient that calls the handlers of an agent in the same process."""

    def __init__(self, cluster, source, address):
        self._cluster = cluster
        self._source = source
        self._address = address

    def call(self, method, body, timeout_s):
        target = self._cluster.find_agent(self._address)
        # Green threads that a stopped agent left running cannot reach any agent.
        if self._source not in self._cluster.agents:
            raise rpc.CallNotSentError("stopped")
        if self._cluster.is_silent:
            raise rpc.CallLostError("no answer")
        if target is None or not self._cluster.can_reach(self._source, self._address):
            raise rpc.CallNotSentError("not reachable")
        eventlet.sleep(0)
        return target.handlers[method](body, None)

    @property
    def peer(self):
        return self._cluster.find_agent(self._address)

    def close(self):
        self._cluster.closed.append((self._source, self._address))


class Cluster:
    """Agents of a small configuration that run only during calls of its methods.

    Attributes:
      platform: The stand-in's WSGI application.
      is_silent: True if calls are sent but not answered.
      closed: Pairs of host and address of the connections that agents closed.
      groups: Dict of group number by host; hosts of different groups cannot reach each other.
    """

    def __init__(self, seed=1, hosts_per_zone=2):
        self.clock = clock.FakeClock()
        self.platform = platform.Platform(max_wait_s=0)
        self.store = self.make_store("operator")
        self.groups = {}
        self.is_silent = False
        self.closed = []
        self.agents = {}
        self.configuration = builders.build_configuration(1, hosts_per_zone=hosts_per_zone)
        self._random = random.Random(seed)

    def make_store(self, client):
        return objectstore.ObjectStore(("127.0.0.1", 1), client, FakePool(self.platform))

    def write(self, generation, write_id="w", text=None, has_shards=True):
        """Writes a generation and returns the version of its head.

        With ``text``, the head names a single shard with this text instead of the configuration.
        """
        next_configuration = dataclasses.replace(
            self.configuration, generation=generation, deployment=f"test-{write_id}"
        )
        head, texts = configuration.split_shards(next_configuration)
        if text is not None:
            texts = {configuration.compute_digest(text): text}
            head = dataclasses.replace(head, shards=(("core", next(iter(texts))),))
        if has_shards:
            for digest, shard in texts.items():
                self.platform.write(configuration.SHARD_PREFIX + digest, shard.encode())
        value = configuration.format_head(dataclasses.replace(head, write_id=write_id)).encode()
        return self.store.put(configuration.HEAD_KEY, value, self.read_version())

    def read_version(self):
        changes = self.store.list(configuration.HEAD_KEY)
        return changes[0].version if changes else 0

    def start(self, *hosts):
        """Starts the agents of the named hosts, or of all hosts if none is named."""
        for host in self.configuration.hosts:
            if not hosts or host.host_id in hosts:
                self.agents[host.host_id] = self._make_agent(host)
        for host_id in hosts or list(self.agents):
            self.agents[host_id].join()
        self._settle()

    def stop(self, host_id):
        del self.agents[host_id]

    def step(self, count=1):
        """Runs rounds of one second each."""
        for _ in range(count):
            self.clock.advance(1.0)
            for running in list(self.agents.values()):
                running.step()
                self._settle()

    def find_agent(self, address):
        for host in self.configuration.hosts:
            if (host.address, host.agent_port) == address:
                return self.agents.get(host.host_id)
        return None

    def can_reach(self, source, address):
        target = next(h.host_id for h in self.configuration.hosts if h.address == address[0])
        return self.groups.get(source, 0) == self.groups.get(target, 0)

    def list_generations(self):
        return {host: running.state.generation for host, running in self.agents.items()}

    def _settle(self):
        # Pushes run in green threads, which end within a limited number of switches.
        for _ in range(60):
            eventlet.sleep(0)

    def _make_agent(self, host):
        peers = [(h.address, h.agent_port) for h in self.configuration.hosts if h != host]
        host_settings = settings.Settings(
            host=host.host_id,
            zone=host.zone_id,
            address=host.address,
            lookup_port=1,
            entry_port=2,
            dispatch_port=3,
            agent_port=host.agent_port,
            shared_key=builders.SHARED_KEY,
            platform=("127.0.0.1", 1),
            peers=tuple(peers),
            statsd=None,
            log_level="INFO",
        )
        return agent.AgentDaemon(
            host_settings,
            self.clock,
            store=self.make_store(host.host_id),
            make_client=lambda address: Client(self, host.host_id, address),
            rng=random.Random(self._random.random()),
        )
