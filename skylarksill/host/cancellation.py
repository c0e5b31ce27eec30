"""The way by which a client's departure reaches the work that is done for it."""


class Cancellation:
    """Lets the client's side stop a request that is in progress."""

    def __init__(self):
        self.is_cancelled = False
        self._connection = None

    def attach(self, connection):
        """Names the upstream connection that carries the request, or None."""
        self._connection = connection
        if connection is not None and self.is_cancelled:
            connection.abort()

    def cancel(self):
        """Stops the request; work at an upstream ends with its connection."""
        self.is_cancelled = True
        if self._connection is not None:
            self._connection.abort()
