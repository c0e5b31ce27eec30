"""A loopback TCP proxy that can delay, block (both ways or one way) or reset its connections."""

import enum
import struct

import eventlet
from eventlet.green import socket

READ_BYTES = 65_536
DELAY_S = 0.3
POLL_S = 0.02
BACKLOG = 50
_ABORT_LINGER = struct.pack("ii", 1, 0)


class Mode(enum.Enum):
    """What the proxy does with the bytes of all connections.

    SILENT holds back both directions, ONE_WAY only the bytes from the target, and TOWARD_TARGET
    only those to it.
    """

    PASS = "pass"
    DELAY = "delay"
    SILENT = "silent"
    ONE_WAY = "one_way"
    TOWARD_TARGET = "toward_target"
    RESET = "reset"


class Proxy:
    """Forwards connections to a target.

    Args:
      target: IP address and port.
      ip: IP address to listen on.

    Attributes:
      mode: The current Mode; set it with ``set_mode``.
      delay_s: Delay of all bytes in either direction, in seconds; it is no fault.
    """

    def __init__(self, target, ip="127.0.0.1"):
        self.target = target
        self.mode = Mode.PASS
        self.delay_s = 0.0
        self._pairs = set()
        self._socket = eventlet.listen((ip, 0))
        self.address = self._socket.getsockname()
        self._thread = eventlet.spawn(self._accept)

    def set_mode(self, mode):
        """Changes the mode; entering RESET resets the open connections."""
        self.mode = mode
        if mode is Mode.RESET:
            for pair in list(self._pairs):
                for connection in pair:
                    _reset(connection)

    def stop(self):
        """Stops listening and resets all connections."""
        self._thread.kill()
        self._socket.close()
        self.set_mode(Mode.RESET)

    def refuse(self):
        """Resets all connections and refuses new ones until ``listen_again``."""
        self.stop()
        # A socket that is bound and doesn't listen keeps the port from other processes.
        self._socket = socket.socket()
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.bind(self.address)

    def listen_again(self, target):
        """Accepts connections at the same address again and forwards them to another target."""
        self.target = target
        self.mode = Mode.PASS
        self._socket.listen(BACKLOG)
        self._thread = eventlet.spawn(self._accept)

    def _accept(self):
        while True:
            client, _ = self._socket.accept()
            if self.mode is Mode.RESET:
                client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _ABORT_LINGER)
                client.close()
                continue
            eventlet.spawn_n(self._forward, client)

    def _forward(self, client):
        try:
            server = socket.create_connection(self.target)
        except OSError:
            # The target is down; a reset shows this to the client.
            client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _ABORT_LINGER)
            client.close()
            return
        pair = (client, server)
        self._pairs.add(pair)
        backward = eventlet.spawn(self._pump, server, client, False)
        self._pump(client, server, True)
        backward.wait()
        self._pairs.discard(pair)
        client.close()
        server.close()

    def _pump(self, source, sink, is_toward_target):
        try:
            while True:
                data = source.recv(READ_BYTES)
                if self.delay_s:
                    eventlet.sleep(self.delay_s)
                if self.mode is Mode.DELAY:
                    eventlet.sleep(DELAY_S)
                while self._is_blocked(is_toward_target):
                    eventlet.sleep(POLL_S)
                if not data:
                    sink.shutdown(socket.SHUT_WR)
                    return
                sink.sendall(data)
        except OSError:
            # One side has closed its connection; reset the other one.
            _reset(sink)

    def _is_blocked(self, is_toward_target):
        blocking = Mode.TOWARD_TARGET if is_toward_target else Mode.ONE_WAY
        return self.mode in (Mode.SILENT, blocking)


def _reset(connection):
    try:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _ABORT_LINGER)
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        # The socket is already closed.
        return
