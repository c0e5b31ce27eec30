"""Server side of the remote procedure calls between processes of a deployment."""

import eventlet
from eventlet.green import socket

from skylarksill import _rpcstream, frames, logs, records

HANDSHAKE_TIMEOUT_S = 5.0
LISTEN_BACKLOG = 512


class CallContext:
    """Caller and cancellation state of one call, passed to its handler.

    Attributes:
      peer: Identity of the calling process.
    """

    def __init__(self, peer):
        self.peer = peer
        self._is_cancelled = False
        self._callbacks = []

    @property
    def is_cancelled(self):
        """True once the caller has cancelled the call or its connection has ended."""
        return self._is_cancelled

    def on_cancel(self, callback):
        """Calls ``callback()`` once on cancellation, or immediately if already cancelled."""
        if self._is_cancelled:
            callback()
        else:
            self._callbacks.append(callback)

    def cancel(self):
        """Marks the call as cancelled and runs its callbacks."""
        if self._is_cancelled:
            return
        self._is_cancelled = True
        for callback in self._callbacks:
            callback()


class RpcServer:
    """Serves calls; each call runs in its own green thread.

    Args:
      address: IP address and port to listen on.
      shared_key: The deployment's shared key.
      identity: Identity of this process.
      handlers: Maps a method name to a function of (body, context) that returns the answer's body.
        A handler raises CallFailedError to send an error as the answer.
    """

    def __init__(self, address, shared_key, identity, handlers):
        self._shared_key = shared_key
        self._identity = identity
        self._handlers = handlers
        self._log = logs.make_logger("rpc")
        self._streams = set()
        self._socket = eventlet.listen(address, backlog=LISTEN_BACKLOG)

    @property
    def port(self):
        """The port that the server listens on."""
        return self._socket.getsockname()[1]

    def serve(self):
        """Accepts connections until ``close`` is called."""
        while True:
            try:
                connection, _ = self._socket.accept()
            except OSError:
                self._socket.close()
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            eventlet.spawn_n(self._serve_connection, connection)

    def close(self):
        """Stops listening and closes all connections."""
        _rpcstream.shut_down_connection(self._socket)
        for stream in list(self._streams):
            stream.close()

    def _serve_connection(self, connection):
        try:
            with eventlet.Timeout(
                HANDSHAKE_TIMEOUT_S, frames.StreamEndError("handshake timed out")
            ):
                stream = _rpcstream.accept_stream(connection, self._shared_key, self._identity)
        except (OSError, records.SkylarksillError) as error:
            self._log.warning("rejected a connection: {}", error)
            _rpcstream.close_connection(connection)
            return
        self._streams.add(stream)
        self._serve_stream(stream)

    def _serve_stream(self, stream):
        contexts = {}
        try:
            while True:
                self._handle_message(stream, contexts, stream.receive())
        except (OSError, frames.StreamEndError):
            pass
        except frames.FrameError as error:
            self._log.warning("closed the connection from {}: {}", stream.peer.host, error)
        finally:
            self._streams.discard(stream)
            stream.release()
            for context in list(contexts.values()):
                context.cancel()

    def _handle_message(self, stream, contexts, message):
        if not isinstance(message, dict) or not isinstance(message.get("id"), int):
            raise frames.FrameError("message has no valid id")
        call_id = message["id"]
        if message.get("cancel"):
            if call_id in contexts:
                contexts[call_id].cancel()
            return
        if call_id in contexts:
            raise frames.FrameError(f"call id {call_id} is already in use")
        contexts[call_id] = CallContext(stream.peer)
        eventlet.spawn_n(self._run_call, stream, contexts, message)

    def _run_call(self, stream, contexts, message):
        call_id = message["id"]
        try:
            answer = {"id": call_id, "ok": True, "body": self._call_handler(contexts, message)}
        except _rpcstream.CallFailedError as error:
            answer = _make_error_answer(call_id, error.reason, error.detail)
        except Exception as error:
            self._log.exception("method {} failed", message.get("method"))
            answer = _make_error_answer(call_id, "internal_error", type(error).__name__)
        finally:
            contexts.pop(call_id, None)
        try:
            stream.send(answer)
        except OSError:
            stream.close()
        except frames.FrameError as error:
            stream.send(_make_error_answer(call_id, "answer_too_long", str(error)))

    def _call_handler(self, contexts, message):
        handler = self._handlers.get(message.get("method"))
        if handler is None:
            raise _rpcstream.CallFailedError(
                "unknown_method", f"no method {message.get('method')!r}"
            )
        return handler(message.get("body"), contexts[message["id"]])


def _make_error_answer(call_id, reason, detail):
    return {"id": call_id, "ok": False, "body": {"reason": reason, "detail": detail}}
