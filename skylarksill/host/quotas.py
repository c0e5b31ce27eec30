"""Division of limits that all hosts share, such as the permitted rate of a cold upstream.

Handles many hosts that use one small limit at the same time and learn of each other late. The units
of a limit are dealt to the hosts in an order that depends on the subject of the limit, so a limit
of fewer units than hosts has a few holders, and the holders of different upstreams differ. No
message is needed: the part of a host shrinks with each host that it knows. So the parts sum to at
most the limit while each host that uses its part is known to all others that do. Dead hosts
count until they are forgotten, and a host that is new, or was frozen, uses no part until it knows
the others and they know it.
"""

import dataclasses
import hashlib

from skylarksill import records as shared

# Time in which a new host becomes known to the others, and the others to it.
SETTLE_S = 4.0
# Number of hosts that are assumed until the host is settled, for limits that it can't do without.
MIN_ASSUMED_HOSTS = 8


@dataclasses.dataclass(frozen=True, slots=True)
class HostView:
    """The hosts that one host knows, itself included.

    Attributes:
      own_id: Name of the host.
      region_ids: The hosts of its region.
      all_ids: The hosts of all regions.
      is_settled: True if the host knows all others that use their parts, and they know it.
      is_counted: True if the host was registered before it started and has listed the others since,
        so that they count it and it knows all that were registered before.
    """

    own_id: shared.HostId
    region_ids: frozenset[shared.HostId]
    all_ids: frozenset[shared.HostId]
    is_settled: bool
    is_counted: bool = False

    def count_assumed_hosts(self):
        """Returns the number of hosts in all regions, at least the assumed one while unsettled."""
        return len(self.all_ids) if self.is_settled else max(MIN_ASSUMED_HOSTS, len(self.all_ids))


def deal_units(total, own_id, host_ids, subject):
    """Returns the number of units of a limit that a host may use.

    Args:
      total: Units of the limit.
      own_id: Name of the host.
      host_ids: All hosts that share the limit, this one included.
      subject: Text that identifies the limit.
    """
    units, remainder = divmod(total, len(host_ids))
    if not remainder:
        return units
    own_rank = _hash_host(subject, own_id)
    preceding = sum(_hash_host(subject, host_id) < own_rank for host_id in host_ids)
    return units + (preceding < remainder)


class SettleTimer:
    """Tells when a host that has started, or was frozen, is settled.

    Args:
      now: Seconds of a clock that also counts while the machine is suspended.

    Attributes:
      is_listed: True once the host has read the list of hosts since its start or freeze.
    """

    # Two housekeeping rounds that are further apart mean that the process was frozen.
    MAX_PAUSE_S = 2.0

    def __init__(self, now):
        self.is_listed = False
        self._started_at = now
        self._seen_at = now

    def observe(self, now):
        """Notes that the process runs; returns True if it was frozen since the last call."""
        was_frozen = now - self._seen_at > self.MAX_PAUSE_S
        self._seen_at = now
        if was_frozen:
            self.is_listed = False
            self._started_at = now
        return was_frozen

    def is_settled(self, now):
        """Returns True if the host may use its parts of shared limits."""
        return self.is_listed and now - self._started_at >= SETTLE_S


def _hash_host(subject, host_id):
    return hashlib.blake2b(f"{subject}\0{host_id}".encode(), digest_size=8).digest()
