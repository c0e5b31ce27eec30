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
        lines = platformdata.build_settings_lines(
            ip,
            self.store_proxy.address,
            INTERNAL_PORT,
            FIRST_PORT,
            f"host-{index}",
            zone=zone,
            regions=regions,
            seeds=seeds,
        )
        self._settings.write_text("\n".join(lines), encoding="utf-8")

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
