"""Load of a host: how it is measured, and rounded for the messages between hosts. No I/O.

Handles hundreds of hosts a region whose loads change within a second: a heartbeat carries a single
byte of load, so that every heartbeat brings news. Bytes of heartbeats with even numbers tell the
shares of processor and link, those with odd numbers the shares of memory and descriptors. All hosts
decide with the rounded shares, also about themselves, so that they decide alike.
"""

import functools
import math

from skylarksill.host import fields, records

# Levels of a share in four bits: 0 is unknown, 1 is no load, and from 2 on each level stands for
# 1.43 times the share of the one before. A host at its limit reports 1.0.
LEVELS = 16
LEAST_SHARE = 0.01
_RATIO = (1.0 / LEAST_SHARE) ** (1.0 / (LEVELS - 3))
_SHARES = (None, 0.0, *(LEAST_SHARE * _RATIO**step for step in range(LEVELS - 2)))
_LEVEL_BITS = 4
_LEVEL_MASK = LEVELS - 1
# Time constant of the moving averages: a doubled load shows within two seconds, and single slow
# requests don't.
SMOOTHING_S = 1.5
# The program runs in one thread, so further cores don't let it do more.
MAX_PROCESS_CORES = 1.0
# Processor time a second that a host spends on control at most, by the goal of the design. It stays
# on the host when clients move to another one.
CONTROL_CORES = 0.038
# Processor time of a request at most, in seconds. What a host uses beyond it is control traffic,
# which grows with the hosts and does not move with the clients either. It counts on a host that
# uses more than the given share of its cores, since that one may have slow requests.
REQUEST_PROCESSOR_S = 0.002
BUSY_SHARE = 0.5
# Heads of a request and of its answer together; bodies are counted as they are.
HEADS_BYTES = 800
MAX_REQUESTS_PER_S = 2**31 - 1


def encode_byte(load, heartbeat):
    """Returns the byte of a load that the heartbeat with a number carries.

    Args:
      load: The records.HostLoad, or None.
      heartbeat: Number of the heartbeat.
    """
    if load is None:
        return 0
    first, second = (
        (load.memory_share, load.descriptor_share)
        if heartbeat % 2
        else (load.processor_share, load.link_share)
    )
    return _find_level(first) << _LEVEL_BITS | _find_level(second)


def apply_byte(load, heartbeat, load_byte):
    """Returns a known HostLoad, or None, after the byte of a newer heartbeat has arrived."""
    if load_byte == 0 or encode_byte(load, heartbeat) == load_byte:
        return load
    first, second = _SHARES[load_byte >> _LEVEL_BITS], _SHARES[load_byte & _LEVEL_MASK]
    known = load or records.HostLoad(0.0, None, None)
    if heartbeat % 2:
        shares = (known.processor_share, known.link_share, first, second)
    else:
        shares = (first, second, known.memory_share, known.descriptor_share)
    return records.HostLoad(known.requests_per_s, *shares)


def round_load(load):
    """Returns a HostLoad as other hosts receive it."""
    return decode_load(encode_load(load))


def encode_load(load):
    """Returns a HostLoad as a pair of integers, the levels in one of them; None for None."""
    if load is None:
        return None
    levels = encode_byte(load, 0) << 2 * _LEVEL_BITS | encode_byte(load, 1)
    return [min(MAX_REQUESTS_PER_S, round(load.requests_per_s)), levels]


def decode_load(value):
    """Returns the HostLoad of a decoded pair, or None for None.

    Raises:
      ValueError: If the value is neither.
    """
    if value is None:
        return None
    requests_per_s, levels = fields.check(value, list)
    fields.check_range(requests_per_s, 0, MAX_REQUESTS_PER_S)
    fields.check_range(levels, 0, LEVELS**4 - 1)
    shares = [_SHARES[levels >> shift * _LEVEL_BITS & _LEVEL_MASK] for shift in (3, 2, 1, 0)]
    return records.HostLoad(float(requests_per_s), *shares)


# Shares that were received are few; math.log for each heartbeat would cost processor time.
@functools.lru_cache(maxsize=1_024)
def _find_level(share):
    """Returns the level whose share is nearest by ratio; 0 for None."""
    if share is None:
        return 0
    if share < LEAST_SHARE / 2:
        return 1
    level = 2 + round(math.log(share / LEAST_SHARE, _RATIO))
    return min(LEVELS - 1, max(2, level))


class LoadMeter:
    """Measures the own load as moving averages.

    The bytes on the link are estimated from the sizes of requests and answers: each crosses the
    link once in each direction, between the host and a client and between it and an upstream.

    Args:
      capacity: The own records.HostCapacity, or None.
      now: Monotonic seconds.
      processor_s: Processor time that the process has used, in seconds.
    """

    def __init__(self, capacity, now, processor_s):
        self._cores = min(MAX_PROCESS_CORES, capacity.cores if capacity else MAX_PROCESS_CORES)
        self._link_bytes_per_s = capacity.link_bytes_per_s if capacity else 0.0
        self._observed_at = now
        self._processor_s = processor_s
        self._requests = self._bytes = 0
        self._averages = [0.0, 0.0, 0.0]

    def count_request(self, request_bytes, answer_bytes):
        """Counts a request that has ended, with the sizes of the bodies."""
        self._requests += 1
        self._bytes += request_bytes + answer_bytes + HEADS_BYTES

    def observe(self, now, processor_s, memory_share, descriptor_share):
        """Ends an interval of the measurement.

        Args:
          now: Monotonic seconds.
          processor_s: Processor time that the process has used, in seconds.
          memory_share: Present share of the memory for requests and answers that is in use.
          descriptor_share: Present share of the descriptors for clients that is in use.
        Returns:
          The records.HostLoad.
        """
        span_s = now - self._observed_at
        if span_s > 0.0:
            weight = 1.0 - math.exp(-span_s / SMOOTHING_S)
            amounts = (self._requests, self._bytes, processor_s - self._processor_s)
            for index, amount in enumerate(amounts):
                self._averages[index] += weight * (amount / span_s - self._averages[index])
            self._observed_at, self._processor_s = now, processor_s
            self._requests = self._bytes = 0
        requests_per_s, bytes_per_s, cores = self._averages
        return records.HostLoad(
            requests_per_s,
            self._estimate_processor_share(requests_per_s, cores),
            bytes_per_s / self._link_bytes_per_s if self._link_bytes_per_s else None,
            memory_share,
            descriptor_share,
        )

    def _estimate_processor_share(self, requests_per_s, cores):
        """Returns the share of the processor that requests take, or None if it is unknown."""
        if not self._cores:
            return None
        used = max(0.0, cores - CONTROL_CORES)
        if used < BUSY_SHARE * self._cores:
            used = min(used, REQUEST_PROCESSOR_S * requests_per_s)
        return used / self._cores
