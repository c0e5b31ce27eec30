"""Watches of the store that keep a host's belief current."""

import random
import time
import typing

import eventlet

from skylarksill import objectstore

# Longest wait of a watch. A connection that has gone silent is noticed when it ends, so it also
# bounds how old the belief of a host can be without its knowing.
WATCH_S = 8.0
# Pause after a watch has returned events: further ones then come together, and each call costs.
# Upstreams that leave must be left within drain (2.5 s), which leaves room for a lost connection.
GATHER_S = 0.5
# Pause between looks at whether another watch has regained the store.
WAIT_TURN_S = 0.05
# A watch that ends this much after its wait was held up by an outage of the store.
LATE_WATCH_S = 1.0
# Wait of a watch after a failure: its answer shows that the store is back, so it must not wait.
RETRY_WATCH_S = 0.05
FIRST_RETRY_S = 0.1
MAX_RETRY_S = 0.8


class StoreClient(typing.Protocol):
    """What a host needs of the platform's store.

    The methods raise objectstore.StoreError if the store gives no usable answer, and
    HistoryGoneError if a watch's revision is too old.
    """

    def list_configuration(self):
        """Returns a tuple of revision and Configuration, or None without one."""

    def list_upstreams(self):
        """Returns a tuple of revision and dict of Upstream by id."""

    def list_evacuations(self):
        """Returns a tuple of revision and set of zones."""

    def watch(self, kind, revision, wait_s):
        """Returns a tuple of revision and list of decoded events of a kind."""

    def register_host(self, record):
        """Writes the entry of this host."""

    def list_hosts(self):
        """Returns the HostRecords of all registered hosts."""


class HistoryGoneError(objectstore.StoreError):
    """The store no longer has the changes since a watch's revision."""


class Watcher:
    """Keeps a Belief current.

    Args:
      store: The StoreClient.
      belief: The Belief.
      log: The EventLog.
      on_change: Function without arguments that is called after each change of belief.
    """

    def __init__(self, store, belief, log, on_change):
        self._store = store
        self._belief = belief
        self._log = log
        self._on_change = on_change
        self._lost = []

    def start(self):
        """Starts the watches."""
        for kind, read, apply_event in (
            ("configuration", self._read_configuration, self._apply_configuration),
            ("upstreams", self._read_upstreams, self._apply_upstream),
            ("evacuations", self._read_evacuations, self._apply_evacuation),
        ):
            eventlet.spawn_n(self._follow, kind, read, apply_event)

    def log_changes(self, changes):
        """Logs changes of belief."""
        for change in changes:
            self._log.write(f"belief.{change.what}", subject=change.subject, value=change.value)

    def _follow(self, kind, read, apply_event):
        revision = None
        failures = 0
        while True:
            try:
                if revision is None:
                    revision, changes = read()
                    self._note_contact(kind, failures)
                    self._take(changes)
                else:
                    revision = self._watch_once(kind, revision, apply_event, failures)
                failures = 0
            except HistoryGoneError as error:
                self._log.write("store.history_gone", kind=kind, error=str(error))
                revision = None
            except objectstore.StoreError as error:
                failures += 1
                self._note_failure(kind, failures, error)

    def _note_failure(self, kind, failures, error):
        """Pauses after a failed call; while several watches are lost only one of them retries."""
        self._belief.note_outage()
        if failures == 1:
            self._log.write("store.lost", kind=kind, error=str(error))
        if kind not in self._lost:
            self._lost.append(kind)
        pause_s = min(MAX_RETRY_S, FIRST_RETRY_S * 2 ** min(failures, 8))
        eventlet.sleep(pause_s * (0.5 + random.random()))
        while self._lost[0] != kind:
            eventlet.sleep(WAIT_TURN_S)

    def _watch_once(self, kind, revision, apply_event, failures):
        begun = time.monotonic()
        wait_s = RETRY_WATCH_S if failures else WATCH_S
        next_revision, events = self._store.watch(kind, revision, wait_s)
        if time.monotonic() - begun > wait_s + LATE_WATCH_S:
            self._belief.note_outage()
        self._note_contact(kind, failures)
        changes = []
        for event in events:
            changes += apply_event(*event)
        if changes:
            self._take(changes)
        if events:
            eventlet.sleep(GATHER_S)
        return next_revision

    def _note_contact(self, kind, failures):
        now = time.monotonic()
        self._belief.note_contact(now)
        if kind in self._lost:
            self._lost.remove(kind)
        if failures:
            self._log.write("store.regained", kind=kind, failures=failures)

    def _take(self, changes):
        self.log_changes(changes)
        self._on_change()

    def _read_configuration(self):
        revision, configuration = self._store.list_configuration()
        if configuration is None:
            return revision, ()
        return revision, self._belief.accept_configuration(configuration)

    def _apply_configuration(self, name, configuration):
        if configuration is None:
            return ()
        return self._belief.accept_configuration(configuration)

    def _read_upstreams(self):
        revision, upstreams = self._store.list_upstreams()
        return revision, self._belief.replace_upstreams(upstreams, time.monotonic())

    def _apply_upstream(self, name, upstream):
        if upstream is None:
            return self._belief.remove_upstream(name, time.monotonic())
        return self._belief.set_upstream(upstream)

    def _read_evacuations(self):
        revision, zones = self._store.list_evacuations()
        return revision, self._belief.replace_evacuated(zones)

    def _apply_evacuation(self, zone, is_present):
        evacuated = self._belief.evacuated
        zones = evacuated | {zone} if is_present else evacuated - {zone}
        return self._belief.replace_evacuated(zones)
