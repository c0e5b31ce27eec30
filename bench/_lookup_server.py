"""Server processes of ``bench.lookup_rate``: an agent, a look-up daemon and a bare answer."""

import dataclasses
import pathlib
import sys
import time

import eventlet

eventlet.monkey_patch()

from bench import lookup_rate  # noqa: E402
from skylarksill import (  # noqa: E402
    _httpserver,
    clock,
    configuration,
    logs,
    lookup,
    messages,
    records,
    rpc,
    settings,
)

SHARED_KEY = b"key of the look-up measurement.."
PARTS = ("lookup", "entry", "dispatch")


class AgentStandIn:
    """Answers calls of an AgentViewClient like the host's agent does."""

    def __init__(self, deployment):
        self._head, self._texts = configuration.split_shards(deployment)
        self._hosts = deployment.hosts
        self._services = [service.service_id for service in deployment.services]
        self._generation = deployment.generation

    def answer_shards(self, body, context):
        """Answers ``shards``."""
        digests = messages.decode_message(messages.ShardsCall, body).digests
        pairs = tuple((digest, self._texts[digest]) for digest in digests)
        return messages.encode_message(messages.ShardsResult(pairs))

    def answer_view(self, body, context):
        """Answers ``view`` in whole each time, as if something had changed since the last poll."""
        version = messages.decode_message(messages.ViewCall, body).version + 1
        peers = tuple(self._make_peer(host) for host in self._hosts)
        result = messages.ViewResult(version, self._head, (), peers, self._make_loads(), (), (), 10)
        return messages.encode_message(result)

    def _make_peer(self, host):
        serving = records.LifecycleState.SERVING
        parts = tuple(messages.ProgramEntry(part, f"{part}-1", serving) for part in PARTS)
        entry = messages.PeerEntry(
            host.host_id, host.zone_id, "1", 1, self._generation, serving, parts
        )
        return messages.PeerView(entry, True, 100)

    def _make_loads(self):
        return tuple(
            messages.LoadEntry(host.host_id, service, 20, 10, 0, 10, 100)
            for host in self._hosts
            for service in self._services
        )


def make_deployment(name):
    """Returns the example configuration of a deployment with many client blocks."""
    loaded = load_example(name)
    return dataclasses.replace(loaded, blocks=tuple(_make_blocks(loaded.zones)))


def load_example(name):
    """Returns the example configuration of a deployment."""
    text = pathlib.Path(f"examples/{name}-configuration.ini").read_text(encoding="utf-8")
    loaded, problems = configuration.parse_configuration(text)
    if problems:
        raise ValueError(str(problems[0]))
    return loaded


def _make_blocks(zones):
    for number in range(lookup_rate.BLOCKS - lookup_rate.IPV6_BLOCKS):
        prefix = f"{1 + (number >> 16) * 7}.{number >> 8 & 255}.{number & 255}.0/24"
        yield records.Block(prefix, zones[number % 6].zone_id)
    for number in range(lookup_rate.IPV6_BLOCKS):
        prefix = f"2001:{number >> 8:x}:{number & 255:x}::/48"
        yield records.Block(prefix, zones[number % 6].zone_id)


def serve_agent(address, name):
    """Serves the view of an agent of a deployment."""
    deployment = make_deployment(name)
    agent = AgentStandIn(deployment)
    handlers = {"view": agent.answer_view, "shards": agent.answer_shards}
    identity = rpc.Identity("agent", deployment.hosts[0].host_id, "1")
    server = rpc.RpcServer((address, 0), SHARED_KEY, identity, handlers)
    eventlet.spawn(server.serve)
    return server.port, 0.0


def serve_lookup(address, name, agent_port, statsd_port):
    """Runs a look-up daemon and waits until its table is in force."""
    host = load_example(name).hosts[0]
    host_settings = settings.Settings(
        host=host.host_id,
        zone=host.zone_id,
        address=address,
        lookup_port=0,
        entry_port=0,
        dispatch_port=0,
        agent_port=agent_port,
        shared_key=SHARED_KEY,
        platform=None,
        peers=(),
        statsd=(address, statsd_port),
        log_level="INFO",
    )
    daemon = lookup.LookupDaemon(host_settings, clock.SystemClock())
    start = time.perf_counter()
    _, port = daemon.start()
    while daemon.source.table is None or not daemon.source.view.grades:
        eventlet.sleep(0.01)
    return port, time.perf_counter() - start


def serve_bare(address):
    """Serves a fixed answer."""
    body = b"x" * lookup_rate.ANSWER_BYTES

    def answer(environ, start_response):
        start_response("200 OK", [("Content-Length", str(len(body)))])
        return [body]

    server = _httpserver.HttpServer((address, 0), answer)
    server.start()
    return server.address[1], 0.0


def main():
    """Serves until it is ended; prints the port and the seconds of loading."""
    mode, address, name, *ports = sys.argv[1:]
    logs.start_logging("INFO")
    match mode:
        case "agent":
            port, load_s = serve_agent(address, name)
        case "lookup":
            port, load_s = serve_lookup(address, name, *map(int, ports))
        case "bare":
            port, load_s = serve_bare(address)
    print(port, load_s, flush=True)
    while True:
        eventlet.sleep(60)


if __name__ == "__main__":
    main()
