"""Starts a whole deployment and sends it work while an upstream is drained and a host is killed.

The totals of the last line come from the responses that the clients received and from the records
of the upstream stand-ins.
"""

import argparse
import collections
import itertools
import json
import pathlib
import random
import shutil
import signal
import subprocess
import sys
import threading
import time

import urllib3

from bench import client, deployment, worklog
from skylarksill import configuration, records

LOAD_DURATION_S = 20.0
DRAIN_AT_S = 6.0
KILL_AT_S = 12.0
SETTLE_S = 5.0
CLIENTS_PER_ZONE = 4
MEAN_PAUSE_S = 0.06
MIN_ANSWERED_SHARE = 0.99
SEED = 20261204


def start_platform(running):
    """Starts the stand-in of the platform and waits until it is ready."""
    address = ":".join(map(str, deployment.PLATFORM_ADDRESS))
    platform = running.start_module("platform", "standins.platform", "--address", address)
    platform.wait_until_ready()


def start_upstreams(running, loaded, distribution="exponential", mean_ms=None):
    """Starts one process of upstream stand-ins for each zone and waits until all are ready.

    Args:
      running: The Deployment.
      loaded: The Configuration.
      distribution: Distribution of the service times, "exponential" or "fixed".
      mean_ms: Mean service time in milliseconds; None takes the mean of each service.
    Returns:
      The control addresses as pairs of IP address and port.
    """
    means = {service.service_id: mean_ms or service.mean_ms for service in loaded.services}
    controls = []
    started = []
    for index, zone in enumerate(loaded.zones):
        controls.append((f"127.0.4.{index + 1}", 7200))
        lines = ["[control]", f"address = {controls[-1][0]}", f"port = {controls[-1][1]}"]
        for upstream in loaded.upstreams:
            if upstream.zone_id == zone.zone_id:
                lines += [
                    f"[worker {upstream.upstream_id}]",
                    f"address = {upstream.address}",
                    f"port = {upstream.port}",
                    f"service = {upstream.service_id}",
                    f"slots = {upstream.slots}",
                    f"mean_ms = {means[upstream.service_id]}",
                    f"distribution = {distribution}",
                ]
        path = running.directory / f"upstreams-{zone.zone_id}.ini"
        path.write_text("\n".join(lines) + "\n", encoding="utf-8")
        name = f"upstreams-{zone.zone_id}"
        started.append(running.start_module(name, "standins.upstream", "--settings", str(path)))
    for process in started:
        process.wait_until_ready()
    return controls


def run_console(running, *arguments):
    """Runs the operators' command line against the first host and returns its output.

    Raises:
      RuntimeError: If the command fails.
    """
    settings_path = running.get_settings_path(running.configuration.hosts[0].host_id)
    command = [sys.executable, "-c", "from skylarksill import programs; programs.run_console()"]
    command += [*arguments, f"--settings={settings_path}", "--no-interaction"]
    result = subprocess.run(command, capture_output=True, text=True, timeout=30, check=False)
    if result.returncode:
        raise RuntimeError(f"{' '.join(arguments)}: {result.stdout}{result.stderr}")
    return result.stdout


def wait_for_service(loaded):
    """Waits until the lookup process of every host answers for every service.

    Raises:
      RuntimeError: If a lookup still fails after 20 s.
    """
    pool = urllib3.PoolManager(retries=False)
    deadline = time.monotonic() + 20.0
    for host, service in itertools.product(loaded.hosts, loaded.services):
        url = f"http://{host.address}:{host.lookup_port}/v1/lookup?service={service.service_id}"
        while pool.request("GET", url, timeout=2.0).status != 200:
            if time.monotonic() > deadline:
                raise RuntimeError(
                    f"lookup of {service.service_id} at {host.host_id} still fails after 20 s"
                )
            time.sleep(0.1)


def wait_for_upstreams(loaded):
    """Waits until each client gets a successful response from each service.

    A new dispatcher leaves its slots unused until no work of its predecessor can still be running.

    Raises:
      RuntimeError: If a service does not respond with status 200 within 20 s.
    """
    deadline = time.monotonic() + 20.0
    for sender, service in itertools.product(make_clients(loaded), loaded.services):
        is_idempotent = service.kind is records.WorkKind.IDEMPOTENT
        method = "GET" if is_idempotent else "POST"
        while True:
            outcome = sender.send(service.service_id, method, "/ready", b"", is_idempotent)
            if outcome.status == 200:
                break
            if time.monotonic() > deadline:
                raise RuntimeError(
                    f"{service.service_id} did not return status 200 within 20 s: {outcome}"
                )


def make_clients(loaded):
    """Returns clients in all zones; each asks the lookup processes of its own zone first."""
    prefixes = {block.zone_id: block.prefix for block in reversed(loaded.blocks)}
    regions = {zone.zone_id: zone.region_id for zone in loaded.zones}
    clients = []
    for zone_id, prefix in sorted(prefixes.items()):
        hosts = sorted(
            loaded.hosts,
            key=lambda host: (host.zone_id != zone_id, regions[host.zone_id] != regions[zone_id]),
        )
        lookups = [(host.address, host.lookup_port) for host in hosts]
        network = prefix.split("/")[0].rpartition(".")[0]
        clients += [
            client.Client(lookups, f"{network}.{number + 1}") for number in range(CLIENTS_PER_ZONE)
        ]
    return clients


def send_work(sender, services, seed, end, results):
    """Sends work to randomly chosen services until ``end`` and appends a SentRequest for each."""
    rng = random.Random(seed)
    for number in itertools.count():
        if time.monotonic() > end:
            return
        service = rng.choice(services)
        is_idempotent = service.kind is records.WorkKind.IDEMPOTENT
        work_id = f"w-{seed}-{number}"
        path = f"/items/{work_id}"
        body = b"" if is_idempotent else json.dumps({"work_id": work_id}).encode()
        method = "GET" if is_idempotent else "POST"
        headers = {"Work-Id": work_id}
        outcome = sender.send(service.service_id, method, path, body, is_idempotent, headers)
        results.append(worklog.SentRequest(work_id, path, body, is_idempotent, outcome))
        time.sleep(rng.uniform(0, 2 * MEAN_PAUSE_S))


def choose_targets(loaded):
    """Returns the ids of the upstream to drain and of the host to kill.

    The killed host is the only one of its zone and is neither home nor standby of the upstream.
    """
    kinds = {service.service_id: service.kind for service in loaded.services}
    zones = [host.zone_id for host in loaded.hosts]
    killed = next(host for host in reversed(loaded.hosts) if zones.count(host.zone_id) == 1)
    drained = next(
        upstream
        for upstream in loaded.upstreams
        if kinds[upstream.service_id] is records.WorkKind.NON_IDEMPOTENT
        and killed.host_id not in (upstream.home, upstream.standby)
    )
    return drained.upstream_id, killed.host_id


def apply_load(loaded, control, script, load_s):
    """Sends work from all clients while a script of disturbances runs.

    Args:
      loaded: The Configuration.
      control: The UpstreamControl.
      script: Triples of seconds after the start, text to print and function to call, in order of
        time.
      load_s: Duration of the load in seconds.
    Returns:
      A list of SentRequest and the samples of headroom by service.
    """
    results = []
    samples = collections.defaultdict(list)
    start = time.monotonic()
    end = start + load_s
    threads = [
        threading.Thread(
            target=send_work, args=(sender, loaded.services, SEED + index, end, results)
        )
        for index, sender in enumerate(make_clients(loaded))
    ]
    threads.append(
        threading.Thread(target=worklog.sample_headroom, args=(control, loaded, end, samples))
    )
    for thread in threads:
        thread.start()
    for at_s, text, action in script:
        time.sleep(max(0.0, start + at_s - time.monotonic()))
        action()
        print(f"{time.monotonic() - start:4.1f} s: {text}")
    for thread in threads:
        thread.join()
    return results, samples


def load_example(name, directory):
    """Copies an example configuration into a directory and reads it.

    Returns:
      The Configuration and the path of the copy.
    Raises:
      ValueError: If the example is not valid.
    """
    directory.mkdir(parents=True, exist_ok=True)
    path = directory / "configuration.ini"
    shutil.copy(f"examples/{name}-configuration.ini", path)
    loaded, problems = configuration.parse_configuration(path.read_text(encoding="utf-8"))
    if problems:
        raise ValueError(str(problems[0]))
    return loaded, path


def start_deployment(running, loaded, path):
    """Starts all processes, applies the configuration and waits until all services respond.

    Returns:
      The UpstreamControl.
    """
    start_platform(running)
    control = worklog.UpstreamControl(start_upstreams(running, loaded))
    running.start_all_hosts()
    run_console(running, "apply", str(path))
    wait_for_service(loaded)
    wait_for_upstreams(loaded)
    return control


def run_demo(name, directory):
    """Runs the demo of one deployment.

    Returns:
      True if the totals ``wrong``, ``repeated``, ``over_limit`` and ``cut_off`` are 0 and at least
      MIN_ANSWERED_SHARE of the idempotent requests was answered.
    """
    loaded, path = load_example(name, directory)
    drained, killed = choose_targets(loaded)
    with deployment.Deployment(loaded, directory) as running:
        control = start_deployment(running, loaded, path)
        print(f"{len(running.list_processes())} processes serve {name}")
        script = (
            (
                DRAIN_AT_S,
                f"drain of {drained} accepted",
                lambda: run_console(running, "drain", "upstream", drained, "--yes"),
            ),
            (
                KILL_AT_S,
                f"all programs of {killed} killed",
                lambda: running.signal_host(killed, signal.SIGKILL),
            ),
        )
        results, samples = apply_load(loaded, control, script, LOAD_DURATION_S)
        time.sleep(SETTLE_S)
        workers = control.read_records()
    worklog.print_table(results, samples, loaded)
    worklog.print_failures(results)
    totals = worklog.count_totals(results, workers, loaded, killed)
    print("demo: " + " ".join(f"{key}={value}" for key, value in totals.items()))
    idempotent = [sent for sent in results if sent.is_idempotent]
    answered = sum(worklog.is_answered(sent) for sent in idempotent)
    is_clean = not any(totals[key] for key in ("wrong", "repeated", "over_limit", "cut_off"))
    return is_clean and answered >= MIN_ANSWERED_SHARE * len(idempotent)


def main():
    """Runs the demo; exits with 1 if it failed."""
    parser = argparse.ArgumentParser(prog="bench.demo")
    parser.add_argument("--deployment", choices=("cedarwake", "riunita"), default="cedarwake")
    name = parser.parse_args().deployment
    sys.exit(0 if run_demo(name, pathlib.Path("out") / f"demo-{name}") else 1)


if __name__ == "__main__":
    main()
