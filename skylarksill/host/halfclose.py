"""Decides whether a client that has ended its sending side still reads. No input or output.

Answers the end of a client's stream while its requests are under way. The client may have closed
the connection, and its upstreams then work in vain, or it reads on and is owed its answers. TCP
tells only once something is sent: a closed connection answers with a reset, an open one with an
acknowledgement. What is sent is an interim response, which a client that expects none discards
(RFC 9110, section 15.2.1).
"""

import enum
import math

# Pauses before the probes. Answers that are ready within the first one need no probe. Further ones
# notice a client that has closed meanwhile; there are few, as some client libraries accept only
# five interim responses to a request.
PROBE_PAUSES_S = (0.15, 0.35, 0.5, 1.0, 2.0)
# A client that acknowledges nothing for this long can't be reached. Upstreams may work for 0.5 s
# after the close has arrived, of which the first pause has taken some.
UNACKNOWLEDGED_TIMEOUT_S = 0.25


class Decision(enum.Enum):
    """What to do about the client now.

    DROP is for a client that can't be reached or probed: what is ready is still sent to it.
    """

    WAIT = "wait"
    PROBE = "probe"
    DROP = "drop"
    LEAVE = "leave"


class HalfClosedClient:
    """What is known of a client since the end of its stream.

    Args:
      now: Monotonic time at which the end was read, in seconds.
      takes_interim: False if an interim response may not be sent, as to clients of HTTP/1.0.
    """

    def __init__(self, now, takes_interim):
        self._probes_at = now + PROBE_PAUSES_S[0]
        self._progress_at = now
        self._unacknowledged_bytes = 0
        self._takes_interim = takes_interim
        self._probe_count = 0

    def decide(self, now, is_reset, unacknowledged_bytes):
        """Returns the Decision.

        Args:
          now: Monotonic seconds.
          is_reset: Whether the client has reset the connection.
          unacknowledged_bytes: Bytes sent to the client that it has not acknowledged.
        """
        if is_reset:
            return Decision.LEAVE
        if not unacknowledged_bytes or unacknowledged_bytes < self._unacknowledged_bytes:
            self._progress_at = now
        self._unacknowledged_bytes = unacknowledged_bytes
        if now >= self._progress_at + UNACKNOWLEDGED_TIMEOUT_S:
            return Decision.DROP
        if now < self._probes_at:
            return Decision.WAIT
        if not self._takes_interim:
            return Decision.DROP
        # Bytes that are on their way probe it already.
        if unacknowledged_bytes:
            return Decision.WAIT
        self._probe_count += 1
        has_more = self._probe_count < len(PROBE_PAUSES_S)
        self._probes_at = now + PROBE_PAUSES_S[self._probe_count] if has_more else math.inf
        return Decision.PROBE
