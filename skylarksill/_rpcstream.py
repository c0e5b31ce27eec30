"""Handshake and framing of one connection between processes of a deployment."""

import contextlib
import dataclasses
import hmac
import os
import struct

from eventlet import semaphore
from eventlet.green import socket

from skylarksill import frames, records

MAX_HELLO_BYTES = 1024

_HELLO_LENGTH = struct.Struct(">H")


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Identifies one process: its program (``part``), host and incarnation."""

    part: str
    host: records.HostId
    incarnation: records.Incarnation


class RpcError(records.SkylarksillError):
    """A call failed."""


class CallNotSentError(RpcError):
    """The call was not sent to the called process, so it was not executed."""


class CallLostError(RpcError):
    """No answer was received to a call that may have been sent; it may have been executed."""

    verdict = records.Verdict.MAY_HAVE_RUN


class CallFailedError(RpcError):
    """The called process answered with an error.

    Attributes:
      reason: Short name of the error.
      detail: Text for people who read the error.
    """

    verdict = records.Verdict.MAY_HAVE_RUN

    def __init__(self, reason, detail):
        super().__init__(f"{reason}: {detail}")
        self.reason = reason
        self.detail = detail


class Stream:
    """One authenticated connection that carries frames in both directions."""

    def __init__(self, connection, peer, write_key, read_key):
        self.peer = peer
        self._connection = connection
        self._writer = frames.FrameWriter(write_key)
        self._reader = frames.FrameReader(read_key, ExactReader(connection).read)
        self._write_lock = semaphore.Semaphore(1)

    def send(self, value):
        """Writes one frame.

        Raises:
          OSError: If the connection is broken.
          frames.FrameError: If the value is too long for a frame; nothing is written in this case.
        """
        with self._write_lock:
            self._connection.sendall(self._writer.encode(value))

    def receive(self):
        """Reads one frame.

        Raises:
          OSError, frames.StreamEndError, frames.FrameError: If the connection has ended or can no
            longer be used.
        """
        return self._reader.read()

    def close(self):
        """Shuts the connection down, so that concurrent sends and receives fail.

        The file descriptor stays open until ``release``. If it were closed while a green thread
        waits for it, eventlet would report the close to the next socket that gets its number.
        """
        shut_down_connection(self._connection)

    def release(self):
        """Closes the file descriptor; called by the reading green thread when it ends."""
        self.close()
        with self._write_lock:
            self._connection.close()


class ExactReader:
    """Buffered reader that returns exactly the requested number of bytes of a socket."""

    def __init__(self, connection):
        self._connection = connection
        self._buffer = bytearray()

    def read(self, count):
        """Returns the next ``count`` bytes.

        Raises:
          frames.StreamEndError: If the stream ends before that many bytes.
        """
        while len(self._buffer) < count:
            chunk = self._connection.recv(65536)
            if not chunk:
                raise frames.StreamEndError("the other side closed the connection")
            self._buffer += chunk
        data = bytes(self._buffer[:count])
        del self._buffer[:count]
        return data


def shut_down_connection(connection):
    """Shuts a socket down; ignores the error of a socket that is no longer connected."""
    with contextlib.suppress(OSError):
        connection.shutdown(socket.SHUT_RDWR)


def close_connection(connection):
    """Shuts down and closes a socket that no other green thread waits for."""
    shut_down_connection(connection)
    connection.close()


def connect_stream(connection, shared_key, identity):
    """Performs the connecting side of the handshake.

    Returns:
      The authenticated stream.
    Raises:
      OSError, frames.StreamEndError, frames.FrameError: If the handshake fails.
    """
    client_nonce = os.urandom(frames.NONCE_BYTES)
    _send_hello(connection, identity, client_nonce, b"")
    hello = _receive_hello(connection)
    server_nonce = hello["nonce"]
    peer = _parse_identity(hello)
    proof = _compute_proof(shared_key, client_nonce, server_nonce, peer)
    if not hmac.compare_digest(proof, hello["proof"]):
        raise frames.FrameError("the accepting side does not hold the shared key")
    stream = _open_stream(connection, peer, shared_key, client_nonce, server_nonce, b"client")
    stream.send({"identity": dataclasses.asdict(identity)})
    return stream


def accept_stream(connection, shared_key, identity):
    """Performs the accepting side of the handshake.

    Returns:
      The authenticated stream.
    Raises:
      OSError, frames.StreamEndError, frames.FrameError: If the handshake fails.
    """
    hello = _receive_hello(connection)
    client_nonce = hello["nonce"]
    server_nonce = os.urandom(frames.NONCE_BYTES)
    proof = _compute_proof(shared_key, client_nonce, server_nonce, identity)
    _send_hello(connection, identity, server_nonce, proof)
    peer = _parse_identity(hello)
    stream = _open_stream(connection, peer, shared_key, client_nonce, server_nonce, b"server")
    confirmation = stream.receive()
    if confirmation != {"identity": dataclasses.asdict(peer)}:
        raise frames.FrameError("the connecting side did not confirm its identity")
    return stream


def _open_stream(connection, peer, shared_key, client_nonce, server_nonce, write_direction):
    read_direction = b"server" if write_direction == b"client" else b"client"
    write_key = frames.derive_key(shared_key, client_nonce, server_nonce, write_direction)
    read_key = frames.derive_key(shared_key, client_nonce, server_nonce, read_direction)
    return Stream(connection, peer, write_key, read_key)


def _send_hello(connection, identity, nonce, proof):
    hello = {
        "version": frames.PROTOCOL_VERSION,
        "nonce": nonce,
        "proof": proof,
        **dataclasses.asdict(identity),
    }
    payload = frames.pack_payload(hello)
    connection.sendall(_HELLO_LENGTH.pack(len(payload)) + payload)


def _receive_hello(connection):
    # The hello is read without a buffer, so that no byte of the next frame is consumed with it.
    (length,) = _HELLO_LENGTH.unpack(_receive_unbuffered(connection, _HELLO_LENGTH.size))
    if length > MAX_HELLO_BYTES:
        raise frames.FrameError(f"hello of {length} bytes exceeds {MAX_HELLO_BYTES} bytes")
    hello = frames.unpack_payload(_receive_unbuffered(connection, length))
    if not isinstance(hello, dict) or hello.get("version") != frames.PROTOCOL_VERSION:
        raise frames.FrameError(
            f"the other side does not speak protocol version {frames.PROTOCOL_VERSION}"
        )
    nonce = hello.get("nonce")
    if not isinstance(nonce, bytes) or len(nonce) != frames.NONCE_BYTES:
        raise frames.FrameError("hello has no valid nonce")
    if not isinstance(hello.get("proof"), bytes):
        raise frames.FrameError("hello has no valid proof")
    return hello


def _receive_unbuffered(connection, count):
    data = b""
    while len(data) < count:
        chunk = connection.recv(count - len(data))
        if not chunk:
            raise frames.StreamEndError("the other side closed the connection")
        data += chunk
    return data


def _parse_identity(hello):
    fields = [hello.get(name) for name in ("part", "host", "incarnation")]
    if not all(isinstance(field, str) for field in fields):
        raise frames.FrameError("hello has no valid identity")
    return Identity(*fields)


def _compute_proof(shared_key, client_nonce, server_nonce, identity):
    message = frames.pack_payload(
        ["skylarksill accept", client_nonce, server_nonce, *dataclasses.astuple(identity)]
    )
    return hmac.digest(shared_key, message, "sha256")
