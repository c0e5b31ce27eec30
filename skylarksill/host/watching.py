"""Watches of the store that keep a host's belief current.

A host that its sources keep current does not watch; see relay.
"""

import random
import time
import typing

import eventlet

from skylarksill import objectstore
from skylarksill.host import records

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
# Pause between tries while peers keep the belief current: refused calls count as well.
COVERED_RETRY_S = 2.0
# Pause between looks at whether the peers still keep the belief current.
COVERED_PAUSE_S = 0.1
# After the first reads a host waits this long for peers, which may spare it the watches.
SETTLE_S = 1.5
# Pause between probes of the store. A store that turns a host away may leave its watches waiting,
# and followers must not rely on that host for longer: with the time-out of a probe and a watch of
# their own they are current again within 1.7 s, and upstreams drain for 2.5 s.
PROBE_S = 1.0


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

    def probe(self, host_id):
        """Returns if the store answers this host at all, soon and at little cost."""

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
      on_change: Function without arguments that is called after each change of belief, and when
        the store is lost or regained.
      host_id: Name of this host.
      is_covered: Function that returns True while peers keep the belief current.
    """

    def __init__(self, store, belief, log, on_change, host_id, is_covered):
        self._store = store
        self._belief = belief
        self._log = log
        self._on_change = on_change
        self._host_id = host_id
        self._is_covered = is_covered
        self._lost = []
        self._has_failed_probe = False

    @property
    def is_store_lost(self):
        """True while a watch or the last probe of the store has failed."""
        return bool(self._lost) or self._has_failed_probe

    def start(self):
        """Starts the watches."""
        kinds = records.ObjectKind
        store = self._store
        for kind, read, replace, apply_event in (
            (
                kinds.CONFIGURATION,
                store.list_configuration,
                self._replace_configuration,
                self._apply_configuration,
            ),
            (
                kinds.UPSTREAMS,
                store.list_upstreams,
                self._replace_upstreams,
                self._apply_upstream,
            ),
            (
                kinds.EVACUATIONS,
                store.list_evacuations,
                self._belief.replace_evacuated,
                self._apply_evacuation,
            ),
        ):
            eventlet.spawn_n(self._follow, kind, read, replace, apply_event)
        eventlet.spawn_n(self._probe_repeatedly)

    def take(self, changes):
        """Logs changes of belief and acts on them."""
        for change in changes:
            self._log.write(f"belief.{change.what}", subject=change.subject, value=change.value)
        self._on_change()

    def _follow(self, kind, read, replace, apply_event):
        failures = 0
        while True:
            try:
                if self._belief.revisions[kind]:
                    if failures == 0:
                        self._wait_while_covered()
                    self._watch_once(kind, apply_event, failures)
                else:
                    self._read_once(kind, read, replace, failures)
                    self._wait_for_peers()
                failures = 0
            except HistoryGoneError as error:
                self._log.write("store.history_gone", kind=kind.value, error=str(error))
                # The store's revisions start above 0, so this makes the next round read all.
                self._belief.revisions[kind] = 0
            except objectstore.StoreError as error:
                failures += 1
                self._note_failure(kind, failures, error)

    def _probe_repeatedly(self):
        while True:
            eventlet.sleep(PROBE_S)
            if self._is_covered() and not self.is_store_lost:
                continue
            error = self._find_probe_error()
            if (error is not None) != self._has_failed_probe:
                self._has_failed_probe = error is not None
                self._log.write("store.probe", is_answered=error is None, error=error)
                self._on_change()

    def _find_probe_error(self):
        """Probes the store; returns what went wrong, or None."""
        try:
            self._store.probe(self._host_id)
        except objectstore.StoreError as error:
            return str(error)
        return None

    def _wait_while_covered(self):
        while self._is_covered():
            eventlet.sleep(COVERED_PAUSE_S)

    def _wait_for_peers(self):
        end = time.monotonic() + SETTLE_S
        while time.monotonic() < end and not self._is_covered():
            eventlet.sleep(COVERED_PAUSE_S)

    def _read_once(self, kind, read, replace, failures):
        revision, objects = read()
        self._note_contact(kind, failures)
        if revision < self._belief.revisions[kind]:
            # Peers have passed on later changes meanwhile.
            return
        changes = replace(objects)
        self._belief.revisions[kind] = revision
        self.take(changes)

    def _note_failure(self, kind, failures, error):
        """Pauses after a failed call; while several watches are lost only one of them retries."""
        self._belief.note_outage()
        if failures == 1:
            self._log.write("store.lost", kind=kind.value, error=str(error))
        if kind not in self._lost:
            self._lost.append(kind)
        pause_s = min(MAX_RETRY_S, FIRST_RETRY_S * 2 ** min(failures, 8))
        if self._is_covered():
            pause_s = COVERED_RETRY_S
        eventlet.sleep(pause_s * (0.5 + random.random()))
        while self._lost[0] != kind:
            eventlet.sleep(WAIT_TURN_S)

    def _watch_once(self, kind, apply_event, failures):
        begun = time.monotonic()
        revision = self._belief.revisions[kind]
        wait_s = RETRY_WATCH_S if failures else WATCH_S
        next_revision, events = self._store.watch(kind, revision, wait_s)
        if time.monotonic() - begun > wait_s + LATE_WATCH_S:
            self._belief.note_outage()
        self._note_contact(kind, failures)
        if next_revision < self._belief.revisions[kind]:
            # Peers have passed on later changes meanwhile.
            return
        changes = []
        for event in events:
            changes += apply_event(*event)
        self._belief.revisions[kind] = next_revision
        if changes:
            self.take(changes)
        if events:
            eventlet.sleep(GATHER_S)

    def _note_contact(self, kind, failures):
        now = time.monotonic()
        self._belief.note_contact(now)
        if kind in self._lost:
            self._lost.remove(kind)
        if failures:
            self._log.write("store.regained", kind=kind.value, failures=failures)

    def _replace_configuration(self, configuration):
        return () if configuration is None else self._belief.accept_configuration(configuration)

    def _apply_configuration(self, name, configuration):
        return self._replace_configuration(configuration)

    def _replace_upstreams(self, upstreams):
        return self._belief.replace_upstreams(upstreams, time.monotonic())

    def _apply_upstream(self, name, upstream):
        if upstream is None:
            return self._belief.remove_upstream(name, time.monotonic())
        return self._belief.set_upstream(upstream)

    def _apply_evacuation(self, zone, is_present):
        evacuated = self._belief.evacuated
        zones = evacuated | {zone} if is_present else evacuated - {zone}
        return self._belief.replace_evacuated(zones)
