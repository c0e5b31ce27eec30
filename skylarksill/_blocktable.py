"""Longest-prefix match of client addresses in flat sorted arrays."""

import array
import bisect
import collections
import socket

BLOCKS_PER_STEP = 4_000
NO_ZONE = 0xFFFF

_ZONE_INDEX_BITS = 16
_LENGTH_BITS = 8
_MAPPED_PREFIX = b"\0" * 10 + b"\xff\xff"
_LOW_MASK = (1 << 64) - 1
# Keys are sorted bucket by bucket: a single sort of 330,000 keys blocks the process for 120 ms.
_BUCKET_BITS = {32: 12, 128: 24}


class BlockTable:
    """Immutable map from client addresses to zones.

    Nested blocks are flattened to disjoint ranges, so that one binary search finds the longest
    match. A range takes 6 bytes for IPv4 and 18 bytes for IPv6.
    """

    __slots__ = ("_zones", "_starts4", "_zone_indexes4", "_high6", "_low6", "_zone_indexes6")

    def __init__(self, zones, ranges4, ranges6):
        self._zones = zones
        self._starts4, self._zone_indexes4 = ranges4
        self._high6, self._low6, self._zone_indexes6 = ranges6

    @classmethod
    def build(cls, configuration):
        """Builds the table of a configuration's blocks.

        Args:
          configuration: The configuration; blocks of zones that it does not list are ignored.
        Returns:
          A BlockTable.
        Raises:
          ValueError: If a prefix is malformed.
        """
        steps = cls.build_in_steps(configuration)
        while True:
            try:
                next(steps)
            except StopIteration as end:
                return end.value

    @classmethod
    def build_in_steps(cls, configuration):
        """Builds the table as a generator that yields after each short step.

        The whole build takes far longer than a lookup may, so a daemon serves requests at each
        yield.

        Args:
          configuration: As for ``build``.
        Yields:
          None after each step.
        Returns:
          A BlockTable, as the value of the generator.
        Raises:
          ValueError: If a prefix is malformed.
        """
        zones = tuple(zone.zone_id for zone in configuration.zones)
        keys4 = collections.defaultdict(list)
        keys6 = collections.defaultdict(list)
        zone_indexes = {zone: index for index, zone in enumerate(zones)}
        blocks = configuration.blocks
        for first in range(0, len(blocks), BLOCKS_PER_STEP):
            _add_keys(blocks[first : first + BLOCKS_PER_STEP], zone_indexes, keys4, keys6)
            yield
        ranges4 = yield from _flatten_ipv4(keys4)
        ranges6 = yield from _flatten_ipv6(keys6)
        return cls(zones, ranges4, ranges6)

    def find(self, client_ip):
        """Finds the zone of the longest block that contains an address.

        Args:
          client_ip: IPv4 or IPv6 address; an IPv4-mapped IPv6 address counts as IPv4.
        Returns:
          The zone id, or None if no block contains the address.
        Raises:
          ValueError: If the text is no IP address.
        """
        return self.find_packed(pack_address(client_ip))

    def find_packed(self, packed):
        """Finds the zone of an address that ``pack_address`` converted."""
        if len(packed) == 4:
            index = bisect.bisect_right(self._starts4, int.from_bytes(packed, "big")) - 1
            zone_index = self._zone_indexes4[index] if index >= 0 else NO_ZONE
        else:
            zone_index = self._find_ipv6(packed)
        return None if zone_index == NO_ZONE else self._zones[zone_index]

    def count_bytes(self):
        """Returns the size of the arrays in bytes."""
        arrays = (self._starts4, self._zone_indexes4, self._high6, self._low6, self._zone_indexes6)
        return sum(item.itemsize * len(item) for item in arrays)

    def _find_ipv6(self, packed):
        high = int.from_bytes(packed[:8], "big")
        low = int.from_bytes(packed[8:], "big")
        first = bisect.bisect_left(self._high6, high)
        last = bisect.bisect_right(self._high6, high, lo=first)
        index = bisect.bisect_right(self._low6, low, lo=first, hi=last) - 1
        return self._zone_indexes6[index] if index >= 0 else NO_ZONE


def pack_address(text):
    """Converts an address to 4 bytes (IPv4 and IPv4-mapped) or 16 bytes (IPv6).

    Raises:
      ValueError: If the text is no IP address.
    """
    try:
        if ":" not in text:
            return socket.inet_pton(socket.AF_INET, text)
        packed = socket.inet_pton(socket.AF_INET6, text)
    except (OSError, UnicodeError, ValueError) as error:
        raise ValueError(f"{text!r} is no IP address") from error
    return packed[12:] if packed.startswith(_MAPPED_PREFIX) else packed


def _add_keys(blocks, zone_indexes, keys4, keys6):
    for block in blocks:
        zone_index = zone_indexes.get(block.zone_id)
        if zone_index is None:
            continue
        address, _, length_text = block.prefix.partition("/")
        is_ipv6 = ":" in address
        bits = 128 if is_ipv6 else 32
        try:
            family = socket.AF_INET6 if is_ipv6 else socket.AF_INET
            start = int.from_bytes(socket.inet_pton(family, address), "big")
            length = int(length_text) if length_text else bits
        except (OSError, ValueError) as error:
            raise ValueError(f"block {block.prefix!r} is malformed") from error
        if not 0 <= length <= bits:
            raise ValueError(f"block {block.prefix!r} has a wrong prefix length")
        start = start >> (bits - length) << (bits - length)
        key = (start << _LENGTH_BITS | length) << _ZONE_INDEX_BITS | zone_index
        buckets = keys6 if is_ipv6 else keys4
        buckets[start >> (bits - _BUCKET_BITS[bits])].append(key)


def _iterate_sorted(buckets):
    for bucket in sorted(buckets):
        yield from sorted(buckets[bucket])


def _flatten_ipv4(buckets):
    starts = array.array("I")
    zone_indexes = array.array("H")
    for count, (start, zone_index) in enumerate(_iterate_ranges(_iterate_sorted(buckets), 32)):
        if starts and starts[-1] == start:
            zone_indexes[-1] = zone_index
        else:
            starts.append(start)
            zone_indexes.append(zone_index)
        if count % BLOCKS_PER_STEP == 0:
            yield
    return starts, zone_indexes


def _flatten_ipv6(buckets):
    high = array.array("Q")
    low = array.array("Q")
    zone_indexes = array.array("H")
    for count, (start, zone_index) in enumerate(_iterate_ranges(_iterate_sorted(buckets), 128)):
        if high and high[-1] == start >> 64 and low[-1] == start & _LOW_MASK:
            zone_indexes[-1] = zone_index
        else:
            high.append(start >> 64)
            low.append(start & _LOW_MASK)
            zone_indexes.append(zone_index)
        if count % BLOCKS_PER_STEP == 0:
            yield
    return high, low, zone_indexes


def _iterate_ranges(keys, bits):
    """Yields the start and zone index of each range; a later pair with equal start replaces it."""
    enclosing_blocks = []
    length_mask = (1 << _LENGTH_BITS) - 1
    zone_index_mask = (1 << _ZONE_INDEX_BITS) - 1
    for key in keys:
        start = key >> (_LENGTH_BITS + _ZONE_INDEX_BITS)
        zone_index = key & zone_index_mask
        while enclosing_blocks and enclosing_blocks[-1][0] <= start:
            end, _ = enclosing_blocks.pop()
            yield end, enclosing_blocks[-1][1] if enclosing_blocks else NO_ZONE
        yield start, zone_index
        length = key >> _ZONE_INDEX_BITS & length_mask
        enclosing_blocks.append((start + (1 << (bits - length)), zone_index))
    while enclosing_blocks:
        end, _ = enclosing_blocks.pop()
        if end < 1 << bits:
            yield end, enclosing_blocks[-1][1] if enclosing_blocks else NO_ZONE
