"""The host processes of a soak run."""

import os
import pathlib
import subprocess
import sys

from eventlet.green import socket

from bench.soak import proxies
from standins import platformdata

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
FIRST_PORT = 8381
INTERNAL_PORT = 7200
KEYS_NAME = "peer-keys.ini"
# Settings that change while the hosts run; none is laxer than what the checks demand.
CHANGED_BOUNDS = (
    (),
    ("terms.bounds.grace=2800ms", "terms.bounds.maxShift=0.1"),
    ("terms.bounds.retryBudgetExtra=40", "terms.bounds.configApply=2s"),
    ("self.limits.memoryMb=280", "terms.bounds.drain=2s", "terms.bounds.ttl_max=4s"),
)


class SoakHost:
    """One host process that reaches the store through its own proxy.

    Args:
      index: Number of the host.
      ip: Its IP address.
      zone: Its availability zone.
      regions: Dict of region by zone.
      store: Address of the store.
      folder: Folder of the run, which holds the file of keys.
      seeds: Addresses of hosts that are named in the settings.
    """

    def __init__(self, index, ip, zone, regions, store, folder, seeds):
        self.index = index
        self.ip = ip
        self.store_proxy = proxies.Proxy(store, ip)
        self.process = None
        self._folder = folder
        self._settings = folder / f"host-{index}.conf"
        self._lines = platformdata.build_settings_lines(
            ip,
            self.store_proxy.address,
            INTERNAL_PORT,
            FIRST_PORT,
            f"host-{index}",
            zone=zone,
            regions=regions,
            seeds=seeds,
        )
        self.write_settings(0)

    def write_settings(self, variant):
        """Replaces the settings file; ``variant`` is the index of the entry in CHANGED_BOUNDS."""
        changed = CHANGED_BOUNDS[variant]
        names = {line.partition("=")[0] for line in changed}
        lines = [line for line in self._lines if line.partition("=")[0] not in names]
        partial = self._settings.with_suffix(".new")
        partial.write_text("\n".join([*lines, *changed]), encoding="utf-8")
        partial.replace(self._settings)

    @property
    def error_path(self):
        """File that receives the standard error of the process."""
        return self._folder / f"host-{self.index}.err"

    def start(self):
        """Starts the process without waiting for it."""
        with (
            (self._folder / f"host-{self.index}.log").open("ab") as log,
            self.error_path.open("ab") as errors,
        ):
            self.process = subprocess.Popen(
                [
                    sys.executable,
                    str(ROOT / "platform" / "start.py"),
                    "--peer-keys",
                    str(self._folder / KEYS_NAME),
                ],
                env={**os.environ, platformdata.SETTINGS_VARIABLE: str(self._settings)},
                stdout=log,
                stderr=errors,
                cwd=ROOT,
            )

    def is_ready(self):
        """Returns True if the readiness endpoint of the host answers 200."""
        try:
            with socket.create_connection((self.ip, FIRST_PORT + 1), 1.0) as client:
                client.settimeout(1.0)
                client.sendall(platformdata.READINESS_REQUEST)
                return platformdata.AnswerReader(client).read()[0] == 200
        except (OSError, EOFError):
            return False

    def is_listening(self):
        """Returns True if the host accepts connections of clients."""
        try:
            socket.create_connection((self.ip, FIRST_PORT), 1.0).close()
            return True
        except OSError:
            return False
