"""Connections of a run's clients to hosts, with the requests on them that wait for answers."""

import collections
import dataclasses
import time

import eventlet
from eventlet import event, queue
from eventlet.green import socket

from bench.siterun import endings, records, windows
from bench.siterun.standstills import sum_standstills
from bench.soak import channels
from standins import platformdata

CONNECT_TIMEOUT_S = 1.0
# Clients reuse connections that were idle for up to four fifths of the limit of 2 s.
REUSE_IDLE_S = 1.6
MAX_PART_PAUSE_S = 0.05


@dataclasses.dataclass(slots=True)
class Exchange:
    """An attempt on its way; ``ended`` is sent once it has ended."""

    attempt: records.Attempt
    ended: event.Event = dataclasses.field(default_factory=event.Event)
    retry_after_s: float = 0.0

    def end(self, how):
        self.attempt.ended_at = time.monotonic()
        self.attempt.end = how
        if not self.ended.ready():
            self.ended.send()


class _DelayedReceiver:
    """Delivers the bytes of a receiver a link's delay after their arrival."""

    def __init__(self, receiver, delay_s):
        self._receiver = receiver
        self._delay_s = delay_s

    def recv(self, size):
        try:
            return self._receiver.recv(size)
        finally:
            eventlet.sleep(self._delay_s)


class Connection:
    """A connection to a host behind a link with a delay; raises OSError if it can't be opened.

    Args:
      host: IP address of the host.
      delay_s: Delay of the link in seconds.
      is_slow: Whether the client reads slowly.
      window_rng: Random generator for a small receive window, or None for a usual one.
      client_links: The links.ClientLinks of the client.
    """

    def __init__(self, host, delay_s, is_slow, window_rng, client_links):
        self.host = host
        self.waiting = collections.deque()
        self.is_open = True
        self.used_at = time.monotonic()
        self._delay_s = delay_s
        self.is_kept = False
        self._has_left = False
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        window_bytes = windows.draw_window(window_rng) if window_rng else channels.SLOW_BUFFER_BYTES
        if is_slow or window_rng:
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, window_bytes)
        client_links.prepare(self._socket)
        self._socket.settimeout(CONNECT_TIMEOUT_S)
        try:
            self._socket.connect(client_links.find_address(host))
        except OSError:
            self._socket.close()
            raise
        eventlet.sleep(2 * delay_s)
        self._socket.settimeout(None)
        self._receiver = channels.Receiver(self._socket, is_slow)
        receiver = _DelayedReceiver(client_links.wrap(self._receiver, self._socket), delay_s)
        self._pauses = [client_links.find_pauses(self._socket)]
        if window_rng:
            receiver = windows.WindowReceiver(receiver, window_bytes, 2 * delay_s, window_rng)
            self._pauses.append(receiver.pauses)
        self._reader = platformdata.AnswerReader(receiver)
        self._unsent = queue.LightQueue()
        self._sender = eventlet.spawn(self._send_parts)
        self._reading = eventlet.spawn(self._read_answers)

    def is_reusable(self, addresses, most_waiting):
        """Returns True if a further request may be sent on the connection."""
        if not self.is_open or self.host not in addresses:
            return False
        if self.waiting:
            return len(self.waiting) < most_waiting
        return time.monotonic() < self.used_at + REUSE_IDLE_S

    def send(self, attempt, parts, rng, draw_half_close):
        """Sends an attempt in parts with pauses; returns its Exchange.

        Args:
          attempt: The records.Attempt.
          parts: The bytes to send, as a list.
          rng: Random generator for the pauses.
          draw_half_close: Function that returns the endings.HalfClose behind the attempt.
        """
        self.is_kept = True
        exchange = Exchange(attempt)
        self.waiting.append(exchange)
        begins_at = time.monotonic() + self._delay_s
        pauses_s = [rng.uniform(0.0, MAX_PART_PAUSE_S) for _ in parts]
        half_close = draw_half_close(attempt)
        attempt.is_half_closed = half_close is not endings.HalfClose.NONE
        if attempt.is_last or attempt.is_half_closed:
            self.is_open = False
        for index, part in enumerate(parts):
            due = begins_at + sum(pauses_s[:index])
            if index == len(parts) - 1:
                self._unsent.put((due, part, exchange, half_close))
            else:
                self._unsent.put((due, part, None, endings.HalfClose.NONE))
        return exchange

    def leave(self, way=endings.Way.CLOSE):
        """Ends the connection as its client gives up, in a way of endings.Way."""
        self._has_left = True
        self.is_open = False
        if way is endings.Way.CLOSE:
            self._close(records.End.CLIENT_LEFT)
            return
        self._end_waiting(records.End.CLIENT_LEFT)
        self._reading.kill()
        self._sender.kill()
        eventlet.spawn_n(endings.end_connection, self._socket, way)

    def _send_parts(self):
        while True:
            due, data, completed, half_close = self._unsent.get()
            eventlet.sleep(max(0.0, due - time.monotonic()))
            is_joined = half_close is endings.HalfClose.WITH_LAST_BYTE
            try:
                # The kernel holds these bytes back until the end of the stream follows them.
                self._socket.sendall(data, socket.MSG_MORE if is_joined else 0)
                if half_close is not endings.HalfClose.NONE:
                    self._receiver.end_sending()
            except OSError:
                # The host has closed the connection; what it sent before is still read.
                return
            if completed is not None:
                completed.attempt.completed_at = time.monotonic() - self._delay_s
            if half_close is not endings.HalfClose.NONE:
                return

    def _read_answers(self):
        end = records.End.HOST_CLOSED
        try:
            while self._read_answer():
                pass
        except EOFError:
            end = records.End.HOST_CLOSED
        except OSError:
            end = records.End.HOST_RESET
        except (ValueError, KeyError, IndexError):
            end = records.End.NO_ANSWER
        self._close(records.End.CLIENT_LEFT if self._has_left else end)

    def _read_answer(self):
        """Reads one answer; returns whether the connection stays open."""
        status, headers, _ = self._reader.read()
        if not self.waiting:
            # It belongs to a request whose client has left.
            return False
        exchange = self.waiting.popleft()
        exchange.attempt.status = status
        exchange.attempt.is_signed = platformdata.is_signed(headers)
        exchange.retry_after_s = float(headers.get("retry-after", "0"))
        self.used_at = time.monotonic()
        is_last = headers.get("connection") == "close"
        if is_last:
            self.is_open = False
        exchange.end(records.End.ANSWERED)
        return not is_last

    def _close(self, end):
        self.is_open = False
        self._sender.kill()
        self._socket.close()
        self._end_waiting(end)

    def _end_waiting(self, end):
        while self.waiting:
            exchange = self.waiting.popleft()
            exchange.end(end)
            attempt = exchange.attempt
            attempt.standstill_s = max(sum_standstills(item, attempt) for item in self._pauses)
