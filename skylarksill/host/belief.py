"""A host's belief: its local copy of the configuration, upstreams and evacuated zones in the store.

Entries that disappear while the store is unavailable may belong to live upstreams, so they are kept
for LAPSE_GRACE_S after the store is available again, unless the upstream announced that it leaves.
A host that the store alone refused, as it served others, keeps none.
"""

import collections
import dataclasses

from skylarksill.host import records, routes, storeservice

# Upstreams register again within about 2 s after the store is available again.
LAPSE_GRACE_S = 2.0
# Changes of upstreams that are kept for followers; a follower that is further behind gets all
# upstreams.
MAX_LOGGED_CHANGES = 1_024
# Ended evacuations are passed on for this long, so that hosts which saw neither their begin nor
# their end learn of them; the upstreams of the zone are cold for seconds.
EVACUATION_END_TTL_S = 60.0
# Two times of the same end, as hosts learn it from the store and from each other, differ by less.
EVACUATION_END_TOLERANCE_S = 2.5


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A change of belief, for the log: kind of object, its id, and its new value."""

    kind: str
    subject: str
    value: str


class Belief:
    """Belief of one host.

    Attributes:
      configuration: The accepted Configuration, or None.
      route_table: RouteTable of the accepted configuration.
      upstreams: Dict of Upstream by id.
      evacuated: Set of zones whose upstreams get no requests.
      evacuation_ends: Dict of the monotonic time at which a zone's last evacuation ended.
      has_upstreams: True once the store's list of upstreams has been read.
      revisions: The store's revision up to which each kind of object is known.
      sequence: Number of changes of belief since the start of this process.
      confirmed_at: Monotonic time at which the configuration is last known to have been the store's
        newest; minus infinity before the first read.
      store_service: The storeservice.StoreService.
    """

    def __init__(self):
        self.configuration = None
        self.route_table = routes.RouteTable(())
        self.upstreams = {}
        self.evacuated = set()
        self.evacuation_ends = {}
        self.has_upstreams = False
        self.revisions = dict.fromkeys(records.ObjectKind, 0)
        self.sequence = 0
        self.confirmed_at = float("-inf")
        self.store_service = storeservice.StoreService()
        self._change_log = collections.deque()
        self._change_log_start = 0
        self._lapse_deadlines = {}
        self._is_after_outage = False
        self._grace_until = float("-inf")

    @property
    def is_complete(self):
        """True if requests can be routed."""
        return self.configuration is not None and self.has_upstreams

    def record_outage(self):
        """Records a call that the store did not answer, or answered much too late."""
        self._is_after_outage = True

    def record_contact(self, now):
        """Records an answer of the store; the first one after an outage starts LAPSE_GRACE_S.

        It starts none if the store has served others for that long, as whatever expired in an
        outage before is back by then.
        """
        if self._is_after_outage:
            self._is_after_outage = False
            if not self.store_service.has_served(now, LAPSE_GRACE_S):
                self._grace_until = now + LAPSE_GRACE_S

    def record_confirmation(self, at):
        """Records that the configuration, if there is one, was current at a monotonic time."""
        if self.configuration is not None:
            self.confirmed_at = max(self.confirmed_at, at)

    def get_configuration_age_s(self, now):
        """Returns the seconds since ``confirmed_at``."""
        return now - self.confirmed_at

    def accept_configuration(self, configuration):
        """Accepts a configuration unless it is older than the accepted one.

        Returns:
          A tuple of Change; empty if nothing changed.
        """
        known = self.configuration
        if known is not None and configuration.generation <= known.generation:
            return ()
        self.sequence += 1
        self.configuration = configuration
        self.route_table = routes.RouteTable(configuration.routes)
        return (Change("configuration", "main", str(configuration.generation)),)

    def replace_upstreams(self, upstreams, now, lapsed_ids=()):
        """Replaces all upstreams; missing ones are removed as in ``remove_upstream``.

        Args:
          upstreams: Dict of Upstream by id.
          now: Monotonic seconds.
          lapsed_ids: Ids that are not in ``upstreams`` and stay as they are.
        Returns:
          A tuple of Change.
        """
        self.has_upstreams = True
        changes = []
        kept = upstreams.keys() | set(lapsed_ids)
        for upstream_id in [item for item in self.upstreams if item not in kept]:
            changes += self.remove_upstream(upstream_id, now)
        for upstream in upstreams.values():
            changes += self.set_upstream(upstream)
        return tuple(changes)

    def set_upstream(self, upstream):
        """Adds or updates one upstream; returns a tuple of Change."""
        was_lapsed = self._lapse_deadlines.pop(upstream.upstream_id, None) is not None
        if self.upstreams.get(upstream.upstream_id) == upstream:
            if was_lapsed:
                self._record_change(upstream.upstream_id)
            return ()
        self.upstreams[upstream.upstream_id] = upstream
        self._record_change(upstream.upstream_id)
        return (Change("upstream", upstream.upstream_id, upstream.state.value),)

    def remove_upstream(self, upstream_id, now):
        """Removes an upstream whose entry is gone or unreadable, after the lapse grace if one runs.

        Returns:
          A tuple of Change.
        """
        if upstream_id not in self.upstreams:
            return ()
        if now < self._grace_until:
            return self._hold_back(upstream_id, self._grace_until)
        return self.forget_upstream(upstream_id)

    def set_lapsed_upstream(self, upstream, until):
        """Takes over an upstream whose entry is gone, and which a source keeps for a while.

        Args:
          upstream: The records.Upstream.
          until: Monotonic time until which it is kept.
        Returns:
          A tuple of Change.
        """
        if self.has_upstreams and upstream.upstream_id not in self.upstreams:
            # This host has forgotten it already.
            return ()
        changes = ()
        if upstream.upstream_id not in self._lapse_deadlines:
            changes = self.set_upstream(upstream)
        return changes + self._hold_back(upstream.upstream_id, until)

    def list_lapses(self, now):
        """Returns a dict of the seconds for which each lapsed upstream is still kept, by its id."""
        return {
            upstream_id: max(0.0, until - now)
            for upstream_id, until in self._lapse_deadlines.items()
        }

    def _hold_back(self, upstream_id, until):
        """Keeps an upstream until a time; returns a tuple of Change."""
        known_until = self._lapse_deadlines.get(upstream_id)
        if known_until is not None:
            self._lapse_deadlines[upstream_id] = min(known_until, until)
            return ()
        self._lapse_deadlines[upstream_id] = until
        self._record_change(upstream_id)
        return (Change("upstream", upstream_id, "lapsed"),)

    def forget_upstream(self, upstream_id):
        """Removes an upstream at once; returns a tuple of Change."""
        self._lapse_deadlines.pop(upstream_id, None)
        if self.upstreams.pop(upstream_id, None) is None:
            return ()
        self._record_change(upstream_id)
        return (Change("upstream", upstream_id, "gone"),)

    def expire_lapsed(self, now):
        """Removes lapsed upstreams whose grace has ended; returns a tuple of Change."""
        ended = [
            upstream_id for upstream_id, until in self._lapse_deadlines.items() if until <= now
        ]
        changes = []
        for upstream_id in ended:
            changes += self.forget_upstream(upstream_id)
        return tuple(changes)

    def replace_evacuated(self, zones, now):
        """Replaces the set of evacuated zones; returns a tuple of Change."""
        before, self.evacuated = self.evacuated, set(zones)
        self.sequence += before != self.evacuated
        self.evacuation_ends.update(dict.fromkeys(before - self.evacuated, now))
        begun = [Change("evacuation", zone, "begun") for zone in sorted(self.evacuated - before)]
        ended = [Change("evacuation", zone, "ended") for zone in sorted(before - self.evacuated)]
        return tuple(begun + ended)

    def merge_evacuation_ends(self, ages):
        """Adds ends of evacuations that this host may not have seen.

        Args:
          ages: Dict of the monotonic time of an evacuation's end by zone.
        Returns:
          A tuple of Change.
        """
        changes = []
        for zone, ended_at in ages.items():
            known_at = self.evacuation_ends.get(zone, float("-inf"))
            if ended_at > known_at + EVACUATION_END_TOLERANCE_S:
                self.evacuation_ends[zone] = ended_at
                changes.append(Change("evacuation", zone, "ended"))
        self.sequence += bool(changes)
        return tuple(changes)

    def list_evacuation_ages(self, now):
        """Returns a dict of the seconds since a zone's last evacuation ended, recent ones only."""
        ages = {zone: now - ended_at for zone, ended_at in self.evacuation_ends.items()}
        return {zone: age_s for zone, age_s in ages.items() if age_s < EVACUATION_END_TTL_S}

    def list_changed(self, sequence):
        """Returns the ids of the upstreams that have changed since an earlier sequence number.

        Args:
          sequence: A former value of the attribute ``sequence``.
        Returns:
          A set of ids, or None if not all changes since then are still known.
        """
        if sequence < self._change_log_start or sequence > self.sequence:
            return None
        return {upstream_id for at, upstream_id in self._change_log if at > sequence}

    def _record_change(self, upstream_id):
        self.sequence += 1
        self._change_log.append((self.sequence, upstream_id))
        if len(self._change_log) > MAX_LOGGED_CHANGES:
            self._change_log_start = self._change_log.popleft()[0]
