"""Stand-in for the platform: its object API, its list of instances and control of its faults.

The list of live and leaving hosts and upstreams is the object ``platform/instances``. It changes to
what was set by ``/control/instances`` after a delay of ``Faults.list_lag_ms``.
"""

import argparse
import collections
import json
import time
import urllib.parse

import eventlet
from eventlet import event, wsgi

INSTANCES_KEY = "platform/instances"
MAX_VALUE_BYTES = 1_000_000


class Faults:
    """Active faults; ``/control/faults`` sets them by name.

    Attributes:
      outage: True if the connection of every call is closed and the call has no effect.
      cut_off: Names of the clients whose calls fail as in an outage.
      delay_ms: Time added to each call.
      lost_replies: Number of next writes that take effect but whose reply is lost.
      stale_watches: True if watches report no changes.
      list_lag_ms: Delay until a change of the list of instances takes effect.
    """

    def __init__(self):
        self.outage = False
        self.cut_off = []
        self.delay_ms = 0
        self.lost_replies = 0
        self.stale_watches = False
        self.list_lag_ms = 0


class Platform:
    """Versioned objects, served as a WSGI application.

    Args:
      max_wait_s: Longest wait of a watch in seconds; 0 for tests on a fake clock.
    """

    def __init__(self, max_wait_s=60.0):
        self._max_wait_s = max_wait_s
        self.faults = Faults()
        self.counts = collections.Counter()
        self.client_counts = collections.defaultdict(collections.Counter)
        self._objects = {}
        self._version = 0
        self._written = event.Event()

    def __call__(self, environ, start_response):
        """Serves one HTTP request."""
        path = urllib.parse.unquote(environ["PATH_INFO"])
        fields = urllib.parse.parse_qs(environ.get("QUERY_STRING", ""), keep_blank_values=True)
        if path.startswith("/control/"):
            status, headers, body = self._control(environ, path)
        else:
            status, headers, body = self._serve(environ, path, fields)
        if status is None:
            return _cut_connection(environ, start_response)
        start_response(status, [*headers, ("Content-Length", str(len(body)))])
        return [body]

    def write(self, key, value):
        """Writes an object without a condition and returns its version."""
        self._version += 1
        self._objects[key] = (self._version, value)
        written, self._written = self._written, event.Event()
        written.send()
        return self._version

    def _serve(self, environ, path, fields):
        client = environ.get("HTTP_PLATFORM_CLIENT", "")
        kind = _find_call_kind(environ["REQUEST_METHOD"], path)
        self.counts[kind] += 1
        self.client_counts[client][kind] += 1
        if self.faults.delay_ms:
            eventlet.sleep(self.faults.delay_ms / 1000)
        if self._is_cut_off(client):
            return None, [], b""
        if kind == "watch":
            return self._watch(client, fields)
        if kind == "list":
            return self._list(fields["prefix"], 0)
        key = path.removeprefix("/v1/objects/")
        return self._put(environ, key) if kind == "put" else self._get(key)

    def _is_cut_off(self, client):
        return self.faults.outage or client in self.faults.cut_off

    def _get(self, key):
        if key not in self._objects:
            return "404 Not Found", [], b""
        version, value = self._objects[key]
        return "200 OK", [("Object-Version", str(version))], value

    def _put(self, environ, key):
        value = environ["wsgi.input"].read(int(environ.get("CONTENT_LENGTH") or 0))
        if len(value) > MAX_VALUE_BYTES:
            return "413 Content Too Large", [], b""
        version = self._objects.get(key, (0, b""))[0]
        if int(environ["HTTP_EXPECTED_VERSION"]) != version:
            return "409 Conflict", [("Object-Version", str(version))], b""
        version = self.write(key, value)
        if self.faults.lost_replies:
            self.faults.lost_replies -= 1
            return None, [], b""
        return "200 OK", [("Object-Version", str(version))], b""

    def _list(self, prefixes, after):
        found = sorted(
            (key, version)
            for key, (version, _) in self._objects.items()
            if version > after and key.startswith(tuple(prefixes))
        )
        changes = [{"key": key, "version": version} for key, version in found]
        body = json.dumps({"version": self._version, "changes": changes}).encode()
        return "200 OK", [("Content-Type", "application/json")], body

    def _watch(self, client, fields):
        after = int(fields["after"][0])
        wait_s = min(int(fields["timeout_ms"][0]) / 1000, self._max_wait_s)
        deadline = time.monotonic() + wait_s
        while True:
            if self._is_cut_off(client):
                return None, [], b""
            answer = self._list(fields["prefix"], after)
            remaining = deadline - time.monotonic()
            is_stale = self.faults.stale_watches
            if remaining <= 0 or (not is_stale and json.loads(answer[2])["changes"]):
                stale = json.dumps({"version": after, "changes": []}).encode()
                return (*answer[:2], stale) if is_stale else answer
            self._written.wait(min(remaining, 0.1))

    def _control(self, environ, path):
        length = int(environ.get("CONTENT_LENGTH") or 0)
        fields = json.loads(environ["wsgi.input"].read(length) or b"{}")
        answer = {}
        if path == "/control/faults":
            for name, value in fields.items():
                setattr(self.faults, name, value)
        elif path == "/control/instances":
            text = json.dumps(fields).encode()
            eventlet.spawn_after(self.faults.list_lag_ms / 1000, self.write, INSTANCES_KEY, text)
        elif path == "/control/counts":
            answer = {"all": self.counts, "clients": self.client_counts}
        else:
            return "404 Not Found", [], b""
        return "200 OK", [("Content-Type", "application/json")], json.dumps(answer).encode()


def _find_call_kind(method, path):
    if path == "/v1/watch":
        return "watch"
    if path == "/v1/objects":
        return "list"
    return {"PUT": "put"}.get(method, "get")


def _cut_connection(environ, start_response):
    environ["wsgi.input"].get_socket().shutdown(2)
    start_response("500 Internal Server Error", [("Content-Length", "0")])
    return []


def main():
    """Serves the stand-in until the process ends."""
    parser = argparse.ArgumentParser(prog="standins.platform")
    parser.add_argument("--address", default="127.0.0.1:7000", help="ip:port to listen on")
    host, _, port = parser.parse_args().address.rpartition(":")
    listener = eventlet.listen((host, int(port)))
    print(f"platform ready on {host}:{listener.getsockname()[1]}", flush=True)
    wsgi.server(listener, Platform(), log_output=False, debug=False)


if __name__ == "__main__":
    main()
