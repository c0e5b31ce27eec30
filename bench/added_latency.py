"""Measures the latency that the path adds to a request against the upstream called directly."""

import argparse
import pathlib
import sys
import time

import psutil
import urllib3

from bench import demo, deployment, queue_model
from skylarksill import records

BOUND_MS = 3.0
REQUESTS = 2_000
PAUSE_S = 0.002
UPSTREAM_MS = 2.0


def time_requests(url, headers, count):
    """Sends requests one after another on one connection.

    Returns:
      The latencies in milliseconds.
    Raises:
      RuntimeError: If a request is not answered with 200.
    """
    pool = urllib3.PoolManager(retries=False)
    latencies = []
    for _ in range(count):
        start = time.perf_counter()
        response = pool.request("GET", url, headers=headers, timeout=5.0)
        latencies.append(1000 * (time.perf_counter() - start))
        if response.status != 200:
            raise RuntimeError(f"status {response.status}: {response.data[:200]}")
        time.sleep(PAUSE_S)
    return latencies


def measure(name, directory):
    """Measures one deployment.

    Returns:
      The latencies of the direct and of the steered requests, and the memory in bytes and processor
      seconds of the first host's programs by part.
    """
    loaded, path = demo.load_example(name, directory)
    host = loaded.hosts[0]
    service = next(
        item.service_id for item in loaded.services if item.kind is records.WorkKind.IDEMPOTENT
    )
    upstream = next(
        item
        for item in loaded.upstreams
        if item.service_id == service and item.home == host.host_id
    )
    with deployment.Deployment(loaded, directory, log_level="WARNING") as running:
        demo.start_platform(running)
        demo.start_upstreams(running, loaded, distribution="fixed", mean_ms=UPSTREAM_MS)
        running.start_all_hosts()
        demo.run_console(running, "apply", str(path))
        demo.wait_for_service(loaded)
        demo.wait_for_upstreams(loaded)
        route = demo.make_clients(loaded)[0].look_up_route(service)
        headers = {"Skylarksill-Route": route}
        direct_url = f"http://{upstream.address}:{upstream.port}/items/1"
        steered_url = f"http://{host.address}:{host.entry_port}/v1/{service}/items/1"
        direct = time_requests(direct_url, {}, REQUESTS)
        before = read_processor_times(running, host.host_id)
        steered = time_requests(steered_url, headers, REQUESTS)
        after = read_processor_times(running, host.host_id)
        memory = read_memory(running, host.host_id)
    used = {part: after[part] - before[part] for part in after}
    return direct, steered, memory, used


def list_programs(running, host_id):
    """Returns the processes of one host by part."""
    return {
        name.removeprefix(f"{host_id}-"): psutil.Process(pid)
        for name, pid in running.list_processes()
        if name.startswith(f"{host_id}-")
    }


def read_processor_times(running, host_id):
    """Returns the processor seconds of one host's programs by part."""
    programs = list_programs(running, host_id)
    return {part: sum(process.cpu_times()[:2]) for part, process in programs.items()}


def read_memory(running, host_id):
    """Returns the private bytes of one host's programs by part, and their shared pages once."""
    programs = list_programs(running, host_id)
    readings = {part: process.memory_full_info() for part, process in programs.items()}
    memory = {part: reading.uss for part, reading in readings.items()}
    memory["shared"] = max(reading.rss - reading.uss for reading in readings.values())
    return memory


def main():
    """Prints the figures; exits with 1 if the bound is passed."""
    parser = argparse.ArgumentParser(prog="bench.added_latency")
    parser.add_argument("--deployment", choices=("cedarwake", "riunita"), default="cedarwake")
    name = parser.parse_args().deployment
    direct, steered, memory, used = measure(name, pathlib.Path("out") / f"latency-{name}")
    for percent in (50, 99):
        values = [queue_model.compute_percentile(item, percent) for item in (direct, steered)]
        print(f"p{percent}: direct {values[0]:.2f} ms, steered {values[1]:.2f} ms")
    for part, size in sorted(memory.items()):
        per_request_us = 1e6 * used.get(part, 0.0) / REQUESTS
        print(f"{part}: {size / 1e6:.1f} MB, {per_request_us:.0f} us of processor a request")
    print(f"all programs of the host: {sum(memory.values()) / 1e6:.1f} MB resident")
    baseline = queue_model.compute_percentile(direct, 50)
    added = queue_model.compute_percentile(steered, 50) - baseline
    verdict = "ok" if added < BOUND_MS else "red"
    print(
        f"measure: case=added_latency deployment={name} baseline={baseline:.2f}ms "
        f"ours={baseline + added:.2f}ms ratio={1 + added / baseline:.2f} "
        f"bound=+{BOUND_MS:.0f}ms {verdict}"
    )
    sys.exit(0 if verdict == "ok" else 1)


if __name__ == "__main__":
    main()
