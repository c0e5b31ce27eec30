"""Reading of requests: the parser's part of a client's connection, within the limits of clients."""

import math
import time

import httptools

from skylarksill.host import (
    _connectionstates,
    _fairreads,
    _requestfields,
    answers,
    cancellation,
    footprint,
)

# Bytes outside the head and the body of a request, such as an extension of a chunk's length.
MAX_FRAMING_BYTES = 16_384
# Bytes of a body are kept in blocks of this size. One that grows as a whole is moved again and
# again, which leaves holes in the memory of the process.
BLOCK_BYTES = 65_536
# Memory that each request may take without being asked for room before it is complete. What all of
# them take so is bounded by the number of connections.
FREE_REQUEST_BYTES = 8_192


class _BadRequestError(Exception):
    """A request can't be served; ``status`` is the HTTP status to answer with."""

    def __init__(self, status, reason):
        super().__init__(reason)
        self.status = status


class RequestReading:
    """Parses the bytes of a client and starts its requests; a base of _clientconnection.Connection.

    It takes the server, the state and the pending requests from there.
    """

    def _begin_reading(self):
        self._parsing = _fairreads.FairParsing(self._feed)
        self._unparsed_bytes = 0
        # Whether a request was complete.
        self._has_carried = False
        self._begin_message()
        self._parser = httptools.HttpRequestParser(self)

    def _parse(self, data):
        self._unparsed_bytes = len(data)
        try:
            self._parsing.parse(data)
            self._send_continue()
        except _BadRequestError as error:
            self._reject(error.status, str(error))
        except httptools.HttpParserCallbackError as error:
            self._reject_failed(error.__context__ or error)
        except httptools.HttpParserError as error:
            self._reject(400, str(error))
        except OSError:
            raise
        except Exception as error:
            self._reject_failed(error)
        finally:
            self._unparsed_bytes = 0

    def _feed(self, data):
        """Parses bytes; counts those that the parser reports only with the rest of their part."""
        self._unparsed_bytes -= len(data)
        self._unreported_bytes += len(data)
        rest = memoryview(data)
        while True:
            try:
                self._parser.feed_data(rest)
                break
            except httptools.HttpParserUpgrade as error:
                rest = rest[error.args[0] :]
                self._decline_upgrade()
                self._unreported_bytes = len(rest)
        is_inside_head = self._started_at is not None and not self._is_head_complete
        if is_inside_head and self._unreported_bytes > self._limits.max_head_bytes:
            raise _BadRequestError(431, f"head of more than {self._limits.max_head_bytes} bytes")
        if not is_inside_head and self._unreported_bytes > MAX_FRAMING_BYTES:
            status = 400 if self._started_at is None else 413
            raise _BadRequestError(status, f"framing of more than {MAX_FRAMING_BYTES} bytes")
        self._count_partial()

    def _decline_upgrade(self):
        """Reads on after the head of a request that offers another protocol, without the offer.

        The parser stops behind such a head, and takes what follows for the other protocol. A server
        that doesn't speak it ignores the offer (RFC 9110, section 7.8), so another parser is given
        the same head without it.
        """
        method, version = self._parser.get_method(), self._parser.get_http_version().encode()
        if method == b"CONNECT":
            raise _BadRequestError(400, "tunnel")
        lines = [method + b" " + self._target + b" HTTP/" + version]
        lines += [name + b": " + value for name, value in self._headers if name != b"upgrade"]
        started_at = self._started_at
        self._discard_partial_request()
        self._parser = httptools.HttpRequestParser(self)
        self._parser.feed_data(b"\r\n".join(lines) + b"\r\n\r\n")
        if self._started_at is not None:
            self._started_at = started_at

    def on_message_begin(self):
        """Starts a request."""
        self._begin_message()
        self._started_at = time.monotonic()
        if not self._is_writing:
            self._holder.begun_at = self._started_at
        self._limits = self._server.find_limits()

    def on_url(self, url):
        """Appends a part of the request target."""
        self._target += url
        self._held_head_bytes += len(url)
        self._count_head_bytes(len(url))

    def on_header(self, name, value):
        """Adds a header; white space after its value, which the parser keeps, is not part of it.

        A trailer is dropped: merged into the head, it could replace what the head says.
        """
        self._count_head_bytes(len(name) + len(value) + 4)
        if not self._is_head_complete:
            self._headers.append((name.lower(), value.rstrip(b" \t")))
            self._held_head_bytes += footprint.estimate_field_bytes(name, value)

    def on_headers_complete(self):
        """Checks the complete head: the declared length, and answers ``Expect: 100-continue``."""
        self._is_head_complete = True
        self._unreported_bytes = 0
        fields = dict(self._headers)
        length = fields.get(b"content-length", b"0")
        if length.isdigit() and int(length) > self._limits.max_body_bytes:
            raise _BadRequestError(413, f"body of more than {self._limits.max_body_bytes} bytes")
        self._owes_continue = fields.get(b"expect", b"").lower() == b"100-continue"

    def on_body(self, body):
        """Appends a part of the body, within the limits of the server and of the client."""
        # Called for each chunk, of which a body of small ones has many: no calls unless needed.
        self._unreported_bytes = 0
        size = len(body)
        self._body_bytes += size
        if self._body_bytes > self._limits.max_body_bytes:
            raise _BadRequestError(413, f"body of more than {self._limits.max_body_bytes} bytes")
        if len(self._block) + size > BLOCK_BYTES:
            self._block = bytearray()
            self._body.append(self._block)
        self._block += body

    def _count_partial(self):
        """Counts what is held of a request whose rest is due, at what it takes in memory."""
        held_head_bytes = self._held_head_bytes
        if self._started_at is not None and not self._is_head_complete:
            # The parser keeps the field that is not complete.
            held_head_bytes += self._unreported_bytes
        # What is counted for that field stays so as it is reported.
        head_bytes = max(0, held_head_bytes - self._counted_head_bytes)
        body_bytes = self._body_bytes - self._counted_body_bytes
        if not (head_bytes or body_bytes):
            return
        if held_head_bytes + self._body_bytes <= FREE_REQUEST_BYTES:
            self._server.hold_partial(head_bytes, body_bytes, self._holder)
        elif not self._server.take_partial(
            head_bytes, body_bytes, self._counted_body_bytes, self._holder
        ):
            raise _BadRequestError(503, "no room for a request that is not complete")
        self._counted_head_bytes += head_bytes
        self._counted_body_bytes += body_bytes

    def _take_complete(self):
        """Counts a complete request as held until it has been served, and no longer as partial.

        Returns:
          The bytes of its head and its record that are held.
        """
        # Upstreams get a message of its own with the head.
        record_bytes = footprint.REQUEST_BYTES + self._held_head_bytes + self._head_bytes
        head_bytes = record_bytes - self._counted_head_bytes
        body_bytes = self._body_bytes - self._counted_body_bytes
        if not self._server.take_complete(head_bytes, body_bytes, self._counted_body_bytes):
            raise _BadRequestError(503, "no room for a request")
        counted = self._counted_head_bytes + self._counted_body_bytes
        self._server.complete_partial(counted, self._counted_body_bytes, self._holder)
        return record_bytes

    def on_message_complete(self):
        """Starts processing a complete request."""
        if self._parser.should_upgrade():
            # The parser stops here, whatever follows the head; see _decline_upgrade.
            return
        if self._state is not _connectionstates.State.SERVING:
            self._discard_partial_request()
            return
        if self._is_surplus and not self._server.places.take_place():
            raise _BadRequestError(503, "too many connections")
        self._is_surplus = False
        method = self._parser.get_method()
        is_persistent = self._parser.should_keep_alive()
        request = _requestfields.build_request(
            method, self._target, self._headers, b"".join(self._body), self._server.names
        )
        if request is None:
            raise _BadRequestError(400, "no site")
        record_bytes = self._take_complete()
        item = _connectionstates.PendingRequest(
            (request.request_id or b"")[: _connectionstates.MAX_LOGGED_NAME],
            method,
            cancellation.Cancellation(),
            received_at=time.monotonic(),
            is_kept=self._has_carried,
            request=request,
            held_bytes=record_bytes,
        )
        self._has_carried = True
        self.pending.append(item)
        self._begin_message()
        if not is_persistent:
            self._take_no_more()
        self._unstarted.append(item)
        self._start_next()

    def _begin_message(self):
        self._started_at = None
        self._is_head_complete = False
        self._target = b""
        self._headers = []
        self._head_bytes = 0
        self._held_head_bytes = 0
        self._counted_head_bytes = 0
        self._unreported_bytes = 0
        self._owes_continue = False
        self._block = bytearray()
        self._body = [self._block]
        self._body_bytes = 0
        self._counted_body_bytes = 0

    def _discard_partial_request(self):
        """Discards a partly read request."""
        self._server.release_partial(
            self._counted_head_bytes, self._counted_body_bytes, self._holder
        )
        self._begin_message()

    def _count_head_bytes(self, size):
        self._unreported_bytes = 0
        self._head_bytes += size
        if self._head_bytes > self._limits.max_head_bytes:
            raise _BadRequestError(431, f"head of more than {self._limits.max_head_bytes} bytes")

    def _reject(self, status, reason):
        """Answers an unreadable request with an error and closes the connection after it."""
        self._refuse(status, reason)
        self._write_ready()

    def _refuse(self, status, reason):
        """Makes the answer to an unreadable request ready."""
        if self._state is not _connectionstates.State.SERVING:
            # What follows the last request is no request, and its answer would follow the last one.
            return
        site = dict(self._headers).get(b"host", b"")
        self._server.log.write(
            "client.refused",
            status=status,
            reason=reason,
            site=site[: _connectionstates.MAX_LOGGED_NAME].decode("latin-1"),
            target=self._target[: _connectionstates.MAX_LOGGED_NAME].decode("latin-1"),
        )
        self._server.counters.count("requests_unreadable", str(status))
        self._take_no_more()
        item = _connectionstates.PendingRequest(
            b"", b"GET", cancellation.Cancellation(), received_at=time.monotonic()
        )
        answer = answers.make_refusal() if status == 503 else answers.make_answer(status, b"")
        self._set_answer(item, answers.format_answer(answer, b"GET"))
        self.pending.append(item)
        self._discard_partial_request()

    def _reject_failed(self, error):
        """Rejects a request after an exception while it was read; nothing of it was passed on."""
        if isinstance(error, _BadRequestError):
            self._reject(error.status, str(error))
            return
        self._server.log.write_exception("client.read", error)
        self._reject(503, "host_failed")

    def _find_timeout(self):
        """Returns the monotonic time at which the client has been silent for too long."""
        client_limits = self._server.find_limits()
        if self._started_at is None:
            return math.inf if self.pending else self._quiet_since + client_limits.idle_timeout_s
        if self._is_head_complete:
            is_due = self._owes_continue and self.pending
            return math.inf if is_due else self._quiet_since + client_limits.idle_timeout_s
        return self._started_at + client_limits.head_timeout_s
