"""Stand-in for the platform's metadata store: objects by kind and name, revisions and watches."""

import copy
import json
import urllib.parse

import eventlet
from eventlet import event, wsgi
from eventlet.green import socket

from standins import platformdata

PAGE_SIZE = 50
_STATUS = {200: "200 OK", 404: "404 Not Found", 409: "409 Conflict", 410: "410 Gone"}


class MetadataStore:
    """Serves the store on a loopback address.

    Attributes:
      address: IP address and port.
      failing_status: HTTP status of all answers, or None for normal service.
      refused_lists: Dict of the number of next lists that get 503, by kind.
      is_silent: True while calls are received but not answered, nor later.
      calls: Number of calls received.
      raw_values: Dict of the bytes that replace a string in all answers, for values that
        ``json.dumps`` does not write.
      era: Number of the present era, which rises with each return from a copy.
      created_names: Names of the objects that callers have created on the condition that there is
        none, in the order of the calls.
    """

    def __init__(self):
        self.failing_status = None
        self.refused_lists = {}
        self._silences = 0
        self._is_silent = False
        self.calls = 0
        self.raw_values = {}
        self.era = 1
        self.created_names = []
        self._objects = {}
        self._history = []
        self._oldest_revision = 0
        self._revision = 10
        self._changed = event.Event()
        self._cuts = 0
        self._waiting_ports = set()
        self._silent_ports = set()
        self._socket = eventlet.listen(("127.0.0.1", 0))
        self.address = self._socket.getsockname()
        self._thread = eventlet.spawn(
            wsgi.server, self._socket, self._answer, log_output=False, debug=False
        )

    @property
    def is_silent(self):
        """See the attributes of the class."""
        return self._is_silent

    @is_silent.setter
    def is_silent(self, is_silent):
        self._silences += is_silent
        self._is_silent = is_silent

    def silence_waiting_connections(self):
        """Never answers again on the connections on which a watch waits now."""
        self._silent_ports |= self._waiting_ports

    def cut_off_watches(self):
        """Closes the connections on which a watch waits, without an answer."""
        self._cuts += 1
        self._notify_watches()

    def count_waiting(self):
        """Returns the number of connections on which a watch waits."""
        return len(self._waiting_ports)

    def stop(self):
        """Stops serving."""
        self._thread.kill()

    def write(self, kind, name, spec):
        """Writes an object directly, as its owner would through the API."""
        self._revision += 1
        known = self._objects.get((kind, name))
        created = known["metadata"]["created"] if known else self._revision
        metadata = {"name": name, "revision": self._revision, "created": created}
        self._objects[kind, name] = {"metadata": metadata, "spec": spec, "status": None}
        self._append_change(kind, self._objects[kind, name], False)

    def delete(self, kind, name):
        """Deletes an object."""
        self._revision += 1
        self._append_change(kind, self._objects.pop((kind, name)), True)

    def forget_history(self):
        """Drops the history, so that a watch from an earlier revision gets 410."""
        self._oldest_revision = self._revision
        self._history.clear()
        self._notify_watches()

    @property
    def revision(self):
        """The revision of the last write."""
        return self._revision

    def make_copy(self):
        """Returns a copy of all objects and of their history, for ``return_from_copy``."""
        return copy.deepcopy((self._objects, self._history, self._oldest_revision, self._revision))

    def return_from_copy(self, older):
        """Goes back to an older copy and cuts off all watches, as after a moment away."""
        self._objects, self._history, self._oldest_revision, self._revision = copy.deepcopy(older)
        self.era += 1
        self.cut_off_watches()

    def list_names(self, kind):
        """Returns the names of all objects of a kind."""
        return {name for known, name in self._objects if known == kind}

    def read(self, kind, name):
        """Returns the spec of an object, or None."""
        found = self._objects.get((kind, name))
        return found["spec"] if found else None

    def _append_change(self, kind, item, is_deleted):
        self._history.append((self._revision, kind, {"object": item, "deleted": is_deleted}))
        self._notify_watches()

    def _notify_watches(self):
        changed, self._changed = self._changed, event.Event()
        changed.send()

    def _answer(self, environ, start_response):
        self.calls += 1
        is_lost, silences = self.is_silent, self._silences
        port = environ["REMOTE_PORT"]
        status, body = self._serve(environ)
        if status is None:
            environ["eventlet.input"].get_socket().shutdown(socket.SHUT_RDWR)
            return []
        if is_lost or silences != self._silences or port in self._silent_ports:
            event.Event().wait()
        if self.failing_status is not None:
            status, body = self.failing_status, None
        status_line = _STATUS.get(status, f"{status} Status")
        headers = [("Content-Type", "application/json"), (platformdata.ERA_HEADER, str(self.era))]
        start_response(status_line, headers)
        data = json.dumps(body).encode()
        for text, raw in self.raw_values.items():
            data = data.replace(json.dumps(text).encode(), raw)
        return [data]

    def _serve(self, environ):
        parts = environ["PATH_INFO"].split("/")[3:]
        query = dict(urllib.parse.parse_qsl(environ.get("QUERY_STRING", "")))
        method = environ["REQUEST_METHOD"]
        if method == "GET" and "watch" in query:
            port = environ["REMOTE_PORT"]
            self._waiting_ports.add(port)
            try:
                return self._watch(parts[0], int(query["watch"]), int(query["waitMs"]) / 1000)
            finally:
                self._waiting_ports.discard(port)
        if method == "GET" and len(parts) == 1:
            if self.refused_lists.get(parts[0], 0):
                self.refused_lists[parts[0]] -= 1
                return 503, None
            return self._list(parts[0], query.get("after", ""))
        if method == "GET":
            found = self._objects.get((parts[0], parts[1]))
            return (200, found) if found else (404, None)
        if method == "DELETE":
            if tuple(parts) not in self._objects:
                return 404, None
            found = self._objects[tuple(parts)]
            self.delete(*parts)
            return 200, found
        body = json.loads(environ["wsgi.input"].read())
        name = body["metadata"]["name"]
        if method == "POST" and (parts[0], name) in self._objects:
            return 409, self._objects[parts[0], name]
        if method == "POST":
            self.created_names.append(name)
        self.write(parts[0], name, body["spec"])
        return 200, self._objects[parts[0], name]

    def _list(self, kind, after):
        names = sorted(name for known, name in self._objects if known == kind and name > after)
        items = [self._objects[kind, name] for name in names[:PAGE_SIZE]]
        has_more = len(names) > PAGE_SIZE
        return 200, {"items": items, "hasMore": has_more, "storeRevision": self._revision}

    def _watch(self, kind, revision, wait_s):
        cuts = self._cuts
        with eventlet.Timeout(wait_s, False):
            while self._oldest_revision <= revision <= self._revision and not self._list_events(
                kind, revision
            ):
                self._changed.wait()
                if cuts != self._cuts:
                    return None, None
        if not self._oldest_revision <= revision <= self._revision:
            return 410, None
        events = self._list_events(kind, revision)
        return 200, {"events": events, "storeRevision": self._revision}

    def _list_events(self, kind, revision):
        return [item for at, known, item in self._history if at > revision and known == kind]
