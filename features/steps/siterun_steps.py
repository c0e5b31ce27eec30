"""Steps of siterun.feature."""

import collections
import json
import pathlib
import random
import resource
import struct
import subprocess
import sys
import tempfile
from unittest import mock

import eventlet
from behave import given, then, when
from eventlet.green import socket

from bench.siterun import __main__ as siterun
from bench.siterun import (
    clients,
    conditions,
    configurations,
    disturbances,
    hostlogs,
    keptcuts,
    losses,
    records,
    rig,
    schedule,
    shape,
)
from bench.soak import channels

SITE = shape.THREE_REGIONS
HOST = "127.1.20.10"
UPSTREAM_COUNT = 38
HOST_COUNT = sum(zone.hosts for zone in SITE.zones)
# Planned work begins at this time; requests of the calm run are sent long before and after it.
WORK_AT = 100.0
CALM_TIMES = (50.0, 150.0)
SHEET_PERIOD_S = shape.SHEET_WAVE.period_s
WAVE_PARTS = 12
# A process that ends with its standard input.
_WAIT_PROGRAM = "import sys; sys.stdin.read()"


@then("the planned work of seeds 1 to {last:d} is the same twice, and differs from each other")
def step_schedules(context, last):
    def make_all():
        return [_make_schedule(seed) for seed in range(1, last + 1)]

    context.schedules = make_all()
    assert make_all() == context.schedules
    assert len({repr(item) for item in context.schedules}) == last


@then("each sort of planned work occurs in it, and stops overlap")
def step_sorts(context):
    for events in context.schedules:
        sorts = {type(event) for _, event in events}
        assert len(sorts) == 4, sorts
    overlapping = [
        events
        for events in context.schedules
        for first, second in zip(_list_stops(events), _list_stops(events)[1:], strict=False)
        if second < first + SITE.grace_s
    ]
    assert len(overlapping) > len(context.schedules)


def _make_schedule(seed, played=()):
    return schedule.make_schedule(
        seed, 30.0, HOST_COUNT, UPSTREAM_COUNT, len(rig.CHANGED_SETTINGS), played
    )


@then(
    "with {names} it has no stops, but {least:d} reloads or more of each host, with and without"
    " changes"
)
def step_reloads(context, names, least):
    played = conditions.parse_conditions(names)
    for seed in range(1, len(context.schedules) + 1):
        events = _make_schedule(seed, played)
        assert _list_stops(events) == []
        reloads = [event for _, event in events if isinstance(event, schedule.ReloadHost)]
        assert {event.variant is None for event in reloads} == {True, False}, reloads
        counts = collections.Counter(event.host for event in reloads if event.has_signal)
        assert len(counts) == HOST_COUNT and min(counts.values()) >= least, counts


def _list_stops(events):
    return [at for at, event in events if isinstance(event, schedule.StopHost)]


@given("a run of the site with {count:d} answered requests")
def step_run(context, count):
    context.observations = records.Observations()
    timeouts_s = {request.name: 9.0 for request in SITE.requests}
    context.observations.versions.append(records.Version(1, 10.0, 10.0, timeouts_s))
    for index in range(count):
        at = CALM_TIMES[index % 2]
        attempt = _add_attempt(context, at, at + 0.2)
        attempt.end, attempt.status, attempt.is_signed = records.End.ANSWERED, 200, True
        _add_run(context, attempt, records.RunEnd.ANSWERED)


@when("{count:d} requests {fate} after {held:g} s, {after:g} s after {work}")
def step_plant(context, count, fate, held, after, work):
    if work == "a stop":
        stop = records.Stop(HOST, WORK_AT, WORK_AT + SITE.grace_s, 0)
        context.observations.stops.append(stop)
    elif work == "a start":
        context.observations.starts.append((HOST, WORK_AT))
    elif work == "a reload":
        context.observations.reloads.append((HOST, WORK_AT))
    elif work == "a configuration":
        timeouts_s = {request.name: 9.0 for request in SITE.requests}
        version = records.Version(2, WORK_AT, WORK_AT, timeouts_s)
        context.observations.versions.append(version)
    else:
        assert work == "nothing", work
    for _ in range(count):
        attempt = _add_attempt(context, WORK_AT + after - held, WORK_AT + after)
        _FATES[fate](context, attempt)


@when("{what} was disturbed until {before:g} s before they were sent")
def step_disturb(context, what, before):
    host = {"their host": HOST, "another host": "127.1.20.11", "the store": None}[what]
    ends_at = context.observations.attempts[-1].sent_at - before
    disturbance = records.Disturbance(host, ends_at - 0.5, ends_at)
    context.observations.disturbances.append(disturbance)


@given("an earlier stop of the host {seconds:g} s before the next")
def step_earlier_stop(context, seconds):
    stop = records.Stop(HOST, WORK_AT - seconds, WORK_AT - 2.5, 0)
    context.observations.stops.append(stop)


@then(
    "those of seeds 1 to {last:d} are the same twice, and have signals at each moment of a process"
)
def step_series(context, last):
    def make_all():
        played = conditions.Condition
        return [disturbances.make_series(seed, 30.0, 7, played) for seed in range(1, last + 1)]

    series = make_all()
    assert make_all() == series
    events = [event for events in series for _, event in events]
    assert {type(event) for event in events} == {
        disturbances.KillHost,
        disturbances.PauseHost,
        disturbances.DisturbStore,
        disturbances.ReturnStore,
        disturbances.CutLastWriter,
        disturbances.KillFirstWriter,
        disturbances.RefuseCalls,
        disturbances.StopEarly,
    }, events
    early = [event for event in events if isinstance(event, disturbances.StopEarly)]
    assert {stop.moment for event in early for stop in event.stops} == set(disturbances.Moment)


def _add_attempt(context, sent_at, ended_at):
    number = len(context.observations.attempts)
    attempt = records.Attempt(f"r{number}", "reserve", HOST, False, False, 2.5, sent_at, sent_at)
    attempt.ended_at, attempt.end = ended_at, records.End.HOST_CLOSED
    context.observations.attempts.append(attempt)
    return attempt


def _add_run(context, attempt, end=records.RunEnd.HOST_LEFT):
    run = records.Run(attempt.request_id, "u1", attempt.sent_at, attempt.ended_at, end)
    context.observations.runs.append(run)


def _cut_kept(context, attempt):
    attempt.is_kept = True
    _add_run(context, attempt)


def _cut_behind(context, attempt):
    attempt.is_behind = True
    _add_run(context, attempt)


def _cut_unsent(context, attempt):
    attempt.end = records.End.HOST_RESET


def _cut_unsent_behind(context, attempt):
    attempt.is_behind = True


def _cut_before_last_byte(context, attempt):
    attempt.completed_at = None


def _replace(context, attempt):
    attempt.end, attempt.status = records.End.ANSWERED, 504
    _add_run(context, attempt)


def _replace_after_run(context, attempt):
    _replace(context, attempt)
    run = context.observations.runs[-1]
    run.end, run.ended_at = records.RunEnd.ANSWERED, attempt.ended_at - 0.01


def _refuse_running(context, attempt):
    _replace(context, attempt)
    attempt.status = 503


def _refuse_before_run(context, attempt):
    _refuse_running(context, attempt)
    run = context.observations.runs[-1]
    run.began_at, run.ended_at = attempt.ended_at + 0.5, attempt.ended_at + 1.0
    run.end = records.RunEnd.ANSWERED


def _run_twice(context, attempt):
    attempt.end, attempt.status, attempt.is_signed = records.End.ANSWERED, 200, True
    _add_run(context, attempt, records.RunEnd.ANSWERED)
    _add_run(context, attempt, records.RunEnd.ANSWERED)


def _cut_waiting(context, attempt):
    _add_run(context, attempt)
    context.observations.runs[-1].began_at = float("inf")


def _cut_refused(context, attempt):
    _add_run(context, attempt, records.RunEnd.REFUSED)


def _leave(context, attempt):
    attempt.end = records.End.CLIENT_LEFT
    _add_run(context, attempt)


def _break_off(context, attempt):
    _add_run(context, attempt, records.RunEnd.BROKEN_OFF)


def _break_off_kept(context, attempt):
    attempt.is_kept = True
    _break_off(context, attempt)


def _break_off_and_cut(context, attempt):
    # Hosts retry only what is idempotent.
    attempt.kind = "lookup"
    _break_off_kept(context, attempt)
    _add_run(context, attempt)


def _cut_before_break(context, attempt):
    _break_off(context, attempt)
    context.observations.runs[-1].ended_at += 0.1


def _break_off_and_replace(context, attempt):
    attempt.kind = "lookup"
    _break_off(context, attempt)
    _replace(context, attempt)


def _break_off_and_refuse(context, attempt):
    _break_off(context, attempt)
    attempt.end, attempt.status = records.End.ANSWERED, 503


def _break_off_and_run(context, attempt):
    _break_off(context, attempt)
    attempt.end, attempt.status, attempt.is_signed = records.End.ANSWERED, 200, True
    _add_run(context, attempt, records.RunEnd.ANSWERED)


def _break_off_unread_and_run(context, attempt):
    _break_off_and_run(context, attempt)
    context.observations.runs[-2].began_at = float("inf")


_FATES = {
    "are cut at an upstream": _add_run,
    "are cut at an upstream as kept": _cut_kept,
    "are cut behind others at an upstream": _cut_behind,
    "are cut in the last sixth at an upstream": _add_run,
    "are cut unsent": _cut_unsent,
    "are cut unsent behind others": _cut_unsent_behind,
    "are cut unsent before their last byte": _cut_before_last_byte,
    "get a 504 of the host": _replace,
    "get a 504 of the host after the upstream's answer": _replace_after_run,
    "get a 503 of the host": _refuse_running,
    "get a 503 of the host and run later": _refuse_before_run,
    "run twice": _run_twice,
    "are cut while they wait at an upstream": _cut_waiting,
    "are cut after an upstream's refusal": _cut_refused,
    "are left by their client": _leave,
    "are broken off by an upstream": _break_off,
    "are broken off by an upstream as kept": _break_off_kept,
    "are broken off and cut at a second upstream as kept": _break_off_and_cut,
    "are cut at an upstream that breaks off later": _cut_before_break,
    "are broken off and get a 502 of the host at a second upstream": _break_off_and_replace,
    "are broken off and get a 503 of the host": _break_off_and_refuse,
    "are broken off and run again": _break_off_and_run,
    "are broken off unread and run again": _break_off_unread_and_run,
}


@when("the route's time-out becomes {timeout:g} s meanwhile")
def step_shorten(context, timeout):
    timeouts_s = {request.name: timeout for request in SITE.requests}
    version = records.Version(2, WORK_AT, WORK_AT, timeouts_s)
    context.observations.versions.append(version)


@then('{count:d} requests are lost as "{clause}"')
def step_lost(context, count, clause):
    found = losses.find_losses(context.observations, SITE)
    assert [loss.clause.name for loss in found] == count * clause.split(" and "), found


@when("their client stood still for {seconds:g} s of that")
def step_stood_still(context, seconds):
    context.observations.attempts[-1].standstill_s = seconds


@then("{count:d} requests are lost around the stop")
def step_lost_around_stop(context, count):
    found = losses.find_losses(context.observations, SITE)
    assert [loss.clause for loss in found] == count * [losses.Clause.STOP_UNSENT], found


@given("a client that stood still from {a:g} to {b:g} s and from {c:g} to {d:g} s")
def step_standstills(context, a, b, c, d):
    context.standstills = [(a, b), (c, d)]


@then("a request of it from {begin:g} to {end:g} s has {seconds:g} s of that")
def step_sum(context, begin, end, seconds):
    attempt = records.Attempt("r", "lookup", HOST, False, False, 2.0, begin, begin, end)
    assert abs(clients.sum_standstills(context.standstills, attempt) - seconds) < 1e-6


@when("the kind of the last one is {kind}")
def step_kind(context, kind):
    context.observations.attempts[-1].kind = kind


@then('the record says "{text}" first')
def step_record(context, text):
    observations = context.observations
    observations.host_names[HOST] = "host-1"
    observations.upstreams["u1"] = ("bookings", "east-a")
    context.cuts = losses.judge(observations, SITE).kept_cuts
    lines = keptcuts.format_cuts(observations, SITE, context.cuts, {"r40": "no_room"})
    assert (lines[0], len(lines)) == (text, 3), lines


@then("it counts {reserve:d} of reserve and {lookup:d} of lookup at host-1, {most:d} in one moment")
def step_counts(context, reserve, lookup, most):
    counts = {"host-1": {"reserve": reserve, "lookup": lookup}}
    assert keptcuts.count_cuts(context.observations, context.cuts) == (counts, most)


@then("no request is lost")
def step_none_lost(context):
    assert losses.find_losses(context.observations, SITE) == []


@then('{count:d} requests are excused as "{excuse}" and no others')
def step_excused(context, count, excuse):
    excuses = losses.judge(context.observations, SITE).excuses
    expected = {losses.Excuse[excuse]: count} if count else {}
    assert excuses == expected, excuses


@then('{count:d} requests are excused as "{excuse}", and {others:d} as "{other}"')
def step_excused_twice(context, count, excuse, others, other):
    excuses = losses.judge(context.observations, SITE).excuses
    assert excuses == {losses.Excuse[excuse]: count, losses.Excuse[other]: others}, excuses


@given("a log of a host with a connection that ended by {cause} with request {request_id} on it")
def step_host_log(context, cause, request_id):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.log_path = pathlib.Path(folder.name) / "host-0.log"
    line = {
        "time": 10.0,
        "event": "client.closed",
        "cause": cause,
        "half_closed_ms": None,
        "unsent_bytes": 0,
        "requests": [request_id],
    }
    broken_off = '{"event":"client.closed","cause":'
    context.log_path.write_text(f'{json.dumps(line)}\n{{"event":"host.stop"}}\n{broken_off}')


@when("the host has summed up what ended in that moment")
def step_host_summary(context):
    line = {
        "time": 10.1,
        "event": "client.ends",
        "connections": {"reset": 7},
        "unanswered": {"reset": 9},
        "recent_ms": {"host.reload": 40},
    }
    closed = {
        "time": 30.0,
        "event": "client.closed",
        "ended_by": "host",
        "cause": "reset",
        "unanswered": 9,
        "unsent_bytes": 0,
    }
    text = context.log_path.read_text(encoding="utf-8")
    lines = f"{json.dumps(line)}\n{json.dumps(closed)}\n{text}"
    context.log_path.write_text(lines, encoding="utf-8")


@then('the causes of requests without an answer are "{cause}" of {count:d}')
def step_causes(context, cause, count):
    assert hostlogs.count_causes([context.log_path]) == {cause: count}


@then('the end of {first} is told as "{text}" and that of {second} is not')
def step_host_ends(context, first, text, second):
    ends = hostlogs.read_ends([context.log_path])
    assert (ends.get(first), ends.get(second)) == (text, None), ends


@when("a run with {names} and a fifth of the clients is prepared")
def step_choose(context, names):
    context.played = conditions.parse_conditions(names)
    context.site = conditions.build_site(context.played, 0.2)


@then(
    "the site has {host_count:d} hosts in {zone_count:d} zones, {client_count:d} clients,"
    " and hosts that keep idle connections {idle:d} s"
)
def step_site(context, host_count, zone_count, client_count, idle):
    zones = context.site.zones
    assert (sum(zone.hosts for zone in zones), len(zones)) == (host_count, zone_count), zones
    assert sum(zone.clients for zone in zones) == client_count, zones
    spec, _ = configurations.build_version(context.site, 1, random.Random(1))
    assert spec["limits"]["idleTimeout"] == f"{1000 * idle}ms", spec["limits"]
    assert set(spec["services"]) == set(zones[0].upstreams), spec["services"]


@then("its processes of clients play the same site")
def step_same_site(context):
    order = clients.Order(1, [], 0.2, [], 0.0, 0.0, "", sorted(context.played))
    assert order.site == context.site


@when("the requests of the site's sheet are drawn for {seconds:g} s")
def step_draw(context, seconds):
    site = shape.raise_waves(SITE)
    drawn_clients = [
        mock.Mock(zone=zone, spec=["zone"]) for zone in site.zones for _ in range(zone.clients)
    ]
    rng = random.Random(1)
    context.seconds = seconds
    context.arrivals = list(clients.draw_arrivals(rng, site, drawn_clients, 0.0, seconds))


@then("{least:d} to {most:d} of them come in a second on average")
def step_rate(context, least, most):
    assert least <= len(context.arrivals) / context.seconds <= most, len(context.arrivals)


@then("each zone has {least:g} to {most:g} times as many around its crest as around its trough")
def step_crests(context, least, most):
    context.crests = []
    for zone in SITE.zones:
        parts = collections.Counter(
            int(at % SHEET_PERIOD_S / SHEET_PERIOD_S * WAVE_PARTS)
            for at, client in context.arrivals
            if client.zone.name == zone.name
        )
        (crest, highest), *_, (_, lowest) = parts.most_common()
        context.crests.append(crest)
        assert least <= highest / lowest <= most, (zone.name, parts)


@then("the crests of the zones differ")
def step_crests_differ(context):
    assert len(set(context.crests)) >= len(context.crests) - 1, context.crests


@when("a host sends 5 bytes and {ends} after the client has ended its sending side")
def step_end_half_closed(context, ends):
    listener = socket.socket()
    context.add_cleanup(listener.close)
    listener.bind(("127.0.0.1", 0))
    listener.listen()
    client = socket.create_connection(listener.getsockname())
    context.add_cleanup(client.close)
    context.receiver = channels.Receiver(client, False)
    context.receiver.end_sending()
    host, _ = listener.accept()
    assert host.recv(1) == b""
    host.sendall(b"bytes")
    if ends == "resets the connection":
        host.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    host.close()
    eventlet.sleep(0.05)


@then("the client reads the 5 bytes")
def step_read_end(context):
    assert [context.receiver.recv(9), context.receiver.recv(9)] == [b"bytes", b""]


@then("the client reads a reset")
def step_read_reset(context):
    try:
        data = context.receiver.recv(9)
    except ConnectionResetError:
        return
    raise AssertionError(f"read {data!r}")


@when("the site plays seed {seed:d} with a fifth of its clients for {length:g} s")
@when("the site plays seed {seed:d} with a fifth of its clients for {length:g} s with {names}")
def step_play(context, seed, length, names=""):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    arguments = ["--length", str(length), "--share", "0.2", "--with", names]
    played = siterun.parse_options(arguments)
    context.result = siterun.run_in_process(seed, pathlib.Path(folder.name), played)


@then("it served requests beside planned work and lost none")
def step_short_run(context):
    result = context.result
    assert result is not None
    # Hosts that can't listen end by themselves, as beside a run of the same addresses.
    assert not result["own_ends"], result
    assert result["ends"]["200"] > 200 and result["stops"] and result["versions"] > 1, result
    assert result["losses"] == [], result


@then("clients have ended their sending side behind {count:d} requests or more")
def step_half_closed(context, count):
    assert context.result["half_closed"] >= count, context.result


@then("upstreams broke off {count:d} requests or more, and {old:d} or more were HTTP/1.0")
def step_disturbed(context, count, old):
    result = context.result
    assert result["runs"]["broken_off"] >= count and result["http_1_0"] >= old, result


@then("hosts and the store were disturbed, and hosts were crowded")
def step_crowded(context):
    result = context.result
    assert result["disturbances"] >= 3 and result["burst_requests"] > 50, result
    assert result["crowd"] > 0.9 * 0.2 * rig.CROWD_IDLE_COUNT, result


@when("a process gets the limits of {names}")
def step_limit_process(context, names):
    process = subprocess.Popen([sys.executable, "-S", "-c", _WAIT_PROGRAM], stdin=subprocess.PIPE)
    context.add_cleanup(process.communicate)
    rig.limit_process(process.pid, conditions.parse_conditions(names))
    context.limits = [
        resource.prlimit(process.pid, kind) for kind in (resource.RLIMIT_NOFILE, resource.RLIMIT_AS)
    ]


@then("it may have {descriptors} descriptors and {memory} MB of address space")
def step_limits(context, descriptors, memory):
    kinds = (resource.RLIMIT_NOFILE, resource.RLIMIT_AS)
    for kind, limits, text, unit in zip(
        kinds, context.limits, (descriptors, memory), (1, 1_000_000), strict=True
    ):
        own = resource.getrlimit(kind)
        assert limits == (own if text == "as before" else (int(text) * unit,) * 2), limits
