"""The platform's store in virtual time, and the real client of it without its sockets."""

import collections
import dataclasses
import enum
import json
import random
import urllib.parse

import eventlet

from bench import _virtualtime
from features import host_builders
from skylarksill import objectstore
from skylarksill import records as shared

hostfile, wire, store = host_builders.import_platform()
jsontext = store.jsontext

FIRST_REVISION = 700
PAGE_ITEMS = 4
# Writes that a return from an older copy can lose.
MAX_COPIES = 400


class Mode(enum.Enum):
    """How the store treats a host."""

    SOUND = "sound"
    SLOW = "slow"
    # Answers arrive so late that others have overtaken them.
    LATE = "late"
    SILENT = "silent"
    REFUSING = "refusing"
    RESETTING = "resetting"


@dataclasses.dataclass(frozen=True, slots=True)
class _Copy:
    """The store before a write at a virtual time; ``write`` is its kind, name and spec."""

    at: float
    objects: dict
    revision: int
    write: tuple


class Store:
    """The store.

    Args:
      seed: Seed of its delays and of how it groups events.

    Attributes:
      modes: Dict of Mode by host; hosts that are not named find it SOUND.
      delays: Dict of one-way delays by host.
    """

    def __init__(self, seed):
        self._random = random.Random(f"store {seed}")
        self._revision = FIRST_REVISION
        self._history_start = FIRST_REVISION
        self._objects = {}
        self._history = []
        self._changed = _virtualtime.Event()
        self._cut_off = {}
        self._is_holding = False
        self._era = 1
        self._copies = collections.deque(maxlen=MAX_COPIES)
        self.modes = {}
        self.delays = {}

    def write(self, kind, name, spec):
        """Writes an object; returns the revision."""
        return self._record(kind, name, spec, False)

    def delete(self, kind, name):
        """Deletes an object."""
        if (kind, name) in self._objects:
            self._record(kind, name, None, True)

    def drop_history(self):
        """Forgets all changes."""
        self._history_start = self._revision
        self._history.clear()

    def hold_watches(self):
        """Answers no watch, whether it waits already or comes now, until ``lose_history``."""
        self._is_holding = True

    def lose_history(self):
        """Forgets all changes, and ends the watches of all hosts."""
        self._is_holding = False
        self.drop_history()
        for host_id in self.delays:
            self.cut_off(host_id, False)

    def return_from_copy(self, age_s):
        """Goes back to how the store was some seconds ago, and ends the watches of all hosts.

        Returns:
          The list of (time of the write, kind, name, spec) of the lost writes; the spec is None for
          a deletion.
        """
        until = _virtualtime.read_clock() - age_s
        lost = [item for item in self._copies if item.at > until]
        if lost:
            self._objects, self._revision = dict(lost[0].objects), lost[0].revision
            self._history = [item for item in self._history if item[0] <= self._revision]
            self._history_start = min(self._history_start, self._revision)
            self._copies = collections.deque(
                (item for item in self._copies if item.at <= until), MAX_COPIES
            )
        self._era += 1
        for host_id in self.delays:
            self.cut_off(host_id, False)
        return [(item.at, *item.write) for item in lost]

    def cut_off(self, host_id, is_silent):
        """Ends the waiting watches of a host, or makes them wait without an end."""
        self._cut_off[host_id] = (self._cut_off.get(host_id, (0, False))[0] + 1, is_silent)
        self._wake()

    def _record(self, kind, name, spec, is_deleted):
        write = (kind, name, None if is_deleted else spec)
        self._copies.append(
            _Copy(_virtualtime.read_clock(), dict(self._objects), self._revision, write)
        )
        self._revision += self._random.randint(1, 2)
        item = {"metadata": {"name": name, "revision": self._revision}, "spec": spec}
        # Encoded at once, so that later changes of the spec by the operator don't show.
        item = json.loads(json.dumps(item))
        if is_deleted:
            item["spec"] = self._objects.pop((kind, name))["spec"]
        else:
            self._objects[kind, name] = item
        self._history.append((self._revision, kind, {"object": item, "deleted": is_deleted}))
        self._wake()
        return self._revision

    def _wake(self):
        changed, self._changed = self._changed, _virtualtime.Event()
        changed.send()

    def call(self, host_id, path, timeout_s):
        """Returns status, bytes and era of an answer; raises StoreError without one."""
        ends_at = _virtualtime.read_clock() + timeout_s
        target = urllib.parse.urlsplit(path)
        kind = target.path.rsplit("/", 1)[1]
        query = dict(urllib.parse.parse_qsl(target.query))
        self._travel(host_id, ends_at)
        if self._get_mode(host_id) is Mode.REFUSING:
            self._travel(host_id, ends_at)
            return 503, b"", self._era
        if "watch" in query:
            status, answer = self._watch(host_id, kind, query, ends_at)
        else:
            status, answer = 200, self._list(kind, query)
        data, era = json.dumps(answer).encode(), self._era
        self._travel(host_id, ends_at)
        return status, data, era

    def _get_mode(self, host_id):
        return self.modes.get(host_id, Mode.SOUND)

    def _travel(self, host_id, ends_at):
        delay_s = self.delays[host_id] + 0.002
        if self._get_mode(host_id) is Mode.SLOW:
            delay_s += 0.3 * self._random.random()
        if self._get_mode(host_id) is Mode.LATE:
            delay_s += self._random.choice((0.0, 1.9)) * self._random.random()
        self._sleep(delay_s, ends_at)
        match self._get_mode(host_id):
            case Mode.SILENT:
                self._sleep(float("inf"), ends_at)
            case Mode.RESETTING:
                raise _make_error("reset")

    def _sleep(self, seconds, ends_at):
        remaining_s = ends_at - _virtualtime.read_clock()
        eventlet.sleep(max(0.0, min(seconds, remaining_s)))
        if seconds >= remaining_s:
            raise _make_error("timed out")

    def _list(self, kind, query):
        items = [item for (known, _), item in sorted(self._objects.items()) if known == kind]
        items = [item for item in items if item["metadata"]["name"] > query.get("after", "")]
        return {
            "items": items[:PAGE_ITEMS],
            "hasMore": len(items) > PAGE_ITEMS,
            "storeRevision": self._revision,
        }

    def _watch(self, host_id, kind, query, ends_at):
        revision = int(query["watch"])
        waits_until = _virtualtime.read_clock() + int(query["waitMs"]) / 1000
        cut_off = self._cut_off.get(host_id)
        while True:
            if not self._history_start <= revision <= self._revision:
                return 410, {}
            found = [item for item in self._history if item[0] > revision and item[1] == kind]
            now = _virtualtime.read_clock()
            if not self._is_holding and (found or now >= waits_until):
                break
            until = ends_at if self._is_holding else waits_until
            if now >= until:
                raise _make_error("timed out")
            with eventlet.Timeout(until - now, False):
                self._changed.wait()
            if self._cut_off.get(host_id) != cut_off:
                if self._cut_off[host_id][1]:
                    self._sleep(float("inf"), ends_at)
                raise _make_error("cut off")
            if self._get_mode(host_id) is Mode.RESETTING:
                raise _make_error("reset")
        if len(found) > 1 and self._random.random() < 0.3:
            found = found[: self._random.randint(1, len(found))]
            return 200, {"events": [item[2] for item in found], "storeRevision": found[-1][0]}
        return 200, {"events": [item[2] for item in found], "storeRevision": self._revision}


class SimulatedStore(store.PlatformStore):
    """The real client, whose calls go to a Store."""

    def __init__(self, host_id, simulated, regions, log):
        super().__init__(("127.0.0.1", 1), regions, log)
        self._host_id = host_id
        self._simulated = simulated

    def _call(self, method, path, body, timeout_s):
        del method, body
        status, data, era = self._simulated.call(self._host_id, path, timeout_s)
        try:
            return status, jsontext.parse(data) if status == 200 else None, era
        except ValueError as error:
            raise _make_error(repr(error)) from error


def _make_error(text):
    return objectstore.StoreError(shared.Verdict.MAY_HAVE_RUN, text)
