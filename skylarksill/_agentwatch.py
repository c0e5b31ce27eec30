"""Watching the platform store for new configurations and leaving instances."""

import json

import eventlet

from skylarksill import configuration, logs, messages, objectstore, propagation, records

INSTANCES_KEY = "platform/instances"
WATCHED = (configuration.HEAD_KEY, INSTANCES_KEY)
WATCHERS_PER_ZONE = 2
# A watch may report nothing although something was written. The list after each wait finds it in
# time for the 5 s bound, for 2 calls per wait.
WATCH_TIMEOUT_S = 2.5
# Reading a generation whose shard is missing takes 3 calls a round.
RETRY_S = 2.0
ROLE_CHECK_S = 1.0


class StoreWatcher:
    """Reads what is new in the store while this host is one of its zone's watchers.

    Args:
      store: An ObjectStore or a fake of it; None if the host has no platform address.
      clock: A clock.
      state: The AgentState.
      peers: The Peers, which new generations are passed to.
    """

    def __init__(self, store, clock, state, peers):
        self._store = store
        self._clock = clock
        self._state = state
        self._peers = peers
        self._log = logs.make_logger("agent")
        self._versions = dict.fromkeys(WATCHED, 0)
        self._watched_version = 0
        self._is_failing = False
        self._is_watcher = None

    def run(self):
        """Watches until the thread is killed."""
        while self._store is not None:
            try:
                eventlet.sleep(self.step())
            except Exception:
                self._log.exception("watch failed")
                eventlet.sleep(RETRY_S)

    def step(self):
        """Does one round of watching, if that is this host's role.

        Returns:
          Seconds until the next round.
        """
        if not self._check_role():
            return ROLE_CHECK_S
        try:
            self._watch_once()
        except objectstore.StoreError as error:
            self._note_failure(error)
            return RETRY_S
        self._note_success()
        return 0.0

    def read_head(self):
        """Reads the store's head.

        Returns:
          A pair of HeadMark and ConfigurationHead; None for both if there is none.
        Raises:
          objectstore.StoreError: If the store gave no answer.
        """
        try:
            version, value = self._store.get(configuration.HEAD_KEY)
        except objectstore.MissingError:
            return None, None
        self._versions[configuration.HEAD_KEY] = version
        head, problems = _parse_head(value)
        if problems:
            self._log.error("refused the store's head version={}: {}", version, problems[0])
            return None, None
        return messages.HeadMark(head.generation, version, head.write_id), head

    def fetch(self, mark, head):
        """Fetches a generation's shards from the store and offers it.

        Returns:
          The propagation.Offer.
        Raises:
          objectstore.StoreError: If a shard could not be read.
        """
        texts = {}
        for digest in self._state.accepted.list_missing(head):
            _, value = self._store.get(configuration.SHARD_PREFIX + digest)
            texts[digest] = value.decode("utf-8", "replace")
        outcome = self._state.accepted.offer(mark, head, texts, propagation.Source.STORE)
        if outcome is propagation.Offer.HELD:
            self._peers.pass_on(mark, "store")
        else:
            self._peers.note_offer(outcome, mark, "store")
        return outcome

    def _check_role(self):
        living = self._state.table.list_live_hosts(self._state.table.zone)
        is_watcher = self._state.table.host in living[:WATCHERS_PER_ZONE]
        if is_watcher != self._is_watcher:
            self._log.info("watches the store: {}", "yes" if is_watcher else "no")
            self._is_watcher = is_watcher
        return is_watcher

    def _watch_once(self):
        result = self._store.watch(WATCHED, self._watched_version, WATCH_TIMEOUT_S)
        changes = result.changes or self._store.list(WATCHED)
        self._state.store_answered_at = self._clock.monotonic()
        self._read_changes(changes)
        # Only after reading: a change whose reading failed is reported again.
        self._watched_version = max([self._watched_version] + [c.version for c in changes])

    def _read_changes(self, changes):
        for change in changes:
            if change.version <= self._versions.get(change.key, change.version):
                continue
            if change.key == configuration.HEAD_KEY:
                self._read_configuration()
            elif change.key == INSTANCES_KEY:
                self._read_instances()

    def _read_configuration(self):
        known = self._versions[configuration.HEAD_KEY]
        mark, head = self.read_head()
        if not self._state.accepted.is_wanted(mark):
            return
        try:
            self.fetch(mark, head)
        except objectstore.StoreError:
            self._versions[configuration.HEAD_KEY] = known
            raise

    def _read_instances(self):
        version, value = self._store.get(INSTANCES_KEY)
        self._versions[INSTANCES_KEY] = version
        instances = _parse_instances(version, value)
        if instances is None:
            self._log.warning("ignored a malformed list of instances version={}", version)
            return
        self._state.take_instances(instances)

    def _note_failure(self, error):
        if not self._is_failing:
            self._log.warning("store does not answer, nothing changes: {}", error)
        self._is_failing = True

    def _note_success(self):
        if self._is_failing:
            self._log.info("store answers again")
        self._is_failing = False


def _parse_head(value):
    try:
        return configuration.parse_head(value.decode("utf-8"))
    except UnicodeDecodeError as error:
        return None, (records.Problem("head", "text", str(error)),)


def _parse_instances(version, value):
    """Parses ``{"hosts": {name: state}, "upstreams": {name: state}}``."""
    try:
        fields = json.loads(value)
        leaving = [_list_leaving(fields[kind]) for kind in ("hosts", "upstreams")]
    except (ValueError, KeyError, TypeError, AttributeError):
        return None
    return messages.Instances(version, *leaving)


def _list_leaving(states):
    live = records.LifeState.SERVING.value
    return tuple(sorted(name for name, state in states.items() if state != live))
