"""Count of the bytes that a host holds for its clients, and whom it ends for lack of room. No I/O.

Handles crowds of clients that nobody controls: bodies that stop short of their end, and answers
that are read slowly or not at all. Room is made by ending those that hold much and have moved
little for a while, beginning with the address that holds the most. A client that sends or reads at
an ordinary pace is never ended, and the count never delays a release.
"""

import collections

# A holder of fewer bytes is never ended, as that makes no room. Ordinary requests hold less.
MIN_ENDED_BYTES = 16_384
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
        """Returns True if the client moves too few bytes for what it holds."""
        elapsed_s = now - self.begun_at
        if self.size < MIN_ENDED_BYTES or elapsed_s < GRACE_S:
            return False
        return self.count_moved() < MIN_PACE_BYTES_PER_S * elapsed_s


class ByteBudget:
    """Limits the bytes that are held at the same time, by holders and without one.

    Args:
      max_bytes: Limit in bytes; may be changed at any time.
      read_clock: Function that returns monotonic seconds.

    Attributes:
      used_bytes: Bytes that are held.
    """

    def __init__(self, max_bytes, read_clock):
        self.max_bytes = max_bytes
        self.used_bytes = 0
        self._read_clock = read_clock
        # Holders in the order in which they began to hold bytes.
        self._holders = {}

    def take(self, size, holder=None):
        """Counts ``size`` bytes as held if they fit; makes room if they don't.

        Returns:
          True if they fit.
        """
        if not self._fits(size):
            self.make_room(lambda: self._fits(size), holder)
        if not self._fits(size):
            return False
        self.hold(size, holder)
        return True

    def _fits(self, size):
        return self.used_bytes + size <= self.max_bytes

    def hold(self, size, holder=None):
        """Counts ``size`` bytes as held, also beyond the limit, because they exist already."""
        self.used_bytes += size
        if holder is not None:
            holder.size += size
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
        if holder.size <= 0:
            self._holders.pop(holder, None)

    def make_room(self, is_enough, asking=None):
        """Ends slow holders until there is enough room or none is left.

        Args:
          is_enough: Function that returns True once there is enough room.
          asking: The Holder for which room is made, which is not ended, or None.
        """
        now = self._read_clock()
        slow = [item for item in self._holders if item is not asking and item.is_slow(now)]
        if not slow:
            return
        by_address = collections.Counter()
        for item in self._holders:
            by_address[item.address] += item.size
        slow.sort(key=lambda item: (by_address[item.address], item.size), reverse=True)
        for item in slow:
            if is_enough():
                return
            item.end()
