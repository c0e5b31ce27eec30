"""Ownership of slots and shares across restarts and changes of the configuration.

A limit is only exact if the old holder of a slot has stopped before the new one starts. A gain
therefore waits until all hosts that may hold it have accepted the generation that moved it, and
then for the longest deadline of the work that they may have started.
"""

import dataclasses

from skylarksill import limits, records


@dataclasses.dataclass(slots=True)
class Holding:
    """An amount of slots, or a share, that may still wait for its former holders.

    Attributes:
      amount: The amount once the wait is over.
      kept: The amount that may be used during the wait.
      generation: The generation that ``waits_for`` must have accepted.
      waits_for: Hosts that have not shown this generation yet.
      hold_s: Longest time in seconds for which work of a former holder may run on.
      usable_at: Time in seconds at which the wait ends; infinite while hosts are waited for.
    """

    amount: int
    kept: int
    generation: records.Generation
    waits_for: frozenset[records.HostId]
    hold_s: float
    usable_at: float

    def count(self, now):
        """Returns the amount that may be used at ``now``."""
        return self.amount if now >= self.usable_at else self.kept

    def note_accepted(self, accepted, own_generation, now):
        """Strikes off the hosts that have accepted the generation.

        A host that is ahead of this one is not struck off: it may have skipped the generation and
        hold on to what a later one gave back to it.

        Args:
          accepted: Maps a host to its accepted generation.
          own_generation: The generation that is in force here.
          now: Time in seconds.
        """
        if not self.waits_for:
            return
        self.waits_for = frozenset(
            host
            for host in self.waits_for
            if not self.generation <= accepted.get(host, -1) <= own_generation
        )
        if not self.waits_for:
            self.usable_at = now + self.hold_s


def make_holding(amount, kept, generation, waits_for, hold_s, now):
    """Makes a holding whose gain waits for hosts and then for ``hold_s``."""
    usable_at = float("inf") if waits_for else now + hold_s
    return Holding(amount, kept, generation, frozenset(waits_for), hold_s, usable_at)


def change_share(holding, amount, generation, is_gap, hosts, hold_s, now):
    """Changes a share of a region's limit; a raise waits for all ``hosts`` of the region."""
    if holding is None:
        return make_holding(amount, 0, generation, hosts, hold_s, now)
    usable = holding.count(now)
    if amount <= usable:
        return make_holding(amount, amount, generation, (), 0.0, now)
    is_pending = amount == holding.amount and now < holding.usable_at
    if is_pending and not (is_gap and holding.waits_for):
        return holding
    return make_holding(amount, usable, generation, hosts, hold_s, now)


def count_owned_slots(upstream, host):
    """Returns how many slots of an upstream a host owns by the configuration."""
    has_standby_slot = upstream.standby is not None and upstream.slots > 1
    if upstream.home == host:
        return upstream.slots - 1 if has_standby_slot else upstream.slots
    return 1 if upstream.standby == host and has_standby_slot else 0


def change_slots(holding, old, new, host, candidates, generation, is_gap, hold_s, now):
    """Makes the holding of an upstream's slots under a new configuration.

    Args:
      holding: The present Holding, or None.
      old: The Upstream in the configuration in force until now, or None.
      new: The Upstream in the new configuration.
      host: The id of this host.
      candidates: Further hosts that may hold the slots under an older generation.
      generation: The new generation.
      is_gap: True if generations between the last and the new one were skipped.
      hold_s: Longest deadline of the service plus the clock skew, in seconds.
      now: Time in seconds.
    """
    amount = count_owned_slots(new, host)
    if holding is None:
        former = _list_holders(old) | set(candidates)
        is_new = old is None and not candidates
        return make_holding(amount, 0, generation, former - {host}, 0.0 if is_new else hold_s, now)
    if old is not None and (old.home, old.standby) == (new.home, new.standby):
        # Nobody else has gained slots that are in use here: that takes this host's acceptance of a
        # generation that it has skipped. But a host that is still waited for may have kept its
        # slots by such a generation.
        if is_gap and holding.waits_for:
            holding.generation = generation
        return _resize(holding, amount, now)
    # Home and standby slots pass from host to host apart from each other, so a change of role
    # keeps none of them.
    has_role_changed = old is None or (old.home == host) != (new.home == host)
    kept = 0 if has_role_changed else min(holding.count(now), amount)
    if amount <= kept:
        return make_holding(amount, amount, generation, (), 0.0, now)
    former = _list_holders(old) | set(candidates) | holding.waits_for
    return make_holding(amount, kept, generation, former - {host}, hold_s, now)


def split_region(configuration, region, total):
    """Splits a region's limit over its hosts in proportion to the slots of their upstreams."""
    weights = dict.fromkeys(list_region_hosts(configuration, region), 0)
    for upstream in configuration.upstreams:
        if upstream.home in weights:
            weights[upstream.home] += upstream.slots
    return limits.split_share(total, weights)


def list_region_hosts(configuration, region):
    """Returns the ids of the hosts of a region in the order of the configuration."""
    zones = {zone.zone_id for zone in configuration.zones if zone.region_id == region}
    return [host.host_id for host in configuration.hosts if host.zone_id in zones]


def _resize(holding, amount, now):
    if now >= holding.usable_at:
        holding.kept = amount
    holding.amount = amount
    holding.kept = min(holding.kept, amount)
    return holding


def _list_holders(upstream):
    if upstream is None:
        return set()
    return {host for host in (upstream.home, upstream.standby) if host is not None}
