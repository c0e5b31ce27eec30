"""Calls from the entry daemon to dispatchers; outcomes are returned as ``forwarding`` events."""

import eventlet

from skylarksill import forwarding, frames, logs, messages, rpc

# Requests with longer bodies use a separate connection, so that short requests do not wait for
# them.
BULK_BODY_BYTES = 64 * 1024
AVOID_AFTER_FAILURE_S = 1.0
# A dispatcher that has pending calls and sends nothing for this long is probed.
PROBE_AFTER_SILENCE_S = 0.5
PROBE_TIMEOUT_S = 1.0


class DispatchCalls:
    """Connections to dispatchers, opened on demand.

    Args:
      settings: The host's Settings.
      clock: A clock with ``monotonic()``.
      incarnation: Incarnation of this daemon.
    """

    def __init__(self, settings, clock, incarnation):
        self._shared_key = settings.shared_key
        self._identity = rpc.Identity("entry", settings.host, incarnation)
        self._clock = clock
        self._log = logs.make_logger("entry")
        self._clients = {}
        self._failed_at = {}
        self._pending_calls = {}
        self._last_answer_at = {}
        self._probing = set()

    def dispatch(self, host, request, timeout_s, cancellation):
        """Sends a request to the dispatcher of a host.

        Args:
          host: The Host, or None if the configuration does not name it.
          request: The Request.
          timeout_s: Timeout of the call in seconds.
          cancellation: CallContext whose cancellation aborts the call.
        Returns:
          forwarding.Answered, NotSent or NoAnswer.
        """
        is_bulk = len(request.body) > BULK_BODY_BYTES
        body = messages.encode_message(messages.DispatchCall(request))
        try:
            answer = self._call(host, is_bulk, "dispatch", body, timeout_s, cancellation)
            result = messages.decode_message(messages.DispatchResult, answer)
            if (result.answer is None) == (result.refusal is None):
                raise frames.FrameError("a result needs either an answer or a refusal")
            return forwarding.Answered(result)
        except rpc.CallNotSentError as error:
            self._record_failure(host)
            return forwarding.NotSent(str(error))
        except (rpc.RpcError, frames.FrameError) as error:
            return forwarding.NoAnswer(str(error))

    def revoke(self, host, ticket, timeout_s):
        """Asks the arbiter on a host to revoke a ticket.

        Returns:
          forwarding.ClaimAnswered or ArbiterFailed.
        """
        body = messages.encode_message(messages.RevokeCall(ticket))
        try:
            answer = self._call(host, False, "revoke", body, timeout_s, None)
            return forwarding.ClaimAnswered(messages.decode_message(messages.ClaimResult, answer))
        except (rpc.RpcError, frames.FrameError) as error:
            return forwarding.ArbiterFailed(str(error))

    def list_unreachable_hosts(self):
        """Returns the ids of hosts with a failed connection in the last AVOID_AFTER_FAILURE_S."""
        now = self._clock.monotonic()
        return {
            host
            for host, failed_at in self._failed_at.items()
            if now - failed_at < AVOID_AFTER_FAILURE_S
        }

    def close_stale_connections(self, hosts):
        """Closes connections to hosts that are not in ``hosts`` or whose address has changed.

        Args:
          hosts: Maps host ids to Host records.
        """
        for key in list(self._clients):
            host = hosts.get(key[0])
            if host is None or (host.address, host.dispatch_port) != self._clients[key].address:
                self._clients.pop(key).close()

    def probe_silent_dispatchers(self):
        """Probes silent dispatchers and closes the connections to those that do not answer.

        The connections of a paused or unreachable host stay open, so calls would wait until their
        deadlines. The duration of a call does not show a hang, since a request may run that long.
        """
        now = self._clock.monotonic()
        for host, started_at in list(self._pending_calls.values()):
            last_activity = max(started_at, self._last_answer_at.get(host.host_id, started_at))
            if now - last_activity > PROBE_AFTER_SILENCE_S and host.host_id not in self._probing:
                self._probing.add(host.host_id)
                eventlet.spawn_n(self._probe, host)

    def close(self):
        """Closes all connections."""
        self.close_stale_connections({})

    def _call(self, host, is_bulk, method, body, timeout_s, cancellation):
        if host is None:
            raise rpc.CallNotSentError("the configuration does not name the host")
        client = self._get_client(host, is_bulk)
        call = object()
        self._pending_calls[call] = (host, self._clock.monotonic())
        try:
            answer = client.call(method, body, timeout_s, cancellation)
            self._last_answer_at[host.host_id] = self._clock.monotonic()
            return answer
        except rpc.CallFailedError:
            self._last_answer_at[host.host_id] = self._clock.monotonic()
            raise
        finally:
            del self._pending_calls[call]

    def _probe(self, host):
        try:
            self._call(host, False, "load", [], PROBE_TIMEOUT_S, None)
        except rpc.CallFailedError:
            pass
        except rpc.RpcError as error:
            self._log.warning("dispatcher of {} does not answer: {}", host.host_id, error)
            self._record_failure(host)
            for is_bulk in (False, True):
                if (host.host_id, is_bulk) in self._clients:
                    self._clients.pop((host.host_id, is_bulk)).close()
        finally:
            self._probing.discard(host.host_id)

    def _get_client(self, host, is_bulk):
        key = (host.host_id, is_bulk)
        if key not in self._clients:
            address = (host.address, host.dispatch_port)
            self._clients[key] = rpc.RpcClient(address, self._shared_key, self._identity)
        return self._clients[key]

    def _record_failure(self, host):
        if host is not None:
            self._failed_at[host.host_id] = self._clock.monotonic()
