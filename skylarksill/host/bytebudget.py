"""Count of the bytes that a host holds for its clients, and whom it ends for lack of room. No I/O.

Handles crowds of clients that nobody controls: heads and bodies that stop short of their end, and
answers that are read slowly or not at all. Room is made by ending those that hold much and have
moved little for a while, beginning with the address that holds the most. A client that sends or
reads at an ordinary pace is never ended, and the count never delays a release. Part of the room is
kept for requests that have arrived whole, and for their answers until clients read them.
"""

import collections

# A holder of fewer bytes is not ended, as that makes no room, unless such holders together hold
# more than a share of the limit. Ordinary requests hold less.
MIN_ENDED_BYTES = 16_384
MAX_SMALL_SHARE = 0.25
# Share of the limit that holders leave to what has none: requests that wait for an upstream, and
# answers that are being read. One that is alone may use it.
RESERVED_SHARE = 0.25
# Room that is made beyond what is asked for, as a share of the limit, and the time after which it
# is tried again in vain at the earliest: looking at all holders takes milliseconds.
SLACK_SHARE = 0.0625
RETRY_S = 0.05
# Time for which a holder is not judged: a pause of a client on a lossy link takes this long.
GRACE_S = 1.0
# A holder that has moved more bytes a second than this, over its time, keeps up. The slowest links
# of clients carry several times as much.
MIN_PACE_BYTES_PER_S = 32_768


class Holder:
    """Bytes that are held for one connection and could be given up by ending it.

    Args:
      address: IP address of the client, or None if it is unknown.
      end: Function that ends the connection, or what it holds, without waiting; it has released
        the bytes when it returns.
      count_moved: Function that returns how many bytes the client has sent or received since
        ``begun_at``, or infinity if it is not the client that is waited for.

    Attributes:
      size: Bytes that are held.
      begun_at: Monotonic time since which the client sends the request or reads the answer.
    """

    __slots__ = ("address", "end", "count_moved", "size", "begun_at")

    def __init__(self, address, end, count_moved):
        self.address = address
        self.end = end
        self.count_moved = count_moved
        self.size = 0
        self.begun_at = 0.0

    def is_slow(self, now):
        """Returns True if the client has moved too few bytes for the time that it has had."""
        elapsed_s = now - self.begun_at
        return elapsed_s >= GRACE_S and self.count_moved() < MIN_PACE_BYTES_PER_S * elapsed_s


class ByteBudget:
    """Limits the bytes that are held at the same time, by holders and without one.

    Args:
      max_bytes: Limit in bytes; may be changed at any time.
      read_clock: Function that returns monotonic seconds.

    Attributes:
      used_bytes: Bytes that are held.
      holder_bytes: Bytes that are held by holders.
    """

    def __init__(self, max_bytes, read_clock):
        self.max_bytes = max_bytes
        self.used_bytes = 0
        self.holder_bytes = 0
        self._read_clock = read_clock
        # Holders in the order in which they began to hold bytes.
        self._holders = {}
        self._tried_at = float("-inf")
        self._is_making_room = False

    @property
    def is_half_used(self):
        """True if more than half of the limit is used."""
        return 2 * self.used_bytes > self.max_bytes

    def take(self, size, holder=None):
        """Counts ``size`` bytes as held if they fit; makes room if they don't.

        Returns:
          True if they fit.
        """
        if not self._fits(size, holder):
            self.make_room(lambda slack: self._fits(size + slack, holder), holder)
        if not self._fits(size, holder):
            return False
        self.hold(size, holder)
        return True

    def _fits(self, size, holder):
        if self.used_bytes + size > self.max_bytes:
            return False
        if holder is None or self.used_bytes == holder.size:
            return True
        return self.holder_bytes + size <= (1.0 - RESERVED_SHARE) * self.max_bytes

    def hold(self, size, holder=None):
        """Counts ``size`` bytes as held, also beyond the limit, because they exist already."""
        self.used_bytes += size
        if holder is not None:
            holder.size += size
            self.holder_bytes += size
            self._holders[holder] = None

    def release(self, size, holder=None):
        """Counts ``size`` bytes as no longer held."""
        self.used_bytes -= size
        self.detach(size, holder)

    def detach(self, size, holder):
        """Leaves ``size`` bytes counted, but no longer as the holder's, who can't give them up."""
        if holder is None:
            return
        holder.size -= size
        self.holder_bytes -= size
        if holder.size <= 0:
            self._holders.pop(holder, None)

    def restore_reserve(self, asking=None):
        """Ends slow holders if what holders have uses the reserve, as answers that exist may.

        Args:
          asking: The Holder that is not ended, or None.
        """
        most = (1.0 - RESERVED_SHARE) * self.max_bytes
        if self.holder_bytes > most:
            self.make_room(lambda slack: self.holder_bytes + slack <= most, asking)

    def make_room(self, is_enough, asking=None):
        """Ends slow holders until there is enough room or none is left.

        Args:
          is_enough: Function of a number of bytes that returns True once there is enough room, and
            so many bytes more.
          asking: The Holder for which room is made, which is not ended, or None.
        """
        now = self._read_clock()
        # The end of a holder may ask for room itself, as a refusal is an answer.
        if self._is_making_room or now < self._tried_at + RETRY_S:
            return
        self._is_making_room = True
        try:
            self._end_slow(is_enough, asking, now)
        finally:
            self._is_making_room = False

    def _end_slow(self, is_enough, asking, now):
        slow = [item for item in self._list_judged() if item is not asking and item.is_slow(now)]
        by_address = collections.Counter()
        for item in self._holders:
            by_address[item.address] += item.size
        slow.sort(key=lambda item: (by_address[item.address], item.size), reverse=True)
        slack = int(SLACK_SHARE * self.max_bytes)
        for item in slow:
            if is_enough(slack):
                return
            item.end()
        if not is_enough(0):
            self._tried_at = now

    def _list_judged(self):
        """Returns the holders that are ended if they are slow."""
        large = [item for item in self._holders if item.size >= MIN_ENDED_BYTES]
        small_bytes = self.holder_bytes - sum(item.size for item in large)
        return list(self._holders) if small_bytes > MAX_SMALL_SHARE * self.max_bytes else large
