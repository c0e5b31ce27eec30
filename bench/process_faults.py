"""Runs a deployment's processes under load and disturbs them: kills, pauses, outages, stops.

Each case counts from the clients' answers and from the stand-ins' records, and fails if work was
repeated, cut off by a planned stop, answered wrongly, or ran over a limit.
"""

import argparse
import dataclasses
import json
import pathlib
import signal
import sys
import time
import typing

import urllib3

from bench import demo, deployment, worklog

LOAD_S = 14.0
MAX_STOP_S = 8.0
MIN_ANSWERED_SHARE = 0.9


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """A disturbance of a running deployment.

    ``make_script`` returns the script for a Deployment and the host that is disturbed;
    ``may_cut_off`` says whether work in flight of that host may be lost.
    """

    name: str
    may_cut_off: bool
    make_script: typing.Callable


def set_platform_faults(**faults):
    """Sets faults of the platform's stand-in."""
    host, port = deployment.PLATFORM_ADDRESS
    body = json.dumps(faults)
    urllib3.PoolManager().request("POST", f"http://{host}:{port}/control/faults", body=body)


def _kill_and_restart(running, host):
    return (
        (3.0, f"{host} killed", lambda: running.signal_host(host, signal.SIGKILL)),
        (6.0, f"{host} started again", lambda: running.start_host(host)),
    )


def _kill_during_outage(running, host):
    return (
        (2.0, "store down", lambda: set_platform_faults(outage=True)),
        (4.0, f"{host} killed", lambda: running.signal_host(host, signal.SIGKILL)),
        (6.0, f"{host} started again", lambda: running.start_host(host)),
        (12.0, "store up", lambda: set_platform_faults(outage=False)),
    )


def _pause_dispatcher(running, host):
    name = f"{host}-dispatch"
    return (
        (3.0, f"{name} paused", lambda: running.signal_process(name, signal.SIGSTOP)),
        (11.0, f"{name} continued", lambda: running.signal_process(name, signal.SIGCONT)),
    )


def _pause_host(running, host):
    return (
        (3.0, f"{host} paused", lambda: running.signal_host(host, signal.SIGSTOP)),
        (10.0, f"{host} continued", lambda: running.signal_host(host, signal.SIGCONT)),
    )


def _stop_host(running, host):
    return ((3.0, f"{host} asked to stop", lambda: running.signal_host(host, signal.SIGTERM)),)


def _slow_store(running, host):
    return (
        (2.0, "store slow", lambda: set_platform_faults(delay_ms=3_000)),
        (10.0, "store fast", lambda: set_platform_faults(delay_ms=0)),
    )


def _lose_reply_of_drain(running, host):
    upstream = next(
        item.upstream_id for item in running.configuration.upstreams if item.home != host
    )

    def drain():
        set_platform_faults(lost_replies=1)
        demo.run_console(running, "drain", "upstream", upstream, "--yes")

    return ((3.0, f"{upstream} drained, reply of the write lost", drain),)


CASES = (
    Case("kill-and-restart", True, _kill_and_restart),
    Case("kill-during-outage", True, _kill_during_outage),
    Case("pause-dispatcher", True, _pause_dispatcher),
    Case("pause-host", True, _pause_host),
    Case("stop-host", False, _stop_host),
    Case("slow-store", False, _slow_store),
    Case("lost-reply", False, _lose_reply_of_drain),
)


def run_case(case, name, directory):
    """Runs one case on a fresh deployment.

    Returns:
      True if it held.
    """
    loaded, path = demo.load_example(name, directory)
    _, host = demo.choose_targets(loaded)
    with deployment.Deployment(loaded, directory) as running:
        control = demo.start_deployment(running, loaded, path)
        script = case.make_script(running, host)
        results, _ = demo.apply_load(loaded, control, script, LOAD_S)
        has_stopped = case.name != "stop-host" or _wait_until_stopped(running, host)
        time.sleep(demo.SETTLE_S)
        workers = control.read_records()
    worklog.print_failures(results)
    totals = worklog.count_totals(results, workers, loaded, host if case.may_cut_off else None)
    idempotent = [sent for sent in results if sent.is_idempotent]
    answered = sum(worklog.is_answered(sent) for sent in idempotent)
    is_clean = not any(totals[key] for key in ("wrong", "repeated", "over_limit", "cut_off"))
    has_held = is_clean and has_stopped and answered >= MIN_ANSWERED_SHARE * len(idempotent)
    fields = " ".join(f"{key}={value}" for key, value in totals.items())
    share = answered / max(1, len(idempotent))
    verdict = "ok" if has_held else "red"
    print(f"process_faults: case={case.name} {fields} idempotent={share:.1%} {verdict}")
    return has_held


def _wait_until_stopped(running, host):
    deadline = time.monotonic() + MAX_STOP_S
    while time.monotonic() < deadline:
        if not any(name.startswith(f"{host}-") for name, _ in running.list_processes()):
            return True
        time.sleep(0.1)
    return False


def main():
    """Runs all cases or one; exits with 1 if one did not hold."""
    parser = argparse.ArgumentParser(prog="bench.process_faults")
    parser.add_argument("--case", choices=[case.name for case in CASES])
    parser.add_argument("--deployment", choices=("cedarwake", "riunita"), default="cedarwake")
    arguments = parser.parse_args()
    cases = [case for case in CASES if arguments.case in (None, case.name)]
    directory = pathlib.Path("out") / "process-faults"
    held = [run_case(case, arguments.deployment, directory / case.name) for case in cases]
    print(f"process_faults: cases={len(held)} held={sum(held)} red={len(held) - sum(held)}")
    sys.exit(0 if all(held) else 1)


if __name__ == "__main__":
    main()
