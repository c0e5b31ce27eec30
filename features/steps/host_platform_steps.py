"""Steps of host_platform.feature."""

import json
import os
import pathlib
import random
import signal
import socket as plain_socket
import subprocess
import sys
import tempfile

import eventlet
from behave import given, then, when
from eventlet.green import socket

from features import host_builders, host_world
from skylarksill import records as shared
from skylarksill.host import records
from standins import metadatastore, platformdata, worker

ROOT = host_builders.PLATFORM_FOLDER.parent
START_SCRIPT = ROOT / "platform" / "start.py"
EXAMPLE_KEYS = ROOT / "deploy" / "peer-keys.example.ini"
PLATFORM_NAMES = (
    "x-skylarksill-",
    "configversion",
    "pathprefix",
    "trafficsplit",
    "allowedregions",
    "coldremaining",
    "coldrates",
    "/v1/objects",
    "/v1/resolve",
    '"ttl"',
    "/v1/readiness",
    "storerevision",
    "waitms",
    "skylarksill_boot",
    "retrybudgetratio",
)
# The client of the four daemons' own store uses the same path; remove this entry when that client
# uses the platform's protocol (issue 8).
KNOWN_OCCURRENCES = [("objectstore.py", "/v1/objects")]


@then("no source outside platform/ and the stand-ins contains a name of the platform")
def step_names(context):
    found = []
    for folder in ("skylarksill", "bench", "examples"):
        for path in (ROOT / folder).rglob("*.py"):
            text = path.read_text(encoding="utf-8").lower()
            found += [(path.name, name) for name in PLATFORM_NAMES if name in text]
    assert found == KNOWN_OCCURRENCES, found


@given("an upstream's entry where {field} is {value}")
def step_entry(context, field, value):
    context.spec = platformdata.build_upstream_spec()
    if value == "missing":
        del context.spec[field]
    else:
        context.spec[field] = json.loads(value)


@then("it is rejected")
def step_rejected(context):
    _, wire, _ = host_builders.import_platform()
    try:
        wire.decode_upstream("a", context.spec, {"north-a": "north"})
    except wire.WireError:
        return
    raise AssertionError(f"{context.spec} was accepted")


@then("{count:d} random specs are decoded or rejected as upstreams, hosts and configurations")
def step_fuzz(context, count):
    _, wire, _ = host_builders.import_platform()
    rng = random.Random(3)
    values = (None, 0, -1, 1.5, True, "", "x", "1s", [], {}, [1], {"a": 1}, "1.2.3.4:80")
    rejected = 0
    for _ in range(count):
        for build, decode in (
            (
                platformdata.build_upstream_spec,
                lambda spec: wire.decode_upstream("a", spec, {"north-a": "north"}),
            ),
            (platformdata.build_configuration_spec, wire.decode_configuration),
            (
                lambda: wire.encode_host(host_builders.build_host_record("h")),
                lambda spec: wire.decode_host("h", spec),
            ),
        ):
            spec = build()
            spec[rng.choice(list(spec))] = rng.choice(values)
            spec = rng.choice([spec, spec, spec, rng.choice(values)])
            try:
                decode(spec)
            except wire.WireError:
                rejected += 1
    assert rejected > count


@then("its routes, services and limits are decoded into records")
def step_decoded(context):
    _, wire, _ = host_builders.import_platform()
    decoded = wire.decode_configuration(platformdata.build_configuration_spec())
    assert decoded.generation == 7
    by_id = {route.route_id: route for route in decoded.routes}
    assert by_id["r-order"].kind is shared.WorkKind.NON_IDEMPOTENT
    assert by_id["r-read"].target_latency_s == 0.4 and by_id["r-read"].timeout_s == 1.0
    assert decoded.services["catalogue"].cold_rate == 11.0
    assert decoded.limits == records.ClientLimits(2_000, 10_000, 0.3, 2.0)


@given("a store with a configuration and {count:d} upstreams")
def step_store(context, count):
    context.store = metadatastore.MetadataStore()
    context.add_cleanup(context.store.stop)
    context.store.write("config", "main", platformdata.build_configuration_spec())
    context.workers = [worker.Worker(f"u{index:03}") for index in range(min(count, 2))]
    for item in context.workers:
        context.add_cleanup(item.stop)
    for index in range(count):
        address = "{}:{}".format(*context.workers[index % 2].address)
        context.store.write("servers", f"u{index:03}", _build_spec(address))


@then("it has logged {count:d} upstreams")
def step_logged_count(context, count):
    host_world.wait_until(2, lambda: len(_list_belief_changes(context, "upstream")) == count)


@when("an upstream drains, another leaves and a zone is evacuated")
def step_changes(context):
    context.store.write("servers", "u001", _build_spec("127.0.0.1:1", state="draining"))
    context.store.delete("servers", "u002")
    context.store.write("evacuations", "north-a", {})


@then("it logs all three within {seconds:d} s")
def step_logs_changes(context, seconds):
    def has_logged():
        upstreams = _list_belief_changes(context, "upstream")
        is_evacuated = ("north-a", "begun") in _list_belief_changes(context, "evacuation")
        return ("u001", "draining") in upstreams and ("u002", "gone") in upstreams and is_evacuated

    host_world.wait_until(seconds, has_logged)


@when("the store discards its history and an upstream drains")
def step_discard_history(context):
    context.store.forget_history()
    context.store.write("servers", "u003", _build_spec("127.0.0.1:1", state="draining"))
    context.store.forget_history()


@then("it logs the draining upstream within {seconds:d} s")
def step_logs_draining(context, seconds):
    host_world.wait_until(
        seconds, lambda: ("u003", "draining") in _list_belief_changes(context, "upstream")
    )


@when("the store fails for 1 s and configuration {generation:d} is written")
def step_store_fails(context, generation):
    context.store.failing_status = 503
    spec = platformdata.build_configuration_spec(generation)
    context.store.write("config", "main", spec)
    eventlet.sleep(1.0)
    context.store.failing_status = None


@then("it logs configuration {generation:d} within {seconds:g} s")
def step_generation(context, generation, seconds):
    def has_logged():
        return ("main", str(generation)) in _list_belief_changes(context, "configuration")

    host_world.wait_until(seconds, has_logged)


@then("TCP keepalive is set to close a dead connection to it within {seconds:d} s")
def step_keepalive(context, seconds):
    _, _, store = host_builders.import_platform()
    with plain_socket.create_connection(context.store.address) as connection:
        for option in store.SOCKET_OPTIONS:
            connection.setsockopt(*option)
        values = {
            name: connection.getsockopt(plain_socket.IPPROTO_TCP, name)
            for name in (
                plain_socket.TCP_KEEPIDLE,
                plain_socket.TCP_KEEPINTVL,
                plain_socket.TCP_KEEPCNT,
                plain_socket.TCP_USER_TIMEOUT,
            )
        }
        has_keepalive = connection.getsockopt(plain_socket.SOL_SOCKET, plain_socket.SO_KEEPALIVE)
    idle_s, interval_s, count, unacknowledged_ms = values.values()
    assert has_keepalive and idle_s + interval_s * count <= seconds, values
    assert unacknowledged_ms <= seconds * 1000, values


@given("a host program that uses the store")
def step_program(context):
    context.ports = _find_free_ports(5)
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    path = pathlib.Path(folder.name) / "local.conf"
    lines = platformdata.build_settings_lines(
        "127.0.0.1", context.store.address, context.ports[0], context.ports[1]
    )
    path.write_text("\n".join(lines), encoding="utf-8")
    context.settings_path, context.lines = path, lines
    context.log_path = pathlib.Path(folder.name) / "log"
    context.error_path = pathlib.Path(folder.name) / "errors"
    context.keys_path = pathlib.Path(folder.name) / "peer-keys.ini"
    context.keys_path.write_text(EXAMPLE_KEYS.read_text(encoding="utf-8"), encoding="utf-8")
    program = getattr(context, "program", [str(START_SCRIPT)])
    context.process = subprocess.Popen(
        [sys.executable, *program, "--peer-keys", str(context.keys_path)],
        env={**os.environ, "SKYLARKSILL_BOOT": str(path)},
        stdout=getattr(context, "log_output", None) or context.log_path.open("w"),
        stderr=getattr(context, "error_output", None) or context.error_path.open("w"),
        cwd=ROOT,
    )
    context.add_cleanup(_kill_process, context.process)


@then("it is ready within {seconds:d} s and lookup lists it")
def step_ready(context, seconds):
    entry, ready, lookup = context.ports[1], context.ports[1] + 1, context.ports[1] + 2
    host_world.wait_until(seconds, lambda: _send_get(ready, "/v1/readiness")[0] == 200)
    status, body = _send_get(lookup, "/v1/resolve?name=shop.example&region=north&zone=north-a")
    assert status == 200 and json.loads(body)["addresses"] == [f"127.0.0.1:{entry}"], body


@then("a request through it is answered with {status:d}")
def step_request(context, status):
    client = socket.create_connection(("127.0.0.1", context.ports[1]))
    client.sendall(platformdata.format_request("GET /read/1", "first"))
    assert platformdata.AnswerReader(client).read()[0] == status
    client.close()


@then("its metrics count the request")
def step_metrics(context):
    status, body = _send_get(context.ports[0] + 1, "/metrics")
    assert status == 200
    assert b'skylarksill_requests_total{label="catalogue 200 answered"} 1' in body, body
    gauges = dict(line.split() for line in body.splitlines() if b"{" not in line)
    assert float(gauges[b"skylarksill_configuration_age_seconds"]) < 5.0, body
    assert gauges[b"skylarksill_store_lost"] == b"0", body


@when("the host program is signaled to reload and to stop during a request")
def step_stop(context):
    for item in context.workers:
        item.work_s = 0.6
    client = socket.create_connection(("127.0.0.1", context.ports[1]))
    client.sendall(platformdata.format_request("GET /read/1", "last"))
    eventlet.sleep(0.2)
    context.process.send_signal(signal.SIGHUP)
    eventlet.sleep(0.1)
    context.process.send_signal(signal.SIGTERM)
    context.answer = platformdata.AnswerReader(client).read()


@then("that request is answered with {status:d} and the program ends with code {code:d}")
def step_ended(context, status, code):
    assert context.answer[0] == status, context.answer
    host_world.wait_until(5, lambda: context.process.poll() is not None)
    assert context.process.returncode == code, context.process.returncode


@then("its log has the start, the request with its sends, the reload and the stop")
def step_log(context):
    lines = [json.loads(line) for line in context.log_path.read_text().splitlines()]
    events = [line["event"] for line in lines]
    assert events[0] == "host.start" and events[-1] == "host.stop", events
    assert "host.reload" in events
    (request,) = [line for line in lines if line.get("id") == "last"]
    assert request["status"] == 200 and len(request["sends"]) == 1, request


@when("the retry budget in the settings changes without a signal")
def step_change_budget(context):
    _write_settings(context, {"terms.bounds.retryBudgetExtra": "70"})


@when("a second key is added to the file of keys")
def step_add_key(context):
    with context.keys_path.open("a", encoding="utf-8") as file:
        file.write(f"second = {'ab' * 32}\n")


@then("it logs within {seconds:d} s that it applied the keys")
def step_applied_keys(context, seconds):
    _wait_for_line(context, seconds, event="host.reload", changed=["peer_keys"])


@when("the zone is missing from the settings")
def step_remove_zone(context):
    _write_settings(context, {"self.zone": ""})


@when("the settings name another store")
def step_other_store(context):
    _write_settings(context, {"platform.platform.address": "127.0.0.1:9"})


@then("it logs within {seconds:d} s that it applied the bounds")
def step_applied_bounds(context, seconds):
    _wait_for_line(context, seconds, event="host.reload", changed=["bounds"], needs_restart=[])


@then("it logs within {seconds:d} s that it rejected them, naming the field")
def step_rejected_settings(context, seconds):
    error = "setting self.zone is missing"
    _wait_for_line(context, seconds, event="host.settings_rejected", error=error)


@when("the store stops answering")
def step_store_silent(context):
    context.store.is_silent = True


@when("the store answers again")
def step_store_answers(context):
    context.store.is_silent = False


@then("it logs within {seconds:d} s that the store does not answer")
def step_logs_lost(context, seconds):
    _wait_for_line(context, seconds, event="store.lost")


@then("it logs within {seconds:d} s that the store answers")
def step_logs_back(context, seconds):
    _wait_for_line(context, seconds, event="store.regained")


@then("it logs within {seconds:d} s that this needs a restart")
def step_needs_restart(context, seconds):
    _wait_for_line(context, seconds, event="host.reload", needs_restart=["store"])


def _write_settings(context, changes):
    """Rewrites the settings file of the running program with changed fields."""
    lines = [line for line in context.lines if line.partition("=")[0] not in changes]
    lines += [f"{name}={value}" for name, value in changes.items()]
    context.settings_path.write_text("\n".join(lines), encoding="utf-8")


def _wait_for_line(context, seconds, **wanted):
    def has_logged():
        lines = [json.loads(line) for line in context.log_path.read_text().splitlines()]
        return any(line == line | wanted for line in lines)

    host_world.wait_until(seconds, has_logged)


def _list_belief_changes(context, kind):
    """Returns subject and value of each logged belief change of a kind of object."""
    lines = [json.loads(line) for line in context.log_path.read_text().splitlines()]
    event = f"belief.{kind}"
    return [(line["subject"], line["value"]) for line in lines if line["event"] == event]


def _build_spec(address, **changes):
    return platformdata.build_upstream_spec(address=address, **changes)


def _find_free_ports(count):
    """Returns the first ports of two free ranges, for internal traffic and for listeners."""
    rng = random.Random()
    while True:
        first = rng.randrange(20_000, 30_000)
        if all(_is_free(first + offset) for offset in range(2 * count)):
            return first, first + count


def _is_free(port):
    with plain_socket.socket() as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


def _send_get(port, path):
    try:
        client = socket.create_connection(("127.0.0.1", port))
    except OSError:
        return None, b""
    client.sendall(f"GET {path} HTTP/1.1\r\nHost: host\r\nConnection: close\r\n\r\n".encode())
    status, _, body = platformdata.AnswerReader(client).read()
    client.close()
    return status, body


def _kill_process(process):
    if process.poll() is None:
        process.kill()
    process.wait()
