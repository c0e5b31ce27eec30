"""Decides whether a client that has ended its sending side still reads. No input or output.

Answers the end of a client's stream while its requests are under way. The client may have closed
the connection, and its upstreams then work in vain, or it reads on and is owed its answers. TCP
tells only once something is sent: a closed connection answers with a reset, an open one with an
acknowledgement. What is sent is the beginning of the answer, one byte at a time, which is the same
for every answer and so commits the host to nothing.
"""

import dataclasses
import enum
import math

# Pauses before the probes, one for each byte of answers.ANSWER_START. Answers that are ready within
# the first one need no probe. Further ones notice a client that has closed meanwhile.
PROBE_PAUSES_S = (0.15, 0.35, 0.5, 1.0, 2.0, 2.0, 2.0, 2.0, 2.0)
# A client that acknowledges nothing for this long and some round trips can't be reached: the kernel
# repeats a lost probe after 0.2 s and a round trip, and its acknowledgement takes another one.
# Upstreams may work for 0.5 s after the close has arrived, of which the first pause has taken some.
UNACKNOWLEDGED_TIMEOUT_S = 0.3
UNACKNOWLEDGED_ROUND_TRIPS = 2.0
# Longest round trip that is waited for; the kernel measures more where a client pauses.
MAX_ROUND_TRIP_S = 1.0


class Decision(enum.Enum):
    """What to do about the client now.

    DROP is for a client that can't be reached: what is ready is still sent to it.
    """

    WAIT = "wait"
    PROBE = "probe"
    DROP = "drop"
    LEAVE = "leave"


@dataclasses.dataclass(frozen=True, slots=True)
class Delivery:
    """What the kernel knows of the bytes that were sent to a client.

    Attributes:
      is_reset: Whether the client has reset the connection.
      acknowledged_bytes: Bytes that the client has acknowledged on the whole connection.
      is_in_flight: Whether bytes are on their way that it has not acknowledged. Bytes that wait for
        room at the client, which answers the kernel's probes, are not on their way.
      is_complete: Whether nothing is left to send or to be acknowledged.
      round_trip_s: Smoothed time in seconds in which the client has acknowledged before.
    """

    is_reset: bool = False
    acknowledged_bytes: int = 0
    is_in_flight: bool = False
    is_complete: bool = True
    round_trip_s: float = 0.0


class HalfClosedClient:
    """What is known of a client since the end of its stream.

    Args:
      now: Monotonic time at which the end was read, in seconds.
    """

    def __init__(self, now):
        self._probes_at = now + PROBE_PAUSES_S[0]
        # Since when the client has acknowledged nothing of what is on its way.
        self._silent_since = now
        self._acknowledged_bytes = 0
        self._was_in_flight = False
        self._probe_count = 0

    def decide(self, now, delivery):
        """Returns the Decision.

        Args:
          now: Monotonic seconds.
          delivery: The Delivery.
        """
        if delivery.is_reset:
            return Decision.LEAVE
        if self._measure_silence(now, delivery) >= _find_timeout_s(delivery):
            return Decision.DROP
        if now < self._probes_at:
            return Decision.WAIT
        # Bytes that are on their way probe it already.
        if not delivery.is_complete:
            return Decision.WAIT
        self._probe_count += 1
        has_more = self._probe_count < len(PROBE_PAUSES_S)
        self._probes_at = now + PROBE_PAUSES_S[self._probe_count] if has_more else math.inf
        # The probe is on its way from now on.
        self._was_in_flight = True
        return Decision.PROBE

    def _measure_silence(self, now, delivery):
        """Returns for how many seconds the client has acknowledged nothing of what is on its way.

        What has been sent since the last look counts from now on, as the process may be late.
        """
        has_acknowledged = delivery.acknowledged_bytes != self._acknowledged_bytes
        if not (delivery.is_in_flight and self._was_in_flight) or has_acknowledged:
            self._silent_since = now
        self._acknowledged_bytes = delivery.acknowledged_bytes
        self._was_in_flight = delivery.is_in_flight
        return now - self._silent_since


def _find_timeout_s(delivery):
    """Returns for how many seconds a client may acknowledge nothing of what is on its way."""
    round_trip_s = min(delivery.round_trip_s, MAX_ROUND_TRIP_S)
    return UNACKNOWLEDGED_TIMEOUT_S + UNACKNOWLEDGED_ROUND_TRIPS * round_trip_s
