"""Steps of host_hostile_clients.feature."""

import itertools
import os
import pathlib
import random
import resource
import signal
import subprocess
import sys
import tempfile
import time

import eventlet
import psutil
from behave import given, then, when
from eventlet.green import socket

from features import host_builders, host_world
from standins import crowd, metadatastore, platformdata, worker

START_SCRIPT = host_builders.PLATFORM_FOLDER / "start.py"
READY_S = 20.0
SAMPLE_S = 0.1
# Time for which an ordinary client goes on asking, and how long it waits before it does so again.
ASKING_S = 30.0
RETRY_S = 0.2
# Environment variable that names a file to which the peaks of each scenario are appended.
PEAKS_VARIABLE = "SKYLARKSILL_PEAKS"
LIMITS = {
    "maxHeaderBytes": 8_000,
    "maxBodyBytes": 4_000_000,
    "headerTimeout": "3000ms",
    "idleTimeout": "5s",
}
SIZES = crowd.Sizes(LIMITS["maxBodyBytes"], LIMITS["maxHeaderBytes"])
SOURCES = [f"127.93.7.{number}" for number in range(2, 6)]
HOST_IP = "127.93.6.1"
# State of a listening socket in the kernel's table.
LISTENING = "0A"
# Offsets of the ports for clients from the first one; None stands for the port between hosts.
DOORS = {"clients": 0, "readiness": 1, "lookups": 2, "hosts": None, "metrics": None}


@given("a host program with {memory_mb:d} MB and {descriptors:d} descriptors")
def step_host(context, memory_mb, descriptors):
    context.memory_mb, context.max_descriptors = memory_mb, descriptors
    context.store = metadatastore.MetadataStore()
    context.add_cleanup(context.store.stop)
    spec = platformdata.build_configuration_spec()
    context.store.write("config", "main", {**spec, "limits": LIMITS})
    context.upstream_ports = set()
    for name in ("u1", "u2"):
        upstream = worker.Worker(name)
        context.add_cleanup(upstream.stop)
        address = "{}:{}".format(*upstream.address)
        context.upstream_ports.add(f"{upstream.address[1]:04X}")
        entry = platformdata.build_upstream_spec(address=address, slots=64)
        context.store.write("servers", name, entry)
    context.first_port = random.randrange(20_000, 30_000, 32)
    _start(context)
    context.peak_bytes = context.peak_descriptors = context.peak_unread_bytes = 0
    context.add_cleanup(eventlet.spawn(_sample, context).kill)
    host_world.wait_until(READY_S, lambda: _ask(context, b"GET /read/1") == 200)


def _start(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    path = pathlib.Path(folder.name) / "local.conf"
    lines = platformdata.build_settings_lines(
        HOST_IP, context.store.address, context.first_port + 8, context.first_port
    )
    limit = f"self.limits.memoryMb={context.memory_mb}"
    lines = [limit if line.startswith("self.limits.memoryMb=") else line for line in lines]
    path.write_text("\n".join(lines), encoding="utf-8")
    context.log_path = pathlib.Path(folder.name) / "log"
    limits = (context.max_descriptors, context.max_descriptors)
    with context.log_path.open("w") as log:
        context.process = subprocess.Popen(
            [sys.executable, str(START_SCRIPT)],
            env={**os.environ, platformdata.SETTINGS_VARIABLE: str(path)},
            stdout=log,
            stderr=subprocess.STDOUT,
            preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, limits),
        )
    context.add_cleanup(_end, context.process)


def _end(process):
    process.kill()
    process.wait()


def _sample(context):
    """Notes the peaks of memory and descriptors until the process ends.

    Bytes that the process has received and not read count as its memory.
    """
    process = psutil.Process(context.process.pid)
    status_path = pathlib.Path(f"/proc/{process.pid}/status")
    while True:
        try:
            context.peak_descriptors = max(context.peak_descriptors, process.num_fds())
            lines = status_path.read_text().splitlines()
        except (psutil.Error, OSError):
            # The process has ended; a step finds that.
            return
        # The kernel's own peak, which no interval between samples can miss.
        peak_bytes = _read_size(lines, "VmHWM:")
        unread_bytes = _count_unread_bytes(context)
        context.peak_unread_bytes = max(context.peak_unread_bytes, unread_bytes)
        with_unread_bytes = _read_size(lines, "VmRSS:") + unread_bytes
        context.peak_bytes = max(context.peak_bytes, peak_bytes, with_unread_bytes)
        eventlet.sleep(SAMPLE_S)


def _read_size(lines, name):
    (line,) = [line for line in lines if line.startswith(name)]
    return 1024 * int(line.split()[1])


def _count_unread_bytes(context):
    """Returns the bytes that wait in the sockets of the host, accepted or not."""
    local = socket.inet_aton(HOST_IP)[::-1].hex().upper() + ":"
    unread_bytes = 0
    for name in ("tcp", "udp"):
        rows = pathlib.Path(f"/proc/net/{name}").read_text().splitlines()[1:]
        for fields in map(str.split, rows):
            is_of_host = fields[1].startswith(local)
            # Its connections to upstreams have another address.
            is_of_host |= fields[2].partition(":")[2] in context.upstream_ports
            # A listening socket has a number of connections in this place.
            if is_of_host and fields[3] != LISTENING:
                unread_bytes += int(fields[4].partition(":")[2], 16)
    return unread_bytes


def _find_address(context, door):
    match door:
        case "hosts":
            return HOST_IP, context.first_port + 8
        case "metrics":
            return HOST_IP, context.first_port + 9
    return HOST_IP, context.first_port + DOORS[door]


def _run(context, groups, seconds):
    """Runs a crowd for some time; it goes on until the end of the scenario."""
    groups = [
        (_find_address(context, door), crowd.Habit(habit), count) for count, habit, door in groups
    ]
    running = crowd.Crowd(groups, SIZES, SOURCES)
    context.add_cleanup(running.stop)
    eventlet.sleep(seconds)


@when("{count:d} clients have sent it {habit} for {seconds:d} s")
def step_crowd(context, count, habit, seconds):
    _run(context, [(count, habit, "clients")], seconds)


@when("{count:d} clients have sent its door for {door:w} {habit} for {seconds:d} s")
def step_crowd_at_door(context, count, door, habit, seconds):
    _run(context, [(count, habit, door)], seconds)


@when("clients have done these for {seconds:d} s")
def step_crowds(context, seconds):
    groups = [
        (int(row["count"]), row["habit"], row.get("door") or "clients") for row in context.table
    ]
    _run(context, groups, seconds)


@when("the host program is asked to reload its settings, to stop, and is started again")
def step_restart(context):
    context.process.send_signal(signal.SIGHUP)
    eventlet.sleep(1.0)
    assert context.process.poll() is None, context.process.returncode
    context.process.send_signal(signal.SIGTERM)
    host_world.wait_until(ASKING_S, lambda: context.process.poll() is not None)
    assert context.process.returncode == 0, context.process.returncode
    _start(context)
    context.add_cleanup(eventlet.spawn(_sample, context).kill)


@then("the host program lives")
def step_lives(context):
    assert context.process.poll() is None, context.process.returncode


@then("its memory and its descriptors have stayed within its limits")
def step_within(context):
    eventlet.sleep(2 * SAMPLE_S)
    measured = (
        f"{context.peak_bytes / 1e6:.1f} MB, {context.peak_descriptors} descriptors, "
        f"{context.peak_unread_bytes / 1e6:.1f} MB unread at most"
    )
    if path := os.environ.get(PEAKS_VARIABLE):
        with open(path, "a", encoding="utf-8") as file:
            file.write(f"{context.scenario.name}: {measured}\n")
    assert 0 < context.peak_bytes <= context.memory_mb * 1_000_000, measured
    assert 0 < context.peak_descriptors <= context.max_descriptors, measured


@then("an ordinary request is answered with {status:d}")
def step_answered(context, status):
    end = time.monotonic() + ASKING_S
    statuses = []
    while time.monotonic() < end:
        statuses.append(_ask(context, b"POST /order/1", bytes(1_000)))
        if statuses[-1] == status:
            return
        eventlet.sleep(RETRY_S)
    raise AssertionError(f"{statuses} after {context.process.poll()}")


@then("a request with the largest body is answered with {size:d} KB")
def step_largest(context, size):
    line = f"POST /order/1/{size}kb/"
    assert _ask(context, line.encode(), bytes(SIZES.body_bytes)) == 200


_numbers = itertools.count()


def _ask(context, line, body=None):
    """Sends a request as an ordinary client does; returns the status, or None without an answer."""
    request = platformdata.format_request(line.decode(), f"ordinary-{next(_numbers)}", body)
    try:
        client = socket.create_connection(_find_address(context, "clients"), 3.0)
    except OSError:
        return None
    try:
        client.settimeout(3.0)
        client.sendall(request)
        return platformdata.AnswerReader(client).read()[0]
    except (OSError, EOFError):
        return None
    finally:
        client.close()
