"""How hosts pass on what the store has told them. No input or output.

Answers two load patterns: a store whose calls are limited and priced while each host of a large
deployment watches it, and a store that turns some hosts away. Two hosts of a region, its sources,
watch the store; the others follow both of them and turn to the store only if both fall silent.
"""

import dataclasses
import hashlib

from skylarksill.host import belief, records

# Two sources in different zones, so that the loss of one zone leaves the other.
SOURCES_PER_REGION = 2
# Sequence number of a follower that knows nothing yet.
UNKNOWN_SEQUENCE = -1


@dataclasses.dataclass(frozen=True, slots=True)
class BeliefUpdate:
    """What a source believes, as far as its follower does not know it yet.

    Attributes:
      sequence: Sequence number of the source's belief, which the follower sends next time.
      revisions: Dict of the store's revision by records.ObjectKind.
      is_complete: True if the source has read configuration and upstreams.
      is_store_lost: True if the source can't reach the store either.
      configuration: A records.Configuration, or None if the follower has it.
      is_full: True if ``upstreams`` holds all of them rather than the changed ones.
      upstreams: Tuple of records.Upstream.
      gone: Ids of the upstreams that have been forgotten since.
      evacuated: All zones whose upstreams get nothing.
    """

    sequence: int
    revisions: dict[records.ObjectKind, int]
    is_complete: bool
    is_store_lost: bool
    configuration: records.Configuration | None
    is_full: bool
    upstreams: tuple[records.Upstream, ...]
    gone: tuple[str, ...]
    evacuated: tuple[str, ...]


def choose_sources(serving, region):
    """Chooses the hosts that the others of a region follow.

    Args:
      serving: The serving peers.Peer records, the own host included.
      region: The region.
    Returns:
      A tuple of HostRecord; hosts of other regions if no host of this one reaches the store.
    """
    able = [peer.record for peer in serving if not peer.is_store_lost]
    near = [record for record in able if record.region == region]
    return tuple(_spread_over_zones(near or able)[:SOURCES_PER_REGION])


def make_update(known, sequence, generation, is_store_lost):
    """Makes the update for a follower.

    Args:
      known: The source's belief.Belief.
      sequence: Sequence number of the follower's last update.
      generation: Generation of the follower's configuration; 0 without one.
      is_store_lost: True if the source can't reach the store.
    Returns:
      A BeliefUpdate.
    """
    configuration = known.configuration
    if configuration is not None and configuration.generation <= generation:
        configuration = None
    changed = known.list_changed(sequence)
    is_full = changed is None
    ids = known.upstreams if is_full else changed & known.upstreams.keys()
    return BeliefUpdate(
        sequence=known.sequence,
        revisions=dict(known.revisions),
        is_complete=known.is_complete,
        is_store_lost=is_store_lost,
        configuration=configuration,
        is_full=is_full,
        upstreams=tuple(known.upstreams[upstream_id] for upstream_id in ids),
        gone=() if is_full else tuple(changed - known.upstreams.keys()),
        evacuated=tuple(known.evacuated),
    )


def apply_update(known, update, now):
    """Takes over what a source knows better than this host.

    Sources receive the store's changes at different times, so a part that is older than what this
    host knows is left out: it was part of what another source has sent.

    Args:
      known: This host's belief.Belief.
      update: The BeliefUpdate.
      now: Monotonic seconds.
    Returns:
      A tuple of belief.Change.
    """
    changes = []
    if _take_revision(known, update, records.ObjectKind.CONFIGURATION) and update.configuration:
        changes += known.accept_configuration(update.configuration)
    if update.is_complete and _take_revision(known, update, records.ObjectKind.UPSTREAMS):
        changes += _apply_upstreams(known, update, now)
    if _take_revision(known, update, records.ObjectKind.EVACUATIONS):
        changes += known.replace_evacuated(update.evacuated)
    return tuple(changes)


def _take_revision(known, update, kind):
    """Advances the revision of a kind; returns False if the update is older."""
    if update.revisions[kind] < known.revisions[kind]:
        return False
    known.revisions[kind] = update.revisions[kind]
    return True


def _apply_upstreams(known, update, now):
    upstreams = {upstream.upstream_id: upstream for upstream in update.upstreams}
    if update.is_full:
        return known.replace_upstreams(upstreams, now)
    changes: list[belief.Change] = []
    for upstream in upstreams.values():
        changes += known.set_upstream(upstream)
    for upstream_id in update.gone:
        changes += known.forget_upstream(upstream_id)
    return changes


def _spread_over_zones(hosts):
    """Returns hosts in an order on which all hosts agree, one of each zone first."""
    ranks = {}
    ordered = []
    for host in sorted(hosts, key=_score):
        rank = ranks[host.zone] = ranks.get(host.zone, 0) + 1
        ordered.append((rank, _score(host), host))
    return [host for _, _, host in sorted(ordered, key=lambda item: item[:2])]


def _score(host):
    return hashlib.blake2b(host.host_id.encode(), digest_size=8).digest()
