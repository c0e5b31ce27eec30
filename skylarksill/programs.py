"""Main functions of the programs."""

import argparse
import os
import signal
import sys

import eventlet

from skylarksill import clock, logs, settings

EXIT_BAD_SETTINGS = 2
EXIT_CUT_OFF = 3


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


def _run_daemon(part, class_name):
    eventlet.monkey_patch()
    arguments = _parse_arguments(part)
    host_settings, problems = settings.load_settings(arguments.settings, arguments.set)
    if problems:
        for problem in problems:
            print(f"skylarksill-{part}: {problem}", file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    logs.start_logging(host_settings.log_level)
    # Each process imports only its own daemon, which keeps the host's memory within its bound.
    module = __import__(f"skylarksill.{part}", fromlist=[class_name])
    _serve_daemon(part, getattr(module, class_name)(host_settings, clock.SystemClock()))


def _parse_arguments(part):
    parser = argparse.ArgumentParser(prog=f"skylarksill-{part}")
    parser.add_argument("--settings", required=True, help="INI file with the host's settings")
    parser.add_argument(
        "--set", action="append", default=[], metavar="SECTION.KEY=VALUE", help="replace a setting"
    )
    return parser.parse_args()


def _serve_daemon(part, daemon):
    log = logs.make_logger(part)
    stopped = eventlet.event.Event()
    stopping = []

    def stop(signal_number, frame):
        if stopping:
            log.error("second signal, cut off {}", daemon.describe_in_flight())
            os._exit(EXIT_CUT_OFF)
        stopping.append(signal_number)
        eventlet.spawn_n(_leave, daemon, stopped)

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    address, port = daemon.start()
    print(f"skylarksill-{part} ready on {address}:{port}", flush=True)
    stopped.wait()
    log.info("stopped")


def _leave(daemon, stopped):
    try:
        daemon.leave()
    finally:
        stopped.send()
