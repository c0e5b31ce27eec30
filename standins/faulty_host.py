"""Runs the host program with a planted fault: ``faulty_host.py FAULT`` and start.py's arguments.

A fault that is planted for some calls writes a line ``planted.over`` to the log at the next call.
"""

import os
import pathlib
import runpy
import signal
import sys

PLATFORM_FOLDER = pathlib.Path(__file__).resolve().parent.parent / "platform"
START_SCRIPT = PLATFORM_FOLDER / "start.py"
sys.path.append(str(PLATFORM_FOLDER))

import skylarksill  # noqa: E402, F401, I001  silences eventlet's notice

import eventlet  # noqa: E402

eventlet.monkey_patch()

import store  # noqa: E402

from skylarksill.host import (  # noqa: E402
    clientserver,
    eventlog,
    gossip,
    program,
    records,
    relay,
    storecontact,
    watching,
)

# Calls before the fault, which a host makes as it starts, and calls that it makes fail.
SOUND_CALLS = 2
FAILED_CALLS = 2
# Time from the start to the first fault in the hub, the number of exceptions that reach it, and the
# time from one fault of its own to the next.
HUB_FAULTS_AT_S = 2.0
HUB_EXCEPTIONS = 10
HUB_FAULTS_EACH_S = 0.6


class PlantedError(Exception):
    """The planted exception."""


def _fail_for_some_calls(owner, name, sound_calls=SOUND_CALLS):
    original = getattr(owner, name)
    count = 0

    def call(*arguments):
        nonlocal count
        count += 1
        if sound_calls < count <= sound_calls + FAILED_CALLS:
            raise PlantedError("planted")
        if count == sound_calls + FAILED_CALLS + 1:
            os.write(sys.stdout.fileno(), b'{"event":"planted.over"}\n')
        return original(*arguments)

    setattr(owner, name, call)


def _fail_always(owner, name):
    def call(*arguments):
        raise PlantedError("planted")

    setattr(owner, name, call)


def _fail_to_announce():
    set_state = program.Host._set_state

    def set_state_or_fail(host, state):
        if state is records.HostState.LEAVING:
            raise PlantedError("planted")
        set_state(host, state)

    program.Host._set_state = set_state_or_fail


def _stop_while_starting():
    listen = program.Host._listen

    def stop_and_listen(host):
        os.kill(os.getpid(), signal.SIGTERM)
        listen(host)

    program.Host._listen = stop_and_listen


def _reach_hub():
    """Raises exceptions in callbacks of the hub, after the host has started."""

    def fail():
        raise PlantedError("planted")

    def end():
        os.write(sys.stdout.fileno(), b'{"event":"planted.over"}\n')

    for index in range(HUB_EXCEPTIONS):
        eventlet.spawn_after(HUB_FAULTS_AT_S + 0.01 * index, fail)
    eventlet.spawn_after(HUB_FAULTS_AT_S + 1.0, end)


def _fail_in_hub():
    """Has the hub itself fail once each HUB_FAULTS_EACH_S."""
    hub = eventlet.hubs.get_hub()

    def fail():
        del hub.prepare_timers
        eventlet.spawn_after(HUB_FAULTS_EACH_S, plant)
        raise PlantedError("planted")

    def plant():
        hub.prepare_timers = fail

    eventlet.spawn_after(HUB_FAULTS_AT_S, plant)


FAULTS = {
    "housekeeping": lambda: _fail_for_some_calls(program.Host, "_update_view"),
    "the log": lambda: _fail_for_some_calls(eventlog.EventLog, "flush"),
    "the settings": lambda: _fail_for_some_calls(program.Host, "_reload"),
    "gossip": lambda: _fail_for_some_calls(gossip.Gossip, "send"),
    "a watch": lambda: _fail_for_some_calls(watching.Watcher, "_call"),
    "the asks": lambda: _fail_for_some_calls(storecontact.StoreContact, "observe"),
    "registration": lambda: _fail_for_some_calls(store.PlatformStore, "register_host", 0),
    "the choice of sources": lambda: _fail_for_some_calls(relay, "choose_sources"),
    "the use of the belief": lambda: _fail_for_some_calls(program.Host, "_set_state", 0),
    "its announcement": _fail_to_announce,
    "its begin": lambda: _fail_always(clientserver.ClientServer, "begin_shutdown"),
    "closing idle connections": lambda: _fail_always(clientserver.ClientServer, "close_idle"),
    "closing its socket": lambda: _fail_always(clientserver.ClientServer, "stop_listening"),
    "a stop while it starts": _stop_while_starting,
    "callbacks of the hub": _reach_hub,
    "the hub": _fail_in_hub,
}


def main():
    """Plants the fault that the first argument names and runs the host program."""
    FAULTS[sys.argv[1]]()
    sys.argv[1:2] = []
    runpy.run_path(str(START_SCRIPT), run_name="__main__")


if __name__ == "__main__":
    main()
