"""Cancellation of requests whose answer has nobody to go to, or has been given by the host."""

import enum


class Reason(enum.StrEnum):
    """Why a request was cancelled, for the log; the host itself ends it in the last two cases."""

    CLIENT_GONE = "client_gone"
    CONNECTION_ENDED = "connection_ended"
    STOP_DEADLINE = "stop_deadline"


class Cancellation:
    """Lets the client's connection stop a request that is in progress.

    Attributes:
      is_cancelled: True once the request has been cancelled.
      reason: The Reason of that.
      upstream_id: Id of the upstream that the request was last passed on to and that hasn't refused
        it as not run, or None.
    """

    def __init__(self):
        self.is_cancelled = False
        self.reason = Reason.CLIENT_GONE
        self.upstream_id = None
        self._connection = None

    def attach(self, connection):
        """Sets the upstream connection that carries the request, or None.

        The connection is aborted at once if the request has been cancelled already.
        """
        self._connection = connection
        if connection is not None and self.is_cancelled:
            connection.abort()

    def cancel(self, reason=Reason.CLIENT_GONE):
        """Cancels the request; an upstream stops running it when its connection is aborted.

        Args:
          reason: The Reason.
        """
        self.is_cancelled = True
        self.reason = reason
        if self._connection is not None:
            self._connection.abort()
