"""A process that floods many connections at the same time.

Threads of the tests' own process would compete with the code under test for the interpreter.
"""

import selectors
import socket
import subprocess
import sys

PORTION_BYTES = 65_536
_RECEIVE_BYTES = 65_536


class Flood:
    """Runs the process; the connections are made by ``listen`` or ``connect``.

    Args:
      head: First bytes that each connection sends.
      unit: Bytes that follow again and again.
      address: IP address and port to connect to, or None to listen on one.
      count: Number of connections to open to ``address``.

    Attributes:
      address: The address to which the process has connected or on which it listens.
    """

    def __init__(self, head, unit, address=None, count=0):
        target = f"{address[0]}:{address[1]}" if address else "listen"
        self._process = subprocess.Popen(
            [sys.executable, "-m", "standins.flood", head.hex(), unit.hex(), target, str(count)],
            stdout=subprocess.PIPE,
            text=True,
        )
        host, _, port = self._process.stdout.readline().strip().rpartition(":")
        self.address = (host, int(port))

    def stop(self):
        """Ends the process."""
        self._process.kill()
        self._process.wait()
        self._process.stdout.close()


class _Sender:
    """Sends on all connections whose peer accepts bytes; those accepted wait for a request."""

    def __init__(self, head, unit):
        self._head = head
        self._portion = unit * max(1, PORTION_BYTES // len(unit))
        self._selector = selectors.DefaultSelector()

    def listen(self):
        listener = socket.create_server(("127.0.0.1", 0), backlog=512)
        self._selector.register(listener, selectors.EVENT_READ)
        return listener.getsockname()

    def connect(self, address, count):
        for _ in range(count):
            self._add(socket.create_connection(address), selectors.EVENT_WRITE)
        return address

    def run(self):
        while True:
            for key, mask in self._selector.select():
                try:
                    self._handle(key, mask)
                except OSError:
                    # The other side has closed the connection.
                    self._selector.unregister(key.fileobj)
                    key.fileobj.close()

    def _add(self, connection, events):
        connection.setblocking(False)
        self._selector.register(connection, events, bytearray(self._head))

    def _handle(self, key, mask):
        if key.data is None:
            self._add(key.fileobj.accept()[0], selectors.EVENT_READ)
        elif mask & selectors.EVENT_READ:
            if not key.fileobj.recv(_RECEIVE_BYTES):
                raise ConnectionError("closed")
            self._selector.modify(key.fileobj, selectors.EVENT_WRITE, key.data)
        else:
            if len(key.data) < PORTION_BYTES:
                key.data.extend(self._portion)
            del key.data[: key.fileobj.send(key.data)]


def main():
    """Runs a flood until the process is ended; prints its address first."""
    head, unit, target, count = sys.argv[1:]
    sender = _Sender(bytes.fromhex(head), bytes.fromhex(unit))
    if target == "listen":
        address = sender.listen()
    else:
        host, _, port = target.rpartition(":")
        address = sender.connect((host, int(port)), int(count))
    print(f"{address[0]}:{address[1]}", flush=True)
    sender.run()


if __name__ == "__main__":
    main()
