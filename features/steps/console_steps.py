"""Steps of console.feature."""

import dataclasses
import json
import os
import pathlib
import tempfile
from unittest import mock

import eventlet
from behave import given, then, when
from cleo.testers import command_tester

from features import builders, stores
from skylarksill import clock, configuration, drains, messages, publication, records, rpc
from skylarksill.console import application

EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"
SETTINGS = """[host]
name = host-0
zone = north-a
address = 127.0.0.1
[ports]
agent = {port}
[security]
shared_key = {key}
[platform]
address = 127.0.0.1:1
"""


def write_settings(context, port):
    text = SETTINGS.format(port=port, key=builders.SHARED_KEY.hex())
    (context.directory / "settings.ini").write_text(text, encoding="utf-8")


def patch(context, *arguments, **keywords):
    patcher = mock.patch(*arguments, **keywords)
    patcher.start()
    context.add_cleanup(patcher.stop)


@given("a console")
def step_console(context):
    directory = tempfile.TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    context.directory = pathlib.Path(directory.name)
    context.file = context.directory / "file.ini"
    context.store = stores.FakeStore()
    patch(context, "skylarksill.objectstore.ObjectStore", lambda address, client: context.store)
    patch(context, "skylarksill.clock.SystemClock", clock.FakeClock)
    settings_path = str(context.directory / "settings.ini")
    patch(context, "os.environ", {**os.environ, "SKYLARKSILL_SETTINGS": settings_path})
    write_settings(context, 1)


@given("a console without settings")
def step_console_without_settings(context):
    step_console(context)
    del os.environ["SKYLARKSILL_SETTINGS"]


@given("a console with a configuration file of generation {generation:d}")
def step_console_file(context, generation):
    step_console(context)
    text = configuration.format_configuration(builders.build_configuration(generation))
    context.file.write_text(text, encoding="utf-8")


@given('"{old}" in the file becomes "{new}"')
@when('"{old}" in the file becomes "{new}"')
def step_edit(context, old, new):
    text = context.file.read_text(encoding="utf-8")
    assert old in text
    context.file.write_text(text.replace(old, new, 1), encoding="utf-8")


@given('the store has the faults "{faults}"')
def step_faults(context, faults):
    context.store.faults = faults.split(", ")


@given(
    "an agent that reports {load:d} requests of catalogue in flight in each region, {age:d} ms ago"
)
def step_agent(context, load, age):
    context.agent_configuration = builders.build_configuration(7)
    head, _ = configuration.split_shards(context.agent_configuration)
    context.status = build_status(head, load, age)
    port = serve_agent(context, "host-0", lambda: context.status)
    write_settings(context, port)


def serve_agent(context, host, make_status):
    def answer_status(body, call_context):
        return messages.encode_message(make_status())

    def answer_shards(body, call_context):
        digests = messages.decode_message(messages.ShardsCall, body).digests
        _, texts = configuration.split_shards(context.agent_configuration)
        pairs = tuple((digest, texts[digest]) for digest in digests)
        return messages.encode_message(messages.ShardsResult(pairs))

    server = rpc.RpcServer(
        ("127.0.0.1", 0),
        builders.SHARED_KEY,
        rpc.Identity("agent", host, "a-1"),
        {"status": answer_status, "shards": answer_shards},
    )
    context.add_cleanup(server.close)
    eventlet.spawn(server.serve)
    return server.port


@given("the agent sends no configuration head")
def step_no_head(context):
    context.status = dataclasses.replace(context.status, head=None)


@given("an agent of {host} that reports 1 request at {upstream}")
def step_other_agent(context, host, upstream):
    entry = messages.UpstreamEntry(upstream, records.LifecycleState.SERVING, False, 2, 1, 100)
    answer = dataclasses.replace(context.status, host=host, upstreams=(entry,))
    port = serve_agent(context, host, lambda: answer)
    hosts = tuple(
        (
            dataclasses.replace(item, address="127.0.0.1", agent_port=port)
            if item.host_id == host
            else item
        )
        for item in context.agent_configuration.hosts
    )
    context.agent_configuration = dataclasses.replace(context.agent_configuration, hosts=hosts)
    head, _ = configuration.split_shards(context.agent_configuration)
    peer = context.status.peers[0]
    entry = dataclasses.replace(peer.entry, host=host, zone="north-b")
    peers = (*context.status.peers, dataclasses.replace(peer, entry=entry))
    context.status = dataclasses.replace(context.status, head=head, peers=peers)


def build_status(head, load, age):
    serving = records.LifecycleState.SERVING
    parts = tuple(messages.ProgramEntry(part, "i-1", serving) for part in ("entry", "dispatch"))
    peers = (
        messages.PeerView(
            messages.PeerEntry("host-0", "north-a", "a-1", 1, 7, serving, parts), True, 100
        ),
        messages.PeerView(
            messages.PeerEntry("host-2", "south-a", "a-1", 1, 6, serving, parts), False, 5_000
        ),
    )
    return messages.StatusResult(
        host="host-0",
        generation=7,
        store_age_ms=300,
        peers=peers,
        loads=tuple(
            messages.LoadEntry(host, "catalogue", 6, 6 - load, 0, load, age)
            for host in ("host-0", "host-2")
        ),
        upstreams=(messages.UpstreamEntry("catalogue-north-a", serving, True, 1, 2, 200),),
        head=head,
    )


@when("another operator drains host {host}")
def step_other_operator_drains(context, host):
    base = publication.read_published(context.store)
    target = drains.Target(drains.TargetKind.HOST, host)
    changed, _ = drains.change_state(base.configuration, target, records.LifecycleState.LEAVING)
    publication.publish_configuration(context.store, base, changed, "rival", clock.FakeClock())


@when("another operator writes while the next command is publishing")
def step_other_operator_writes(context):
    context.store.faults = ["ok", "rival"]


@when("the store loses a shard")
def step_lose_shard(context):
    (key,) = [key for key, _ in context.store.history if key != configuration.HEAD_KEY][:1]
    context.store.remove(key)


def run_command(context, line, inputs=None, interactive=None):
    line = line.replace("FILE", str(context.file))
    line = line.replace("ANSWERS", str(EXAMPLES / "cedarwake-answers.ini"))
    name, _, arguments = line.partition(" ")
    command = application.make_application().find(name)
    tester = command_tester.CommandTester(command)
    tester.execute(arguments, inputs=inputs, interactive=interactive)
    context.exit_code = tester.status_code
    context.output = tester.io.fetch_output()
    context.errors = tester.io.fetch_error()


@when('"{line}" runs')
def step_run(context, line):
    run_command(context, line)


@when('"{line}" runs without a terminal')
def step_run_without_terminal(context, line):
    run_command(context, line, interactive=False)


@when('"{line}" runs with "{typed}" typed in')
def step_run_with_input(context, line, typed):
    run_command(context, line, typed.replace(",", "\n") + "\n")


@when('"{line}" runs with the example answers typed in')
def step_run_with_answers(context, line):
    text = (EXAMPLES / "cedarwake-answers.ini").read_text(encoding="utf-8")
    answers = [item.partition("=")[2].strip() for item in text.splitlines() if "=" in item]
    run_command(context, line, "\n".join(answers) + "\n")


@then("it exits with {code:d}")
def step_exit(context, code):
    assert context.exit_code == code, (context.exit_code, context.output, context.errors)


@then('it exits with {code:d} and prints "{text}"')
def step_exit_prints(context, code, text):
    step_exit(context, code)
    assert text in context.output + context.errors, (context.output, context.errors)


@then('the output contains "{text}"')
def step_output_contains(context, text):
    assert text in context.output, context.output


@then("each printed line has a section, a key and a reason")
def step_problem_lines(context):
    lines = context.errors.splitlines()
    assert "[upstream catalogue-north-a] slots: must be 1 or more, is 0" in lines, lines
    assert "[host host-2] zone: west is not configured" in lines, lines
    assert all(line.startswith("[") and "] " in line for line in lines), lines


@then("the store has generation {generation:d}")
def step_store_generation(context, generation):
    published = publication.read_published(context.store)
    assert published.generation == generation, published.generation


@then("the store and the file have generation {generation:d}")
def step_both_generations(context, generation):
    published = publication.read_published(context.store)
    loaded, problems = configuration.parse_configuration(context.file.read_text(encoding="utf-8"))
    assert loaded == published.configuration, problems
    assert loaded.generation == generation


@then("the table has these rows")
def step_table(context):
    lines = [" ".join(line.split()) for line in context.output.splitlines()]
    for row in context.table:
        assert row["row"] in lines, (row["row"], context.output)


@then(
    "the JSON has a row for each of {regions:d} regions, {zones:d} zones, {hosts:d} hosts and "
    "{upstreams:d} upstreams"
)
def step_json_rows(context, regions, zones, hosts, upstreams):
    document = json.loads(context.output)
    kinds = [row["kind"] for row in document["rows"]]
    expected = {"region": regions, "zone": zones, "host": hosts, "upstream": upstreams}
    assert {kind: kinds.count(kind) for kind in kinds} == expected
    assert document["store_age_ms"] == 300


@then("the JSON names {host} first")
def step_json_host(context, host):
    assert json.loads(context.output)["hosts"][0]["host"] == host


@given(
    'a host\'s log in which request "{request}" was sent to "{upstream}" and '
    '"{same}" became unreachable'
)
def step_host_log(context, request, upstream, same):
    send = {"upstream": upstream, "outcome": "connection_closed", "ms": 69}
    lines = [
        {"time": 7.9, "host": "h1", "event": "upstream.unreachable", "upstream": "u2"},
        {"time": 8.0, "host": "h1", "event": "upstream.unreachable", "upstream": upstream},
        {
            "time": 8.1,
            "host": "h1",
            "event": "request",
            "id": request,
            "status": 502,
            "reason": "connection_closed",
            "ms": 70,
            "sends": [send],
        },
    ]
    _write_host_log(context, lines)


@given(
    'a host\'s log in which the connection of requests "{first}" and "{second}" was closed by '
    "{cause}"
)
def step_closed_log(context, first, second, cause):
    closed = {"time": 8.0, "host": "h1", "event": "client.closed", "cause": cause}
    lines = [
        closed | {"ended_by": "host", "requests": [first, second]},
        closed | {"ended_by": "host", "requests": ["r3"]},
        {"time": 8.1, "host": "h1", "event": "client.ends", "connections": {cause: 3}},
    ]
    _write_host_log(context, lines)


def _write_host_log(context, lines):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.host_log = pathlib.Path(folder.name) / "host.log"
    text = "a library's warning\n" + "\n".join(json.dumps(line) for line in lines)
    context.host_log.write_text(text, encoding="utf-8")


@when('the trace of "{request}" is requested')
def step_trace(context, request):
    run_command(context, f"trace {request} {context.host_log}")


@then('the output does not contain "{text}"')
def step_output_lacks(context, text):
    assert text not in context.output, context.output
