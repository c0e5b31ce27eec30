"""One connection of a client, with the requests on it that wait for their answers."""

import collections
import time

import eventlet
from eventlet import hubs
from eventlet.green import socket

from bench.soak.lossrule import End
from standins import platformdata

CONNECT_TIMEOUT_S = 1.0
# Longer than the longest deadline in the requests.
ANSWER_TIMEOUT_S = 4.0
# A slow client has a small receive buffer, and reads this much with a pause before each part.
SLOW_BUFFER_BYTES = 8_192
SLOW_READ_BYTES = 16_384
SLOW_PAUSE_S = 0.01
# State of a connection that was reset, in the first byte of what TCP_INFO returns.
TCP_CLOSE = 7


class Channel:
    """A connection to a host.

    Args:
      address: IP address and port of the host.
      host: Number of the host.
      is_slow: Whether the client reads slowly.
      timeout_s: Time without any bytes after which the client gives up, in seconds.

    Attributes:
      waiting: The records.ClientRequest items that have no answer yet, in the order of sending.
      is_open: False after an answer with ``Connection: close``, or after the end of the connection.
    """

    def __init__(self, address, host, is_slow=False, timeout_s=ANSWER_TIMEOUT_S):
        self.host = host
        self.waiting = collections.deque()
        self.is_open = True
        self._is_kept = False
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        if is_slow:
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_BUFFER_BYTES)
        self._socket.settimeout(CONNECT_TIMEOUT_S)
        try:
            self._socket.connect(address)
        except OSError:
            self._socket.close()
            raise
        self._socket.settimeout(timeout_s)
        self._reader = platformdata.AnswerReader(Receiver(self._socket, is_slow))

    def close(self):
        """Closes the connection."""
        self._socket.close()

    def send(self, request, parts, draw_pause_s=None):
        """Sends a request and records when it was complete.

        Args:
          request: The ClientRequest.
          parts: The bytes to send, as a list.
          draw_pause_s: Function that returns the pause after a part in seconds, or None.
        """
        request.sent_at = time.monotonic()
        request.is_behind = bool(self.waiting)
        request.is_kept, self._is_kept = self._is_kept, True
        if not self.is_open:
            request.ended_at = request.sent_at
            return
        self.waiting.append(request)
        try:
            for index, part in enumerate(parts):
                if index and draw_pause_s is not None:
                    eventlet.sleep(draw_pause_s())
                self._socket.sendall(part)
            request.completed_at = time.monotonic()
        except OSError:
            # The host has closed the connection; what it sent before is still read.
            return

    def read_answer(self):
        """Reads the answer to the first waiting request, or records how all of them ended."""
        request = self.waiting[0]
        is_last = True
        try:
            request.status, headers, request.body = self._reader.read()
            request.is_signed = platformdata.is_signed(headers)
            is_last = headers.get("connection") == "close"
            self._end_first(End.ANSWERED)
            end = End.HOST_CLOSED
        except EOFError:
            end = End.HOST_CLOSED
        except OSError as error:
            end = End.CLIENT_LEFT if _is_own_timeout(error) else End.HOST_RESET
        if is_last:
            self.is_open = False
            while self.waiting:
                self._end_first(end)

    def _end_first(self, end):
        request = self.waiting.popleft()
        request.ended_at = time.monotonic()
        request.end = end


class Receiver:
    """The receiving side of a socket, on which a reset drops what the client has not read yet.

    A reset overtakes the bytes before it on real networks, and never on the loopback device.
    """

    def __init__(self, client, is_slow):
        self._client = client
        self._is_slow = is_slow
        self._has_ended_sending = False

    def end_sending(self):
        """Ends the sending side of the socket, on which the other side's end is no reset."""
        self._has_ended_sending = True
        self._client.shutdown(socket.SHUT_WR)

    def recv(self, size):
        """Returns the next bytes.

        Raises:
          ConnectionResetError: If the host has reset the connection.
          TimeoutError: If nothing has arrived within the time-out of the socket.
        """
        if self._is_slow:
            eventlet.sleep(SLOW_PAUSE_S)
            size = SLOW_READ_BYTES
        self._check_reset()
        data = self._receive(size)
        if not data:
            # The sender may have met the reset before.
            self._check_reset()
        return data

    def _check_reset(self):
        """Raises a ConnectionResetError if the connection was reset.

        The kernel shows a connection that both sides have ended in the same state, but without an
        error.
        """
        if self._client.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] != TCP_CLOSE:
            return
        error = self._client.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error or not self._has_ended_sending:
            raise ConnectionResetError("the host reset the connection")

    def _receive(self, size):
        """Receives past green sockets, which show a reset as an end of the stream."""
        timeout_s = self._client.gettimeout()
        timeout = None
        while True:
            try:
                return self._client.fd.recv(size)
            except BlockingIOError:
                if timeout is not None:
                    raise timeout from None
            try:
                hubs.trampoline(
                    self._client.fd, read=True, timeout=timeout_s, timeout_exc=TimeoutError
                )
            except TimeoutError as error:
                # Bytes may have arrived while this process was late.
                timeout = error


def _is_own_timeout(error):
    """Returns True for the time-out of a socket, which has no error number.

    The kernel's end of a connection by time is a TimeoutError with such a number.
    """
    return isinstance(error, TimeoutError) and error.errno is None
