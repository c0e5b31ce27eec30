"""A host's belief: its local copy of the configuration, upstreams and evacuated zones in the store.

Entries that disappear while the store is unavailable may belong to live upstreams, so they are kept
for LAPSE_GRACE_S after the store is available again, unless the upstream announced that it leaves.
A host that the store alone refused, as it served others, keeps none.

The store may also return from an older copy. What was written since is written again, but until
then the store names upstreams that have left, and lacks others and evacuations. For RESTORED_HOLD_S
the host keeps to what it knew: it uses no upstream that has left or drains, forgets none that is
missing, and ends no evacuation.
"""

import collections
import dataclasses

from skylarksill.host import records, routes, storeservice

# Upstreams register again within about 2 s after the store is available again.
LAPSE_GRACE_S = 2.0
# An upstream that has left for good and is back in an older copy of the store expires again within
# 4.5 s. What the others have written is written again sooner.
RESTORED_HOLD_S = 5.0
# Upstreams that have left and are remembered.
MAX_DEPARTED = 4_096
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
      listed_evacuations: Set of the zones that the store lists; others may be kept in ``evacuated``
        after the store has returned from an older copy.
      evacuation_ends: Dict of the monotonic time at which a zone's last evacuation ended.
      has_upstreams: True once the store's list of upstreams has been read.
      revisions: Dict of the store's Revision up to which each kind of object is known.
      era: The store's era, or None before its first answer.
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
        self.listed_evacuations = set()
        self.evacuation_ends = {}
        self.has_upstreams = False
        self.revisions = dict.fromkeys(records.ObjectKind, records.NO_REVISION)
        self.era = None
        self.sequence = 0
        self.confirmed_at = float("-inf")
        self.store_service = storeservice.StoreService()
        self._change_log = collections.deque()
        self._change_log_start = 0
        self._lapse_deadlines = {}
        self._is_after_outage = False
        self._grace_until = float("-inf")
        # Incarnations of upstreams that have left, by id, the latest last.
        self._departed = collections.OrderedDict()
        # Entries that an older copy of the store has brought back, by id, and the monotonic time
        # until which they are not used.
        self._held = {}
        self._held_until = None
        # True until everything has been read from a store that has returned from an older copy.
        self._is_restoring = False

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

    def enter_era(self, era, now):
        """Records the store's era.

        If it has risen, the store has returned from an older copy, everything is to be read again,
        and the times of LAPSE_GRACE_S and RESTORED_HOLD_S begin.

        Args:
          era: The era that an answer of the store states.
          now: Monotonic seconds.
        Returns:
          A tuple of Change; empty unless the store has returned from an older copy.
        """
        if self.era is None:
            self.era = era
        if era <= self.era:
            return ()
        self.era = era
        for kind, revision in self.revisions.items():
            self.revisions[kind] = max(revision, records.Revision(era, 0))
        self._is_after_outage = False
        self._grace_until = now + LAPSE_GRACE_S
        self._held_until = now + RESTORED_HOLD_S
        self._is_restoring = True
        return (Change("era", "store", str(era)),)

    def forget_revision(self, kind):
        """Makes everything of a kind to be read again."""
        self.revisions[kind] = records.Revision(self.revisions[kind].era, 0)

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
        self.route_table = routes.RouteTable(configuration.routes, configuration.unreadable_routes)
        return (Change("configuration", "main", str(configuration.generation)),)

    def replace_upstreams(self, upstreams, now, lapsed_ids=()):
        """Replaces all upstreams; missing ones are removed as in ``remove_upstream``.

        Soon after the store has returned from an older copy they are kept.

        Args:
          upstreams: Dict of Upstream by id.
          now: Monotonic seconds.
          lapsed_ids: Ids that are not in ``upstreams`` and stay as they are.
        Returns:
          A tuple of Change.
        """
        self.has_upstreams = True
        self._held.clear()
        if self._is_restoring:
            # Followers may have read other copies, which changes alone don't correct.
            self._is_restoring = False
            self._forget_change_log()
        changes = []
        kept = upstreams.keys() | set(lapsed_ids)
        for upstream_id in [item for item in self.upstreams if item not in kept]:
            if self._held_until is None:
                changes += self.remove_upstream(upstream_id, now)
            else:
                # An older copy lacks what was written since, and its removals come as events.
                changes += self._hold_back(upstream_id, self._held_until)
        for upstream in upstreams.values():
            changes += self.set_upstream(upstream)
        return tuple(changes)

    def set_upstream(self, upstream):
        """Adds or updates one upstream, unless its entry is older than what is known.

        Returns:
          A tuple of Change.
        """
        was_held = self._held.pop(upstream.upstream_id, None) is not None
        if self._is_outdated(upstream):
            self._held[upstream.upstream_id] = upstream
            if upstream.upstream_id in self.upstreams:
                return ()
            # Followers learn of it, and of its removal.
            upstream = dataclasses.replace(upstream, state=records.UpstreamState.DRAINING)
        else:
            self._departed.pop(upstream.upstream_id, None)
        was_lapsed = self._lapse_deadlines.pop(upstream.upstream_id, None) is not None
        if self.upstreams.get(upstream.upstream_id) == upstream:
            # While copies differ, a follower may have read another state since.
            if was_lapsed or was_held or self._held_until is not None:
                self._record_change(upstream.upstream_id)
            return ()
        self.upstreams[upstream.upstream_id] = upstream
        self._record_change(upstream.upstream_id)
        return (Change("upstream", upstream.upstream_id, upstream.state.value),)

    def _is_outdated(self, upstream):
        """Returns True if an older copy of the store has brought an entry back."""
        if self._held_until is None:
            return False
        known = self.upstreams.get(upstream.upstream_id)
        if known is None:
            return upstream.incarnation <= self._departed.get(upstream.upstream_id, -1)
        if upstream.incarnation != known.incarnation:
            return upstream.incarnation < known.incarnation
        states = records.UpstreamState
        return known.state is states.DRAINING and upstream.state is states.READY

    def remove_upstream(self, upstream_id, now):
        """Removes an upstream whose entry is gone or unreadable, after the lapse grace if one runs.

        Returns:
          A tuple of Change.
        """
        self._held.pop(upstream_id, None)
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
        self._held.pop(upstream_id, None)
        known = self.upstreams.pop(upstream_id, None)
        if known is None:
            return ()
        self._departed[upstream_id] = known.incarnation
        if len(self._departed) > MAX_DEPARTED:
            self._departed.popitem(last=False)
        self._record_change(upstream_id)
        return (Change("upstream", upstream_id, "gone"),)

    def expire_lapsed(self, now):
        """Ends what is kept for a while: lapsed upstreams, and what an older copy contradicts.

        Returns:
          A tuple of Change.
        """
        ended = [
            upstream_id for upstream_id, until in self._lapse_deadlines.items() if until <= now
        ]
        changes = []
        for upstream_id in ended:
            changes += self.forget_upstream(upstream_id)
        if self._held_until is not None and now >= self._held_until:
            changes += self._end_hold(now)
        return tuple(changes)

    def _end_hold(self, now):
        """Believes what an older copy of the store has said, as it still says so."""
        self._held_until = None
        held, self._held = self._held, {}
        changes = []
        for upstream_id in sorted(held.keys() & self.upstreams.keys()):
            changes += self.set_upstream(held[upstream_id])
        return changes + list(self.replace_evacuated(self.listed_evacuations, now))

    def replace_evacuated(self, zones, now):
        """Replaces the set of evacuated zones that the store lists.

        No evacuation ends soon after the store has returned from an older copy.

        Args:
          zones: The zones.
          now: Monotonic seconds.
        Returns:
          A tuple of Change.
        """
        self.listed_evacuations = set(zones)
        kept = self.evacuated if self._held_until is not None else set()
        before, self.evacuated = self.evacuated, self.listed_evacuations | kept
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

    def _forget_change_log(self):
        """Has all followers get all upstreams next time."""
        self.sequence += 1
        self._change_log.clear()
        self._change_log_start = self.sequence

    def _record_change(self, upstream_id):
        self.sequence += 1
        self._change_log.append((self.sequence, upstream_id))
        if len(self._change_log) > MAX_LOGGED_CHANGES:
            self._change_log_start = self._change_log.popleft()[0]
