"""HTTP server shared by the lookup and entry daemons."""

import contextlib
import json

import eventlet
import greenlet
from eventlet import wsgi
from eventlet.green import socket

LISTEN_BACKLOG = 1024
MAX_CONNECTIONS = 8_192
KEEPALIVE_S = 75
SOCKET_TIMEOUT_S = 30
STOP_TIMEOUT_S = 0.4
PROTOCOL_KEY = "skylarksill.protocol"

STATUS_LINES = {
    200: "200 OK",
    400: "400 Bad Request",
    403: "403 Forbidden",
    404: "404 Not Found",
    405: "405 Method Not Allowed",
    408: "408 Request Timeout",
    413: "413 Content Too Large",
    422: "422 Unprocessable Content",
    428: "428 Precondition Required",
    429: "429 Too Many Requests",
    500: "500 Internal Server Error",
    502: "502 Bad Gateway",
    503: "503 Service Unavailable",
    504: "504 Gateway Timeout",
}


class Protocol(wsgi.HttpProtocol):
    """HTTP protocol that lets the application close its connection and sets TCP_NODELAY."""

    minimum_chunk_size = 4 * 1024 * 1024

    def setup(self):
        """Sets up the connection; called by the server."""
        self.request.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().setup()

    def handle_one_request(self):
        """Serves one request; called by the server.

        Yields afterwards: a client that always has its next request ready would otherwise starve
        all other connections and timers.
        """
        super().handle_one_request()
        eventlet.sleep(0)

    def get_environ(self):
        """Returns the WSGI environment of a request; called by the server."""
        environ = super().get_environ()
        environ[PROTOCOL_KEY] = self
        return environ


class HttpServer:
    """Serves a WSGI application on one address.

    Args:
      address: IP address and port to listen on.
      application: The WSGI application.
    """

    def __init__(self, address, application):
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        self._socket = eventlet.listen(address, family=family, backlog=LISTEN_BACKLOG)
        self._application = application
        self._thread = None

    @property
    def address(self):
        """IP address and port that the server listens on."""
        return self._socket.getsockname()[:2]

    def start(self):
        """Starts serving in a green thread."""
        self._thread = eventlet.spawn(
            wsgi.server,
            self._socket,
            self._application,
            protocol=Protocol,
            log_output=False,
            debug=False,
            keepalive=KEEPALIVE_S,
            socket_timeout=SOCKET_TIMEOUT_S,
            max_size=MAX_CONNECTIONS,
        )

    def stop(self):
        """Stops listening, closes idle connections and gives others STOP_TIMEOUT_S to end."""
        if self._thread is None:
            return
        with eventlet.Timeout(STOP_TIMEOUT_S, False), contextlib.suppress(greenlet.GreenletExit):
            eventlet.spawn_n(self._thread.kill)
            self._thread.wait()


def close_after_answer(environ):
    """Makes the server close the connection after the current answer."""
    environ[PROTOCOL_KEY].close_connection = 1


def format_status(status):
    """Returns the status code and reason phrase of the status line."""
    return STATUS_LINES.get(status) or f"{status} Status"


def format_refusal(refusal, ticket=None):
    """Returns the JSON body of an error as bytes.

    Args:
      refusal: The Refusal.
      ticket: Text of a new ticket, or None.
    """
    fields = {
        "verdict": refusal.verdict.value,
        "reason": refusal.reason,
        "detail": refusal.detail,
        "limit": refusal.limit,
        "retry_after_ms": refusal.retry_after_ms,
        "ticket": ticket,
    }
    return json.dumps(fields).encode()
