"""Parsing and validation of client requests at the entry host."""

import dataclasses

import eventlet
from eventlet import wsgi

from skylarksill import records, routes, tickets

PATH_PREFIX = "/v1/"
BODY_TIMEOUT_S = 10.0
ROUTE_HEADER = "HTTP_SKYLARKSILL_ROUTE"
TICKET_HEADER = "HTTP_SKYLARKSILL_TICKET"
TIMEOUT_HEADER = "HTTP_SKYLARKSILL_TIMEOUT_MS"
MAX_TIMEOUT_DIGITS = 9

_CHUNK_BYTES = 64 * 1024
_RESERVED_HEADER_PREFIX = "skylarksill-"
_NOT_FORWARDED_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


class RequestError(records.SkylarksillError):
    """A client's request is refused before it is forwarded.

    Attributes:
      status: HTTP status.
      refusal: The Refusal with the reason; its verdict is NOT_RUN.
      needs_ticket: True if the answer carries a new ticket for the client.
      must_close: True if the connection must be closed, since the request was not read completely
        or the host is leaving.
    """

    def __init__(self, status, reason, detail, needs_ticket=False, must_close=False, **fields):
        super().__init__(f"{reason}: {detail}")
        self.status = status
        self.refusal = records.Refusal(records.Verdict.NOT_RUN, reason, detail, **fields)
        self.needs_ticket = needs_ticket
        self.must_close = must_close


@dataclasses.dataclass(frozen=True, slots=True)
class EntryContext:
    """Region of the entry host and the shared key that it verifies routes with."""

    shared_key: bytes
    region: records.RegionId


def find_service(environ, table):
    """Returns the Service that the request path names.

    Raises:
      RequestError: If the path or the service is unknown.
    """
    path = environ["RAW_PATH_INFO"]
    if not path.startswith(PATH_PREFIX):
        raise RequestError(404, "unknown_path", f"paths start with {PATH_PREFIX}<service>/")
    name = path[len(PATH_PREFIX) :].partition("/")[0]
    service = table.services.get(name)
    if service is None:
        raise RequestError(404, "unknown_service", f"service {name!r} does not exist")
    return service


def read_body(environ):
    """Reads the whole request body.

    Raises:
      RequestError: If the body is too long, truncated, malformed or not received within
        BODY_TIMEOUT_S.
    """
    length = environ.get("CONTENT_LENGTH")
    if length is not None and int(length) > records.MAX_BODY_BYTES:
        raise _make_too_long_error()
    try:
        with eventlet.Timeout(BODY_TIMEOUT_S):
            body = _read_limited(environ["wsgi.input"])
    except eventlet.Timeout:
        detail = f"the body did not arrive within {BODY_TIMEOUT_S:g} s"
        raise RequestError(408, "body_timeout", detail, must_close=True) from None
    except (OSError, ValueError, wsgi.ChunkReadError) as error:
        detail = f"the body is malformed or ended early: {error}"
        raise RequestError(400, "truncated_body", detail, must_close=True) from error
    if length is not None and len(body) < int(length):
        detail = f"the body has {len(body)} of {length} bytes"
        raise RequestError(400, "truncated_body", detail, must_close=True)
    return body


def read_ticket(environ, service, shared_key):
    """Reads and verifies the ticket of a request; the ticket's home checks its expiry.

    Returns:
      The Ticket, or None for an idempotent service.
    Raises:
      RequestError: If a request to a non-idempotent service has no valid ticket of that service.
    """
    if service.kind is records.WorkKind.IDEMPOTENT:
        return None
    text = environ.get(TICKET_HEADER)
    if not text:
        detail = f"service {service.service_id} needs a ticket; use the one of this answer"
        raise RequestError(428, "ticket_missing", detail, needs_ticket=True)
    ticket, problem = tickets.verify_ticket(shared_key, text)
    if problem is not None:
        raise RequestError(403, "ticket_invalid", f"the ticket {problem.reason}", True)
    if ticket.service_id != service.service_id:
        detail = f"the ticket is for service {ticket.service_id}"
        raise RequestError(403, "ticket_invalid", detail, True)
    return ticket


def read_timeout_ms(environ, service):
    """Returns the client's timeout in milliseconds, limited to the service's maximum.

    Raises:
      RequestError: If the timeout is not a positive whole number.
    """
    text = environ.get(TIMEOUT_HEADER)
    if text is None:
        return service.max_deadline_ms
    is_number = text.isascii() and text.isdigit() and len(text) <= MAX_TIMEOUT_DIGITS
    if not is_number or int(text) == 0:
        detail = "Skylarksill-Timeout-Ms must be a positive whole number of milliseconds"
        raise RequestError(400, "bad_timeout", detail)
    return min(int(text), service.max_deadline_ms)


def make_request(environ, service, body, request_id, context, now_unix):
    """Builds the Request that is sent to a dispatcher.

    Args:
      environ: The WSGI environment.
      service: The Service.
      body: The whole body.
      request_id: The new request id.
      context: The EntryContext.
      now_unix: Wall-clock time in seconds.
    Returns:
      A Request whose ``deadline_ms`` is the total time for the request.
    Raises:
      RequestError: If the path or the timeout is malformed.
    """
    path = environ["RAW_PATH_INFO"][len(PATH_PREFIX) + len(service.service_id) :] or "/"
    if environ.get("QUERY_STRING"):
        path += "?" + environ["QUERY_STRING"]
    if not path.isascii() or not path.isprintable():
        raise RequestError(400, "bad_path", "the path must be percent-encoded ASCII")
    is_idempotent = service.kind is records.WorkKind.IDEMPOTENT
    return records.Request(
        request_id=records.RequestId(request_id),
        service_id=service.service_id,
        method=environ["REQUEST_METHOD"],
        path=path,
        headers=_filter_headers(environ["headers_raw"]),
        body=body,
        client=environ["REMOTE_ADDR"],
        home_region=routes.verify_route(context.shared_key, environ.get(ROUTE_HEADER), now_unix),
        source_region=context.region,
        deadline_ms=read_timeout_ms(environ, service),
        ticket=None if is_idempotent else environ.get(TICKET_HEADER),
    )


def filter_answer_headers(headers, method):
    """Returns the upstream's response headers that are forwarded to the client.

    Content-Length is kept only for HEAD; otherwise it is computed from the body.
    """
    filtered = list(_filter_headers(headers))
    if method == "HEAD":
        filtered += [item for item in headers if item[0].lower() == "content-length"]
    return filtered


def _filter_headers(headers):
    connection_headers = {
        name.strip().lower()
        for key, value in headers
        if key.lower() == "connection"
        for name in value.split(",")
    }
    excluded = _NOT_FORWARDED_HEADERS | connection_headers
    return tuple(
        (name, value)
        for name, value in headers
        if name.lower() not in excluded and not name.lower().startswith(_RESERVED_HEADER_PREFIX)
    )


def _read_limited(stream):
    chunks = []
    size = 0
    while chunk := stream.read(_CHUNK_BYTES):
        size += len(chunk)
        if size > records.MAX_BODY_BYTES:
            raise _make_too_long_error()
        chunks.append(chunk)
    return b"".join(chunks)


def _make_too_long_error():
    detail = f"bodies are at most {records.MAX_BODY_BYTES} bytes"
    return RequestError(413, "body_too_long", detail, must_close=True, limit="body_bytes")
