"""Calls of the entry daemon to dispatchers, with their outcomes as events of ``forwarding``."""

import eventlet

from skylarksill import forwarding, frames, logs, messages, rpc

# Long bodies have a connection of their own, so that short requests do not wait behind them.
BULK_BYTES = 64 * 1024
AVOID_S = 1.0
# A dispatcher with calls in progress that says nothing for SILENCE_S is asked for a sign of life.
SILENCE_S = 0.5
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
        self._waiting = {}
        self._heard_at = {}
        self._probed = set()

    def dispatch(self, host, request, timeout_s, cancellation):
        """Sends a request to the dispatcher of a host.

        Args:
          host: The Host, or None if the configuration does not name it.
          request: The Request.
          timeout_s: Bound of the call in seconds.
          cancellation: CallContext whose cancellation ends the call.
        Returns:
          forwarding.Answered, NotSent or Lost.
        """
        is_bulk = len(request.body) > BULK_BYTES
        body = messages.encode_message(messages.DispatchCall(request))
        try:
            answer = self._call(host, is_bulk, "dispatch", body, timeout_s, cancellation)
            result = messages.decode_message(messages.DispatchResult, answer)
            if (result.answer is None) == (result.refusal is None):
                raise frames.FrameError("a result needs either an answer or a refusal")
            return forwarding.Answered(result)
        except rpc.CallNotSentError as error:
            self._note_failure(host)
            return forwarding.NotSent(str(error))
        except (rpc.RpcError, frames.FrameError) as error:
            return forwarding.Lost(str(error))

    def revoke(self, host, ticket, timeout_s):
        """Asks the arbiter on a host to revoke a ticket.

        Returns:
          forwarding.Settled or ArbiterSilent.
        """
        body = messages.encode_message(messages.RevokeCall(ticket))
        try:
            answer = self._call(host, False, "revoke", body, timeout_s, None)
            return forwarding.Settled(messages.decode_message(messages.ClaimResult, answer))
        except (rpc.RpcError, frames.FrameError) as error:
            return forwarding.ArbiterSilent(str(error))

    def list_avoided(self):
        """Returns the ids of hosts that could not be reached within the last AVOID_S."""
        now = self._clock.monotonic()
        return {host for host, failed_at in self._failed_at.items() if now - failed_at < AVOID_S}

    def keep_hosts(self, hosts):
        """Closes the connections to hosts that are not among ``hosts``, a map by host id."""
        for key in list(self._clients):
            host = hosts.get(key[0])
            if host is None or (host.address, host.dispatch_port) != self._clients[key].address:
                self._clients.pop(key).close()

    def check_silence(self):
        """Probes dispatchers that say nothing, and gives up the connections of those that hang.

        A paused or cut-off host keeps its connections, so that calls would wait for their whole
        deadline. A call's own duration is no sign, since long work is as long.
        """
        now = self._clock.monotonic()
        for host, since in list(self._waiting.values()):
            last_sign = max(since, self._heard_at.get(host.host_id, since))
            if now - last_sign > SILENCE_S and host.host_id not in self._probed:
                self._probed.add(host.host_id)
                eventlet.spawn_n(self._probe, host)

    def close(self):
        """Closes all connections."""
        self.keep_hosts({})

    def _call(self, host, is_bulk, method, body, timeout_s, cancellation):
        if host is None:
            raise rpc.CallNotSentError("the configuration does not name the host")
        client = self._find_client(host, is_bulk)
        call = object()
        self._waiting[call] = (host, self._clock.monotonic())
        try:
            answer = client.call(method, body, timeout_s, cancellation)
            self._heard_at[host.host_id] = self._clock.monotonic()
            return answer
        except rpc.CallFailedError:
            self._heard_at[host.host_id] = self._clock.monotonic()
            raise
        finally:
            del self._waiting[call]

    def _probe(self, host):
        try:
            self._call(host, False, "load", [], PROBE_TIMEOUT_S, None)
        except rpc.CallFailedError:
            pass
        except rpc.RpcError as error:
            self._log.warning("dispatcher of {} gives no sign: {}", host.host_id, error)
            self._note_failure(host)
            for is_bulk in (False, True):
                if (host.host_id, is_bulk) in self._clients:
                    self._clients.pop((host.host_id, is_bulk)).close()
        finally:
            self._probed.discard(host.host_id)

    def _find_client(self, host, is_bulk):
        key = (host.host_id, is_bulk)
        if key not in self._clients:
            address = (host.address, host.dispatch_port)
            self._clients[key] = rpc.RpcClient(address, self._shared_key, self._identity)
        return self._clients[key]

    def _note_failure(self, host):
        if host is not None:
            self._failed_at[host.host_id] = self._clock.monotonic()
