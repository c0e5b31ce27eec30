"""Entry points of the programs."""

import argparse
import os
import signal
import sys

import eventlet

from skylarksill import clock, logs, settings

EXIT_BAD_SETTINGS = 2
EXIT_SECOND_SIGNAL = 3


def run_lookup():
    """Runs skylarksill-lookup."""
    _run_daemon("lookup", "LookupDaemon")


def run_entry():
    """Runs skylarksill-entry."""
    _run_daemon("entry", "EntryDaemon")


def run_dispatch():
    """Runs skylarksill-dispatch."""
    _run_daemon("dispatch", "DispatchDaemon")


def run_agent():
    """Runs skylarksill-agent."""
    _run_daemon("agent", "AgentDaemon")


def run_console():
    """Runs the operators' command line."""
    from skylarksill.console import application

    sys.exit(application.make_application().run())


def _run_daemon(program, class_name):
    eventlet.monkey_patch()
    arguments = _parse_arguments(program)
    host_settings, problems = settings.load_settings(arguments.settings, arguments.set)
    if problems:
        for problem in problems:
            print(f"skylarksill-{program}: {problem}", file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    logs.start_logging(host_settings.log_level)
    # Each process imports only its own daemon, so that the host stays within its memory limit.
    module = __import__(f"skylarksill.{program}", fromlist=[class_name])
    _serve_daemon(program, getattr(module, class_name)(host_settings, clock.SystemClock()))


def _parse_arguments(program):
    parser = argparse.ArgumentParser(prog=f"skylarksill-{program}")
    parser.add_argument("--settings", required=True, help="INI file with the host's settings")
    parser.add_argument(
        "--set", action="append", default=[], metavar="SECTION.KEY=VALUE", help="replace a setting"
    )
    return parser.parse_args()


def _serve_daemon(program, daemon):
    log = logs.make_logger(program)
    stopped = eventlet.event.Event()
    received_signals = []

    def stop(signal_number, frame):
        if received_signals:
            log.error("second signal, cut off {}", daemon.describe_in_flight())
            os._exit(EXIT_SECOND_SIGNAL)
        received_signals.append(signal_number)
        eventlet.spawn_n(_leave_and_stop, daemon, stopped)

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    address, port = daemon.start()
    print(f"skylarksill-{program} ready on {address}:{port}", flush=True)
    stopped.wait()
    log.info("stopped")


def _leave_and_stop(daemon, stopped):
    try:
        daemon.leave()
    finally:
        stopped.send()
