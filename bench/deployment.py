"""Starts a whole deployment as processes on loopback addresses, for the demo and measurements."""

import dataclasses
import os
import pathlib
import signal
import subprocess
import sys
import threading
import time

READY_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 10.0
PROGRAMS = ("agent", "dispatch", "entry", "lookup")
SHARED_KEY_HEX = "5b" * 32
PLATFORM_ADDRESS = ("127.0.3.1", 7100)

SETTINGS_TEMPLATE = """[host]
name = {host.host_id}
zone = {host.zone_id}
address = {host.address}
[ports]
lookup = {host.lookup_port}
entry = {host.entry_port}
dispatch = {host.dispatch_port}
agent = {host.agent_port}
[security]
shared_key = {key}
[platform]
address = {platform}
[peers]
agents = {peers}
[logs]
level = {level}
"""


class StartError(Exception):
    """A process ended or timed out before it reported that it is ready."""


@dataclasses.dataclass
class Process:
    """A started process.

    Attributes:
      name: Name within the Deployment.
      popen: The child process.
      ready: Set when the process reports that it is ready or closes its standard output.
      log_path: File that receives its standard error.
    """

    name: str
    popen: subprocess.Popen
    ready: threading.Event
    log_path: pathlib.Path

    def wait_until_ready(self):
        """Waits until the process has written a line that contains "ready".

        Raises:
          StartError: If it has ended or is not ready within READY_TIMEOUT_S.
        """
        if not self.ready.wait(READY_TIMEOUT_S) or self.popen.poll() is not None:
            tail = self.log_path.read_text(encoding="utf-8")[-2000:]
            raise StartError(f"{self.name} ended or is not ready; end of its log: {tail}")


class Deployment:
    """Processes of one deployment; a context manager that stops all of them on exit.

    Args:
      configuration: The Configuration whose hosts are started.
      directory: Directory for settings and logs.
      log_level: Minimum level of the log lines that the daemons write.
    """

    def __init__(self, configuration, directory, log_level="INFO"):
        self.configuration = configuration
        self.directory = pathlib.Path(directory)
        self.directory.mkdir(parents=True, exist_ok=True)
        self._log_level = log_level
        self._processes = {}

    def __enter__(self):
        return self

    def __exit__(self, *exception):
        self.stop()

    def start_module(self, name, module, *arguments):
        """Starts ``python -m module`` and returns its Process without waiting."""
        return self._start(name, [sys.executable, "-m", module, *arguments])

    def start_host(self, host_id):
        """Starts the programs of one host and waits until they are ready."""
        host = self.find_host(host_id)
        path = self._write_settings(host)
        started = [self._start_program(host, program, path) for program in PROGRAMS]
        for process in started:
            process.wait_until_ready()

    def start_all_hosts(self):
        """Starts the programs of all hosts and waits until they are ready."""
        started = []
        for host in self.configuration.hosts:
            path = self._write_settings(host)
            started += [self._start_program(host, program, path) for program in PROGRAMS]
        for process in started:
            process.wait_until_ready()

    def find_host(self, host_id):
        """Returns the Host with this id."""
        return next(host for host in self.configuration.hosts if host.host_id == host_id)

    def get_settings_path(self, host_id):
        """Returns the path of a host's settings file."""
        return self.directory / f"{host_id}.ini"

    def signal_host(self, host_id, signal_number):
        """Sends a signal to all programs of a host."""
        for program in PROGRAMS:
            self.signal_process(f"{host_id}-{program}", signal_number)

    def signal_process(self, name, signal_number):
        """Sends a signal to one process if it is still running."""
        popen = self._processes[name].popen
        if popen.poll() is None:
            popen.send_signal(signal_number)

    def list_processes(self):
        """Returns pairs of name and process id of the running processes."""
        return [
            (name, process.popen.pid)
            for name, process in self._processes.items()
            if process.popen.poll() is None
        ]

    def stop(self):
        """Terminates all processes and kills those still running after STOP_TIMEOUT_S.

        Suspended processes are resumed first, so that they can handle SIGTERM.
        """
        running = [item.popen for item in self._processes.values() if item.popen.poll() is None]
        for popen in running:
            popen.send_signal(signal.SIGCONT)
            popen.terminate()
        deadline = time.monotonic() + STOP_TIMEOUT_S
        for popen in running:
            try:
                popen.wait(max(0.1, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                popen.kill()
                popen.wait()

    def _start_program(self, host, program, path):
        code = f"from skylarksill import programs; programs.run_{program}()"
        command = [sys.executable, "-c", code, "--settings", str(path)]
        return self._start(f"{host.host_id}-{program}", command)

    def _start(self, name, command):
        log_path = self.directory / f"{name}.log"
        with open(log_path, "a", encoding="utf-8") as log:
            popen = subprocess.Popen(
                command,
                stdout=subprocess.PIPE,
                stderr=log,
                text=True,
                env={**os.environ, "PYTHONUNBUFFERED": "1"},
            )
        process = Process(name, popen, threading.Event(), log_path)
        threading.Thread(target=_read_output, args=(process,), daemon=True).start()
        self._processes[name] = process
        return process

    def _write_settings(self, host):
        peers = [
            f"{other.address}:{other.agent_port}"
            for other in self.configuration.hosts
            if other.host_id != host.host_id
        ]
        text = SETTINGS_TEMPLATE.format(
            host=host,
            key=SHARED_KEY_HEX,
            platform=f"{PLATFORM_ADDRESS[0]}:{PLATFORM_ADDRESS[1]}",
            peers=", ".join(peers),
            level=self._log_level,
        )
        path = self.get_settings_path(host.host_id)
        path.write_text(text, encoding="utf-8")
        return path


def _read_output(process):
    for line in process.popen.stdout:
        if "ready" in line:
            process.ready.set()
    process.ready.set()
