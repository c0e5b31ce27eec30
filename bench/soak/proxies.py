"""A loopback TCP proxy whose connections can be delayed, silenced, cut one way or reset."""

import enum
import struct

import eventlet
from eventlet.green import socket

READ_BYTES = 65_536
DELAY_S = 0.3
POLL_S = 0.02
_RESET = struct.pack("ii", 1, 0)


class Mode(enum.Enum):
    """What happens to the bytes of all connections."""

    PASS = "pass"
    DELAY = "delay"
    SILENT = "silent"
    ONE_WAY = "one_way"
    RESET = "reset"


class Proxy:
    """Forwards connections to a target.

    Args:
      target: IP address and port.
      ip: IP address to listen on.

    Attributes:
      mode: The Mode in force; set it with ``set_mode``.
    """

    def __init__(self, target, ip="127.0.0.1"):
        self.target = target
        self.mode = Mode.PASS
        self._pairs = set()
        self._socket = eventlet.listen((ip, 0))
        self.address = self._socket.getsockname()
        self._thread = eventlet.spawn(self._accept)

    def set_mode(self, mode):
        """Changes the mode; entering RESET resets the open connections."""
        self.mode = mode
        if mode is Mode.RESET:
            for pair in list(self._pairs):
                for end in pair:
                    _reset(end)

    def stop(self):
        """Stops listening and resets all connections."""
        self._thread.kill()
        self._socket.close()
        self.set_mode(Mode.RESET)

    def _accept(self):
        while True:
            client, _ = self._socket.accept()
            if self.mode is Mode.RESET:
                client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
                client.close()
                continue
            eventlet.spawn_n(self._forward, client)

    def _forward(self, client):
        try:
            server = socket.create_connection(self.target)
        except OSError:
            # The target is down, which the client is to see as a refused connection.
            client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
            client.close()
            return
        pair = (client, server)
        self._pairs.add(pair)
        back = eventlet.spawn(self._pump, server, client, False)
        self._pump(client, server, True)
        back.wait()
        self._pairs.discard(pair)
        client.close()
        server.close()

    def _pump(self, source, sink, is_outward):
        try:
            while True:
                data = source.recv(READ_BYTES)
                if self.mode is Mode.DELAY:
                    eventlet.sleep(DELAY_S)
                while self._holds(is_outward):
                    eventlet.sleep(POLL_S)
                if not data:
                    sink.shutdown(socket.SHUT_WR)
                    return
                sink.sendall(data)
        except OSError:
            # One side is gone: the other one is to see that as a reset.
            _reset(sink)

    def _holds(self, is_outward):
        return self.mode is Mode.SILENT or (self.mode is Mode.ONE_WAY and not is_outward)


def _reset(end):
    try:
        end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        end.shutdown(socket.SHUT_RDWR)
    except OSError:
        # It is closed already.
        return
