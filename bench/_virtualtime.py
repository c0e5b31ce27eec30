"""Green threads in virtual time, and streams between them without sockets."""

import random
import socket
import types

import eventlet
from eventlet import event, hubs
from eventlet.hubs import hub as base

# Timers of the same time run in the order in which they were set.
TIMER_ORDER_S = 1e-10
# A segment that is lost is sent again until this long after it; then the stream is given up.
RETRANSMIT_S = 2.0

# One way between two hosts whose links are sound.
MIN_DELAY_S = 0.004
MAX_DELAY_S = 0.064


class _OrderedSet(dict):
    def add(self, item):
        self[item] = True

    def discard(self, item):
        self.pop(item, None)

    def remove(self, item):
        del self[item]


class Event(event.Event):
    """An event whose waiters wake in the order in which they came."""

    def __init__(self):
        super().__init__()
        self._waiters = _OrderedSet()


class VirtualHub(base.BaseHub):
    """A hub whose clock jumps to the next timer."""

    virtual_now = 0.0

    def __init__(self, clock=None):
        super().__init__(clock=read_clock)
        self._timer_count = 0

    def add_timer(self, timer):
        """See BaseHub; timers of the same time would run in the order of their addresses."""
        self._timer_count += 1
        scheduled_at = read_clock() + timer.seconds + TIMER_ORDER_S * self._timer_count
        self.next_timers.append((scheduled_at, timer))
        return scheduled_at

    @staticmethod
    def is_available():
        """Returns True, as the hub needs nothing of the system."""
        return True

    def wait(self, seconds=None):
        """Advances the clock; nothing comes from outside."""
        if seconds:
            VirtualHub.virtual_now += seconds


def read_clock():
    """Returns the virtual time in seconds."""
    return VirtualHub.virtual_now


def start():
    """Makes the hub of this thread a new one in virtual time; pending timers are dropped."""
    VirtualHub.virtual_now = 1_000.0
    hubs.use_hub(VirtualHub)


TIME = types.SimpleNamespace(monotonic=read_clock)


class Network:
    """Streams between addresses.

    Args:
      seed: Seed of the delays.

    Attributes:
      cuts: Dict of the time until which a pair of addresses can't reach each other.
      delays: Dict of the extra seconds of all that arrives at an address.
      opened: Function that is called with each Stream as it is opened or accepted.
      find_own_address: Function that returns the address of the host whose code runs.
    """

    def __init__(self, seed):
        self._random = random.Random(f"network {seed}")
        self._listeners = {}
        self.cuts = {}
        self.delays = {}
        self.opened = lambda stream: None
        self.find_own_address = lambda: None

    def listen(self, address, backlog=None):
        """Replaces eventlet.listen."""
        del backlog
        listener = self._listeners[address] = _Listener(self, address)
        return listener

    def create_connection(self, address, timeout_s, source=None):
        """Replaces socket.create_connection."""
        listener = self._listeners.get(address)
        delay_s, return_s = self.find_delay(source, address), self.find_delay(address, source)
        if delay_s is None or return_s is None or delay_s + return_s >= timeout_s:
            eventlet.sleep(timeout_s)
            raise TimeoutError("no answer to the connection")
        eventlet.sleep(delay_s + return_s)
        if listener is None or listener.is_closed:
            raise ConnectionRefusedError("refused")
        near, far = Stream(self, source, address), Stream(self, address, source)
        near.peer, far.peer = far, near
        self.opened(near)
        listener.put(far)
        return near

    def find_delay(self, source, address):
        """Returns the delay of a message, or None if it is lost."""
        now = read_clock()
        blocked_until = self.cuts.get(frozenset((source, address)), 0.0)
        if blocked_until > now + RETRANSMIT_S:
            return None
        delay_s = MIN_DELAY_S + self._random.random() * (MAX_DELAY_S - MIN_DELAY_S)
        delay_s += self.delays.get(address, 0.0) * self._random.random()
        return max(0.0, blocked_until - now) + delay_s


class _Listener:
    def __init__(self, network, address):
        self._network = network
        self._address = address
        self._waiting = []
        self._event = Event()
        self.is_closed = False

    def getsockname(self):
        return self._address

    def setsockopt(self, *option):
        """Does nothing: options bound what the kernel holds, and there is no kernel."""

    def put(self, stream):
        self._waiting.append(stream)
        if not self._event.ready():
            self._event.send()

    def accept(self):
        while not self._waiting:
            self._event = Event()
            self._event.wait()
        stream = self._waiting.pop(0)
        self._network.opened(stream)
        return stream, stream.remote

    def close(self):
        self.is_closed = True


class Stream:
    """One end of a stream; also its own reader, as _fairreads.FairReader is."""

    def __init__(self, network, local, remote):
        self._network = network
        self.local = local
        self.remote = remote
        self.peer = None
        self._data = bytearray()
        self._arrives_at = 0.0
        self._is_ended = False
        self._is_broken = False
        self._event = Event()

    def setsockopt(self, *_):
        """Does nothing."""

    def shutdown(self, _):
        """Ends the stream in both directions."""
        self.close()

    def settimeout(self, _):
        """Does nothing."""

    def sendall(self, data):
        """Sends bytes; raises OSError on a stream that is broken."""
        if self._is_broken:
            raise ConnectionResetError("broken")
        self._transmit(self.peer.receive, bytes(data))

    def close(self):
        """Closes this end."""
        if not self._is_broken:
            self._transmit(self.peer.receive, None)
        self._is_broken = True

    def vanish(self):
        """Ends without a word, as a machine without power."""
        self._is_broken = True

    def _transmit(self, function, data):
        delay_s = self._network.find_delay(self.local, self.remote)
        if delay_s is None:
            self._is_broken = True
            return
        self._arrives_at = max(self._arrives_at, read_clock() + delay_s)
        hubs.get_hub().schedule_call_global(self._arrives_at - read_clock(), function, data)

    def receive(self, data):
        """Takes bytes that have arrived, or None at the end of the stream."""
        if data is None:
            self._is_ended = True
        else:
            self._data += data
        if not self._event.ready():
            self._event.send()

    def read_exactly(self, size, deadline):
        """See _fairreads.FairReader."""
        while len(self._data) < size:
            if self._is_ended:
                raise EOFError("stream ended")
            self._event = Event()
            with eventlet.Timeout(max(0.0, deadline - read_clock()), TimeoutError("no bytes")):
                self._event.wait()
        data = bytes(self._data[:size])
        del self._data[:size]
        return data


def make_socket_module(network):
    """Returns what following uses of the module socket."""

    def create_connection(address, timeout_s):
        return network.create_connection(address, timeout_s, network.find_own_address())

    return types.SimpleNamespace(
        create_connection=create_connection,
        IPPROTO_TCP=socket.IPPROTO_TCP,
        TCP_NODELAY=socket.TCP_NODELAY,
        TCP_USER_TIMEOUT=socket.TCP_USER_TIMEOUT,
        SOL_SOCKET=socket.SOL_SOCKET,
        SO_RCVBUF=socket.SO_RCVBUF,
        SHUT_RDWR=socket.SHUT_RDWR,
    )
