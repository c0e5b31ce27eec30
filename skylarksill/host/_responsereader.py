"""Incremental parser of an upstream's responses with bounds on the memory that they take."""

import collections
import dataclasses

import httptools

from skylarksill import records as shared

# An answer is buffered until it is complete, so that a truncated one is never passed on.
MAX_ANSWER_BYTES = 8 * 1024 * 1024
MAX_HEAD_BYTES = 65_536
MAX_HEADERS = 256
# Bytes of one exchange, framing and surplus answers included.
MAX_EXCHANGE_BYTES = 2 * MAX_ANSWER_BYTES
# Interim (1xx) responses before an answer, and answers to other requests.
MAX_INTERIM_RESPONSES = 8
MAX_FOREIGN_ANSWERS = 8
# Range of statuses (RFC 9110, section 15), and the first one of a final answer.
MIN_STATUS, MAX_STATUS = 100, 599
MIN_FINAL_STATUS = 200
# A host never asks for another protocol, so this is no interim status.
SWITCHING_STATUS = 101
_LENGTH_HEADERS = (b"content-length", b"transfer-encoding")


class ResponseError(shared.SkylarksillError):
    """The upstream's bytes are no usable response."""


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A complete response; ``is_kept_alive`` if its connection stays open after it."""

    status: int
    reason: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    is_kept_alive: bool

    def get_values(self, name):
        """Returns the set of values of a header."""
        return {value for header, value in self.headers if header == name}


class ResponseReader:
    """Parses the responses of one connection.

    Args:
      buffers: The limits.BufferLimit of the bodies that all connections hold.

    Attributes:
      responses: Deque of complete Responses that have not been taken.
      is_message_open: True while a response has begun and is not complete.
      is_head_complete: True once the head of the current response is complete.
    """

    def __init__(self, buffers):
        self.responses = collections.deque()
        self._buffers = buffers
        self._parser = httptools.HttpResponseParser(self)
        self._buffered_bytes = 0
        self._received_bytes = 0
        self._interim_count = 0
        self._is_broken = False
        self._begin_response()

    @property
    def has_surplus(self):
        """True if the upstream has sent more than the responses that were taken."""
        return bool(self.responses) or self.is_message_open or self._is_broken

    def check(self):
        """Raises a ResponseError if no further response can follow."""
        if self._is_broken:
            raise ResponseError("malformed response")

    def find_open_head(self):
        """Returns the head of the response that is not complete yet as a Response, or None."""
        if not self.is_head_complete:
            return None
        status = self._parser.get_status_code()
        return Response(status, self._reason, tuple(self._headers), b"", False)

    def end_exchange(self):
        """Releases the buffers of the exchange that ended and resets its bounds.

        What is left of its answers is dropped at once: parser and reader refer to each other, so
        that a closed connection's own would be kept until the next collection of such garbage.
        """
        self.responses.clear()
        self._body = bytearray()
        self._buffers.release(self._buffered_bytes)
        self._buffered_bytes = 0
        self._received_bytes = 0
        self._interim_count = 0

    def feed(self, data):
        """Parses bytes.

        Raises:
          ResponseError: If no response can follow and none is complete, or a bound is exceeded.
        """
        self._received_bytes += len(data)
        self._check_bound(self._received_bytes, MAX_EXCHANGE_BYTES, "exchange")
        self._pending_bytes += len(data)
        if not self._is_broken:
            self._parse(data)
        if not self.responses:
            self.check()
        self._check_bound(self._pending_bytes, MAX_HEAD_BYTES, "line")

    def end_of_stream(self):
        """Completes a response without a length, which ends when its connection is closed."""
        has_length = any(name in _LENGTH_HEADERS for name, _ in self._headers)
        if self.is_head_complete and not has_length and not self._is_broken:
            self.complete_response(False)

    def complete_response(self, is_kept_alive):
        """Adds the current response to the complete ones; interim (1xx) responses are dropped."""
        status = self._parser.get_status_code()
        if status >= MIN_FINAL_STATUS:
            body = bytes(self._body)
            headers = tuple(self._headers)
            self.responses.append(Response(status, self._reason, headers, body, is_kept_alive))
        else:
            self._interim_count += 1
            self._check_bound(self._interim_count, MAX_INTERIM_RESPONSES, "interim responses")
        self._begin_response()

    # Callbacks of the parser.

    def on_message_begin(self):
        """Starts a response."""
        self._begin_response()
        self.is_message_open = True

    def on_status(self, reason):
        """Appends a part of the reason phrase."""
        self._reason += reason
        self._count_head_bytes(len(reason))
        self._check_status()

    def on_header(self, name, value):
        """Adds a header or a trailer without the white space that the parser keeps at its end."""
        self._headers.append((name.lower(), value.rstrip(b" \t")))
        self._check_bound(len(self._headers), MAX_HEADERS, "headers")
        self._count_head_bytes(len(name) + len(value))

    def on_headers_complete(self):
        """Marks the head as complete, which may lack a reason phrase."""
        self._check_status()
        self.is_head_complete = True
        self._pending_bytes = 0

    def on_body(self, body):
        """Appends a part of the body."""
        self._pending_bytes = 0
        if self._parser.get_status_code() < MIN_FINAL_STATUS:
            raise ResponseError("body of an interim response")
        self._check_bound(len(self._body) + len(body), MAX_ANSWER_BYTES, "body")
        if not self._buffers.take(len(body)):
            raise ResponseError("buffers of answers are full")
        self._buffered_bytes += len(body)
        self._body += body

    def on_message_complete(self):
        """Ends a response."""
        self.complete_response(self._parser.should_keep_alive())

    def _begin_response(self):
        self._reason = b""
        self._headers = []
        self._head_bytes = 0
        self._body = bytearray()
        # Bytes since the last complete part, which the parser does not report yet.
        self._pending_bytes = 0
        self.is_message_open = False
        self.is_head_complete = False

    def _parse(self, data):
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._is_broken = True

    def _check_status(self):
        status = self._parser.get_status_code()
        if not MIN_STATUS <= status <= MAX_STATUS or status == SWITCHING_STATUS:
            raise ResponseError(f"status {status}")

    def _count_head_bytes(self, size):
        self._pending_bytes = 0
        self._head_bytes += size
        self._check_bound(self._head_bytes, MAX_HEAD_BYTES, "head")

    @staticmethod
    def _check_bound(value, bound, part):
        if value > bound:
            raise ResponseError(f"{part} of a response exceeds {bound}")
