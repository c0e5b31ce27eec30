"""Measures the dispatcher: events per second of its core, and what its process adds to a request.

The core is driven by a simulated service. The process is measured between a caller and a stand-in
upstream in processes of their own: latency through it and past it, processor time per request and
memory.
"""

import argparse
import heapq
import os
import random
import subprocess
import sys
import tempfile
import time

import eventlet
import psutil

from skylarksill import configuration, dispatching, messages, records, rpc, upstreams

ADDRESS = "127.0.13.50"
DISPATCH_PORT = 7913
UPSTREAM_PORT = 7914
KEY = b"measuring key of 32 bytes......."
SLOTS = 16
WORK_S = 0.05
START_WAIT_S = 6.0


def build_configuration(count, slots):
    """Builds a configuration of one host that owns all slots of its upstreams."""
    return records.Configuration(
        deployment="measure",
        generation=1,
        regions=(records.Region("north", 10_000, 10_000),),
        zones=(records.Zone("north-a", "north"),),
        hosts=(records.Host("host-0", "north-a", ADDRESS, 7911, 7912, DISPATCH_PORT, 7915),),
        services=(records.Service("catalogue", records.WorkKind.IDEMPOTENT, 50),),
        upstreams=tuple(
            records.Upstream(
                f"worker-{index}",
                "catalogue",
                "north-a",
                ADDRESS,
                UPSTREAM_PORT + index,
                slots,
                330,
                "host-0",
                None,
            )
            for index in range(count)
        ),
        links=(),
        blocks=(records.Block("10.0.0.0/8", "north-a"),),
    )


def build_request(number, deadline_ms=4_000):
    """Builds an idempotent request that differs from all others."""
    return records.Request(
        f"r{number}",
        "catalogue",
        "GET",
        f"/items/{number}",
        (("Accept", "*/*"),),
        b"",
        f"10.0.{number // 250 % 250}.{number % 250}",
        "north",
        "north",
        deadline_ms,
    )


def drive_core(load, requests, seed=1):
    """Drives the core with a simulated service of 5 upstreams with 5 slots.

    Returns:
      Events per second of processor time, and the sorted latencies in virtual seconds.
    """
    rng = random.Random(seed)
    core = dispatching.Dispatcher("host-0", 0.0)
    core.handle(dispatching.ConfigurationAccepted(build_configuration(5, 5)), 0.0)
    core.handle(dispatching.Ticked(), 10.0)
    rate = load * 25 / WORK_S
    now, events, order = 10.0, [], 0
    for number in range(requests):
        now += rng.expovariate(rate)
        events.append((now, number, dispatching.Arrived(build_request(number))))
    ticks = int((now - 10.0) * 100)
    events += [(10.0 + n / 100, requests + n, dispatching.Ticked()) for n in range(ticks)]
    heapq.heapify(events)
    order, handled, arrived, latencies = len(events), 0, {}, []
    started = time.process_time()
    while events:
        now, _, event = heapq.heappop(events)
        handled += 1
        if isinstance(event, dispatching.Arrived):
            arrived[event.request.request_id] = now
        for action in core.handle(event, now):
            order += 1
            match action:
                case dispatching.Send(send_id=send_id):
                    answer = dispatching.Answered(send_id, records.Answer(200, (), b""))
                    heapq.heappush(events, (now + rng.expovariate(1 / WORK_S), order, answer))
                case dispatching.CancelSend(send_id=send_id):
                    end = dispatching.SendFailed(send_id, records.Verdict.MAY_HAVE_RUN, "cancelled")
                    heapq.heappush(events, (now + 0.001, order, end))
                case dispatching.Reply(request_id=request_id):
                    latencies.append(now - arrived[request_id])
    return handled / (time.process_time() - started), sorted(latencies)


class Processes:
    """The stand-in upstream and the dispatcher, each in a process of its own."""

    def __init__(self, directory):
        self._running = []
        path = os.path.join(directory, "configuration.ini")
        with open(path, "w", encoding="utf-8") as file:
            file.write(configuration.format_configuration(build_configuration(1, SLOTS)))
        self.upstream = self._start(
            "standins.upstream",
            *("--address", ADDRESS, "--port", str(UPSTREAM_PORT)),
            *("--slots", str(SLOTS), "--mean-ms", "0"),
        )
        self.dispatcher = self._start(
            "bench._dispatch_server", "--configuration", path, "--key", KEY.hex()
        )

    def _start(self, module, *arguments):
        process = subprocess.Popen(
            [sys.executable, "-W", "ignore", "-m", module, *arguments],
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
        )
        self._running.append(process)
        if b"ready" not in process.stdout.readline():
            raise RuntimeError(f"{module} did not start")
        return psutil.Process(process.pid)

    def stop(self):
        """Ends both processes."""
        for process in self._running:
            process.terminate()
            process.wait()


def measure_calls(function, requests, parallel):
    """Calls a function with request numbers from ``parallel`` green threads.

    Returns:
      Sorted latencies in seconds and the requests per second.
    """
    latencies = []
    numbers = iter(range(requests))

    def work():
        for number in numbers:
            started = time.monotonic()
            function(number)
            latencies.append(time.monotonic() - started)

    started = time.monotonic()
    pool = eventlet.GreenPool(parallel)
    for _ in range(parallel):
        pool.spawn_n(work)
    pool.waitall()
    return sorted(latencies), requests / (time.monotonic() - started)


def call_directly(client, upstream, number):
    """Sends a request to the upstream without the dispatcher."""
    deadline_ms = 1000 * (time.time() + 4)
    outcome = client.send(upstream, build_request(number), deadline_ms, 4, lambda: True)
    assert isinstance(outcome, upstreams.Answered), outcome


def call_dispatcher(client, number):
    """Sends a request through the dispatcher."""
    body = messages.encode_message(messages.DispatchCall(build_request(number)))
    result = messages.decode_message(
        messages.DispatchResult, client.call("dispatch", body, timeout_s=5)
    )
    assert result.verdict is records.Verdict.RAN, result


def describe(latencies):
    """Formats median and p99 in milliseconds."""
    middle, late = latencies[len(latencies) // 2], latencies[len(latencies) * 99 // 100]
    return f"p50_ms={1000 * middle:.2f} p99_ms={1000 * late:.2f}"


def measure_process(requests):
    """Measures the dispatcher's process and prints the figures."""
    with tempfile.TemporaryDirectory() as directory:
        processes = Processes(directory)
        try:
            time.sleep(START_WAIT_S)
            _measure_process(processes, requests)
        finally:
            processes.stop()


def _measure_process(processes, requests):
    upstream = build_configuration(1, SLOTS).upstreams[0]
    direct = upstreams.UpstreamClient()
    caller = rpc.RpcClient(
        (ADDRESS, DISPATCH_PORT), KEY, rpc.Identity("entry", records.HostId("host-9"), "e")
    )
    for parallel in (1, 8):
        past, _ = measure_calls(
            lambda number: call_directly(direct, upstream, number), requests, parallel
        )
        before = processes.dispatcher.cpu_times()
        through, rate = measure_calls(
            lambda number: call_dispatcher(caller, number), requests, parallel
        )
        after = processes.dispatcher.cpu_times()
        used_s = after.user + after.system - before.user - before.system
        print(f"parallel={parallel} past: {describe(past)}")
        print(
            f"parallel={parallel} through: {describe(through)} rate_per_s={rate:.0f}"
            f" cpu_ms_per_request={1000 * used_s / requests:.3f}"
        )
    memory = processes.dispatcher.memory_info().rss / 1e6
    before = processes.dispatcher.cpu_times()
    time.sleep(5)
    after = processes.dispatcher.cpu_times()
    idle = (after.user + after.system - before.user - before.system) / 5
    print(f"memory_mb={memory:.1f} idle_cpu_percent={100 * idle:.1f}")


def main():
    """Prints the figures."""
    parser = argparse.ArgumentParser(prog="bench.dispatch_rate")
    parser.add_argument("--requests", type=int, default=5_000)
    arguments = parser.parse_args()
    for load in (0.3, 0.6, 0.85):
        rate, latencies = drive_core(load, 30_000)
        print(f"core load={load} events_per_s={rate:.0f} virtual {describe(latencies)}")
    measure_process(arguments.requests)


if __name__ == "__main__":
    main()
