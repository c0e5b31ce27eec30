"""Watch on the platform store for new configurations and for leaving instances.

Only WATCHERS_PER_ZONE hosts of each zone watch the store; the others learn changes by gossip.
"""

import json

import eventlet

from skylarksill import configuration, logs, messages, objectstore, propagation, records

INSTANCES_KEY = "platform/instances"
WATCHED_KEYS = (configuration.HEAD_KEY, INSTANCES_KEY)
WATCHERS_PER_ZONE = 2
# A watch may report no change although something was written. A list call after such a wait finds
# the change within the limit of 5 s, at a cost of 2 calls per wait.
WATCH_TIMEOUT_S = 2.5
# A round in which a shard is missing takes 3 calls; the delay limits their rate.
RETRY_DELAY_S = 2.0
ROLE_CHECK_INTERVAL_S = 1.0


class StoreWatcher:
    """Reads changes in the store while this host is one of its zone's watchers.

    Args:
      store: An ObjectStore or a fake of it; None if the host has no platform address.
      clock: A clock.
      state: The AgentState.
      peers: The Peers that replicate new generations.
    """

    def __init__(self, store, clock, state, peers):
        self._store = store
        self._clock = clock
        self._state = state
        self._peers = peers
        self._log = logs.make_logger("agent")
        self._last_versions = dict.fromkeys(WATCHED_KEYS, 0)
        self._watched_version = 0
        self._is_failing = False
        self._is_watcher = None

    def run(self):
        """Watches until the green thread is killed; without a store, returns immediately."""
        while self._store is not None:
            try:
                eventlet.sleep(self.step())
            except Exception:
                self._log.exception("watch failed")
                eventlet.sleep(RETRY_DELAY_S)

    def step(self):
        """Runs one round of watching if this host is a watcher.

        Returns:
          Seconds until the next round.
        """
        if not self._update_role():
            return ROLE_CHECK_INTERVAL_S
        try:
            self._watch_once()
        except objectstore.StoreError as error:
            self._record_failure(error)
            return RETRY_DELAY_S
        self._record_success()
        return 0.0

    def read_head(self):
        """Reads the configuration head in the store.

        Returns:
          A pair of HeadMark and ConfigurationHead; None for both if there is no valid head.
        Raises:
          objectstore.StoreError: If the store did not answer.
        """
        try:
            version, value = self._store.get(configuration.HEAD_KEY)
        except objectstore.MissingError:
            return None, None
        self._last_versions[configuration.HEAD_KEY] = version
        head, problems = _parse_head(value)
        if problems:
            self._log.error("rejected the head in the store version={}: {}", version, problems[0])
            return None, None
        return messages.HeadMark(head.generation, version, head.write_id), head

    def fetch(self, mark, head):
        """Fetches a generation's shards from the store and offers it.

        Returns:
          the propagation.OfferOutcome.
        Raises:
          objectstore.StoreError: If a shard could not be read.
        """
        texts = {}
        for digest in self._state.accepted.list_missing(head):
            _, value = self._store.get(configuration.SHARD_PREFIX + digest)
            texts[digest] = value.decode("utf-8", "replace")
        outcome = self._state.accepted.offer(mark, head, texts, propagation.Source.STORE)
        if outcome is propagation.OfferOutcome.HELD:
            self._peers.replicate_and_put_in_force(mark, "store")
        else:
            self._peers.handle_offer_outcome(outcome, mark, "store")
        return outcome

    def _update_role(self):
        live_hosts = self._state.table.list_live_hosts(self._state.table.zone)
        is_watcher = self._state.table.host in live_hosts[:WATCHERS_PER_ZONE]
        if is_watcher != self._is_watcher:
            self._log.info("this host watches the store: {}", "yes" if is_watcher else "no")
            self._is_watcher = is_watcher
        return is_watcher

    def _watch_once(self):
        result = self._store.watch(WATCHED_KEYS, self._watched_version, WATCH_TIMEOUT_S)
        changes = result.changes or self._store.list(WATCHED_KEYS)
        self._state.store_answered_at = self._clock.monotonic()
        self._read_changes(changes)
        # Advanced only after the read, so that a change that could not be read is reported again.
        self._watched_version = max([self._watched_version] + [c.version for c in changes])

    def _read_changes(self, changes):
        for change in changes:
            if change.version <= self._last_versions.get(change.key, change.version):
                continue
            if change.key == configuration.HEAD_KEY:
                self._read_configuration()
            elif change.key == INSTANCES_KEY:
                self._read_instances()

    def _read_configuration(self):
        previous_version = self._last_versions[configuration.HEAD_KEY]
        mark, head = self.read_head()
        if not self._state.accepted.is_wanted(mark):
            return
        try:
            self.fetch(mark, head)
        except objectstore.StoreError:
            self._last_versions[configuration.HEAD_KEY] = previous_version
            raise

    def _read_instances(self):
        version, value = self._store.get(INSTANCES_KEY)
        self._last_versions[INSTANCES_KEY] = version
        instances = _parse_instances(version, value)
        if instances is None:
            self._log.warning("ignored a malformed list of instances version={}", version)
            return
        self._state.update_instances(instances)

    def _record_failure(self, error):
        if not self._is_failing:
            self._log.warning(
                "store does not answer, configuration and instances stay unchanged: {}", error
            )
        self._is_failing = True

    def _record_success(self):
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
    return messages.LeavingInstances(version, *leaving)


def _list_leaving(states):
    serving = records.LifecycleState.SERVING.value
    return tuple(sorted(name for name, state in states.items() if state != serving))
