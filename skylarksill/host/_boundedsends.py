"""Sends on sockets that end by a deadline as a whole, whatever the peer does.

The ``sendall`` of eventlet applies the time-out of a socket to each of its steps, so that a peer
which takes a few bytes a step keeps its sender for as long as it likes.
"""

import math
import time

import eventlet
from eventlet import hubs

# Bytes given to the kernel at once, so that what the peer sends meanwhile is seen between portions
# of a long message.
PORTION_BYTES = 262_144
MIN_WAIT_S = 0.001


def send_all(sock, data, deadline):
    """Sends bytes.

    Args:
      sock: The green socket.
      data: The bytes.
      deadline: Monotonic time at which the send ends.
    Raises:
      OSError: If the connection was reset.
      TimeoutError: If the kernel has not taken all bytes by the deadline.
    """
    rest = memoryview(data)
    while True:
        sent = send_some(sock, rest)
        rest = rest[sent:]
        if not rest:
            return
        remaining_s = check_deadline(deadline)
        if sent:
            eventlet.sleep(0)
        else:
            timeout_s = None if remaining_s == math.inf else remaining_s
            hubs.trampoline(sock.fd, write=True, timeout=timeout_s, timeout_exc=_make_timeout())


def send_some(sock, data):
    """Sends what the kernel takes at once; returns the number of bytes, 0 if it takes none."""
    try:
        return sock.fd.send(data[:PORTION_BYTES])
    except BlockingIOError:
        return 0
    except TimeoutError as error:
        # The kernel has given the connection up; it isn't that the deadline has passed.
        raise ConnectionAbortedError(error.errno, error.strerror) from error


def check_deadline(deadline):
    """Returns the seconds until a monotonic time; raises a TimeoutError if it has passed."""
    remaining_s = deadline - time.monotonic()
    if remaining_s <= 0.0:
        raise _make_timeout()
    return max(MIN_WAIT_S, remaining_s)


def wait_for_progress(sock, deadline):
    """Waits until the peer has sent bytes or the kernel takes some.

    Args:
      sock: The green socket.
      deadline: Monotonic time at which the wait ends.
    Raises:
      TimeoutError: At the deadline.
    """
    remaining_s = check_deadline(deadline)
    hub = hubs.get_hub()
    waiter = eventlet.getcurrent()
    is_waiting = True

    def wake(_fileno=None):
        # The hub reports both kinds of progress, also when the first has ended the wait.
        nonlocal is_waiting
        if is_waiting:
            is_waiting = False
            waiter.switch()

    def end(error=None):
        nonlocal is_waiting
        if is_waiting:
            is_waiting = False
            waiter.throw(error or _make_timeout())

    timer = hub.schedule_call_global(remaining_s, end)
    listeners = []
    try:
        for kind in (hub.READ, hub.WRITE):
            listeners.append(hub.add(kind, sock.fd.fileno(), wake, end, lambda: None))
        hub.switch()
    finally:
        is_waiting = False
        for listener in listeners:
            hub.remove(listener)
        timer.cancel()


def _make_timeout():
    return TimeoutError("the message was not sent before the deadline")
