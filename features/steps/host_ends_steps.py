"""Steps of host_ends.feature."""

import json

import eventlet
from behave import then, when

from features import host_world
from skylarksill.host import processreport
from standins import platformdata

MIN_MEMORY_MB, MAX_MEMORY_MB = 10, 4_000


def _list_lines(context, event):
    context.world.log.flush()
    lines = map(json.loads, context.world.log_bytes.splitlines())
    return [line for line in lines if line["event"] == event]


def _make_report(context):
    server = context.world.server

    def describe():
        return {"open_connections": len(server.connections), "in_flight": server.in_flight}

    return processreport.ProcessReport(context.world.log, server.ends, describe)


def _send(client, ids):
    requests = [platformdata.format_request("GET /read/1", item) for item in ids]
    client.sendall(b"".join(requests))


def _connect(context, count):
    context.clients = [context.world.connect() for _ in range(count)]
    for client in context.clients:
        context.add_cleanup(client.close)


def _await_runs(context, count):
    host_world.wait_until(2.0, lambda: context.world.count_runs() >= count)


def _end_all(context):
    context.world.server.end()
    _make_report(context).report_ends()
    eventlet.sleep(0.1)


@when("{count:d} clients get an answer each, and the upstreams take {seconds:g} s from now on")
def step_first_answers(context, count, seconds):
    _connect(context, count)
    for number, client in enumerate(context.clients):
        _send(client, [f"first-{number}"])
        assert client.recv(65536).startswith(b"HTTP/1.1 200"), number
    for item in context.world.workers.values():
        item.work_s = seconds


@when("each of them sends 2 requests at once")
def step_send_two(context):
    for number, client in enumerate(context.clients):
        _send(client, [f"one-{number}", f"two-{number}"])
    _await_runs(context, 3 * len(context.clients))


@when("the host reloads and ends all connections")
def step_reload_and_end(context):
    context.world.log.write("host.reload", changed=["bounds"], needs_restart=[])
    _end_all(context)


@when("{count:d} clients send a request each and leave")
def step_leave(context, count):
    for item in context.world.workers.values():
        item.work_s = 3.0
    _connect(context, count)
    for number, client in enumerate(context.clients):
        _send(client, [f"left-{number}"])
    _await_runs(context, count)
    for client in context.clients:
        client.close()
    host_world.wait_until(2.0, lambda: not context.world.server.connections)
    _make_report(context).report_ends()
    eventlet.sleep(0.1)


@when("a client sends a request and the process reports its use")
def step_use(context):
    _connect(context, 1)
    _send(context.clients[0], ["one"])
    _await_runs(context, 1)
    _make_report(context).report_usage()


@then("each connection is logged as ended by the host, with 2 kept requests at upstreams")
def step_logged(context):
    lines = _list_lines(context, "client.closed")
    assert len(lines) == len(context.clients), lines
    for line in lines:
        assert (line["ended_by"], line["cut"], line["are_kept"]) == ("host", 2, [True, True]), line
        assert set(line["upstreams"]) <= {"a", "b"} and len(line["upstreams"]) == 2, line
        assert all(0 <= age_ms < 3000 for age_ms in line["ages_ms"]), line
    ids = {request_id for line in lines for request_id in line["requests"]}
    assert ids == {f"{name}-{number}" for name in ("one", "two") for number in range(3)}, ids


@then("one line sums up {connections:d} connections with {cut:d} cut requests, after a reload")
def step_summed_up(context, connections, cut):
    (line,) = _list_lines(context, "client.ends")
    assert line["connections"] == {"stop_deadline": connections}, line
    assert (line["unanswered"], line["cut"]) == ({"stop_deadline": cut}, cut), line
    assert line["recent_ms"].keys() == {"host.reload"}, line


@then('the requests are logged as "{reason}"')
def step_reasons(context, reason):
    lines = [line for line in _list_lines(context, "request") if line["status"] == 0]
    assert lines and {line["reason"] for line in lines} == {reason}, lines


@then("the counter of cut requests says {count:d}")
def step_counter(context, count):
    assert context.world.counters.get("requests_cut", "stop_deadline") == count


@then("{count:d} lines sum up connections, without a cut request")
def step_summed_up_left(context, count):
    lines = _list_lines(context, "client.ends")
    assert len(lines) == count and not any(line["cut"] for line in lines), lines
    assert not any(line["cut"] for line in _list_lines(context, "client.closed"))


@then("the line names 1 open connection, 1 request in flight and the memory of the process")
def step_use_logged(context):
    (line,) = _list_lines(context, "host.usage")
    assert (line["open_connections"], line["in_flight"]) == (1, 1), line
    assert MIN_MEMORY_MB < line["memory_mb"] < MAX_MEMORY_MB, line
