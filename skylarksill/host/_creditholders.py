"""Deals the quota of each account to holders, and chooses the order in which a host asks them.

Handles 1,000 accounts and 2,000 hosts: the holders of an account are computed when it is used, and
a host that becomes known later costs one comparison for each account. Hosts that have disappeared
still count for REMEMBER_S: they may be alive behind a partition and use their shares. Performs no
I/O.
"""

import bisect
import dataclasses
import hashlib

from skylarksill import records as shared

# Permits that a holder keeps. More holders mean more requests for few permits each, fewer mean that
# the death of one costs more.
DEPTH_OF_HOLDER = 4
MIN_HOLDERS = 3
# Time for which a host counts after it was forgotten. Both sides of a partition that lasts longer
# deal all units.
REMEMBER_S = 900.0
# More holders would have few permits each, too few for an account with many requests at one host.
MAX_HOLDERS = 64
KEY_BYTES = 8
# A rank has the high bits of a product of hashes, and the host's position in the list below them.
_RANK_MASK = 2**64 - 2**16
_POSITION_MASK = 2**16 - 1


@dataclasses.dataclass(frozen=True, slots=True)
class Deal:
    """The holders of an account as this host sees them.

    Attributes:
      share: Share of the quota that this host holds, from 0 to 1.
      holder_depth: Permits that each holder keeps at most, at least 1.
      local_ids: Other holders of the own region in the order in which this host asks them.
      remote_ids: The same of other regions, which are asked after those.
    """

    share: float
    holder_depth: int
    local_ids: tuple[shared.HostId, ...]
    remote_ids: tuple[shared.HostId, ...]


@dataclasses.dataclass(slots=True)
class _Ranking:
    """The first holders of an account.

    Attributes:
      depth: Whole permits that all holders keep together.
      version: Value of HolderTable._version at the time of the ranking.
      host_count: Number of hosts that were compared.
      region_ids: Hosts of the own region at that time.
      first: Sorted ranks.
    """

    depth: int
    version: int
    host_count: int
    region_ids: frozenset[shared.HostId]
    first: list[int]
    deal: Deal


class HolderTable:
    """The hosts that count as holders, and the cached deals.

    Args:
      own_id: Name of this host.
    """

    def __init__(self, own_id):
        self._own_id = own_id
        self._own_hash = _compute_number(own_id)
        self._hosts = []
        self._hashes = []
        self._left_at = {}
        self._region_ids = frozenset()
        self._known = frozenset()
        self._version = 0
        self._rankings = {}

    @property
    def host_count(self):
        """Number of hosts that count."""
        return len(self._hosts)

    def update(self, all_ids, region_ids, now):
        """Takes over the hosts that are known.

        Args:
          all_ids: Frozenset of all known hosts, this one included.
          region_ids: Frozenset of those of the own region.
          now: Seconds.
        """
        self._region_ids = region_ids
        if all_ids is not self._known and all_ids != self._known:
            for host_id in self._known - all_ids:
                self._left_at[host_id] = now
            added = all_ids - self._known
            for host_id in sorted(added):
                if self._left_at.pop(host_id, None) is None:
                    self._hosts.append(host_id)
                    self._hashes.append(_compute_number(host_id))
            self._known = all_ids
        self._drop_left(now)

    def forget_account(self, account_id):
        """Drops the cached deal of an account."""
        self._rankings.pop(account_id, None)

    def find_deal(self, account_id, depth):
        """Returns the Deal of an account whose holders keep some whole permits together."""
        ranking = self._rankings.get(account_id)
        count = len(self._hosts)
        if (
            ranking is not None
            and ranking.depth == depth
            and ranking.version == self._version
            and ranking.host_count == count
            and ranking.region_ids is self._region_ids
        ):
            return ranking.deal
        # A holder that keeps less than one permit could never grant any.
        wanted = min(max(1, depth), max(MIN_HOLDERS, depth // DEPTH_OF_HOLDER))
        holders = min(count, MAX_HOLDERS, wanted)
        factor = compute_factor(account_id)
        if (
            ranking is not None
            and ranking.version == self._version
            and len(ranking.first) == holders
        ):
            first = ranking.first
            for position in range(ranking.host_count, count):
                bisect.insort(first, self._hashes[position] * factor & _RANK_MASK | position)
                first.pop()
        else:
            first = sorted(
                number * factor & _RANK_MASK | position
                for position, number in enumerate(self._hashes)
            )[:holders]
        deal = self._make_deal(first, depth, factor)
        self._rankings[account_id] = _Ranking(
            depth, self._version, count, self._region_ids, first, deal
        )
        return deal

    def _make_deal(self, first, depth, factor):
        if not first:
            return Deal(0.0, 1, (), ())
        holders = [self._hosts[rank & _POSITION_MASK] for rank in first]
        share = 1.0 / len(holders) if self._own_id in holders else 0.0
        others = [host_id for host_id in holders if host_id != self._own_id]
        return Deal(share, max(1, depth // len(holders)), *self._choose_order(others, factor))

    def _choose_order(self, others, factor):
        """Returns the holders of the own region and the others, rotated by the own hash."""
        if not others:
            return (), ()
        start = (self._own_hash * factor & _RANK_MASK) % len(others)
        rotated = others[start:] + others[:start]
        local = [host_id for host_id in rotated if host_id in self._region_ids]
        remote = [host_id for host_id in rotated if host_id not in self._region_ids]
        return tuple(local), tuple(remote)

    def _drop_left(self, now):
        old = {host_id for host_id, at in self._left_at.items() if now - at >= REMEMBER_S}
        if not old:
            return
        for host_id in old:
            del self._left_at[host_id]
        self._hosts = [host_id for host_id in self._hosts if host_id not in old]
        self._hashes = [_compute_number(host_id) for host_id in self._hosts]
        self._version += 1


def compute_key(account_id):
    """Returns the bytes that name an account in messages between hosts."""
    return hashlib.blake2b(account_id.encode(), digest_size=KEY_BYTES).digest()


def compute_factor(account_id):
    """Returns the odd number by which the hashes of hosts are multiplied to rank them."""
    return int.from_bytes(compute_key(account_id), "big") | 1


def _compute_number(host_id):
    return int.from_bytes(hashlib.blake2b(host_id.encode(), digest_size=8).digest(), "big")
