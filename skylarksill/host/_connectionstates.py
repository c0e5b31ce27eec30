"""Causes and states of clients' connections, and what the kernel tells of one."""

import dataclasses
import enum
import errno
import fcntl
import struct
import termios

from skylarksill.host import cancellation, records

# Bytes of a host name, a target or an id of a request in the log, and the requests of one line.
MAX_LOGGED_NAME = 100
MAX_LOGGED_REQUESTS = 32
# Errors that mean that this host has no memory left; they tell nothing about the client.
_OWN_ERRORS = frozenset((errno.ENOBUFS, errno.ENOMEM))


class Cause(enum.StrEnum):
    """Why a connection ended, for logs and counters.

    HALF_CLOSED stands for requests that the host has dropped, as their client has ended its sending
    side and can't be reached any more, WRITE_TIMEOUT for a client that has accepted no byte of an
    answer for too long, while WRITE_FAILED is an error of the connection.
    """

    CLIENT_LEFT = "client_left"
    HALF_CLOSED = "half_closed"
    RESET = "reset"
    IDLE_TIMEOUT = "idle_timeout"
    LAST_ANSWER = "last_answer"
    NOT_RECEIVED = "not_received"
    WRITE_FAILED = "write_failed"
    WRITE_TIMEOUT = "write_timeout"
    NO_ROOM = "no_room"
    NO_PLACE = "no_place"
    STOP_IDLE = "stop_idle"
    STOP_DEADLINE = "stop_deadline"
    ERROR = "error"

    @property
    def is_by_client(self):
        """Whether the client ended the connection, as far as the host can tell."""
        return self in (Cause.CLIENT_LEFT, Cause.RESET, Cause.WRITE_FAILED)


def find_cause(error, usual):
    """Returns the Cause of a connection that ends by an error.

    Args:
      error: The OSError of a read or a write.
      usual: The Cause of those that tell of the client or the network.
    """
    # The kernel's own time-out has a number.
    if isinstance(error, TimeoutError) and error.errno is None:
        return Cause.WRITE_TIMEOUT
    return Cause.ERROR if error.errno in _OWN_ERRORS else usual


class State(enum.Enum):
    """What a connection still does. States follow each other in this order; some are left out.

    Only ``Connection._end`` and the states that lead to it close a connection: one that has owed
    an answer first discards input, as a close with unread bytes resets the connection, and the
    client loses what it has not received.
    """

    SERVING = "reads requests"
    ANSWERING = "takes no further request and sends the answers that it owes"
    LINGERING = "has sent its last answer and discards input"
    ENDED = "is about to be closed"


@dataclasses.dataclass(slots=True)
class PendingRequest:
    """A request whose answer has not been sent yet.

    Attributes:
      request_id: The beginning of its id, for the log.
      received_at: Monotonic time at which it was complete.
      is_kept: Whether the connection had carried an earlier request.
      request: The records.Request until its handler has ended, or None.
      data: The formatted answer, or None.
      held_bytes: Bytes of memory that the request holds besides its body, 0 once it is released.
    """

    request_id: bytes
    method: bytes
    cancellation: cancellation.Cancellation
    received_at: float
    is_kept: bool = False
    request: records.Request | None = None
    data: bytes | None = None
    held_bytes: int = 0


def describe_requests(items, now):
    """Returns what the log says about requests that end without an answer.

    Args:
      items: The PendingRequests.
      now: Monotonic seconds.
    Returns:
      A dict of lists with one value for each of the first requests: its id, the id of the upstream
      that it was passed on to or None, whether the connection had carried an earlier one, and its
      age.
    """
    items = items[:MAX_LOGGED_REQUESTS]
    ids = [item.request_id.decode("latin-1") for item in items]
    return {
        "requests": ids,
        "upstreams": [item.cancellation.upstream_id for item in items],
        "are_kept": [item.is_kept for item in items],
        "ages_ms": [int(1000 * (now - item.received_at)) for item in items],
    }


def count_unsent_bytes(sock):
    """Returns the bytes that the other side has not acknowledged; 0 if the socket is closed."""
    try:
        return struct.unpack("i", fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(4)))[0]
    except (OSError, ValueError):
        return 0
