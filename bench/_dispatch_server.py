"""Serves one dispatcher with a fixed view in place of its agent, for bench.dispatch_rate."""

import argparse

import eventlet

from skylarksill import clock, configuration, dispatch, logs, messages, records, settings


class FixedView:
    """Stands in for the AgentViewClient of the agent."""

    def __init__(self, in_force):
        self.configuration = in_force
        self.state = records.LifecycleState.SERVING
        self.load_age_offset_ms = 0
        self.age_s = 0.0
        self.view = messages.ViewResult(1, None, (), (), (), (), (), 0)

    def start(self):
        """Does nothing, as the view is fixed."""

    stop = request_poll = poll = start


def main():
    """Serves until the process is ended."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--configuration", required=True)
    parser.add_argument("--key", required=True)
    arguments = parser.parse_args()
    with open(arguments.configuration, encoding="utf-8") as file:
        in_force, problems = configuration.parse_configuration(file.read())
    assert not problems, problems
    host = in_force.hosts[0]
    host_settings = settings.Settings(
        host.host_id,
        host.zone_id,
        host.address,
        0,
        0,
        host.dispatch_port,
        0,
        bytes.fromhex(arguments.key),
        None,
        (),
        None,
        "INFO",
    )
    logs.start_logging("INFO")
    daemon = dispatch.DispatchDaemon(host_settings, clock.SystemClock(), FixedView(in_force))
    daemon.accept_configuration(in_force, None)
    address, port = daemon.start()
    print(f"ready on {address}:{port}", flush=True)
    while True:
        eventlet.sleep(3600)


if __name__ == "__main__":
    main()
