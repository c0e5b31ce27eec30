"""Cancellation of requests whose client has gone."""


class Cancellation:
    """Lets the client's connection stop a request that is in progress."""

    def __init__(self):
        self.is_cancelled = False
        self._connection = None

    def attach(self, connection):
        """Sets the upstream connection that carries the request, or None.

        The connection is aborted at once if the request has been cancelled already.
        """
        self._connection = connection
        if connection is not None and self.is_cancelled:
            connection.abort()

    def cancel(self):
        """Cancels the request; an upstream stops running it when its connection is aborted."""
        self.is_cancelled = True
        if self._connection is not None:
            self._connection.abort()
