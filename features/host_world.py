"""The data path of a host over loopback: client server, forwarder and fake upstreams."""

import time

import eventlet
from eventlet.green import socket

from features import host_builders
from skylarksill import limits
from skylarksill.host import (
    belief,
    clientserver,
    counters,
    eventlog,
    fleet,
    forwarder,
    lateness,
    pool,
    records,
    steering,
)
from standins import worker

ANSWER_TIMEOUT_S = 5.0
POLL_S = 0.02


class HostWorld:
    """One host with upstreams in its own region.

    Args:
      names: Ids of the upstreams.
      workers: Dict of running workers by upstream id that other hosts use too; new ones if None.
      routes: The records.Route tuple of the configuration; the builder's routes if None.
      listed_at: Monotonic time at which the host reads its first list of upstreams.

    Attributes:
      expects_exceptions: True if the test plants a fault that the host is to log.
    """

    def __init__(self, names, workers=None, routes=None, listed_at=0.0):
        _, wire, _ = host_builders.import_platform()
        self.workers = workers or {name: worker.Worker(name) for name in names}
        self._routes = routes
        self._listed_at = listed_at
        self.log_bytes = bytearray()
        self.expects_exceptions = False
        log = eventlog.EventLog("test", self._write_log)
        self.belief = belief.Belief()
        self.lateness = lateness.Lateness()
        self.fleet = fleet.Fleet("north")
        self.pool = pool.ConnectionPool(wire.HEADER_NAMES, limits.BufferLimit(64 * 1024 * 1024))
        self.forwarder = forwarder.Forwarder(
            self.belief,
            self.fleet,
            steering.Steering(self.fleet, host_builders.BOUNDS.max_shift),
            self.pool,
            wire.HEADER_NAMES,
            log,
            counters.Counters(),
            host_builders.BOUNDS,
            self.lateness,
        )
        self.counters = counters.Counters()
        self.server = clientserver.ClientServer(
            ("127.0.0.1", 0),
            self.forwarder.serve,
            self._find_limits,
            wire.HEADER_NAMES,
            log,
            counts=self.counters,
        )
        self.server.start()
        self.log = log
        self.configure()

    def configure(self):
        """Sets the configuration and the upstreams of the host."""
        upstreams = {
            name: host_builders.build_upstream(name, address=item.address)
            for name, item in self.workers.items()
        }
        self.belief.accept_configuration(host_builders.build_configuration(routes=self._routes))
        self.belief.record_confirmation(time.monotonic())
        self.belief.replace_upstreams(upstreams, self._listed_at)
        services = self.belief.configuration.services
        self.fleet.apply(upstreams, services, (), host_builders.BOUNDS, self._listed_at)

    def stop(self):
        """Stops the host and the upstreams."""
        self.server.stop_listening()
        for item in self.workers.values():
            item.stop()

    def check_exceptions(self):
        """Fails if the host has logged an exception that the test does not expect."""
        self.log.flush()
        faults = [line for line in self.log_bytes.splitlines() if b'"host.exception"' in line]
        assert self.expects_exceptions or not faults, faults

    def connect(self):
        """Opens a connection of a client to the host."""
        client = socket.create_connection(self.server.address)
        client.settimeout(ANSWER_TIMEOUT_S)
        return client

    def count_runs(self):
        """Returns the number of requests that the upstreams have started to run."""
        return sum(len(item.runs) for item in self.workers.values())

    def _find_limits(self):
        configuration = self.belief.configuration
        return configuration.limits if configuration else records.ClientLimits()

    def _write_log(self, data):
        self.log_bytes += data
        return len(data)


def wait_until(seconds, is_reached):
    """Waits until a condition holds; fails if that takes longer than ``seconds``.

    Args:
      seconds: Time-out in seconds.
      is_reached: Function that returns True once the condition holds.
    """
    end = time.monotonic() + seconds
    while not is_reached():
        assert time.monotonic() < end, f"not reached within {seconds} s"
        eventlet.sleep(POLL_S)
