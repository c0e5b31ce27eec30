"""Client side of the remote procedure calls between processes of a deployment."""

import itertools

import eventlet
from eventlet import event, semaphore
from eventlet.green import socket

from skylarksill import _rpcstream, frames, records

CONNECT_TIMEOUT_S = 1.0


class RpcClient:
    """Calls one process over one connection, opened on demand and reopened after a failure.

    Args:
      address: IP address and port of the process.
      shared_key: The deployment's shared key.
      identity: Identity of this process.
      connect_timeout_s: Timeout of connecting and handshake together, in seconds.
    """

    def __init__(self, address, shared_key, identity, connect_timeout_s=CONNECT_TIMEOUT_S):
        self.address = address
        self._shared_key = shared_key
        self._identity = identity
        self._connect_timeout_s = connect_timeout_s
        self._connect_lock = semaphore.Semaphore(1)
        self._call_ids = itertools.count(1)
        self._stream = None
        self._pending = {}

    @property
    def peer(self):
        """Identity of the connected process, or None without a connection."""
        return self._stream.peer if self._stream else None

    def call(self, method, body, timeout_s, cancellation=None):
        """Calls a method and waits for its answer.

        Args:
          method: Name of the method.
          body: Value that msgpack can encode.
          timeout_s: Timeout of the whole call in seconds; the call is cancelled when it expires.
          cancellation: CallContext whose cancellation also cancels this call, or None.
        Returns:
          The answer's body.
        Raises:
          CallNotSentError: If the call was not sent; it was not executed.
          CallLostError: If no answer was received; the call may have been executed.
          CallFailedError: If the called process answered with an error.
        """
        timeout = eventlet.Timeout(timeout_s)
        call_id = next(self._call_ids)
        result = event.Event()
        stream = None
        try:
            stream = self._connect()
            self._send_call(stream, call_id, method, body, result)
            if cancellation is not None:
                cancellation.on_cancel(lambda: self._cancel_call(stream, call_id, result))
            answer = result.wait()
        except eventlet.Timeout as error:
            if error is not timeout:
                raise
            self._abandon_call(stream, call_id)
            raise self._make_timeout_error(stream, call_id, method, timeout_s) from None
        finally:
            timeout.cancel()
            self._pending.pop(call_id, None)
        if answer["ok"]:
            return answer["body"]
        raise _rpcstream.CallFailedError(answer["body"]["reason"], answer["body"]["detail"])

    def close(self):
        """Closes the connection; pending calls fail with CallLostError."""
        if self._stream:
            self._stream.close()

    def _connect(self):
        with self._connect_lock:
            if self._stream is None:
                self._stream = self._open_stream()
                eventlet.spawn_n(self._read_answers, self._stream)
            return self._stream

    def _open_stream(self):
        connection = None
        try:
            with eventlet.Timeout(
                self._connect_timeout_s, frames.StreamEndError("connect timed out")
            ):
                connection = socket.create_connection(self.address)
                connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                return _rpcstream.connect_stream(connection, self._shared_key, self._identity)
        except (OSError, records.SkylarksillError) as error:
            if connection is not None:
                _rpcstream.close_connection(connection)
            host, port = self.address
            raise _rpcstream.CallNotSentError(
                f"cannot connect to {host}:{port}: {error}"
            ) from error

    def _send_call(self, stream, call_id, method, body, result):
        self._pending[call_id] = (stream, result)
        try:
            stream.send({"id": call_id, "method": method, "body": body})
        except frames.FrameError as error:
            raise _rpcstream.CallNotSentError(str(error)) from error
        except OSError as error:
            # The frame may have been delivered before the error, so the call may be executed.
            self._drop_stream(stream)
            raise _rpcstream.CallLostError(f"connection lost while sending {method}") from error

    def _abandon_call(self, stream, call_id):
        if stream is None or self._pending.pop(call_id, None) is None:
            return
        eventlet.spawn_n(self._send_cancel, stream, call_id)

    def _cancel_call(self, stream, call_id, result):
        if call_id in self._pending:
            self._abandon_call(stream, call_id)
            result.send_exception(_rpcstream.CallLostError("the call was cancelled"))

    def _send_cancel(self, stream, call_id):
        try:
            stream.send({"id": call_id, "cancel": True})
        except (OSError, frames.FrameError):
            self._drop_stream(stream)

    def _make_timeout_error(self, stream, call_id, method, timeout_s):
        if stream is None:
            return _rpcstream.CallNotSentError(f"{method}: no connection within {timeout_s} s")
        return _rpcstream.CallLostError(f"{method}: no answer within {timeout_s} s")

    def _read_answers(self, stream):
        try:
            while True:
                self._deliver_answer(stream.receive())
        except (OSError, records.SkylarksillError):
            pass
        finally:
            self._drop_stream(stream)
            stream.release()

    def _deliver_answer(self, answer):
        if not isinstance(answer, dict):
            raise frames.FrameError("answer is not a map")
        pending_call = self._pending.pop(answer.get("id"), None)
        if pending_call is not None:
            pending_call[1].send(answer)

    def _drop_stream(self, stream):
        if self._stream is stream:
            self._stream = None
        stream.close()
        for call_id, (owner, result) in list(self._pending.items()):
            if owner is stream:
                self._pending.pop(call_id, None)
                result.send_exception(_rpcstream.CallLostError("connection lost before the answer"))
