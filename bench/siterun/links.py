"""Links between the clients of a run and its hosts: a relay, and properties of the sockets."""

import collections
import contextlib
import struct
import time

import eventlet
from eventlet import queue
from eventlet.green import socket

from bench.siterun.conditions import Condition
from bench.soak import channels, hosts

READ_BYTES = 16_384
# Chunks of one direction that the relay holds; it reads on once there is room.
MAX_HELD_CHUNKS = 8
# Delay of the relay in either direction.
DELAY_S = 0.002
# Share of the chunks before which one direction stands still, and for how long.
STANDSTILL_SHARE = 0.01
STANDSTILLS_S = (0.1, 1.0)
# Share of the connections whose side to the host the relay holds open after their client has
# left, and for how long.
HOLDING_SHARE = 0.3
HOLDING_S = (0.1, 2.0)
# Share of the connections on which the relay's window is small, so that a direction that stands
# still leaves the host without room.
SMALL_WINDOW_SHARE = 0.5
SMALL_WINDOW_BYTES = 4_096
# Connecting takes longer if the kernel has to send the first segment again, after 1 s. The client
# has sent a request meanwhile that no host has got.
USUAL_CONNECT_S = 0.05
RELAY_NUMBER = 200
# Sizes of segments from the host and of receive buffers.
SEGMENT_BYTES = (128, 536)
RECEIVE_BYTES = (2_304, 8_192)
# Binds an address only (linux/in.h); the kernel draws the port as it connects.
_IP_BIND_ADDRESS_NO_PORT = 24
_RESET_LINGER = struct.pack("ii", 1, 0)


class ClientLinks:
    """How one client reaches hosts.

    Args:
      rng: Random generator of the client.
      played: Names of the conditions.Condition items that are played.
      relay: The Relay of its process, or None.
    """

    def __init__(self, rng, played, relay=None):
        self._rng = rng
        self._has_small_segments = Condition.SMALL_SEGMENTS in played
        self._relay = relay

    def prepare(self, client):
        """Sets the properties of a socket that is not connected yet."""
        if self._has_small_segments:
            segment_bytes = self._rng.randint(*SEGMENT_BYTES)
            client.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, segment_bytes)
            receive_bytes = self._rng.randint(*RECEIVE_BYTES)
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)

    def find_address(self, host):
        """Returns the address to connect to in order to reach a host's IP address."""
        return self._relay.addresses[host] if self._relay else (host, hosts.FIRST_PORT)

    def find_pauses(self, client):
        """Returns the list of pairs of begin and end of the standstills of a connected socket."""
        return self._relay.pauses[client.getsockname()] if self._relay else []

    def wrap(self, receiver, client):
        """Returns the receiver of a connected socket with what the link does to it."""
        return _DelayedAcknowledger(receiver, client) if self._has_small_segments else receiver


class _DelayedAcknowledger:
    """Reads from another receiver, and has the kernel delay its acknowledgements.

    The kernel goes back to quick ones by itself, so they are switched off before each read.
    """

    def __init__(self, receiver, client):
        self._receiver = receiver
        self._client = client

    def recv(self, size):
        with contextlib.suppress(OSError):
            self._client.setsockopt(socket.IPPROTO_TCP, socket.TCP_QUICKACK, 0)
        return self._receiver.recv(size)


class Relay:
    """A TCP relay in front of hosts, as a load balancer is; the hosts see its address.

    It passes ends of streams and resets on. A direction stands still at times, as one whose
    segments are lost and sent again does.

    Args:
      rng: Random generator.
      targets: Pairs of IP address and zone of the hosts.

    Attributes:
      addresses: Dict of the address to connect to by the host's IP address.
      pauses: Dict of lists of pairs of begin and end of the standstills of a connection, in
        monotonic seconds, by the address of the client's side.
    """

    def __init__(self, rng, targets):
        self.addresses = {}
        self.pauses = collections.defaultdict(list)
        self._rng = rng
        for host, _ in targets:
            own_ip = f"{host.rpartition('.')[0]}.{RELAY_NUMBER}"
            listener = eventlet.listen((own_ip, 0), backlog=512)
            self.addresses[host] = listener.getsockname()
            eventlet.spawn_n(self._accept, listener, own_ip, host)

    def _accept(self, listener, own_ip, host):
        while True:
            client, address = listener.accept()
            eventlet.spawn_n(self._forward, client, address, own_ip, host)

    def _forward(self, client, address, own_ip, host):
        begins_at = time.monotonic()
        pauses = self.pauses[address]
        try:
            server = self._connect(own_ip, host)
        except OSError:
            # The host is down; a reset shows this to the client.
            server = None
        if time.monotonic() > begins_at + USUAL_CONNECT_S:
            pauses.append((begins_at, time.monotonic()))
        if server is None:
            _reset(client)
            return
        for end in (client, server):
            end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        near, far = channels.Receiver(client, False), channels.Receiver(server, False)
        backward = eventlet.spawn(self._pass_on, (far, server), (near, client), pauses, False)
        self._pass_on((near, client), (far, server), pauses, True)
        backward.wait()
        client.close()
        server.close()

    def _connect(self, own_ip, host):
        server = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            server.setsockopt(socket.IPPROTO_IP, _IP_BIND_ADDRESS_NO_PORT, 1)
            if self._rng.random() < SMALL_WINDOW_SHARE:
                server.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_WINDOW_BYTES)
            server.bind((own_ip, 0))
            server.connect((host, hosts.FIRST_PORT))
        except OSError:
            server.close()
            raise
        return server

    def _pass_on(self, source, sink, pauses, is_toward_host):
        """Passes the bytes of one direction on, and its end.

        Args:
          source: The channels.Receiver and the socket that are read.
          sink: Those that are written.
          pauses: List that receives pairs of begin and end of standstills.
          is_toward_host: Whether the sink is a host.
        """
        held = queue.LightQueue(MAX_HELD_CHUNKS)
        reader = eventlet.spawn(_read, source[0], held)
        try:
            while True:
                due, data = held.get()
                eventlet.sleep(max(0.0, due - time.monotonic()))
                if self._rng.random() < STANDSTILL_SHARE:
                    ends_at = time.monotonic() + self._rng.uniform(*STANDSTILLS_S)
                    # The connection may end by the other direction meanwhile.
                    pauses.append((time.monotonic(), ends_at))
                    eventlet.sleep(ends_at - time.monotonic())
                if data is None:
                    if is_toward_host:
                        self._hold()
                    _reset(sink[1])
                    return
                if not data:
                    sink[0].end_sending()
                    return
                sink[1].sendall(data)
        except OSError:
            # The receiving side has left.
            if not is_toward_host:
                self._hold()
            _reset(source[1])
        finally:
            reader.kill()

    def _hold(self):
        """Keeps a side open for a while, at times."""
        if self._rng.random() < HOLDING_SHARE:
            eventlet.sleep(self._rng.uniform(*HOLDING_S))


def _read(receiver, held):
    """Reads one direction; holds None for a reset and empty bytes for its end."""
    data = b"."
    while data:
        try:
            data = receiver.recv(READ_BYTES)
        except OSError:
            data = None
        held.put((time.monotonic() + DELAY_S, data))


def _reset(connection):
    """Closes a connection by a reset."""
    with contextlib.suppress(OSError):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_LINGER)
    connection.close()
