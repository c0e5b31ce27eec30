"""Replication of the store's state from host to host. Performs no I/O.

Handles two conditions: a store whose calls are limited and priced, which not every host of a large
deployment can watch, and a store that refuses some hosts. Two hosts of a region, its sources,
watch the store; the other hosts follow both of them and use the store only if both stop answering.
"""

import dataclasses
import hashlib

from skylarksill.host import belief, records

# Two sources in different zones, so that the loss of one zone leaves the other.
SOURCES_PER_REGION = 2
# Sequence number that a follower states before its first update.
UNKNOWN_SEQUENCE = -1


@dataclasses.dataclass(frozen=True, slots=True)
class BeliefUpdate:
    """The part of a source's belief that its follower does not have yet.

    Attributes:
      sequence: Sequence number of the source's belief, which the follower sends next time.
      revisions: Dict of the store's Revision by records.ObjectKind.
      is_complete: True if the source has both configuration and upstreams.
      is_store_lost: True if the source can't reach the store either.
      configuration: A records.Configuration, or None if the follower has it.
      is_snapshot: True if ``upstreams`` holds all upstreams rather than the changed ones.
      upstreams: Tuple of records.Upstream.
      lapses: Dict of the seconds for which the source still keeps an upstream whose entry is gone.
      removed_ids: Ids of the upstreams that have been removed since the follower's last update.
      evacuated: All zones whose upstreams get no requests.
      evacuation_ages: Dict of the seconds since a zone's last evacuation ended.
      configuration_age_s: Seconds since the source's configuration was confirmed; infinity if it
        never was.
    """

    sequence: int
    revisions: dict[records.ObjectKind, records.Revision]
    is_complete: bool
    is_store_lost: bool
    configuration: records.Configuration | None
    is_snapshot: bool
    upstreams: tuple[records.Upstream, ...]
    lapses: dict[str, float]
    removed_ids: tuple[str, ...]
    evacuated: tuple[str, ...]
    evacuation_ages: dict[str, float]
    configuration_age_s: float


class StreamPosition:
    """How far a follower has taken over the updates of one source.

    Attributes:
      sequence: Sequence number that the follower states in its next request.
    """

    def __init__(self):
        self.sequence = UNKNOWN_SEQUENCE
        self._applied = UNKNOWN_SEQUENCE

    def advance(self, own, update):
        """Moves on by an update.

        An update that is older than what the follower knows from elsewhere doesn't count as taken
        over: the source may have held a change already that the other hasn't passed on yet, and
        doesn't name it again. Once the source has caught up, the follower asks for all since the
        last update that it took over.

        Args:
          own: The follower's belief.Belief.
          update: The BeliefUpdate.
        Returns:
          True if the update's upstreams may be applied, False if they lack earlier changes.
        """
        kind = records.ObjectKind.UPSTREAMS
        is_current = update.is_complete and update.revisions[kind] >= own.revisions[kind]
        if is_current and self.sequence != self._applied:
            self.sequence = self._applied
            return False
        if is_current:
            self._applied = update.sequence
        self.sequence = update.sequence
        return True


def choose_sources(serving, region):
    """Chooses the hosts that the other hosts of a region follow.

    Args:
      serving: The serving peers.Peer records, the own host included.
      region: The region.
    Returns:
      A tuple of HostRecord; hosts of other regions if no host of this region reaches the store.
    """
    connected = [peer.record for peer in serving if not peer.is_store_lost]
    local = [record for record in connected if record.region == region]
    return tuple(_spread_over_zones(local or connected)[:SOURCES_PER_REGION])


def make_update(own, sequence, generation, is_store_lost, now):
    """Makes the update for a follower.

    Args:
      own: The source's belief.Belief.
      sequence: Sequence number of the follower's last update.
      generation: Generation of the follower's configuration; 0 without one.
      is_store_lost: True if the source can't reach the store.
      now: Monotonic seconds.
    Returns:
      A BeliefUpdate.
    """
    configuration = own.configuration
    if configuration is not None and configuration.generation <= generation:
        configuration = None
    changed = own.list_changed(sequence)
    is_snapshot = changed is None
    ids = own.upstreams if is_snapshot else changed & own.upstreams.keys()
    lapses = own.list_lapses(now)
    return BeliefUpdate(
        sequence=own.sequence,
        revisions=dict(own.revisions),
        is_complete=own.is_complete,
        is_store_lost=is_store_lost,
        configuration=configuration,
        is_snapshot=is_snapshot,
        upstreams=tuple(own.upstreams[upstream_id] for upstream_id in ids),
        lapses={upstream_id: lapses[upstream_id] for upstream_id in ids if upstream_id in lapses},
        removed_ids=() if is_snapshot else tuple(changed - own.upstreams.keys()),
        evacuated=tuple(own.evacuated),
        evacuation_ages=own.list_evacuation_ages(now),
        configuration_age_s=own.get_configuration_age_s(now),
    )


def apply_update(own, update, now, takes_upstreams=True):
    """Applies the parts of an update that are not older than this host's belief.

    Sources receive the store's changes at different times, so a part of the update may be older
    than what another source has sent before. Such a part is ignored.

    Args:
      own: This host's belief.Belief.
      update: The BeliefUpdate.
      now: Monotonic seconds.
      takes_upstreams: False to leave its upstreams out.
    Returns:
      A tuple of belief.Change.
    """
    changes = []
    for revision in update.revisions.values():
        if revision.is_known:
            changes += own.enter_era(revision.era, now)
    _advance_revision(own, update, records.ObjectKind.CONFIGURATION)
    if update.configuration:
        # A store that has returned from an older copy has an older one, so revisions don't tell.
        changes += own.accept_configuration(update.configuration)
    own.record_confirmation(now - update.configuration_age_s)
    if (
        takes_upstreams
        and update.is_complete
        and _advance_revision(own, update, records.ObjectKind.UPSTREAMS)
    ):
        changes += _apply_upstreams(own, update, now)
    if _advance_revision(own, update, records.ObjectKind.EVACUATIONS):
        changes += own.replace_evacuated(update.evacuated, now)
    ends = {zone: now - age_s for zone, age_s in update.evacuation_ages.items()}
    changes += own.merge_evacuation_ends(ends)
    return tuple(changes)


def record_store_answer(own, update, asked_at, now):
    """Records when the store has last answered a source, unless the source has lost it since.

    Args:
      own: This host's belief.Belief.
      update: The source's BeliefUpdate.
      asked_at: Monotonic time at which the update was asked for; it may have been late on its way.
      now: Monotonic seconds.
    """
    if not update.is_store_lost:
        age_s = update.configuration_age_s
        own.store_service.record_answer(asked_at - age_s, now - age_s)


def _advance_revision(own, update, kind):
    """Advances the revision of a kind; returns False if the update is older."""
    if update.revisions[kind] < own.revisions[kind]:
        return False
    own.revisions[kind] = update.revisions[kind]
    return True


def _apply_upstreams(own, update, now):
    changes: list[belief.Change] = []
    upstreams = {upstream.upstream_id: upstream for upstream in update.upstreams}
    for upstream_id, remaining_s in update.lapses.items():
        if upstream_id in upstreams:
            lapsed = upstreams.pop(upstream_id)
            changes += own.set_lapsed_upstream(lapsed, now + remaining_s)
    if update.is_snapshot:
        changes += own.replace_upstreams(upstreams, now, update.lapses.keys())
        return changes
    for upstream in upstreams.values():
        changes += own.set_upstream(upstream)
    for upstream_id in update.removed_ids:
        changes += own.forget_upstream(upstream_id)
    return changes


def _spread_over_zones(hosts):
    """Returns hosts in an order that is the same on all hosts, one of each zone first."""
    zone_counts = {}
    ordered = []
    for host in sorted(hosts, key=_hash_host):
        zone_rank = zone_counts[host.zone] = zone_counts.get(host.zone, 0) + 1
        ordered.append((zone_rank, _hash_host(host), host))
    return [host for _, _, host in sorted(ordered, key=lambda item: item[:2])]


def _hash_host(host):
    return hashlib.blake2b(host.host_id.encode(), digest_size=8).digest()
