"""Fake dispatchers that serve the rpc interface with behavior set by the test."""

import eventlet

from features import builders
from skylarksill import messages, records, rpc


class FakeDispatcher:
    """Serves ``dispatch`` and ``revoke`` for one host.

    Args:
      host_id: The host.
      address: IP address to listen on; the port is chosen by the system.

    Attributes:
      behave: Function that takes a Request and returns a DispatchResult; it may wait, raise or
        close the server.
      claim_states: ClaimResults that ``revoke`` returns in turn; the last one is repeated.
      requests: Received requests.
      cancelled: Ids of requests whose call was cancelled.
      hangs: If True, calls are not answered until it is False.
      revoked: Ids of tickets that ``revoke`` was called with.
    """

    def __init__(self, host_id, address):
        self.behave = echo_request
        self.claim_states = [messages.ClaimResult(records.ClaimState.UNKNOWN)]
        self.requests = []
        self.cancelled = []
        self.revoked = []
        identity = rpc.Identity("dispatch", host_id, f"dispatch-{host_id}")
        self.hangs = False
        handlers = {"dispatch": self._dispatch, "revoke": self._revoke, "load": self._load}
        self._server = rpc.RpcServer((address, 0), builders.SHARED_KEY, identity, handlers)
        self.port = self._server.port
        eventlet.spawn(self._server.serve)

    def die(self):
        """Closes all connections and stops listening."""
        self.hangs = False
        self._server.close()

    def _dispatch(self, body, context):
        request = messages.decode_message(messages.DispatchCall, body).request
        self.requests.append(request)
        context.on_cancel(lambda: self.cancelled.append(request.request_id))
        self._hang()
        return messages.encode_message(self.behave(request))

    def _load(self, body, context):
        self._hang()
        return []

    def _hang(self):
        while self.hangs:
            eventlet.sleep(0.1)

    def _revoke(self, body, context):
        self.revoked.append(messages.decode_message(messages.RevokeCall, body).ticket.ticket_id)
        states = self.claim_states
        return messages.encode_message(states.pop(0) if len(states) > 1 else states[0])


def echo_request(request):
    """Echoes the request's path and body, so that tests detect the answer of another request."""
    body = request.path.encode() + b"|" + request.body
    headers = (("X-Upstream", "u-1"), ("Connection", "X-Hop"), ("X-Hop", "1"))
    answer = records.Answer(200, headers, body)
    return messages.DispatchResult(records.Verdict.RAN, answer, None, "u-1")


def refuse_with(reason, verdict, limit=None):
    """Returns a behavior that refuses each request."""
    refusal = records.Refusal(records.Verdict(verdict), reason, "test refusal", limit, 20)
    return lambda request: messages.DispatchResult(refusal.verdict, None, refusal)


def answer_after(seconds):
    """Returns a behavior that answers after a delay."""

    def behave(request):
        eventlet.sleep(seconds)
        return echo_request(request)

    return behave
