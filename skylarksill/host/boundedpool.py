"""Connection pool for urllib3 whose answers are bounded in time and size and read fairly.

urllib3 and the library below it wait anew for each part of an answer, keep reading interim answers
and bodies without end, and never yield while bytes are ready.
"""

import http.client
import math
import time

import eventlet
import urllib3
from eventlet import greenio
from eventlet.green import socket

from skylarksill.host import _boundedsends

# Range of statuses of final answers (RFC 9110, section 15).
MIN_FINAL_STATUS, MAX_STATUS = 200, 599
# The largest answer lists a page of objects of 1 MB in all, or the changes of some seconds.
MAX_ANSWER_BYTES = 16 * 1024 * 1024


class BoundedSocket(greenio.GreenSocket):
    """A socket on which requests and answers have to pass within the time-out that is set.

    It holds for each request as a whole, and for each answer as a whole.

    Args:
      connected: The connected green socket.
    """

    def __init__(self, connected):
        super().__init__(connected.fd)
        # The file descriptor is closed with the object that opened it.
        self._connected = connected
        self._deadline = None
        # The time at which the parts of a request must have been sent; None between requests.
        self._send_deadline = None
        self._received_bytes = 0
        self._returned_at = None

    def sendall(self, data, flags=0):
        """Sends a request or a part of it; the next bytes that are read begin its answer.

        Raises:
          TimeoutError: If the time of the whole request has passed.
        """
        self._deadline = None
        self._received_bytes = 0
        timeout_s = self.gettimeout()
        if self._send_deadline is None:
            limit_s = math.inf if timeout_s is None else timeout_s
            self._send_deadline = time.monotonic() + limit_s
        _boundedsends.send_all(self, data, self._send_deadline)

    def recv_into(self, buffer, nbytes=0, flags=0):
        """Receives a part of the answer and leaves time to other green threads.

        Raises:
          TimeoutError: If the time of the whole answer has passed.
          ConnectionError: If the answer is too long.
        """
        self._leave_time()
        self._send_deadline = None
        now = time.monotonic()
        timeout_s = self.gettimeout()
        if self._deadline is None and timeout_s is not None:
            self._deadline = now + timeout_s
        if self._deadline is not None:
            if now >= self._deadline:
                raise TimeoutError("the answer was not complete in time")
            self.settimeout(self._deadline - now)
        try:
            size = super().recv_into(buffer, nbytes, flags)
        finally:
            self.settimeout(timeout_s)
        self._received_bytes += size
        if self._received_bytes > MAX_ANSWER_BYTES:
            raise ConnectionError(f"the answer exceeds {MAX_ANSWER_BYTES} bytes")
        self._returned_at = time.monotonic()
        return size

    def _leave_time(self):
        """Leaves others as much time as the part received before took to parse."""
        if self._deadline is not None and self._returned_at is not None:
            eventlet.sleep(time.monotonic() - self._returned_at)


class BoundedResponse(http.client.HTTPResponse):
    """An answer with a valid final status; all interim answers before it are skipped.

    The library below urllib3 skips the status 100 only. It takes other interim answers and statuses
    out of range for final ones, and the answer that follows would be taken for that of the next
    request.
    """

    def _read_status(self):
        version, status, reason = super()._read_status()
        if http.client.SWITCHING_PROTOCOLS < status < MIN_FINAL_STATUS:
            # The caller skips what has this status.
            status = http.client.CONTINUE
        if status != http.client.CONTINUE and not MIN_FINAL_STATUS <= status <= MAX_STATUS:
            raise http.client.BadStatusLine(f"status {status}")
        return version, status, reason


class BoundedConnection(urllib3.connection.HTTPConnection):
    """An HTTP connection on a BoundedSocket."""

    response_class = BoundedResponse

    def _new_conn(self):
        try:
            connected = socket.create_connection((self.host, self.port), self.timeout)
        except TimeoutError as error:
            detail = f"no connection within {self.timeout} s"
            raise urllib3.exceptions.ConnectTimeoutError(self, detail) from error
        except OSError as error:
            raise urllib3.exceptions.NewConnectionError(self, f"no connection: {error}") from error
        for option in self.socket_options or ():
            connected.setsockopt(*option)
        bounded = BoundedSocket(connected)
        # Until the first answer is read, urllib3 sets no other.
        bounded.settimeout(self.timeout)
        return bounded

    @property
    def is_connected(self):
        """True if the connection is open and nothing has arrived that nobody asked for.

        urllib3 waits in select(), from which eventlet can wake it for another green thread.
        """
        if self.sock is None:
            return False
        try:
            self.sock.fd.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            # The caller opens a new connection.
            return False
        return False


class BoundedPool(urllib3.HTTPConnectionPool):
    """A pool of BoundedConnections."""

    ConnectionCls = BoundedConnection
