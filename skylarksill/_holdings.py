"""Ownership of slots and shares across restarts and changes of the configuration.

A limit holds exactly only if the former owner of a slot has stopped before the new one starts.
Slots that a host gains are therefore usable only after all hosts that may still own them have
accepted the configuration generation that moved them, and after the longest deadline of the work
that these hosts may have started.
"""

import dataclasses

from skylarksill import limits, records


@dataclasses.dataclass(slots=True)
class Holding:
    """A number of slots, or a share of a limit, that may still be in use by former owners.

    Attributes:
      amount: The amount that may be used after the wait.
      usable_while_waiting: The amount that may be used during the wait.
      generation: The generation that ``awaited_hosts`` must have accepted.
      awaited_hosts: Hosts that are not yet known to have accepted this generation.
      former_work_s: Longest time in seconds for which work of a former owner may run on.
      usable_at: Time in seconds at which the wait ends; infinite while there are awaited hosts.
    """

    amount: int
    usable_while_waiting: int
    generation: records.Generation
    awaited_hosts: frozenset[records.HostId]
    former_work_s: float
    usable_at: float

    def count(self, now):
        """Returns the amount that may be used at ``now``."""
        return self.amount if now >= self.usable_at else self.usable_while_waiting

    def remove_accepted_hosts(self, accepted, own_generation, now):
        """Removes the awaited hosts that have accepted the generation.

        A host with a later generation than this one stays: it may have skipped the generation and
        never given up slots that a later one assigned to it again.

        Args:
          accepted: Maps a host to its accepted generation.
          own_generation: The generation in force at this host.
          now: Time in seconds.
        """
        if not self.awaited_hosts:
            return
        self.awaited_hosts = frozenset(
            host
            for host in self.awaited_hosts
            if not self.generation <= accepted.get(host, -1) <= own_generation
        )
        if not self.awaited_hosts:
            self.usable_at = now + self.former_work_s


def make_holding(amount, usable_while_waiting, generation, awaited_hosts, former_work_s, now):
    """Makes a Holding whose gain waits for hosts and then for ``former_work_s``."""
    usable_at = float("inf") if awaited_hosts else now + former_work_s
    return Holding(
        amount, usable_while_waiting, generation, frozenset(awaited_hosts), former_work_s, usable_at
    )


def change_share(holding, amount, generation, has_gap, hosts, former_work_s, now):
    """Changes a share of a region's limit; an increase waits for all ``hosts`` of the region."""
    if holding is None:
        return make_holding(amount, 0, generation, hosts, former_work_s, now)
    usable = holding.count(now)
    if amount <= usable:
        return make_holding(amount, amount, generation, (), 0.0, now)
    is_pending = amount == holding.amount and now < holding.usable_at
    if is_pending and not (has_gap and holding.awaited_hosts):
        return holding
    return make_holding(amount, usable, generation, hosts, former_work_s, now)


def count_owned_slots(upstream, host):
    """Returns how many slots of an upstream a host owns according to the configuration."""
    has_standby_slot = upstream.standby is not None and upstream.slots > 1
    if upstream.home == host:
        return upstream.slots - 1 if has_standby_slot else upstream.slots
    return 1 if upstream.standby == host and has_standby_slot else 0


def change_slots(holding, old, new, host, possible_owners, generation, has_gap, former_work_s, now):
    """Makes the Holding of an upstream's slots under a new configuration.

    Args:
      holding: The current Holding, or None.
      old: The Upstream in the configuration in force until now, or None.
      new: The Upstream in the new configuration.
      host: The id of this host.
      possible_owners: Further hosts that may use the slots under an older generation.
      generation: The new generation.
      has_gap: True if generations between the last and the new one were skipped.
      former_work_s: Longest time in seconds for which work of a former owner may run on.
      now: Time in seconds.
    """
    amount = count_owned_slots(new, host)
    if holding is None:
        former = _list_owners(old) | set(possible_owners)
        is_new = old is None and not possible_owners
        return make_holding(
            amount, 0, generation, former - {host}, 0.0 if is_new else former_work_s, now
        )
    if old is not None and (old.home, old.standby) == (new.home, new.standby):
        # No other host can have gained slots that are in use here: it would wait until this host
        # accepts the generation that moved them, and this host has skipped that one. But a host
        # that is still awaited may have kept its slots through a skipped generation.
        if has_gap and holding.awaited_hosts:
            holding.generation = generation
        return _resize_holding(holding, amount, now)
    # Ownership of home slots and of the standby slot moves separately, so a host that changes its
    # role keeps no slots.
    has_role_changed = old is None or (old.home == host) != (new.home == host)
    usable_while_waiting = 0 if has_role_changed else min(holding.count(now), amount)
    if amount <= usable_while_waiting:
        return make_holding(amount, amount, generation, (), 0.0, now)
    former = _list_owners(old) | set(possible_owners) | holding.awaited_hosts
    return make_holding(
        amount, usable_while_waiting, generation, former - {host}, former_work_s, now
    )


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


def _resize_holding(holding, amount, now):
    if now >= holding.usable_at:
        holding.usable_while_waiting = amount
    holding.amount = amount
    holding.usable_while_waiting = min(holding.usable_while_waiting, amount)
    return holding


def _list_owners(upstream):
    if upstream is None:
        return set()
    return {host for host in (upstream.home, upstream.standby) if host is not None}
